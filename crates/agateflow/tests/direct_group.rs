//! Tests how an entry queues requests, limits ranks and notices that a group of ranks is closed.

#![allow(clippy::unwrap_used)]

mod directfixture;

use agateflow::direct::directory::{Rank, Upstream};
use agateflow::direct::group::{self, Group};
use agateflow::direct::limiter::Limiter;
use agateflow::direct::load::{Candidate, Choice, Load};
use agateflow::direct::outage::Outage;
use agateflow::direct::queue::{Item, Queue};
use agateflow::id;
use agateflow::unit::Micros;
use directfixture::{context, engine, ms, upstream, vm};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

fn item(priority: u8, arrived: u64) -> Item {
    Item {
        priority,
        arrived: ms(arrived),
        on_time_until: ms(arrived + 300),
        latest_start: ms(arrived + 1_000),
        latest_start_if_closed: ms(arrived + 1_700),
    }
}

#[test]
fn queue_serves_by_priority_then_timeliness_then_arrival() {
    let mut queue = Queue::new();
    let late = queue.push(item(1, 0), ms(0)).unwrap();
    let second = queue.push(item(1, 250), ms(250)).unwrap();
    let third = queue.push(item(1, 260), ms(260)).unwrap();
    let urgent = queue.push(item(0, 270), ms(270)).unwrap();

    let mut order = Vec::new();
    while let Some(ticket) = queue.peek(ms(400)) {
        queue.serve(ticket, ms(400));
        order.push(ticket);
    }

    assert_eq!(order, [urgent, second, third, late]);
}

#[test]
fn queue_refuses_requests_that_would_wait_too_long() {
    let mut queue = Queue::new();
    for number in 0..30 {
        let ticket = queue.push(item(1, number * 100), ms(number * 100)).unwrap();
        queue.serve(ticket, ms(number * 100));
    }
    let accepted = (0..50).filter(|_| queue.push(item(1, 3_000), ms(3_000)).is_some()).count();

    let retry_after = queue.retry_after(1);

    assert!((9..=12).contains(&accepted), "{accepted} queued for 1 s at 0.1 s each");
    assert!(retry_after >= ms(900), "{retry_after}");
}

#[test]
fn limit_drops_after_a_slow_pass_and_recovers() {
    let mut limiter = Limiter::new(&engine(), ms(120), None, ms(0));
    let steady = |limiter: &mut Limiter, from: u64, to: u64| {
        for now in (from..to).step_by(10) {
            limiter.record_pause(Micros::new(50_000), 6.0, ms(now));
        }
    };
    steady(&mut limiter, 0, 10_000);
    let before = limiter.limit();

    limiter.record_pause(Micros::new(160_000), 6.0, ms(10_000));
    let after = limiter.limit();
    steady(&mut limiter, 10_010, 40_000);

    assert!(after < 7.0, "limit {after} after a pass of 160 ms with 6 requests");
    assert!(before > 10.0 && limiter.limit() > 10.0, "{before}, {}", limiter.limit());
}

#[test]
fn slow_pass_with_few_requests_leaves_headroom() {
    let mut limiter = Limiter::new(&engine(), ms(120), None, ms(0));

    // Copies and switches of expert maps at startup caused 126 ms, not three requests per rank.
    limiter.record_pause(Micros::new(126_000), 3.0, ms(100));
    limiter.record_pause(Micros::new(50_000), 6.0, ms(200));

    assert!(limiter.limit() > 6.0, "limit {} while passes take 50 ms", limiter.limit());
}

#[test]
fn new_limiter_starts_from_the_cost_measured_by_others() {
    let mut old = Limiter::new(&engine(), ms(120), None, ms(0));
    old.record_pause(Micros::new(160_000), 6.0, ms(10));

    let new = Limiter::new(&engine(), ms(120), Some(old.peak_cost_factor()), ms(20));

    assert!((new.limit() - old.limit()).abs() < 0.1, "{} and {}", new.limit(), old.limit());
}

#[test]
fn stall_does_not_change_the_limit() {
    let mut limiter = Limiter::new(&engine(), ms(120), None, ms(0));
    let before = limiter.limit();

    limiter.record_pause(Micros::new(1_500_000), 6.0, ms(100));

    assert!((limiter.limit() - before).abs() < 1e-9);
}

#[test]
fn retry_delay_follows_the_length_of_the_outage() {
    let mut outage = Outage::default();
    outage.mark_closed(ms(1_000));

    let early = outage.retry_after(ms(600), ms(1_000));
    let late = outage.retry_after(ms(600), ms(3_500));
    outage.reset();

    assert_eq!(early, ms(2_500));
    assert_eq!(late, ms(3_100));
    assert!(!outage.is_backing_off(ms(3_500)));
}

