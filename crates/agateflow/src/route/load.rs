//! Estimates the load of each upstream at an entry, and selects upstreams by it.

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::index;

use super::affinity;
use crate::{config, id, unit};

/// Longest time between the creation of a report and its arrival.
pub const MAX_REPORT_DELAY: unit::Millis = unit::Millis::new(50);

/// How much sooner another data centre must be expected to finish to be preferred to the local one.
pub const SPILL_THRESHOLD: unit::Micros = unit::Micros::new(1_000_000);

/// Cache affinity never selects an upstream whose backlog exceeds this multiple of the mean.
pub const LOAD_FACTOR: u64 = 2;

/// Added to the [`LOAD_FACTOR`] bound, so that affinity also applies at low load.
pub const LOAD_SLACK: unit::Micros = unit::Micros::new(500_000);

const US_PER_SECOND: u64 = 1_000_000;
const US_PER_MILLI: u64 = 1_000;

/// Duration assumed for a call of a plain service.
const SERVICE_CALL_TIME: unit::Micros = unit::Micros::new(10_000);

/// Speed of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Speed {
    /// Prompt tokens processed per second.
    pub prefill: u64,
    /// Duration of a step.
    pub step: unit::Micros,
    /// Number of requests that share a step.
    pub batch: u32,
}

impl Speed {
    /// Returns the speed of an engine class.
    pub fn of_class(class: &config::Class) -> Self {
        Self { prefill: class.prefill.get(), step: class.step, batch: class.batch.get() }
    }

    /// Returns the assumed speed of a plain service.
    pub const fn of_service() -> Self {
        Self { prefill: u64::MAX, step: SERVICE_CALL_TIME, batch: 1 }
    }
}

/// Estimated size of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens of the prompt.
    pub prompt: unit::Tokens,
    /// Tokens of the response; one for a call of a plain service.
    pub output: unit::Tokens,
    /// Hashes of the prompt's chunks.
    pub prefix: affinity::Prefix,
}

/// Load report of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Estimated work in its queue.
    pub queued: unit::Millis,
    /// Duration of a step; zero if unknown.
    pub step: unit::Micros,
    /// When it arrived.
    pub received_at: unit::Millis,
}

/// An upstream that may be selected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its VM.
    pub vm: id::Vm,
    /// Its speed.
    pub speed: Speed,
    /// Whether it is in the entry's own data centre.
    pub local: bool,
}

#[derive(Clone, Copy, Debug)]
struct Assignment {
    started: unit::Millis,
    cost: u64, // microseconds
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    received_at: unit::Millis,
    step: unit::Micros,
    backlog: u64, // microseconds, as of `updated_at`
    updated_at: unit::Millis,
    sent: IndexMap<id::Attempt, Assignment>,
}

impl Upstream {
    /// Remaining backlog at `now`; it shrinks as time passes.
    fn backlog(&self, now: unit::Millis) -> u64 {
        self.backlog.saturating_sub(now.saturating_sub(self.updated_at).get() * US_PER_MILLI)
    }

    fn step(&self, speed: &Speed) -> u64 {
        match self.step {
            unit::Micros::ZERO => speed.step.get(),
            step => step.get(),
        }
    }

    /// Work that a request adds to the backlog for later requests.
    fn cost(&self, speed: &Speed, work: &Work, cached: unit::Tokens) -> u64 {
        let steps = work.output.get().saturating_mul(self.step(speed));
        prefill(speed, work, cached) + steps / u64::from(speed.batch.max(1))
    }

    fn estimate(&self, speed: &Speed, work: &Work, cached: unit::Tokens, now: unit::Millis) -> u64 {
        let steps = work.output.get().saturating_mul(self.step(speed));
        self.backlog(now).saturating_add(prefill(speed, work, cached)).saturating_add(steps)
    }
}

/// Time to process the uncached part of the prompt, in microseconds.
fn prefill(speed: &Speed, work: &Work, cached: unit::Tokens) -> u64 {
    let tokens = work.prompt.saturating_sub(cached).get();
    (u128::from(tokens) * u128::from(US_PER_SECOND) / u128::from(speed.prefill.max(1))) as u64
}

/// Estimated load of each upstream at one entry.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    upstreams: IndexMap<id::Vm, Upstream>,
    affinity: affinity::Table,
}

impl Balancer {
    /// Creates a balancer without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a report. One with fewer requests than this entry alone had in progress when it was
    /// made comes from a process that does not measure its load; its queue is ignored.
    pub fn apply_report(&mut self, vm: &id::Vm, report: &Report) {
        let upstream = self.upstreams.entry(vm.clone()).or_default();
        if report.received_at <= upstream.received_at {
            return;
        }
        upstream.received_at = report.received_at;
        upstream.step = report.step;
        let in_report = |sent: &Assignment| sent.started + MAX_REPORT_DELAY < report.received_at;
        let own = upstream.sent.values().filter(|sent| in_report(sent)).count();
        if u64::from(report.running) + u64::from(report.waiting) < own as u64 {
            return;
        }
        let newer = upstream.sent.values().filter(|sent| !in_report(sent));
        let newer: u64 = newer.map(|sent| sent.cost).sum();
        upstream.backlog = report.queued.get().saturating_mul(US_PER_MILLI).saturating_add(newer);
        upstream.updated_at = report.received_at;
    }

