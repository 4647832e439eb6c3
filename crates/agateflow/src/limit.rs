//! Rate and concurrency limits per team, divided between entries without a shared counter.
//!
//! Each entry gossips the demand that it measures. All compute the same max-min fair division of
//! a team's limit from the demands last published, and split what is left over equally. An entry
//! whose demand is unknown keeps its static share, the limit divided by the number of entries.
//! A share falls at once but rises only after [`RISE_DELAY`], so that lenders lower theirs first.

use std::collections::VecDeque;

use indexmap::IndexMap;
use xxhash_rust::xxh3;

use crate::fleet::gossip;
use crate::{config, id, unit};

/// Time between two calls of [`Table::tick`].
pub const TICK_INTERVAL: unit::Millis = unit::Millis::new(500);

/// Time after which a published demand expires.
pub const DEMAND_LIFETIME: unit::Millis = unit::Millis::new(20_000);

/// Age at which an unchanged demand is published again.
pub const REFRESH_INTERVAL: unit::Millis = unit::Millis::new(8_000);

/// Time for which a higher share must have been the target before it is used.
pub const RISE_DELAY: unit::Millis = unit::Millis::new(10_000);

/// Most demands published in one tick.
pub const MAX_PUBLISHED: usize = 2;

/// `Retry-After` of a team with too many requests in progress.
const BUSY_RETRY_AFTER: unit::Millis = unit::Millis::new(1_000);

const KEY_PREFIX: u8 = b'l';
const KEY_BYTES: usize = 17; // prefix, hash of the team, hash of the entry
const SAMPLE_WEIGHT: f64 = 0.3; // weight of the last tick in the moving average of demand
const MIN_CHANGE: f64 = 0.1; // change of demand, relative to the limit, that is published at once
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Time to wait before the next try.
    pub retry_after: unit::Millis,
}

#[derive(Clone, Debug)]
struct Team {
    limits: config::Limits,
    hash: u64,
    tokens: f64,
    refilled_at: unit::Millis,
    running: u32,
    arrivals: u32,
    demand: f64, // requests per second
    published: Option<(f64, unit::Millis)>,
    remote_demands: IndexMap<u64, (f64, unit::Millis)>,
    target_shares: VecDeque<(unit::Millis, f64)>,
    share: f64, // requests per second
}

impl Team {
    fn new(team: &config::Team, share: f64, now: unit::Millis) -> Self {
        let mut state = Self {
            limits: team.limits.clone(),
            hash: xxh3::xxh3_64(team.name.as_str().as_bytes()),
            tokens: 0.0,
            refilled_at: now,
            running: 0,
            arrivals: 0,
            demand: 0.0,
            published: None,
            remote_demands: IndexMap::new(),
            target_shares: VecDeque::new(),
            share,
        };
        state.tokens = state.burst();
        state
    }

    fn limit(&self) -> f64 {
        self.limits.requests_per_second.get()
    }

    fn fraction(&self) -> f64 {
        self.share / self.limit()
    }

    fn burst(&self) -> f64 {
        f64::from(self.limits.burst.get()) * self.fraction()
    }

    /// Requests that may be in progress at this entry; at least one.
    fn concurrency(&self) -> u32 {
        let share = f64::from(self.limits.concurrency.get()) * self.fraction();
        (share as u32).max(1)
    }

    fn refill(&mut self, now: unit::Millis) {
        let elapsed = now.saturating_sub(self.refilled_at).get() as f64 / MILLIS_PER_SECOND;
        self.tokens = (self.tokens + elapsed * self.share).min(self.burst().max(1.0));
        self.refilled_at = now.max(self.refilled_at);
    }

    fn admit(&mut self, now: unit::Millis) -> Result<(), Refusal> {
        self.arrivals = self.arrivals.saturating_add(1);
        self.refill(now);
        if self.running >= self.concurrency() {
            return Err(Refusal { retry_after: BUSY_RETRY_AFTER });
        }
        if self.tokens < 1.0 {
            let wait = (1.0 - self.tokens) / self.share * MILLIS_PER_SECOND;
            return Err(Refusal { retry_after: unit::Millis::new(wait.ceil() as u64) });
        }
        self.tokens -= 1.0;
        self.running += 1;
        Ok(())
    }

    /// This entry's share by the published demands that have not expired.
    fn fair_share(&self, own: u64, entries: &[u64], now: unit::Millis) -> f64 {
        let static_share = self.limit() / entries.len().max(1) as f64;
        let Some((demand, _)) = self.published else { return static_share };
        let mut demands = vec![demand];
        let others = entries.iter().filter(|entry| **entry != own);
        let known = others.filter_map(|entry| self.remote_demands.get(entry));
        demands.extend(known.filter(|(_, expires)| *expires > now).map(|(demand, _)| *demand));
        fair_share(self.limit(), entries.len(), demand, demands)
    }

    fn tick(&mut self, own: u64, entries: &[u64], now: unit::Millis) {
        let rate = f64::from(self.arrivals) * MILLIS_PER_SECOND / TICK_INTERVAL.get() as f64;
        self.arrivals = 0;
        self.demand += (rate - self.demand) * SAMPLE_WEIGHT;
        self.remote_demands.retain(|_, (_, expires)| *expires > now);
        self.refill(now);
        self.target_shares.push_back((now, self.fair_share(own, entries, now)));
        while self.target_shares.front().is_some_and(|(at, _)| *at + RISE_DELAY < now) {
            self.target_shares.pop_front();
        }
        self.share = self
            .target_shares
            .iter()
            .map(|(_, target_share)| *target_share)
            .fold(f64::INFINITY, f64::min);
    }

