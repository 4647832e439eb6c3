//! Replay protection with a sliding window of sequence numbers per sender.

use indexmap::IndexMap;

use crate::id;

/// Maximum number of tracked senders; when full, one of the oldest is evicted.
pub const MAX_SENDERS: usize = 4_096;
const WIDTH: u64 = 64; // sequence numbers

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    highest: u64,
    seen: u64, // bit n stands for `highest - n`
}

impl Window {
    fn insert(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift < WIDTH { self.seen << shift } else { 0 };
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WIDTH || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }
}

/// The window of each sender, by incarnation.
#[derive(Clone, Debug, Default)]
pub struct Windows {
    windows: IndexMap<id::Incarnation, Window>,
}

impl Windows {
    /// Creates an empty set of windows.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records `sequence` of `sender`. Returns `false` for a replay or a number below the window.
    pub fn insert(&mut self, sender: id::Incarnation, sequence: u64) -> bool {
        if let Some(window) = self.windows.get_mut(&sender) {
            return window.insert(sequence);
        }
        if self.windows.len() >= MAX_SENDERS {
            self.windows.swap_remove_index(0);
        }
        self.windows.entry(sender).or_default().insert(sequence)
    }

    /// The number of tracked senders.
    pub fn len(&self) -> usize {
        self.windows.len()
    }

    /// Whether no sender is tracked.
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }
}
