//! State machine of one request at the entry, and its retry budget.

#![allow(clippy::unwrap_used)]

use agateflow::admission::{answer, reason};
use agateflow::request::{self, Ending, Finish, Frame, Input, Output, budget};
use agateflow::{id, outcome, unit};
use bytes::Bytes;
use rstest::rstest;

const ENTRY: id::Incarnation = id::Incarnation::new(1);

fn ms(number: u64) -> unit::Millis {
    unit::Millis::new(number)
}

fn team() -> id::Team {
    id::Team::new("clubs").unwrap()
}

fn call(repeatable: bool) -> request::Call {
    request::Call {
        id: id::Attempt::new(ENTRY, 1),
        team: team(),
        repeatable,
        stream: false,
        resumable: false,
        home: None,
        deadline: ms(10_000),
    }
}

fn target(number: u128) -> request::Target {
    request::Target {
        vm: id::Vm::new(&format!("u{number}")).unwrap(),
        incarnation: id::Incarnation::new(number),
        valid_until: ms(30_000),
    }
}

struct Harness {
    request: request::Request,
    budget: budget::Budget,
}

impl Harness {
    fn new(call: request::Call, policy: request::Policy) -> Self {
        let (request, _) = request::Request::new(call, policy, ms(0));
        Self { request, budget: budget::Budget::new(budget::Limits::default()) }
    }

    fn send(&mut self, input: Input) -> Vec<Output> {
        self.request.handle(input, &mut self.budget, ms(1))
    }

    fn frame(&mut self, from: u128, number: u32, frame: Frame) -> Vec<Output> {
        let id = id::Attempt { number, ..id::Attempt::new(ENTRY, 1) };
        self.send(Input::Frame { from: id::Incarnation::new(from), id, frame })
    }
}

fn refused(reason: reason::Reason) -> Frame {
    Frame::Refused { reason, retry_after: ms(700) }
}

fn chooses(outputs: &[Output]) -> bool {
    outputs.iter().any(|o| matches!(o, Output::Choose { .. }))
}

fn problem(outcome: outcome::Outcome, status: u16, wait: u64, why: reason::Reason) -> Finish {
    let ending = Ending::Problem { status, retry_after: ms(wait), reason: Some(why) };
    Finish { outcome, ending }
}

#[test]
fn a_request_refused_everywhere_ends_as_not_run_without_delay() {
    let mut harness = Harness::new(call(false), request::Policy::default());
    harness.send(Input::Chosen(target(5)));

    let first = harness.frame(5, 0, refused(reason::Reason::Overloaded));
    harness.send(Input::NoUpstream { retry_after: ms(900) });

    assert!(chooses(&first));
    let expected = problem(outcome::Outcome::NotRun, 503, 700, reason::Reason::Overloaded);
    assert_eq!(harness.request.finished(), Some(expected));
}

#[rstest::rstest]
#[case::limited(reason::Reason::Limited, 429)]
#[case::poison(reason::Reason::Poison, 503)]
fn a_refusal_valid_at_every_upstream_ends_the_request(
    #[case] reason: reason::Reason,
    #[case] status: u16,
) {
    let mut harness = Harness::new(call(true), request::Policy::default());
    harness.send(Input::Chosen(target(5)));

    harness.frame(5, 0, refused(reason));

    let expected = problem(outcome::Outcome::NotRun, status, 700, reason);
    assert_eq!(harness.request.finished(), Some(expected));
}

#[rstest::rstest]
#[case::once(false, false)]
#[case::repeatable(true, true)]
fn only_a_repeatable_call_is_retried_after_a_failed_attempt(
    #[case] repeatable: bool,
    #[case] again: bool,
) {
    let mut harness = Harness::new(call(repeatable), request::Policy::default());
    harness.send(Input::Chosen(target(5)));

    let outputs = harness.frame(5, 0, Frame::Failed { crashed: false });

    assert_eq!(chooses(&outputs), again);
    let reported = harness.request.finished().map(|f| f.outcome);
    assert_eq!(reported, (!again).then_some(outcome::Outcome::Unknown));
}

#[test]
fn frames_of_another_incarnation_or_attempt_are_dropped() {
    let mut harness = Harness::new(call(false), request::Policy::default());
    harness.send(Input::Chosen(target(5)));

    let other = harness.frame(6, 0, refused(reason::Reason::Draining));
    let later = harness.frame(5, 1, refused(reason::Reason::Draining));

    assert_eq!((other, later), (Vec::new(), Vec::new()));
    assert_eq!(harness.request.finished(), None);
}

