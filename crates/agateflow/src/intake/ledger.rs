//! Accounts of all connections, and who has to go when the budget is full.

use std::net::IpAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::account::{Account, Class, Stage};
use super::limits::{CONNECTION, Limits, SMALL};
use crate::{id, unit};

/// Time for which a new connection may take to send its first request before it makes room for others.
const FIRST_REQUEST_TIME: unit::Millis = unit::Millis::new(100);

/// Identifies a connection of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(u64);

/// What is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Memory for callers.
    Memory,
    /// Connections of callers.
    Connections,
}

impl Cause {
    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Cause::Memory => "memory",
            Cause::Connections => "connections",
        }
    }
}

/// A connection that has to go, and the state that decided it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// The connection.
    pub id: Id,
    /// What was short.
    pub cause: Cause,
    /// Its caller.
    pub caller: IpAddr,
    /// Team of its last request.
    pub team: Option<id::Team>,
    /// What it was doing.
    pub stage: Stage,
    /// For how long.
    pub age: unit::Millis,
    /// What it held beyond the connection itself.
    pub held: unit::Bytes,
    /// What its caller moved of late.
    pub moved: unit::Bytes,
}

/// Answer to a connection or a request that asks for a part of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has the part.
    Granted,
    /// It may ask again once those who have to go have gone.
    Wait,
    /// It does not get the part, as nobody else has to go before it.
    Refused,
}

/// Budget of what callers hold, with an account for each connection.
#[derive(Debug)]
pub struct Ledger {
    limits: Limits,
    accounts: IndexMap<Id, Account>,
    held: u64,
    next: u64,
}

impl Ledger {
    /// Creates a ledger without connections.
    pub fn new(limits: Limits) -> Self {
        Self { limits, accounts: IndexMap::new(), held: 0, next: 0 }
    }

    /// Memory that is held for callers.
    pub const fn held(&self) -> unit::Bytes {
        unit::Bytes::new(self.held)
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.accounts.len()
    }

    /// The limits in force.
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Changes the limits. Returns who has to go.
    pub fn set_limits(&mut self, limits: Limits, now: unit::Millis) -> Vec<Eviction> {
        self.limits = limits;
        let mut evictions = Vec::new();
        self.make_room(0, limits.memory.get(), None, now, &mut evictions);
        while self.staying() > limits.connections
            && let Some(id) = self.least_used(now)
        {
            evictions.push(self.evict(id, Cause::Connections, now));
        }
        evictions
    }

    /// Opens an account for a connection from `caller`. Returns its id if there is room, and who has to go.
    pub fn open(
        &mut self,
        caller: IpAddr,
        now: unit::Millis,
    ) -> (Result<Id, Verdict>, Vec<Eviction>) {
        let mut evictions = Vec::new();
        if self.accounts.len() >= self.limits.connections {
            if self.staying() >= self.limits.connections {
                let Some(victim) = self.least_used(now) else {
                    return (Err(Verdict::Refused), evictions);
                };
                evictions.push(self.evict(victim, Cause::Connections, now));
            }
            return (Err(Verdict::Wait), evictions);
        }
        let limit = self.limits.memory.get();
        match self.make_room(CONNECTION.get(), limit, None, now, &mut evictions) {
            Verdict::Granted => {}
            verdict => return (Err(verdict), evictions),
        }
        let id = Id(self.next);
        self.next += 1;
        self.held += CONNECTION.get();
        self.accounts.insert(id, Account::new(caller, now));
        (Ok(id), evictions)
    }

    /// Closes the account of a connection. What was charged to it stays charged until it is released.
    pub fn close(&mut self, id: Id) {
        if self.accounts.swap_remove(&id).is_some() {
            self.held = self.held.saturating_sub(CONNECTION.get());
        }
    }

    /// Charges `bytes` to a connection. Returns who has to go so that there is room.
    pub fn charge(
        &mut self,
        id: Id,
        bytes: unit::Bytes,
        now: unit::Millis,
    ) -> (Verdict, Vec<Eviction>) {
        let mut evictions = Vec::new();
        let Some(account) = self.accounts.get(&id).filter(|account| !account.evicted) else {
            return (Verdict::Refused, evictions);
        };
        let is_small = account.held + bytes.get() <= SMALL.get();
        let reserve = if is_small { 0 } else { self.limits.reserve.get() };
        let limit = self.limits.memory.get().saturating_sub(reserve);
        let verdict = self.make_room(bytes.get(), limit, Some(id), now, &mut evictions);
        if verdict == Verdict::Granted {
            self.held += bytes.get();
            if let Some(account) = self.accounts.get_mut(&id) {
                account.held += bytes.get();
            }
        }
        (verdict, evictions)
    }

    /// Releases what was charged to a connection, which may be closed by now.
    pub fn release(&mut self, id: Id, bytes: unit::Bytes) {
        self.held = self.held.saturating_sub(bytes.get());
        if let Some(account) = self.accounts.get_mut(&id) {
            account.held = account.held.saturating_sub(bytes.get());
        }
    }

    /// Records what a connection does from now on. Returns false if it was told to go.
    pub fn enter(&mut self, id: Id, stage: Stage, now: unit::Millis) -> bool {
        let Some(account) = self.accounts.get_mut(&id) else { return false };
        account.served |= stage == Stage::Idle;
        account.stage = stage;
        account.since = now;
        !account.evicted
    }

