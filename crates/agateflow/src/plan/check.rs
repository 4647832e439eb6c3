//! Validation of a map against its problem, independent of the planner.

use indexmap::IndexMap;

use crate::plan::{map, problem};

/// Maximum deviation of the sum of an expert's shares from 1.
pub const SHARE_TOLERANCE: f64 = 1e-9;

/// Checks that `map` has valid replicas of each expert of `problem` and fits the slots.
///
/// # Errors
///
/// The first fault found.
pub fn map(problem: &problem::Problem, map: &map::Map) -> Result<(), problem::Error> {
    let (found, expected) = (map.layers.len(), problem.layers.len());
    if found != expected {
        return Err(problem::Error::LayerCount { found, expected });
    }
    let ranks = problem.ranks.iter().enumerate().map(|(i, r)| (&*r.name, i)).collect();
    for (index, layer) in map.layers.iter().enumerate() {
        check_layer(problem, &ranks, index, layer)?;
    }
    Ok(())
}

fn check_layer(
    problem: &problem::Problem,
    ranks: &IndexMap<&str, usize>,
    layer: usize,
    experts: &map::Layer,
) -> Result<(), problem::Error> {
    let (found, expected) = (experts.experts.len(), problem.layers[layer].load.len());
    if found != expected {
        return Err(problem::Error::ExpertCount { layer, found, expected });
    }
    let mut held = vec![0; problem.ranks.len()];
    let mut last = vec![usize::MAX; problem.ranks.len()];
    for (expert, replicas) in experts.experts.iter().enumerate() {
        check_shares(layer, expert, replicas)?;
        for replica in replicas {
            let name = || replica.rank.clone();
            let Some(&rank) = ranks.get(&*replica.rank) else {
                return Err(problem::Error::UnknownRank { layer, expert, name: name() });
            };
            if last[rank] == expert {
                return Err(problem::Error::DuplicateExpert { layer, expert, name: name() });
            }
            last[rank] = expert;
            held[rank] += 1;
        }
    }
    for (rank, &held) in problem.ranks.iter().zip(&held) {
        if held > rank.slots {
            let (name, slots) = (rank.name.clone(), rank.slots);
            return Err(problem::Error::TooManyExperts { layer, name, held, slots });
        }
    }
    Ok(())
}

fn check_shares(
    layer: usize,
    expert: usize,
    replicas: &[map::Replica],
) -> Result<(), problem::Error> {
    if replicas.is_empty() {
        return Err(problem::Error::Uncovered { layer, expert });
    }
    for replica in replicas {
        if !(0.0..=1.0).contains(&replica.share) {
            return Err(problem::Error::Share { layer, expert, share: replica.share });
        }
    }
    let sum: f64 = replicas.iter().map(|r| r.share).sum();
    if (sum - 1.0).abs() > SHARE_TOLERANCE {
        return Err(problem::Error::ShareSum { layer, expert, sum });
    }
    Ok(())
}
