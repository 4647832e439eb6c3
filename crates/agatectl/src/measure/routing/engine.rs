//! An engine of the model: one queue, one prompt at a time, a batch of answers, a cache of prefixes.

use std::collections::VecDeque;

use agateflow::route::Speed;
use agateflow::unit;
use indexmap::IndexSet;

/// A request of the model.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub arrived: u64, // microseconds
    pub prefix: Option<u32>,
    pub prefix_tokens: u64,
    pub prompt_tokens: u64, // with the prefix
    pub output: u64,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub speed: Speed,
    /// Prefixes that the cache holds at most.
    capacity: usize,
    pub waiting: VecDeque<usize>,
    pub running: u32,
    pub prefill_until: Option<u64>,
    cache: IndexSet<u32>, // last used last
}

impl Engine {
    pub fn new(speed: Speed, capacity: usize) -> Self {
        let (waiting, cache) = (VecDeque::new(), IndexSet::new());
        Self { speed, capacity, waiting, running: 0, prefill_until: None, cache }
    }

    pub fn holds(&self, prefix: u32) -> bool {
        self.cache.contains(&prefix)
    }

    /// Takes the next request if the engine can begin it; returns it with its uncached tokens.
    pub fn begin(&mut self, requests: &[Request], now: u64) -> Option<(usize, u64)> {
        if self.prefill_until.is_some() || self.running >= self.speed.batch {
            return None;
        }
        let index = self.waiting.pop_front()?;
        let request = &requests[index];
        let cached = request.prefix.is_some_and(|prefix| self.holds(prefix));
        let skipped = if cached { request.prefix_tokens } else { 0 };
        if let Some(prefix) = request.prefix {
            self.cache.shift_remove(&prefix);
            self.cache.insert(prefix);
            if self.cache.len() > self.capacity {
                self.cache.shift_remove_index(0);
            }
        }
        self.running += 1;
        let tokens = request.prompt_tokens - skipped;
        self.prefill_until = Some(now + tokens * 1_000_000 / self.speed.prefill);
        Some((index, tokens))
    }

    /// Work in the queue as its process would estimate it.
    pub fn queued(&self, requests: &[Request], now: u64) -> unit::Millis {
        let cost = |index: &usize| {
            let request = &requests[*index];
            let cached = request.prefix.is_some_and(|prefix| self.holds(prefix));
            let skipped = if cached { request.prefix_tokens } else { 0 };
            let prefill = (request.prompt_tokens - skipped) * 1_000_000 / self.speed.prefill;
            prefill + request.output * self.speed.step.get() / u64::from(self.speed.batch)
        };
        let current = self.prefill_until.map_or(0, |until| until.saturating_sub(now));
        let waiting: u64 = self.waiting.iter().map(cost).sum();
        unit::Millis::new((current + waiting) / 1_000)
    }
}
