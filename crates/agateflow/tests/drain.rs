//! Which requests an entry that shuts down still takes.

use agateflow::direct::drain::Schedule;
use agateflow::unit::Millis;
use rstest::rstest;

/// A shutdown from 1 s on, with 3 s in which callers still come and a grace period of 8 s.
fn schedule() -> Schedule {
    Schedule::new(Millis::new(1_000), Millis::new(3_000), Millis::new(8_000))
}

#[rstest]
#[case::at_its_start(1_000, 20_000, true)]
#[case::while_callers_still_come(3_999, 11_999, true)]
#[case::late_and_short(4_000, 8_500, true)]
#[case::late_and_long(4_000, 8_501, false)]
#[case::at_the_end(8_400, 8_700, false)]
fn late_request_is_taken_only_if_it_ends_before_the_process(
    #[case] now: u64,
    #[case] deadline: u64,
    #[case] expected: bool,
) {
    let admitted = schedule().admits(Millis::new(now), Millis::new(deadline));

    assert_eq!(admitted, expected);
}

#[test]
fn requests_are_answered_before_the_process_is_killed() {
    assert_eq!(schedule().answer_by(), Millis::new(8_500));
}
