//! What one entry knows of the load of each upstream.

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::index;

use super::affinity;
use crate::{config, id, unit};

/// Longest time between the making of a report and its arrival.
pub const MAX_REPORT_DELAY: unit::Millis = unit::Millis::new(50);

/// How much sooner another data centre must be expected to finish before it is chosen.
pub const SPILL_THRESHOLD: unit::Micros = unit::Micros::new(1_000_000);

/// An upstream with more than this many times the mean backlog gets no work for its cache's sake.
pub const LOAD_FACTOR: u64 = 2;

/// Backlog that affinity may always add to.
pub const LOAD_SLACK: unit::Micros = unit::Micros::new(500_000);

const US_PER_SECOND: u64 = 1_000_000;
const US_PER_MILLI: u64 = 1_000;

/// Time of a plain service's call that the estimates assume.
const SERVICE_CALL_TIME: unit::Micros = unit::Micros::new(10_000);

/// How fast an upstream works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Speed {
    /// Prompt tokens a second.
    pub prefill: u64,
    /// Time of a step.
    pub step: unit::Micros,
    /// Requests that share a step.
    pub batch: u32,
}

impl Speed {
    /// The speed of a class of engines.
    pub fn of_class(class: &config::Class) -> Self {
        Self { prefill: class.prefill.get(), step: class.step, batch: class.batch.get() }
    }

    /// The speed of a plain service.
    pub const fn of_service() -> Self {
        Self { prefill: u64::MAX, step: SERVICE_CALL_TIME, batch: 1 }
    }
}

/// The size of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens of the prompt.
    pub prompt: unit::Tokens,
    /// Tokens of the answer; one for a call of a plain service.
    pub output: unit::Tokens,
    /// The prompt's chunks.
    pub prefix: affinity::Prefix,
}

/// The last thing received_at from an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Estimated work in its queue.
    pub queued: unit::Millis,
    /// Time of one step; zero if unknown.
    pub step: unit::Micros,
    /// When it arrived.
    pub received_at: unit::Millis,
}

/// An upstream that may be chosen.
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
    /// Work left at `now`: it drains as time goes on.
    fn backlog(&self, now: unit::Millis) -> u64 {
        self.backlog.saturating_sub(now.saturating_sub(self.updated_at).get() * US_PER_MILLI)
    }

    fn step(&self, speed: &Speed) -> u64 {
        match self.step {
            unit::Micros::ZERO => speed.step.get(),
            step => step.get(),
        }
    }

    /// Work that a request adds for those after it.
    fn cost(&self, speed: &Speed, work: &Work, cached: unit::Tokens) -> u64 {
        let steps = work.output.get().saturating_mul(self.step(speed));
        prefill(speed, work, cached) + steps / u64::from(speed.batch.max(1))
    }

    fn estimate(&self, speed: &Speed, work: &Work, cached: unit::Tokens, now: unit::Millis) -> u64 {
        let steps = work.output.get().saturating_mul(self.step(speed));
        self.backlog(now).saturating_add(prefill(speed, work, cached)).saturating_add(steps)
    }
}

/// Time to process what of the prompt is not cached, in microseconds.
fn prefill(speed: &Speed, work: &Work, cached: unit::Tokens) -> u64 {
    let tokens = work.prompt.saturating_sub(cached).get();
    (u128::from(tokens) * u128::from(US_PER_SECOND) / u128::from(speed.prefill.max(1))) as u64
}

/// What one entry knows of the load of each upstream.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    upstreams: IndexMap<id::Vm, Upstream>,
    affinity: affinity::Table,
}

impl Balancer {
    /// Creates a ledger that knows of no upstream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a report. One that shows less than this entry itself had in progress there when it
    /// was made comes from a process that does not measure its load, and is not believed.
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

    /// Notes that the attempt `id` was sent to `candidate`.
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

    /// Notes that the attempt `id` at `vm` ended; what was left of its work is off the backlog.
    pub fn end(&mut self, id: id::Attempt, vm: &id::Vm, now: unit::Millis) {
        let Some(upstream) = self.upstreams.get_mut(vm) else { return };
        if let Some(sent) = upstream.sent.swap_remove(&id) {
            let spent = now.saturating_sub(sent.started).get() * US_PER_MILLI;
            let left = sent.cost.saturating_sub(spent);
            upstream.backlog = upstream.backlog.saturating_sub(left);
        }
    }

    /// Forgets upstreams that `keep` does not name and that have nothing in progress.
    pub fn retain(&mut self, keep: impl Fn(&id::Vm) -> bool) {
        self.upstreams.retain(|vm, upstream| !upstream.sent.is_empty() || keep(vm));
    }

    /// Time until `candidate` would finish `work` sent now.
    pub fn estimate(&self, candidate: &Candidate, work: &Work, now: unit::Millis) -> unit::Micros {
        let cached = self.cached(&candidate.vm, work, now);
        unit::Micros::new(self.rank(candidate, work, cached, now).0)
    }

    fn cached(&self, vm: &id::Vm, work: &Work, now: unit::Millis) -> unit::Tokens {
        let holders = self.affinity.holders(&work.prefix, now);
        holders.get(vm).copied().unwrap_or_default()
    }

    /// Estimate in microseconds, then requests of this entry in progress there.
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

    /// The index of the candidate for `work`: the better of two sampled with `rng` and of those that
    /// may hold its beginning, in the own data centre unless another is sooner by [`SPILL_THRESHOLD`].
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

    /// Two of `pool`, and its holders within the load bound.
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
