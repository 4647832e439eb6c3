//! Simulated annealing over layouts. The seed is fixed, so that plans are reproducible.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::plan::edit::{Edit, Edits, Point};
use crate::plan::{flow, instance, layout};

const SEED: u64 = 0x5eed;
/// Largest product of slots and experts for which a layer counts as small.
const SMALL_LAYER: usize = 600;
/// Lower bound of the temperature scale, as a skew.
const MIN_SKEW: f64 = 1e-5;
/// Work of a proposal, excluding its solve.
const PROPOSAL_WORK: u64 = 16;

/// Cooling schedule: the initial and final temperatures as fractions of the initial objective, and
/// the number of rounds, each of which starts at the best point so far.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    initial_temperature: f64,
    final_temperature: f64,
    rounds: u64,
}

impl Schedule {
    /// Small layers are searched widely, large ones close to the start.
    fn new(instance: &instance::Instance) -> Self {
        if instance.total_slots() * instance.experts() <= SMALL_LAYER {
            return Self { initial_temperature: 1.0, final_temperature: 1e-3, rounds: 4 };
        }
        Self { initial_temperature: 0.3, final_temperature: 1e-5, rounds: 1 }
    }
}

/// Anneals from `start` until the solver's work reaches `end`; returns the best point found.
pub fn run(
    solver: &mut flow::Solver,
    instance: &instance::Instance,
    start: &Point,
    end: u64,
) -> Point {
    let schedule = Schedule::new(instance);
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut best = start.clone();
    let begin = solver.work;
    for round in 1..=schedule.rounds {
        let end = begin + end.saturating_sub(begin) * round / schedule.rounds;
        best = run_round(solver, instance, best, (&schedule, end), &mut rng);
    }
    best
}

/// Runs one cooling round from `start` and returns its best point.
fn run_round(
    solver: &mut flow::Solver,
    instance: &instance::Instance,
    start: Point,
    (schedule, end): (&Schedule, u64),
    rng: &mut Pcg64Mcg,
) -> Point {
    let mut point = start.clone();
    let scale = start.objective(instance).max(instance.skew_weight * MIN_SKEW);
    let mut best = start;
    let mut cut = flow::Cut::default();
    point.time = solver.solve(instance, &point.layout);
    cut.set(solver, instance);
    let mut bottleneck: Vec<usize> = cut.experts().collect();
    let begin = solver.work;
    while solver.work < end {
        solver.work += PROPOSAL_WORK;
        let progress = (solver.work - begin) as f64 / (end - begin) as f64;
        let temperature = scale
            * schedule.initial_temperature
            * (schedule.final_temperature / schedule.initial_temperature).powf(progress);
        let Some(edits) = propose(rng, instance, &point.layout, &bottleneck) else {
            continue;
        };
        let edits = edits.as_slice();
        let (time, moves, objective) = (point.time, point.moves, point.objective(instance));
        if !point.apply(instance, edits) {
            continue;
        }
        let allowed = objective - temperature * rng.random::<f64>().ln();
        let limit = instance.time_limit(allowed, point.moves);
        point.time = cut.bound(instance, &point.layout, edits.iter().map(|e| e.rank));
        if point.time <= limit {
            point.time = solver.solve_within(instance, &point.layout, limit);
        }
        if point.time > limit {
            point.undo(instance, edits);
            (point.time, point.moves) = (time, moves);
            continue;
        }
        cut.set(solver, instance);
        bottleneck.clear();
        bottleneck.extend(cut.experts());
        if point.objective(instance) < best.objective(instance) {
            best = point.clone();
        }
    }
    best
}

fn propose(
    rng: &mut Pcg64Mcg,
    instance: &instance::Instance,
    layout: &layout::Layout,
    bottleneck: &[usize],
) -> Option<Edits> {
    match rng.random_range(0..8) {
        0..=2 => replace(rng, instance, layout, bottleneck),
        3 | 4 => swap(rng, instance, layout),
        5 => relocate(rng, instance, layout),
        6 => drop_replica(rng, instance, layout),
        _ => revert(rng, instance, layout),
    }
}

