//! Load and speed trackers, pacing of transfers, and decisions of the controller.

use agateflow::plan;
use agateflow::plan::{control, cost, load, map, pace, problem, speed};
use agateflow::{id, unit};
use rstest::rstest;

const MIB: u64 = 1 << 20;

fn at(milliseconds: u64) -> unit::Millis {
    unit::Millis::new(milliseconds)
}

fn ranks() -> Vec<problem::Rank> {
    let rank = |i: usize| problem::Rank { name: format!("r{i}").into(), speed: 1.0, slots: 3 };
    (0..4).map(rank).collect()
}

fn first_map(load: &[f64]) -> map::Map {
    plan::plan(&problem::Problem {
        ranks: ranks(),
        layers: vec![problem::Layer { load: load.to_vec() }],
        current: None,
        weights: problem::Weights { skew: 1.0, moves: 0.0 },
    })
}

/// A controller whose group has run for 10 s with uniform loads.
fn controller() -> control::Controller {
    let settings = control::Settings {
        weights: problem::Weights { skew: 1.0, moves: 0.1 },
        interval: at(5000),
        decay: at(2000),
        batch: 8,
    };
    let mut control = control::Controller::new(settings, ranks(), first_map(&[1.0; 8]), at(0));
    for second in 1..=10 {
        observe(&mut control, second, &[1.0; 8], 1.0);
        decide_and_load(&mut control, second);
    }
    control
}

fn observe(control: &mut control::Controller, second: u64, load: &[f64], speed_of_r0: f64) {
    control.observe_loads(at(second * 1000), &[load.to_vec()]);
    for rank in 0..4 {
        let speed = if rank == 0 { speed_of_r0 } else { 1.0 };
        control.observe_rank(rank, at(second * 1000), 1.0, 1.0 / speed);
    }
}

/// Runs a decision, reports all its slots as loaded and returns their number.
fn decide_and_load(control: &mut control::Controller, second: u64) -> usize {
    let mut loads = 0;
    for output in control.decide(at(second * 1000)) {
        if let control::Output::Load(slot) = output {
            control.mark_loaded(&slot);
            loads += 1;
        }
    }
    loads
}

fn load_share(control: &control::Controller, load: &[f64], rank: &str) -> f64 {
    let experts = control.map().layers[0].experts.iter().zip(load);
    experts.flat_map(|(r, l)| r.iter().filter(|r| &*r.rank == rank).map(move |r| r.share * l)).sum()
}

#[test]
fn steady_loads_move_nothing() {
    let mut control = controller();

    let loads: usize = (11..120)
        .map(|second| {
            observe(&mut control, second, &[1.0; 8], 1.0);
            decide_and_load(&mut control, second)
        })
        .sum();

    assert_eq!(loads, 0);
}

#[test]
fn short_straggler_gets_less_load_at_once_and_moves_nothing() {
    let mut control = controller();
    let before = load_share(&control, &[1.0; 8], "r0");

    let loads: usize = (11..=13)
        .map(|second| {
            observe(&mut control, second, &[1.0; 8], 0.5);
            decide_and_load(&mut control, second)
        })
        .sum();

    let after = load_share(&control, &[1.0; 8], "r0");
    assert_eq!(loads, 0);
    assert!(after < 0.7 * before, "{after} is not below 0.7 of {before}");
}

#[test]
fn persistent_hotspot_is_spread_by_moves() {
    let mut control = controller();
    let load = [40.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];

    let loads: usize = (11..60)
        .map(|second| {
            observe(&mut control, second, &load, 1.0);
            decide_and_load(&mut control, second)
        })
        .sum();

    let problem = problem::Problem {
        ranks: ranks(),
        layers: vec![problem::Layer { load: load.to_vec() }],
        current: None,
        weights: problem::Weights { skew: 1.0, moves: 0.0 },
    };
    let skew = cost::Cost::new(&problem, control.map()).skew;
    assert!(loads > 0);
    assert!(skew < 0.01, "{skew}");
}

