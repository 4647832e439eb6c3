//! Planning state of one expert set.

use super::Bounds;

/// Exponent of the power sum minimized: the hottest ranks dominate, others still count.
const NORM_EXPONENT: i32 = 8;

/// Maximum moves per rank.
const MOVES_PER_RANK: usize = 4;

/// Number of coolest ranks considered for the hottest rank's experts.
const MAX_TARGETS: usize = 8;

/// Minimum relative gain of a move, times the number of ranks.
const MIN_GAIN: f64 = 0.016;

/// The same for each copy that a move needs.
const MIN_GAIN_PER_COPY: f64 = 0.64;

/// A move: an expert is added to a rank, removed or both.
#[derive(Clone, Copy, Debug, Default)]
struct Move {
    expert: u16,
    from: Option<usize>,
    to: Option<usize>,
    /// Expert moved from `to` to `dropped_to` or removed.
    dropped: Option<u16>,
    dropped_to: Option<usize>,
}

/// A set being planned.
pub(super) struct Planner<'a> {
    load: &'a [f64],
    initial: &'a [Vec<u16>],
    ranks: Vec<Vec<u16>>,
    /// Ranks holding each expert.
    holders: Vec<Vec<usize>>,
    /// Rank loads, relative to the mean.
    rank_loads: Vec<f64>,
    mean: f64,
    bounds: Bounds,
    /// Changes of `rank_loads` by the evaluated move.
    load_changes: Vec<(usize, f64)>,
    moves_left: usize,
    evaluations: usize,
}

impl<'a> Planner<'a> {
    pub(super) fn new(load: &'a [f64], initial: &'a [Vec<u16>], bounds: &Bounds) -> Self {
        let mut holders = vec![Vec::new(); load.len()];
        for (rank, experts) in initial.iter().enumerate() {
            for expert in experts {
                holders[usize::from(*expert)].push(rank);
            }
        }
        let mean = load.iter().sum::<f64>() / initial.len().max(1) as f64;
        let mut set = Self {
            load,
            initial,
            ranks: initial.to_vec(),
            holders,
            rank_loads: vec![0.0; initial.len()],
            mean: if mean > 0.0 { mean } else { 1.0 },
            bounds: *bounds,
            load_changes: Vec::new(),
            moves_left: initial.len() * MOVES_PER_RANK,
            evaluations: 0,
        };
        set.compute_rank_loads();
        set
    }

    fn compute_rank_loads(&mut self) {
        for rank in 0..self.ranks.len() {
            self.rank_loads[rank] =
                self.ranks[rank].iter().map(|&expert| self.load_per_holder(expert, 0)).sum();
        }
    }

    /// Load per holder of `expert` after `more` ranks were added.
    fn load_per_holder(&self, expert: u16, more: isize) -> f64 {
        let index = usize::from(expert);
        let holders = self.holders[index].len().saturating_add_signed(more);
        self.load[index] / self.mean / holders.max(1) as f64
    }

    fn hottest_rank(&self) -> Option<usize> {
        (0..self.rank_loads.len())
            .max_by(|&a, &b| self.rank_loads[a].total_cmp(&self.rank_loads[b]))
    }

    /// Load of the most loaded rank.
    pub(super) fn max_load(&self) -> f64 {
        self.rank_loads.iter().copied().fold(0.0, f64::max) * self.mean
    }

    /// Whether the search has ended.
    pub(super) const fn is_done(&self) -> bool {
        self.moves_left == 0
    }

    /// Number of rank loads computed.
    pub(super) const fn evaluations(&self) -> usize {
        self.evaluations
    }

    pub(super) fn into_ranks(self) -> Vec<Vec<u16>> {
        self.ranks
    }

    /// Applies the best move for the hottest rank or ends the search. `copies` counts per rank over
    /// all sets.
    pub(super) fn apply_best_move(&mut self, copies: &mut [usize]) {
        self.moves_left -= 1;
        let Some(hot) = self.hottest_rank() else { return };
        let ranks = self.ranks.len() as f64;
        self.evaluations += self.rank_loads.len();
        let objective: f64 =
            self.rank_loads.iter().map(|rank_load| rank_load.powi(NORM_EXPONENT)).sum();
        let mut best: Option<(f64, Move)> = None;
        for candidate in self.candidates(hot) {
            let Some(added) = self.added_copies(candidate, copies) else { continue };
            let gain = self.gain(candidate) / objective;
            let threshold = (MIN_GAIN + MIN_GAIN_PER_COPY * added.max(0) as f64) / ranks;
            let score = gain / (1 + added.max(0)) as f64;
            if gain > threshold && best.is_none_or(|(best, _)| score > best) {
                best = Some((score, candidate));
            }
        }
        match best {
            Some((_, candidate)) => self.apply(candidate, copies),
            None => self.moves_left = 0,
        }
    }

