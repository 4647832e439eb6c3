//! Tracks the load of upstreams as seen by one entry, and chooses among them.
//!
//! An entry knows its own requests exactly; other entries report theirs. Upstreams that failed
//! recently are avoided while others are available, and retried after a backoff.

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::directory::{Incarnation, Upstream};
use crate::{id, unit};

/// Age at which counts from another entry expire.
pub const REPORT_TTL: unit::Millis = unit::Millis::new(2_000);

/// Time to avoid an upstream after failures; it doubles with each further failure.
const INITIAL_AVOID_TIME: unit::Millis = unit::Millis::new(400);

/// Longest time to avoid an upstream.
const MAX_AVOID_TIME: unit::Millis = unit::Millis::new(3_000);

/// Longest rest of an upstream that is kept to.
const MAX_REST: unit::Millis = unit::Millis::new(300_000);

/// Weight of the newest sample in the moving average of the failure rate.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Failure rate above which an upstream is avoided. Client errors and rare errors of healthy
/// upstreams stay below.
const MAX_FAILURE_RATE: f64 = 0.45;

/// Requests of all entries that may go to the least loaded upstream before its count shows them.
const HERD_SIZE: usize = 2;

/// Weight of each of the entry's own requests at an upstream. Smaller than any difference between
/// the utilizations of two upstreams.
const OWN_REQUEST_WEIGHT: f64 = 1e-6;

/// Cap on own requests in the score.
const MAX_OWN_REQUESTS: u32 = 100;

/// Penalty for another data centre, smaller than the weight of one own request.
const REMOTE_WEIGHT: f64 = 1e-7;

/// Minimum number of upstreams to compare.
const MIN_SAMPLE_SIZE: usize = 2;

/// Outcome of an attempt with respect to the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// A complete response.
    Good,
    /// An error, a broken response or a timeout.
    Bad,
    /// The upstream could not be reached.
    Unreachable,
    /// The upstream had no capacity.
    Full,
}

#[derive(Clone, Debug, Default)]
struct Record {
    in_flight: u32,
    failure_rate: f64,
    avoidance: Option<(unit::Millis, unit::Millis)>,
    full_until: unit::Millis,
}

#[derive(Clone, Debug)]
struct Report {
    received_at: unit::Millis,
    counts: IndexMap<id::Vm, u32>,
}

/// Result of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send to this upstream.
    Send(id::Vm),
    /// All upstreams are at their limits.
    Full,
    /// The upstreams belong to a closed group of ranks.
    Closed,
    /// All upstreams rest; the first of them until then.
    Resting(unit::Millis),
    /// No untried upstream is left.
    None,
}

/// An upstream that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The upstream.
    pub upstream: &'a Upstream,
    /// Maximum number of requests there.
    pub limit: f64,
    /// Whether its group accepts requests.
    pub open: bool,
    /// Whether its rate limit allows another request of this entry now.
    pub within_rate: bool,
    /// Until when it accepts no requests from this entry, if it asked for rest.
    pub rests_until: Option<unit::Millis>,
}

impl Candidate<'_> {
    /// Whether it may get a request if it has capacity.
    const fn is_usable(&self) -> bool {
        self.open && self.within_rate && self.rests_until.is_none()
    }
}

/// Inputs to a choice.
#[derive(Clone, Debug)]
pub struct Context<'a> {
    /// Upstreams that the request was already sent to.
    pub tried: &'a [id::Vm],
    /// The entry's own data centre.
    pub local_data_centre: &'a id::DataCentre,
    /// Number of entries that choose concurrently.
    pub entries: usize,
}

/// Load and health of upstreams.
#[derive(Clone, Debug, Default)]
pub struct Load {
    records: IndexMap<id::Vm, Record>,
    reports: IndexMap<Box<str>, Report>,
    peer_totals: IndexMap<id::Vm, u32>,
    rests: IndexMap<Incarnation, unit::Millis>,
}

