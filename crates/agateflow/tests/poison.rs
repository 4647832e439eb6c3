//! Poison requests: each crashes few upstreams, and no innocent request is refused.

#![allow(clippy::unwrap_used)]

use agateflow::poison::{self, trial};
use agateflow::{id, unit};

fn settings(mode: trial::Mode, seed: u64) -> trial::Settings {
    trial::Settings {
        mode,
        seed,
        centres: 3,
        upstreams: 16,
        entries: 3,
        poisons: 3,
        resends: 20,
        innocents: 1_000,
        item_loss_percent: 0,
        accidents: 0,
    }
}

#[rstest::rstest]
fn at_most_two_upstreams_of_a_data_centre_are_lost(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let report = trial::run(settings(trial::Mode::Agateflow, seed)).unwrap();

    assert!(report.lost_to_one <= 2, "{report:?}");
    assert_eq!(report.refused, 0, "{report:?}");
    assert_eq!(report.answered, report.innocents, "{report:?}");
}

#[rstest::rstest]
fn no_innocent_is_refused_when_engines_also_crash_for_another_cause(
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let settings = trial::Settings { accidents: 10, ..settings(trial::Mode::Agateflow, seed) };

    let report = trial::run(settings).unwrap();

    assert_eq!(report.refused, 0, "{report:?}");
}

#[test]
fn the_baselines_lose_more_upstreams_than_allowed() {
    let retry = trial::run(settings(trial::Mode::Retry, 1)).unwrap();
    let count = trial::run(settings(trial::Mode::CountPerEntry, 1)).unwrap();

    assert!(retry.lost_to_one > 2, "{retry:?}");
    assert!(count.lost_to_one > 2, "{count:?}");
}

#[rstest::rstest]
#[case::in_flight(poison::Kind::InFlight)]
#[case::isolated(poison::Kind::Isolated)]
#[case::cleared(poison::Kind::Cleared)]
fn an_encoded_item_decodes_to_itself(#[case] kind: poison::Kind) {
    let item = poison::Item {
        fingerprint: poison::Fingerprint::from_bytes([7; 16]),
        crash: poison::Crash::new(id::Incarnation::new(1), 2),
        kind,
        ttl: unit::Millis::new(599_000),
    };

    let bytes = item.encode();

    assert!(bytes.len() <= 64);
    assert_eq!(poison::Item::decode(&bytes), Some(item));
    assert_eq!(poison::Item::decode(&bytes[1..]), None);
}

#[test]
fn a_register_is_bounded_and_its_entries_expire() {
    let limits = poison::Limits { fingerprints: 2, lifetime: unit::Millis::new(100) };
    let mut register = poison::Register::new(limits);
    let requests: Vec<_> = (0..3).map(|n| poison::Fingerprint::from_bytes([n; 16])).collect();
    let crash = poison::Crash::from_number(1);

    register.record_crash(crash, &requests, false, unit::Millis::new(0));
    let known = register.len();
    register.tick(unit::Millis::new(100));

    assert_eq!((known, register.len()), (2, 0));
}

#[test]
fn a_suspect_that_ran_alone_without_a_crash_is_cleared_everywhere() {
    let mut local = poison::Register::new(poison::Limits::default());
    let mut remote = poison::Register::new(poison::Limits::default());
    let request = poison::Fingerprint::from_bytes([1; 16]);
    let now = unit::Millis::new(0);
    let crash = poison::Crash::from_number(1);
    let items = local.record_crash(crash, &[request], false, now);
    let suspect = local.status(request, now);

    let cleared = local.clear(request, now);
    for item in cleared.iter().chain(&items) {
        remote.merge(item, now);
    }

    assert_eq!(suspect, poison::Status::Suspect);
    assert_eq!(local.status(request, now), poison::Status::Clear);
    assert_eq!(remote.status(request, now), poison::Status::Clear);
}
