//! Whether an upstream has begun to answer a request and survived it.

use crate::unit;

/// Time for which an upstream must live on after the first part of an answer.
const SURVIVAL: unit::Millis = unit::Millis::new(300);

/// Progress of an answer at one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    first_part: Option<unit::Millis>,
    parts: u32,
}

impl Progress {
    /// Starts before the first part.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a part arrived. Returns whether it is the one that shows the upstream survived.
    pub fn record_part(&mut self, now: unit::Millis) -> bool {
        self.first_part.get_or_insert(now);
        self.parts = self.parts.saturating_add(1);
        self.parts == 2
    }

    /// Whether no part arrived.
    pub const fn is_empty(&self) -> bool {
        self.parts == 0
    }

    /// Whether the answer has a single part, by which the upstream was not seen to survive.
    pub const fn is_single_part(&self) -> bool {
        self.parts == 1
    }

    /// Whether the upstream survived the beginning of the answer.
    pub fn is_answered(&self, now: unit::Millis) -> bool {
        self.parts >= 2 || self.first_part.is_some_and(|at| now >= at + SURVIVAL)
    }
}
