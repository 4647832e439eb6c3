//! Expert maps where the ranks that hold an expert share its work evenly.
//!
//! A set's work lasts as long as that of its most loaded rank. From the present map, single steps
//! (a further copy, a copy less, a move, an exchange) are taken while they lower the load of the
//! hottest ranks, within the places of a rank and the copies that it may get in one change.

use serde::{Deserialize, Serialize};

use super::report::Map;

/// Exponent of the measure that is lowered: the hottest ranks dominate, others still count.
const POWER: i32 = 8;

/// Steps for each rank of a set.
const STEPS_PER_RANK: usize = 4;

/// Least part by which a step must lower the measure.
const LEAST_GAIN: f64 = 1e-3;

/// The same for each copy that a step asks for.
const LEAST_GAIN_PER_COPY: f64 = 0.04;

/// Bounds of a map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Experts that a rank may hold in a set.
    pub places: usize,
    /// Experts of a set that may be new to a rank in one change.
    pub new: usize,
    /// Experts of all sets that may be new to a rank in one change.
    pub new_total: usize,
}

/// A planned map.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The map.
    pub map: Map,
    /// Sum over the sets of the most loaded rank's load with the present map.
    pub before: f64,
    /// The same with the planned map.
    pub after: f64,
    /// Sum over the sets of the mean load: no map is better.
    pub bound: f64,
    /// Most experts that are new to a rank.
    pub copies: usize,
    /// Ranks' loads that were worked out on the way: the time that planning takes.
    pub work: usize,
}

/// Plans the next map for `load`, by set and expert, from the present one.
pub fn plan(load: &[Vec<f64>], present: &Map, bounds: &Bounds) -> Plan {
    let ranks = present.0.first().map_or(0, Vec::len);
    let mut copies = vec![0; ranks];
    let mut plan =
        Plan { map: Map::default(), before: 0.0, after: 0.0, bound: 0.0, copies: 0, work: 0 };
    let build = |index: usize| (index, Set::new(&load[index], &present.0[index], bounds));
    let mut order: Vec<_> = (0..present.0.len()).map(build).collect();
    order.sort_by(|(_, a), (_, b)| b.hottest().total_cmp(&a.hottest()));
    let mut sets: Vec<Vec<Vec<u16>>> = vec![Vec::new(); present.0.len()];
    for (index, mut set) in order {
        plan.before += set.hottest();
        set.improve(&copies, bounds);
        plan.after += set.hottest();
        plan.bound += load[index].iter().sum::<f64>() / ranks.max(1) as f64;
        for (rank, copies) in copies.iter_mut().enumerate() {
            *copies += set.new_at(rank);
        }
        plan.work += set.work;
        sets[index] = set.ranks;
    }
    plan.map = Map(sets);
    plan.copies = copies.into_iter().max().unwrap_or(0);
    plan
}

/// One set while it is planned.
struct Set<'a> {
    load: &'a [f64],
    present: &'a [Vec<u16>],
    ranks: Vec<Vec<u16>>,
    holders: Vec<usize>,
    sums: Vec<f64>,
    bounds: Bounds,
    work: usize,
}

/// A step: an expert comes to a rank, or leaves one, or both.
#[derive(Clone, Copy, Debug)]
struct Step {
    expert: u16,
    from: Option<usize>,
    to: Option<usize>,
    /// Expert that leaves `to`, for `back` or altogether.
    dropped: Option<u16>,
    back: Option<usize>,
}

impl<'a> Set<'a> {
    fn new(load: &'a [f64], present: &'a [Vec<u16>], bounds: &Bounds) -> Self {
        let mut holders = vec![0; load.len()];
        for expert in present.iter().flatten() {
            holders[usize::from(*expert)] += 1;
        }
        let ranks = present.to_vec();
        let mut set = Self {
            load,
            present,
            sums: vec![0.0; ranks.len()],
            ranks,
            holders,
            bounds: *bounds,
            work: 0,
        };
        set.sum();
        set
    }

    fn sum(&mut self) {
        for (rank, experts) in self.ranks.iter().enumerate() {
            self.sums[rank] = experts.iter().map(|&e| self.part(e)).sum();
        }
    }

    fn part(&self, expert: u16) -> f64 {
        let expert = usize::from(expert);
        self.load[expert] / self.holders[expert].max(1) as f64
    }

    fn hottest(&self) -> f64 {
        self.sums.iter().copied().fold(0.0, f64::max)
    }

    fn measure(&self) -> f64 {
        self.sums.iter().map(|sum| sum.powi(POWER)).sum()
    }

