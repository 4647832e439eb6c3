//! Expert coverage of a map that has lost some of its ranks.

use indexmap::IndexMap;

use crate::plan::map;

/// An expert without a replica on the remaining ranks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("layer {layer} has no replica of expert {expert} on the remaining ranks")]
pub struct Gap {
    /// The layer, from 0.
    pub layer: usize,
    /// The expert of the layer, from 0.
    pub expert: usize,
}

/// Limits a map to the remaining ranks; shares are scaled to sum to 1, and no expert moves.
///
/// # Errors
///
/// The first expert that no remaining rank holds.
pub fn restrict(map: &map::Map, is_remaining: impl Fn(&str) -> bool) -> Result<map::Map, Gap> {
    let mut restricted = map.clone();
    for (layer, content) in restricted.layers.iter_mut().enumerate() {
        for (expert, replicas) in content.experts.iter_mut().enumerate() {
            replicas.retain(|replica| is_remaining(&replica.rank));
            if replicas.is_empty() {
                return Err(Gap { layer, expert });
            }
            normalize(replicas);
        }
    }
    Ok(restricted)
}

fn normalize(replicas: &mut [map::Replica]) {
    let sum: f64 = replicas.iter().map(|replica| replica.share).sum();
    let even = 1.0 / replicas.len() as f64;
    for replica in replicas {
        replica.share = if sum > 0.0 { replica.share / sum } else { even };
    }
}

/// Ranks that hold the only replica of some expert, with the number of such experts.
pub fn sole_holders(map: &map::Map) -> IndexMap<Box<str>, usize> {
    let mut ranks = IndexMap::new();
    let experts = map.layers.iter().flat_map(|layer| &layer.experts);
    for replicas in experts {
        if let [only] = replicas.as_slice() {
            *ranks.entry(only.rank.clone()).or_insert(0) += 1;
        }
    }
    ranks
}
