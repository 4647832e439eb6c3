//! Entry points of the planner. The plan is the best of the current map with new shares, a plan
//! from scratch, and local searches from both.

use indexmap::IndexMap;

use crate::plan::edit::Point;
use crate::plan::{
    anneal, construct, descent, flow, instance, layout, map, problem, repair, shares, spare,
};

/// Maximum work of one plan in edge visits, divided evenly among its layers.
const MAX_WORK: u64 = 5_000_000;
/// Target step times of the repair, in units of the lower bound: tight ones in descending order,
/// loose ones in ascending order.
const TIGHT_TIMES: [f64; 5] = [1.02, 1.01, 1.005, 1.002, 1.0];
const LOOSE_TIMES: [f64; 5] = [1.04, 1.08, 1.15, 1.3, 1.6];
/// Consecutive target step times without improvement that are tolerated.
const REPAIR_PATIENCE: usize = 1;
/// Maximum replacements that a repair evaluates per move.
const REPAIR_WIDTH: usize = 4;
/// Maximum candidates that a step of the descent solves.
const DESCENT_WIDTH: usize = 16;
/// Maximum work of one layer in edge visits.
const MAX_LAYER_WORK: u64 = 4_000_000;

/// Plans the map of `problem`. The problem and its current map must pass their checks.
pub fn plan(problem: &problem::Problem) -> map::Map {
    plan_within(problem, MAX_WORK)
}

/// Like [`plan`], but limited to approximately `work` edge visits.
pub fn plan_within(problem: &problem::Problem, work: u64) -> map::Map {
    plan_layers(problem, work, |solver, instance, work| match instance.current.clone() {
        Some(current) => improved_layout(solver, instance, current, work),
        None => new_layout(solver, instance, work),
    })
}

/// Returns the current map with optimal shares, or a plan from scratch if there is no current map.
/// Replicas are added only for experts that have none.
pub fn reshare(problem: &problem::Problem) -> map::Map {
    plan_layers(problem, MAX_WORK, |solver, instance, work| match instance.current.clone() {
        Some(current) => cover(instance, current),
        None => new_layout(solver, instance, work),
    })
}

fn plan_layers(
    problem: &problem::Problem,
    work: u64,
    mut plan_layer: impl FnMut(&mut flow::Solver, &instance::Instance, u64) -> layout::Layout,
) -> map::Map {
    let ranks: IndexMap<&str, usize> =
        problem.ranks.iter().enumerate().map(|(i, r)| (&*r.name, i)).collect();
    let mut solver = flow::Solver::default();
    let work = (work / problem.layers.len() as u64).min(MAX_LAYER_WORK);
    let mut layers = Vec::with_capacity(problem.layers.len());
    for (index, layer) in problem.layers.iter().enumerate() {
        let mut instance = instance::Instance::new(problem, layer);
        if let Some(current) = &problem.current {
            let replicas = &current.layers[index];
            instance = instance.with_current(layout_of(&ranks, replicas));
        }
        if layer.load.iter().all(|&l| l <= 0.0) {
            instance.skew_weight = 0.0;
        }
        let layout = plan_layer(&mut solver, &instance, work);
        layers.push(shares::layer(&mut solver, &instance, &layout, &problem.ranks));
    }
    map::Map { layers }
}

fn layout_of(ranks: &IndexMap<&str, usize>, layer: &map::Layer) -> layout::Layout {
    let mut layout = layout::Layout::new(ranks.len(), layer.experts.len());
    for (expert, replicas) in layer.experts.iter().enumerate() {
        for replica in replicas {
            if let Some(&rank) = ranks.get(&*replica.rank) {
                layout.add(rank, expert);
            }
        }
    }
    layout
}

/// Plans from scratch and fills the remaining free slots.
fn new_layout(
    solver: &mut flow::Solver,
    instance: &instance::Instance,
    work: u64,
) -> layout::Layout {
    let mut layout = plan_from_scratch(solver, instance, work).layout;
    spare::fill(instance, &mut layout);
    layout
}