    /// Moves that relieve the hottest rank.
    fn candidates(&self, hot: usize) -> Vec<Move> {
        let mut cool: Vec<usize> = (0..self.rank_loads.len()).filter(|&rank| rank != hot).collect();
        cool.sort_by(|&a, &b| self.rank_loads[a].total_cmp(&self.rank_loads[b]));
        cool.truncate(MAX_TARGETS);
        let mut candidates = Vec::new();
        for &expert in &self.ranks[hot] {
            if self.is_replicated(expert) {
                candidates.push(Move { expert, from: Some(hot), ..Move::default() });
            }
            for &to in cool.iter().filter(|&&to| !self.ranks[to].contains(&expert)) {
                self.candidates_to(expert, hot, to, &mut candidates);
            }
        }
        candidates
    }

    fn candidates_to(&self, expert: u16, hot: usize, to: usize, candidates: &mut Vec<Move>) {
        for from in [None, Some(hot)] {
            let candidate = Move { expert, from, to: Some(to), ..Move::default() };
            if self.ranks[to].len() < self.bounds.places {
                candidates.push(candidate);
            }
            for &dropped in &self.ranks[to] {
                let candidate = Move { dropped: Some(dropped), ..candidate };
                if self.is_replicated(dropped) {
                    candidates.push(candidate);
                }
                if from.is_some() && !self.ranks[hot].contains(&dropped) {
                    candidates.push(Move { dropped_to: Some(hot), ..candidate });
                }
            }
        }
    }

    fn is_replicated(&self, expert: u16) -> bool {
        self.holders[usize::from(expert)].len() > 1
    }

    /// Copies that a move adds, or `None` if it exceeds a limit.
    fn added_copies(&self, candidate: Move, copies: &[usize]) -> Option<isize> {
        let mut added = 0;
        let arrivals = [
            (candidate.to, Some(candidate.expert), candidate.dropped),
            (candidate.dropped_to, candidate.dropped, candidate.from.map(|_| candidate.expert)),
        ];
        for (rank, new, old) in arrivals {
            let (Some(rank), Some(new)) = (rank, new) else { continue };
            let more = self.is_new(rank, new) as isize
                - old.is_some_and(|old| self.is_new(rank, old)) as isize;
            let new_in_set = self.new_count(rank).saturating_add_signed(more);
            let new_in_total = copies[rank].saturating_add_signed(more);
            if new_in_set > self.bounds.new_per_set || new_in_total > self.bounds.new_total {
                return None;
            }
            added += more;
        }
        Some(added)
    }

    fn is_new(&self, rank: usize, expert: u16) -> bool {
        !self.initial[rank].contains(&expert)
    }

    fn new_count(&self, rank: usize) -> usize {
        self.ranks[rank].iter().filter(|&&expert| self.is_new(rank, expert)).count()
    }

    /// Decrease of the objective by a move.
    fn gain(&mut self, candidate: Move) -> f64 {
        self.load_changes.clear();
        self.collect_load_changes(candidate.expert, candidate.from, candidate.to);
        if let Some(dropped) = candidate.dropped {
            self.collect_load_changes(dropped, candidate.to, candidate.dropped_to);
        }
        self.evaluations += self.load_changes.len();
        let lowered = self.load_changes.iter().map(|&(rank, change)| {
            let rank_load = self.rank_loads[rank];
            rank_load.powi(NORM_EXPONENT) - (rank_load + change).max(0.0).powi(NORM_EXPONENT)
        });
        lowered.sum()
    }

    /// Collects the load changes if `expert` moves from `from` to `to`.
    fn collect_load_changes(&mut self, expert: u16, from: Option<usize>, to: Option<usize>) {
        let before = self.load_per_holder(expert, 0);
        let more = isize::from(to.is_some()) - isize::from(from.is_some());
        let after = self.load_per_holder(expert, more);
        for index in 0..self.holders[usize::from(expert)].len() {
            let rank = self.holders[usize::from(expert)][index];
            let remaining = if Some(rank) == from { 0.0 } else { after };
            self.add_load_change(rank, remaining - before);
        }
        if let Some(to) = to {
            self.add_load_change(to, after);
        }
    }

    fn add_load_change(&mut self, rank: usize, delta: f64) {
        match self.load_changes.iter_mut().find(|(changed, _)| *changed == rank) {
            Some((_, change)) => *change += delta,
            None => self.load_changes.push((rank, delta)),
        }
    }

    fn apply(&mut self, candidate: Move, copies: &mut [usize]) {
        let affected = [candidate.from, candidate.to].into_iter().flatten();
        let ranks: Vec<usize> = affected.collect();
        let before: Vec<usize> = ranks.iter().map(|&rank| self.new_count(rank)).collect();
        self.gain(candidate);
        for index in 0..self.load_changes.len() {
            let (rank, change) = self.load_changes[index];
            self.rank_loads[rank] += change;
        }
        self.relocate(candidate.expert, candidate.from, candidate.to);
        if let Some(dropped) = candidate.dropped {
            self.relocate(dropped, candidate.to, candidate.dropped_to);
        }
        for (&rank, before) in ranks.iter().zip(before) {
            copies[rank] = copies[rank] + self.new_count(rank) - before;
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
