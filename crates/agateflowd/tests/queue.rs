//! The queue in front of an engine, tested with a running fleet.

#![allow(clippy::unwrap_used)]

mod testenv;

use std::pin::pin;

use agateflow::unit;
use agateflow_standin::engine;
use futures::future;
use http::StatusCode;
use testenv::{Call, Fleet, Plan};

const STEP: unit::Micros = unit::Micros::new(2_000);

/// Starts a fleet of one engine with a batch of one request.
async fn fleet_with_batch_of_one() -> Fleet {
    let speed = engine::Speed { prefill: 0, step: STEP, sequence: unit::Micros::ZERO };
    let engine = engine::Options { speed, ..engine::Options::default() };
    let mut plan = Plan::new().with_engine(engine);
    plan.engines = 1;
    let mut fleet = Fleet::start(plan).await;
    fleet.document["revision"] = 2.into();
    fleet.document["classes"][0]["batch"] = 1.into();
    fleet.configuration.publish("fleet", fleet.document.to_string());
    let operators = fleet.upstreams[0].process().operators;
    let revision = || async {
        let page = testenv::client().get(format!("http://{operators}/status")).send().await;
        let page = testenv::whole(page.unwrap()).await.unwrap();
        serde_json::from_slice::<serde_json::Value>(&page).unwrap()["revision"].as_u64()
    };
    testenv::wait_until(|| async { revision().await == Some(2) }).await;
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_gets_no_more_than_its_batch_and_every_request_is_answered() {
    let fleet = fleet_with_batch_of_one().await;
    let prompts: Vec<_> = (0..8).map(|n| format!("cloud {n}")).collect();
    let calls = prompts.iter().map(|prompt| fleet.send(0, Call::chat(prompt, 20, false)));
    let mut calls = pin!(future::join_all(calls));
    let mut max_running = 0;

    let answers = loop {
        tokio::select! {
            answers = &mut calls => break answers,
            () = tokio::time::sleep(STEP.duration()) => {}
        }
        max_running = max_running.max(fleet.engines[0].load().running);
    };

    assert!(answers.iter().all(|answer| answer.status() == StatusCode::OK));
    assert_eq!(max_running, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn waiting_request_leaves_the_queue_when_its_caller_goes_away() {
    let fleet = fleet_with_batch_of_one().await;
    let running = fleet.send(0, Call::chat("long", 200, true)).await;
    testenv::wait_until(|| async { fleet.engines[0].load().running == 1 }).await;

    let waiting = fleet.send(0, Call::chat("gone", 1, false));
    let abandoned = tokio::time::timeout(std::time::Duration::from_millis(50), waiting).await;
    testenv::whole(running).await.unwrap();
    let next = fleet.send(0, Call::chat("next", 1, false)).await;

    assert!(abandoned.is_err());
    assert_eq!(next.status(), StatusCode::OK);
    assert_eq!(fleet.engines[0].counters().started, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_cannot_be_finished_in_time_is_refused_while_the_engine_is_busy() {
    let fleet = fleet_with_batch_of_one().await;
    let measured = fleet.send(0, Call::chat("measured", 20, false)).await;
    let running = fleet.send(0, Call::chat("long", 5_000, true)).await;
    testenv::wait_until(|| async { fleet.engines[0].load().running == 1 }).await;

    let late = Call::chat("late", 100_000, false).with_header("agateflow-timeout-ms", "5000");
    let late = fleet.send(0, late).await;

    assert_eq!(measured.status(), StatusCode::OK);
    assert_eq!(testenv::outcome(&late).as_deref(), Some("not-run"));
    assert!(late.headers().contains_key("retry-after"));
    assert_eq!(fleet.engines[0].load().running, 1);
    assert_eq!(fleet.engines[0].counters().started, 2);
    drop(running);
}
