//! Responses to callers whose team exceeds its limits.

#![allow(clippy::unwrap_used)]

mod testenv;

use http::{StatusCode, header};
use testenv::{Call, Fleet, Plan};

#[tokio::test(flavor = "multi_thread")]
async fn request_over_the_limit_is_rejected_with_retry_after() {
    let plan = Plan { requests_per_second: 0.01, burst: 2, ..Plan::new() };
    let fleet = Fleet::start(plan).await;
    let send = || fleet.send(0, Call::new("GET", "/stations/1", ""));

    let statuses = [send().await.status(), send().await.status()];
    let rejected = send().await;

    assert_eq!(statuses, [StatusCode::OK; 2]);
    assert_eq!(rejected.status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(testenv::outcome(&rejected).as_deref(), Some("not-run"));
    let retry_after_secs =
        rejected.headers()[header::RETRY_AFTER].to_str().unwrap().parse::<u64>().unwrap();
    assert!((1..=100).contains(&retry_after_secs), "{retry_after_secs}");
}

#[tokio::test(flavor = "multi_thread")]
async fn completed_call_with_a_key_has_unknown_outcome_over_the_limit() {
    let plan = Plan { requests_per_second: 0.01, burst: 1_500, ..Plan::new() };
    let fleet = Fleet::start(plan).await;
    let send = || {
        let call = Call::new("POST", "/calibrations", "sensor 7");
        fleet.send(0, call.with_header("idempotency-key", "order-81"))
    };
    let completed = || async { send().await.status() == StatusCode::OK };
    testenv::wait_until(completed).await;

    let use_quota = || fleet.send(0, Call::new("GET", "/stations/1", ""));
    while use_quota().await.status() != StatusCode::TOO_MANY_REQUESTS {}
    let rejected = send().await;

    assert_eq!(testenv::outcome(&rejected).as_deref(), Some("unknown"));
}
