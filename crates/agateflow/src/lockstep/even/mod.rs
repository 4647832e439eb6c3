//! Expert maps where the ranks that hold an expert share its work evenly.
//!
//! A set's work lasts as long as that of its most loaded rank, and a pass as long as that of all
//! sets. From the present map, single steps (a further copy, a copy less, a move, an exchange) are
//! taken at the hottest rank of the hottest set while they pay, within the places of a rank and
//! the copies that it may get in one change.

mod set;

use serde::{Deserialize, Serialize};

use super::report::Map;
use set::Set;

/// Longest time in which a rank copies experts in one change, in milliseconds: demand shifts within
/// seconds, and a group is slower while it copies.
const COPY_TIME_MS: f64 = 225.0;

/// Bounds of a map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Experts that a rank may hold in a set.
    pub places: usize,
    /// Experts of a set that may be new to a rank in one change.
    pub new: usize,
    /// Experts of all sets that may be new to a rank in one change.
    pub new_total: usize,
}

impl Bounds {
    /// Bounds of maps of `sets` sets, where a rank takes `copy_ms` to copy an expert. A time that
    /// is none says that copies take no time.
    pub fn new(sets: usize, places: usize, new: usize, copy_ms: f64) -> Self {
        let all = (sets * new).max(1);
        let timely = if copy_ms > 0.0 { COPY_TIME_MS / copy_ms } else { f64::INFINITY };
        let new_total = (timely as usize).clamp(1, all);
        Self { places, new, new_total }
    }
}

/// A planned map.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The map.
    pub map: Map,
    /// Sum over the sets of the most loaded rank's load with the present map.
    pub before: f64,
    /// The same with the planned map.
    pub after: f64,
    /// Sum over the sets of the mean load: no map is better.
    pub bound: f64,
    /// Most experts that are new to a rank.
    pub copies: usize,
    /// Ranks' loads that were worked out on the way: the time that planning takes.
    pub work: usize,
}

/// Plans the next map for `load`, by set and expert, from the present one.
pub fn plan(load: &[Vec<f64>], present: &Map, bounds: &Bounds) -> Plan {
    let ranks = present.0.first().map_or(0, Vec::len);
    let pairs = load.iter().zip(&present.0);
    let mut sets: Vec<Set<'_>> =
        pairs.map(|(load, present)| Set::new(load, present, bounds)).collect();
    let hottest = |sets: &[Set<'_>]| sets.iter().map(Set::hottest).sum();
    let before = hottest(&sets);
    let mut copies = vec![0; ranks];
    while let Some(set) = sets
        .iter_mut()
        .filter(|set| !set.is_done())
        .max_by(|a, b| a.hottest().total_cmp(&b.hottest()))
    {
        set.improve(&mut copies);
    }
    let after = hottest(&sets);
    let bound = load.iter().map(|load| load.iter().sum::<f64>() / ranks.max(1) as f64).sum();
    let work = sets.iter().map(Set::work).sum();
    let map = Map(sets.into_iter().map(Set::into_ranks).collect());
    Plan { map, before, after, bound, copies: copies.into_iter().max().unwrap_or(0), work }
}
