//! Identifiers round-trip through strings, and invalid strings are rejected.

use agateflow::id;
use rstest::rstest;

#[rstest]
#[case::empty("")]
#[case::space("a b")]
#[case::long(&"x".repeat(65))]
fn name_is_refused(#[case] text: &str) {
    let name = text.parse::<id::Vm>();

    assert!(name.is_err());
}

#[test]
fn attempt_round_trips() {
    let attempt = id::Attempt::new(id::Incarnation::new(7), 42).next();

    let parsed = attempt.to_string().parse::<id::Attempt>();

    assert_eq!(parsed, Ok(attempt));
}

#[rstest]
#[case::short("00")]
#[case::sign("+0000000000000000000000000000001")]
fn incarnation_is_refused(#[case] text: &str) {
    let incarnation = text.parse::<id::Incarnation>();

    assert!(incarnation.is_err());
}
