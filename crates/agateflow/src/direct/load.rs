//! The load of upstreams as one entry knows it, and the choice among them.
//!
//! An entry knows exactly what it has sent; what other entries have there it hears from them.
//! Upstreams that failed lately are avoided while others are there, and tried again one at a time.

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::directory::Upstream;
use crate::{id, unit};

/// Age at which a count from another entry is forgotten.
pub const REPORT_LIFE: unit::Millis = unit::Millis::new(2_000);

/// Time for which an upstream is avoided after failures; it doubles with each further one.
const FIRST_WAIT: unit::Millis = unit::Millis::new(400);

/// Longest time for which an upstream is avoided.
const LONGEST_WAIT: unit::Millis = unit::Millis::new(3_000);

/// Weight of the newest answer in the share of failures.
const SAMPLE_SHARE: f64 = 0.2;

/// Share of failures above which an upstream is avoided. Callers' own mistakes and rare errors
/// of sound upstreams stay below.
const FAILING_SHARE: f64 = 0.45;

/// Requests of all entries that may go to the emptiest upstream before its count shows them.
const CROWD: usize = 2;

/// Fewest upstreams that are compared.
const MIN_CHOICES: usize = 2;

/// How an attempt ended, as far as the upstream's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// A whole answer.
    Good,
    /// A failure, a broken answer or silence.
    Bad,
    /// It could not be reached.
    Unreachable,
    /// It had no room.
    Full,
}

#[derive(Clone, Debug, Default)]
struct Record {
    own: u32,
    failing: f64,
    avoid: Option<(unit::Millis, unit::Millis)>,
    full_until: unit::Millis,
}

#[derive(Clone, Debug)]
struct Report {
    at: unit::Millis,
    counts: IndexMap<id::Vm, u32>,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To this upstream.
    Send(id::Vm),
    /// Each upstream has as much as it should.
    Full,
    /// The upstreams are ranks of a group that is closed.
    Closed,
    /// No upstream is there that was not tried.
    None,
}

/// What is asked of the choice.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// Requests that an upstream may have, by the service's limit.
    pub limit: f64,
    /// Upstreams that the request was sent to already.
    pub tried: &'a [id::Vm],
    /// The entry's own data centre.
    pub near: &'a id::DataCentre,
    /// Entries that choose at the same time.
    pub entries: usize,
}

/// Load of upstreams.
#[derive(Clone, Debug, Default)]
pub struct Load {
    records: IndexMap<id::Vm, Record>,
    reports: IndexMap<Box<str>, Report>,
    others: IndexMap<id::Vm, u32>,
}

impl Load {
    /// Creates a load without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// A request goes to `vm`.
    pub fn start(&mut self, vm: &id::Vm) {
        self.records.entry(vm.clone()).or_default().own += 1;
    }

    /// A request at `vm` ended.
    pub fn end(&mut self, vm: &id::Vm) {
        if let Some(record) = self.records.get_mut(vm) {
            record.own = record.own.saturating_sub(1);
        }
    }

    /// Takes in how an attempt ended. Says whether the upstream is avoided from now on.
    pub fn observe(&mut self, vm: &id::Vm, health: Health, now: unit::Millis) -> bool {
        let record = self.records.entry(vm.clone()).or_default();
        let sample = match health {
            Health::Good => 0.0,
            Health::Bad => 1.0,
            Health::Unreachable => {
                record.failing = 1.0;
                1.0
            }
            Health::Full => {
                record.full_until = now + unit::Millis::new(100);
                return false;
            }
        };
        record.failing += (sample - record.failing) * SAMPLE_SHARE;
        if health == Health::Good {
            record.avoid = None;
            return false;
        }
        if record.failing < FAILING_SHARE || record.avoid.is_some_and(|(until, _)| now < until) {
            return false;
        }
        let wait = match record.avoid {
            Some((_, wait)) => (wait + wait).min(LONGEST_WAIT),
            None => FIRST_WAIT,
        };
        record.avoid = Some((now + wait, wait));
        true
    }

    /// Takes in the counts of another entry.
    pub fn report(&mut self, peer: &str, counts: IndexMap<id::Vm, u32>, now: unit::Millis) {
        for (vm, count) in &counts {
            *self.others.entry(vm.clone()).or_default() += count;
        }
        let before = self.reports.insert(peer.into(), Report { at: now, counts });
        self.subtract(before);
        self.forget(now);
    }

