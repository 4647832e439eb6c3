//! What a trial found: outcomes, and promises that broke.

use serde::Serialize;

use super::call::{self, Call, Kind};
use crate::outcome;

/// Counts of one trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Requests sent.
    pub requests: u64,
    /// Requests told `ran`.
    pub ran: u64,
    /// Requests told `not-run`.
    pub not_run: u64,
    /// Requests told `unknown`.
    pub unknown: u64,
    /// Requests whose entry died or whose caller went away before the end.
    pub untold: u64,
    /// Runs at engines.
    pub runs: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Answers with bytes of another request, or of two runs.
    pub foreign: u64,
    /// Answers that ended as whole and were not.
    pub cut: u64,
    /// Requests told `not-run` that ran.
    pub false_not_run: u64,
    /// Calls that may not be repeated and ran more than once.
    pub double_runs: u64,
    /// Requests at an undisturbed entry that were not told in time.
    pub late: u64,
}

impl Stats {
    /// Promises that broke.
    pub const fn violations(&self) -> u64 {
        self.foreign + self.cut + self.false_not_run + self.double_runs + self.late
    }

    /// Counts what a caller was told.
    pub const fn record_outcome(&mut self, outcome: outcome::Outcome) {
        match outcome {
            outcome::Outcome::Ran => self.ran += 1,
            outcome::Outcome::NotRun => self.not_run += 1,
            outcome::Outcome::Unknown => self.unknown += 1,
        }
    }

    /// Checks the bytes that a caller got.
    pub fn check_response(&mut self, index: usize, call: &Call, body: &[u8], whole: bool) {
        let runs = call.runs.len();
        let mut expected = (0..runs).map(|run| call::expected_response(call.kind, index, run));
        if !expected.clone().any(|a| a.starts_with(body)) && !body.is_empty() {
            self.foreign += 1;
        } else if whole && !expected.any(|a| a == body) {
            self.cut += 1;
        }
    }

    /// Checks the runs of a call against what its caller was told.
    pub fn check_call(&mut self, call: &Call) {
        for (index, submission) in call.submissions.iter().enumerate() {
            let reported = submission.reported.map(|(outcome, _)| outcome);
            let ran = |&run: &usize| match call.kind.is_keyed() {
                true => run <= index,
                false => run == index,
            };
            if reported == Some(outcome::Outcome::NotRun) && call.runs.iter().any(ran) {
                self.false_not_run += 1;
            }
            let ran_twice = call.runs.iter().filter(|&&run| run == index).count() > 1;
            if call.kind == Kind::Once && ran_twice {
                self.double_runs += 1;
            }
            let in_time = submission
                .reported
                .is_some_and(|(_, at)| at.get() <= submission.deadline.get() + 10);
            if !submission.disturbed && !in_time {
                self.late += 1;
            }
        }
        if call.kind.is_keyed() && call.runs.len() > 1 {
            self.double_runs += 1;
        }
    }
}
