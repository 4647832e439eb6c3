//! Who hears from whom in a group: the leaders, which hear all others at once, the agents that add
//! up choices of experts for the one that plans, and those that lack the map of a change.

use std::net::SocketAddr;

use super::agent::{Agent, Known, STATUS_LIFE};
use super::report::{Change, Report};
use crate::unit;

/// Age at which choices that another agent told no longer count.
const CHOICES_LIFE: unit::Millis = unit::Millis::new(500);

/// Choices told to the agent that plans in one round up to which each agent tells its own.
const DIRECT_CHOICES: usize = 8_192;

/// Lowest ranks heard whose agents hear all others at once: the one that plans, and those that
/// follow it.
pub(super) const LEADERS: usize = 3;

impl Agent {
    /// Choices by the requests of the own rank and of those that it gathers for.
    pub(super) fn gathered(&self, now: unit::Millis) -> Vec<f64> {
        let mut sum = self.demand.load().to_vec();
        self.add_choices(&mut sum, |rank| self.gatherer(rank) == self.rank(), now);
        sum
    }

    /// Adds the choices that agents of ranks told for which `counts` holds.
    pub(super) fn add_choices(
        &self,
        sum: &mut [f64],
        counts: impl Fn(u32) -> bool,
        now: unit::Millis,
    ) {
        for (_, known) in self.others.iter().filter(|(rank, _)| counts(**rank)) {
            if let Some((choices, at)) = &known.choices
                && now < *at + CHOICES_LIFE
            {
                choices.add_to(sum);
            }
        }
    }

    fn rank(&self) -> Option<u32> {
        self.report.as_ref().map(|(own, _)| own.rank)
    }

    /// The rank whose agent adds up the choices of `rank` and others before they are told to the
    /// agent that plans; nothing where each tells its own.
    fn gatherer(&self, rank: u32) -> Option<u32> {
        let (own, _) = self.report.as_ref()?;
        let round = own.size as usize * self.demand.load().len();
        let block = f64::from(own.size).sqrt().ceil() as u32;
        (round > DIRECT_CHOICES && block > 0).then(|| rank / block * block)
    }

    /// The agent that is told the own rank's choices.
    pub(super) fn choices_to(&self, now: unit::Millis) -> Option<SocketAddr> {
        let coordinator = self.coordinator(now)?;
        let rank = self.rank()?;
        let gatherer = self.gatherer(rank).filter(|gatherer| *gatherer != rank);
        let known = gatherer.and_then(|gatherer| self.others.get(&gatherer));
        let alive = known.filter(|known| now < known.heard + STATUS_LIFE);
        Some(alive.map_or(coordinator, |known| known.status.address))
    }

    /// Choices that the agent that plans hears of in one round.
    pub(super) fn choices_in_round(&self) -> usize {
        let Some((own, _)) = &self.report else { return 0 };
        let senders = match self.gatherer(own.rank) {
            Some(_) => 2.0 * f64::from(own.size).sqrt(),
            None => f64::from(own.size),
        };
        senders as usize * self.demand.load().len()
    }

    /// Lowest ranks heard, the own one included, whose agents hear all others at once.
    pub(super) fn leaders(&self, now: unit::Millis) -> Vec<u32> {
        let heard = self.others.iter().filter(|(_, known)| now < known.heard + STATUS_LIFE);
        let mut ranks: Vec<u32> = heard.map(|(rank, _)| *rank).chain(self.rank()).collect();
        ranks.sort_unstable();
        ranks.truncate(LEADERS);
        ranks
    }

    /// Whether all others are told at once what is new.
    pub(super) fn is_leader(&self, now: unit::Millis) -> bool {
        self.rank().is_some_and(|rank| self.leaders(now).contains(&rank))
    }

    /// Agents that wait for what is new: those of the lowest ranks, and those whose ranks hold a
    /// pass.
    pub(super) fn listeners(&self, now: unit::Millis) -> Vec<SocketAddr> {
        let leaders = self.leaders(now);
        let listens = |rank: &u32, known: &Known| {
            leaders.contains(rank) || known.status.report.held.is_some()
        };
        let listeners = self.others.iter().filter(|(rank, known)| listens(rank, known));
        listeners.map(|(_, known)| known.status.address).collect()
    }

    /// The change in preparation, and the agents that lack its map, if it is for this agent to send
    /// it: the one of the lowest rank heard that has it.
    pub(super) fn untold(&self, now: unit::Millis) -> Option<(&Change, Vec<SocketAddr>)> {
        let rank = self.rank()?;
        let change = self.change.as_ref().filter(|change| change.step.is_none())?;
        let heard = || self.others.iter().filter(|(_, known)| now < known.heard + STATUS_LIFE);
        if heard().any(|(other, known)| *other < rank && known.has_map(change.version)) {
            return None;
        }
        // An agent that started again needs the change, even where its rank has prepared it.
        let lacks = |known: &Known| {
            let prepared = known.status.report.prepared == Some(change.version);
            !(known.has_map(change.version) || prepared && known.follows(change.version))
        };
        let lacking = heard().filter(|(_, known)| lacks(known));
        Some((change, lacking.map(|(_, known)| known.status.address).collect()))
    }

    /// Whether another agent tells of a change in this form of the group.
    pub(super) fn is_changing_elsewhere(&self, own: &Report, now: unit::Millis) -> bool {
        let heard = self.others.values().filter(|known| now < known.heard + STATUS_LIFE);
        let mut changes = heard.filter_map(|known| known.status.change.as_ref());
        changes.any(|change| change.epoch == own.epoch && change.version > own.map)
    }

    /// The name of the group.
    pub(super) fn group(&self) -> Option<&str> {
        self.report.as_ref().map(|(own, _)| &*own.group)
    }
}
