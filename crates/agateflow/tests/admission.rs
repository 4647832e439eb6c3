//! Admission control at the upstream process: starts, seals, dispatches and the table's limits.

#![allow(clippy::unwrap_used)]

use agateflow::admission::{self, call_store, idempotency, reason, ticket};
use agateflow::{id, outcome, unit};

const OWN: id::Incarnation = id::Incarnation::new(7);
const ENTRY: id::Incarnation = id::Incarnation::new(1);

fn ms(number: u64) -> unit::Millis {
    unit::Millis::new(number)
}

fn team() -> id::Team {
    id::Team::new("clubs").unwrap()
}

fn secret() -> ticket::Secret {
    ticket::Secret::new(b"settings key")
}

fn table_with(limits: admission::Limits) -> admission::Table {
    let vm = id::Vm::new("u1").unwrap();
    let home = idempotency::Home::new(vm, idempotency::Timing::default(), ms(0));
    let owner = admission::Owner { incarnation: OWN, secret: secret(), home };
    admission::Table::new(owner, limits)
}

fn table() -> admission::Table {
    table_with(admission::Limits::default())
}

fn attempt(request: u64) -> id::Attempt {
    id::Attempt::new(ENTRY, request)
}

fn start(request: u64) -> admission::Start {
    admission::Start {
        id: attempt(request),
        target: OWN,
        valid_until: ms(10_000),
        time_left: ms(5_000),
        team: team(),
        service: id::Service::new("calibration").unwrap(),
        repeatable: false,
        key: admission::Key::None,
        digest: admission::Digest::new(&team(), "POST", "/register", b"body"),
        revision: unit::Revision::new(1),
    }
}

fn with_ticket(request: u64, ticket: &ticket::Ticket) -> admission::Start {
    let key = admission::Key::Ticket(ticket.encode(&secret()));
    admission::Start { key, ..start(request) }
}

fn seal(request: u64) -> admission::Input {
    let seal = admission::Seal { id: attempt(request), target: OWN, valid_until: ms(10_000) };
    admission::Input::Seal(seal)
}

fn reasons(outputs: &[admission::Output]) -> Vec<reason::Reason> {
    let reason = |o: &admission::Output| match o {
        admission::Output::Refuse { reason, .. } => Some(*reason),
        _ => None,
    };
    outputs.iter().filter_map(reason).collect()
}

fn admitted(outputs: &[admission::Output]) -> bool {
    outputs.iter().any(|o| matches!(o, admission::Output::Admit(_)))
}

fn ran(outputs: &[admission::Output]) -> bool {
    outputs.iter().any(|o| matches!(o, admission::Output::Run(_)))
}

fn run(table: &mut admission::Table, start: admission::Start, now: u64) -> id::Attempt {
    let id = start.id;
    assert!(admitted(&table.handle(admission::Input::Start(start), ms(now))));
    assert!(ran(&table.handle(admission::Input::Dispatch(id), ms(now))));
    id
}

#[test]
fn a_duplicate_start_and_a_duplicate_dispatch_run_once() {
    let mut table = table();
    let id = run(&mut table, start(1), 0);

    let again = table.handle(admission::Input::Start(start(1)), ms(1));
    let handed = table.handle(admission::Input::Dispatch(id), ms(1));

    assert_eq!((again, handed), (Vec::new(), Vec::new()));
}

#[test]
fn a_start_after_its_seal_is_refused() {
    let mut table = table();

    let sealed = table.handle(seal(1), ms(0));
    let late = table.handle(admission::Input::Start(start(1)), ms(9_999));

    let state = admission::Progress::NotRun;
    assert_eq!(sealed, vec![admission::Output::Sealed { id: attempt(1), state }]);
    assert_eq!(reasons(&late), vec![reason::Reason::Sealed]);
}

#[rstest::rstest]
#[case::while_it_runs(1)]
#[case::after_the_record_is_dropped(70_000)]
fn a_seal_of_an_attempt_that_ran_never_says_not_run(#[case] at: u64) {
    let mut table = table();
    let id = run(&mut table, start(1), 0);
    if at > 1 {
        let ending = admission::Ending::Complete(None);
        table.handle(admission::Input::Finished { id, ending }, ms(2));
        table.handle(admission::Input::Tick, ms(at));
        assert!(table.is_empty());
    }

    let sealed = table.handle(seal(1), ms(at));

    let state = admission::Progress::Running;
    assert_eq!(sealed, vec![admission::Output::Sealed { id, state }]);
}

