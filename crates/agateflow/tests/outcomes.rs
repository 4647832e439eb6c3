//! Promises about requests under random faults: requests and tables joined by a faulty channel.

#![allow(clippy::unwrap_used)]

use agateflow::request::simulation::{Call, FaultRates, Kind, Mode, Settings, Simulation, Stats};
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

fn fault_rates(name: &str) -> FaultRates {
    let none = FaultRates::none();
    match name {
        "lose" => FaultRates { message_loss: 200, ..none },
        "double" => FaultRates { message_duplication: 500, ..none },
        "delay" => FaultRates { message_delay: 500, ..none },
        "cut" => FaultRates { link_cut: 500, ..none },
        "kill" => FaultRates { upstream_kill: 300, ..none },
        "pause" => FaultRates { upstream_pause: 300, ..none },
        "drain" => FaultRates { upstream_drain: 300, ..none },
        "crash" => FaultRates { engine_crash: 300, ..none },
        "entry-kill" => FaultRates { entry_kill: 300, ..none },
        "entry-pause" => FaultRates { entry_pause: 300, ..none },
        "unreachable" => FaultRates { engine_unreachable: 2_000, ..none },
        "broken" => FaultRates { engine_abort: 1_000, ..none },
        "gone" => FaultRates { caller_disconnect: 1_000, ..none },
        _ => FaultRates::all(),
    }
}

#[rstest::rstest]
fn no_promise_breaks_under_one_fault_or_all(
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
    let settings = Settings { seed, faults: fault_rates(fault), ..Settings::default() };

    let (stats, _) = run(settings);

    assert!(stats.ran > 0, "{stats:?}");
    assert_eq!(stats.violations(), 0, "{stats:?}");
}

#[test]
fn without_faults_each_request_runs_once_and_is_told_so() {
    let (stats, _) = run(Settings::default());

    assert_eq!(stats.ran, CALLS as u64, "{stats:?}");
    assert_eq!(stats.runs, CALLS as u64, "{stats:?}");
    assert_eq!(stats.violations(), 0, "{stats:?}");
}

#[rstest::rstest]
fn no_promise_breaks_with_hedging(#[values(1, 2, 3)] seed: u64) {
    let hedge_after = Some(unit::Millis::new(5));
    let settings = Settings { seed, faults: FaultRates::all(), hedge_after, ..Settings::default() };

    let (stats, _) = run(settings);

    assert!(stats.attempts > stats.requests, "{stats:?}");
    assert_eq!(stats.violations(), 0, "{stats:?}");
}

#[test]
fn the_checks_catch_an_entry_that_sends_again_after_a_timeout() {
    let settings =
        Settings { mode: Mode::RetryOnTimeout, faults: FaultRates::all(), ..Settings::default() };

    let (stats, _) = run(settings);

    assert!(stats.double_runs > 0, "{stats:?}");
    assert!(stats.false_not_run > 0, "{stats:?}");
}

#[test]
fn the_checks_catch_an_entry_that_alone_remembers_its_keys() {
    let settings =
        Settings { mode: Mode::EntryMemory, faults: FaultRates::all(), ..Settings::default() };

    let (stats, _) = run(settings);

    assert!(stats.double_runs > 0, "{stats:?}");
}

#[rstest::rstest]
#[case::whole("c0#0.0;c0#0.1;c0#0.2;", true, (0, 0))]
#[case::broken_off_and_said_so("c0#0.0;", false, (0, 0))]
#[case::cut_and_called_whole("c0#0.0;", true, (0, 1))]
#[case::of_another_call("c1#0.0;", false, (1, 0))]
#[case::of_two_runs("c0#0.0;c0#1.1;", false, (1, 0))]
fn the_checks_tell_answers_apart(
    #[case] body: &str,
    #[case] whole: bool,
    #[case] expected: (u64, u64),
) {
    let call = Call { kind: Kind::Unary, ticket: None, submissions: Vec::new(), runs: vec![0, 0] };
    let mut stats = Stats::default();

    stats.check_response(0, &call, body.as_bytes(), whole);

    assert_eq!((stats.foreign, stats.cut), expected);
}
