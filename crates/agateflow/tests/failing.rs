//! Upstreams whose engine failed are avoided for a limited time.

#![allow(clippy::unwrap_used)]

use agateflow::route::failing::{INITIAL_BACKOFF, MAX_BACKOFF, Tracker};
use agateflow::{id, unit};

fn vm() -> id::Vm {
    "engine-1".parse().unwrap()
}

fn at(millis: u64) -> unit::Millis {
    unit::Millis::new(millis)
}

#[test]
fn failure_ends_after_the_initial_backoff() {
    let mut failures = Tracker::new();

    failures.record_failure(&vm(), at(10));

    assert!(failures.is_failing(&vm(), at(10)));
    assert!(!failures.is_failing(&vm(), at(10) + INITIAL_BACKOFF));
}

#[test]
fn failures_of_one_crash_count_once() {
    let mut failures = Tracker::new();

    for _ in 0..20 {
        failures.record_failure(&vm(), at(10));
    }

    assert!(!failures.is_failing(&vm(), at(10) + INITIAL_BACKOFF));
}

#[test]
fn backoff_grows_to_its_maximum() {
    let mut failures = Tracker::new();
    let mut now = at(10);

    for _ in 0..10 {
        failures.record_failure(&vm(), now);
        while failures.is_failing(&vm(), now) {
            now += at(100);
        }
    }
    failures.record_failure(&vm(), now);

    assert!(failures.is_failing(&vm(), now + MAX_BACKOFF.saturating_sub(at(1))));
    assert!(!failures.is_failing(&vm(), now + MAX_BACKOFF));
}

#[test]
fn success_ends_the_failure() {
    let mut failures = Tracker::new();
    failures.record_failure(&vm(), at(10));

    failures.record_success(&vm());

    assert!(!failures.is_failing(&vm(), at(10)));
}