    /// Records the team of a connection's request.
    pub fn set_team(&mut self, id: Id, team: Option<id::Team>) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.team = team;
        }
    }

    /// Records that the caller of a connection sent or read bytes.
    pub fn record_movement(&mut self, id: Id, bytes: u64, now: unit::Millis) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.record_movement(bytes, now);
        }
    }

    /// Evicts until `bytes` more fit below `limit`. The connection `asking` is refused if it would be the next to
    /// go.
    fn make_room(
        &mut self,
        bytes: u64,
        limit: u64,
        asking: Option<Id>,
        now: unit::Millis,
        evictions: &mut Vec<Eviction>,
    ) -> Verdict {
        let excess = (self.held + bytes).saturating_sub(limit);
        if excess == 0 {
            return Verdict::Granted;
        }
        let mut leaving = self.leaving();
        while leaving < excess {
            match self.largest(asking.map(|id| (id, bytes)), now) {
                Some(victim) if Some(victim) != asking => {
                    leaving += self.accounts[&victim].held + CONNECTION.get();
                    evictions.push(self.evict(victim, Cause::Memory, now));
                }
                _ => return Verdict::Refused,
            }
        }
        Verdict::Wait
    }

    /// Memory that those hold who were told to go.
    fn leaving(&self) -> u64 {
        let leaving = self.accounts.values().filter(|account| account.evicted);
        leaving.map(|account| account.held + CONNECTION.get()).sum()
    }

    /// Connections that were not told to go.
    fn staying(&self) -> usize {
        self.accounts.values().filter(|account| !account.evicted).count()
    }

    fn evict(&mut self, id: Id, cause: Cause, now: unit::Millis) -> Eviction {
        let account = &mut self.accounts[&id];
        account.evicted = true;
        Eviction {
            id,
            cause,
            caller: account.caller,
            team: account.team.clone(),
            stage: account.stage,
            age: now.saturating_sub(account.since),
            held: unit::Bytes::new(account.held),
            moved: unit::Bytes::new(account.moved(now)),
        }
    }

    /// The connection that has to go first for memory. The one that asks counts with what it asks for.
    fn largest(&self, asking: Option<(Id, u64)>, now: unit::Millis) -> Option<Id> {
        let mut candidates: Vec<Candidate<'_>> = Vec::new();
        let mut first = None;
        for (&id, account) in &self.accounts {
            let asked = asking.filter(|(asking, _)| *asking == id).map_or(0, |(_, bytes)| bytes);
            let class = match asked > 0 && account.held + asked > SMALL.get() {
                true => account.class(now).map(|class| class.min(Class::Large)),
                false => account.class(now),
            };
            let Some(class) = class else { continue };
            if first.is_some_and(|first| class > first) {
                continue;
            }
            if first != Some(class) {
                candidates.clear();
                first = Some(class);
            }
            candidates.push(Candidate { id, account, weight: account.held + asked });
        }
        match first? {
            Class::Idle => longest_idle(&candidates),
            Class::SlowLarge | Class::Large | Class::SlowSmall => {
                let team = heaviest(&candidates, Candidate::team);
                candidates.retain(|candidate| Some(candidate.team()) == team);
                let caller = heaviest(&candidates, |candidate| candidate.account.caller);
                candidates.retain(|candidate| Some(candidate.account.caller) == caller);
                let rank = |candidate: &&Candidate<'_>| {
                    let moved = candidate.account.moved(now);
                    (candidate.weight, std::cmp::Reverse(moved))
                };
                candidates.iter().max_by_key(rank).map(|candidate| candidate.id)
            }
        }
    }

    /// The connection that has to go first for a new one: an idle one of the caller with most of them, else one that
    /// moves too little.
    fn least_used(&self, now: unit::Millis) -> Option<Id> {
        let of_class = |wanted: fn(Class) -> bool| -> Vec<Candidate<'_>> {
            let accounts = self.accounts.iter();
            let candidates = accounts.filter(|(_, account)| account.class(now).is_some_and(wanted));
            candidates.map(|(&id, account)| Candidate { id, account, weight: 1 }).collect()
        };
        let mut idle = of_class(|class| class == Class::Idle);
        let is_starting = |candidate: &Candidate<'_>| {
            !candidate.account.served && now < candidate.account.since + FIRST_REQUEST_TIME
        };
        idle.retain(|candidate| !is_starting(candidate));
        let mut candidates = match idle.is_empty() {
            true => of_class(|class| matches!(class, Class::SlowLarge | Class::SlowSmall)),
            false => idle,
        };
        let caller = heaviest(&candidates, |candidate| candidate.account.caller);
        candidates.retain(|candidate| Some(candidate.account.caller) == caller);
        longest_idle(&candidates)
    }
}

/// A connection that may have to go.
struct Candidate<'a> {
    id: Id,
    account: &'a Account,
    weight: u64,
}

impl<'a> Candidate<'a> {
    /// Its team; callers without one are told apart by their addresses.
    fn team(&self) -> (Option<&'a id::Team>, Option<IpAddr>) {
        let team = self.account.team.as_ref();
        (team, team.is_none().then_some(self.account.caller))
    }
}

/// The key with the greatest sum of weights.
fn heaviest<'a, K: Eq + std::hash::Hash + Copy>(
    candidates: &[Candidate<'a>],
    key: impl Fn(&Candidate<'a>) -> K,
) -> Option<K> {
    let mut sums: IndexMap<K, u64> = IndexMap::new();
    for candidate in candidates {
        *sums.entry(key(candidate)).or_default() += candidate.weight;
    }
    sums.into_iter().max_by_key(|(_, sum)| *sum).map(|(key, _)| key)
}

/// The one whose caller was not served yet, and that does the same for longest.
fn longest_idle(candidates: &[Candidate<'_>]) -> Option<Id> {
    let rank = |candidate: &&Candidate<'_>| (candidate.account.served, candidate.account.since);
    candidates.iter().min_by_key(rank).map(|candidate| candidate.id)
}
