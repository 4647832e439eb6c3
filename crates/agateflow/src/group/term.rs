//! Terms of a group, totally ordered.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::unit;

/// A coordinator's term of leadership. A rank obeys the highest term that it has promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Term {
    /// Revision of the configuration that the coordinator acts on.
    pub revision: unit::Revision,
    /// Counter that each new term increments.
    pub counter: u64,
    /// Incarnation of the coordinator's process.
    pub coordinator: id::Incarnation,
}

impl Term {
    /// Creates a term.
    pub const fn new(revision: unit::Revision, counter: u64, coordinator: id::Incarnation) -> Self {
        Self { revision, counter, coordinator }
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.revision, self.counter, self.coordinator)
    }
}
