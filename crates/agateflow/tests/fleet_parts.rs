//! Membership, document parts, replay windows, revisions and watch schedules under any event order.

use std::net;
use std::sync::Arc;

use agateflow::fleet::{member, message, parts, replay, revision, watch};
use agateflow::{id, unit};
use proptest::prelude::*;
use rand::SeedableRng;
use rstest::rstest;

fn config(cases: u32) -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(7);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn ms(number: u64) -> unit::Millis {
    unit::Millis::new(number)
}

fn address() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 7000))
}

fn heartbeat() -> message::Heartbeat {
    let load = message::Load::default();
    message::Heartbeat { watching: false, failing: false, grant: unit::Millis::ZERO, load }
}

fn message(incarnation: u128, started: u64, sequence: u64) -> message::Message {
    let sender = message::Sender {
        name: id::Vm::new("u1").expect("valid name"),
        data_centre: id::DataCentre::new("a").expect("valid name"),
        role: message::Role::Upstream,
        incarnation: id::Incarnation::new(incarnation),
        started: ms(started),
    };
    let revision = unit::Revision::ZERO;
    let body = message::Body::Heartbeat(heartbeat());
    let state = message::State::Serving;
    message::Message { sender, sequence, state, revision, tag: 0, brief: false, body }
}

#[rstest]
#[case::next(1, 10, 6, 100, member::Change::Updated)]
#[case::duplicate(1, 10, 5, 100, member::Change::Late)]
#[case::reordered(1, 10, 4, 100, member::Change::Late)]
#[case::back_after_silence(1, 10, 6, 3_000, member::Change::Joined)]
#[case::restarted(2, 11, 1, 100, member::Change::Replaced)]
#[case::replaced_process_resumes(2, 9, 900, 100, member::Change::Superseded)]
#[case::clock_stepped_back(2, 9, 1, 3_000, member::Change::Replaced)]
fn heartbeat_is_classified(
    #[case] incarnation: u128,
    #[case] started: u64,
    #[case] sequence: u64,
    #[case] at: u64,
    #[case] expected: member::Change,
) {
    let mut table = member::Table::new();
    table.record_heartbeat(&message(1, 10, 5), heartbeat(), address(), ms(0));

    let change = table.record_heartbeat(
        &message(incarnation, started, sequence),
        heartbeat(),
        address(),
        ms(at),
    );

    assert_eq!(change, expected);
}

#[test]
fn replaced_process_stays_replaced_after_silence() {
    let mut table = member::Table::new();
    table.record_heartbeat(&message(1, 10, 5), heartbeat(), address(), ms(0));
    table.record_heartbeat(&message(2, 11, 1), heartbeat(), address(), ms(100));

    let change = table.record_heartbeat(&message(1, 10, 6), heartbeat(), address(), ms(60_000));

    assert_eq!(change, member::Change::Superseded);
}

#[test]
fn leaving_is_final_for_an_incarnation() {
    let mut table = member::Table::new();
    let mut leaving = message(1, 10, 9);
    leaving.state = message::State::Leaving;
    table.record_heartbeat(&message(1, 10, 5), heartbeat(), address(), ms(0));

    table.record_header(&leaving);
    table.record_heartbeat(&message(1, 10, 8), heartbeat(), address(), ms(10));

    let member = table.get(&leaving.sender.name).expect("known member");
    assert!(!member.takes_work(ms(10)));
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn member_keeps_newest_heartbeat_in_any_order(
        mut heartbeats in prop::collection::vec((1u64..4, 1u64..20), 1..40),
    ) {
        let mut table = member::Table::new();

        for (incarnation, sequence) in &heartbeats {
            let heard = message((*incarnation).into(), *incarnation, *sequence);
            table.record_heartbeat(&heard, heartbeat(), address(), ms(0));
        }

        heartbeats.sort_unstable();
        let member = table.get(&id::Vm::new("u1").expect("valid name")).expect("known member");
        let newest = (member.sender.started.get(), member.sequence);
        prop_assert_eq!(Some(&newest), heartbeats.last());
    }

    #[test]
    fn replay_window_accepts_each_number_at_most_once(
        numbers in prop::collection::vec(1u64..200, 1..300),
    ) {
        let mut windows = replay::Windows::new();
        let sender = id::Incarnation::new(1);
        let mut accepted = indexmap::IndexSet::new();

        for number in numbers {
            let first = windows.insert(sender, number);

            prop_assert!(!first || accepted.insert(number));
        }
    }

    #[test]
    fn revision_never_goes_down(offers in prop::collection::vec((0u64..9, 0u8..3), 1..40)) {
        let mut store = revision::Store::new();
        let mut best = (unit::Revision::ZERO, 0);

        for (number, variant) in &offers {
            let bytes = [*number as u8, *variant];
            store.offer(&bytes, &|bytes: &[u8]| match bytes[0] {
                0 => Err("zero".into()),
                number => Ok(unit::Revision::new(number.into())),
            });

            prop_assert!(store.header() >= best);
            best = store.header();
        }

        let highest = offers.iter().map(|(number, _)| *number).max();
        prop_assert_eq!(Some(best.0.get()), highest);
    }

    #[test]
    fn document_is_assembled_from_any_other(
        old in prop::collection::vec(any::<u8>(), 0..60_000),
        cut in 0usize..60_000,
        new in prop::collection::vec(any::<u8>(), 0..3_000),
    ) {
        let old: Arc<[u8]> = old.into();
        let cut = cut.min(old.len());
        let document = [&old[..cut], &new, &old[cut..]].concat();
        let manifest = parts::Manifest::new(&document);
        let held = parts::Manifest::new(&old);

        let mut assembly =
            parts::Assembly::new(manifest.clone(), Some((&held, &old))).expect("small document");
        for index in assembly.missing() {
            let part = manifest.slice(&document, index as usize).expect("part of manifest");
            prop_assert!(assembly.insert(part.into()));
        }

        let finished = assembly.finish();
        prop_assert_eq!(finished.as_deref(), Some(&document[..]));
    }
}

