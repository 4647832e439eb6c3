//! One set of experts while its map is planned.

use super::Bounds;

/// Exponent of the measure that is lowered: the hottest ranks dominate, others still count.
const POWER: i32 = 8;

/// Steps for each rank of a set.
const STEPS_PER_RANK: usize = 4;

/// Coolest ranks that are weighed as places for an expert of the hottest one.
const TARGETS: usize = 8;

/// Least part by which a step must lower the measure, times the ranks.
const LEAST_GAIN: f64 = 0.016;

/// The same for each copy that a step asks for.
const LEAST_GAIN_PER_COPY: f64 = 0.64;

/// A step: an expert comes to a rank, or leaves one, or both.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    expert: u16,
    from: Option<usize>,
    to: Option<usize>,
    /// Expert that leaves `to`, for `back` or altogether.
    dropped: Option<u16>,
    back: Option<usize>,
}

/// A set while it is planned.
pub(super) struct Set<'a> {
    load: &'a [f64],
    present: &'a [Vec<u16>],
    ranks: Vec<Vec<u16>>,
    /// Ranks that hold an expert.
    holders: Vec<Vec<usize>>,
    /// Load of each rank, against the mean.
    sums: Vec<f64>,
    mean: f64,
    bounds: Bounds,
    /// Changes of `sums` by the step that is weighed.
    changes: Vec<(usize, f64)>,
    steps_left: usize,
    work: usize,
}

impl<'a> Set<'a> {
    pub(super) fn new(load: &'a [f64], present: &'a [Vec<u16>], bounds: &Bounds) -> Self {
        let mut holders = vec![Vec::new(); load.len()];
        for (rank, experts) in present.iter().enumerate() {
            for expert in experts {
                holders[usize::from(*expert)].push(rank);
            }
        }
        let mean = load.iter().sum::<f64>() / present.len().max(1) as f64;
        let mut set = Self {
            load,
            present,
            ranks: present.to_vec(),
            holders,
            sums: vec![0.0; present.len()],
            mean: if mean > 0.0 { mean } else { 1.0 },
            bounds: *bounds,
            changes: Vec::new(),
            steps_left: present.len() * STEPS_PER_RANK,
            work: 0,
        };
        set.sum();
        set
    }

    fn sum(&mut self) {
        for rank in 0..self.ranks.len() {
            self.sums[rank] = self.ranks[rank].iter().map(|&expert| self.part(expert, 0)).sum();
        }
    }

    /// Load of each holder of `expert` after `more` ranks came to hold it.
    fn part(&self, expert: u16, more: isize) -> f64 {
        let index = usize::from(expert);
        let holders = self.holders[index].len().saturating_add_signed(more);
        self.load[index] / self.mean / holders.max(1) as f64
    }

    fn hottest_rank(&self) -> Option<usize> {
        (0..self.sums.len()).max_by(|&a, &b| self.sums[a].total_cmp(&self.sums[b]))
    }

    /// Load of the most loaded rank.
    pub(super) fn hottest(&self) -> f64 {
        self.sums.iter().copied().fold(0.0, f64::max) * self.mean
    }

    /// Whether no step pays any more.
    pub(super) const fn is_done(&self) -> bool {
        self.steps_left == 0
    }

    /// Ranks' loads that were worked out.
    pub(super) const fn work(&self) -> usize {
        self.work
    }

    pub(super) fn into_ranks(self) -> Vec<Vec<u16>> {
        self.ranks
    }

    /// Takes the best step at the hottest rank, or none any more. `copies` are those of each rank
    /// in all sets.
    pub(super) fn improve(&mut self, copies: &mut [usize]) {
        self.steps_left -= 1;
        let Some(hot) = self.hottest_rank() else { return };
        let ranks = self.ranks.len() as f64;
        self.work += self.sums.len();
        let measure: f64 = self.sums.iter().map(|sum| sum.powi(POWER)).sum();
        let mut best: Option<(f64, Step)> = None;
        for step in self.steps(hot) {
            let Some(added) = self.cost(step, copies) else { continue };
            let gain = self.gain(step) / measure;
            let least = (LEAST_GAIN + LEAST_GAIN_PER_COPY * added.max(0) as f64) / ranks;
            let value = gain / (1 + added.max(0)) as f64;
            if gain > least && best.is_none_or(|(best, _)| value > best) {
                best = Some((value, step));
            }
        }
        match best {
            Some((_, step)) => self.apply(step, copies),
            None => self.steps_left = 0,
        }
    }

