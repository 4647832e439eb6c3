//! Register of crashes and of the requests that were in flight during them.

use indexmap::IndexMap;

use super::{Crash, Fingerprint, Item, Kind, Limits, Status};
use crate::unit;

/// Maximum number of crashes kept per fingerprint.
const MAX_CRASHES: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Observation {
    kind: Kind,
    expires: unit::Millis,
}

/// Crashes known to a process, both its own and those learned from others.
#[derive(Clone, Debug)]
pub struct Register {
    limits: Limits,
    records: IndexMap<Fingerprint, IndexMap<Crash, Observation>>,
}

impl Register {
    /// Creates an empty register.
    pub fn new(limits: Limits) -> Self {
        Self { limits, records: IndexMap::new() }
    }

    /// Returns the number of fingerprints.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the register has no fingerprints.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records a crash and returns the items to send to all processes of the data centre before any
    /// entry is told that its attempt failed. `isolated` is set if a suspect was running alone.
    pub fn record_crash(
        &mut self,
        crash: Crash,
        in_flight: &[Fingerprint],
        isolated: bool,
        now: unit::Millis,
    ) -> Vec<Item> {
        let kind = if isolated { Kind::Isolated } else { Kind::InFlight };
        let mut distinct = in_flight.to_vec();
        distinct.sort_unstable();
        distinct.dedup();
        let ttl = self.limits.lifetime;
        let item = |fingerprint| Item { fingerprint, crash, kind, ttl };
        let items: Vec<Item> = distinct.into_iter().map(item).collect();
        for item in &items {
            self.merge(item, now);
        }
        items
    }

    /// Records that a suspect ran in isolation without a crash and returns the items to send.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: unit::Millis) -> Vec<Item> {
        let Some(observations) = self.records.get(&fingerprint) else {
            return Vec::new();
        };
        let open = observations.iter().filter(|(_, c)| c.kind == Kind::InFlight && now < c.expires);
        let items: Vec<Item> = open
            .map(|(&crash, observation)| {
                let ttl = observation.expires.saturating_sub(now);
                Item { fingerprint, crash, kind: Kind::Cleared, ttl }
            })
            .collect();
        for item in &items {
            self.merge(item, now);
        }
        items
    }

    /// Merges an item from another process. Returns whether it changed the register.
    pub fn merge(&mut self, item: &Item, now: unit::Millis) -> bool {
        let ttl = item.ttl.min(self.limits.lifetime);
        if ttl == unit::Millis::ZERO || !self.has_room(item.fingerprint, now) {
            return false;
        }
        let observations = self.records.entry(item.fingerprint).or_default();
        let known = observations.get(&item.crash).is_some_and(|c| c.kind >= item.kind);
        if known || (observations.len() >= MAX_CRASHES && !observations.contains_key(&item.crash)) {
            return false;
        }
        let observation = Observation { kind: item.kind, expires: now + ttl };
        observations.insert(item.crash, observation);
        true
    }

    fn has_room(&mut self, fingerprint: Fingerprint, now: unit::Millis) -> bool {
        if self.records.len() < self.limits.fingerprints || self.records.contains_key(&fingerprint)
        {
            return true;
        }
        self.tick(now);
        self.records.len() < self.limits.fingerprints
    }

    /// Returns the classification of a request at `now`.
    pub fn status(&self, fingerprint: Fingerprint, now: unit::Millis) -> Status {
        let Some(observations) = self.records.get(&fingerprint) else {
            return Status::Clear;
        };
        let valid = |c: &&Observation| now < c.expires;
        if observations.values().filter(valid).any(|c| c.kind == Kind::Isolated) {
            return Status::Poison;
        }
        match observations.values().filter(valid).any(|c| c.kind == Kind::InFlight) {
            true => Status::Suspect,
            false => Status::Clear,
        }
    }

    /// Iterates over the items with their remaining TTL, for processes that start or reconnect.
    pub fn items(&self, now: unit::Millis) -> impl Iterator<Item = Item> {
        self.records.iter().flat_map(move |(&fingerprint, observations)| {
            let valid = observations.iter().filter(move |(_, c)| now < c.expires);
            valid.map(move |(&crash, c)| {
                let ttl = c.expires.saturating_sub(now);
                Item { fingerprint, crash, kind: c.kind, ttl }
            })
        })
    }

    /// Returns the items about one fingerprint, for an entry whose attempt is refused by them.
    pub fn items_for(&self, fingerprint: Fingerprint, now: unit::Millis) -> Vec<Item> {
        self.items(now).filter(|i| i.fingerprint == fingerprint).collect()
    }

    /// Removes expired observations.
    pub fn tick(&mut self, now: unit::Millis) {
        for observations in self.records.values_mut() {
            observations.retain(|_, c| now < c.expires);
        }
        self.records.retain(|_, observations| !observations.is_empty());
    }
}
