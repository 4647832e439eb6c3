//! One layer's problem by index, scaled so that the lower bound of its step time is 1.

use crate::plan::{layout, problem};

/// One layer of a problem.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Load of each expert as a fraction of the layer's load.
    pub load: Vec<f64>,
    /// Speed of each rank as a fraction of the total speed.
    pub speed: Vec<f64>,
    /// Slots of each rank, capped at the number of experts.
    pub slots: Vec<usize>,
    /// The current layout; without one, moves cost nothing.
    pub current: Option<layout::Layout>,
    /// Weight of the layer's skew in the objective.
    pub skew_weight: f64,
    /// Weight of one move in the objective.
    pub move_weight: f64,
}

impl Instance {
    /// Creates the instance of one layer. A layer without load is given a uniform one.
    pub fn new(problem: &problem::Problem, layer: &problem::Layer) -> Self {
        let speed: f64 = problem.ranks.iter().map(|r| r.speed).sum();
        let experts = layer.load.len();
        let slots = problem.slots() as f64;
        Self {
            load: normalized(&layer.load),
            speed: problem.ranks.iter().map(|r| r.speed / speed).collect(),
            slots: problem.ranks.iter().map(|r| r.slots.min(experts)).collect(),
            current: None,
            skew_weight: problem.weights.skew,
            move_weight: problem.weights.moves / slots,
        }
    }

    /// Sets the current layout.
    pub fn with_current(mut self, current: layout::Layout) -> Self {
        self.current = Some(current);
        self
    }

    /// The objective of a layout with step time `time` and `moves` moves.
    pub fn objective(&self, time: f64, moves: usize) -> f64 {
        self.skew_weight * (time - 1.0) + self.move_weight * moves as f64
    }

    /// The step time at which a layout with `moves` moves has the given objective.
    pub fn time_limit(&self, objective: f64, moves: usize) -> f64 {
        1.0 + (objective - self.move_weight * moves as f64) / self.skew_weight
    }

    /// Number of experts.
    pub fn experts(&self) -> usize {
        self.load.len()
    }

    /// Number of ranks.
    pub fn ranks(&self) -> usize {
        self.speed.len()
    }

    /// Total slots of all ranks.
    pub fn total_slots(&self) -> usize {
        self.slots.iter().sum()
    }
}

fn normalized(load: &[f64]) -> Vec<f64> {
    let total: f64 = load.iter().sum();
    if total > 0.0 {
        return load.iter().map(|l| l / total).collect();
    }
    vec![1.0 / load.len() as f64; load.len()]
}
