//! The guarantees to callers when real processes are killed, stopped, terminated and replaced.

#![allow(clippy::unwrap_used)]

mod testenv;

use agateflow_standin::answer::Answer;
use agateflow_standin::service;
use http::StatusCode;
use rustix::process::Signal;
use testenv::{Call, Fleet, Plan};

const OUTPUT_TOKENS: u64 = 60;

const BODY: &str = "sensor 7: offset 0.3";

fn plan() -> Plan {
    Plan::new().with_slow_engines().with_children()
}

fn runs(fleet: &Fleet) -> u64 {
    let call = service::Call::new(&http::Method::POST, "/calibrations", BODY.as_bytes());
    fleet.services.iter().map(|service| service.runs(&call)).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_upstream_process_interrupts_no_stream_and_restarts_under_its_name() {
    let mut fleet = Fleet::start(plan()).await;
    let call = Call::chat("cloudy night", OUTPUT_TOKENS, true);
    let expected = Answer::new(&call.body).unwrap().body();
    let (body, busy) = fleet.stream(call).await;

    fleet.upstreams[busy].kill().await;
    let body = body.await.unwrap();
    fleet.upstreams[busy] = fleet.start_upstream(busy).await;
    fleet.wait_for_links(0, 3).await;
    let after = fleet.send(0, Call::chat("next night", 1, false)).await;

    assert_eq!(body.unwrap(), expected);
    assert_eq!(after.status(), StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn stopped_upstream_process_that_resumes_late_runs_a_call_at_most_once() {
    let fleet = Fleet::start(plan()).await;
    let upstream = &fleet.upstreams[fleet.engines.len()];
    let call = || Call::new("POST", "/calibrations", BODY);

    upstream.signal(Signal::STOP);
    let stopped = fleet.send(0, call().with_header("agateflow-timeout-ms", "1000")).await;
    upstream.signal(Signal::CONT);
    // Frames arrive in order, so this response shows that the process has read the first call.
    let later = fleet.send(0, Call::new("GET", "/stations/7", "")).await;

    assert_eq!(later.status(), StatusCode::OK);
    match testenv::outcome(&stopped).as_deref() {
        Some("not-run") => assert_eq!(runs(&fleet), 0),
        Some("unknown") => assert!(runs(&fleet) <= 1),
        other => panic!("unexpected outcome of a call to a stopped process: {other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn terminated_processes_finish_their_streams_and_exit_cleanly() {
    let mut fleet = Fleet::start(plan()).await;
    let call = Call::chat("cloudy night", OUTPUT_TOKENS, true);
    let expected = Answer::new(&call.body).unwrap().body();
    let (body, busy) = fleet.stream(call).await;

    fleet.upstreams[busy].signal(Signal::TERM);
    fleet.entries[0].signal(Signal::TERM);

    assert_eq!(body.await.unwrap().unwrap(), expected);
    assert!(fleet.upstreams[busy].ended().await);
    assert!(fleet.entries[0].ended().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn fleet_serves_and_accepts_replacements_while_the_configuration_service_is_down() {
    let mut fleet = Fleet::start(plan()).await;
    fleet.configuration.host().crash();

    fleet.upstreams[0].kill().await;
    fleet.upstreams[0] = fleet.start_upstream(0).await;
    fleet.wait_for_links(0, 3).await;
    let response = fleet.send(0, Call::chat("next night", 1, false)).await;

    assert_eq!(response.status(), StatusCode::OK);
}
