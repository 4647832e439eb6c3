//! Input of the planner: ranks, loads, the current map and the weights.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::plan::map;

/// Maximum slots of a layer over all ranks.
pub const MAX_SLOTS: usize = 1 << 20;

/// A rank of the group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rank {
    /// Name of the rank, unique in the group.
    pub name: Box<str>,
    /// Speed in load units per second.
    pub speed: f64,
    /// Maximum replicas that the rank holds in each layer.
    pub slots: usize,
}

/// One layer of the model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Layer {
    /// Load of each expert in load units per step.
    pub load: Vec<f64>,
}

/// Weights of a deployment's objective.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of the mean skew.
    pub skew: f64,
    /// Weight of the fraction of slots that move.
    pub moves: f64,
}

/// One planning problem.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Problem {
    /// The ranks.
    pub ranks: Vec<Rank>,
    /// The layers.
    pub layers: Vec<Layer>,
    /// The current map.
    #[serde(default)]
    pub current: Option<map::Map>,
    /// The weights of the objective.
    pub weights: Weights,
}

/// Why a problem cannot be planned, or why a map does not fit its problem.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is not a valid document.
    #[error("read plan: {0}")]
    Syntax(Box<str>),
    /// The problem has no ranks.
    #[error("no ranks")]
    NoRanks,
    /// The problem has no layers.
    #[error("no layers")]
    NoLayers,
    /// A layer has no experts.
    #[error("layer {layer} has no experts")]
    NoExperts {
        /// The layer.
        layer: usize,
    },
    /// A rank has no name.
    #[error("rank {rank} has an empty name")]
    EmptyName {
        /// Position of the rank.
        rank: usize,
    },
    /// Two ranks have the same name.
    #[error("rank {name:?} is declared twice")]
    DuplicateRank {
        /// The name.
        name: Box<str>,
    },
    /// A speed is not a finite number above zero.
    #[error("speed {speed} of rank {name:?} is not a finite number above 0")]
    Speed {
        /// The rank.
        name: Box<str>,
        /// Its speed.
        speed: f64,
    },
    /// A load is negative or not finite.
    #[error("load {load} of expert {expert} in layer {layer} is not a finite number of at least 0")]
    Load {
        /// The layer.
        layer: usize,
        /// The expert.
        expert: usize,
        /// Its load.
        load: f64,
    },
    /// The sum of loads or of speeds, or their ratio, overflows an `f64`.
    #[error("total {0} is out of range")]
    OutOfRange(&'static str),
    /// A weight is negative or not finite.
    #[error("weight {name} is {weight}, not a finite number of at least 0")]
    Weight {
        /// Name of the weight.
        name: &'static str,
        /// Its value.
        weight: f64,
    },
    /// The ranks have fewer slots than a layer has experts.
    #[error("{slots} slots cannot hold the {experts} experts of layer {layer}")]
    TooFewSlots {
        /// The layer.
        layer: usize,
        /// Slots over all ranks, at most one for each expert on a rank.
        slots: usize,
        /// Experts of the layer.
        experts: usize,
    },
    /// The ranks have more than [`MAX_SLOTS`] slots.
    #[error("{slots} slots are more than {MAX_SLOTS}")]
    TooManySlots {
        /// Slots over all ranks.
        slots: usize,
    },
    /// A map and its problem differ in the number of layers.
    #[error("the map has {found} layers where {expected} are expected")]
    LayerCount {
        /// Layers of the map.
        found: usize,
        /// Layers of the problem.
        expected: usize,
    },
    /// A layer of a map and of its problem differ in the number of experts.
    #[error("layer {layer} of the map has {found} experts where {expected} are expected")]
    ExpertCount {
        /// The layer.
        layer: usize,
        /// Experts in the map.
        found: usize,
        /// Experts in the problem.
        expected: usize,
    },
    /// A map refers to a rank that is not declared.
    #[error("expert {expert} in layer {layer} of the map is on unknown rank {name:?}")]
    UnknownRank {
        /// The layer.
        layer: usize,
        /// The expert.
        expert: usize,
        /// The name.
        name: Box<str>,
    },
    /// An expert has no replica.
    #[error("expert {expert} in layer {layer} of the map has no replica")]
    Uncovered {
        /// The layer.
        layer: usize,
        /// The expert.
        expert: usize,
    },
    /// A rank holds an expert twice.
    #[error("rank {name:?} holds expert {expert} in layer {layer} of the map twice")]
    DuplicateExpert {
        /// The layer.
        layer: usize,
        /// The expert.
        expert: usize,
        /// The rank.
        name: Box<str>,
    },
    /// A rank holds more experts than it has slots.
    #[error("rank {name:?} holds {held} experts in layer {layer} of the map but has {slots} slots")]
    TooManyExperts {
        /// The layer.
        layer: usize,
        /// The rank.
        name: Box<str>,
        /// Experts held.
        held: usize,
        /// Slots of the rank.
        slots: usize,
    },
    /// A share is outside 0 to 1.
    #[error("share {share} of expert {expert} in layer {layer} of the map is not within 0 to 1")]
    Share {
        /// The layer.
        layer: usize,
        /// The expert.
        expert: usize,
        /// The share.
        share: f64,
    },
    /// The shares of an expert do not sum to 1.
    #[error("shares of expert {expert} in layer {layer} of the map sum to {sum}, not 1")]
    ShareSum {
        /// The layer.
        layer: usize,
        /// The expert.
        expert: usize,
        /// The sum found.
        sum: f64,
    },
}

