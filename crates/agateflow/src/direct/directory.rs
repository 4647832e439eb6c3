//! The upstreams that are known, as their registry lists them.
//!
//! Entries of the registry lapse while it is away. After such a time a removal is believed only
//! once the registry was back for [`RETURN_TIME`], in which upstreams that live register again.
//!
//! The registry may come back from an older copy: what it lists then may be out of date. An
//! upstream that was known to leave still leaves, and one that was known to be gone counts as gone
//! until it registers again.

use std::fmt;
use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{id, unit};

/// Time within which upstreams that live are listed again after the registry came back.
pub const RETURN_TIME: unit::Millis = unit::Millis::new(2_000);

/// Time for which upstreams that are gone are remembered: an entry in an older copy lapses sooner.
const GONE_LIFE: unit::Millis = unit::Millis::new(30_000);

/// A revision of the registry. Numbers are given out again after it came back from an older copy,
/// which begins a new era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Revision {
    /// How often the registry came back from a copy.
    pub era: u64,
    /// Number of the change; zero before the first one.
    pub number: u64,
}

impl Revision {
    /// The revision with that number in an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// One lifetime of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lifetime {
    /// The upstream.
    pub vm: id::Vm,
    /// When it started.
    pub born: u64,
}

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes requests.
    Ready,
    /// It is leaving.
    Draining,
}

/// An upstream as the registry lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Its identity, which requests can name.
    pub vm: id::Vm,
    /// Where it listens.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: id::Service,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: State,
    /// When it started, which tells apart lifetimes of one identity.
    pub born: u64,
    /// Whether the group of ranks that it belongs to is open.
    pub open: bool,
    /// Its place in a group of ranks, if it belongs to one.
    pub rank: Option<Rank>,
}

impl Upstream {
    /// The lifetime that is listed.
    pub fn lifetime(&self) -> Lifetime {
        Lifetime { vm: self.vm.clone(), born: self.born }
    }
}

/// A place in a lock-step group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rank {
    /// The group.
    pub group: Box<str>,
    /// The place.
    pub index: u32,
}

/// News from the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An upstream was listed or its entry changed.
    Listed(Upstream),
    /// An entry is gone.
    Removed(id::Vm),
}

#[derive(Clone, Debug)]
struct Entry {
    upstream: Upstream,
    lapsed: bool,
}

/// The upstreams known to one entry.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: IndexMap<id::Vm, Entry>,
    revision: Revision,
    returned: Option<unit::Millis>,
    away: bool,
    gone: IndexMap<Lifetime, unit::Millis>,
}

impl Directory {
    /// Creates a directory without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision of the registry that the directory reflects.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The registry does not answer.
    pub const fn lose(&mut self) {
        self.away = true;
    }

    /// The registry answers. Says whether it was away.
    pub const fn regain(&mut self, now: unit::Millis) -> bool {
        let was_away = self.away;
        if was_away {
            self.away = false;
            self.returned = Some(now);
        }
        was_away
    }

    fn is_settled(&self, now: unit::Millis) -> bool {
        !self.away && self.returned.is_none_or(|at| now >= at + RETURN_TIME)
    }

    /// The registry came back from an older copy: upstreams that it does not list may live.
    pub const fn restore(&mut self, now: unit::Millis) {
        self.away = false;
        self.returned = Some(now);
    }

    /// Takes in one piece of news as of `revision`.
    pub fn apply(&mut self, change: Change, revision: Revision, now: unit::Millis) {
        self.revision = self.revision.max(revision);
        match change {
            Change::Listed(upstream) => self.list(upstream),
            Change::Removed(vm) if self.is_settled(now) => self.remove(&vm, now),
            Change::Removed(vm) => {
                if let Some(entry) = self.entries.get_mut(&vm) {
                    entry.lapsed = true;
                }
            }
        }
    }

    /// An upstream that leaves does so for the rest of its lifetime.
    fn list(&mut self, mut upstream: Upstream) {
        self.gone.swap_remove(&upstream.lifetime());
        let known = self.entries.get(&upstream.vm).map(|entry| &entry.upstream);
        let leaves = known
            .is_some_and(|known| known.born == upstream.born && known.state == State::Draining);
        if leaves {
            upstream.state = State::Draining;
        }
        self.entries.insert(upstream.vm.clone(), Entry { upstream, lapsed: false });
    }

    fn remove(&mut self, vm: &id::Vm, now: unit::Millis) {
        if let Some(entry) = self.entries.swap_remove(vm) {
            self.gone.insert(entry.upstream.lifetime(), now);
        }
    }

    /// Takes in the whole list as of `revision`.
    pub fn replace(&mut self, listed: Vec<Upstream>, revision: Revision, now: unit::Millis) {
        let names: Vec<id::Vm> = self.entries.keys().cloned().collect();
        for vm in names {
            if !listed.iter().any(|upstream| upstream.vm == vm) {
                self.apply(Change::Removed(vm), revision, now);
            }
        }
        // In an older copy, what is gone is listed until it lapses there.
        let settled = self.is_settled(now);
        for upstream in listed {
            if settled || !self.gone.contains_key(&upstream.lifetime()) {
                self.apply(Change::Listed(upstream), revision, now);
            }
        }
    }

    /// Marks upstreams as leaving that another entry knows to leave.
    pub fn drain(&mut self, leaving: &[Lifetime]) {
        for lifetime in leaving {
            if let Some(entry) = self.entries.get_mut(&lifetime.vm)
                && entry.upstream.born == lifetime.born
            {
                entry.upstream.state = State::Draining;
            }
        }
    }

    /// Upstreams that are leaving.
    pub fn draining(&self) -> Vec<Lifetime> {
        let draining = self.iter().filter(|upstream| upstream.state == State::Draining);
        draining.map(Upstream::lifetime).collect()
    }

    /// Drops the entries that lapsed and were not listed again in time.
    pub fn tick(&mut self, now: unit::Millis) -> Vec<id::Vm> {
        if !self.is_settled(now) {
            return Vec::new();
        }
        let lapsed = self.entries.iter().filter(|(_, entry)| entry.lapsed);
        let gone: Vec<id::Vm> = lapsed.map(|(vm, _)| vm.clone()).collect();
        for vm in &gone {
            self.remove(vm, now);
        }
        self.gone.retain(|_, at| now < *at + GONE_LIFE);
        gone
    }

    /// The upstream `vm` if it still takes requests.
    pub fn get(&self, vm: &id::Vm) -> Option<&Upstream> {
        let entry = self.entries.get(vm)?;
        (entry.upstream.state == State::Ready).then_some(&entry.upstream)
    }

    /// Upstreams of `service` that take requests.
    pub fn ready<'a>(&'a self, service: &'a id::Service) -> impl Iterator<Item = &'a Upstream> {
        let upstreams = self.entries.values().map(|entry| &entry.upstream);
        upstreams.filter(move |u| u.service == *service && u.state == State::Ready)
    }

    /// Addresses of the ranks of `group`.
    pub fn ranks<'a>(&'a self, group: &'a str) -> impl Iterator<Item = (u32, SocketAddr)> + 'a {
        self.iter().filter_map(move |upstream| {
            let rank = upstream.rank.as_ref().filter(|rank| &*rank.group == group)?;
            Some((rank.index, upstream.address))
        })
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.entries.values().map(|entry| &entry.upstream)
    }
}
