//! Calls that may not be repeated: tickets and idempotency keys through any entry.

#![allow(clippy::unwrap_used)]

mod testenv;

use agateflow_standin::service;
use http::StatusCode;
use serde_json::json;
use testenv::{Call, Fleet, Plan};

const BODY: &str = "sensor 7: offset 0.3";

fn plan() -> Plan {
    Plan::new().with_entries(2).with_services(2)
}

/// Number of times that the services ran the call.
fn runs(fleet: &Fleet) -> u64 {
    let call = service::Call::new(&http::Method::POST, "/calibrations", BODY.as_bytes());
    fleet.services.iter().map(|service| service.runs(&call)).sum()
}

fn calibration() -> Call {
    Call::new("POST", "/calibrations", BODY)
}

async fn ticket(fleet: &Fleet) -> String {
    let request = json!({ "route": "calibrate" }).to_string();
    let response = fleet.send(0, Call::new("POST", "/agateflow/v1/tickets", &request)).await;
    let body = testenv::whole(response).await.unwrap();
    let document: serde_json::Value = serde_json::from_slice(&body).unwrap();
    document["tickets"][0].as_str().unwrap().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn call_with_a_ticket_runs_once_through_two_entries() {
    let fleet = Fleet::start(plan()).await;
    let ticket = ticket(&fleet).await;
    let call = || calibration().with_header("agateflow-ticket", &ticket);

    let first = testenv::whole(fleet.send(0, call()).await).await.unwrap();
    let second = fleet.send(1, call()).await;

    assert_eq!(testenv::outcome(&second).as_deref(), Some("ran"));
    assert_eq!(testenv::whole(second).await.unwrap(), first);
    assert_eq!(runs(&fleet), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn ticket_of_a_replaced_process_never_runs() {
    let mut fleet = Fleet::start(plan()).await;
    let ticket = ticket(&fleet).await;
    for index in 0..2 {
        let upstream = fleet.engines.len() + index;
        fleet.upstreams[upstream].kill().await;
        fleet.upstreams[upstream] = fleet.start_upstream(upstream).await;
    }
    fleet.wait_for_links(0, 4).await;

    let response = fleet.send(0, calibration().with_header("agateflow-ticket", &ticket)).await;

    assert_eq!(testenv::outcome(&response).as_deref(), Some("unknown"));
    assert_eq!(runs(&fleet), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_ticket_is_refused() {
    let fleet = Fleet::start(plan()).await;
    let mut ticket = ticket(&fleet).await;
    let last = ticket.pop().unwrap();
    ticket.push(if last == '0' { '1' } else { '0' });

    let response = fleet.send(0, calibration().with_header("agateflow-ticket", &ticket)).await;

    assert_eq!(response.status(), StatusCode::BAD_REQUEST);
    assert_eq!(runs(&fleet), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn call_with_a_key_runs_once_through_two_entries() {
    let fleet = Fleet::start(plan()).await;
    let call = || calibration().with_header("idempotency-key", "order-81");
    // The home VM rejects keys until the other VM has confirmed its revision.
    let accepted = || async { fleet.send(0, call()).await.status() == StatusCode::OK };
    testenv::wait_until(accepted).await;

    let second = fleet.send(1, call()).await;

    assert_eq!(testenv::outcome(&second).as_deref(), Some("ran"));
    assert_eq!(runs(&fleet), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_used_with_another_body_is_a_conflict() {
    let fleet = Fleet::start(plan()).await;
    let call =
        |body| Call::new("POST", "/calibrations", body).with_header("idempotency-key", "order-81");
    let accepted = || async { fleet.send(0, call(BODY)).await.status() == StatusCode::OK };
    testenv::wait_until(accepted).await;

    let response = fleet.send(1, call("another")).await;

    assert_eq!(response.status(), StatusCode::CONFLICT);
    assert_eq!(testenv::outcome(&response).as_deref(), Some("not-run"));
}
