//! What an agent tells the group's other agents, whom, and when.

use std::net::SocketAddr;

use indexmap::IndexSet;

use super::agent::Agent;
use super::report::{Report, Status};
use crate::unit;

/// Time between two statuses to all agents without news.
const INTERVAL: unit::Millis = unit::Millis::new(300);

/// The same while a pass is held or may be: silence then makes others act.
const SWITCH_INTERVAL: unit::Millis = unit::Millis::new(60);

/// Time between two statuses with the demand to the agent that plans.
const DEMAND_INTERVAL: unit::Millis = unit::Millis::new(45);

/// A status and whom it is for.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Where the agents that get it hear others.
    pub to: Vec<SocketAddr>,
    /// The status.
    pub status: Status,
}

/// Keeps what the others were told.
#[derive(Clone, Debug, Default)]
pub struct Teller {
    agents: IndexSet<SocketAddr>,
    told: Option<Status>,
    told_at: unit::Millis,
    demand_at: unit::Millis,
}

impl Teller {
    /// Creates one that knows no other agent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Learns of agents of the group.
    pub fn meet(&mut self, agents: impl IntoIterator<Item = SocketAddr>) {
        self.agents.extend(agents);
    }

    /// The messages that are due.
    pub fn due(&mut self, agent: &Agent, now: unit::Millis) -> Vec<Message> {
        let status = self.status(agent, now);
        let demand = self.demand(agent, now);
        status.into_iter().chain(demand).collect()
    }

    fn status(&mut self, agent: &Agent, now: unit::Millis) -> Option<Message> {
        let status = agent.status(false, now)?;
        let news = self.told.as_ref().is_none_or(|told| is_news(told, &status));
        let switching = agent.is_switching() || agent.is_prepared();
        let interval = if switching { SWITCH_INTERVAL } else { INTERVAL };
        if !news && now < self.told_at + interval {
            return None;
        }
        self.told_at = now;
        self.told = Some(status.clone());
        Some(Message { to: self.agents.iter().copied().collect(), status })
    }

    fn demand(&mut self, agent: &Agent, now: unit::Millis) -> Option<Message> {
        let coordinator = agent.coordinator(now)?;
        if now < self.demand_at + DEMAND_INTERVAL {
            return None;
        }
        self.demand_at = now;
        Some(Message { to: vec![coordinator], status: agent.status(true, now)? })
    }
}

/// Whether other agents wait for what changed.
fn is_news(told: &Status, status: &Status) -> bool {
    let state = |r: &Report| (r.epoch, r.open, r.map, r.prepared, r.armed, r.held);
    state(&told.report) != state(&status.report) || told.change != status.change
}
