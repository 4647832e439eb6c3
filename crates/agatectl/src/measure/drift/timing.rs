//! Time of decisions at the target size.

use std::time;

use agateflow::plan;
use agateflow::plan::{problem, shares};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::measure::drift::trace;

const RANKS: usize = 64;
const EXPERTS: usize = 64;
const LAYERS: usize = 61;
const SPEEDS: [f64; 3] = [1.0, 0.6, 1.7];
/// Runs of each decision.
const RUNS: usize = 9;

/// Milliseconds of each decision: the least and the median of the runs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Timing {
    /// Slots of each rank.
    pub slots: usize,
    /// Shares alone.
    pub shares: Spread,
    /// A plan from nothing.
    pub nothing: Spread,
    /// A plan from a map whose loads changed by up to half.
    pub drifted: Spread,
}

/// Least and median of the runs in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spread {
    /// The least.
    pub least: f64,
    /// The median.
    pub median: f64,
}

/// Times the decisions for two and four slots a rank.
pub fn run() -> Vec<Timing> {
    [2, 4].into_iter().map(measure).collect()
}

fn measure(slots: usize) -> Timing {
    let mut rng = Pcg64Mcg::seed_from_u64(trace::SEED);
    let mut problem = fresh(slots, &mut rng);
    let nothing = spread(|| drop(plan::plan(&problem)));
    let mut map = plan::plan(&problem);
    for load in problem.layers.iter_mut().flat_map(|l| &mut l.load) {
        *load *= rng.random_range(0.5..1.5);
    }
    let shares = spread(|| shares::set(&problem, &mut map));
    problem.current = Some(map);
    let drifted = spread(|| drop(plan::plan(&problem)));
    Timing { slots, shares, nothing, drifted }
}

fn fresh(slots: usize, rng: &mut Pcg64Mcg) -> problem::Problem {
    let rank = |r: usize| problem::Rank {
        name: format!("r{r}").into(),
        speed: SPEEDS[r % SPEEDS.len()],
        slots,
    };
    let mut load = || {
        let rank: f64 = rng.random_range(1.0..EXPERTS as f64);
        1.0 / rank
    };
    let layers = (0..LAYERS)
        .map(|_| problem::Layer { load: (0..EXPERTS).map(|_| load()).collect() })
        .collect();
    problem::Problem {
        ranks: (0..RANKS).map(rank).collect(),
        layers,
        current: None,
        weights: problem::Weights { skew: 1.0, moves: 0.1 },
    }
}

fn spread(mut decide: impl FnMut()) -> Spread {
    let mut times: Vec<f64> = (0..RUNS)
        .map(|_| {
            let start = time::Instant::now();
            decide();
            start.elapsed().as_secs_f64() * 1000.0
        })
        .collect();
    times.sort_by(f64::total_cmp);
    Spread { least: times[0], median: times[RUNS / 2] }
}
