//! What the head of a response proves about a request.

use agateflow::direct::response::{Classification, Sender, Signs, Subject};
use rstest::rstest;

const REFUSAL: Signs = Signs {
    status: 503,
    subject: Subject::Own,
    sender: Sender::Unnamed,
    not_run: true,
    proof: false,
};

const MISDIRECTION: Signs = Signs { status: 421, sender: Sender::Other, not_run: false, ..REFUSAL };

const ERROR: Signs = Signs { status: 500, not_run: false, proof: true, ..REFUSAL };

#[rstest]
#[case::refusal(REFUSAL)]
#[case::malformed(Signs { status: 400, ..REFUSAL })]
#[case::too_many(Signs { status: 429, ..REFUSAL })]
#[case::of_the_expected_upstream(Signs { sender: Sender::Expected, ..REFUSAL })]
fn marked_error_is_a_refusal(#[case] signs: Signs, #[values(false, true)] reused: bool) {
    assert_eq!(signs.classify(reused), Classification::NotRun);
}

#[rstest]
#[case::marked(Signs { not_run: true, ..MISDIRECTION })]
#[case::unmarked(MISDIRECTION)]
fn answer_of_another_upstream_is_misdirected(
    #[case] signs: Signs,
    #[values(false, true)] reused: bool,
) {
    assert_eq!(signs.classify(reused), Classification::Misdirected);
}

#[rstest]
#[case::refusal(REFUSAL, Classification::NotRun)]
#[case::misdirection(MISDIRECTION, Classification::Misdirected)]
fn refusal_without_an_id_counts_on_a_new_connection_only(
    #[case] signs: Signs,
    #[case] on_a_new_one: Classification,
) {
    let signs = Signs { subject: Subject::Unnamed, ..signs };

    assert_eq!(signs.classify(false), on_a_new_one);
    assert_eq!(signs.classify(true), Classification::Foreign);
}

#[rstest]
#[case::error(ERROR)]
#[case::unmarked_refusal(Signs { status: 503, ..ERROR })]
#[case::unmarked_refusal_without_proof(Signs { status: 503, proof: false, ..ERROR })]
#[case::misdirection_with_proof(Signs { proof: true, ..MISDIRECTION })]
#[case::misdirection_of_the_expected_upstream(Signs { sender: Sender::Expected, ..MISDIRECTION })]
#[case::misdirection_of_no_upstream(Signs { sender: Sender::Unnamed, ..MISDIRECTION })]
fn unproven_refusal_is_the_upstreams_own_error(
    #[case] signs: Signs,
    #[values(false, true)] reused: bool,
) {
    assert_eq!(signs.classify(reused), Classification::Own);
}

#[rstest]
#[case::refusal(REFUSAL)]
#[case::misdirection(MISDIRECTION)]
#[case::error(ERROR)]
#[case::success(Signs { status: 200, ..ERROR })]
fn answer_to_another_request_proves_nothing(
    #[case] signs: Signs,
    #[values(false, true)] reused: bool,
) {
    let signs = Signs { subject: Subject::Other, ..signs };

    assert_eq!(signs.classify(reused), Classification::Foreign);
}

#[rstest]
#[case::without_proof(Signs { status: 200, proof: false, ..ERROR })]
#[case::marked_as_not_run(Signs { status: 200, not_run: true, ..ERROR })]
#[case::without_an_id(Signs { status: 200, subject: Subject::Unnamed, ..ERROR })]
fn unproven_success_is_foreign(#[case] signs: Signs, #[values(false, true)] reused: bool) {
    assert_eq!(signs.classify(reused), Classification::Foreign);
}
