//! Dispatch check in front of an engine: suspects run alone, one at a time.

use indexmap::IndexSet;

use super::Status;
use crate::id;

/// What to do with the next queued attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Dispatch it.
    Run,
    /// Keep it queued and check again when an attempt ends.
    Wait,
    /// Refuse it here; another upstream may run it.
    Redirect,
    /// Refuse it as poison.
    Refuse,
}

/// An attempt that is next in the queue.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The attempt.
    pub id: id::Attempt,
    /// Classification of its request.
    pub status: Status,
    /// Whether this upstream runs the suspects of its data centre.
    pub is_isolation_upstream: bool,
    /// Whether another upstream of the data centre could serve the request.
    pub has_alternative: bool,
    /// Number of attempts running at the engine.
    pub running: usize,
}

/// Suspects waiting or running at an upstream process.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    waiting: IndexSet<id::Attempt>,
    isolated_attempt: Option<id::Attempt>,
}

impl Gate {
    /// Creates a gate without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the suspect that is running in isolation.
    pub const fn isolated_attempt(&self) -> Option<id::Attempt> {
        self.isolated_attempt
    }

    /// Decides on an attempt immediately before its dispatch.
    pub fn decide(&mut self, candidate: &Candidate) -> Decision {
        if candidate.status == Status::Suspect && candidate.is_isolation_upstream {
            return self.decide_suspect(candidate);
        }
        self.waiting.shift_remove(&candidate.id);
        match candidate.status {
            Status::Poison => Decision::Refuse,
            Status::Suspect => Decision::Redirect,
            Status::Clear => self.decide_clear(candidate),
        }
    }

    fn decide_suspect(&mut self, candidate: &Candidate) -> Decision {
        let first = self.waiting.first().is_none_or(|&id| id == candidate.id);
        if self.isolated_attempt.is_some() || candidate.running > 0 || !first {
            self.waiting.insert(candidate.id);
            return Decision::Wait;
        }
        self.waiting.shift_remove(&candidate.id);
        self.isolated_attempt = Some(candidate.id);
        Decision::Run
    }

    fn decide_clear(&self, candidate: &Candidate) -> Decision {
        let closed = self.isolated_attempt.is_some() || !self.waiting.is_empty();
        match (closed, candidate.has_alternative) {
            (false, _) => Decision::Run,
            (true, true) => Decision::Redirect,
            (true, false) => Decision::Wait,
        }
    }

    /// Removes an attempt that ended or left the queue. Returns whether it ran in isolation.
    pub fn release(&mut self, id: id::Attempt) -> bool {
        self.waiting.shift_remove(&id);
        let was_isolated = self.isolated_attempt == Some(id);
        if was_isolated {
            self.isolated_attempt = None;
        }
        was_isolated
    }
}