impl Load {
    /// Starts without requests and reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request sent to `vm`.
    pub fn start(&mut self, vm: &id::Vm) {
        self.records.entry(vm.clone()).or_default().in_flight += 1;
    }

    /// Counts the end of a request at `vm`.
    pub fn end(&mut self, vm: &id::Vm) {
        if let Some(record) = self.records.get_mut(vm) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// Records the outcome of an attempt. Returns whether the upstream starts to be avoided.
    pub fn observe(&mut self, vm: &id::Vm, health: Health, now: unit::Millis) -> bool {
        let record = self.records.entry(vm.clone()).or_default();
        let sample = match health {
            Health::Good => 0.0,
            Health::Bad => 1.0,
            Health::Unreachable => {
                record.failure_rate = 1.0;
                1.0
            }
            Health::Full => {
                record.full_until = now + unit::Millis::new(100);
                return false;
            }
        };
        record.failure_rate += (sample - record.failure_rate) * SAMPLE_WEIGHT;
        if health == Health::Good {
            record.avoidance = None;
            return false;
        }
        if record.failure_rate < MAX_FAILURE_RATE
            || record.avoidance.is_some_and(|(until, _)| now < until)
        {
            return false;
        }
        let wait = match record.avoidance {
            Some((_, wait)) => (wait + wait).min(MAX_AVOID_TIME),
            None => INITIAL_AVOID_TIME,
        };
        record.avoidance = Some((now + wait, wait));
        true
    }

    /// Records that an upstream accepts no requests from this entry for `rest`.
    pub fn record_rest(&mut self, upstream: Incarnation, rest: unit::Millis, now: unit::Millis) {
        self.rests.retain(|_, until| now < *until);
        let until = self.rests.entry(upstream).or_default();
        *until = (*until).max(now + rest.min(MAX_REST));
    }

    /// Until when `upstream` rests, if it does.
    pub fn rests_until(&self, upstream: &Upstream, now: unit::Millis) -> Option<unit::Millis> {
        if self.rests.is_empty() {
            return None;
        }
        let until = self.rests.get(&upstream.incarnation()).copied();
        until.filter(|&until| now < until)
    }

    /// Replaces the counts reported by `peer`.
    pub fn report(&mut self, peer: &str, counts: IndexMap<id::Vm, u32>, now: unit::Millis) {
        for (vm, count) in &counts {
            *self.peer_totals.entry(vm.clone()).or_default() += count;
        }
        let previous = self.reports.insert(peer.into(), Report { received_at: now, counts });
        self.subtract(previous);
        self.drop_expired_reports(now);
    }

    /// Drops reports older than [`REPORT_TTL`].
    fn drop_expired_reports(&mut self, now: unit::Millis) {
        let expired = |report: &Report| now >= report.received_at + REPORT_TTL;
        if !self.reports.values().any(expired) {
            return;
        }
        let expired: Vec<Report> =
            self.reports.extract_if(.., |_, report| expired(report)).map(|(_, r)| r).collect();
        self.subtract(expired);
    }

    fn subtract(&mut self, reports: impl IntoIterator<Item = Report>) {
        for (vm, count) in reports.into_iter().flat_map(|report| report.counts) {
            if let Some(sum) = self.peer_totals.get_mut(&vm) {
                *sum = sum.saturating_sub(count);
            }
        }
    }

    /// This entry's requests in flight by upstream, to report to other entries.
    pub fn counts(&self) -> IndexMap<id::Vm, u32> {
        let busy = self.records.iter().filter(|(_, record)| record.in_flight > 0);
        busy.map(|(vm, record)| (vm.clone(), record.in_flight)).collect()
    }

    /// Requests in flight at `vm`, of all entries.
    pub fn active(&self, vm: &id::Vm) -> u32 {
        let own = self.records.get(vm).map_or(0, |record| record.in_flight);
        own + self.peer_totals.get(vm).copied().unwrap_or(0)
    }

    /// This entry's requests in flight at `vm`.
    pub fn own_requests(&self, vm: &id::Vm) -> u32 {
        self.records.get(vm).map_or(0, |record| record.in_flight)
    }

    /// Whether `vm` is avoided after failures or a recent refusal.
    pub fn is_avoided(&self, vm: &id::Vm, now: unit::Millis) -> bool {
        self.records.get(vm).is_some_and(|record| {
            let avoided = record.avoidance.is_some_and(|(until, _)| now < until);
            avoided || now < record.full_until
        })
    }

    /// Drops idle upstreams for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&id::Vm) -> bool) {
        self.records.retain(|vm, record| record.in_flight > 0 || keep(vm));
        self.peer_totals.retain(|_, count| *count > 0);
    }

