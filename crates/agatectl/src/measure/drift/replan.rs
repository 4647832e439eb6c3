//! Baselines: the static even map, and the greedy replicate-and-pack plan.

use agateflow::plan::{map, problem};

/// Places experts on ranks in turn until all slots are full, with even shares.
pub fn even(problem: &problem::Problem) -> map::Map {
    let layers = problem.layers.iter().map(|layer| {
        let experts = layer.load.len();
        let mut held = vec![Vec::new(); experts];
        let mut next = 0;
        for slot in 0..problem.ranks.iter().map(|r| r.slots).max().unwrap_or(0) {
            for rank in problem.ranks.iter().filter(|r| slot < r.slots) {
                held[next % experts].push(rank.name.clone());
                next += 1;
            }
        }
        layer_of(held)
    });
    map::Map { layers: layers.collect() }
}

/// Replicates the expert with most load a replica until the slots are full, then packs replicas,
/// the largest first, on the rank with least load, or with least time where `weighted`.
pub fn pack(problem: &problem::Problem, weighted: bool) -> map::Map {
    let layers = problem.layers.iter().map(|layer| pack_layer(&problem.ranks, layer, weighted));
    map::Map { layers: layers.collect() }
}

fn pack_layer(ranks: &[problem::Rank], layer: &problem::Layer, weighted: bool) -> map::Layer {
    let count = replicate(ranks, layer);
    let each = |e: usize| layer.load[e] / count[e] as f64;
    let mut replicas: Vec<usize> =
        { 0..count.len() }.flat_map(|e| std::iter::repeat_n(e, count[e])).collect();
    replicas.sort_by(|&a, &b| each(b).total_cmp(&each(a)).then(a.cmp(&b)));
    let mut load = vec![0.0; ranks.len()];
    let mut used = vec![0; ranks.len()];
    let mut held = vec![Vec::new(); count.len()];
    for expert in replicas {
        let end = |r: usize| {
            let speed = if weighted { ranks[r].speed } else { 1.0 };
            (load[r] + each(expert)) / speed
        };
        let open = |&r: &usize| used[r] < ranks[r].slots && !held[expert].contains(&ranks[r].name);
        let free = (0..ranks.len()).filter(open);
        if let Some(rank) = { free }.min_by(|&a, &b| end(a).total_cmp(&end(b))) {
            load[rank] += each(expert);
            used[rank] += 1;
            held[expert].push(ranks[rank].name.clone());
        }
    }
    layer_of(held)
}

fn replicate(ranks: &[problem::Rank], layer: &problem::Layer) -> Vec<usize> {
    let mut count = vec![1; layer.load.len()];
    let slots: usize = ranks.iter().map(|r| r.slots).sum();
    for _ in count.len()..slots {
        let each = |e: usize| layer.load[e] / count[e] as f64;
        let open = (0..count.len()).filter(|&e| count[e] < ranks.len());
        let Some(most) = { open }.max_by(|&a, &b| each(a).total_cmp(&each(b))) else {
            break;
        };
        count[most] += 1;
    }
    count
}

fn layer_of(held: Vec<Vec<Box<str>>>) -> map::Layer {
    let experts = held.into_iter().map(|ranks| {
        let share = 1.0 / ranks.len() as f64;
        ranks.into_iter().map(|rank| map::Replica { rank, share }).collect()
    });
    map::Layer { experts: experts.collect() }
}
