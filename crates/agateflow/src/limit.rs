//! Rate and concurrency limits per team, shared between entries without a shared counter.
//!
//! Each entry gossips the demand that it measures. All divide a team's limit in the same way, by the
//! demands last published: the smallest demands are met first, and what nobody asks for is divided
//! equally. An entry that is not heard keeps its static share, the limit over the number of entries.
//! A share falls at once but rises only after [`WINDOW`], so that those who lend it know before.

use std::collections::VecDeque;

use indexmap::IndexMap;
use xxhash_rust::xxh3;

use crate::fleet::gossip;
use crate::{config, id, unit};

/// Time between two calls of [`Table::tick`].
pub const TICK: unit::Millis = unit::Millis::new(500);

/// Time for which a published demand holds.
pub const LIFE: unit::Millis = unit::Millis::new(20_000);

/// Age at which a demand is published again.
pub const REFRESH: unit::Millis = unit::Millis::new(8_000);

/// Time that a share must have been due before it is used.
pub const WINDOW: unit::Millis = unit::Millis::new(10_000);

/// Demands published in one tick.
pub const MAX_PUBLISHED: usize = 2;

/// Retry-After of a team whose requests in progress are too many.
const BUSY_RETRY: unit::Millis = unit::Millis::new(1_000);

const KEY_PREFIX: u8 = b'l';
const KEY_BYTES: usize = 17; // prefix, hash of the team, hash of the entry
const SMOOTHING: f64 = 0.3; // weight of the last tick in the measured demand
const CHANGE: f64 = 0.1; // change of demand, as a share of the limit, that is published at once
const MILLI: f64 = 1_000.0;

/// Why a request may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When another try makes sense.
    pub retry_after: unit::Millis,
}

#[derive(Clone, Debug)]
struct Team {
    limits: config::Limits,
    hash: u64,
    tokens: f64,
    refilled: unit::Millis,
    running: u32,
    arrivals: u32,
    demand: f64, // requests a second
    published: Option<(f64, unit::Millis)>,
    heard: IndexMap<u64, (f64, unit::Millis)>,
    due: VecDeque<(unit::Millis, f64)>,
    share: f64, // requests a second
}

