//! One entry's share of the room that the ranks of a group have left.
//!
//! All entries see the same room, by counts that are some 0.1 s old, and would each fill it. So an
//! entry takes its part of the room in the time that counts take to be known.

use crate::unit;

/// Time after which the other entries know what this one has sent.
const REPORT_TIME: unit::Millis = unit::Millis::new(100);

/// Least room that an entry saves up while it sends nothing, in requests.
const LEAST_CREDIT: f64 = 1.0;

/// How much of the room the entry may take now.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    credit: f64,
    at: unit::Millis,
}

impl Share {
    /// Starts with the share of an entry that has sent nothing for a while.
    pub const fn new() -> Self {
        Self { credit: LEAST_CREDIT, at: unit::Millis::ZERO }
    }

    /// Takes room for one request, if the entry's part of `room` has it. `entries` share the room.
    pub fn take(&mut self, room: f64, entries: usize, now: unit::Millis) -> bool {
        let part = (room / entries.max(1) as f64).max(0.0);
        let age = now.saturating_sub(self.at).get() as f64 / REPORT_TIME.get() as f64;
        self.credit = (self.credit + part * age).min(part.max(LEAST_CREDIT));
        self.at = now;
        let taken = room > 0.0 && self.credit >= 1.0;
        if taken {
            self.credit -= 1.0;
        }
        taken
    }
}

impl Default for Share {
    fn default() -> Self {
        Self::new()
    }
}
