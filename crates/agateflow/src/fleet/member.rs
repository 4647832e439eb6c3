//! Membership of one data centre, as observed by one process.
//!
//! Only missing heartbeats or a refused connection make a member suspect, and only for the process
//! that observed them. The platform's list of VMs is no evidence of whether a process runs.

use std::collections::VecDeque;
use std::net;
use std::sync::Arc;

use indexmap::IndexMap;
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::message;
use crate::{id, unit};

/// Maximum number of members in the table.
pub const MAX_MEMBERS: usize = 4_096;
/// Maximum number of replaced incarnations remembered per name.
pub const MAX_RETIRED: usize = 4;
/// Time without a heartbeat after which a member is removed.
pub const EXPIRY: unit::Millis = unit::Millis::new(600_000);

/// The last known state of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the process.
    pub sender: message::Sender,
    /// Control address of the process.
    pub address: net::SocketAddr,
    /// Whether it accepts new work. `Leaving` is final for an incarnation.
    pub state: message::State,
    /// The last heartbeat received.
    #[serde(rename = "beat")]
    pub heartbeat: message::Heartbeat,
    /// Sequence number of the last heartbeat.
    pub sequence: u64,
    /// The highest revision that it reported as in force.
    pub revision: unit::Revision,
    /// Tag of that revision's document.
    pub tag: u32,
    /// When the last heartbeat arrived, on this process's clock.
    #[serde(rename = "heard")]
    pub received_at: unit::Millis,
    /// Whether it has refused a connection since its last heartbeat.
    #[serde(rename = "refused")]
    pub refused_connection: bool,
}

impl Member {
    /// Whether the member is considered alive at `now`.
    pub fn is_live(&self, now: unit::Millis) -> bool {
        let timeout = match self.sender.role {
            message::Role::Entry => super::ENTRY_HEARTBEAT_TIMEOUT,
            message::Role::Upstream => super::UPSTREAM_HEARTBEAT_TIMEOUT,
        };
        !self.refused_connection && now.saturating_sub(self.received_at) < timeout
    }

    /// Whether new work may be sent to the member at `now`.
    pub fn takes_work(&self, now: unit::Millis) -> bool {
        self.is_live(now) && self.state == message::State::Serving
    }
}

/// The effect of a heartbeat on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The member is new or was suspected.
    Joined,
    /// A new incarnation replaced the known one.
    Replaced,
    /// A newer heartbeat of a live member.
    Updated,
    /// Ignored: duplicate, late or reordered.
    Late,
    /// Ignored: sent by a replaced incarnation.
    Superseded,
    /// Ignored: the table is full.
    Full,
}

/// The members known to a process.
#[derive(Clone, Debug, Default)]
pub struct Table {
    members: IndexMap<id::Vm, Arc<Member>>,
    retired: IndexMap<id::Vm, VecDeque<id::Incarnation>>,
    names_by_short: IndexMap<u64, id::Vm>, // keyed by the lower 64 bits of the incarnation
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the heartbeat in `message`, received from `address` at `now`.
    pub fn record_heartbeat(
        &mut self,
        message: &message::Message,
        heartbeat: message::Heartbeat,
        address: net::SocketAddr,
        now: unit::Millis,
    ) -> Change {
        let change = self.classify(message, now);
        match change {
            Change::Late | Change::Superseded | Change::Full => return change,
            Change::Replaced => self.retire(&message.sender.name),
            Change::Joined | Change::Updated => {}
        }
        let member = Member {
            sender: message.sender.clone(),
            address,
            state: self.effective_state(message),
            heartbeat,
            sequence: message.sequence,
            revision: message.revision,
            tag: message.tag,
            received_at: now,
            refused_connection: false,
        };
        let short = message.sender.incarnation.get() as u64;
        self.names_by_short.insert(short, message.sender.name.clone());
        self.members.insert(message.sender.name.clone(), Arc::new(member));
        change
    }

