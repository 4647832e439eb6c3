//! Records of attempts at the upstream process.

use super::answer;
use super::call_store;
use super::ticket;
use crate::admission;
use crate::id;
use crate::unit;

/// State of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Admitted and queued.
    Waiting,
    /// Dispatched to the engine.
    Running,
    /// The engine sent a complete response, kept if it was small enough.
    Ran(Option<answer::Answer>),
    /// The engine received it but sent no complete response.
    Failed,
    /// Tombstone: it did not run and never will.
    NotRun,
}

impl State {
    /// Returns whether the attempt is queued or running.
    pub const fn is_in_flight(&self) -> bool {
        matches!(self, State::Waiting | State::Running)
    }

    /// Returns the result that a seal reports.
    pub const fn progress(&self) -> admission::Progress {
        match self {
            State::Waiting | State::NotRun => admission::Progress::NotRun,
            State::Running | State::Failed => admission::Progress::Running,
            State::Ran(_) => admission::Progress::Ran,
        }
    }
}

/// What authorizes this process to run a call.
#[derive(Clone, Debug)]
pub enum Authority {
    /// The ticket names this incarnation.
    Ticket(ticket::Ticket),
    /// This VM is the home of the key, given the service and the sender's revision.
    Home(id::Service, unit::Revision),
}

/// The call of an attempt with a key or ticket.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identity of the call.
    pub call_id: call_store::Id,
    /// What authorizes this process to run it.
    pub authority: Authority,
}

/// Record of an attempt.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its state.
    pub state: State,
    /// Last instant at which it may be admitted or dispatched.
    pub valid_until: unit::Millis,
    /// The caller's deadline.
    pub deadline: unit::Millis,
    /// Whether the call is safe to run more than once.
    pub repeatable: bool,
    /// The call, if it has a key or ticket.
    pub call: Option<Call>,
    /// Hash of the request's content.
    pub digest: admission::Digest,
    /// The team; none for a tombstone.
    pub team: Option<id::Team>,
    /// When the link to its entry was lost, if it is still missing.
    pub orphaned_since: Option<unit::Millis>,
    /// When the record expires; none while it is in flight.
    pub expires: Option<unit::Millis>,
}

impl Record {
    /// Creates the record of an admitted attempt.
    pub fn new(start: &admission::Start, call: Option<Call>, now: unit::Millis) -> Self {
        Self {
            state: State::Waiting,
            valid_until: start.valid_until,
            deadline: now + start.time_left,
            repeatable: start.repeatable,
            call,
            digest: start.digest,
            team: Some(start.team.clone()),
            orphaned_since: None,
            expires: None,
        }
    }

    /// Creates a tombstone, which expires at `valid_until`.
    pub fn tombstone(valid_until: unit::Millis) -> Self {
        Self {
            state: State::NotRun,
            valid_until,
            deadline: valid_until,
            repeatable: false,
            call: None,
            digest: admission::Digest::default(),
            team: None,
            orphaned_since: None,
            expires: Some(valid_until),
        }
    }
}
