//! Cost of a map: step time, skew, moves and their weighted sum.

use indexmap::{IndexMap, IndexSet};

use crate::plan::{map, problem};

/// The cost of a map.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Slots of the map that the current map lacks.
    pub moves: usize,
    /// Mean over layers of the ratio of the slowest rank's time to the lower bound, minus 1.
    pub skew: f64,
    /// Lower bound of the step time of any map in seconds: total load over total speed, summed over
    /// layers.
    pub bound: f64,
    /// Step time in seconds: the slowest rank's time, summed over layers.
    pub seconds: f64,
}

impl Cost {
    /// Computes the cost of `map`, which must pass the check against `problem`.
    pub fn new(problem: &problem::Problem, map: &map::Map) -> Self {
        let mut cost = Self { moves: moves(problem.current.as_ref(), map), ..Self::default() };
        let speed: f64 = problem.ranks.iter().map(|r| r.speed).sum();
        for (layer, replicas) in problem.layers.iter().zip(&map.layers) {
            let bound = layer.load.iter().sum::<f64>() / speed;
            let seconds = slowest(problem, layer, replicas);
            cost.bound += bound;
            cost.seconds += seconds;
            if bound > 0.0 {
                cost.skew += (seconds / bound - 1.0).max(0.0);
            }
        }
        cost.skew /= problem.layers.len() as f64;
        cost
    }

    /// The weighted sum of skew and moves that a plan minimises.
    pub fn objective(&self, problem: &problem::Problem) -> f64 {
        let slots = (problem.slots() * problem.layers.len()) as f64;
        problem.weights.skew * self.skew + problem.weights.moves * self.moves as f64 / slots
    }
}

/// Time of the slowest rank of one layer in seconds.
pub fn slowest(problem: &problem::Problem, layer: &problem::Layer, replicas: &map::Layer) -> f64 {
    let ranks: IndexMap<&str, usize> =
        problem.ranks.iter().enumerate().map(|(i, r)| (&*r.name, i)).collect();
    let mut load = vec![0.0; problem.ranks.len()];
    for (expert, replicas) in layer.load.iter().zip(&replicas.experts) {
        for replica in replicas {
            if let Some(&rank) = ranks.get(&*replica.rank) {
                load[rank] += expert * replica.share;
            }
        }
    }
    load.iter().zip(&problem.ranks).map(|(l, r)| l / r.speed).fold(0.0, f64::max)
}

/// Number of slots of `map` that `current` lacks; 0 without a current map.
pub fn moves(current: Option<&map::Map>, map: &map::Map) -> usize {
    let Some(current) = current else {
        return 0;
    };
    let held: IndexSet<_> = slots(current).collect();
    slots(map).filter(|slot| !held.contains(slot)).count()
}

fn slots(map: &map::Map) -> impl Iterator<Item = (usize, usize, &str)> {
    map.layers.iter().enumerate().flat_map(|(layer, experts)| {
        experts.experts.iter().enumerate().flat_map(move |(expert, replicas)| {
            replicas.iter().map(move |replica| (layer, expert, &*replica.rank))
        })
    })
}
