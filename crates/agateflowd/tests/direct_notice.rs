//! What upstreams say of themselves in their responses, through an entry over real sockets.

#![allow(clippy::unwrap_used)]

mod directenv;

use std::time::Duration;

use agateflow::direct::config::{Config, Engine, Service};
use agateflow::direct::directory::{Change, Rank, Revision, State, Upstream};
use agateflow::id;
use agateflow::unit::Millis;
use agateflowd::direct::peer_sync;
use directenv::{Fixture, Server, config, listing, ok_response, refusal_response, run_local};
use tokio::{task, time};

/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(50);

/// Requests sent in the four seconds over which the limit is checked.
const REQUESTS: usize = 80;

/// Response of an upstream that accepts two requests a second.
fn limited_response(id: &str) -> String {
    ok_response(id, "x").replace("proof: p", "proof: p\r\nrate-limit: 2")
}

#[test]
fn upstream_that_names_a_rate_limit_gets_no_more_than_one_and_a_half_times_that() {
    run_local(async {
        let limited = Server::start_echoing("limited", limited_response).await;
        let free = Server::start_echoing("free", |id| ok_response(id, "x")).await;
        let fixture = Fixture::start(&[&limited, &free]);
        for id in 0..4 {
            fixture.call("/safe/", &id.to_string()).await;
        }
        time::sleep(Duration::from_millis(500)).await;
        let before = limited.request_count();

        for id in 0..REQUESTS {
            let got = fixture.call("/safe/", &id.to_string()).await;
            assert!(got.starts_with("HTTP/1.1 200"), "{got}");
            time::sleep(INTERVAL).await;
        }

        let count = limited.request_count() - before;
        assert!(count <= 17, "{count} requests in 4 s");
    });
}

/// Response of an upstream that turns a request away and asks for three seconds of rest.
fn resting_response(_: &str) -> String {
    refusal_response().replace("not-run: 1", "not-run: 1\r\nrest-ms: 3000")
}

#[test]
fn upstream_that_asks_for_rest_gets_two_requests_at_most_until_its_end() {
    run_local(async {
        let resting = Server::start_echoing("resting", resting_response).await;
        let free = Server::start_echoing("free", |id| ok_response(id, "x")).await;
        let fixture = Fixture::start(&[&resting, &free]);
        while resting.request_count() == 0 {
            fixture.call("/safe/", "1").await;
        }
        time::sleep(Duration::from_millis(500)).await;
        let before = resting.request_count();

        for id in 0..40 {
            let got = fixture.call("/safe/", &id.to_string()).await;
            assert!(got.starts_with("HTTP/1.1 200"), "{got}");
            time::sleep(INTERVAL).await;
        }

        let count = resting.request_count() - before;
        assert!(count <= 2, "{count} requests within the rest");
    });
}

/// Lists `server` as a rank of a group with cost model, so that the group can close.
fn list_rank(fixture: &Fixture, server: &Server, index: u32) {
    let rank = Some(Rank { group: "g".into(), index });
    let upstream = Upstream { rank, ..listing(server, State::Ready) };
    fixture.entry.apply_change(Change::Listed(upstream), Revision::new(0, 2));
}

fn config_with_engine() -> Config {
    let engine = Engine {
        slots: 12,
        stride: 4,
        step_ms: 4.5,
        request_ms: 0.9,
        reopen_time: Millis::new(600),
        shape: None,
    };
    let name = id::Service::new("s").unwrap();
    Config { services: vec![Service { name, engine: Some(engine) }], ..config(2) }
}

