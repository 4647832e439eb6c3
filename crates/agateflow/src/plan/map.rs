//! The expert map: the replicas of each expert on ranks and their shares of its tokens.

use serde::{Deserialize, Serialize};

/// One replica of an expert.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Name of the rank that holds the replica.
    pub rank: Box<str>,
    /// Fraction of the expert's tokens that are routed to the replica, from 0 to 1.
    pub share: f64,
}

/// The replicas of one layer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Layer {
    /// The replicas of each expert, by expert index.
    pub experts: Vec<Vec<Replica>>,
}

/// The expert map of a group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Map {
    /// The layers, by index.
    pub layers: Vec<Layer>,
}