#[test]
fn forged_part_is_rejected() {
    let document = vec![7; 10_000];
    let manifest = parts::Manifest::new(&document);
    let mut assembly = parts::Assembly::new(manifest, None).expect("small document");

    let accepted = assembly.insert(vec![8; 10_000].into());

    assert!(!accepted);
    assert_eq!(assembly.finish(), None);
}

#[rstest]
#[case::entries(420, 0)]
#[case::fleet(420, 1_300)]
fn simultaneous_start_stays_below_service_rate(#[case] entries: usize, #[case] upstreams: usize) {
    const RATE: usize = 2_000; // calls per second
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(3);
    let roles = std::iter::repeat_n(message::Role::Entry, entries)
        .chain(std::iter::repeat_n(message::Role::Upstream, upstreams));
    let mut processes: Vec<_> = roles.map(|role| (role, watch::Watch::new(ms(0)))).collect();
    let mut calls = vec![0; 300];

    // Worst case: no process hears any other, and the service refuses every call.
    for now in (0..300_000).step_by(100) {
        for (role, watch) in &mut processes {
            let failing = watch.is_failing();
            let rank = if *role == message::Role::Entry { 0 } else { usize::MAX };
            let state = watch::State {
                role: *role,
                rank,
                in_force: false,
                failing,
                service_answered_at: None,
            };
            if watch.next_call(&state, ms(now), &mut rng).is_some() {
                calls[now as usize / 1_000] += 1;
                watch.handle_answer(&watch::Answer::Failed, ms(now));
            }
        }
    }

    assert!(calls.iter().sum::<usize>() >= entries);
    assert!(calls.iter().all(|count| *count < RATE), "{calls:?}");
}

#[test]
fn small_change_of_a_large_document_needs_few_parts() {
    const LINES: usize = 20_000;
    const DOCUMENT_BYTES: usize = 1_000_000;
    const TARGET_BYTES: f64 = 29_000.0; // per second
    const CHANGE_SECONDS: f64 = 86_400.0 / 1_300.0;
    let line = |i: usize| format!("{{\"name\": \"team-{i}\", \"weight\": {}}},\n", i % 7);
    let old: String = (0..LINES).map(line).chain([" ".repeat(DOCUMENT_BYTES)]).collect();
    let new = old.replacen("\"team-9999\", \"weight\": 3", "\"team-9999\", \"weight\": 4", 1);
    let held: Arc<[u8]> = old.as_bytes().into();

    let manifest = parts::Manifest::new(new.as_bytes());
    let before = parts::Manifest::new(&held);
    let assembly = parts::Assembly::new(manifest.clone(), Some((&before, &held)));
    let missing = assembly.expect("small document").missing();

    let fetched: usize = missing.iter().map(|i| manifest.parts[*i as usize].length as usize).sum();
    assert_ne!(old, new);
    assert!((fetched as f64) < TARGET_BYTES / 100.0 * CHANGE_SECONDS, "{fetched} bytes");
}
