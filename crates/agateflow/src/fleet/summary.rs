//! Summaries of the load of each data centre's groups, for the other data centres.
//!
//! A few relays in each data centre send its summary to one entry of each other data centre. There
//! it is forwarded along a tree of entries: each one splits its range of names among its children.

use indexmap::IndexMap;
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::message;
use crate::{id, unit};

/// Number of entries per data centre that send its summaries.
pub const RELAYS: usize = 2;
/// Interval at which a relay sends summaries.
pub const INTERVAL: unit::Millis = unit::Millis::new(20_000);
/// Age at which a group's report is removed.
pub const EXPIRY: unit::Millis = unit::Millis::new(60_000);
/// Time without a summary after which a data centre's processes may have missed gossip items.
pub const RESEND_AFTER: unit::Millis = unit::Millis::new(50_000);
/// Maximum number of groups in one message.
pub const MAX_GROUPS: usize = 16;
/// Maximum number of contacts in one message.
pub const MAX_CONTACTS: usize = 3;
/// Maximum number of children of an entry in the forwarding tree.
pub const FANOUT: usize = 4;
const MAX_DATA_CENTRES: usize = 64;
const MAX_GROUPS_HELD: usize = 1_024; // per data centre

/// Load of one group or plain service in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Name of the group or service.
    pub name: Box<str>,
    /// Members that accept new work.
    pub serving: u16,
    /// Members that are draining.
    pub leaving: u16,
    /// Requests being processed.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Total estimated processing time of the members' queues, in milliseconds.
    pub queued_ms: u32,
    /// Total of the members' rates, see [`message::Load::rate`].
    pub rate: u32,
}

impl Group {
    /// Creates the summary of a group without members.
    pub fn new(name: &str) -> Self {
        let name = name.into();
        Self { name, serving: 0, leaving: 0, running: 0, waiting: 0, queued_ms: 0, rate: 0 }
    }

    /// Adds the state and load of one member.
    pub fn add(&mut self, state: message::State, load: &message::Load) {
        match state {
            message::State::Serving => self.serving = self.serving.saturating_add(1),
            message::State::Leaving => self.leaving = self.leaving.saturating_add(1),
            message::State::Starting => {}
        }
        self.running = self.running.saturating_add(load.running.into());
        self.waiting = self.waiting.saturating_add(load.waiting.into());
        self.queued_ms = self.queued_ms.saturating_add(load.queued_ms);
        self.rate = self.rate.saturating_add(load.rate);
    }
}

/// One message of a data centre's summary, which may span several.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The relay that created it.
    pub origin: id::Incarnation,
    /// Counter of the relay's summaries, shared by all messages of one summary.
    pub version: u64,
    /// The data centre that it describes.
    pub data_centre: id::DataCentre,
    /// First and last name of the entries that the receiver forwards it to; `None` for all.
    pub range: Option<(Box<str>, Box<str>)>,
    /// Some entries of the described data centre.
    pub contacts: Box<[message::Contact]>,
    /// Some groups of the described data centre.
    pub groups: Box<[Group]>,
}

/// The last known load of a group.
#[derive(Clone, Debug)]
pub struct Report {
    /// Load as summed up by the relay.
    pub group: Group,
    /// Time of arrival on this process's clock.
    pub received_at: unit::Millis,
}

/// The last known state of another data centre.
#[derive(Clone, Debug, Default)]
pub struct DataCentre {
    /// Reports by group name.
    pub groups: IndexMap<Box<str>, Report>,
    /// Some entries of the data centre.
    pub contacts: Vec<message::Contact>,
    received_at: Option<unit::Millis>,
    versions: IndexMap<id::Incarnation, u64>,
}

/// The last known state of all other data centres.
#[derive(Clone, Debug, Default)]
pub struct Table {
    data_centres: IndexMap<id::DataCentre, DataCentre>,
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a summary, unless it is older than the last one of the same relay.
    pub fn record(&mut self, summary: &Summary, now: unit::Millis) {
        let known = self.data_centres.contains_key(&summary.data_centre);
        if !known && self.data_centres.len() >= MAX_DATA_CENTRES {
            return;
        }
        let data_centre = self.data_centres.entry(summary.data_centre.clone()).or_default();
        let last = data_centre.versions.get(&summary.origin).copied().unwrap_or(0);
        if summary.version < last {
            return;
        }
        data_centre.received_at = Some(now);
        data_centre.versions.shift_remove(&summary.origin);
        if data_centre.versions.len() > 2 * RELAYS {
            data_centre.versions.shift_remove_index(0);
        }
        data_centre.versions.insert(summary.origin, summary.version);
        data_centre.merge_contacts(&summary.contacts);
        for group in &summary.groups {
            let full = data_centre.groups.len() >= MAX_GROUPS_HELD;
            if !full || data_centre.groups.contains_key(&group.name) {
                let report = Report { group: group.clone(), received_at: now };
                data_centre.groups.insert(group.name.clone(), report);
            }
        }
    }

    /// Removes reports older than [`EXPIRY`]. Contacts stay, to reach the data centre again.
    pub fn expire(&mut self, now: unit::Millis) {
        for data_centre in self.data_centres.values_mut() {
            data_centre.groups.retain(|_, r| now.saturating_sub(r.received_at) < EXPIRY);
        }
    }

    /// Whether no summary of `name` has arrived for [`RESEND_AFTER`].
    pub fn is_silent(&self, name: &id::DataCentre, now: unit::Millis) -> bool {
        let received_at = self.data_centres.get(name).and_then(|known| known.received_at);
        received_at.is_none_or(|at| now.saturating_sub(at) >= RESEND_AFTER)
    }

    /// The last known state of `name`.
    pub fn get(&self, name: &id::DataCentre) -> Option<&DataCentre> {
        self.data_centres.get(name)
    }

    /// All known other data centres.
    pub fn iter(&self) -> impl Iterator<Item = (&id::DataCentre, &DataCentre)> {
        self.data_centres.iter()
    }
}

impl DataCentre {
    fn merge_contacts(&mut self, contacts: &[message::Contact]) {
        for contact in contacts {
            self.contacts.retain(|known| known.name != contact.name);
            self.contacts.push(contact.clone());
        }
        let excess = self.contacts.len().saturating_sub(4 * MAX_CONTACTS);
        self.contacts.drain(..excess);
    }
}

/// Splits the sorted `names` into at most [`FANOUT`] ranges. Returns a random child of each range
/// with the range's first and last name, which include the child.
pub fn split<'a>(names: &[&'a str], rng: &mut impl Rng) -> Vec<(&'a str, &'a str, &'a str)> {
    let share = names.len().div_ceil(FANOUT).max(1);
    let shares = names.chunks(share);
    shares.map(|s| (s[rng.random_range(0..s.len())], s[0], s[s.len() - 1])).collect()
}