#[test]
fn two_unreachable_ranks_close_the_group_unless_one_responds_in_between() {
    let mut cut_off = Outage::default();
    let mut lossy = Outage::default();

    cut_off.record_unreachable(&vm("a"), ms(0));
    cut_off.record_unreachable(&vm("a"), ms(400));
    let closed_by_one = cut_off.is_backing_off(ms(401));
    cut_off.record_unreachable(&vm("b"), ms(800));
    lossy.record_unreachable(&vm("a"), ms(0));
    lossy.reset();
    lossy.record_unreachable(&vm("b"), ms(400));

    assert!(!closed_by_one, "the fault may be in one rank");
    assert!(cut_off.is_backing_off(ms(801)));
    assert!(!lossy.is_backing_off(ms(401)));
}

fn rank(name: &str, group: &str) -> Upstream {
    Upstream { rank: Some(Rank { group: group.into(), index: 0 }), ..upstream(name) }
}

fn group() -> Group {
    let mut group = Group::default();
    group.configure(Some(engine()), Some(ms(120)), None, ms(0));
    group
}

#[test]
fn silent_group_stalls_and_is_probed_by_one_request_at_a_time() {
    let mut group = group();
    group.stall.request_started(ms(1_000));
    group.stall.request_started(ms(1_000));

    let stall_count = (1_000..1_500).step_by(50).filter(|&now| group.check_stall(ms(now))).count();
    let closed = group.is_closed(ms(1_500));
    group.stall.request_ended();
    group.stall.request_ended();
    let closed_after_backoff = group.is_closed(ms(2_500));
    group.stall.request_started(ms(2_500));
    let closed_by_probe = group.is_closed(ms(2_500));
    group.record_activity(ms(2_600));

    assert_eq!(
        (stall_count, closed, closed_after_backoff, closed_by_probe),
        (1, true, false, true)
    );
    assert!(!group.is_closed(ms(2_600)), "the group responded");
}

#[test]
fn no_stall_is_detected_while_events_arrive_or_after_the_entry_was_paused() {
    let mut passing = group();
    let mut paused = group();
    for group in [&mut passing, &mut paused] {
        group.stall.request_started(ms(0));
        group.stall.request_started(ms(0));
        group.check_stall(ms(0));
    }

    for now in (0..5_000).step_by(50) {
        if now % 100 == 0 {
            passing.record_activity(ms(now));
        }
        assert!(!passing.check_stall(ms(now)));
    }
    assert!(!paused.check_stall(ms(5_000)), "the entry itself was paused");
}

#[test]
fn probes_of_a_closed_group_back_off() {
    let mut outage = Outage::default();
    let mut probes = 0;

    for now in 0..10_000 {
        if !outage.is_backing_off(ms(now)) {
            probes += 1;
            outage.back_off(ms(now));
        }
    }

    assert!((4..=7).contains(&probes), "{probes} probes in 10 s");
}

#[test]
fn upstream_of_an_open_group_is_chosen() {
    let local_data_centre = id::DataCentre::new("a").unwrap();
    let upstreams = [rank("a1", "a"), rank("a2", "a"), rank("b1", "b")];
    let candidates = || {
        upstreams.iter().map(|upstream| Candidate {
            upstream,
            limit: 9.0,
            open: group::name(upstream) == "b",
            within_rate: true,
            rests_until: None,
        })
    };
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let load = Load::new();

    let chosen = load.choose(candidates(), &context(&[], &local_data_centre), &mut rng, ms(0));
    let tried = [vm("b1")];
    let closed = load.choose(candidates(), &context(&tried, &local_data_centre), &mut rng, ms(0));

    assert_eq!((chosen, closed), (Choice::Send(vm("b1")), Choice::Closed));
    assert!(group::Id::of(&upstreams[0]).contains(&upstreams[1]));
    assert!(!group::Id::of(&upstreams[0]).contains(&upstreams[2]));
}

#[test]
fn lower_utilization_beats_fewer_requests() {
    let local_data_centre = id::DataCentre::new("a").unwrap();
    let upstreams = [rank("slow", "a"), rank("fast", "b")];
    let mut load = Load::new();
    load.report("other", IndexMap::from([(vm("slow"), 3), (vm("fast"), 4)]), ms(0));
    let limit = |upstream: &Upstream| if group::name(upstream) == "a" { 4.0 } else { 12.0 };
    let candidates = upstreams.iter().map(|upstream| Candidate {
        upstream,
        limit: limit(upstream),
        open: true,
        within_rate: true,
        rests_until: None,
    });

    let choice = load.choose(
        candidates,
        &context(&[], &local_data_centre),
        &mut Pcg64Mcg::seed_from_u64(1),
        ms(1),
    );

    assert_eq!(choice, Choice::Send(vm("fast")));
}

#[test]
fn queued_request_waits_for_a_closed_group_until_its_caller_gives_up() {
    let mut queue = Queue::new();
    let queued = queue.push(item(1, 0), ms(0)).unwrap();

    queue.extend_for_opening();
    let gone = queue.expire(ms(1_600));
    let first = queue.peek(ms(1_600));
    let late = queue.expire(ms(1_701));

    assert_eq!((gone, first, late), (Vec::new(), Some(queued), vec![queued]));
}

#[test]
fn queue_for_a_closed_group_is_bounded() {
    let mut queue = Queue::new();

    let taken = (0..20).filter(|&n| queue.push_while_closed(item(1, n), 12).is_some()).count();

    assert_eq!(taken, 12);
}