#[test]
fn rank_that_asks_for_rest_does_not_close_its_group() {
    run_local(async {
        let resting = Server::start_echoing("resting", resting_response).await;
        let free = Server::start_echoing("free", |id| ok_response(id, "x")).await;
        let fixture = Fixture::start(&[]);
        fixture.entry.apply_config(config_with_engine(), "test");
        list_rank(&fixture, &resting, 0);
        list_rank(&fixture, &free, 1);
        task::spawn_local(peer_sync::run_housekeeping(fixture.entry.clone()));

        for id in 0..20 {
            let got = fixture.call("/safe/", &id.to_string()).await;

            assert!(got.starts_with("HTTP/1.1 200"), "{got}");
            time::sleep(INTERVAL).await;
        }
    });
}

#[test]
fn callers_are_told_when_the_rest_of_all_upstreams_ends() {
    run_local(async {
        let resting = Server::start_echoing("resting", resting_response).await;
        let fixture = Fixture::start(&[&resting]);
        fixture.call("/once/", "1").await;
        let start = std::time::Instant::now();

        let got = fixture.call("/once/", "2").await;

        let retry_after = got.lines().find_map(|line| line.strip_prefix("retry-after: ")).unwrap();
        let retry_after: f64 = retry_after.parse().unwrap();
        assert!(got.starts_with("HTTP/1.1 503"), "{got}");
        assert!((2.0..=3.0).contains(&retry_after), "{got}");
        assert!(start.elapsed() < Duration::from_millis(100));
        assert_eq!(resting.request_count(), 1);
    });
}

/// Response of an upstream that is shutting down.
fn leaving_response(id: &str) -> String {
    ok_response(id, "x").replace("proof: p", "proof: p\r\nleaving: 1")
}

#[test]
fn upstream_that_says_that_it_leaves_gets_no_more_requests() {
    run_local(async {
        let leaving = Server::start_echoing("leaving", leaving_response).await;
        let free = Server::start_echoing("free", |id| ok_response(id, "x")).await;
        let fixture = Fixture::start(&[&leaving, &free]);
        while leaving.request_count() == 0 {
            fixture.call("/safe/", "1").await;
        }

        for id in 0..10 {
            let got = fixture.call("/safe/", &id.to_string()).await;
            assert!(got.starts_with("HTTP/1.1 200"), "{got}");
        }

        assert_eq!(leaving.request_count(), 1);
    });
}

/// Response that names an idle timeout of `seconds`.
fn response_with_keep_alive(id: &str, seconds: &str) -> String {
    let keep_alive = format!("proof: p\r\nkeep-alive: timeout={seconds}");
    ok_response(id, "x").replace("proof: p", &keep_alive)
}

#[test]
fn absurd_idle_timeout_of_an_upstream_closes_no_later_request() {
    run_local(async {
        let respond = |id: &str| response_with_keep_alive(id, "18446744073709551615");
        let upstream = Server::start_echoing("u", respond).await;
        let fixture = Fixture::start(&[&upstream]);
        let housekeeping = task::spawn_local(peer_sync::run_housekeeping(fixture.entry.clone()));

        for id in 0..4 {
            let got = fixture.call("/safe/", &id.to_string()).await;
            assert!(got.starts_with("HTTP/1.1 200"), "request {id}: {got:?}");
        }

        time::sleep(Duration::from_millis(150)).await;
        assert!(!housekeeping.is_finished(), "housekeeping has ended");
    });
}

#[test]
fn absurd_rest_of_an_upstream_ends_no_task() {
    run_local(async {
        let respond = |_: &str| {
            refusal_response().replace("not-run: 1", "not-run: 1\r\nrest-ms: 18446744073709551615")
        };
        let resting = Server::start_echoing("resting", respond).await;
        let fixture = Fixture::start(&[&resting]);
        let housekeeping = task::spawn_local(peer_sync::run_housekeeping(fixture.entry.clone()));

        for id in 0..3 {
            let got = fixture.call("/safe/", &id.to_string()).await;
            assert!(got.starts_with("HTTP/1.1 503"), "request {id}: {got:?}");
        }

        time::sleep(Duration::from_millis(150)).await;
        assert!(!housekeeping.is_finished(), "housekeeping has ended");
    });
}