    /// Total free capacity of the usable `candidates`, in requests; negative if over the limit.
    pub fn free_capacity<'a>(&self, candidates: impl Iterator<Item = Candidate<'a>>) -> f64 {
        let open = candidates.filter(Candidate::is_usable);
        open.map(|open| open.limit - f64::from(self.active(&open.upstream.vm))).sum()
    }

    /// Chooses the least utilized of a random sample. All entries choose concurrently from equally
    /// old counts, so without sampling all would send to the same upstream.
    pub fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = Candidate<'a>>,
        context: &Context<'_>,
        rng: &mut impl Rng,
        now: unit::Millis,
    ) -> Choice {
        let untried: Vec<Candidate<'a>> = candidates
            .filter(|candidate| !context.tried.contains(&candidate.upstream.vm))
            .collect();
        if untried.is_empty() {
            return Choice::None;
        }
        let untried: Vec<Candidate<'a>> = untried.into_iter().filter(|c| c.open).collect();
        if untried.is_empty() {
            return Choice::Closed;
        }
        let (resting, untried): (Vec<Candidate<'a>>, Vec<Candidate<'a>>) =
            untried.into_iter().partition(|c| c.rests_until.is_some());
        if untried.is_empty() {
            let until = resting.iter().filter_map(|c| c.rests_until).min();
            return Choice::Resting(until.unwrap_or(now));
        }
        let is_healthy = |c: &&Candidate<'_>| !self.is_avoided(&c.upstream.vm, now);
        let healthy: Vec<Candidate<'a>> = untried.iter().filter(is_healthy).copied().collect();
        let pool = if healthy.is_empty() { untried } else { healthy };
        let has_capacity = |c: &Candidate<'_>| {
            c.within_rate && f64::from(self.active(&c.upstream.vm)) + 0.5 <= c.limit
        };
        let pool: Vec<Candidate<'a>> = pool.into_iter().filter(has_capacity).collect();
        let compared_count = sample_size(pool.len(), context.entries);
        let sampled = pool.choose_multiple(rng, compared_count);
        let best = sampled.min_by(|a, b| self.score(a, context).total_cmp(&self.score(b, context)));
        best.map_or(Choice::Full, |best| Choice::Send(best.upstream.vm.clone()))
    }

    /// Score of a candidate, lowest first: by utilization, then by this entry's own requests there,
    /// then by data centre.
    fn score(&self, candidate: &Candidate<'_>, context: &Context<'_>) -> f64 {
        let vm = &candidate.upstream.vm;
        let utilization = f64::from(self.active(vm)) / candidate.limit;
        let own = f64::from(self.own_requests(vm).min(MAX_OWN_REQUESTS)) * OWN_REQUEST_WEIGHT;
        let remote =
            f64::from(u8::from(candidate.upstream.data_centre != *context.local_data_centre))
                * REMOTE_WEIGHT;
        utilization + own + remote
    }
}

/// Number of upstreams that each of `entries` compares, so that about [`HERD_SIZE`] of them choose
/// the least loaded one at the same time.
fn sample_size(upstreams: usize, entries: usize) -> usize {
    (HERD_SIZE * upstreams).div_ceil(entries.max(1)).max(MIN_SAMPLE_SIZE)
}
