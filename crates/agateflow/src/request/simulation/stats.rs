//! Results of a simulation: outcomes and violated guarantees.

use serde::Serialize;

use super::call::{self, Call, Kind};
use crate::outcome;

/// Counters of one simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Submitted requests.
    pub requests: u64,
    /// Requests with outcome `ran`.
    pub ran: u64,
    /// Requests with outcome `not-run`.
    pub not_run: u64,
    /// Requests with outcome `unknown`.
    pub unknown: u64,
    /// Requests without an outcome because the entry was killed or the caller disconnected.
    pub untold: u64,
    /// Runs at engines.
    pub runs: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Responses that mix in bytes of another request or of another run.
    pub foreign: u64,
    /// Responses that ended as complete but were truncated.
    pub cut: u64,
    /// Requests with outcome `not-run` that ran.
    pub false_not_run: u64,
    /// Calls that must not be repeated but ran more than once.
    pub double_runs: u64,
    /// Undisturbed requests without an outcome by their deadline plus 10 ms.
    pub late: u64,
}

impl Stats {
    /// Number of violated guarantees.
    pub const fn violations(&self) -> u64 {
        self.foreign + self.cut + self.false_not_run + self.double_runs + self.late
    }

    /// Counts an outcome that a caller received.
    pub const fn record_outcome(&mut self, outcome: outcome::Outcome) {
        match outcome {
            outcome::Outcome::Ran => self.ran += 1,
            outcome::Outcome::NotRun => self.not_run += 1,
            outcome::Outcome::Unknown => self.unknown += 1,
        }
    }

    /// Checks the bytes that a caller received.
    pub fn check_response(&mut self, index: usize, call: &Call, body: &[u8], is_complete: bool) {
        let runs = call.runs.len();
        let mut expected = (0..runs).map(|run| call::expected_response(call.kind, index, run));
        if !expected.clone().any(|a| a.starts_with(body)) && !body.is_empty() {
            self.foreign += 1;
        } else if is_complete && !expected.any(|a| a == body) {
            self.cut += 1;
        }
    }

    /// Checks the runs of a call against the outcomes that its caller received.
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
