//! Selection of an upstream by delayed reports, own requests and cache hints.

#![allow(clippy::unwrap_used)]

use agateflow::route::{Balancer, Candidate, Report, Speed, Work, affinity, load};
use agateflow::{id, unit};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SEED: u64 = 7;

const SPEED: Speed = Speed { prefill: 10_000, step: unit::Micros::new(20_000), batch: 8 };

fn candidate(name: &str, local: bool) -> Candidate {
    Candidate { vm: name.parse().unwrap(), speed: SPEED, local }
}

fn attempt(number: u64) -> id::Attempt {
    id::Attempt::new("1".repeat(32).parse().unwrap(), number)
}

fn at(millis: u64) -> unit::Millis {
    unit::Millis::new(millis)
}

/// 1,000 prompt tokens, 100 ms of prefill, and 80 steps, 200 ms of the engine's time at batch 8.
fn work(prompt: &[u8]) -> Work {
    let prefix = affinity::Prefix::new("summary", prompt);
    Work { prompt: unit::Tokens::new(1_000), output: unit::Tokens::new(80), prefix }
}

fn report(queued: u64, received_at: u64, running: u32) -> Report {
    Report { queued: at(queued), received_at: at(received_at), running, ..Report::default() }
}

#[test]
fn estimate_adds_queue_prompt_and_steps() {
    let engine = candidate("a", true);
    let mut balancer = Balancer::new();
    balancer.apply_report(&engine.vm, &report(500, 1_000, 4));

    let estimate = balancer.estimate(&engine, &work(b""), at(1_000));

    assert_eq!(estimate, unit::Micros::new(500_000 + 100_000 + 1_600_000));
}

#[test]
fn delayed_report_is_corrected_by_own_requests() {
    let engine = candidate("a", true);
    let mut balancer = Balancer::new();
    let idle = balancer.estimate(&engine, &work(b""), at(1_000));
    balancer.start(attempt(1), &engine, &work(b""), at(1_000));
    balancer.start(attempt(2), &engine, &work(b""), at(1_000));

    balancer.apply_report(&engine.vm, &report(0, 1_010, 0));

    let loaded = balancer.estimate(&engine, &work(b""), at(1_010));
    assert_eq!(loaded, idle + unit::Micros::new(2 * 300_000));
}

#[test]
fn report_replaces_what_was_sent_before_it() {
    let engine = candidate("a", true);
    let mut balancer = Balancer::new();
    let idle = balancer.estimate(&engine, &work(b""), at(1_000));
    balancer.start(attempt(1), &engine, &work(b""), at(1_000));

    balancer.apply_report(&engine.vm, &report(50, 1_200, 1));

    let loaded = balancer.estimate(&engine, &work(b""), at(1_200));
    assert_eq!(loaded, idle + unit::Micros::new(50_000));
}

#[test]
fn report_that_misses_own_requests_is_ignored() {
    let engine = candidate("a", true);
    let mut balancer = Balancer::new();
    let idle = balancer.estimate(&engine, &work(b""), at(1_000));
    balancer.start(attempt(1), &engine, &work(b""), at(1_000));

    balancer.apply_report(&engine.vm, &report(0, 1_100, 0));

    let loaded = balancer.estimate(&engine, &work(b""), at(1_100));
    assert_eq!(loaded, idle + unit::Micros::new(200_000));
}

#[test]
fn cancelled_attempt_is_removed_from_the_backlog() {
    let engine = candidate("a", true);
    let mut balancer = Balancer::new();
    let idle = balancer.estimate(&engine, &work(b""), at(1_000));
    balancer.start(attempt(1), &engine, &work(b""), at(1_000));

    balancer.end(attempt(1), &engine.vm, at(1_000));

    assert_eq!(balancer.estimate(&engine, &work(b""), at(1_000)), idle);
}

#[test]
fn holder_of_the_prefix_is_chosen_until_the_load_bound() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let engines: Vec<Candidate> = names.iter().map(|name| candidate(name, true)).collect();
    let work = work(&[7; 4_096]);
    let mut balancer = Balancer::new();
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    balancer.start(attempt(0), &engines[3], &work, at(1_000));
    balancer.end(attempt(0), &engines[3].vm, at(1_000));

    let idle: Vec<_> =
        (0..32).map(|_| balancer.choose(&engines, &work, &mut rng, at(1_000))).collect();
    balancer.apply_report(&engines[3].vm, &report(60_000, 2_000, 8));
    let busy: Vec<_> =
        (0..32).map(|_| balancer.choose(&engines, &work, &mut rng, at(2_000))).collect();

    assert!(idle.iter().all(|index| *index == Some(3)));
    assert!(busy.iter().all(|index| index.is_some_and(|index| index != 3)));
}

#[test]
fn hint_loses_confidence_with_age() {
    let prefix = affinity::Prefix::new("summary", &[7; 4_096]);
    let vm: id::Vm = "a".parse().unwrap();
    let mut table = affinity::Table::default();
    table.insert(&prefix, &vm, at(0));

    let fresh = table.holders(&prefix, at(0))[&vm];
    let aged = table.holders(&prefix, affinity::HALF_LIFE)[&vm];

    assert_eq!(fresh, unit::Tokens::new(4 * affinity::CHUNK_TOKENS));
    assert_eq!(aged, unit::Tokens::new(2 * affinity::CHUNK_TOKENS));
}

#[test]
fn another_data_centre_is_chosen_only_beyond_the_bound() {
    let engines = [candidate("near", true), candidate("far", false)];
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let bound = load::SPILL_THRESHOLD.get() / 1_000;
    let mut balancer = Balancer::new();

    balancer.apply_report(&engines[0].vm, &report(bound, 1_000, 8));
    let within = balancer.choose(&engines, &work(b""), &mut rng, at(1_000));
    balancer.apply_report(&engines[0].vm, &report(bound + 1, 2_000, 8));
    let beyond = balancer.choose(&engines, &work(b""), &mut rng, at(2_000));

    assert_eq!((within, beyond), (Some(0), Some(1)));
}

#[test]
fn no_candidates_give_no_choice() {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);

    let choice = Balancer::new().choose(&[], &work(b""), &mut rng, at(0));

    assert_eq!(choice, None);
}