#[test]
fn a_tombstone_is_kept_while_a_duplicate_of_its_start_is_valid() {
    let mut table = table();
    table.handle(seal(1), ms(0));

    table.handle(admission::Input::Tick, ms(10_000));
    let kept = table.len();
    table.handle(admission::Input::Tick, ms(10_001));
    let late = table.handle(admission::Input::Start(start(1)), ms(10_001));

    assert_eq!((kept, table.len()), (1, 0));
    assert_eq!(reasons(&late), vec![reason::Reason::Expired]);
}

#[rstest::rstest]
#[case::validity(20_000, reason::Reason::Expired)]
#[case::deadline(6_000, reason::Reason::Late)]
fn a_paused_process_checks_again_before_the_dispatch(
    #[case] wakes: u64,
    #[case] expected: reason::Reason,
) {
    let mut table = table();
    table.handle(admission::Input::Start(start(1)), ms(0));

    let handed = table.handle(admission::Input::Dispatch(attempt(1)), ms(wakes));
    let sealed = table.handle(seal(1), ms(wakes));

    assert_eq!(reasons(&handed), vec![expected]);
    let state = admission::Progress::NotRun;
    assert_eq!(sealed, vec![admission::Output::Sealed { id: attempt(1), state }]);
}

#[test]
fn a_table_with_room_again_still_refuses_duplicates_of_what_it_refused_when_full() {
    let mut table = table_with(admission::Limits { in_flight: 1, ..Default::default() });
    let first = run(&mut table, start(1), 0);

    let full = table.handle(admission::Input::Start(start(2)), ms(1));
    let ending = admission::Ending::Complete(None);
    table.handle(admission::Input::Finished { id: first, ending }, ms(2));
    let copy = table.handle(admission::Input::Start(start(2)), ms(3));
    let fresh = admission::Start { valid_until: ms(10_001), ..start(3) };
    let fresh = table.handle(admission::Input::Start(fresh), ms(3));

    assert_eq!(reasons(&full), vec![reason::Reason::Full]);
    assert_eq!(reasons(&copy), vec![reason::Reason::Full]);
    assert!(admitted(&fresh));
}

#[test]
fn a_full_table_proves_nothing_about_an_attempt_it_never_saw() {
    let mut table = table_with(admission::Limits { records: 1, ..Default::default() });
    run(&mut table, start(1), 0);

    let sealed = table.handle(seal(2), ms(1));

    let state = admission::Progress::Running;
    assert_eq!(sealed, vec![admission::Output::Sealed { id: attempt(2), state }]);
}

#[test]
fn a_replaced_process_refuses_the_starts_and_seals_of_its_predecessor() {
    let mut table = table();
    let old = id::Incarnation::new(6);

    let started =
        table.handle(admission::Input::Start(admission::Start { target: old, ..start(1) }), ms(0));
    let sealed = admission::Seal { id: attempt(1), target: old, valid_until: ms(10_000) };
    let sealed = table.handle(admission::Input::Seal(sealed), ms(0));

    assert_eq!(reasons(&started), vec![reason::Reason::WrongTarget]);
    let state = admission::Progress::Running;
    assert_eq!(sealed, vec![admission::Output::Sealed { id: attempt(1), state }]);
}

#[test]
fn a_draining_process_refuses_new_attempts_and_finishes_admitted_ones() {
    let mut table = table();
    table.handle(admission::Input::Start(start(1)), ms(0));

    table.handle(admission::Input::Drain, ms(1));
    let refused = table.handle(admission::Input::Start(start(2)), ms(2));
    let handed = table.handle(admission::Input::Dispatch(attempt(1)), ms(2));

    assert_eq!(reasons(&refused), vec![reason::Reason::Draining]);
    assert!(ran(&handed));
}

#[test]
fn a_ticket_runs_once_and_its_answer_is_replayed() {
    let mut table = table();
    let vm = id::Vm::new("u1").unwrap();
    let ticket = ticket::Issuer::new(vm, OWN, ms(60_000)).issue(&team(), 1, ms(0)).remove(0);
    let id = run(&mut table, with_ticket(1, &ticket), 0);

    let early = table.handle(admission::Input::Start(with_ticket(2, &ticket)), ms(1));
    let answer = admission::answer::Answer {
        head: admission::answer::Head::new(201),
        body: bytes::Bytes::from_static(b"registered"),
    };
    let ending = admission::Ending::Complete(Some(answer.clone()));
    table.handle(admission::Input::Finished { id, ending }, ms(2));
    let again = table.handle(admission::Input::Start(with_ticket(3, &ticket)), ms(3));

    assert_eq!(reasons(&early), vec![reason::Reason::InFlight]);
    assert_eq!(again, vec![admission::Output::Replay { id: attempt(3), offset: 0, answer }]);
}

