//! Plans expert maps. The ranks that hold an expert share its load equally.
//!
//! A set takes as long as its most loaded rank, and a pass as long as the sum of all sets. A greedy
//! search starts from the current map: it adds, drops, moves or swaps a copy on the hottest rank of
//! the hottest set while that pays, within the limits on experts per rank and copies per change.

mod set;

use serde::{Deserialize, Serialize};

use super::report::Map;
use set::Planner;

/// Time limit for copying experts to a rank in one change: demand shifts within seconds, and
/// copying slows the group down.
const MAX_COPY_TIME_MS: f64 = 225.0;

/// Limits on a map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Experts that a rank may hold per set.
    pub places: usize,
    /// Experts per set that may be new to a rank in one change.
    #[serde(rename = "new")]
    pub new_per_set: usize,
    /// Experts in all sets that may be new to a rank in one change.
    pub new_total: usize,
}

impl Bounds {
    /// Derives limits for `sets` sets from the time `copy_ms` to copy one expert. Zero or NaN means
    /// that copying is free.
    pub fn new(sets: usize, places: usize, new_per_set: usize, copy_ms: f64) -> Self {
        let all_new = (sets * new_per_set).max(1);
        let copyable = if copy_ms > 0.0 { MAX_COPY_TIME_MS / copy_ms } else { f64::INFINITY };
        let new_total = (copyable as usize).clamp(1, all_new);
        Self { places, new_per_set, new_total }
    }
}

/// A planned map.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The map.
    pub map: Map,
    /// Sum over the sets of the highest rank load under the current map.
    pub load_before: f64,
    /// The same for the planned map.
    pub load_after: f64,
    /// Lower bound: the sum over the sets of the mean load.
    pub lower_bound: f64,
    /// Most experts that are new to a rank.
    pub max_copies: usize,
    /// Number of rank loads computed, which determines the planning time.
    pub evaluations: usize,
}

/// Plans the next map from the current one for `load`, by set and expert.
pub fn plan(load: &[Vec<f64>], current: &Map, bounds: &Bounds) -> Plan {
    let ranks = current.0.first().map_or(0, Vec::len);
    let pairs = load.iter().zip(&current.0);
    let mut sets: Vec<Planner<'_>> =
        pairs.map(|(load, current)| Planner::new(load, current, bounds)).collect();
    let max_load = |sets: &[Planner<'_>]| sets.iter().map(Planner::max_load).sum();
    let load_before = max_load(&sets);
    let mut copies = vec![0; ranks];
    while let Some(set) = sets
        .iter_mut()
        .filter(|set| !set.is_done())
        .max_by(|a, b| a.max_load().total_cmp(&b.max_load()))
    {
        set.apply_best_move(&mut copies);
    }
    let load_after = max_load(&sets);
    let lower_bound = load.iter().map(|load| load.iter().sum::<f64>() / ranks.max(1) as f64).sum();
    let evaluations = sets.iter().map(Planner::evaluations).sum();
    let map = Map(sets.into_iter().map(Planner::into_ranks).collect());
    Plan {
        map,
        load_before,
        load_after,
        lower_bound,
        max_copies: copies.into_iter().max().unwrap_or(0),
        evaluations,
    }
}
