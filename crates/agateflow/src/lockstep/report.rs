//! What a rank reports, what it is ordered, and what agents tell each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::unit;

/// Experts by set and rank.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Map(pub Vec<Vec<Vec<u16>>>);

/// A switch that a rank is set to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Armed {
    /// Version of the map.
    pub version: u64,
    /// Pass at whose beginning the rank switches.
    pub step: u64,
}

/// State of a rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Its group.
    pub group: Box<str>,
    /// Number of the group's present form; a new form begins with map 0.
    pub epoch: u64,
    /// Its place in the group.
    pub rank: u32,
    /// Ranks of the group.
    pub size: u32,
    /// Whether the group serves.
    pub open: bool,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Last pass that was begun.
    pub step: u64,
    /// Version of the map in use.
    pub map: u64,
    /// Version that is prepared.
    pub prepared: Option<u64>,
    /// Switch that the rank is set to.
    pub armed: Option<Armed>,
    /// Pass that the rank holds.
    pub held: Option<u64>,
    /// Experts that the rank holds by the map in use, by set.
    pub experts: Vec<Vec<u16>>,
    /// Requests that run.
    pub active: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// An order to a rank. Each names the group's form, so that it is refused in another.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Copy the experts of a map.
    Prepare {
        /// The group's form.
        epoch: u64,
        /// Version of the map.
        version: u64,
        /// The map.
        map: Map,
    },
    /// Switch to a prepared map as a pass begins.
    Arm {
        /// The group's form.
        epoch: u64,
        /// Map and pass.
        armed: Armed,
    },
    /// Do not begin a pass.
    Hold {
        /// The group's form.
        epoch: u64,
        /// The pass.
        step: u64,
    },
    /// Begin the held pass.
    Go {
        /// The group's form.
        epoch: u64,
        /// The pass.
        step: u64,
    },
}

/// A change of the map in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The group's form.
    pub epoch: u64,
    /// Version of the map.
    pub version: u64,
    /// The map; empty where only its version is known any more.
    pub map: Map,
    /// Pass that is held, once it is.
    pub step: Option<u64>,
}

impl Change {
    /// The change without its map, which is long.
    pub fn without_map(&self) -> Self {
        Self { epoch: self.epoch, version: self.version, map: Map::default(), step: self.step }
    }
}

/// A change with its map, on the way to the agents that lack it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The group.
    pub group: Box<str>,
    /// The change.
    pub change: Change,
    /// Agents that the receiver passes it on to.
    pub relay: Vec<SocketAddr>,
}

/// Decayed choices of experts, set after set, as parts of the most chosen one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choices {
    /// Choices that one unit stands for.
    pub unit: f32,
    /// Choices in units.
    pub units: Vec<u8>,
}

/// What an agent tells the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// Where the agent hears others.
    pub address: SocketAddr,
    /// Its rank's state.
    pub report: Report,
    /// Age of the report when it was sent.
    pub age: unit::Millis,
    /// Highest version that the agent knows of.
    pub top: u64,
    /// The change in progress, without its map.
    pub change: Option<Change>,
    /// Whether the agent has the map of the change.
    pub has_map: bool,
    /// Choices by the requests of the rank and of those that it gathers for, where they are told.
    pub demand: Option<Choices>,
}