impl Team {
    fn new(team: &config::Team, share: f64, now: unit::Millis) -> Self {
        let mut state = Self {
            limits: team.limits.clone(),
            hash: xxh3::xxh3_64(team.name.as_str().as_bytes()),
            tokens: 0.0,
            refilled: now,
            running: 0,
            arrivals: 0,
            demand: 0.0,
            published: None,
            heard: IndexMap::new(),
            due: VecDeque::new(),
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

    /// Requests that may be in progress here; one at least.
    fn concurrency(&self) -> u32 {
        let share = f64::from(self.limits.concurrency.get()) * self.fraction();
        (share as u32).max(1)
    }

    fn refill(&mut self, now: unit::Millis) {
        let passed = now.saturating_sub(self.refilled).get() as f64 / MILLI;
        self.tokens = (self.tokens + passed * self.share).min(self.burst().max(1.0));
        self.refilled = now.max(self.refilled);
    }

    fn take(&mut self, now: unit::Millis) -> Result<(), Refusal> {
        self.arrivals = self.arrivals.saturating_add(1);
        self.refill(now);
        if self.running >= self.concurrency() {
            return Err(Refusal { retry_after: BUSY_RETRY });
        }
        if self.tokens < 1.0 {
            let wait = (1.0 - self.tokens) / self.share * MILLI;
            return Err(Refusal { retry_after: unit::Millis::new(wait.ceil() as u64) });
        }
        self.tokens -= 1.0;
        self.running += 1;
        Ok(())
    }

    /// The share that is due by the demands in force.
    fn divide(&self, own: u64, entries: &[u64], now: unit::Millis) -> f64 {
        let fixed = self.limit() / entries.len().max(1) as f64;
        let Some((demand, _)) = self.published else { return fixed };
        let mut demands = vec![demand];
        let others = entries.iter().filter(|entry| **entry != own);
        let known = others.filter_map(|entry| self.heard.get(entry));
        demands.extend(known.filter(|(_, expires)| *expires > now).map(|(demand, _)| *demand));
        divide(self.limit(), entries.len(), demand, demands)
    }

    fn tick(&mut self, own: u64, entries: &[u64], now: unit::Millis) {
        let rate = f64::from(self.arrivals) * MILLI / TICK.get() as f64;
        self.arrivals = 0;
        self.demand += (rate - self.demand) * SMOOTHING;
        self.heard.retain(|_, (_, expires)| *expires > now);
        self.refill(now);
        self.due.push_back((now, self.divide(own, entries, now)));
        while self.due.front().is_some_and(|(at, _)| *at + WINDOW < now) {
            self.due.pop_front();
        }
        self.share = self.due.iter().map(|(_, due)| *due).fold(f64::INFINITY, f64::min);
    }

    /// How much the demand is news to the other entries; zero if it need not be published.
    fn news(&self, now: unit::Millis) -> f64 {
        let asked = self.demand > 0.0 || self.heard.values().any(|(demand, _)| *demand > 0.0);
        match self.published {
            None if asked => f64::INFINITY,
            None => 0.0,
            Some((demand, at)) => {
                let change = (self.demand - demand).abs() / self.limit();
                let old = asked && now.saturating_sub(at) >= REFRESH;
                if change >= CHANGE || old { change + f64::from(u8::from(old)) } else { 0.0 }
            }
        }
    }
}

/// The share of an entry with `own` demand: entries that are not heard keep a static share, the
/// heard ones get the smallest demands met first and the rest in equal parts.
fn divide(limit: f64, entries: usize, own: f64, mut demands: Vec<f64>) -> f64 {
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

/// The limits of all teams at one entry.
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
    /// Creates the table of the entry `own`, which admits nothing until configured.
    pub fn new(own: &id::Vm) -> Self {
        Self { own: hash_vm(own), entries: Vec::new(), teams: IndexMap::new() }
    }

    /// Puts the entries and teams of `fleet` in force.
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
                    known.due.clear();
                    known.share = share;
                }
                None => {
                    self.teams.insert(team.name.clone(), Team::new(team, share, now));
                }
            }
        }
    }

    /// Admits a request of `team`, which must be released when it ends.
    ///
    /// # Errors
    ///
    /// A refusal over the entry's share, or for a team that is not configured.
    pub fn take(&mut self, team: &id::Team, now: unit::Millis) -> Result<(), Refusal> {
        let team = self.teams.get_mut(team).ok_or(Refusal { retry_after: BUSY_RETRY })?;
        team.take(now)
    }

    /// Notes that an admitted request of `team` ended.
    pub fn release(&mut self, team: &id::Team) {
        if let Some(team) = self.teams.get_mut(team) {
            team.running = team.running.saturating_sub(1);
        }
    }

    /// Takes in an item of another entry; others than demands are ignored.
    pub fn hear(&mut self, item: &gossip::Item, now: unit::Millis) {
        let Some((team, entry, demand)) = decode(item) else { return };
        if entry == self.own || !self.entries.contains(&entry) {
            return;
        }
        if let Some(team) = self.teams.values_mut().find(|known| known.hash == team) {
            team.heard.insert(entry, (demand, now + item.ttl.min(LIFE)));
        }
    }

    /// Measures demand, sets the shares, and returns the demands to publish: those that changed
    /// most. `version` grows with each call and through restarts.
    pub fn tick(&mut self, version: u64, now: unit::Millis) -> Vec<gossip::Item> {
        for team in self.teams.values_mut() {
            team.tick(self.own, &self.entries, now);
        }
        let news = self.teams.values_mut().map(|team| (team.news(now), team));
        let mut news: Vec<(f64, &mut Team)> = news.filter(|(news, _)| *news > 0.0).collect();
        news.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        news.truncate(MAX_PUBLISHED);
        let own = self.own;
        let publish = |(_, team): (f64, &mut Team)| {
            team.published = Some((team.demand, now));
            encode(team.hash, own, team.demand, version)
        };
        news.into_iter().map(publish).collect()
    }

    /// Requests a second that the entry admits of `team`.
    pub fn share(&self, team: &id::Team) -> Option<f64> {
        self.teams.get(team).map(|team| team.share)
    }
}

fn encode(team: u64, entry: u64, demand: f64, version: u64) -> gossip::Item {
    let mut key = vec![KEY_PREFIX];
    key.extend(team.to_le_bytes());
    key.extend(entry.to_le_bytes());
    let value = demand.to_le_bytes();
    gossip::Item { key: key.into(), version, ttl: LIFE, value: value.into() }
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
