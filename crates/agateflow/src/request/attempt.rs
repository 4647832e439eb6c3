//! What the entry knows of one attempt.

use super::Target;
use crate::admission;
use crate::id;
use crate::unit;

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Its start was given to the link and no end is known.
    Open,
    /// As open, while the link is away since an instant.
    Disconnected(unit::Millis),
    /// A seal was sent at an instant.
    Sealing(unit::Millis),
    /// It provably did not run and never will.
    NotRun,
    /// It ran or may have run, and gives nothing more.
    Lost,
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id.
    pub id: id::Attempt,
    /// Where it was sent.
    pub target: Target,
    /// Where it stands.
    pub state: State,
    /// The offset at which missing bytes were last asked for.
    pub resume_offset: Option<u64>,
    /// Whether it was sealed once.
    pub probed: bool,
    /// Whether its answer is asked for when a seal finds that it runs.
    pub resume_if_running: bool,
}

impl Attempt {
    /// Creates an attempt that is being sent.
    pub const fn new(id: id::Attempt, target: Target) -> Self {
        Self {
            id,
            target,
            state: State::Open,
            resume_offset: None,
            probed: false,
            resume_if_running: false,
        }
    }

    /// Whether it may still give an answer.
    pub const fn is_open(&self) -> bool {
        matches!(self.state, State::Open | State::Disconnected(_) | State::Sealing(_))
    }

    /// The seal that asks for its state.
    pub const fn seal(&self) -> admission::Seal {
        let target = self.target.incarnation;
        admission::Seal { id: self.id, target, valid_until: self.target.valid_until }
    }
}
