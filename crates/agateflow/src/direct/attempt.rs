//! Decides what follows an attempt: return the response, retry, refuse or fail.

use super::config::Kind;

/// How an attempt at an upstream ended before any byte of the response reached the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of the request was sent.
    Unsent,
    /// Another upstream listens at the address and reported that it did not run the request.
    Misdirected,
    /// The upstream reported that it did not run the request.
    NotRun,
    /// The upstream ran the request and returned an error.
    Failed,
    /// The upstream returned an error whose status says that it did not run the request, without
    /// proof of that.
    Unproven,
    /// The connection broke, or the response does not belong to this request.
    Broken,
    /// No response arrived in time.
    Silent,
}

impl Outcome {
    /// Value of the metric label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Unsent => "unsent",
            Outcome::Misdirected => "misdirected",
            Outcome::NotRun => "not-run",
            Outcome::Failed => "failed",
            Outcome::Unproven => "unproven",
            Outcome::Broken => "broken",
            Outcome::Silent => "silent",
        }
    }
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Retry at another upstream.
    Again,
    /// Tell the caller that the request did not run and will not run.
    Refuse,
    /// Return the upstream's error response.
    Pass,
    /// Respond with a gateway error: it is unknown whether the request ran.
    Fail,
    /// Respond with a timeout: it is unknown whether the request ran.
    TimeOut,
}

/// Maximum attempts that fail before any byte is sent.
const MAX_UNSENT: u32 = 4;

/// Maximum misdirected attempts. More would not help, as the directory is out of date then.
const MAX_MISDIRECTED: u32 = 2;

/// Tracks the attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct Tracker {
    kind: Kind,
    limit: u32,
    sent: u32,
    unsent: u32,
    misdirected: u32,
    maybe_ran: bool,
}

impl Tracker {
    /// Tracks a request that may be sent to `limit` upstreams; zero counts as one.
    pub const fn new(kind: Kind, limit: u32) -> Self {
        Self {
            kind,
            limit: if limit == 0 { 1 } else { limit },
            sent: 0,
            unsent: 0,
            misdirected: 0,
            maybe_ran: false,
        }
    }

    /// Number of upstreams that received the request.
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether the request may be resent after an attempt of unknown outcome.
    pub const fn may_resend(&self) -> bool {
        self.kind.may_repeat() && self.sent + 1 < self.limit
    }

    /// Whether any upstream may have run the request.
    pub const fn maybe_ran(&self) -> bool {
        self.maybe_ran
    }

    /// Takes a silent attempt up again, as its upstream keeps the request.
    pub const fn reopen_attempt(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Records the outcome of an attempt and decides what to do next. `has_budget` is whether the
    /// service's retry budget allows a retry, `has_time` whether enough time is left for one.
    pub fn record_outcome(&mut self, outcome: Outcome, has_budget: bool, has_time: bool) -> Action {
        self.count(outcome);
        let can_retry = has_time && self.has_attempts_left(outcome);
        match outcome {
            Outcome::Unsent | Outcome::Misdirected
                if can_retry && (outcome == Outcome::Unsent || has_budget) =>
            {
                Action::Again
            }
            Outcome::NotRun if can_retry && has_budget => Action::Again,
            Outcome::Failed if can_retry && has_budget && self.kind == Kind::Idempotent => {
                Action::Again
            }
            Outcome::Failed => Action::Pass,
            Outcome::Unproven | Outcome::Broken | Outcome::Silent
                if can_retry && has_budget && self.kind.may_repeat() =>
            {
                Action::Again
            }
            _ if !self.maybe_ran => Action::Refuse,
            Outcome::Silent => Action::TimeOut,
            _ => Action::Fail,
        }
    }

    fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Unsent => self.unsent += 1,
            Outcome::Misdirected => self.misdirected += 1,
            Outcome::NotRun => self.sent += 1,
            Outcome::Failed | Outcome::Unproven | Outcome::Broken | Outcome::Silent => {
                self.sent += 1;
                self.maybe_ran = true;
            }
        }
    }

    const fn has_attempts_left(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Unsent => self.unsent < MAX_UNSENT && self.sent < self.limit,
            Outcome::Misdirected => self.misdirected < MAX_MISDIRECTED && self.sent < self.limit,
            _ => self.sent < self.limit,
        }
    }
}