impl Problem {
    /// Checks that a plan can be made.
    ///
    /// # Errors
    ///
    /// The first fault found.
    pub fn check(&self) -> Result<(), Error> {
        self.check_ranks()?;
        self.check_weights()?;
        if self.layers.is_empty() {
            return Err(Error::NoLayers);
        }
        for (index, layer) in self.layers.iter().enumerate() {
            self.check_layer(index, layer)?;
        }
        Ok(())
    }

    /// Total slots of all ranks in one layer.
    pub fn slots(&self) -> usize {
        self.ranks.iter().map(|r| r.slots).fold(0, usize::saturating_add)
    }

    fn check_ranks(&self) -> Result<(), Error> {
        if self.ranks.is_empty() {
            return Err(Error::NoRanks);
        }
        let mut names = IndexMap::new();
        for (index, rank) in self.ranks.iter().enumerate() {
            check_rank(index, rank)?;
            if names.insert(&rank.name, index).is_some() {
                return Err(Error::DuplicateRank { name: rank.name.clone() });
            }
        }
        let speed: f64 = self.ranks.iter().map(|r| r.speed).sum();
        if !speed.is_finite() {
            return Err(Error::OutOfRange("speed"));
        }
        Ok(())
    }

    fn check_weights(&self) -> Result<(), Error> {
        for (name, weight) in [("skew", self.weights.skew), ("moves", self.weights.moves)] {
            if !weight.is_finite() || weight < 0.0 {
                return Err(Error::Weight { name, weight });
            }
        }
        Ok(())
    }

    fn check_layer(&self, layer: usize, loads: &Layer) -> Result<(), Error> {
        if loads.load.is_empty() {
            return Err(Error::NoExperts { layer });
        }
        for (expert, &load) in loads.load.iter().enumerate() {
            if !load.is_finite() || load < 0.0 {
                return Err(Error::Load { layer, expert, load });
            }
        }
        let total: f64 = loads.load.iter().sum();
        let slowest = self.ranks.iter().map(|r| r.speed).fold(f64::INFINITY, f64::min);
        if !(total / slowest).is_finite() {
            return Err(Error::OutOfRange("load"));
        }
        let experts = loads.load.len();
        let usable = self.ranks.iter().map(|r| r.slots.min(experts)).sum::<usize>();
        if usable < experts {
            return Err(Error::TooFewSlots { layer, slots: usable, experts });
        }
        if usable > MAX_SLOTS {
            return Err(Error::TooManySlots { slots: usable });
        }
        Ok(())
    }
}

fn check_rank(index: usize, rank: &Rank) -> Result<(), Error> {
    if rank.name.is_empty() {
        return Err(Error::EmptyName { rank: index });
    }
    if !rank.speed.is_finite() || rank.speed <= 0.0 {
        return Err(Error::Speed { name: rank.name.clone(), speed: rank.speed });
    }
    Ok(())
}
