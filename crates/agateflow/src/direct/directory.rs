//! The upstreams that are known, as their registry lists them.
//!
//! Entries of the registry lapse while it is away. After such a time a removal is believed only
//! once the registry was back for [`RETURN_TIME`], in which upstreams that live register again.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{id, unit};

/// Time within which upstreams that live are listed again after the registry came back.
pub const RETURN_TIME: unit::Millis = unit::Millis::new(2_000);

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
    revision: u64,
    returned: Option<unit::Millis>,
    away: bool,
}

impl Directory {
    /// Creates a directory without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision of the registry that the directory reflects.
    pub const fn revision(&self) -> u64 {
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

    /// Takes in one piece of news as of `revision`.
    pub fn apply(&mut self, change: Change, revision: u64, now: unit::Millis) {
        self.revision = self.revision.max(revision);
        match change {
            Change::Listed(upstream) => {
                self.entries.insert(upstream.vm.clone(), Entry { upstream, lapsed: false });
            }
            Change::Removed(vm) if self.is_settled(now) => {
                self.entries.swap_remove(&vm);
            }
            Change::Removed(vm) => {
                if let Some(entry) = self.entries.get_mut(&vm) {
                    entry.lapsed = true;
                }
            }
        }
    }

    /// Takes in the whole list as of `revision`.
    pub fn replace(&mut self, listed: Vec<Upstream>, revision: u64, now: unit::Millis) {
        let names: Vec<id::Vm> = self.entries.keys().cloned().collect();
        for vm in names {
            if !listed.iter().any(|upstream| upstream.vm == vm) {
                self.apply(Change::Removed(vm), revision, now);
            }
        }
        for upstream in listed {
            self.apply(Change::Listed(upstream), revision, now);
        }
    }

    /// Marks upstreams as leaving that another entry knows to leave.
    pub fn drain(&mut self, leaving: &[id::Vm]) {
        for vm in leaving {
            if let Some(entry) = self.entries.get_mut(vm) {
                entry.upstream.state = State::Draining;
            }
        }
    }

    /// Drops the entries that lapsed and were not listed again in time.
    pub fn tick(&mut self, now: unit::Millis) -> Vec<id::Vm> {
        if !self.is_settled(now) {
            return Vec::new();
        }
        let lapsed = self.entries.iter().filter(|(_, entry)| entry.lapsed);
        let gone: Vec<id::Vm> = lapsed.map(|(vm, _)| vm.clone()).collect();
        self.entries.retain(|_, entry| !entry.lapsed);
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
