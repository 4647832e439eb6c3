//! What an agent tells the group's other agents, whom, and when.
//!
//! All others hear from an agent now and then that it lives. What is new goes at once to those
//! that wait for it: the agents of the lowest ranks, one of which plans, and these tell all. The
//! map of a change goes once to each agent, by way of relays; choices of experts are added up on
//! their way. So an agent's messages grow with the group, not with its square.

use std::net::SocketAddr;

use indexmap::IndexSet;

use super::agent::Agent;
use super::report::{Plan, Report, Status};
use crate::unit;

/// Time between two statuses to those that wait for them, without news.
const INTERVAL: unit::Millis = unit::Millis::new(300);

/// The same while a pass is held or may be: silence then makes others act.
const SWITCH_INTERVAL: unit::Millis = unit::Millis::new(45);

/// Time between two statuses to all others.
const HEARTBEAT_INTERVAL: unit::Millis = unit::Millis::new(700);

/// Least time between two messages with choices of experts.
const CHOICES_INTERVAL: unit::Millis = unit::Millis::new(45);

/// Choices, of a byte each, that the agent that plans takes in a millisecond.
const CHOICES_PER_MS: usize = 200;

/// Time after which a map is sent again to agents that do not show that they have it.
const PLAN_RETRY: unit::Millis = unit::Millis::new(200);

/// What one agent tells another.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// Its status.
    Status(Status),
    /// A change with its map.
    Plan(Plan),
}

/// A message and whom it is for.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Where the agents that get it hear others.
    pub to: Vec<SocketAddr>,
    /// The message.
    pub content: Content,
}

/// Keeps what the others were told.
#[derive(Clone, Debug, Default)]
pub struct Teller {
    agents: IndexSet<SocketAddr>,
    told: Option<Status>,
    told_at: unit::Millis,
    told_all_at: unit::Millis,
    choices_at: unit::Millis,
    /// Version of the map that was sent last, when, and how often.
    plan: Option<(u64, unit::Millis, usize)>,
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
        let plans = self.plans(agent, now);
        let status = self.status(agent, now);
        let choices = self.choices(agent, now);
        status.into_iter().chain(plans).chain(choices).collect()
    }

    fn status(&mut self, agent: &Agent, now: unit::Millis) -> Option<Message> {
        let status = agent.status(false, now)?;
        let news = self.told.as_ref().is_none_or(|told| is_news(told, &status));
        let switching = agent.is_switching() || agent.is_prepared();
        let interval = if switching { SWITCH_INTERVAL } else { INTERVAL };
        let all = now >= self.told_all_at + HEARTBEAT_INTERVAL;
        if !news && !all && now < self.told_at + interval {
            return None;
        }
        let to = if all || agent.is_leader(now) {
            self.told_all_at = now;
            self.agents.iter().copied().collect()
        } else {
            agent.listeners(now)
        };
        self.told_at = now;
        self.told = Some(status.clone());
        Some(Message { to, content: Content::Status(status) })
    }

    fn choices(&mut self, agent: &Agent, now: unit::Millis) -> Option<Message> {
        let to = agent.choices_to(now)?;
        let round = unit::Millis::new((agent.choices_in_round() / CHOICES_PER_MS) as u64);
        if now < self.choices_at + round.max(CHOICES_INTERVAL) {
            return None;
        }
        self.choices_at = now;
        Some(Message { to: vec![to], content: Content::Status(agent.status(true, now)?) })
    }

    /// Sends the map of the own change to the agents that lack it, in blocks: the first agent of
    /// each passes it on to the others.
    fn plans(&mut self, agent: &Agent, now: unit::Millis) -> Vec<Message> {
        let Some((change, mut lacking)) = agent.untold(now) else { return Vec::new() };
        let Some(group) = agent.group() else { return Vec::new() };
        let sent = self.plan.filter(|(version, ..)| *version == change.version);
        if lacking.is_empty() || sent.is_some_and(|(_, at, _)| now < at + PLAN_RETRY) {
            return Vec::new();
        }
        let times = sent.map_or(0, |(.., times)| times);
        self.plan = Some((change.version, now, times + 1));
        // Another agent relays at each try.
        let first = times % lacking.len();
        lacking.rotate_left(first);
        let block = (lacking.len() as f64).sqrt().ceil() as usize;
        let message = |block: &[SocketAddr]| {
            let (first, relay) = block.split_first()?;
            let plan = Plan { group: group.into(), change: change.clone(), relay: relay.to_vec() };
            Some(Message { to: vec![*first], content: Content::Plan(plan) })
        };
        lacking.chunks(block.max(1)).filter_map(message).collect()
    }
}

/// Passes a change on to the agents that it names.
pub fn relay(plan: Plan) -> Option<Message> {
    let Plan { group, change, relay } = plan;
    let content = Content::Plan(Plan { group, change, relay: Vec::new() });
    (!relay.is_empty()).then_some(Message { to: relay, content })
}

/// Whether other agents wait for what changed.
fn is_news(told: &Status, status: &Status) -> bool {
    let state = |r: &Report| (r.epoch, r.open, r.map, r.prepared, r.armed, r.held);
    state(&told.report) != state(&status.report)
        || told.change != status.change
        || told.has_map != status.has_map
}
