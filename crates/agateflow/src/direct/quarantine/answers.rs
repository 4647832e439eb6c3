//! Parts of prompts in recently answered requests, in bounded memory.

use indexmap::IndexMap;

use super::{LIFETIME, Part};
use crate::unit;

/// Parts in a generation; at most two generations are kept.
const MAX_PARTS: usize = 8_192;

/// When each part was last answered.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    current: IndexMap<Part, unit::Millis>,
    previous: IndexMap<Part, unit::Millis>,
}

impl Answers {
    /// Records an answer to a request with `part`.
    pub fn record(&mut self, part: Part, now: unit::Millis) {
        if self.current.len() >= MAX_PARTS && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(part, now);
    }

    /// Time of the last answer, unless it is older than [`LIFETIME`].
    pub fn last(&self, part: Part, now: unit::Millis) -> Option<unit::Millis> {
        let last = self.current.get(&part).or_else(|| self.previous.get(&part)).copied();
        last.filter(|&at| now < at + LIFETIME)
    }
}
