//! State of one attempt as the entry knows it.

use super::Target;
use crate::admission;
use crate::id;
use crate::unit;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Its start was passed to the link and no result is known.
    Open,
    /// As open, but the link has been down since this instant.
    Disconnected(unit::Millis),
    /// A seal was sent at this instant.
    Sealing(unit::Millis),
    /// It provably did not run and never will.
    NotRun,
    /// It ran or may have run, and sends nothing more.
    Lost,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: id::Attempt,
    pub target: Target,
    pub state: State,
    /// The offset at which its response was last resumed.
    pub resumed_at: Option<u64>,
    /// Whether it was sealed, or resumed shortly before the deadline.
    pub sealed: bool,
    /// Whether to resume its response unless a seal proves that it did not run.
    pub resume_after_seal: bool,
}

impl Attempt {
    /// Creates an attempt whose start is being sent.
    pub const fn new(id: id::Attempt, target: Target) -> Self {
        Self {
            id,
            target,
            state: State::Open,
            resumed_at: None,
            sealed: false,
            resume_after_seal: false,
        }
    }

    /// Whether it may still send a response.
    pub const fn is_open(&self) -> bool {
        matches!(self.state, State::Open | State::Disconnected(_) | State::Sealing(_))
    }

    /// The seal that queries its state.
    pub const fn seal(&self) -> admission::Seal {
        let target = self.target.incarnation;
        admission::Seal { id: self.id, target, valid_until: self.target.valid_until }
    }
}