fn plan_from_scratch(
    solver: &mut flow::Solver,
    instance: &instance::Instance,
    work: u64,
) -> construct::Candidate {
    let mut unconstrained = instance.clone();
    unconstrained.current = None;
    unconstrained.skew_weight = 1.0;
    let work_before = solver.work;
    let built = construct::build(solver, &unconstrained);
    if built.time <= 1.0 + construct::TOLERANCE {
        return built;
    }
    let start = Point::new(solver, &unconstrained, built.layout);
    let point = descent::run(solver, &unconstrained, &start, DESCENT_WIDTH, work_before + work / 4);
    let point = anneal::run(solver, &unconstrained, &point, work_before + work / 2);
    construct::Candidate { layout: point.layout, time: point.time }
}

fn improved_layout(
    solver: &mut flow::Solver,
    instance: &instance::Instance,
    current: layout::Layout,
    work: u64,
) -> layout::Layout {
    let covered = current.covers();
    let baseline = Point::new(solver, instance, cover(instance, current));
    if instance.skew_weight == 0.0
        || covered && baseline.objective(instance) <= instance.move_weight
    {
        return baseline.layout;
    }
    let scratch = plan_from_scratch(solver, instance, work);
    let scratch = Point::new(solver, instance, scratch.layout);
    let work_before = solver.work;
    let mut best = repaired(solver, instance, baseline.clone());
    best = better(instance, best, scratch);
    let start = if best.moves == 0 { &baseline } else { &best };
    let moved = descent::run(solver, instance, start, DESCENT_WIDTH, work_before + work / 4);
    best = better(instance, best, moved);
    let searched = anneal::run(solver, instance, &best, work_before + work / 2);
    better(instance, best, searched).layout
}

/// Adds a replica of each expert that has none, on the rank where it displaces the least load.
fn cover(instance: &instance::Instance, mut layout: layout::Layout) -> layout::Layout {
    let mut uncovered: Vec<usize> =
        (0..instance.experts()).filter(|&e| layout.count(e) == 0).collect();
    uncovered.sort_by(|&a, &b| instance.load[b].total_cmp(&instance.load[a]).then(a.cmp(&b)));
    for expert in uncovered {
        let slot = (0..instance.ranks())
            .filter_map(|rank| Some((rank, victim(instance, &layout, rank)?)))
            .min_by(|(a, x), (b, y)| {
                let cost = |rank: usize, evicted: &Option<usize>| {
                    let lost =
                        evicted.map_or(0.0, |e| instance.load[e] / f64::from(layout.count(e)));
                    lost / instance.speed[rank]
                };
                cost(*a, x).total_cmp(&cost(*b, y))
            });
        if let Some((rank, evicted)) = slot {
            evicted.into_iter().for_each(|e| layout.remove(rank, e));
            layout.add(rank, expert);
        }
    }
    layout
}

/// The expert to evict from `rank` for a new replica: `Some(None)` if a slot is free, else the
/// expert with the least load per replica among those with other replicas, `None` if there is none.
fn victim(
    instance: &instance::Instance,
    layout: &layout::Layout,
    rank: usize,
) -> Option<Option<usize>> {
    if layout.experts_on(rank).len() < instance.slots[rank] {
        return Some(None);
    }
    let per_replica = |e: usize| instance.load[e] / f64::from(layout.count(e));
    let held = layout.experts_on(rank).iter().map(|&e| e as usize);
    let redundant = held.filter(|&e| layout.count(e) > 1);
    redundant.min_by(|&a, &b| per_replica(a).total_cmp(&per_replica(b))).map(Some)
}

/// The best repair of `baseline` over the target step times.
fn repaired(solver: &mut flow::Solver, instance: &instance::Instance, baseline: Point) -> Point {
    let mut repair = repair::Repair::default();
    let mut best = baseline.clone();
    for times in [&TIGHT_TIMES, &LOOSE_TIMES] {
        let mut failures = 0;
        for &time in times {
            let cannot_improve = instance.objective(time, 1) >= best.objective(instance);
            if time >= baseline.time || cannot_improve || failures > REPAIR_PATIENCE {
                continue;
            }
            let layout = repair.run(instance, &baseline.layout, time, REPAIR_WIDTH);
            let point = Point::new(solver, instance, layout);
            let improves = point.objective(instance) < best.objective(instance);
            failures = if improves { 0 } else { failures + 1 };
            best = better(instance, best, point);
        }
    }
    solver.work += repair.work;
    best
}

/// The point with the lower objective; `first` if they are equal.
fn better(instance: &instance::Instance, first: Point, second: Point) -> Point {
    if second.objective(instance) < first.objective(instance) { second } else { first }
}
