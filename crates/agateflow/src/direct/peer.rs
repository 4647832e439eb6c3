//! Messages between entries and rank agents, and the known members of both.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::directory::{Incarnation, Revision, Upstream};
use super::{config, group, quarantine, rate, suspect};
use crate::lockstep::agent;
use crate::lockstep::report::{Plan, Status};
use crate::{id, unit};

/// Time without a heartbeat after which an entry counts as down.
pub const PEER_TIMEOUT: unit::Millis = unit::Millis::new(3_000);

/// Time without a heartbeat after which an entry gets no more heartbeats.
const PEER_TTL: unit::Millis = unit::Millis::new(60_000);

/// Assumed number of entries that share a limit until a heartbeat arrives.
const INITIAL_ENTRY_COUNT: usize = 8;

/// A message between processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From an entry to other entries.
    Entry(Heartbeat),
    /// From a rank's agent to entries and to the other agents of its group.
    Rank(Announcement),
    /// From an entry to a rank's agent.
    Members(Members),
    /// From a rank's agent to the other agents of its group.
    Plan(Plan),
}

/// Status of a rank's agent, with its service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that the rank belongs to.
    pub service: id::Service,
    /// The status.
    pub status: Status,
}

/// What an entry tells a rank's agent in response to its status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Members {
    /// Addresses of entries.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the agents in the same group.
    pub agents: Vec<SocketAddr>,
    /// Addresses of the group's ranks, by rank index.
    pub ranks: IndexMap<u32, SocketAddr>,
    /// Expert placement of the group, if the configuration is known.
    pub shape: Option<agent::Shape>,
    /// Longest pause between two events that callers of the group tolerate, if known.
    pub pause: Option<unit::Millis>,
}

/// Heartbeat from one entry to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// The sender's VM.
    pub vm: id::Vm,
    /// Address at which it receives heartbeats.
    pub address: SocketAddr,
    /// Identifies its process.
    pub incarnation: id::Incarnation,
    /// Version of its configuration; zero if it has none.
    pub config: u64,
    /// Registry revision that its directory reflects.
    pub directory: Revision,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Its requests in flight, by upstream.
    pub counts: IndexMap<id::Vm, u32>,
    /// Recent peak cost of a request by group of ranks, relative to the cost model.
    pub costs: IndexMap<group::Id, f64>,
    /// Upstreams that are draining.
    pub draining: Vec<Incarnation>,
    /// Request rate limits that upstreams named, and what it sent to them.
    pub rates: Vec<rate::Report>,
    /// Crashes that it recently saw or heard of.
    pub crashes: Vec<suspect::Crash>,
    /// Evidence on parts of prompts that may crash upstreams.
    pub evidence: Vec<quarantine::Item>,
    /// Addresses of some entries that it knows.
    pub known: Vec<SocketAddr>,
}

/// State that an entry fetches from another when it starts or falls behind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The configuration, if known.
    pub config: Option<config::Config>,
    /// The listed upstreams.
    pub upstreams: Vec<Upstream>,
    /// Registry revision that the list reflects.
    pub directory: Revision,
}

#[derive(Clone, Debug)]
struct Peer {
    last_heard: Option<unit::Millis>,
    added: unit::Millis,
    leaving: bool,
    config: u64,
    incarnation: Option<id::Incarnation>,
}

/// Known entries, this one excluded.
#[derive(Clone, Debug)]
pub struct Table {
    own: SocketAddr,
    peers: IndexMap<SocketAddr, Peer>,
}

impl Table {
    /// Creates a table with the entries named in the settings.
    pub fn new(own: SocketAddr, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        let mut table = Self { own, peers: IndexMap::new() };
        for seed in seeds {
            table.add(seed, unit::Millis::ZERO);
        }
        table
    }

    fn add(&mut self, address: SocketAddr, now: unit::Millis) {
        if address == self.own {
            return;
        }
        let peer =
            Peer { last_heard: None, added: now, leaving: false, config: 0, incarnation: None };
        self.peers.entry(address).or_insert(peer);
    }

    /// Adds entries named in the settings.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>, now: unit::Millis) {
        for seed in seeds {
            self.add(seed, now);
        }
    }

    /// Records a heartbeat. Returns whether the sender was unknown or down before, or is a new
    /// process.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: unit::Millis) -> bool {
        self.add(heartbeat.address, now);
        for &address in &heartbeat.known {
            self.add(address, now);
        }
        let Some(peer) = self.peers.get_mut(&heartbeat.address) else { return false };
        let was_silent = peer.last_heard.is_none_or(|at| now > at + PEER_TIMEOUT);
        peer.last_heard = Some(now);
        peer.leaving = heartbeat.leaving;
        peer.config = heartbeat.config;
        let is_new = peer.incarnation.replace(heartbeat.incarnation) != Some(heartbeat.incarnation);
        was_silent || is_new
    }

    /// Removes entries that have long been silent.
    pub fn remove_expired(&mut self, now: unit::Millis) {
        self.peers.retain(|_, peer| now < peer.last_heard.unwrap_or(peer.added) + PEER_TTL);
    }

    /// Addresses of the entries to send heartbeats to.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Addresses of the entries that are up and not shutting down.
    pub fn alive(&self, now: unit::Millis) -> Vec<SocketAddr> {
        let present = self.peers.iter().filter(|(_, peer)| {
            peer.last_heard.is_some_and(|at| now <= at + PEER_TIMEOUT) && !peer.leaving
        });
        present.map(|(&address, _)| address).collect()
    }

    /// Number of entries that share limits, including this one. Silent ones count: they may be cut
    /// off from this one and still serve.
    pub fn entry_count(&self) -> usize {
        let heard = self.peers.values().filter(|peer| peer.last_heard.is_some()).count();
        if heard == 0 { INITIAL_ENTRY_COUNT } else { heard + 1 }
    }

    /// Entries that share request rate limits.
    pub fn rate_members(&self, now: unit::Millis) -> rate::Members {
        rate::Members { known: self.entry_count(), connected: self.alive(now).len() + 1 }
    }

    /// The entry with the newest configuration, if newer than version `config`.
    pub fn peer_with_newer_config(&self, config: u64, now: unit::Millis) -> Option<SocketAddr> {
        let is_alive = |peer: &Peer| peer.last_heard.is_some_and(|at| now <= at + PEER_TIMEOUT);
        let ahead = self.peers.iter().filter(|(_, peer)| is_alive(peer) && peer.config > config);
        ahead.max_by_key(|(_, peer)| peer.config).map(|(&address, _)| address)
    }
}

/// Agents of ranks that have sent their status.
#[derive(Clone, Debug, Default)]
pub struct Agents(IndexMap<SocketAddr, (Box<str>, unit::Millis)>);

impl Agents {
    /// Records an agent's status and returns the addresses of all agents in its group.
    pub fn record_status(&mut self, status: &Status, now: unit::Millis) -> Vec<SocketAddr> {
        let group = &status.report.group;
        self.0.retain(|_, (_, heard)| now <= *heard + PEER_TTL);
        self.0.insert(status.address, (group.clone(), now));
        let present = self.0.iter().filter(|(_, (of, _))| of == group);
        present.map(|(&address, _)| address).collect()
    }
}