    /// Takes out what was reported for too long.
    fn forget(&mut self, now: unit::Millis) {
        let old = |report: &Report| now >= report.at + REPORT_LIFE;
        if !self.reports.values().any(old) {
            return;
        }
        let old: Vec<Report> =
            self.reports.extract_if(.., |_, report| old(report)).map(|(_, r)| r).collect();
        self.subtract(old);
    }

    fn subtract(&mut self, reports: impl IntoIterator<Item = Report>) {
        for (vm, count) in reports.into_iter().flat_map(|report| report.counts) {
            if let Some(sum) = self.others.get_mut(&vm) {
                *sum = sum.saturating_sub(count);
            }
        }
    }

    /// What this entry has at upstreams, for the others.
    pub fn counts(&self) -> IndexMap<id::Vm, u32> {
        let busy = self.records.iter().filter(|(_, record)| record.own > 0);
        busy.map(|(vm, record)| (vm.clone(), record.own)).collect()
    }

    /// Requests at `vm`, of all entries.
    pub fn active(&self, vm: &id::Vm) -> u32 {
        let own = self.records.get(vm).map_or(0, |record| record.own);
        own + self.others.get(vm).copied().unwrap_or(0)
    }

    /// Requests of this entry at `vm`.
    pub fn own(&self, vm: &id::Vm) -> u32 {
        self.records.get(vm).map_or(0, |record| record.own)
    }

    /// Whether `vm` is avoided.
    pub fn is_avoided(&self, vm: &id::Vm, now: unit::Millis) -> bool {
        self.records.get(vm).is_some_and(|record| {
            let avoided = record.avoid.is_some_and(|(until, _)| now < until);
            avoided || now < record.full_until
        })
    }

    /// Forgets upstreams that `keep` does not hold for and that have nothing in progress.
    pub fn retain(&mut self, keep: impl Fn(&id::Vm) -> bool) {
        self.records.retain(|vm, record| record.own > 0 || keep(vm));
        self.others.retain(|_, count| *count > 0);
    }

    /// Requests that `upstreams` may have together by `limit` each, beyond those that they have.
    pub fn room<'a>(&self, upstreams: impl Iterator<Item = &'a Upstream>, limit: f64) -> f64 {
        upstreams.filter(|u| u.open).map(|u| limit - f64::from(self.active(&u.vm))).sum()
    }

    /// Chooses the upstream with the fewest requests among some at random. All entries choose at
    /// the same time by counts as old: the one with the fewest of all would get those of all.
    pub fn choose<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a Upstream>,
        ask: &Ask<'_>,
        rng: &mut impl Rng,
        now: unit::Millis,
    ) -> Choice {
        let untried: Vec<&Upstream> =
            upstreams.filter(|upstream| !ask.tried.contains(&upstream.vm)).collect();
        if untried.is_empty() {
            return Choice::None;
        }
        let untried: Vec<&Upstream> = untried.into_iter().filter(|u| u.open).collect();
        if untried.is_empty() {
            return Choice::Closed;
        }
        let sound: Vec<&Upstream> =
            untried.iter().filter(|u| !self.is_avoided(&u.vm, now)).copied().collect();
        let pool = if sound.is_empty() { untried } else { sound };
        let fits = |u: &&Upstream| f64::from(self.active(&u.vm)) + 0.5 <= ask.limit;
        let pool: Vec<&Upstream> = pool.into_iter().filter(fits).collect();
        let compared = choices(pool.len(), ask.entries);
        let rank = |u: &Upstream| (self.active(&u.vm), self.own(&u.vm), u.data_centre != *ask.near);
        let best = pool.choose_multiple(rng, compared).min_by_key(|upstream| rank(upstream));
        best.map_or(Choice::Full, |upstream| Choice::Send(upstream.vm.clone()))
    }
}

/// Upstreams of `upstreams` that each of `entries` compares, so that about [`CROWD`] choose the
/// emptiest at the same time.
fn choices(upstreams: usize, entries: usize) -> usize {
    (CROWD * upstreams).div_ceil(entries.max(1)).max(MIN_CHOICES)
}
