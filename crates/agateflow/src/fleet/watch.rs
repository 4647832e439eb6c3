//! Schedule of a process's calls to the configuration service.
//!
//! A few entries in each data centre watch the service; one whose calls fail reports it, and the next
//! one takes over. All others call only while no document is in force, or after the whole data centre
//! has had no answer for long, each with random exponential backoff. This keeps even a simultaneous
//! restart of all processes below the service's rate limit.

use rand::Rng;

use super::message;
use crate::unit;

/// Number of entries per data centre that watch the service.
pub const WATCHERS: usize = 2;
/// Time after the start during which only peers are asked.
pub const STARTUP_GRACE: unit::Millis = unit::Millis::new(2_000);
/// Maximum time that the service holds a long poll open.
pub const POLL_TIMEOUT: unit::Millis = unit::Millis::new(5_000);
/// Time without an answer in the whole data centre after which other entries call the service too.
pub const STALE_AFTER: unit::Millis = unit::Millis::new(60_000);
/// Maximum random delay of a watcher's first call after [`STARTUP_GRACE`].
pub const WATCHER_MAX_DELAY: unit::Millis = unit::Millis::new(1_000);
/// Maximum random delay of another entry's first call after [`STARTUP_GRACE`].
pub const ENTRY_MAX_DELAY: unit::Millis = unit::Millis::new(10_000);
/// Maximum random delay of an upstream process's first call after [`STARTUP_GRACE`].
pub const UPSTREAM_MAX_DELAY: unit::Millis = unit::Millis::new(20_000);
/// Upper bound of the random retry delay after many failures.
pub const MAX_RETRY_DELAY: unit::Millis = unit::Millis::new(60_000);
const MIN_RETRY_DELAY: unit::Millis = unit::Millis::new(500);
const MIN_POLL_GAP: unit::Millis = unit::Millis::new(200); // between an answer and the next poll
const MAX_DOUBLINGS: u32 = 3;

/// A request to the configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the current value.
    Get,
    /// Wait up to [`POLL_TIMEOUT`] for a version newer than this one.
    Poll(u64),
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A value and its version.
    Value(u64, std::sync::Arc<[u8]>),
    /// The long poll ended without a newer value.
    Unchanged,
    /// Timeout, refused connection or error response.
    Failed,
}

/// State of the process that decides whether it calls the service.
#[derive(Clone, Copy, Debug)]
pub struct State {
    /// Role of the process.
    pub role: message::Role,
    /// Rendezvous rank of the process among the entries of its data centre whose calls do not
    /// fail.
    pub rank: usize,
    /// Whether a document is in force.
    pub in_force: bool,
    /// Whether the process's last call failed.
    pub failing: bool,
    /// When any process of the data centre last reported an answer from the service.
    pub service_answered_at: Option<unit::Millis>,
}

impl State {
    fn max_delay(&self, started: unit::Millis, now: unit::Millis) -> Option<unit::Millis> {
        let stale = now.saturating_sub(self.service_answered_at.unwrap_or(started)) >= STALE_AFTER;
        match self.role {
            message::Role::Entry if self.rank < WATCHERS && !self.failing => {
                Some(WATCHER_MAX_DELAY)
            }
            message::Role::Entry if self.rank < WATCHERS || !self.in_force || stale => {
                Some(ENTRY_MAX_DELAY)
            }
            message::Role::Upstream if !self.in_force => Some(UPSTREAM_MAX_DELAY),
            _ => None,
        }
    }
}

/// Call schedule of one process.
#[derive(Clone, Debug)]
pub struct Watch {
    started: unit::Millis,
    scheduled: Option<(unit::Millis, unit::Millis)>, // due time, maximum delay it was drawn from
    failures: u32,
    version: Option<u64>,
    in_flight: bool,
    answered_at: Option<unit::Millis>,
}

impl Watch {
    /// Creates the schedule of a process that starts at `now`.
    pub fn new(now: unit::Millis) -> Self {
        let started = now;
        Self {
            started,
            scheduled: None,
            failures: 0,
            version: None,
            in_flight: false,
            answered_at: None,
        }
    }

    /// The call to make at `now`, if any. Its answer must be passed to [`Watch::handle_answer`].
    pub fn next_call(
        &mut self,
        state: &State,
        now: unit::Millis,
        rng: &mut impl Rng,
    ) -> Option<Call> {
        if self.in_flight || now < self.started + STARTUP_GRACE {
            return None;
        }
        let Some(max_delay) = state.max_delay(self.started, now) else {
            self.scheduled = None;
            return None;
        };
        let due = self.due(max_delay, now, rng);
        if now < due {
            return None;
        }
        self.in_flight = true;
        self.scheduled = None;
        Some(self.version.map_or(Call::Get, Call::Poll))
    }

    fn due(
        &mut self,
        max_delay: unit::Millis,
        now: unit::Millis,
        rng: &mut impl Rng,
    ) -> unit::Millis {
        if let Some((due, drawn_max)) =
            self.scheduled.filter(|(_, drawn_max)| *drawn_max <= max_delay)
        {
            self.scheduled = Some((due, drawn_max));
            return due;
        }
        let due = match (self.failures, self.version) {
            (0, Some(_)) => now + MIN_POLL_GAP,
            (failures, _) => now + backoff(max_delay, failures, rng),
        };
        self.scheduled = Some((due, max_delay));
        due
    }

    /// Handles the answer to the last call.
    pub fn handle_answer(&mut self, answer: &Answer, now: unit::Millis) {
        self.in_flight = false;
        self.failures = match answer {
            Answer::Failed => self.failures.saturating_add(1),
            Answer::Value(..) | Answer::Unchanged => 0,
        };
        match answer {
            Answer::Failed => self.version = None,
            Answer::Value(version, _) => self.version = Some(*version),
            Answer::Unchanged => {}
        }
        if *answer != Answer::Failed {
            self.answered_at = Some(now);
        }
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether the service has answered within [`STALE_AFTER`] before `now`.
    pub fn has_recent_answer(&self, now: unit::Millis) -> bool {
        self.answered_at.is_some_and(|at| now.saturating_sub(at) < STALE_AFTER)
    }

    /// When the service last answered.
    pub fn answered_at(&self) -> Option<unit::Millis> {
        self.answered_at
    }
}

fn backoff(max_delay: unit::Millis, failures: u32, rng: &mut impl Rng) -> unit::Millis {
    let upper =
        max_delay.get().saturating_mul(1 << failures.min(MAX_DOUBLINGS)).min(MAX_RETRY_DELAY.get());
    let lower = if failures > 0 { MIN_RETRY_DELAY.get() } else { 0 };
    unit::Millis::new(rng.random_range(lower..=upper.max(lower)))
}
