//! State of one rank: its maps, its loaded experts and the steps that it ran.

use std::collections::VecDeque;

use agateflow::plan::map;
use agateflow::unit;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::engine::orders::Orders;
use crate::engine::{Fencing, Order};

/// Maximum number of steps kept.
const HISTORY: usize = 4096;

/// An order to a rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Command {
    /// Loads the experts of a map.
    Prepare {
        /// Version of the map.
        version: u64,
        /// The map.
        map: map::Map,
    },
    /// Uses a prepared map from a step on.
    Commit {
        /// Version of the map.
        version: u64,
        /// First step.
        step: u64,
        /// Names of the ranks that take part.
        members: Vec<Box<str>>,
    },
    /// Leaves the group.
    Leave,
}

/// One step that a rank ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ran {
    /// The step.
    pub step: u64,
    /// Version of the map that the rank used.
    pub version: u64,
    /// Time that it worked.
    pub busy: unit::Micros,
    /// Names of the ranks that took part, as this one knew them.
    pub members: Vec<Box<str>>,
}

/// Published state of a rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// Name of the rank.
    pub rank: Box<str>,
    /// The next step that it takes part in.
    pub step: u64,
    /// Version of the map of that step, if the rank takes part in steps.
    pub version: Option<u64>,
    /// Versions whose experts are all loaded.
    pub prepared: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Commit {
    version: u64,
    step: u64,
    members: Vec<Box<str>>,
}

/// An expert by its layer and its index in the layer.
type Expert = (usize, usize);

/// One rank.
#[derive(Clone, Debug)]
pub struct Rank {
    pub name: Box<str>,
    pub speed: f64,
    pub step: u64,
    pub orders: Orders,
    pub ran: VecDeque<Ran>,
    maps: IndexMap<u64, map::Map>,
    loaded: IndexSet<Expert>,
    current: Option<Commit>,
    next: Option<Commit>,
}

/// What a rank does in a step.
#[derive(Clone, Debug)]
pub struct Turn {
    pub map: map::Map,
    pub ran: Ran,
}

impl Rank {
    /// Creates a rank that takes part in no step.
    pub fn new(name: &str, speed: f64, fencing: Fencing) -> Self {
        Self {
            name: name.into(),
            speed,
            step: 0,
            orders: Orders::new(fencing),
            ran: VecDeque::new(),
            maps: IndexMap::new(),
            loaded: IndexSet::new(),
            current: None,
            next: None,
        }
    }

    /// Clears everything but its orders, as when its process ends.
    pub fn reset(&mut self) {
        let orders = self.orders.clone();
        *self = Self { orders, ..Self::new(&self.name, self.speed, Fencing::Checked) };
    }

    /// Accepts an order, or returns the newer fencing token that rejects it.
    pub fn accept(&mut self, order: Order, command: Command) -> Result<(), u64> {
        self.orders.accept(order)?;
        match command {
            Command::Prepare { version, map } => {
                self.maps.insert(version, map);
            }
            Command::Commit { version, step, members } => {
                self.next = Some(Commit { version, step, members });
            }
            Command::Leave => {
                self.current = None;
                self.next = None;
            }
        }
        Ok(())
    }

    /// An expert that a map needs and that is not loaded.
    pub fn missing(&self) -> Option<Expert> {
        let experts = self.maps.values().flat_map(|map| self.experts(map));
        experts.into_iter().find(|expert| !self.loaded.contains(expert))
    }

    /// Records that an expert is loaded.
    pub fn load(&mut self, expert: Expert) {
        self.loaded.insert(expert);
    }

    /// The next step, if the rank takes part in it.
    pub fn turn(&mut self) -> Option<Turn> {
        let joins = self.current.is_none();
        if let Some(next) = self.next.take_if(|next| joins || next.step <= self.step) {
            self.step = self.step.max(next.step);
            self.current = Some(next);
        }
        let current = self.current.as_ref()?;
        let map = self.maps.get(&current.version).cloned().unwrap_or_default();
        let ran = Ran {
            step: self.step,
            version: current.version,
            busy: unit::Micros::ZERO,
            members: current.members.clone(),
        };
        Some(Turn { map, ran })
    }

    /// Records that a step is complete.
    pub fn complete(&mut self, ran: Ran) {
        self.step = ran.step + 1;
        if self.ran.len() >= HISTORY {
            self.ran.pop_front();
        }
        self.ran.push_back(ran);
    }

    /// The published state.
    pub fn status(&self) -> Status {
        let prepared = self.maps.keys().copied().filter(|&version| self.has_loaded(version));
        Status {
            rank: self.name.clone(),
            step: self.step,
            version: self.current.as_ref().map(|commit| commit.version),
            prepared: prepared.collect(),
        }
    }

    /// Whether a map is known and all its experts are loaded.
    pub fn has_loaded(&self, version: u64) -> bool {
        let is_loaded = |map| self.experts(map).iter().all(|expert| self.loaded.contains(expert));
        self.maps.get(&version).is_some_and(is_loaded)
    }

    fn experts(&self, map: &map::Map) -> Vec<Expert> {
        let mut own = Vec::new();
        for (layer, content) in map.layers.iter().enumerate() {
            for (expert, replicas) in content.experts.iter().enumerate() {
                if replicas.iter().any(|replica| replica.rank == self.name) {
                    own.push((layer, expert));
                }
            }
        }
        own
    }
}
