//! Events and group state that agents log.

use super::agent::{Agent, STATUS_TTL};
use super::report::Change;
use crate::unit;

/// A logged event of the agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A change was planned.
    Planned {
        /// Map version.
        version: u64,
        /// Sum of the sets' highest rank loads, current map.
        load_before: f64,
        /// The same for the planned map.
        load_after: f64,
        /// Lower bound for any map.
        lower_bound: f64,
        /// Most experts that are new to a rank.
        max_copies: usize,
        /// Number of rank loads computed.
        evaluations: usize,
        /// Mean pass time in milliseconds, if known.
        pass_ms: Option<f64>,
        /// Fraction of load that had to be saved.
        min_saving: f64,
    },
    /// A change is in use.
    Applied {
        /// Map version.
        version: u64,
    },
    /// The map in use replaces a change that a rank can't switch to.
    Reinstated {
        /// New version of the map in use.
        version: u64,
        /// The held pass.
        step: u64,
    },
    /// A hold without a known change was found.
    HoldFound {
        /// The held pass.
        step: u64,
    },
    /// A hold took effect after the pass of the change was set.
    LateHold {
        /// The held pass.
        step: u64,
        /// Map version of the change.
        version: u64,
        /// Pass of the change.
        change_step: u64,
    },
}

/// The agent's view of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Number of ranks.
    pub size: u32,
    /// Number of live agents, including this one.
    pub live_agents: usize,
    /// Age of the oldest status.
    pub oldest_status_age: unit::Millis,
    /// Version of this rank's map.
    pub map: u64,
    /// Version of the change in progress.
    pub change: Option<u64>,
    /// Ranks known to have prepared it.
    pub prepared: usize,
    /// Its held pass.
    pub step: Option<u64>,
}

impl Agent {
    /// The group's state, once known.
    pub fn summary(&self, now: unit::Millis) -> Option<Summary> {
        let (own, _) = self.report.as_ref()?;
        let ages = self.peers.values().map(|peer| now.saturating_sub(peer.heard_at));
        let prepared = |change: &Change| {
            let reports = self.peers.values().map(|peer| &peer.status.report);
            let reports = reports.chain([&**own]);
            reports.filter(|report| report.prepared == Some(change.version)).count()
        };
        Some(Summary {
            size: own.size,
            live_agents: ages.clone().filter(|age| *age < STATUS_TTL).count() + 1,
            oldest_status_age: ages.max().unwrap_or(unit::Millis::ZERO),
            map: own.map,
            change: self.change.as_ref().map(|change| change.version),
            prepared: self.change.as_ref().map_or(0, prepared),
            step: self.change.as_ref().and_then(|change| change.step),
        })
    }
}