#[test]
fn experts_of_a_lost_rank_are_covered_at_once() {
    let mut control = controller();

    control.mark_lost(1);
    let loads = decide_and_load(&mut control, 11);
    decide_and_load(&mut control, 12);

    let experts = &control.map().layers[0].experts;
    assert!(loads <= 3, "{loads}");
    assert!(experts.iter().all(|replicas| !replicas.is_empty()));
    assert!(experts.iter().flatten().all(|replica| &*replica.rank != "r1"));
}

#[test]
fn forecast_corrects_the_lag_under_a_trend() {
    let mut loads = load::Tracker::new(at(2000));
    for second in 0..60 {
        loads.observe(at(second * 1000), &[vec![100.0 + second as f64]]);
    }

    let forecast = loads.forecast(at(60_000))[0][0];

    assert!((forecast - 160.0).abs() < 2.0, "{forecast}");
}

#[rstest]
#[case::same(10_000, vec![5.0])]
#[case::older(9_000, vec![5.0])]
#[case::other_shape(11_000, vec![5.0, 5.0])]
#[case::negative(11_000, vec![-5.0])]
#[case::not_finite(11_000, vec![f64::NAN])]
fn unusable_load_report_changes_nothing(#[case] time: u64, #[case] report: Vec<f64>) {
    let mut loads = load::Tracker::new(at(2000));
    loads.observe(at(10_000), &[vec![1.0]]);

    let accepted = loads.observe(at(time), &[report]);

    assert!(!accepted);
    assert_eq!(loads.forecast(at(10_000)), [[1.0]]);
}

#[test]
fn short_term_speed_follows_within_two_seconds_and_long_term_does_not() {
    let mut speeds = speed::Tracker::new(&[1.0]);
    for tick in 0..=4 {
        speeds.observe(0, at(tick * 500), 1.0, 1.0);
    }

    for tick in 5..=8 {
        speeds.observe(0, at(tick * 500), 1.0, 2.0);
    }

    assert!(speeds.short_term(0) < 0.55, "{}", speeds.short_term(0));
    assert!(speeds.long_term(0) > 0.9, "{}", speeds.long_term(0));
}

fn group(name: &str) -> id::Group {
    match id::Group::new(name) {
        Ok(group) => group,
        Err(error) => panic!("{error}"),
    }
}

fn transfer(name: &str, expert: usize) -> pace::Transfer {
    pace::Transfer {
        group: group(name),
        layer: 0,
        expert,
        rank: "r0".into(),
        size: unit::Bytes::new(MIB),
    }
}

/// A queue at 4 MiB/s with three transfers of each of two groups.
fn queue() -> pace::Queue {
    let mut queue = pace::Queue::new(unit::Bytes::new(4 * MIB), at(0));
    for group in ["a", "b"] {
        (0..3).for_each(|expert| queue.push(transfer(group, expert)));
    }
    queue
}

#[test]
fn groups_take_turns() {
    let mut queue = queue();

    let order: Vec<String> =
        (1..=6).filter_map(|t| queue.next(at(t * 250))).map(|i| i.group.to_string()).collect();

    assert_eq!(order, ["a", "b", "a", "b", "a", "b"]);
}

#[test]
fn tokens_bound_the_rate() {
    let mut queue = queue();

    let started = (1..=100).filter(|t| queue.next(at(t * 10)).is_some()).count();

    assert!((3..=5).contains(&started), "{started} transfers of 1 MiB in 1 s at 4 MiB/s");
}

#[test]
fn rejection_backs_off_longer_each_time_and_loses_nothing() {
    let mut queue = pace::Queue::new(unit::Bytes::new(4 * MIB), at(0));
    (0..3).for_each(|expert| queue.push(transfer("a", expert)));
    let first = queue.next(at(1000)).unwrap();
    queue.rejected(first.clone(), at(1000), Some(at(500)));

    let during_backoff = queue.next(at(1499));
    let again = queue.next(at(1500)).unwrap();
    queue.rejected(again.clone(), at(1500), None);

    assert_eq!(during_backoff, None);
    assert_eq!(again, first);
    assert_eq!(queue.next(at(1899)), None);
    assert_eq!(queue.len(), 3);
}
