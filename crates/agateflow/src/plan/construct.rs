//! Construction of a layout from scratch.
//!
//! Ranks are filled in turn to an equal time, as in the construction of an alias table: each takes
//! whole experts and part of one more. Fast ranks with few slots take the largest experts. Where
//! slots are too few to split experts, a greedy pass assigns the largest expert to the rank that
//! finishes first.

use crate::plan::{flow, instance, layout};

/// Target times of the ranks, in units of the lower bound.
const TIMES: [f64; 12] = [1.0, 1.002, 1.005, 1.01, 1.02, 1.04, 1.08, 1.15, 1.3, 1.6, 2.0, 3.0];

/// Distance from the lower bound that is treated as zero.
pub const TOLERANCE: f64 = 1e-9;

/// A layout with its step time.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The layout.
    pub layout: layout::Layout,
    /// Its step time in units of the lower bound.
    pub time: f64,
}

/// Returns the layout with the shortest step time among the constructions tried.
pub fn build(solver: &mut flow::Solver, instance: &instance::Instance) -> Candidate {
    let mut best: Option<Candidate> = None;
    for descending in [true, false] {
        let order = order(instance, descending);
        for time in TIMES {
            let limit = best.as_ref().map_or(f64::INFINITY, |b| b.time);
            if time >= limit {
                break;
            }
            let Some(layout) = fill(instance, &order, time) else {
                continue;
            };
            let time = solver.solve_within(instance, &layout, limit);
            if time <= 1.0 + TOLERANCE {
                return Candidate { layout, time };
            }
            if time < limit {
                best = Some(Candidate { layout, time });
            }
        }
    }
    let greedy = greedy(solver, instance);
    match best {
        Some(best) if best.time <= greedy.time => best,
        _ => greedy,
    }
}

fn order(instance: &instance::Instance, descending: bool) -> Vec<usize> {
    let mut ranks: Vec<usize> = (0..instance.ranks()).filter(|&r| instance.slots[r] > 0).collect();
    let per_slot = |r: usize| instance.speed[r] / instance.slots[r] as f64;
    ranks.sort_by(|&a, &b| per_slot(b).total_cmp(&per_slot(a)).then(a.cmp(&b)));
    if !descending {
        ranks.reverse();
    }
    ranks
}

/// An expert with its load that is not placed yet.
#[derive(Clone, Copy, Debug)]
struct Item {
    load: f64,
    expert: usize,
}

fn fill(instance: &instance::Instance, order: &[usize], time: f64) -> Option<layout::Layout> {
    let mut layout = layout::Layout::new(instance.ranks(), instance.experts());
    let mut items: Vec<Item> =
        instance.load.iter().enumerate().map(|(expert, &load)| Item { load, expert }).collect();
    items.sort_by(|a, b| a.load.total_cmp(&b.load).then(a.expert.cmp(&b.expert)));
    let mut slots = instance.total_slots();
    for &rank in order {
        slots -= instance.slots[rank];
        let capacity = time * instance.speed[rank];
        fill_rank(&mut layout, &mut items, rank, instance.slots[rank], (capacity, slots));
    }
    layout.covers().then_some(layout)
}

/// Fills one rank up to the load `capacity`; `later_slots` is the number of slots on later ranks.
fn fill_rank(
    layout: &mut layout::Layout,
    items: &mut Vec<Item>,
    rank: usize,
    slots: usize,
    (capacity, later_slots): (f64, usize),
) {
    let count = slots.min(items.len());
    if count == 0 {
        return;
    }
    let (start, width) = window(items, count, capacity);
    let sum = |r: &[Item]| r.iter().map(|i| i.load).sum::<f64>();
    let fits = sum(&items[start..start + width]) <= capacity * (1.0 + TOLERANCE);
    let remaining = items.len() - width;
    let split = !fits && remaining < later_slots;
    for item in &items[start..start + width] {
        layout.add(rank, item.expert);
    }
    let last = items[start + width - 1];
    let part = capacity - sum(&items[start..start + width - 1]);
    items.drain(start..start + width);
    if split {
        let rest = Item { load: (last.load - part).max(0.0), ..last };
        let at = items.partition_point(|i| i.load < rest.load);
        items.insert(at, rest);
    }
}

/// Start and width of the lightest run of items that fills `capacity` with part of its last item.
fn window(items: &[Item], count: usize, capacity: f64) -> (usize, usize) {
    for width in (1..=count).rev() {
        let sums = items.windows(width).map(|w| w.iter().map(|i| i.load).sum::<f64>());
        let Some(start) = { sums }.position(|sum| sum >= capacity * (1.0 - TOLERANCE)) else {
            return (items.len() - width, width);
        };
        let inner: f64 = items[start..start + width - 1].iter().map(|i| i.load).sum();
        if inner < capacity {
            return (start, width);
        }
    }
    (0, 1)
}

/// Assigns experts, the largest first, to the rank that finishes first, then replicates the
/// bottleneck's experts.
fn greedy(solver: &mut flow::Solver, instance: &instance::Instance) -> Candidate {
    let mut layout = layout::Layout::new(instance.ranks(), instance.experts());
    let mut experts: Vec<usize> = (0..instance.experts()).collect();
    experts.sort_by(|&a, &b| instance.load[b].total_cmp(&instance.load[a]).then(a.cmp(&b)));
    let mut load = vec![0.0; instance.ranks()];
    for expert in experts {
        let free =
            (0..instance.ranks()).filter(|&r| layout.experts_on(r).len() < instance.slots[r]);
        let finish = |r: usize| (load[r] + instance.load[expert]) / instance.speed[r];
        let Some(rank) = { free }.min_by(|&a, &b| finish(a).total_cmp(&finish(b))) else {
            break;
        };
        load[rank] += instance.load[expert];
        layout.add(rank, expert);
    }
    replicate(solver, instance, layout)
}

/// Adds replicas of the bottleneck's experts on free slots outside it while there are any.
pub fn replicate(
    solver: &mut flow::Solver,
    instance: &instance::Instance,
    mut layout: layout::Layout,
) -> Candidate {
    let mut time = solver.solve(instance, &layout);
    while solver.has_cut {
        let expert = (0..instance.experts()).filter(|&e| solver.cut_experts[e]).max_by(|&a, &b| {
            per_replica(instance, &layout, a).total_cmp(&per_replica(instance, &layout, b))
        });
        let rank = (0..instance.ranks())
            .filter(|&r| !solver.cut_ranks[r] && layout.experts_on(r).len() < instance.slots[r])
            .max_by(|&a, &b| solver.residual[a].total_cmp(&solver.residual[b]));
        let (Some(expert), Some(rank)) = (expert, rank) else {
            break;
        };
        layout.add(rank, expert);
        time = solver.solve(instance, &layout);
    }
    Candidate { layout, time }
}

fn per_replica(instance: &instance::Instance, layout: &layout::Layout, expert: usize) -> f64 {
    instance.load[expert] / f64::from(layout.count(expert))
}