    /// Priority of publishing the demand: its change, plus 1 if stale; zero if there is no need.
    fn unpublished(&self, now: unit::Millis) -> f64 {
        let wanted =
            self.demand > 0.0 || self.remote_demands.values().any(|(demand, _)| *demand > 0.0);
        match self.published {
            None if wanted => f64::INFINITY,
            None => 0.0,
            Some((demand, at)) => {
                let change = (self.demand - demand).abs() / self.limit();
                let stale = wanted && now.saturating_sub(at) >= REFRESH_INTERVAL;
                if change >= MIN_CHANGE || stale {
                    change + f64::from(u8::from(stale))
                } else {
                    0.0
                }
            }
        }
    }
}

/// Max-min fair share of an entry with `own` demand. Entries missing from `demands` keep a static
/// share of the limit; what the others don't need is split equally among them.
fn fair_share(limit: f64, entries: usize, own: f64, mut demands: Vec<f64>) -> f64 {
    let entries = entries.max(demands.len());
    let mut left = limit * demands.len() as f64 / entries as f64;
    let mut count = demands.len();
    demands.sort_by(f64::total_cmp);
    for demand in &demands {
        let part = left / count as f64;
        if *demand > part {
            return own.min(part);
        }
        left -= demand;
        count -= 1;
    }
    own + left / demands.len() as f64
}

/// Limits of all teams at one entry.
#[derive(Clone, Debug)]
pub struct Table {
    own: u64,
    entries: Vec<u64>,
    teams: IndexMap<id::Team, Team>,
}

fn hash_vm(vm: &id::Vm) -> u64 {
    xxh3::xxh3_64(vm.as_str().as_bytes())
}

impl Table {
    /// Creates the table of the entry `own`. It admits nothing until configured.
    pub fn new(own: &id::Vm) -> Self {
        Self { own: hash_vm(own), entries: Vec::new(), teams: IndexMap::new() }
    }

    /// Applies the entries and teams of `fleet`.
    pub fn configure(&mut self, fleet: &config::Fleet, now: unit::Millis) {
        self.entries = fleet.entries().map(|vm| hash_vm(&vm.name)).collect();
        let count = self.entries.len().max(1) as f64;
        self.teams.retain(|name, _| fleet.team(name).is_some());
        for team in &fleet.teams {
            let share = team.limits.requests_per_second.get() / count;
            match self.teams.get_mut(&team.name) {
                Some(known) if known.limits == team.limits => {}
                Some(known) => {
                    known.limits = team.limits.clone();
                    known.target_shares.clear();
                    known.share = share;
                }
                None => {
                    self.teams.insert(team.name.clone(), Team::new(team, share, now));
                }
            }
        }
    }

    /// Admits a request of `team`. The caller must call [`Table::release`] when it ends.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the entry's share is used up, or the team is not configured.
    pub fn admit(&mut self, team: &id::Team, now: unit::Millis) -> Result<(), Refusal> {
        let team = self.teams.get_mut(team).ok_or(Refusal { retry_after: BUSY_RETRY_AFTER })?;
        team.admit(now)
    }

    /// Records the end of an admitted request of `team`.
    pub fn release(&mut self, team: &id::Team) {
        if let Some(team) = self.teams.get_mut(team) {
            team.running = team.running.saturating_sub(1);
        }
    }

    /// Records the demand in another entry's item; ignores items of other kinds.
    pub fn record_demand(&mut self, item: &gossip::Item, now: unit::Millis) {
        let Some((team, entry, demand)) = decode(item) else { return };
        if entry == self.own || !self.entries.contains(&entry) {
            return;
        }
        if let Some(team) = self.teams.values_mut().find(|known| known.hash == team) {
            team.remote_demands.insert(entry, (demand, now + item.ttl.min(DEMAND_LIFETIME)));
        }
    }

    /// Measures demand, updates the shares and returns the demands to publish, those that changed
    /// most. `version` must grow with each call, also across restarts.
    pub fn tick(&mut self, version: u64, now: unit::Millis) -> Vec<gossip::Item> {
        for team in self.teams.values_mut() {
            team.tick(self.own, &self.entries, now);
        }
        let unpublished = self.teams.values_mut().map(|team| (team.unpublished(now), team));
        let mut unpublished: Vec<(f64, &mut Team)> =
            unpublished.filter(|(unpublished, _)| *unpublished > 0.0).collect();
        unpublished.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        unpublished.truncate(MAX_PUBLISHED);
        let own = self.own;
        let publish = |(_, team): (f64, &mut Team)| {
            team.published = Some((team.demand, now));
            encode(team.hash, own, team.demand, version)
        };
        unpublished.into_iter().map(publish).collect()
    }

    /// Requests per second that this entry admits for `team`.
    pub fn share(&self, team: &id::Team) -> Option<f64> {
        self.teams.get(team).map(|team| team.share)
    }
}

fn encode(team: u64, entry: u64, demand: f64, version: u64) -> gossip::Item {
    let mut key = vec![KEY_PREFIX];
    key.extend(team.to_le_bytes());
    key.extend(entry.to_le_bytes());
    let value = demand.to_le_bytes();
    gossip::Item { key: key.into(), version, ttl: DEMAND_LIFETIME, value: value.into() }
}

fn decode(item: &gossip::Item) -> Option<(u64, u64, f64)> {
    if item.key.len() != KEY_BYTES || item.key[0] != KEY_PREFIX {
        return None;
    }
    let team = u64::from_le_bytes(item.key[1..9].try_into().ok()?);
    let entry = u64::from_le_bytes(item.key[9..].try_into().ok()?);
    let demand = f64::from_le_bytes(item.value.as_ref().try_into().ok()?);
    (demand.is_finite() && demand >= 0.0).then_some((team, entry, demand))
}
