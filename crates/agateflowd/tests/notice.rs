//! What engines say of themselves in their responses, tested with a running fleet.

#![allow(clippy::unwrap_used)]

mod testenv;

use std::time::{Duration, Instant};

use futures::future;
use http::StatusCode;
use testenv::{Call, Fleet, Plan};

const CALLS: usize = 40;

/// Span over which an engine's requests are counted.
const SPAN: Duration = Duration::from_secs(4);

#[tokio::test(flavor = "multi_thread")]
async fn engine_that_names_a_rate_limit_gets_no_more_and_the_others_are_refused_at_once() {
    let fleet = Fleet::start(Plan::new().with_engines(1)).await;
    let engine = &fleet.engines[0];
    engine.host().faults().announce("agateflow-rate-limit", "2");
    fleet.send(0, Call::chat("first", 5, false)).await;
    let before = engine.counters().started;
    let start = Instant::now();

    let calls = (0..CALLS).map(|number| {
        let call = Call::chat(&format!("cloud {number}"), 5, false);
        let response = fleet.send(0, call.with_header("agateflow-timeout-ms", "4000"));
        async move { (response.await, start.elapsed()) }
    });
    let answers = future::join_all(calls).await;

    tokio::time::sleep(SPAN.saturating_sub(start.elapsed())).await;
    let started = engine.counters().started - before;
    assert!(started <= 17, "{started} requests in 4 s");
    let served = answers.iter().filter(|(answer, _)| answer.status() == StatusCode::OK).count();
    assert!(served >= 4, "{served} served");
    for (answer, took) in answers.iter().filter(|(answer, _)| answer.status() != StatusCode::OK) {
        assert_eq!(testenv::outcome(answer).as_deref(), Some("not-run"));
        assert!(answer.headers().contains_key("retry-after"));
        assert!(*took < Duration::from_secs(1), "refused after {took:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_that_asks_for_rest_gets_nothing_until_its_end() {
    let fleet = Fleet::start(Plan::new().with_engines(1)).await;
    let engine = &fleet.engines[0];
    engine.host().faults().refuse(true);
    engine.host().faults().announce("retry-after", "2");
    fleet.send(0, Call::chat("first", 5, false)).await;
    engine.host().faults().clear();
    let start = Instant::now();

    let hurried = Call::chat("hurried", 5, false).with_header("agateflow-timeout-ms", "1000");
    let hurried = fleet.send(0, hurried).await;
    let refused_after = start.elapsed();
    let patient = Call::chat("patient", 5, false).with_header("agateflow-timeout-ms", "8000");
    let patient = fleet.send(0, patient).await;
    let served_after = start.elapsed();

    assert_eq!(testenv::outcome(&hurried).as_deref(), Some("not-run"));
    assert!(hurried.headers().contains_key("retry-after"));
    assert!(refused_after < Duration::from_millis(500), "refused after {refused_after:?}");
    assert_eq!(patient.status(), StatusCode::OK);
    assert!(served_after > Duration::from_millis(1_800), "served after {served_after:?}");
    assert_eq!(engine.counters().started, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_that_leaves_gets_nothing_until_it_has_started_again() {
    let fleet = Fleet::start(Plan::new().with_engines(1)).await;
    let engine = &fleet.engines[0];
    engine.host().faults().announce("agateflow-leaving", "1");
    let first = fleet.send(0, Call::chat("first", 5, false)).await;
    engine.host().faults().clear();

    let refused = Call::chat("second", 5, false).with_header("agateflow-timeout-ms", "2000");
    let refused = fleet.send(0, refused).await;
    let started_before = engine.counters().started;
    engine.host().crash();
    tokio::time::sleep(Duration::from_secs(1)).await;
    engine.host().restart().unwrap();
    let last = fleet.send(0, Call::chat("third", 5, false)).await;

    assert_eq!(first.status(), StatusCode::OK);
    assert!(!first.headers().contains_key("agateflow-leaving"));
    assert_eq!(testenv::outcome(&refused).as_deref(), Some("not-run"));
    assert_eq!(started_before, 1);
    assert_eq!(last.status(), StatusCode::OK);
}
