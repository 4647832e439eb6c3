//! Schedules messages to the other agents of the group.
//!
//! Every agent sends all others a periodic heartbeat. Updates go at once to the agents that need
//! them: the leaders, one of which is the coordinator, and these broadcast theirs. The map of a
//! change is sent once to each agent through relays, and expert load is aggregated on the way. So
//! the message count per agent grows linearly with the group, not quadratically.

use std::net::SocketAddr;

use indexmap::IndexSet;

use super::agent::Agent;
use super::report::{Plan, Report, Status};
use crate::unit;

/// Time between two unchanged statuses to agents that need updates.
const STATUS_INTERVAL: unit::Millis = unit::Millis::new(300);

/// The same during or shortly before a hold: silence makes others act.
const SWITCH_STATUS_INTERVAL: unit::Millis = unit::Millis::new(45);

/// Time between two statuses to all agents.
const HEARTBEAT_INTERVAL: unit::Millis = unit::Millis::new(700);

/// Minimum time between two load messages.
const LOAD_INTERVAL: unit::Millis = unit::Millis::new(45);

/// Load values, of a byte each, that the coordinator handles in a ms.
const LOAD_VALUES_PER_MS: usize = 200;

/// Delay before a map is resent to agents that don't report having it.
const PLAN_RETRY_INTERVAL: unit::Millis = unit::Millis::new(200);

/// Content of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Payload {
    /// Its status.
    Status(Status),
    /// A change with its map.
    Plan(Plan),
}

/// A message and its recipients.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Addresses of the recipients.
    pub to: Vec<SocketAddr>,
    /// Its content.
    pub payload: Payload,
}

/// Schedules messages to peers.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    agents: IndexSet<SocketAddr>,
    last_status: Option<Status>,
    last_status_at: unit::Millis,
    last_broadcast_at: unit::Millis,
    last_load_at: unit::Millis,
    /// Version of the last map sent, when, and how often.
    last_plan: Option<(u64, unit::Millis, usize)>,
}

impl Outbox {
    /// Creates an outbox without peers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds agents of the group.
    pub fn add_peers(&mut self, agents: impl IntoIterator<Item = SocketAddr>) {
        self.agents.extend(agents);
    }

    /// Returns all due messages.
    pub fn due_messages(&mut self, agent: &Agent, now: unit::Millis) -> Vec<Message> {
        let plan_messages = self.plan_messages(agent, now);
        let status = self.status_message(agent, now);
        let load_message = self.load_message(agent, now);
        status.into_iter().chain(plan_messages).chain(load_message).collect()
    }

    fn status_message(&mut self, agent: &Agent, now: unit::Millis) -> Option<Message> {
        let status = agent.status(false, now)?;
        let changed =
            self.last_status.as_ref().is_none_or(|last_status| has_changed(last_status, &status));
        let switching = agent.is_switching() || agent.is_prepared();
        let interval = if switching { SWITCH_STATUS_INTERVAL } else { STATUS_INTERVAL };
        let broadcast = now >= self.last_broadcast_at + HEARTBEAT_INTERVAL;
        if !changed && !broadcast && now < self.last_status_at + interval {
            return None;
        }
        let to = if broadcast || agent.is_leader(now) {
            self.last_broadcast_at = now;
            self.agents.iter().copied().collect()
        } else {
            agent.listeners(now)
        };
        self.last_status_at = now;
        self.last_status = Some(status.clone());
        Some(Message { to, payload: Payload::Status(status) })
    }

    fn load_message(&mut self, agent: &Agent, now: unit::Millis) -> Option<Message> {
        let to = agent.load_recipient(now)?;
        let processing_time =
            unit::Millis::new((agent.load_values_per_round() / LOAD_VALUES_PER_MS) as u64);
        if now < self.last_load_at + processing_time.max(LOAD_INTERVAL) {
            return None;
        }
        self.last_load_at = now;
        Some(Message { to: vec![to], payload: Payload::Status(agent.status(true, now)?) })
    }

    /// Sends the map of the current change to agents that lack it, in blocks whose first agent
    /// forwards it.
    fn plan_messages(&mut self, agent: &Agent, now: unit::Millis) -> Vec<Message> {
        let Some((change, mut lacking)) = agent.change_to_send(now) else { return Vec::new() };
        let Some(group) = agent.group_name() else { return Vec::new() };
        let sent = self.last_plan.filter(|(version, ..)| *version == change.version);
        if lacking.is_empty() || sent.is_some_and(|(_, at, _)| now < at + PLAN_RETRY_INTERVAL) {
            return Vec::new();
        }
        let attempts = sent.map_or(0, |(.., attempts)| attempts);
        self.last_plan = Some((change.version, now, attempts + 1));
        // Each attempt uses other relays.
        let first = attempts % lacking.len();
        lacking.rotate_left(first);
        let block_size = (lacking.len() as f64).sqrt().ceil() as usize;
        let message = |members: &[SocketAddr]| {
            let (first, relay) = members.split_first()?;
            let plan = Plan { group: group.into(), change: change.clone(), relay: relay.to_vec() };
            Some(Message { to: vec![*first], payload: Payload::Plan(plan) })
        };
        lacking.chunks(block_size.max(1)).filter_map(message).collect()
    }
}

/// Forwards a change to the agents listed in it.
pub fn relay(plan: Plan) -> Option<Message> {
    let Plan { group, change, relay } = plan;
    let payload = Payload::Plan(Plan { group, change, relay: Vec::new() });
    (!relay.is_empty()).then_some(Message { to: relay, payload })
}

/// Whether others wait for what changed.
fn has_changed(last_status: &Status, status: &Status) -> bool {
    let state = |r: &Report| (r.epoch, r.open, r.map, r.prepared, r.armed, r.held);
    state(&last_status.report) != state(&status.report)
        || last_status.change != status.change
        || last_status.has_map != status.has_map
        || last_status.max_hold != status.max_hold
}