    /// Steps that concern the hottest rank.
    fn steps(&self, hot: usize) -> Vec<Step> {
        let mut cool: Vec<usize> = (0..self.sums.len()).filter(|&rank| rank != hot).collect();
        cool.sort_by(|&a, &b| self.sums[a].total_cmp(&self.sums[b]));
        cool.truncate(TARGETS);
        let mut steps = Vec::new();
        for &expert in &self.ranks[hot] {
            if self.is_shared(expert) {
                steps.push(Step { expert, from: Some(hot), ..Step::default() });
            }
            for &to in cool.iter().filter(|&&to| !self.ranks[to].contains(&expert)) {
                self.steps_to(expert, hot, to, &mut steps);
            }
        }
        steps
    }

    fn steps_to(&self, expert: u16, hot: usize, to: usize, steps: &mut Vec<Step>) {
        for from in [None, Some(hot)] {
            let step = Step { expert, from, to: Some(to), ..Step::default() };
            if self.ranks[to].len() < self.bounds.places {
                steps.push(step);
            }
            for &dropped in &self.ranks[to] {
                let step = Step { dropped: Some(dropped), ..step };
                if self.is_shared(dropped) {
                    steps.push(step);
                }
                if from.is_some() && !self.ranks[hot].contains(&dropped) {
                    steps.push(Step { back: Some(hot), ..step });
                }
            }
        }
    }

    fn is_shared(&self, expert: u16) -> bool {
        self.holders[usize::from(expert)].len() > 1
    }

    /// Copies that a step adds, or nothing where it breaks a bound.
    fn cost(&self, step: Step, copies: &[usize]) -> Option<isize> {
        let mut added = 0;
        let came = [
            (step.to, Some(step.expert), step.dropped),
            (step.back, step.dropped, step.from.map(|_| step.expert)),
        ];
        for (rank, new, old) in came {
            let (Some(rank), Some(new)) = (rank, new) else { continue };
            let more = self.is_new(rank, new) as isize
                - old.is_some_and(|old| self.is_new(rank, old)) as isize;
            let of_set = self.new_at(rank).saturating_add_signed(more);
            let of_all = copies[rank].saturating_add_signed(more);
            if of_set > self.bounds.new || of_all > self.bounds.new_total {
                return None;
            }
            added += more;
        }
        Some(added)
    }

    fn is_new(&self, rank: usize, expert: u16) -> bool {
        !self.present[rank].contains(&expert)
    }

    fn new_at(&self, rank: usize) -> usize {
        self.ranks[rank].iter().filter(|&&expert| self.is_new(rank, expert)).count()
    }

    /// By how much a step lowers the measure.
    fn gain(&mut self, step: Step) -> f64 {
        self.changes.clear();
        self.shift(step.expert, step.from, step.to);
        if let Some(dropped) = step.dropped {
            self.shift(dropped, step.to, step.back);
        }
        self.work += self.changes.len();
        let lowered = self.changes.iter().map(|&(rank, change)| {
            let sum = self.sums[rank];
            sum.powi(POWER) - (sum + change).max(0.0).powi(POWER)
        });
        lowered.sum()
    }

    /// Adds what becomes of the ranks' loads where `expert` leaves `from` and comes to `to`.
    fn shift(&mut self, expert: u16, from: Option<usize>, to: Option<usize>) {
        let before = self.part(expert, 0);
        let more = isize::from(to.is_some()) - isize::from(from.is_some());
        let after = self.part(expert, more);
        for index in 0..self.holders[usize::from(expert)].len() {
            let rank = self.holders[usize::from(expert)][index];
            let left = if Some(rank) == from { 0.0 } else { after };
            self.change(rank, left - before);
        }
        if let Some(to) = to {
            self.change(to, after);
        }
    }

    fn change(&mut self, rank: usize, by: f64) {
        match self.changes.iter_mut().find(|(changed, _)| *changed == rank) {
            Some((_, change)) => *change += by,
            None => self.changes.push((rank, by)),
        }
    }

    fn apply(&mut self, step: Step, copies: &mut [usize]) {
        let places = [step.from, step.to].into_iter().flatten();
        let ranks: Vec<usize> = places.collect();
        let before: Vec<usize> = ranks.iter().map(|&rank| self.new_at(rank)).collect();
        self.gain(step);
        for index in 0..self.changes.len() {
            let (rank, change) = self.changes[index];
            self.sums[rank] += change;
        }
        self.relocate(step.expert, step.from, step.to);
        if let Some(dropped) = step.dropped {
            self.relocate(dropped, step.to, step.back);
        }
        for (&rank, before) in ranks.iter().zip(before) {
            copies[rank] = copies[rank] + self.new_at(rank) - before;
        }
    }

    fn relocate(&mut self, expert: u16, from: Option<usize>, to: Option<usize>) {
        let holders = &mut self.holders[usize::from(expert)];
        holders.retain(|&rank| Some(rank) != from);
        holders.extend(to);
        if let Some(from) = from {
            self.ranks[from].retain(|&held| held != expert);
        }
        if let Some(to) = to {
            self.ranks[to].push(expert);
        }
    }
}