#[test]
fn a_response_larger_than_the_buffer_is_forwarded_and_not_retried() {
    let max_buffered = unit::Bytes::new(4);
    let policy = request::Policy { max_buffered, ..request::Policy::default() };
    let mut harness = Harness::new(call(true), policy);
    harness.send(Input::Chosen(target(5)));
    harness.frame(5, 0, Frame::Head(answer::Head::new(200)));

    let buffered =
        harness.frame(5, 0, Frame::Data { offset: 0, bytes: Bytes::from_static(b"1234") });
    let forwarded = harness.frame(5, 0, Frame::Data { offset: 4, bytes: Bytes::from_static(b"5") });
    harness.frame(5, 0, Frame::Failed { crashed: false });

    assert_eq!(buffered, Vec::new());
    assert!(forwarded.contains(&Output::Deliver(Bytes::from_static(b"12345"))));
    let expected = Finish { outcome: outcome::Outcome::Unknown, ending: Ending::Truncated };
    assert_eq!(harness.request.finished(), Some(expected));
}

#[test]
fn a_keyed_call_without_a_reachable_home_does_not_end_as_not_run() {
    let home = Some(id::Vm::new("u5").unwrap());
    let mut harness =
        Harness::new(request::Call { home, ..call(false) }, request::Policy::default());

    harness.send(Input::NoUpstream { retry_after: ms(900) });

    let reported = harness.request.finished().map(|f| f.outcome);
    assert_eq!(reported, Some(outcome::Outcome::Unknown));
}

#[test]
fn after_the_deadline_an_entry_starts_no_attempt() {
    let mut harness = Harness::new(call(true), request::Policy::default());
    harness.send(Input::Chosen(target(5)));

    let frame = refused(reason::Reason::Overloaded);
    let id = id::Attempt::new(ENTRY, 1);
    let input = Input::Frame { from: id::Incarnation::new(5), id, frame };
    let outputs = harness.request.handle(input, &mut harness.budget, ms(20_000));

    let starts = outputs.iter().any(|o| matches!(o, Output::Start { .. } | Output::Choose { .. }));
    assert!(!starts);
    let reported = harness.request.finished().map(|f| f.outcome);
    assert_eq!(reported, Some(outcome::Outcome::Unknown));
}

#[test]
fn retries_are_a_bounded_share_of_requests() {
    let limits = budget::Limits { per_thousand: 200, burst: 10, max_accounts: 8 };
    let mut budget = budget::Budget::new(limits);
    let vm = id::Vm::new("u1").unwrap();

    let mut withdrawn = 0;
    for _ in 0..1_000 {
        budget.record_request(&team(), &vm);
        withdrawn += u64::from(budget.try_withdraw(&team(), &vm));
    }

    assert!((200..=210).contains(&withdrawn), "{withdrawn}");
}

#[test]
fn retries_at_one_upstream_are_bounded_across_teams() {
    let limits = budget::Limits { per_thousand: 0, burst: 2, max_accounts: 8 };
    let mut budget = budget::Budget::new(limits);
    let vm = id::Vm::new("u1").unwrap();
    let other = id::Team::new("council").unwrap();

    let withdrawn = [(&team(), &vm), (&team(), &vm), (&other, &vm)]
        .map(|(team, vm)| budget.try_withdraw(team, vm));

    assert_eq!(withdrawn, [true, true, false]);
}

#[rstest]
fn error_of_an_engine_that_promises_not_run_ends_as_unknown(
    #[values(408, 421, 429, 503)] status: u16,
    #[values(false, true)] repeatable: bool,
) {
    let mut harness = Harness::new(call(repeatable), request::Policy::default());
    harness.send(Input::Chosen(target(5)));
    let head = answer::Head { status, headers: Vec::new() };

    let outputs = harness.frame(5, 0, Frame::Head(head));
    harness.send(Input::NoUpstream { retry_after: ms(900) });

    assert_eq!(chooses(&outputs), repeatable);
    assert!(!outputs.iter().any(|output| matches!(output, Output::Head(_))));
    let finish = harness.request.finished().unwrap();
    assert_eq!(finish.outcome, outcome::Outcome::Unknown);
    assert!(matches!(finish.ending, Ending::Problem { status: 502, .. }), "{finish:?}");
}
