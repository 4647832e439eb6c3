//! Selects message recipients: leaders, which get all updates at once, aggregators of expert load,
//! and agents that lack the map of a change.

use std::net::SocketAddr;

use super::agent::{Agent, Peer, STATUS_TTL};
use super::report::{Change, Report};
use crate::unit;

/// Age at which the expert load of another agent is ignored.
const LOAD_TTL: unit::Millis = unit::Millis::new(500);

/// Load values per round up to which every agent reports directly to the coordinator.
const MAX_DIRECT_LOAD_VALUES: usize = 8_192;

/// Number of leaders, the lowest-ranked live agents: coordinator and standbys, which get all
/// updates.
pub(super) const LEADER_COUNT: usize = 3;

impl Agent {
    /// Expert load of this rank and of those it aggregates.
    pub(super) fn aggregated_load(&self, now: unit::Millis) -> Vec<f64> {
        let mut sum = self.demand.load().to_vec();
        self.add_peer_loads(&mut sum, |rank| self.aggregator(rank) == self.rank(), now);
        sum
    }

    /// Adds the recent load of peers whose rank satisfies `includes`.
    pub(super) fn add_peer_loads(
        &self,
        sum: &mut [f64],
        includes: impl Fn(u32) -> bool,
        now: unit::Millis,
    ) {
        for (_, peer) in self.peers.iter().filter(|(rank, _)| includes(**rank)) {
            if let Some((expert_load, at)) = &peer.expert_load
                && now < *at + LOAD_TTL
            {
                expert_load.add_to(sum);
            }
        }
    }

    fn rank(&self) -> Option<u32> {
        self.report.as_ref().map(|(own, _)| own.rank)
    }

    /// The rank whose agent aggregates the load of `rank`'s block for the coordinator, or `None` if
    /// every agent reports its own.
    fn aggregator(&self, rank: u32) -> Option<u32> {
        let (own, _) = self.report.as_ref()?;
        let values_per_round = own.size as usize * self.demand.load().len();
        let block_size = f64::from(own.size).sqrt().ceil() as u32;
        (values_per_round > MAX_DIRECT_LOAD_VALUES && block_size > 0)
            .then(|| rank / block_size * block_size)
    }

    /// Which agent receives this rank's load.
    pub(super) fn load_recipient(&self, now: unit::Millis) -> Option<SocketAddr> {
        let coordinator = self.coordinator(now)?;
        let rank = self.rank()?;
        let aggregator = self.aggregator(rank).filter(|aggregator| *aggregator != rank);
        let peer = aggregator.and_then(|aggregator| self.peers.get(&aggregator));
        let alive = peer.filter(|peer| now < peer.heard_at + STATUS_TTL);
        Some(alive.map_or(coordinator, |peer| peer.status.address))
    }

    /// Load values that the coordinator receives per round.
    pub(super) fn load_values_per_round(&self) -> usize {
        let Some((own, _)) = &self.report else { return 0 };
        let senders = match self.aggregator(own.rank) {
            Some(_) => 2.0 * f64::from(own.size).sqrt(),
            None => f64::from(own.size),
        };
        senders as usize * self.demand.load().len()
    }

    /// Ranks of the current leaders, possibly including this one.
    pub(super) fn leaders(&self, now: unit::Millis) -> Vec<u32> {
        let live = self.peers.iter().filter(|(_, peer)| now < peer.heard_at + STATUS_TTL);
        let mut ranks: Vec<u32> = live.map(|(rank, _)| *rank).chain(self.rank()).collect();
        ranks.sort_unstable();
        ranks.truncate(LEADER_COUNT);
        ranks
    }

    /// Whether this agent broadcasts its updates.
    pub(super) fn is_leader(&self, now: unit::Millis) -> bool {
        self.rank().is_some_and(|rank| self.leaders(now).contains(&rank))
    }

    /// Agents that need updates at once: the leaders and those whose ranks hold a pass.
    pub(super) fn listeners(&self, now: unit::Millis) -> Vec<SocketAddr> {
        let leaders = self.leaders(now);
        let listens =
            |rank: &u32, peer: &Peer| leaders.contains(rank) || peer.status.report.held.is_some();
        let listeners = self.peers.iter().filter(|(rank, peer)| listens(rank, peer));
        listeners.map(|(_, peer)| peer.status.address).collect()
    }

    /// The change in preparation and the agents that lack its map, if this agent is the
    /// lowest-ranked live one that has it.
    pub(super) fn change_to_send(&self, now: unit::Millis) -> Option<(&Change, Vec<SocketAddr>)> {
        let rank = self.rank()?;
        let change = self.change.as_ref().filter(|change| !change.map.0.is_empty())?;
        let live = || self.peers.iter().filter(|(_, peer)| now < peer.heard_at + STATUS_TTL);
        if live().any(|(other, peer)| *other < rank && peer.has_map(change.version)) {
            return None;
        }
        // A restarted agent needs the change even if its rank has already prepared it.
        let lacks = |peer: &Peer| {
            let prepared = peer.status.report.prepared == Some(change.version);
            !(peer.has_map(change.version) || prepared && peer.has_change(change.version))
        };
        let lacking = live().filter(|(_, peer)| lacks(peer));
        Some((change, lacking.map(|(_, peer)| peer.status.address).collect()))
    }

    /// Whether a live peer announces an unfinished change in this epoch.
    pub(super) fn is_peer_changing(&self, own: &Report, now: unit::Millis) -> bool {
        let live = self.peers.values().filter(|peer| now < peer.heard_at + STATUS_TTL);
        let mut changes = live.filter_map(|peer| peer.status.change.as_ref());
        changes.any(|change| change.epoch == own.epoch && change.version > own.map)
    }

    /// Name of the group.
    pub(super) fn group_name(&self) -> Option<&str> {
        self.report.as_ref().map(|(own, _)| &*own.group)
    }
}
