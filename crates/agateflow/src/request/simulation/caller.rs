//! Simulated callers: submissions, outcomes and retries.

use rand::Rng;

use super::Kind;
use super::call::{Call, Submission};
use super::driver::Simulation;
use super::event::Event;
use super::upstream;
use crate::outcome;
use crate::request::{Ending, Finish, Input};
use crate::unit;

/// Maximum number of submissions of one call.
const MAX_SUBMISSIONS: usize = 3;

impl Simulation {
    /// Submits a new call to an entry, or to a random one, and returns its index.
    pub fn call(&mut self, kind: Kind, entry: Option<usize>) -> usize {
        let call = self.calls.len();
        let ticket = (kind == Kind::Ticketed).then(|| self.new_ticket());
        self.calls.push(Call { kind, ticket, submissions: Vec::new(), runs: Vec::new() });
        let entry = entry.unwrap_or_else(|| self.random_entry());
        self.schedule(self.now, Event::Submit { entry, call });
        if self.faults_enabled && self.occurs(self.settings.faults.caller_disconnect) {
            let after = unit::Millis::new(self.random_below(30));
            self.schedule(self.now + after, Event::CallerDisconnect { call });
        }
        call
    }

    /// Submits a call again to an entry.
    pub fn retry_call(&mut self, call: usize, entry: usize) {
        self.schedule(self.now, Event::Submit { entry, call });
    }

    /// Disconnects the caller of a call.
    pub fn disconnect_caller(&mut self, call: usize) {
        self.schedule(self.now, Event::CallerDisconnect { call });
    }

    fn new_ticket(&mut self) -> (Box<[u8]>, usize) {
        let home = self.rng.random_range(0..self.upstreams.len());
        let node = &mut self.upstreams[home];
        let now = node.local_time(self.now);
        let ticket = node.issuer.issue(&self.team, 1, now);
        let bytes = ticket.first().map(|t| t.encode(&upstream::secret()));
        (bytes.unwrap_or_default(), home)
    }

    pub(super) fn submit_call(&mut self, entry: usize, call: usize) {
        let deadline = self.now + self.settings.deadline;
        let submission =
            Submission { deadline, reported: None, disturbed: false, caller_disconnected: false };
        self.calls[call].submissions.push(submission);
        self.stats.requests += 1;
        let submission = self.calls[call].submissions.len() - 1;
        self.record_trace(|s| format!("c{call} sends {} to e{entry}", s.calls[call].kind));
        self.accept(entry, call, submission);
    }

    pub(super) fn on_caller_disconnect(&mut self, call: usize) {
        for entry in 0..self.entries.len() {
            let node = &self.entries[entry];
            let exchange = node.requests.iter().find(|(_, e)| e.call == call);
            let Some((number, submission)) = exchange.map(|(&n, e)| (n, e.submission)) else {
                continue;
            };
            if node.paused_until.is_some() {
                continue;
            }
            self.record_trace(|_| format!("c{call} goes away"));
            self.calls[call].submissions[submission].caller_disconnected = true;
            self.calls[call].submissions[submission].disturbed = true;
            self.feed(entry, number, Input::CallerDisconnected);
        }
    }

    /// Records the result of a submission.
    pub(super) fn report_outcome(
        &mut self,
        entry: usize,
        (call, submission): (usize, usize),
        finish: Finish,
        body: &[u8],
    ) {
        let is_complete = finish.ending == Ending::Complete;
        self.stats.check_response(call, &self.calls[call], body, is_complete);
        let text = String::from_utf8_lossy(body).into_owned();
        self.record_trace(|_| {
            format!("e{entry} tells c{call} {} {}", finish.outcome, describe_ending(finish))
        });
        if !text.is_empty() {
            self.record_trace(|_| format!("c{call} has {text}"));
        }
        let now = self.now;
        let record = &mut self.calls[call].submissions[submission];
        record.reported = Some((finish.outcome, now));
        if record.caller_disconnected {
            self.stats.untold += 1;
            return;
        }
        self.stats.record_outcome(finish.outcome);
        self.schedule_caller_retry(call, submission, finish.outcome);
    }

    pub(super) fn schedule_caller_retry(
        &mut self,
        call: usize,
        submission: usize,
        outcome: outcome::Outcome,
    ) {
        let kind = self.calls[call].kind;
        let safe = kind.is_repeatable() || kind.is_keyed();
        let should_retry = match outcome {
            outcome::Outcome::Ran => false,
            outcome::Outcome::NotRun => true,
            outcome::Outcome::Unknown => safe,
        };
        if self.caller_retries && should_retry && submission + 1 < MAX_SUBMISSIONS {
            let entry = self.random_entry();
            let after = unit::Millis::new(100 + self.random_below(300));
            self.schedule(self.now + after, Event::Submit { entry, call });
        }
    }
}

fn describe_ending(finish: Finish) -> String {
    match finish.ending {
        Ending::Complete => "whole".to_owned(),
        Ending::Truncated => "cut".to_owned(),
        Ending::Problem { status, retry_after, reason } => {
            let reason = reason.map(|r| format!(" {r}")).unwrap_or_default();
            format!("{status}{reason} retry-after {retry_after}")
        }
    }
}
