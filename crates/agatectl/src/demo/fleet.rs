//! The fleet of the demo: two data centres with their entries, engines and plain services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agateflow::settings::{Key, Limits, Role, Secret, Settings};
use agateflow::{config, id};
use serde_json::{Value, json};

use super::platform::{Class, KEY, Platform};
use super::ports::Port;
use super::process::Process;
use super::watch;
use crate::error::Error;
use crate::load::mix;

const DATA_CENTRES: [(&str, &str); 2] = [("santa-maria", "sul-br"), ("recife", "nordeste")];
const ENTRIES: usize = 2;
const CLASSES: [Class; 3] = [Class::Newer, Class::Newer, Class::Older];
const SERVICES: [&str; 2] = ["station-data", "order-stock"];
const MODELS: [&str; 2] = ["sky-summaries", "purchase-notes"];
const SECRET: [u8; 32] = [7; 32];

/// A team: its name, priority, model and routes.
type Team = (&'static str, &'static str, &'static str, [&'static str; 2]);

const TEAMS: [Team; 4] = [
    ("planetario", "high", "sky-summaries", ["stations", "calibrations"]),
    ("clube", "normal", "sky-summaries", ["stations", "calibrations"]),
    ("escolas", "high", "purchase-notes", ["stock", "orders"]),
    ("mercearias", "normal", "purchase-notes", ["stock", "orders"]),
];

/// The running fleet.
pub struct Fleet {
    platform: Platform,
    members: Vec<Member>,
}

/// One process of the fleet.
pub struct Member {
    /// The process.
    pub process: Process,
    /// The address for callers, of an entry.
    pub callers: Option<SocketAddr>,
    kind: Kind,
    data_centre: &'static str,
    _ports: Vec<Port>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Entry,
    Engine(Class),
    Service(&'static str),
}

/// Which process of a data centre is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Which {
    /// An entry, by its index in the data centre.
    Entry(usize),
    /// The process before an engine, by its index in the data centre.
    Engine(usize),
    /// The process before a plain service, by its index in the data centre.
    Service(usize),
}

impl Fleet {
    /// Lays out the fleet, starts its platform and publishes its configuration.
    ///
    /// # Errors
    ///
    /// [`Error::Step`] if a part cannot be started.
    pub fn start() -> Result<Self, Error> {
        let mut platform = Platform::start()?;
        let mut members = Vec::new();
        for (data_centre, _) in DATA_CENTRES {
            let mut seeds = Vec::new();
            for number in 1..=ENTRIES {
                let entry = entry(data_centre, number, &seeds, &platform)?;
                seeds.push(entry.process.settings().listen);
                members.push(entry);
            }
            for (index, class) in CLASSES.into_iter().enumerate() {
                let backend = platform.add_engine(class)?;
                let name = format!("engine-{}.{data_centre}", index + 1);
                let kind = Kind::Engine(class);
                let place = Place { data_centre, seeds: &seeds };
                members.push(upstream(&name, place, kind, backend, &platform)?);
            }
            for service in SERVICES {
                let backend = platform.add_service()?;
                let name = format!("{service}.{data_centre}");
                let kind = Kind::Service(service);
                let place = Place { data_centre, seeds: &seeds };
                members.push(upstream(&name, place, kind, backend, &platform)?);
            }
        }
        let fleet = Self { platform, members };
        fleet.publish(1)?;
        Ok(fleet)
    }

    /// Starts every process and waits until each is ready.
    ///
    /// # Errors
    ///
    /// [`Error::Step`] if one cannot be started or is not ready in time.
    pub async fn wait_ready(&self, timeout: Duration) -> Result<(), Error> {
        let started = self.members.iter().map(|member| member.process.start());
        futures::future::try_join_all(started).await?;
        let all = async {
            for member in &self.members {
                watch::ready(&member.process).await;
            }
        };
        let late = |_| Error::step("start fleet", "processes are not ready");
        tokio::time::timeout(timeout, all).await.map_err(late)
    }

    /// The stand-ins.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// All processes.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The number of processes.
    pub fn processes(&self) -> usize {
        self.members.len()
    }

