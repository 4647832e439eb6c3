//! Optimal shares for a fixed layout, and conversion of layouts to maps.

use indexmap::IndexMap;
use xxhash_rust::xxh3;

use crate::plan::{flow, instance, layout, map, problem};

type Names<'a> = IndexMap<&'a str, u32, xxh3::Xxh3DefaultBuilder>;

/// Sets the shares of `map` that minimise the step time of `problem`. Each expert must have a
/// replica, and all replicas must be on ranks of the problem.
pub fn set(problem: &problem::Problem, map: &mut map::Map) {
    let names: Names =
        problem.ranks.iter().enumerate().map(|(i, r)| (&*r.name, i as u32)).collect();
    let mut solver = flow::Solver::default();
    let mut pairs = Pairs::default();
    for (loads, layer) in problem.layers.iter().zip(&mut map.layers) {
        let instance = instance::Instance::new(problem, loads);
        pairs.index(&names, layer);
        solver.solve_pairs(&instance, &pairs.sorted);
        let mut positions = pairs.positions.iter();
        for replicas in &mut layer.experts {
            for (replica, &position) in replicas.iter_mut().zip(&mut positions) {
                replica.share = solver.edge_flow[position as usize].max(0.0);
            }
            normalise(replicas);
        }
    }
}

/// Replicas of a layer as pairs of rank and expert, sorted by rank.
#[derive(Debug, Default)]
struct Pairs {
    sorted: Vec<(u32, u32)>,
    /// Rank of each replica, in map order.
    ranks: Vec<u32>,
    /// Position of each replica in the sorted pairs, in map order.
    positions: Vec<u32>,
    offsets: Vec<u32>,
}

impl Pairs {
    fn index(&mut self, names: &Names, layer: &map::Layer) {
        self.ranks.clear();
        self.offsets.clear();
        self.offsets.resize(names.len() + 1, 0);
        for replica in layer.experts.iter().flatten() {
            let rank = names.get(&*replica.rank).copied().unwrap_or_default();
            self.ranks.push(rank);
            self.offsets[rank as usize + 1] += 1;
        }
        for rank in 0..names.len() {
            self.offsets[rank + 1] += self.offsets[rank];
        }
        self.sorted.clear();
        self.sorted.resize(self.ranks.len(), (0, 0));
        self.positions.clear();
        let counts = layer.experts.iter().enumerate();
        let experts = counts.flat_map(|(e, r)| std::iter::repeat_n(e as u32, r.len()));
        for (expert, &rank) in experts.zip(&self.ranks) {
            let position = &mut self.offsets[rank as usize];
            self.sorted[*position as usize] = (rank, expert);
            self.positions.push(*position);
            *position += 1;
        }
    }
}

/// Builds the map layer of `layout` with the shares that minimise the step time.
pub fn layer(
    solver: &mut flow::Solver,
    instance: &instance::Instance,
    layout: &layout::Layout,
    ranks: &[problem::Rank],
) -> map::Layer {
    solver.solve(instance, layout);
    let mut experts = vec![Vec::new(); instance.experts()];
    for (rank, declared) in ranks.iter().enumerate() {
        for edge in solver.rank_offsets[rank]..solver.rank_offsets[rank + 1] {
            let (expert, flow) =
                (solver.edge_expert[edge as usize], solver.edge_flow[edge as usize]);
            let replica = map::Replica { rank: declared.name.clone(), share: flow.max(0.0) };
            experts[expert as usize].push(replica);
        }
    }
    experts.iter_mut().for_each(|replicas| normalise(replicas));
    map::Layer { experts }
}

/// Scales shares to a sum of 1; shares that are all 0 become equal.
fn normalise(replicas: &mut [map::Replica]) {
    let sum: f64 = replicas.iter().map(|r| r.share).sum();
    let even = 1.0 / replicas.len() as f64;
    for replica in replicas {
        replica.share = if sum > 0.0 { (replica.share / sum).min(1.0) } else { even };
    }
}
