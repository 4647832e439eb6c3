//! Bounded history of what a stand-in publishes with a lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of entries.
const CAPACITY: usize = 16_384;

/// A bounded history of entries with their creation times.
#[derive(Clone, Debug)]
pub struct History<T> {
    entries: VecDeque<(Instant, T)>,
}

impl<T> Default for History<T> {
    fn default() -> Self {
        Self { entries: VecDeque::new() }
    }
}

impl<T> History<T> {
    /// Adds an entry. If the history is full, the oldest one is dropped.
    pub fn push(&mut self, now: Instant, entry: T) {
        if self.entries.len() >= CAPACITY {
            self.entries.pop_front();
        }
        self.entries.push_back((now, entry));
    }

    /// The entries that are at least `lag` old.
    pub fn visible(&self, now: Instant, lag: Duration) -> impl DoubleEndedIterator<Item = &T> {
        let old = |(time, _): &(Instant, T)| now.saturating_duration_since(*time) >= lag;
        let visible = self.entries.partition_point(old);
        self.entries.range(..visible).map(|(_, entry)| entry)
    }
}