#[rstest::rstest]
#[case::expired("clubs", OWN, 60_001, reason::Reason::TicketExpired)]
#[case::other_team("council", OWN, 1, reason::Reason::Forged)]
#[case::restarted_home("clubs", id::Incarnation::new(6), 1, reason::Reason::TicketHome)]
fn a_ticket_is_refused(
    #[case] owner: &str,
    #[case] home: id::Incarnation,
    #[case] at: u64,
    #[case] expected: reason::Reason,
) {
    let mut table = table();
    let vm = id::Vm::new("u1").unwrap();
    let owner = id::Team::new(owner).unwrap();
    let ticket = ticket::Issuer::new(vm, home, ms(60_000)).issue(&owner, 1, ms(0)).remove(0);
    let start = admission::Start { valid_until: ms(at + 1_000), ..with_ticket(1, &ticket) };

    let refused = table.handle(admission::Input::Start(start), ms(at));

    assert_eq!(reasons(&refused), vec![expected]);
    assert_ne!(expected.keyed_outcome(), outcome::Outcome::NotRun);
}

#[test]
fn a_changed_bit_of_a_ticket_makes_it_forged() {
    let vm = id::Vm::new("u1").unwrap();
    let ticket = ticket::Issuer::new(vm, OWN, ms(60_000)).issue(&team(), 1, ms(0)).remove(0);
    let bytes = ticket.encode(&secret());

    let damaged = (0..bytes.len()).map(|i| {
        let mut bytes = bytes.clone();
        bytes[i] ^= 1;
        ticket::Ticket::decode(&bytes, &secret())
    });

    assert!(damaged.into_iter().all(|d| d == Err(reason::Reason::Forged)));
    assert_eq!(ticket::Ticket::decode(&bytes, &secret()), Ok(ticket));
}

#[test]
fn one_team_cannot_fill_the_records_of_keyed_calls() {
    let limits = call_store::Limits { team_records: 2, ..call_store::Limits::default() };
    let mut store = call_store::Store::new(limits);
    let call_id = |n: u8| call_store::Id::new("test", &[&[n]]);
    let digest = admission::Digest::default();
    let other = id::Team::new("council").unwrap();
    for n in 0..2 {
        store.begin(call_id(n), digest, &team(), call_store::Retention::For(ms(100)));
        store.record_unknown(&call_id(n), ms(0));
    }

    let own = store.look_up(&call_id(2), &digest, &team());
    let others = store.look_up(&call_id(2), &digest, &other);
    store.tick(ms(101));

    assert_eq!((own, others), (call_store::Lookup::Full, call_store::Lookup::Fresh));
    assert_eq!(store.look_up(&call_id(2), &digest, &team()), call_store::Lookup::Fresh);
}

#[test]
fn a_full_answer_cache_evicts_the_answer_but_not_the_record_that_the_call_ran() {
    let limits =
        call_store::Limits { answer_cache: unit::Bytes::new(10), ..call_store::Limits::default() };
    let mut store = call_store::Store::new(limits);
    let call_id = |n: u8| call_store::Id::new("test", &[&[n]]);
    let digest = admission::Digest::default();
    let answer = admission::answer::Answer {
        body: bytes::Bytes::from_static(b"12345678"),
        ..Default::default()
    };

    for n in 0..2 {
        store.begin(call_id(n), digest, &team(), call_store::Retention::For(ms(100)));
        store.record_ran(&call_id(n), Some(answer.clone()), ms(0));
    }

    assert_eq!(store.look_up(&call_id(0), &digest, &team()), call_store::Lookup::Ran(None));
    assert_eq!(store.look_up(&call_id(1), &digest, &team()), call_store::Lookup::Ran(Some(answer)));
}

mod homes {
    use super::*;

    const WINDOW: u64 = 1_000;
    const LEASE: u64 = 100;

    fn vms(names: &[&str]) -> Box<[id::Vm]> {
        names.iter().map(|n| id::Vm::new(n).unwrap()).collect()
    }