    /// The process of a data centre, 0 or 1, that `which` means.
    pub fn member(&self, data_centre: usize, which: Which) -> Option<&Member> {
        let (name, _) = DATA_CENTRES.get(data_centre)?;
        let mut members = self.members.iter().filter(|member| member.data_centre == *name);
        let mut nth = |index, of: fn(Kind) -> bool| {
            members.by_ref().filter(|member| of(member.kind)).nth(index)
        };
        match which {
            Which::Entry(index) => nth(index, |kind| kind == Kind::Entry),
            Which::Engine(index) => nth(index, |kind| matches!(kind, Kind::Engine(_))),
            Which::Service(index) => nth(index, |kind| matches!(kind, Kind::Service(_))),
        }
    }

    /// The index among all engines of an engine of a data centre.
    pub fn engine(&self, data_centre: usize, index: usize) -> usize {
        data_centre * CLASSES.len() + index
    }

    /// The index among all plain services of a service of a data centre.
    pub fn service(&self, data_centre: usize, index: usize) -> usize {
        data_centre * SERVICES.len() + index
    }

    /// Publishes the configuration under a revision.
    ///
    /// # Errors
    ///
    /// [`Error::Step`] if the configuration is not a good one.
    pub fn publish(&self, revision: u64) -> Result<(), Error> {
        let text = self.document(revision).to_string();
        config::parse(&text).map_err(|problems| Error::step("build configuration", problems))?;
        self.platform.configuration.publish(KEY, text);
        Ok(())
    }

    /// Drains all processes, entries first.
    ///
    /// # Errors
    ///
    /// None so far; a process that does not end is left to the end of the program.
    pub async fn drain(&self) -> Result<(), Error> {
        let entries = self.members.iter().filter(|member| member.callers.is_some());
        futures::future::join_all(entries.map(|member| member.process.drain())).await;
        let all = self.members.iter().map(|member| member.process.drain());
        futures::future::join_all(all).await;
        Ok(())
    }

    fn document(&self, revision: u64) -> Value {
        let centre = |(name, region): &(&str, &str)| json!({ "name": name, "region": region });
        let class = |class: Class, speed: f64, prefill: &str, step: &str| {
            json!({
                "name": class.name(), "speed": speed, "prefill": prefill, "step": step,
                "cache": "262144tok", "batch": 64,
            })
        };
        let model = |name: &&str| json!({ "name": name, "expert_size": "88MiB" });
        json!({
            "revision": revision,
            "weights": { "skew": 1, "moves": 1 },
            "data_centres": DATA_CENTRES.iter().map(centre).collect::<Vec<_>>(),
            "classes": [
                class(Class::Newer, 1.0, "20000tok/s", "10ms"),
                class(Class::Older, 0.5, "10000tok/s", "18ms"),
            ],
            "vms": self.members.iter().map(vm).collect::<Vec<_>>(),
            "models": MODELS.iter().map(model).collect::<Vec<_>>(),
            "services": SERVICES.iter().map(|name| json!({ "name": name })).collect::<Vec<_>>(),
            "routes": routes(),
            "teams": TEAMS.iter().map(team).collect::<Vec<_>>(),
        })
    }
}

fn vm(member: &Member) -> Value {
    let settings = member.process.settings();
    let role = match member.kind {
        Kind::Entry => json!({ "kind": "entry" }),
        Kind::Engine(class) => {
            let fencing = if class == Class::Newer { "checked" } else { "ignored" };
            json!({ "kind": "engine", "class": class.name(), "fencing": fencing, "models": MODELS })
        }
        Kind::Service(service) => json!({ "kind": "service", "service": service }),
    };
    json!({
        "name": settings.vm, "data_centre": settings.data_centre, "address": settings.listen,
        "role": role,
    })
}

fn routes() -> Value {
    let route = |name: &str, service: &str, method: &str, path: &str, repeatable: bool| {
        json!({
            "name": name, "service": service, "method": method, "path": path,
            "repeatable": repeatable,
        })
    };
    json!([
        route("stations", "station-data", "GET", "/stations/*", true),
        route("calibrations", "station-data", "POST", "/calibrations", false),
        route("stock", "order-stock", "GET", "/stock/*", true),
        route("orders", "order-stock", "POST", "/orders", false),
    ])
}

fn key(team: &str) -> String {
    format!("demo-{team}")
}

fn team((name, priority, model, routes): &Team) -> Value {
    json!({
        "name": name,
        "keys": [config::KeyDigest::of_key(key(name).as_bytes()).to_string()],
        "priority": priority,
        "weight": 1,
        "limits": { "requests_per_second": 2000, "burst": 4000, "concurrency": 4000 },
        "models": [model],
        "routes": routes,
    })
}