/// Adds an expert to a rank, on a free slot or in place of another expert.
fn replace(
    rng: &mut Pcg64Mcg,
    instance: &instance::Instance,
    layout: &layout::Layout,
    bottleneck: &[usize],
) -> Option<Edits> {
    let expert = if bottleneck.is_empty() || rng.random_bool(0.3) {
        rng.random_range(0..instance.experts())
    } else {
        bottleneck[rng.random_range(0..bottleneck.len())]
    };
    let rank = rng.random_range(0..instance.ranks());
    if instance.slots[rank] == 0 || layout.holds(rank, expert) {
        return None;
    }
    let removed = victim(rng, instance, layout, rank);
    Some(Edits::One([Edit { rank, removed, added: Some(expert) }]))
}

/// The expert to evict from `rank`, or `None` to use a free slot.
fn victim(
    rng: &mut Pcg64Mcg,
    instance: &instance::Instance,
    layout: &layout::Layout,
    rank: usize,
) -> Option<usize> {
    let held = layout.experts_on(rank);
    let index = rng.random_range(0..instance.slots[rank]);
    let full = held.len() == instance.slots[rank];
    (full || index < held.len() / 2).then(|| held[index] as usize)
}

fn random_expert(rng: &mut Pcg64Mcg, layout: &layout::Layout, rank: usize) -> Option<usize> {
    let held = layout.experts_on(rank);
    (!held.is_empty()).then(|| held[rng.random_range(0..held.len())] as usize)
}

/// Swaps two experts between two ranks.
fn swap(
    rng: &mut Pcg64Mcg,
    instance: &instance::Instance,
    layout: &layout::Layout,
) -> Option<Edits> {
    let (a, b) = (rng.random_range(0..instance.ranks()), rng.random_range(0..instance.ranks()));
    let (from_a, from_b) = (random_expert(rng, layout, a)?, random_expert(rng, layout, b)?);
    if a == b || layout.holds(a, from_b) || layout.holds(b, from_a) {
        return None;
    }
    Some(Edits::Two([
        Edit { rank: a, removed: Some(from_a), added: Some(from_b) },
        Edit { rank: b, removed: Some(from_b), added: Some(from_a) },
    ]))
}

/// Moves an expert to another rank, evicting one there if needed, and may refill its old slot.
fn relocate(
    rng: &mut Pcg64Mcg,
    instance: &instance::Instance,
    layout: &layout::Layout,
) -> Option<Edits> {
    let (a, b) = (rng.random_range(0..instance.ranks()), rng.random_range(0..instance.ranks()));
    let expert = random_expert(rng, layout, a)?;
    if a == b || instance.slots[b] == 0 || layout.holds(b, expert) {
        return None;
    }
    let removed = victim(rng, instance, layout, b);
    let other = rng.random_range(0..instance.experts());
    let added = (!layout.holds(a, other) && rng.random_bool(0.5)).then_some(other);
    Some(Edits::Two([
        Edit { rank: a, removed: Some(expert), added },
        Edit { rank: b, removed, added: Some(expert) },
    ]))
}

/// Removes a replica unless it is the last one of its expert.
fn drop_replica(
    rng: &mut Pcg64Mcg,
    instance: &instance::Instance,
    layout: &layout::Layout,
) -> Option<Edits> {
    let rank = rng.random_range(0..instance.ranks());
    let expert = random_expert(rng, layout, rank)?;
    let redundant = layout.count(expert) > 1;
    redundant.then_some(Edits::One([Edit { rank, removed: Some(expert), added: None }]))
}

/// Restores a replica of the current layout.
fn revert(
    rng: &mut Pcg64Mcg,
    instance: &instance::Instance,
    layout: &layout::Layout,
) -> Option<Edits> {
    let current = instance.current.as_ref()?;
    let rank = rng.random_range(0..instance.ranks());
    let lost = |e: &&u32| !layout.holds(rank, **e as usize);
    let added = current.experts_on(rank).iter().find(lost).map(|&e| e as usize)?;
    let new = |e: &&u32| !current.holds(rank, **e as usize);
    let removed = if layout.experts_on(rank).len() < instance.slots[rank] {
        None
    } else {
        Some(layout.experts_on(rank).iter().find(new).map(|&e| e as usize)?)
    };
    Some(Edits::One([Edit { rank, removed, added: Some(added) }]))
}
