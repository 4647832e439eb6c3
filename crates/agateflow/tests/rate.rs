//! Rate limits of upstreams as one entry keeps them: statements, ages, processes and members.

#![allow(clippy::unwrap_used)]

mod directfixture;

use agateflow::direct::directory::Incarnation;
use agateflow::direct::rate::{Limit, Members, Register, Report, Statement};
use agateflow::id;
use directfixture::{ms, vm};
use rstest::rstest;

const PEER: id::Incarnation = id::Incarnation::new(7);

fn process(started_at: u64) -> Incarnation {
    Incarnation { vm: vm("u"), started_at }
}

fn limit(per_second: f64) -> Option<Limit> {
    Limit::new(per_second)
}

/// Requests that the register lets pass from `from` to `to`, one attempt each 10 ms.
fn sends(register: &mut Register, started_at: u64, from: u64, to: u64) -> usize {
    let mut count = 0;
    for now in (from..to).step_by(10) {
        if register.allows(&vm("u"), started_at, ms(now)) {
            register.record_send(&vm("u"), started_at);
            count += 1;
        }
    }
    count
}

fn report(limit: Option<Limit>, age: u64, sent: u64) -> Report {
    let statement = Some(Statement { limit, age: ms(age) });
    Report { upstream: process(1), statement, sent }
}

#[rstest]
#[case::sent_before_it_was_named(900, false)]
#[case::sent_after_it_was_named(1_100, true)]
fn response_without_a_limit_lifts_it_if_its_request_was_sent_later(
    #[case] sent_at: u64,
    #[case] lifted: bool,
) {
    let mut register = Register::new();
    register.record_limit(&process(1), limit(1.0), ms(500), ms(1_000));

    let changed = register.record_limit(&process(1), None, ms(sent_at), ms(1_200));

    assert_eq!(changed, lifted);
    assert_eq!(sends(&mut register, 1, 1_200, 2_200) > 10, lifted);
}

#[rstest]
#[case::older(600, false)]
#[case::newer(100, true)]
fn newest_statement_decides_whichever_entry_got_it(#[case] age: u64, #[case] lifted: bool) {
    let mut register = Register::new();
    register.record_limit(&process(1), limit(1.0), ms(500), ms(1_000));

    let changes = register.merge(PEER, &[report(None, age, 0)], |_| true, ms(1_500));

    assert_eq!(!changes.is_empty(), lifted);
}

#[test]
fn late_response_of_an_earlier_process_does_not_touch_the_limit_of_the_next() {
    let mut register = Register::new();
    register.record_limit(&process(2), limit(1.0), ms(500), ms(1_000));

    let changed = register.record_limit(&process(1), limit(50.0), ms(100), ms(1_100));

    assert!(!changed);
    assert!(sends(&mut register, 2, 1_100, 4_100) <= 5);
}

#[test]
fn next_process_of_an_upstream_starts_without_a_limit() {
    let mut register = Register::new();
    register.record_limit(&process(1), limit(1.0), ms(500), ms(1_000));

    assert_eq!(sends(&mut register, 2, 1_000, 2_000), 100);
}

#[test]
fn requests_of_other_entries_count() {
    let members = Members { known: 2, connected: 2 };
    let mut register = Register::new();
    register.set_members(members);
    register.record_limit(&process(1), limit(5.0), ms(500), ms(1_000));
    let mut own = 0;

    for second in 1..11 {
        let beat = report(limit(5.0), 10, second * 5);
        register.merge(PEER, &[beat], |_| true, ms(second * 1_000));
        own += sends(&mut register, 1, second * 1_000, second * 1_000 + 1_000);
    }

    // 5 a second and a burst of one second, less the 45 that are known of the other entry.
    assert!(own <= 10, "{own} requests beside another entry that uses all of the limit");
}

#[test]
fn entry_that_hears_no_other_keeps_to_its_part() {
    let mut register = Register::new();
    register.set_members(Members { known: 10, connected: 1 });
    register.record_limit(&process(1), limit(10.0), ms(500), ms(1_000));

    let count = sends(&mut register, 1, 1_000, 11_000);

    assert!((8..=12).contains(&count), "{count} requests in 10 s at a tenth of 10 a second");
}

#[test]
fn limit_of_an_upstream_that_is_gone_is_forgotten() {
    let mut register = Register::new();
    register.record_limit(&process(1), limit(1.0), ms(500), ms(1_000));

    register.retain(|_| false, ms(1_100));

    assert!(register.reports(ms(1_100)).is_empty());
}