    fn classify(&self, message: &message::Message, now: unit::Millis) -> Change {
        let sender = &message.sender;
        let Some(known) = self.members.get(&sender.name) else {
            return if self.members.len() < MAX_MEMBERS { Change::Joined } else { Change::Full };
        };
        let retired = self.retired.get(&sender.name);
        if retired.is_some_and(|retired| retired.contains(&sender.incarnation)) {
            return Change::Superseded;
        }
        if known.sender.incarnation != sender.incarnation {
            let order = |s: &message::Sender| (s.started, s.incarnation);
            let newer = order(sender) > order(&known.sender);
            // A VM's clock may have stepped back, so a silent process is replaced by any other.
            return if newer || !known.is_live(now) {
                Change::Replaced
            } else {
                Change::Superseded
            };
        }
        match message.sequence > known.sequence {
            false => Change::Late,
            true if known.is_live(now) => Change::Updated,
            true => Change::Joined,
        }
    }

    fn effective_state(&self, message: &message::Message) -> message::State {
        let known = self.members.get(&message.sender.name);
        let same = known.filter(|m| m.sender.incarnation == message.sender.incarnation);
        match same.map(|m| m.state) {
            Some(message::State::Leaving) => message::State::Leaving,
            _ => message.state,
        }
    }

    fn retire(&mut self, name: &id::Vm) {
        let Some(known) = self.members.get(name) else { return };
        self.names_by_short.swap_remove(&(known.sender.incarnation.get() as u64));
        let retired = self.retired.entry(name.clone()).or_default();
        retired.push_back(known.sender.incarnation);
        if retired.len() > MAX_RETIRED {
            retired.pop_front();
        }
    }

    /// Updates a known member's revision and state from the header of any message.
    pub fn record_header(&mut self, message: &message::Message) {
        let state = self.effective_state(message);
        let Some(member) = self.members.get_mut(&message.sender.name) else { return };
        if member.sender.incarnation != message.sender.incarnation {
            return;
        }
        let newer = (message.revision, message.tag) > (member.revision, member.tag);
        if newer || state == message::State::Leaving {
            let member = Arc::make_mut(member);
            member.state = state;
            member.revision = member.revision.max(message.revision);
            member.tag = if newer { message.tag } else { member.tag };
        }
    }

    /// Marks `name` as suspect until its next heartbeat, because it refused a connection.
    pub fn mark_refused(&mut self, name: &id::Vm, incarnation: id::Incarnation) {
        let known = self.members.get_mut(name);
        if let Some(member) = known.filter(|m| m.sender.incarnation == incarnation) {
            Arc::make_mut(member).refused_connection = true;
        }
    }

    /// Removes members without a heartbeat for [`EXPIRY`].
    pub fn expire(&mut self, now: unit::Millis) {
        self.members.retain(|_, m| now.saturating_sub(m.received_at) < EXPIRY);
        self.retired.retain(|name, _| self.members.contains_key(name));
        self.names_by_short.retain(|_, name| self.members.contains_key(name));
    }

    /// Resolves the sender of brief messages from the lower 64 bits of its incarnation.
    pub fn sender(&self, short: u64) -> Option<&message::Sender> {
        let member = self.get(self.names_by_short.get(&short)?)?;
        (member.sender.incarnation.get() as u64 == short).then_some(&member.sender)
    }

    /// The member `name`, live or not.
    pub fn get(&self, name: &id::Vm) -> Option<&Member> {
        self.members.get(name).map(AsRef::as_ref)
    }

    /// All known members, live or not.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.values()
    }

    /// The members with `role` that are considered alive at `now`.
    pub fn live(&self, role: message::Role, now: unit::Millis) -> impl Iterator<Item = &Member> {
        let members = self.members.values().map(AsRef::as_ref);
        members.filter(move |m: &&Member| m.sender.role == role && m.is_live(now))
    }

    /// The address of a random suspect member, for a probe.
    pub fn pick_silent(&self, now: unit::Millis, rng: &mut impl Rng) -> Option<net::SocketAddr> {
        let silent: Vec<_> = self.members.values().filter(|m| !m.is_live(now)).collect();
        let index = (!silent.is_empty()).then(|| rng.random_range(0..silent.len()))?;
        silent.get(index).map(|m| m.address)
    }
}
