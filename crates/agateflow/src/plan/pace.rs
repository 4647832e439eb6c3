//! Pacing of weight transfers from a rate-limited store.
//!
//! Groups are scheduled by deficit round robin in bytes, and a token bucket limits the rate. A
//! rejection halves the rate and suspends all transfers, with exponential backoff.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{id, unit};

/// Bounds of the backoff after a rejection.
const MIN_BACKOFF: unit::Millis = unit::Millis::new(200);
const MAX_BACKOFF: unit::Millis = unit::Millis::new(10_000);
/// Minimum rate as a fraction of the full rate.
const MIN_RATE_FRACTION: f64 = 1.0 / 64.0;
/// Rate increase per completed transfer, as a fraction of the full rate.
const RATE_STEP_FRACTION: f64 = 1.0 / 32.0;
/// Capacity of the token bucket, in seconds at the full rate.
const BURST_SECONDS: f64 = 1.0;

/// A transfer of an expert's weights into a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Transfer {
    /// The group.
    pub group: id::Group,
    /// The layer.
    pub layer: usize,
    /// The expert.
    pub expert: usize,
    /// Name of the rank that loads the weights.
    pub rank: Box<str>,
    /// Size of the weights.
    pub size: unit::Bytes,
}

#[derive(Clone, Debug, Default)]
struct Backlog {
    transfers: VecDeque<Transfer>,
    deficit: u64,
}

/// Queue of transfers that wait for the store.
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
    /// Creates a queue whose full rate is `rate` bytes per second.
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

    /// Appends a transfer to its group's backlog.
    pub fn push(&mut self, transfer: Transfer) {
        self.backlogs.entry(transfer.group.clone()).or_default().transfers.push_back(transfer);
    }

    /// Removes the queued transfers of `group`; those already started continue.
    pub fn clear(&mut self, group: &id::Group) {
        self.backlogs.shift_remove(group);
    }

    /// Number of transfers that have not started.
    pub fn len(&self) -> usize {
        self.backlogs.values().map(|b| b.transfers.len()).sum()
    }

    /// Whether no transfer is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes the next transfer that may start now. It may use more tokens than are left; the debt
    /// delays later transfers.
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

    /// Records that the store completed a transfer: resets the backoff and raises the rate.
    pub fn completed(&mut self) {
        self.backoff = MIN_BACKOFF;
        self.rate = (self.rate + self.max_rate * RATE_STEP_FRACTION).min(self.max_rate);
    }

    /// Records that the store rejected `transfer`, which returns to the front of its backlog.
    /// Suspends all transfers for the backoff, or for `retry_after` if longer.
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

    /// Takes a transfer by deficit round robin; the quantum is the size of the largest front
    /// transfer.
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
