//! What callers see when engines, upstream processes and entries fail or drain.

#![allow(clippy::unwrap_used)]

mod testenv;

use agateflow_standin::answer::Answer;
use agateflowd::process;
use agateflowd::upstream::Upstream;
use http::StatusCode;
use rstest::rstest;
use testenv::{Call, Fleet, Plan};

const TOKENS: u64 = 60;

fn slow_engines() -> Plan {
    Plan::new().with_slow_engines()
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_elsewhere_when_its_engine_crashes() {
    let fleet = Fleet::start(slow_engines()).await;
    let call = Call::chat("cloudy night", TOKENS, true);
    let expected = Answer::new(&call.body).unwrap().body();

    let (body, busy) = fleet.stream(call).await;
    fleet.engines[busy].host().crash();

    assert_eq!(body.await.unwrap().unwrap(), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_elsewhere_when_its_upstream_process_dies() {
    let mut fleet = Fleet::start(slow_engines()).await;
    let call = Call::chat("cloudy night", TOKENS, true);
    let expected = Answer::new(&call.body).unwrap().body();

    let (body, busy) = fleet.stream(call).await;
    fleet.upstreams[busy].kill().await;

    assert_eq!(body.await.unwrap().unwrap(), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_without_another_engine_never_looks_whole() {
    let fleet = Fleet::start(slow_engines()).await;
    let call = Call::chat("cloudy night", TOKENS, true);

    let (body, _) = fleet.stream(call).await;
    for engine in &fleet.engines {
        engine.host().crash();
    }

    assert_eq!(body.await.unwrap(), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_of_an_upstream_process_cuts_no_stream_and_takes_no_new_work() {
    let mut fleet = Fleet::start(slow_engines()).await;
    let call = Call::chat("cloudy night", TOKENS, true);
    let expected = Answer::new(&call.body).unwrap().body();
    let (body, busy) = fleet.stream(call).await;
    let registry = fleet.upstreams[busy].process().registry().clone();
    let upstream = registry.find::<Upstream>(process::UPSTREAM).unwrap();

    let drain = fleet.upstreams[busy].drain();
    testenv::wait_until(|| async { upstream.is_draining() }).await;
    let started = fleet.engines[busy].counters().started;
    for n in 0..4 {
        let answer = fleet.send(0, Call::chat(&format!("late {n}"), 1, false)).await;
        assert_eq!(answer.status(), StatusCode::OK);
    }

    drain.await.unwrap();
    assert_eq!(body.await.unwrap().unwrap(), expected);
    assert_eq!(fleet.engines[busy].counters().started, started);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_of_an_entry_cuts_no_stream() {
    let mut fleet = Fleet::start(slow_engines()).await;
    let call = Call::chat("cloudy night", TOKENS, true);
    let expected = Answer::new(&call.body).unwrap().body();
    let (body, _) = fleet.stream(call).await;

    fleet.entries[0].drain().await.unwrap();

    assert_eq!(body.await.unwrap().unwrap(), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn call_that_may_not_be_repeated_runs_once_when_its_service_dies_in_the_middle() {
    let fleet = Fleet::start(Plan::new().with_services(2)).await;
    for service in &fleet.services {
        service.host().faults().crash_on("station 7");
    }

    let response = fleet.send(0, Call::new("POST", "/calibrations", "station 7")).await;

    assert_eq!(testenv::outcome(&response).as_deref(), Some("unknown"));
    let crashed = fleet.services.iter().filter(|service| {
        service.host().faults().mode() != agateflow_standin::fault::Mode::Running
    });
    assert_eq!(crashed.count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn call_that_may_not_be_repeated_is_not_run_when_no_service_is_reached() {
    let fleet = Fleet::start(Plan::new().with_services(2)).await;
    for service in &fleet.services {
        service.host().crash();
    }

    let response = fleet.send(0, Call::new("POST", "/calibrations", "station 7")).await;

    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(testenv::outcome(&response).as_deref(), Some("not-run"));
    assert!(response.headers().contains_key("retry-after"));
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_stops_when_the_caller_goes_away() {
    let fleet = Fleet::start(slow_engines()).await;

    let (body, busy) = fleet.stream(Call::chat("cloudy night", 2_000, true)).await;
    body.abort();

    testenv::wait_until(|| async { fleet.engines[busy].load().running == 0 }).await;
    assert_eq!(fleet.engines[busy].counters().cancelled, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_upstream_process_is_used_under_its_old_name() {
    let mut fleet = Fleet::start(Plan::new().with_services(1)).await;
    let index = fleet.engines.len();
    fleet.upstreams[index].kill().await;
    fleet.upstreams[index] = fleet.start_upstream(index).await;
    fleet.wait_for_links(0, index + 1).await;

    let response = fleet.send(0, Call::new("GET", "/stations/7", "")).await;

    assert_eq!(response.status(), StatusCode::OK);
}

#[rstest]
#[case::first_token(1)]
#[case::middle(TOKENS / 2)]
#[case::last_token(TOKENS)]
#[case::reason_of_the_end(TOKENS + 1)]
#[tokio::test(flavor = "multi_thread")]
async fn stream_cut_after_any_event_is_whole_and_has_no_event_twice(#[case] events: u64) {
    let fleet = Fleet::start(Plan::new()).await;
    let faulty = &fleet.engines[0];
    faulty.host().faults().cut(events, 1);

    // Each request goes to either engine; only the first engine cuts a stream, once.
    for number in 0..50 {
        let call = Call::chat(&format!("night {number}"), TOKENS, true);
        let expected = Answer::new(&call.body).unwrap().body();
        let body = testenv::whole(fleet.send(0, call).await).await;
        assert_eq!(body.as_ref(), Some(&expected));
        if faulty.counters().started > 0 {
            break;
        }
    }

    assert_eq!(faulty.counters().started, 1);
}