/// The mix of both users' requests.
pub fn mix() -> mix::Mix {
    let [planetario, clube, escolas, mercearias] = TEAMS.map(|(name, ..)| name);
    let sky = teams(&[planetario, clube]);
    let pasta = teams(&[escolas, mercearias]);
    let [summaries, notes] = MODELS;
    let kinds = vec![
        kind("summary", 4, &sky, completion(summaries, true)),
        kind("report", 1, &sky, completion(summaries, false)),
        kind("station lookup", 3, &sky, call("GET", "/stations/{n}", true)),
        kind("calibration", 1, &sky, call("POST", "/calibrations", false)),
        kind("purchase note", 3, &pasta, completion(notes, true)),
        kind("stock summary", 1, &pasta, completion(notes, false)),
        kind("stock lookup", 2, &pasta, call("GET", "/stock/{n}", true)),
        kind("order", 1, &pasta, call("POST", "/orders", false)),
    ];
    mix::Mix { kinds }
}

fn teams(names: &[&str]) -> Vec<mix::Team> {
    names.iter().map(|name| mix::Team { key: key(name).into(), weight: 1 }).collect()
}

fn kind(name: &str, weight: u32, teams: &[mix::Team], call: mix::Call) -> mix::Kind {
    mix::Kind { name: name.into(), weight, teams: teams.into(), call }
}

fn completion(model: &str, streamed: bool) -> mix::Call {
    mix::Call::Model {
        model: model.into(),
        streamed,
        prompt_bytes: mix::Range::new(400, 4000),
        output_tokens: mix::Range::new(20, 100),
        prefixes: 8,
    }
}

fn call(method: &str, path: &str, repeatable: bool) -> mix::Call {
    let body = if repeatable { mix::Range::new(0, 0) } else { mix::Range::new(100, 400) };
    mix::Call::Service {
        method: method.into(),
        path: path.into(),
        body_bytes: body,
        repeatable,
        idempotency_key: false,
    }
}

/// Where a process runs and whom it asks first.
#[derive(Clone, Copy)]
struct Place<'a> {
    data_centre: &'static str,
    seeds: &'a [SocketAddr],
}

fn entry(
    data_centre: &'static str,
    number: usize,
    seeds: &[SocketAddr],
    platform: &Platform,
) -> Result<Member, Error> {
    let callers = Port::reserve()?;
    let address = callers.address();
    let name = format!("entry-{number}.{data_centre}");
    let role = Role::Entry { callers: address };
    let place = Place { data_centre, seeds };
    let mut member = member(&name, place, Kind::Entry, role, platform)?;
    member.callers = Some(address);
    member._ports.push(callers);
    Ok(member)
}

fn upstream(
    name: &str,
    place: Place<'_>,
    kind: Kind,
    backend: SocketAddr,
    platform: &Platform,
) -> Result<Member, Error> {
    member(name, place, kind, Role::Upstream { backend }, platform)
}

fn member(
    name: &str,
    place: Place<'_>,
    kind: Kind,
    role: Role,
    platform: &Platform,
) -> Result<Member, Error> {
    let listen = Port::reserve()?;
    let operators = Port::reserve()?;
    let invalid = |e: id::Error| Error::step("lay out fleet", e);
    let settings = Settings {
        vm: name.parse().map_err(invalid)?,
        data_centre: place.data_centre.parse().map_err(invalid)?,
        role,
        listen: listen.address(),
        operators: operators.address(),
        seeds: place.seeds.to_vec(),
        configuration: platform.configuration.host().address(),
        secret: Secret::Key(Key::new(SECRET)),
        limits: Limits::default(),
    };
    let process = Process::new(settings);
    let ports = vec![listen, operators];
    Ok(Member { process, callers: None, kind, data_centre: place.data_centre, _ports: ports })
}

/// The URLs of the entries that are healthy now.
pub async fn healthy(fleet: &Arc<Fleet>) -> Vec<http::Uri> {
    let entries = fleet.members().iter().filter_map(|m| m.callers.map(|callers| (m, callers)));
    let checks = entries.map(|(member, callers)| async move {
        let healthy = watch::is_healthy(&member.process).await;
        let uri = format!("http://{callers}").parse().ok();
        uri.filter(|_| healthy)
    });
    futures::future::join_all(checks).await.into_iter().flatten().collect()
}
