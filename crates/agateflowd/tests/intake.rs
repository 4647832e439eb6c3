//! Connections that are admitted, told to go and turned away.

#![allow(clippy::unwrap_used)]

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use agateflow::intake::{Limits, Stage};
use agateflow::unit::Bytes;
use agateflowd::intake::{Full, Intake};
use agateflowd::log;
use tokio::time;

const CALLER: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

fn intake(connections: usize) -> Arc<Intake> {
    let limits = Limits { memory: Bytes::new(1 << 20), reserve: Bytes::ZERO, connections };
    Intake::new(limits, log::discard())
}

#[tokio::test]
async fn connection_is_turned_away_where_all_are_at_work() {
    let intake = intake(1);
    let first = intake.admit(CALLER).await.unwrap();
    first.enter(Stage::Running);

    let second = time::timeout(Duration::from_secs(5), intake.admit(CALLER)).await.unwrap();

    assert!(second.is_none());
}

#[tokio::test]
async fn new_connection_waits_until_an_idle_one_has_closed() {
    let intake = intake(1);
    let first = intake.admit(CALLER).await.unwrap();
    first.enter(Stage::Idle);
    let (second, ()) = tokio::join!(intake.admit(CALLER), async move {
        first.evicted().await;
        drop(first);
    });

    assert!(second.is_some());
    assert!(!second.unwrap().is_evicted());
}

#[tokio::test]
async fn charge_is_released_when_it_is_dropped() {
    let intake = intake(1);
    let connection = intake.admit(CALLER).await.unwrap();
    let before = intake.held();
    let charge = connection.charge(500_000).await.unwrap();
    let too_much = connection.charge(600_000).await.err();

    drop(charge);

    assert_eq!(too_much, Some(Full));
    assert_eq!(intake.held(), before);
}