    fn service() -> id::Service {
        id::Service::new("calibration").unwrap()
    }

    fn home(vm: &str) -> idempotency::Home {
        let spans = idempotency::Timing { retry_window: ms(WINDOW), lease: ms(LEASE) };
        idempotency::Home::new(id::Vm::new(vm).unwrap(), spans, ms(0))
    }

    fn call_id_of(list: &[id::Vm], vm: &str) -> call_store::Id {
        let call_ids =
            (0..1_000).map(|n| idempotency::call_id(&team(), &service(), &n.to_string()));
        let own = |s: &call_store::Id| idempotency::home(list, s).unwrap().as_str() == vm;
        call_ids.into_iter().find(own).unwrap()
    }

    #[test]
    fn a_started_home_waits_for_a_majority_and_for_the_retry_window() {
        let list = vms(&["a", "b", "c"]);
        let call_id = call_id_of(&list, "a");
        let revision = unit::Revision::new(1);
        let mut home = home("a");
        home.set_declared(&service(), revision, list.clone());

        let alone = home.check(&service(), &call_id, revision, ms(5_000));
        home.record_revision(&list[1], revision, ms(5_000), ms(5_000));
        let early = home.check(&service(), &call_id, revision, ms(5_000));
        let at = 5_000 + WINDOW + LEASE;
        home.record_revision(&list[1], revision, ms(at), ms(at));
        let settled = home.check(&service(), &call_id, revision, ms(at));
        let lapsed = home.check(&service(), &call_id, revision, ms(at + LEASE + 1));

        assert_eq!(alone, Err(reason::Reason::NotHome));
        assert_eq!(early, Err(reason::Reason::Quarantine));
        assert_eq!(settled, Ok(()));
        assert_eq!(lapsed, Err(reason::Reason::NotHome));
    }

    #[test]
    fn a_home_that_learns_of_a_newer_revision_refuses_until_it_has_it() {
        let list = vms(&["a", "b", "c"]);
        let call_id = call_id_of(&list, "a");
        let mut home = home("a");
        home.set_declared(&service(), unit::Revision::new(1), list.clone());
        home.record_revision(&list[1], unit::Revision::new(1), ms(0), ms(0));
        home.record_revision(&list[1], unit::Revision::new(1), ms(2_000), ms(2_000));
        assert_eq!(home.check(&service(), &call_id, unit::Revision::new(1), ms(2_000)), Ok(()));

        home.record_revision(&list[2], unit::Revision::new(2), ms(2_001), ms(2_001));
        let stale = home.check(&service(), &call_id, unit::Revision::new(1), ms(2_001));

        assert_eq!(stale, Err(reason::Reason::NotHome));
    }

    #[test]
    fn a_key_that_moved_is_in_quarantine_and_a_key_that_stayed_is_not() {
        let old = vms(&["a", "b", "c"]);
        let new = vms(&["a", "b", "d"]);
        let both = |s: &call_store::Id| idempotency::home(&new, s).unwrap().as_str() == "a";
        let call_ids: Vec<_> = (0..1_000)
            .map(|n| idempotency::call_id(&team(), &service(), &n.to_string()))
            .filter(both)
            .collect();
        let was = |s: &&call_store::Id| idempotency::home(&old, s).unwrap().as_str() == "a";
        let stayed = call_ids.iter().find(was).unwrap();
        let moved = call_ids.iter().find(|s| !was(s)).unwrap();
        let mut home = home("a");
        home.set_declared(&service(), unit::Revision::new(1), old.clone());
        home.record_revision(&old[1], unit::Revision::new(1), ms(0), ms(0));

        home.tick(ms(10_000));
        home.set_declared(&service(), unit::Revision::new(2), new.clone());
        home.record_revision(&new[1], unit::Revision::new(2), ms(10_000), ms(10_000));
        let revision = unit::Revision::new(2);
        let checks = [stayed, moved].map(|s| home.check(&service(), s, revision, ms(10_050)));
        home.record_revision(
            &new[1],
            revision,
            ms(10_000 + WINDOW + LEASE),
            ms(10_000 + WINDOW + LEASE),
        );
        let later = home.check(&service(), moved, revision, ms(10_000 + WINDOW + LEASE));

        assert_eq!(checks, [Ok(()), Err(reason::Reason::Quarantine)]);
        assert_eq!(later, Ok(()));
    }
}