    /// Records that the attempt `id` was sent to `candidate`.
    pub fn start(
        &mut self,
        id: id::Attempt,
        candidate: &Candidate,
        work: &Work,
        now: unit::Millis,
    ) {
        let cached = self.cached(&candidate.vm, work, now);
        let upstream = self.upstreams.entry(candidate.vm.clone()).or_default();
        let cost = upstream.cost(&candidate.speed, work, cached);
        upstream.backlog = upstream.backlog(now).saturating_add(cost);
        upstream.updated_at = now.max(upstream.updated_at);
        upstream.sent.insert(id, Assignment { started: now, cost });
        self.affinity.insert(&work.prefix, &candidate.vm, now);
    }

    /// Records the end of the attempt `id` at `vm` and removes its remaining work from the backlog.
    pub fn end(&mut self, id: id::Attempt, vm: &id::Vm, now: unit::Millis) {
        let Some(upstream) = self.upstreams.get_mut(vm) else { return };
        if let Some(sent) = upstream.sent.swap_remove(&id) {
            let spent = now.saturating_sub(sent.started).get() * US_PER_MILLI;
            let left = sent.cost.saturating_sub(spent);
            upstream.backlog = upstream.backlog.saturating_sub(left);
        }
    }

    /// Removes idle upstreams for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&id::Vm) -> bool) {
        self.upstreams.retain(|vm, upstream| !upstream.sent.is_empty() || keep(vm));
    }

    /// Returns the estimated time until `candidate` finishes `work` if it is sent now.
    pub fn estimate(&self, candidate: &Candidate, work: &Work, now: unit::Millis) -> unit::Micros {
        let cached = self.cached(&candidate.vm, work, now);
        unit::Micros::new(self.rank(candidate, work, cached, now).0)
    }

    fn cached(&self, vm: &id::Vm, work: &Work, now: unit::Millis) -> unit::Tokens {
        let holders = self.affinity.holders(&work.prefix, now);
        holders.get(vm).copied().unwrap_or_default()
    }

    /// Sort key: estimate in microseconds, then requests of this entry in progress there.
    fn rank(
        &self,
        candidate: &Candidate,
        work: &Work,
        cached: unit::Tokens,
        now: unit::Millis,
    ) -> (u64, usize) {
        match self.upstreams.get(&candidate.vm) {
            Some(upstream) => {
                let estimate = upstream.estimate(&candidate.speed, work, cached, now);
                (estimate, upstream.sent.len())
            }
            None => (Upstream::default().estimate(&candidate.speed, work, cached, now), 0),
        }
    }

    /// Returns the index of the best candidate for `work` among two sampled ones and those that may
    /// have cached its prefix: a local one unless another is faster by [`SPILL_THRESHOLD`].
    pub fn choose(
        &self,
        candidates: &[Candidate],
        work: &Work,
        rng: &mut impl Rng,
        now: unit::Millis,
    ) -> Option<usize> {
        let holders = self.affinity.holders(&work.prefix, now);
        let mut best = |local: bool| {
            let pool = candidates.iter().enumerate().filter(|(_, c)| c.local == local);
            let pool: Vec<usize> = pool.map(|(index, _)| index).collect();
            let sampled = self.sample_candidates(candidates, &pool, &holders, rng, now);
            let rank = |index: &usize| {
                let candidate = &candidates[*index];
                let cached = holders.get(&candidate.vm).copied().unwrap_or_default();
                self.rank(candidate, work, cached, now)
            };
            sampled.into_iter().map(|index| (rank(&index), index)).min()
        };
        match (best(true), best(false)) {
            (Some((own, _)), Some((other, index))) if own.0 > other.0 + SPILL_THRESHOLD.get() => {
                Some(index)
            }
            (Some((_, index)), _) | (None, Some((_, index))) => Some(index),
            (None, None) => None,
        }
    }

    /// Samples two of `pool` and adds its cache holders within the load bound.
    fn sample_candidates(
        &self,
        candidates: &[Candidate],
        pool: &[usize],
        holders: &IndexMap<id::Vm, unit::Tokens>,
        rng: &mut impl Rng,
        now: unit::Millis,
    ) -> Vec<usize> {
        let two = index::sample(rng, pool.len(), pool.len().min(2));
        let mut sampled: Vec<usize> = two.into_iter().map(|index| pool[index]).collect();
        if holders.is_empty() || pool.is_empty() {
            return sampled;
        }
        let backlog = |index: usize| {
            let upstream = self.upstreams.get(&candidates[index].vm);
            upstream.map_or(0, |upstream| upstream.backlog(now))
        };
        let mean = pool.iter().map(|index| backlog(*index)).sum::<u64>() / pool.len() as u64;
        let bound = mean * LOAD_FACTOR + LOAD_SLACK.get();
        sampled.extend(pool.iter().filter(|&&index| {
            holders.contains_key(&candidates[index].vm) && backlog(index) <= bound
        }));
        sampled
    }
}
