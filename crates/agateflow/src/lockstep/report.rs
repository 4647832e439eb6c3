//! Rank reports, orders to ranks, and messages between agents.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::unit;

/// Experts by set and rank.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Map(pub Vec<Vec<Vec<u16>>>);

/// A rank's scheduled switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Armed {
    /// Version of the map.
    pub version: u64,
    /// Pass at whose start the rank switches.
    pub step: u64,
}

/// State of a rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Group name.
    pub group: Box<str>,
    /// Number of the group's incarnation; each starts with map 0.
    pub epoch: u64,
    /// Its index in the group.
    pub rank: u32,
    /// Ranks in the group.
    pub size: u32,
    /// Whether the group serves.
    pub open: bool,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Last pass started.
    pub step: u64,
    /// Version of the map in use.
    pub map: u64,
    /// Prepared map version.
    pub prepared: Option<u64>,
    /// The scheduled switch, if any.
    pub armed: Option<Armed>,
    /// Pass that the rank holds.
    pub held: Option<u64>,
    /// Experts on the rank under the map in use, by set.
    pub experts: Vec<Vec<u16>>,
    /// Running requests.
    pub active: u32,
    /// Waiting requests.
    pub queued: u32,
}

/// An order to a rank. The epoch makes other incarnations of the group refuse it.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Copy the experts of a map.
    Prepare {
        /// The group's epoch.
        epoch: u64,
        /// Version of the map.
        version: u64,
        /// The map.
        map: Map,
    },
    /// Switch to a prepared map as a pass starts.
    Arm {
        /// The group's epoch.
        epoch: u64,
        /// Map and pass.
        armed: Armed,
    },
    /// Don't switch to a map that the rank is armed for.
    Disarm {
        /// The group's epoch.
        epoch: u64,
        /// Version of the map.
        version: u64,
    },
    /// Don't start a pass.
    Hold {
        /// The group's epoch.
        epoch: u64,
        /// The pass.
        step: u64,
    },
    /// Start the held pass.
    Go {
        /// The group's epoch.
        epoch: u64,
        /// The pass.
        step: u64,
    },
}

/// A map change in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The group's epoch.
    pub epoch: u64,
    /// Version of the map.
    pub version: u64,
    /// The map; empty if only its version is known.
    pub map: Map,
    /// Held pass, once known.
    pub step: Option<u64>,
}

impl Report {
    /// Latest version that the rank has prepared or uses: it prepares only later ones.
    pub fn latest_version(&self) -> u64 {
        self.map.max(self.prepared.unwrap_or(0))
    }
}

impl Change {
    /// Copies the change without its large map.
    pub fn without_map(&self) -> Self {
        Self { epoch: self.epoch, version: self.version, map: Map::default(), step: self.step }
    }
}

/// A change with its map, sent to agents that lack it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Group name.
    pub group: Box<str>,
    /// The change.
    pub change: Change,
    /// Agents to which the receiver forwards it.
    pub relay: Vec<SocketAddr>,
}

/// Decayed expert selections, set after set, quantized to 8 bits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Selections per unit.
    pub unit: f32,
    /// Counts in units.
    pub units: Vec<u8>,
}

/// An agent's status message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// Its receiving address.
    pub address: SocketAddr,
    /// The rank's state.
    pub report: Report,
    /// Age of the report when it was sent.
    #[serde(rename = "age")]
    pub report_age: unit::Millis,
    /// Highest version known to the agent.
    #[serde(rename = "top")]
    pub max_version: u64,
    /// Latest pass that the agent knows to have been held in this epoch.
    #[serde(rename = "hold")]
    pub max_hold: u64,
    /// The change in progress, without its map.
    pub change: Option<Change>,
    /// Whether the agent has the map of the change.
    pub has_map: bool,
    /// Expert load of the rank and those it aggregates, if included.
    pub demand: Option<Load>,
}
