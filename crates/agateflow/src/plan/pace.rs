//! Paced loading through a rate-limited weight store.
//!
//! Groups take turns by bytes (deficit round robin), a budget bounds the rate, and a refusal halves
//! the rate and holds all loads back for a time that doubles with each refusal in a row.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{id, unit};

/// Shortest and longest time without loads after a refusal.
const MIN_BACKOFF: unit::Millis = unit::Millis::new(200);
const MAX_BACKOFF: unit::Millis = unit::Millis::new(10_000);
/// Part of the full rate that the budget never falls below.
const MIN_RATE_FRACTION: f64 = 1.0 / 64.0;
/// Part of the full rate that a finished load gives back.
const RATE_STEP_FRACTION: f64 = 1.0 / 32.0;
/// Time of the full rate that the budget can save up, in seconds.
const BURST_SECONDS: f64 = 1.0;

/// One load of an expert's weights into a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Transfer {
    /// The group.
    pub group: id::Group,
    /// The layer.
    pub layer: usize,
    /// The expert.
    pub expert: usize,
    /// Name of the rank that loads it.
    pub rank: Box<str>,
    /// Size of the weights.
    pub size: unit::Bytes,
}

#[derive(Clone, Debug, Default)]
struct Backlog {
    transfers: VecDeque<Transfer>,
    deficit: u64,
}

/// Loads that wait for the store.
#[derive(Clone, Debug)]
pub struct Queue {
    max_rate: f64,
    rate: f64,
    tokens: f64,
    last: unit::Millis,
    blocked_until: unit::Millis,
    backoff: unit::Millis,
    backlogs: IndexMap<id::Group, Backlog>,
    cursor: usize,
}

impl Queue {
    /// Creates a queue with a full rate in bytes a second.
    pub fn new(rate: unit::Bytes, now: unit::Millis) -> Self {
        let max_rate = rate.get() as f64;
        Self {
            max_rate,
            rate: max_rate,
            tokens: 0.0,
            last: now,
            blocked_until: now,
            backoff: MIN_BACKOFF,
            backlogs: IndexMap::new(),
            cursor: 0,
        }
    }

    /// Adds a load.
    pub fn push(&mut self, transfer: Transfer) {
        self.backlogs.entry(transfer.group.clone()).or_default().transfers.push_back(transfer);
    }

    /// Forgets the loads of `group` that have not begun.
    pub fn clear(&mut self, group: &id::Group) {
        self.backlogs.shift_remove(group);
    }

    /// Number of loads that have not begun.
    pub fn len(&self) -> usize {
        self.backlogs.values().map(|b| b.transfers.len()).sum()
    }

    /// Whether no load waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The next load that may begin now. Loads larger than the saved budget wait until it is whole.
    pub fn next(&mut self, now: unit::Millis) -> Option<Transfer> {
        let passed = now.saturating_sub(self.last).duration().as_secs_f64();
        self.last = now.max(self.last);
        self.tokens = (self.tokens + passed * self.rate).min(self.max_rate * BURST_SECONDS);
        if now < self.blocked_until || self.tokens <= 0.0 {
            return None;
        }
        let transfer = self.dequeue()?;
        self.tokens -= transfer.size.get() as f64;
        Some(transfer)
    }

    /// Notes that the store served a load.
    pub fn completed(&mut self) {
        self.backoff = MIN_BACKOFF;
        self.rate = (self.rate + self.max_rate * RATE_STEP_FRACTION).min(self.max_rate);
    }

    /// Notes that the store refused `item`, which goes back to the front, for at least `wait`.
    pub fn rejected(
        &mut self,
        transfer: Transfer,
        now: unit::Millis,
        retry_after: Option<unit::Millis>,
    ) {
        self.rate = (self.rate / 2.0).max(self.max_rate * MIN_RATE_FRACTION);
        self.blocked_until = now + self.backoff.max(retry_after.unwrap_or_default());
        self.backoff = (self.backoff + self.backoff).min(MAX_BACKOFF);
        let backlog = self.backlogs.entry(transfer.group.clone()).or_default();
        backlog.deficit += transfer.size.get();
        backlog.transfers.push_front(transfer);
    }

    /// Takes a load of the group whose turn it is: each turn brings the size of the largest load.
    fn dequeue(&mut self) -> Option<Transfer> {
        let sizes =
            self.backlogs.values().filter_map(|b| b.transfers.front()).map(|t| t.size.get());
        let quantum = sizes.max()?.max(1);
        loop {
            let count = self.backlogs.len();
            let (_, backlog) = self.backlogs.get_index_mut(self.cursor % count)?;
            let Some(size) = backlog.transfers.front().map(|t| t.size.get()) else {
                backlog.deficit = 0;
                self.cursor = (self.cursor + 1) % count;
                continue;
            };
            if size > backlog.deficit {
                backlog.deficit += quantum;
            }
            backlog.deficit -= size;
            let transfer = backlog.transfers.pop_front();
            if backlog.transfers.front().is_none_or(|t| t.size.get() > backlog.deficit) {
                self.cursor = (self.cursor + 1) % count;
            }
            return transfer;
        }
    }
}
