//! Streams of upstreams that are silent for a while: they move to another one that takes them, or stay.

#![allow(clippy::unwrap_used)]

mod directenv;

use std::time::{Duration, Instant};

use agateflow::direct::config::{Config, Kind, Route};
use agateflow::direct::directory::{Change, Revision, State};
use agateflow::unit::Millis;
use directenv::{
    Action, Fixture, Server, chunk, config, listing, refusal_response, route, run_local,
    stream_head,
};
use rstest::rstest;
use tokio::time;

/// Silence for which callers still wait, but after which streams move if they can.
const SILENCE: Duration = Duration::from_millis(1_850);

/// A configuration whose streams may take long.
fn patient_config() -> Config {
    let route = Route { timeout: Millis::new(8_000), ..route("/stream/", Kind::ResumableStream) };
    Config { routes: vec![route], ..config(2) }
}

#[rstest]
#[case::full(Some(refusal_response()))]
#[case::broken(Some(String::new()))]
#[case::not_there(None)]
fn stream_of_a_silent_upstream_goes_on_there_if_no_other_takes_it(#[case] other: Option<String>) {
    run_local(async {
        let parts = vec![
            stream_head("1") + &chunk("id: 1\ndata: a\n\n"),
            chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n",
        ];
        let silent = Server::start("u", vec![Action::SendParts(parts, SILENCE)]).await;
        let fixture = Fixture::start(&[&silent]);
        fixture.entry.apply_config(patient_config(), "test");
        let list_other = async {
            time::sleep(Duration::from_millis(100)).await;
            if let Some(answer) = other {
                let other = Server::start("v", vec![Action::SendAndClose(answer)]).await;
                let change = Change::Listed(listing(&other, State::Ready));
                fixture.entry.apply_change(change, Revision::new(0, 2));
            }
        };

        let (got, ()) = tokio::join!(fixture.call("/stream/", "1"), list_other);

        assert!(got.contains("data: b") && got.ends_with("0\r\n\r\n"), "{got}");
    });
}

#[test]
fn stream_that_stayed_at_a_silent_upstream_still_goes_on_elsewhere_once_it_breaks() {
    run_local(async {
        let first = stream_head("1") + &chunk("id: 1\ndata: a\n\n");
        let parts = vec![first, chunk("id: 2\nda") + "garbage"];
        let silent = Server::start("u", vec![Action::SendParts(parts, SILENCE)]).await;
        let rest = stream_head("1") + &chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
        let other = Server::start("v", vec![Action::Send(rest)]).await;
        let fixture = Fixture::start(&[&silent]);
        fixture.entry.apply_config(patient_config(), "test");
        let list_other = async {
            time::sleep(Duration::from_millis(1_780)).await;
            let change = Change::Listed(listing(&other, State::Ready));
            fixture.entry.apply_change(change, Revision::new(0, 2));
        };

        let (got, ()) = tokio::join!(fixture.call("/stream/", "1"), list_other);

        assert!(got.contains("data: b") && got.ends_with("0\r\n\r\n"), "{got}");
    });
}

#[test]
fn stalled_stream_that_sends_bytes_goes_on_at_an_upstream_that_takes_its_time() {
    run_local(async {
        let first = stream_head("1") + &chunk("id: 1\ndata: a\n\n");
        let trickle = Action::Repeat(first, chunk("x"), Duration::from_millis(60));
        let stalled = Server::start("u", vec![trickle]).await;
        let rest = stream_head("1") + &chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
        let late = Action::SendParts(vec![String::new(), rest], Duration::from_millis(120));
        let other = Server::start("v", vec![late]).await;
        let fixture = Fixture::start(&[&stalled]);
        fixture.entry.apply_config(patient_config(), "test");
        let start = Instant::now();
        let list_other = async {
            time::sleep(Duration::from_millis(100)).await;
            let change = Change::Listed(listing(&other, State::Ready));
            fixture.entry.apply_change(change, Revision::new(0, 2));
        };

        let (got, ()) = tokio::join!(fixture.call("/stream/", "1"), list_other);

        assert!(got.contains("data: b") && got.ends_with("0\r\n\r\n"), "{got}");
        assert!(start.elapsed() < Duration::from_millis(2_000), "{:?}", start.elapsed());
    });
}

#[test]
fn stream_that_is_silent_for_as_long_as_callers_wait_ends_before_they_leave() {
    run_local(async {
        let first = stream_head("1") + &chunk("id: 1\ndata: a\n\n");
        let silent = Server::start("u", vec![Action::Send(first)]).await;
        let fixture = Fixture::start(&[&silent]);
        fixture.entry.apply_config(patient_config(), "test");
        let start = Instant::now();

        let got = fixture.call("/stream/", "1").await;

        let took = start.elapsed();
        assert!(got.contains("data: a") && !got.ends_with("0\r\n\r\n"), "{got}");
        assert!((1_900..2_000).contains(&took.as_millis()), "{took:?}");
        time::sleep(Duration::from_millis(50)).await;
        assert_eq!(silent.closed_connections.get(), 1);
    });
}
