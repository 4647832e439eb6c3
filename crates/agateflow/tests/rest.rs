//! Upstreams that ask for rest, as the choice among upstreams sees them.

#![allow(clippy::unwrap_used)]

mod directfixture;

use agateflow::direct::directory::Upstream;
use agateflow::direct::load::{Candidate, Choice, Load};
use agateflow::id;
use directfixture::{context, ms, upstream, vm};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn choose(load: &Load, upstreams: &[Upstream], now: u64) -> Choice {
    let now = ms(now);
    let candidates = upstreams.iter().map(|upstream| Candidate {
        upstream,
        limit: 6.0,
        open: upstream.open,
        within_rate: true,
        rests_until: load.rests_until(upstream, now),
    });
    let here = id::DataCentre::new("a").unwrap();
    load.choose(candidates, &context(&[], &here), &mut Pcg64Mcg::seed_from_u64(1), now)
}

#[rstest]
#[case::during_the_rest(3_999, "free")]
#[case::after_the_rest(4_000, "rests")]
fn upstream_that_rests_is_chosen_again_after_its_rest(#[case] now: u64, #[case] expected: &str) {
    let upstreams = [upstream("rests"), upstream("free")];
    let mut load = Load::new();
    load.record_rest(upstreams[0].incarnation(), ms(3_000), ms(1_000));
    load.start(&vm("free"));

    let choice = choose(&load, &upstreams, now);

    assert_eq!(choice, Choice::Send(vm(expected)));
}

#[test]
fn first_end_is_told_if_all_upstreams_rest() {
    let upstreams = [upstream("a"), upstream("b")];
    let mut load = Load::new();
    load.record_rest(upstreams[0].incarnation(), ms(3_000), ms(0));
    load.record_rest(upstreams[1].incarnation(), ms(2_000), ms(500));

    let choice = choose(&load, &upstreams, 1_000);

    assert_eq!(choice, Choice::Resting(ms(2_500)));
}

#[test]
fn shorter_rest_does_not_end_a_longer_one() {
    let upstreams = [upstream("a")];
    let mut load = Load::new();
    load.record_rest(upstreams[0].incarnation(), ms(3_000), ms(0));
    load.record_rest(upstreams[0].incarnation(), ms(100), ms(200));

    assert_eq!(load.rests_until(&upstreams[0], ms(1_000)), Some(ms(3_000)));
}

#[test]
fn next_process_of_an_upstream_does_not_rest() {
    let before = upstream("a");
    let after = [Upstream { started_at: 2, ..upstream("a") }];
    let mut load = Load::new();
    load.record_rest(before.incarnation(), ms(3_000), ms(0));

    let choice = choose(&load, &after, 10);

    assert_eq!(choice, Choice::Send(vm("a")));
}

#[test]
fn upstream_that_rests_has_no_free_capacity() {
    let upstreams = [upstream("a")];
    let mut load = Load::new();
    load.record_rest(upstreams[0].incarnation(), ms(3_000), ms(0));

    let candidate = Candidate {
        upstream: &upstreams[0],
        limit: 6.0,
        open: true,
        within_rate: true,
        rests_until: load.rests_until(&upstreams[0], ms(10)),
    };

    assert!(load.free_capacity([candidate].into_iter()).abs() < f64::EPSILON);
}
