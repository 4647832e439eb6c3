//! Search points (a layout with its step time and moves) and edits of them.

use crate::plan::{flow, instance, layout};

/// Addition, removal or replacement of one replica on one rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Edit {
    /// The rank.
    pub rank: usize,
    /// The expert whose replica is removed.
    pub removed: Option<usize>,
    /// The expert whose replica is added.
    pub added: Option<usize>,
}

/// The edits of one search step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Edits {
    /// One edit.
    One([Edit; 1]),
    /// Two edits on two ranks.
    Two([Edit; 2]),
}

impl Edits {
    /// The edits as a slice.
    pub fn as_slice(&self) -> &[Edit] {
        match self {
            Edits::One(edits) => edits,
            Edits::Two(edits) => edits,
        }
    }
}

impl Edit {
    /// The edit that reverts this one.
    pub fn inverse(self) -> Self {
        Self { removed: self.added, added: self.removed, ..self }
    }

    fn apply(self, layout: &mut layout::Layout) {
        if let Some(expert) = self.removed {
            layout.remove(self.rank, expert);
        }
        if let Some(expert) = self.added {
            layout.add(self.rank, expert);
        }
    }

    fn move_delta(self, current: &layout::Layout) -> isize {
        let new = |e: Option<usize>| e.is_some_and(|e| !current.holds(self.rank, e));
        isize::from(new(self.added)) - isize::from(new(self.removed))
    }
}

/// A layout with its step time and moves.
#[derive(Clone, Debug)]
pub struct Point {
    /// The layout.
    pub layout: layout::Layout,
    /// Its step time in units of the lower bound.
    pub time: f64,
    /// Replicas that the current layout lacks.
    pub moves: usize,
}

impl Point {
    /// Computes the step time and moves of `layout`.
    pub fn new(
        solver: &mut flow::Solver,
        instance: &instance::Instance,
        layout: layout::Layout,
    ) -> Self {
        let time = solver.solve(instance, &layout);
        let moves = instance.current.as_ref().map_or(0, |c| layout.moves(c));
        Self { layout, time, moves }
    }

    /// The weighted sum of skew and moves.
    pub fn objective(&self, instance: &instance::Instance) -> f64 {
        instance.objective(self.time, self.moves)
    }

    /// Applies `edits` unless an expert would lose its last replica. Returns whether they were
    /// applied. Does not update the step time.
    pub fn apply(&mut self, instance: &instance::Instance, edits: &[Edit]) -> bool {
        for edit in edits {
            edit.apply(&mut self.layout);
        }
        let covered = |e: &Edit| e.removed.is_none_or(|expert| self.layout.count(expert) > 0);
        if !edits.iter().all(covered) {
            self.revert(edits);
            return false;
        }
        if let Some(current) = &instance.current {
            let delta: isize = edits.iter().map(|e| e.move_delta(current)).sum();
            self.moves = self.moves.saturating_add_signed(delta);
        }
        true
    }

    /// Reverts `edits` that [`Self::apply`] applied.
    pub fn undo(&mut self, instance: &instance::Instance, edits: &[Edit]) {
        self.revert(edits);
        if let Some(current) = &instance.current {
            let delta: isize = edits.iter().map(|e| e.move_delta(current)).sum();
            self.moves = self.moves.saturating_add_signed(-delta);
        }
    }

    fn revert(&mut self, edits: &[Edit]) {
        for edit in edits.iter().rev() {
            edit.inverse().apply(&mut self.layout);
        }
    }
}
