//! Guarantees about requests under random faults: requests and tables joined by a faulty network.

#![allow(clippy::unwrap_used)]

use agateflow::request::simulation::{Call, Faults, Kind, Mode, Settings, Simulation, Stats};
use agateflow::unit;

const CALLS: usize = 400;

fn run(settings: Settings) -> (Stats, Simulation) {
    let mut simulation = Simulation::new(settings).unwrap().with_caller_retries();
    simulation.set_faults_enabled(true);
    for n in 0..CALLS {
        simulation.call(Kind::ALL[n % Kind::ALL.len()], None);
        simulation.run(unit::Millis::new(10));
    }
    simulation.set_faults_enabled(false);
    simulation.run(unit::Millis::new(20_000));
    (simulation.stats(), simulation)
}

fn faults_of(name: &str) -> Faults {
    let none = Faults::none();
    match name {
        "lose" => Faults { message_loss: 200, ..none },
        "double" => Faults { message_duplication: 500, ..none },
        "delay" => Faults { message_delay: 500, ..none },
        "cut" => Faults { link_cut: 500, ..none },
        "kill" => Faults { upstream_kill: 300, ..none },
        "pause" => Faults { upstream_pause: 300, ..none },
        "drain" => Faults { upstream_drain: 300, ..none },
        "crash" => Faults { engine_crash: 300, ..none },
        "entry-kill" => Faults { entry_kill: 300, ..none },
        "entry-pause" => Faults { entry_pause: 300, ..none },
        "unreachable" => Faults { engine_unreachable: 2_000, ..none },
        "broken" => Faults { engine_abort: 1_000, ..none },
        "gone" => Faults { caller_disconnect: 1_000, ..none },
        _ => Faults::all(),
    }
}

#[rstest::rstest]
fn guarantees_hold_under_each_fault_and_all_at_once(
    #[values(
        "lose",
        "double",
        "delay",
        "cut",
        "kill",
        "pause",
        "drain",
        "crash",
        "entry-kill",
        "entry-pause",
        "unreachable",
        "broken",
        "gone",
        "all"
    )]
    fault: &str,
    #[values(1, 2, 3)] seed: u64,
) {
    let settings = Settings { seed, faults: faults_of(fault), ..Settings::default() };

    let (stats, _) = run(settings);

    assert!(stats.ran > 0, "{stats:?}");
    assert_eq!(stats.violations(), 0, "{stats:?}");
}

#[test]
fn without_faults_each_request_runs_once_and_reports_ran() {
    let (stats, _) = run(Settings::default());

    assert_eq!(stats.ran, CALLS as u64, "{stats:?}");
    assert_eq!(stats.runs, CALLS as u64, "{stats:?}");
    assert_eq!(stats.violations(), 0, "{stats:?}");
}

#[rstest::rstest]
fn guarantees_hold_with_hedging(#[values(1, 2, 3)] seed: u64) {
    let hedge_after = Some(unit::Millis::new(5));
    let settings = Settings { seed, faults: Faults::all(), hedge_after, ..Settings::default() };

    let (stats, _) = run(settings);

    assert!(stats.attempts > stats.requests, "{stats:?}");
    assert_eq!(stats.violations(), 0, "{stats:?}");
}

#[test]
fn the_checks_detect_retries_after_a_timeout() {
    let settings =
        Settings { mode: Mode::RetryOnTimeout, faults: Faults::all(), ..Settings::default() };

    let (stats, _) = run(settings);

    assert!(stats.double_runs > 0, "{stats:?}");
    assert!(stats.false_not_run > 0, "{stats:?}");
}

#[test]
fn the_checks_detect_keys_remembered_per_entry() {
    let settings =
        Settings { mode: Mode::EntryMemory, faults: Faults::all(), ..Settings::default() };

    let (stats, _) = run(settings);

    assert!(stats.double_runs > 0, "{stats:?}");
}

#[rstest::rstest]
#[case::complete("c0#0.0;c0#0.1;c0#0.2;", true, (0, 0))]
#[case::truncated_and_reported("c0#0.0;", false, (0, 0))]
#[case::truncated_but_ended_as_complete("c0#0.0;", true, (0, 1))]
#[case::of_another_call("c1#0.0;", false, (1, 0))]
#[case::of_two_runs("c0#0.0;c0#1.1;", false, (1, 0))]
fn the_checks_classify_responses(
    #[case] body: &str,
    #[case] is_complete: bool,
    #[case] expected: (u64, u64),
) {
    let call = Call { kind: Kind::Unary, ticket: None, submissions: Vec::new(), runs: vec![0, 0] };
    let mut stats = Stats::default();

    stats.check_response(0, &call, body.as_bytes(), is_complete);

    assert_eq!((stats.foreign, stats.cut), expected);
}
