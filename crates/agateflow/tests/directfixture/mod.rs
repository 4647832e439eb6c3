//! Fixtures of the tests of an entry's decisions.

#![allow(clippy::unwrap_used, dead_code)]

use agateflow::direct::config::{Config, Engine, Kind, Limits, Route, Service, Target, Team};
use agateflow::direct::directory::{Revision, State, Upstream};
use agateflow::direct::load::{Candidate, Context};
use agateflow::id;
use agateflow::unit::{Bytes, Millis};

pub fn ms(number: u64) -> Millis {
    Millis::new(number)
}

pub fn rev(number: u64) -> Revision {
    Revision::new(0, number)
}

pub fn vm(name: &str) -> id::Vm {
    id::Vm::new(name).unwrap()
}

pub fn service(name: &str) -> id::Service {
    id::Service::new(name).unwrap()
}

pub fn upstream(name: &str) -> Upstream {
    Upstream {
        vm: vm(name),
        address: "10.0.0.1:80".parse().unwrap(),
        service: service("s"),
        data_centre: id::DataCentre::new("a").unwrap(),
        slots: 6,
        state: State::Ready,
        started_at: 1,
        open: true,
        rank: None,
    }
}

pub fn route(prefix: &str, targets: &[(&str, f64)]) -> Route {
    let target = |(name, weight): &(&str, f64)| Target { service: service(name), weight: *weight };
    Route {
        name: prefix.into(),
        host: "Host.example".into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: ms(800),
        objective: ms(100),
        pause: None,
        attempts: 2,
        priority: 1,
        public: false,
        targets: targets.iter().map(target).collect(),
    }
}

pub fn engine() -> Engine {
    Engine {
        slots: 12,
        stride: 4,
        step_ms: 4.5,
        request_ms: 0.9,
        reopen_time: ms(600),
        shape: None,
    }
}

pub fn config(routes: Vec<Route>) -> Config {
    Config {
        version: 7,
        routes,
        services: vec![Service { name: service("s"), engine: Some(engine()) }],
        teams: vec![Team {
            name: id::Team::new("t").unwrap(),
            keys: ["key".into(), "old".into()].into(),
            priority: Some(0),
        }],
        limits: Limits {
            header: Bytes::new(16_384),
            body: Bytes::new(1_000),
            header_time: ms(3_000),
            idle_time: ms(15_000),
        },
    }
}

pub fn context<'a>(tried: &'a [id::Vm], local_data_centre: &'a id::DataCentre) -> Context<'a> {
    Context { tried, local_data_centre, entries: 1 }
}

pub fn candidates(upstreams: &[Upstream], limit: f64) -> impl Iterator<Item = Candidate<'_>> {
    upstreams.iter().map(move |upstream| Candidate {
        upstream,
        limit,
        open: upstream.open,
        within_rate: true,
        rests_until: None,
    })
}
