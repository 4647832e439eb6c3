//! Continuous batching: which sequences take part in a step, and how long the step takes.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use agateflow::unit;
use serde::{Deserialize, Serialize};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Maximum number of prompt tokens computed in one step.
const PREFILL_TOKENS_PER_STEP: u64 = 2048;

/// Speed of an engine class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Speed {
    /// Prompt tokens per second; zero means no limit.
    pub prefill: u64,
    /// Time of each step.
    pub step: unit::Micros,
    /// Time that each sequence adds to a step.
    pub sequence: unit::Micros,
}

/// One sequence's remaining work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Number of the sequence, unique in its engine and growing with time.
    pub id: u64,
    /// Higher ones are admitted first.
    pub priority: i64,
    /// Prompt tokens still to compute.
    pub prefill: u64,
    /// Output tokens still to produce.
    pub output: u64,
}

/// What one step does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// How long it takes.
    pub time: unit::Micros,
    /// Sequences that produce one token each, and whether that completes them.
    pub tokens: Vec<(u64, bool)>,
}

/// The sequences of one engine.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    waiting: BTreeMap<(Reverse<i64>, u64), Work>,
    running: Vec<Work>,
    limit: usize,
}

impl Batch {
    /// Creates a batch of at most `limit` sequences.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), ..Self::default() }
    }

    /// Adds a sequence to the queue.
    pub fn add(&mut self, work: Work) {
        self.waiting.insert((Reverse(work.priority), work.id), work);
    }

    /// Removes a sequence; false if it is not there.
    pub fn remove(&mut self, id: u64) -> bool {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|work| work.id != id);
        self.waiting.retain(|_, work| work.id != id);
        self.running.len() + self.waiting.len() < before
    }

    /// Sequences in the queue.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Prompt and output tokens of the sequences in the queue.
    pub fn queued_tokens(&self) -> u64 {
        self.waiting.values().map(|work| work.prefill + work.output).sum()
    }

    /// Plans the next step and deducts its work; `None` without a sequence.
    pub fn step(&mut self, speed: &Speed) -> Option<Step> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let sequences = self.running.len() as u64;
        let prefill = self.prefill();
        let time =
            speed.step.get() + sequences * speed.sequence.get() + prefill_time(speed, prefill);
        Some(Step { time: unit::Micros::new(time), tokens: self.decode() })
    }

    fn admit(&mut self) {
        while self.running.len() < self.limit {
            let Some((_, work)) = self.waiting.pop_first() else {
                return;
            };
            self.running.push(work);
        }
    }

    fn prefill(&mut self) -> u64 {
        let mut budget = PREFILL_TOKENS_PER_STEP;
        for work in &mut self.running {
            let part = work.prefill.min(budget);
            work.prefill -= part;
            budget -= part;
        }
        PREFILL_TOKENS_PER_STEP - budget
    }

    fn decode(&mut self) -> Vec<(u64, bool)> {
        let mut tokens = Vec::with_capacity(self.running.len());
        for work in self.running.iter_mut().filter(|work| work.prefill == 0) {
            work.output = work.output.saturating_sub(1);
            tokens.push((work.id, work.output == 0));
        }
        self.running.retain(|work| work.prefill > 0 || work.output > 0);
        tokens
    }
}

fn prefill_time(speed: &Speed, tokens: u64) -> u64 {
    (tokens * MICROS_PER_SECOND).checked_div(speed.prefill).unwrap_or(0)
}