    fn new_at(&self, rank: usize) -> usize {
        let present = &self.present[rank];
        self.ranks[rank].iter().filter(|expert| !present.contains(expert)).count()
    }

    fn improve(&mut self, copies: &[usize], bounds: &Bounds) {
        for _ in 0..self.ranks.len() * STEPS_PER_RANK {
            let now = self.measure();
            let before = self.new_count();
            let best = self.steps().into_iter().filter_map(|step| {
                self.apply(step);
                self.work += self.ranks.len();
                let fits = self.fits(step, copies, bounds);
                let copies = self.new_count().saturating_sub(before) as f64;
                let gain = 1.0 - self.measure() / now;
                self.undo(step);
                let pays = gain > LEAST_GAIN + LEAST_GAIN_PER_COPY * copies;
                (fits && pays).then_some((gain / (1.0 + copies), step))
            });
            match best.max_by(|a, b| a.0.total_cmp(&b.0)) {
                Some((_, step)) => self.apply(step),
                None => return,
            }
        }
    }

    fn new_count(&self) -> usize {
        (0..self.ranks.len()).map(|rank| self.new_at(rank)).sum()
    }

    fn fits(&self, step: Step, copies: &[usize], bounds: &Bounds) -> bool {
        [step.to, step.back].into_iter().flatten().all(|rank| {
            let new = self.new_at(rank);
            self.ranks[rank].len() <= self.bounds.places
                && new <= bounds.new
                && copies[rank] + new <= bounds.new_total
        })
    }

    /// Steps that concern the hottest rank.
    fn steps(&self) -> Vec<Step> {
        let hot = (0..self.sums.len()).max_by(|&a, &b| self.sums[a].total_cmp(&self.sums[b]));
        let Some(hot) = hot else { return Vec::new() };
        let mut steps = Vec::new();
        for &expert in &self.ranks[hot] {
            if self.holders[usize::from(expert)] > 1 {
                let from = Some(hot);
                steps.push(Step { expert, from, to: None, dropped: None, back: None });
            }
            for to in (0..self.ranks.len()).filter(|&to| to != hot) {
                if !self.ranks[to].contains(&expert) {
                    self.steps_to(expert, hot, to, &mut steps);
                }
            }
        }
        steps
    }

    fn steps_to(&self, expert: u16, hot: usize, to: usize, steps: &mut Vec<Step>) {
        let to_rank = Some(to);
        for from in [None, Some(hot)] {
            if self.ranks[to].len() < self.bounds.places {
                steps.push(Step { expert, from, to: to_rank, dropped: None, back: None });
            }
            for &dropped in &self.ranks[to] {
                if self.holders[usize::from(dropped)] > 1 {
                    let dropped = Some(dropped);
                    steps.push(Step { expert, from, to: to_rank, dropped, back: None });
                }
                if from.is_some() && !self.ranks[hot].contains(&dropped) {
                    let (dropped, back) = (Some(dropped), Some(hot));
                    steps.push(Step { expert, from, to: to_rank, dropped, back });
                }
            }
        }
    }

    fn apply(&mut self, step: Step) {
        if let (Some(dropped), Some(to)) = (step.dropped, step.to) {
            self.take(dropped, to);
            if let Some(back) = step.back {
                self.give(dropped, back);
            }
        }
        if let Some(from) = step.from {
            self.take(step.expert, from);
        }
        if let Some(to) = step.to {
            self.give(step.expert, to);
        }
    }

    fn undo(&mut self, step: Step) {
        if let Some(to) = step.to {
            self.take(step.expert, to);
        }
        if let Some(from) = step.from {
            self.give(step.expert, from);
        }
        if let (Some(dropped), Some(to)) = (step.dropped, step.to) {
            if let Some(back) = step.back {
                self.take(dropped, back);
            }
            self.give(dropped, to);
        }
    }

    fn give(&mut self, expert: u16, rank: usize) {
        self.weigh(expert, 1);
        self.ranks[rank].push(expert);
        self.sums[rank] += self.part(expert);
    }

    fn take(&mut self, expert: u16, rank: usize) {
        self.sums[rank] -= self.part(expert);
        self.ranks[rank].retain(|&held| held != expert);
        self.weigh(expert, -1);
    }

    /// Changes the number of holders of `expert` and what each of them carries.
    fn weigh(&mut self, expert: u16, by: isize) {
        let before = self.part(expert);
        let index = usize::from(expert);
        self.holders[index] = self.holders[index].saturating_add_signed(by);
        let change = self.part(expert) - before;
        for (rank, experts) in self.ranks.iter().enumerate() {
            if experts.contains(&expert) {
                self.sums[rank] += change;
            }
        }
    }
}
