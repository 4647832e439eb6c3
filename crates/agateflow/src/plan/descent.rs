//! Descent of the step time by adding replicas of the bottleneck's experts elsewhere.
//!
//! A step may raise the objective; the descent continues and returns the best point on its path.
//! This finds sets of moves that only pay off together.

use crate::plan::edit::{Edit, Edits, Point};
use crate::plan::{flow, instance, layout};

/// Maximum steps of a descent.
const MAX_STEPS: usize = 256;
/// Maximum experts of the bottleneck that a step considers.
const MAX_EXPERTS: usize = 4;
/// Minimum reduction of the step time per step, in units of the lower bound.
const MIN_GAIN: f64 = 1e-12;

/// A step with its estimated gain.
struct Step {
    edits: Edits,
    gain: f64,
}

/// Takes the best steps from `start`, solving at most `width` candidates per step, until none
/// improves the step time or the solver's work reaches `end`. Returns the best point found.
pub fn run(
    solver: &mut flow::Solver,
    instance: &instance::Instance,
    start: &Point,
    width: usize,
    end: u64,
) -> Point {
    let mut point = start.clone();
    let mut best = start.clone();
    let mut cut = flow::Cut::default();
    for _ in 0..MAX_STEPS {
        point.time = solver.solve(instance, &point.layout);
        if !solver.has_cut || solver.work >= end {
            break;
        }
        cut.set(solver, instance);
        let mut steps = candidates(solver, instance, &point.layout);
        steps.sort_by(|a, b| b.gain.total_cmp(&a.gain));
        steps.truncate(width);
        let Some((step, time)) = choose(solver, instance, &mut point, (&steps, &cut)) else {
            break;
        };
        point.apply(instance, steps[step].edits.as_slice());
        point.time = time;
        if point.objective(instance) < best.objective(instance) {
            best = point.clone();
        }
    }
    best
}

/// The index and step time of the step with the best gain per move.
fn choose(
    solver: &mut flow::Solver,
    instance: &instance::Instance,
    point: &mut Point,
    (steps, cut): (&[Step], &flow::Cut),
) -> Option<(usize, f64)> {
    let mut best = None;
    let mut best_rate = 0.0;
    for (index, step) in steps.iter().enumerate() {
        let edits = step.edits.as_slice();
        let before = point.moves;
        if !point.apply(instance, edits) {
            continue;
        }
        let moves = point.moves.saturating_sub(before).max(1) as f64;
        let limit = point.time - MIN_GAIN.max(best_rate * moves);
        let mut time = cut.bound(instance, &point.layout, edits.iter().map(|e| e.rank));
        if time < limit {
            time = solver.solve_within(instance, &point.layout, limit);
        }
        point.undo(instance, edits);
        if time < limit {
            best_rate = (point.time - time) / moves;
            best = Some((index, time));
        }
    }
    best
}

fn candidates(
    solver: &flow::Solver,
    instance: &instance::Instance,
    layout: &layout::Layout,
) -> Vec<Step> {
    let experts = bottleneck_experts(solver, instance, layout);
    let mut steps = Vec::new();
    for rank in (0..instance.ranks()).filter(|&r| !solver.cut_ranks[r]) {
        let residual = solver.residual[rank].max(0.0);
        for &expert in experts.iter().filter(|&&e| !layout.holds(rank, e)) {
            let gain = residual.min(instance.load[expert]);
            if layout.experts_on(rank).len() < instance.slots[rank] {
                let edits = Edits::One([Edit { rank, removed: None, added: Some(expert) }]);
                steps.push(Step { edits, gain });
                continue;
            }
            push_replacements(solver, instance, layout, (rank, expert), &mut steps);
        }
    }
    steps
}

/// Experts of the bottleneck, sorted by descending load per replica and limited to the two ends.
fn bottleneck_experts(
    solver: &flow::Solver,
    instance: &instance::Instance,
    layout: &layout::Layout,
) -> Vec<usize> {
    let per_replica = |e: usize| instance.load[e] / f64::from(layout.count(e).max(1));
    let mut experts: Vec<usize> =
        (0..instance.experts()).filter(|&e| solver.cut_experts[e]).collect();
    experts.sort_by(|&a, &b| per_replica(b).total_cmp(&per_replica(a)).then(a.cmp(&b)));
    let half = MAX_EXPERTS / 2;
    if experts.len() > MAX_EXPERTS {
        // The largest relieve most load; the smallest are good for swaps.
        let tail = experts.split_off(experts.len() - half);
        experts.truncate(half);
        experts.extend(tail);
    }
    experts
}

/// Appends the steps that place `expert` on the full `rank` instead of another expert.
fn push_replacements(
    solver: &flow::Solver,
    instance: &instance::Instance,
    layout: &layout::Layout,
    (rank, expert): (usize, usize),
    steps: &mut Vec<Step>,
) {
    let residual = solver.residual[rank].max(0.0);
    for at in solver.rank_offsets[rank]..solver.rank_offsets[rank + 1] {
        let (removed, flow) =
            (solver.edge_expert[at as usize] as usize, solver.edge_flow[at as usize]);
        let edit = Edit { rank, removed: Some(removed), added: Some(expert) };
        if layout.count(removed) > 1 {
            let gain = (residual + flow).min(instance.load[expert]) - flow;
            steps.push(Step { edits: Edits::One([edit]), gain });
            continue;
        }
        for other in (0..instance.ranks()).filter(|&r| solver.cut_ranks[r]) {
            if !layout.holds(other, expert) || layout.holds(other, removed) {
                continue;
            }
            let shift = instance.load[expert] - flow;
            let back = Edit { rank: other, removed: Some(expert), added: Some(removed) };
            let gain = shift.min(residual - shift).max(shift.min(residual)) / 2.0;
            steps.push(Step { edits: Edits::Two([edit, back]), gain });
        }
    }
}
