//! This entry's share of the free capacity of a group of ranks.
//!
//! All entries see the same free capacity, by counts that are about 0.1 s old, and each would fill
//! it. So each entry takes only its share per propagation interval, through a token bucket.

use crate::unit;

/// Time until other entries know what this one has sent.
const REPORT_DELAY: unit::Millis = unit::Millis::new(100);

/// Lowest cap on the credit saved while nothing is sent, in requests.
const MIN_CREDIT: f64 = 1.0;

/// Token bucket for this entry's share.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    credit: f64,
    updated_at: unit::Millis,
}

impl Share {
    /// Starts with the credit of an entry that has sent nothing for a while.
    pub const fn new() -> Self {
        Self { credit: MIN_CREDIT, updated_at: unit::Millis::ZERO }
    }

    /// Starts at `now` without credit.
    pub const fn empty(now: unit::Millis) -> Self {
        Self { credit: 0.0, updated_at: now }
    }

    /// Adds the credit earned since the last call. `entries` share `free_capacity`.
    pub fn refill(&mut self, free_capacity: f64, entries: usize, now: unit::Millis) {
        let refill = (free_capacity / entries.max(1) as f64).max(0.0);
        let age = now.saturating_sub(self.updated_at).get() as f64 / REPORT_DELAY.get() as f64;
        self.credit = (self.credit + refill * age).min(refill.max(MIN_CREDIT));
        self.updated_at = now;
    }

    /// Whether the credit covers a request.
    pub const fn has_credit(&self) -> bool {
        self.credit >= 1.0
    }

    /// Spends the credit of one request.
    pub fn spend(&mut self) {
        self.credit = (self.credit - 1.0).max(0.0);
    }

    /// Takes capacity for one request if this entry's share allows it. `entries` share
    /// `free_capacity`.
    pub fn try_take(&mut self, free_capacity: f64, entries: usize, now: unit::Millis) -> bool {
        self.refill(free_capacity, entries, now);
        let granted = free_capacity > 0.0 && self.has_credit();
        if granted {
            self.spend();
        }
        granted
    }
}

impl Default for Share {
    fn default() -> Self {
        Self::new()
    }
}
