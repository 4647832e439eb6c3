//! Repair of a layout for a target step time: experts whose load does not fit get replicas on ranks
//! with residual capacity, one at a time, and the flow of the other experts is kept.

use std::mem;

use crate::plan::{instance, layout};

/// Load that is treated as zero, as a fraction of the layer's load.
const EPSILON: f64 = 1e-11;
/// Fraction of the maximum possible gain at which a candidate is accepted without trying the rest.
const ACCEPT_GAIN: f64 = 0.95;

const NONE: u32 = u32::MAX;
const SOURCE: u32 = u32::MAX - 1;

/// A layout and its flow, stored by slot.
#[derive(Debug, Default)]
struct State {
    /// Expert on each slot, or [`NONE`].
    expert: Vec<u32>,
    /// Load on each slot.
    flow: Vec<f64>,
    /// Unassigned load of each expert.
    unassigned: Vec<f64>,
    /// Residual capacity of each rank.
    residual: Vec<f64>,
    /// First slot of each expert, or [`NONE`].
    head: Vec<u32>,
    /// Next slot of the same expert, or [`NONE`].
    next: Vec<u32>,
    /// Number of slots of each expert.
    count: Vec<u32>,
}

impl Clone for State {
    fn clone(&self) -> Self {
        let mut copy = Self::default();
        copy.clone_from(self);
        copy
    }

    fn clone_from(&mut self, other: &Self) {
        self.expert.clone_from(&other.expert);
        self.flow.clone_from(&other.flow);
        self.unassigned.clone_from(&other.unassigned);
        self.residual.clone_from(&other.residual);
        self.head.clone_from(&other.head);
        self.next.clone_from(&other.next);
        self.count.clone_from(&other.count);
    }
}

impl State {
    fn link(&mut self, slot: u32, expert: u32) {
        let (slot, expert) = (slot as usize, expert as usize);
        self.expert[slot] = expert as u32;
        self.next[slot] = self.head[expert];
        self.head[expert] = slot as u32;
        self.count[expert] += 1;
    }

    fn unlink(&mut self, slot: u32) {
        let expert = self.expert[slot as usize] as usize;
        let next = self.next[slot as usize];
        let mut at = self.head[expert];
        if at == slot {
            self.head[expert] = next;
        }
        while at != NONE && at != slot {
            if self.next[at as usize] == slot {
                self.next[at as usize] = next;
                break;
            }
            at = self.next[at as usize];
        }
        self.expert[slot as usize] = NONE;
        self.count[expert] -= 1;
    }
}

/// Repairs layouts and reuses its buffers between calls.
#[derive(Debug, Default)]
pub struct Repair {
    state: State,
    snapshot: State,
    /// First slot of each rank, followed by the number of slots.
    rank_offsets: Vec<u32>,
    /// Rank of each slot.
    slot_rank: Vec<u32>,
    queue: Vec<u32>,
    expert_parent: Vec<u32>,
    rank_parent: Vec<u32>,
    /// Work done, as slots visited by all calls.
    pub work: u64,
}

/// A replacement on one slot with its estimated gain.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    slot: u32,
    gain: f64,
}

impl Repair {
    /// Repairs `layout` for the step time `time`, in units of the lower bound. Evaluates at most
    /// `width` replacements per move.
    pub fn run(
        &mut self,
        instance: &instance::Instance,
        layout: &layout::Layout,
        time: f64,
        width: usize,
    ) -> layout::Layout {
        self.reset(instance, layout, time);
        for expert in 0..instance.experts() {
            self.route(expert);
        }
        let mut stuck = vec![false; instance.experts()];
        while let Some(expert) = self.most_unassigned(&stuck) {
            if !self.route(expert) && !self.add_replica(instance, expert, width) {
                stuck[expert] = true;
            }
        }
        self.undo_idle_moves(instance);
        self.layout(instance)
    }

    fn reset(&mut self, instance: &instance::Instance, layout: &layout::Layout, time: f64) {
        let state = &mut self.state;
        state.expert.clear();
        self.slot_rank.clear();
        self.rank_offsets.clear();
        state.next.clear();
        state.head.clear();
        state.head.resize(instance.experts(), NONE);
        state.count.clear();
        state.count.resize(instance.experts(), 0);
        for rank in 0..instance.ranks() {
            self.rank_offsets.push(state.expert.len() as u32);
            let held = layout.experts_on(rank);
            for slot in 0..instance.slots[rank].max(held.len()) {
                state.expert.push(NONE);
                state.next.push(NONE);
                self.slot_rank.push(rank as u32);
                if let Some(&expert) = held.get(slot) {
                    state.link(state.expert.len() as u32 - 1, expert);
                }
            }
        }
        self.rank_offsets.push(state.expert.len() as u32);
        state.flow.clear();
        state.flow.resize(state.expert.len(), 0.0);
        state.unassigned.clone_from(&instance.load);
        state.residual.clear();
        state.residual.extend(instance.speed.iter().map(|s| s * time));
        self.work += 2 * state.expert.len() as u64;
    }

    /// The expert with the most unassigned load, except those that are stuck.
    fn most_unassigned(&self, stuck: &[bool]) -> Option<usize> {
        let unassigned = &self.state.unassigned;
        (0..unassigned.len())
            .filter(|&e| unassigned[e] > EPSILON && !stuck[e])
            .max_by(|&a, &b| unassigned[a].total_cmp(&unassigned[b]).then(b.cmp(&a)))
    }

    /// Assigns as much load of `expert` as fits. Returns whether all of it fits.
    fn route(&mut self, expert: usize) -> bool {
        while self.state.unassigned[expert] > EPSILON {
            if !self.augment(expert) {
                return false;
            }
        }
        true
    }

    fn augment(&mut self, source: usize) -> bool {
        let state = &self.state;
        self.expert_parent.clear();
        self.expert_parent.resize(state.unassigned.len(), NONE);
        self.rank_parent.clear();
        self.rank_parent.resize(state.residual.len(), NONE);
        self.queue.clear();
        self.queue.push(source as u32);
        self.expert_parent[source] = SOURCE;
        let mut at = 0;
        while at < self.queue.len() {
            let expert = self.queue[at] as usize;
            at += 1;
            let mut next = state.head[expert];
            while next != NONE {
                let slot = next;
                next = state.next[slot as usize];
                let rank = self.slot_rank[slot as usize] as usize;
                if self.rank_parent[rank] != NONE {
                    continue;
                }
                self.rank_parent[rank] = slot;
                if state.residual[rank] > EPSILON {
                    self.push_flow(rank);
                    return true;
                }
                self.work += u64::from(self.rank_offsets[rank + 1] - self.rank_offsets[rank]) + 1;
                for other in self.rank_offsets[rank]..self.rank_offsets[rank + 1] {
                    let expert = state.expert[other as usize];
                    if state.flow[other as usize] > EPSILON
                        && self.expert_parent[expert as usize] == NONE
                    {
                        self.expert_parent[expert as usize] = other;
                        self.queue.push(expert);
                    }
                }
            }
        }
        false
    }

    fn push_flow(&mut self, last: usize) {
        let state = &mut self.state;
        let mut amount = state.residual[last];
        let mut slot = self.rank_parent[last] as usize;
        let source = loop {
            let expert = state.expert[slot] as usize;
            let back = self.expert_parent[expert];
            if back == SOURCE {
                break expert;
            }
            amount = amount.min(state.flow[back as usize]);
            slot = self.rank_parent[self.slot_rank[back as usize] as usize] as usize;
        };
        amount = amount.min(state.unassigned[source]);
        state.residual[last] -= amount;
        state.unassigned[source] -= amount;
        let mut slot = self.rank_parent[last] as usize;
        loop {
            state.flow[slot] += amount;
            let back = self.expert_parent[state.expert[slot] as usize];
            if back == SOURCE {
                return;
            }
            state.flow[back as usize] -= amount;
            slot = self.rank_parent[self.slot_rank[back as usize] as usize] as usize;
        }
    }

    /// Adds a replica of `expert`, whose last search found no augmenting path. Returns whether that
    /// reduces the unassigned load; otherwise nothing changes.
    fn add_replica(&mut self, instance: &instance::Instance, expert: usize, width: usize) -> bool {
        let unassigned = self.state.unassigned[expert];
        let mut candidates = self.candidates(instance, expert);
        let order =
            |a: &Candidate, b: &Candidate| b.gain.total_cmp(&a.gain).then(a.slot.cmp(&b.slot));
        if candidates.len() > width {
            candidates.select_nth_unstable_by(width, order);
            candidates.truncate(width);
        }
        candidates.sort_unstable_by(order);
        let mut snapshot = mem::take(&mut self.snapshot);
        snapshot.clone_from(&self.state);
        let total: f64 = snapshot.unassigned.iter().sum();
        let mut best = (EPSILON, None);
        for candidate in &candidates {
            self.replace(candidate.slot, expert);
            let gain = total - self.state.unassigned.iter().sum::<f64>();
            if gain >= ACCEPT_GAIN * unassigned {
                self.snapshot = snapshot;
                return true;
            }
            if gain > best.0 {
                best = (gain, Some(candidate.slot));
            }
            self.state.clone_from(&snapshot);
        }
        self.snapshot = snapshot;
        if let Some(slot) = best.1 {
            self.replace(slot, expert);
        }
        best.1.is_some()
    }

    /// Slots for a replica of `expert`, on ranks that its last search did not reach.
    fn candidates(&self, instance: &instance::Instance, expert: usize) -> Vec<Candidate> {
        let state = &self.state;
        let unassigned = state.unassigned[expert];
        let mut candidates = Vec::new();
        for rank in (0..instance.ranks()).filter(|&r| self.rank_parent[r] == NONE) {
            for slot in self.rank_offsets[rank]..self.rank_offsets[rank + 1] {
                let (removed, flow) = (state.expert[slot as usize], state.flow[slot as usize]);
                if removed != NONE && state.count[removed as usize] < 2 {
                    continue;
                }
                let gain = unassigned.min(state.residual[rank] + flow) - flow;
                let returns = instance.current.as_ref().is_some_and(|c| c.holds(rank, expert));
                let gain = if returns { gain + unassigned } else { gain };
                candidates.push(Candidate { slot, gain });
            }
        }
        candidates
    }

    /// Places `expert` on `slot` and reroutes the load that it displaces.
    fn replace(&mut self, slot: u32, expert: usize) {
        let at = slot as usize;
        let removed = self.state.expert[at];
        let rank = self.slot_rank[at] as usize;
        let state = &mut self.state;
        if removed != NONE {
            state.unlink(slot);
            state.unassigned[removed as usize] += state.flow[at];
            state.residual[rank] += state.flow[at];
            state.flow[at] = 0.0;
        }
        state.link(slot, expert as u32);
        self.route(expert);
        if removed != NONE {
            self.route(removed as usize);
        }
    }

    /// Reverts replacements whose new replica carries no load to replicas of the current layout.
    fn undo_idle_moves(&mut self, instance: &instance::Instance) {
        let Some(current) = &instance.current else {
            return;
        };
        for rank in 0..instance.ranks() {
            for slot in self.rank_offsets[rank]..self.rank_offsets[rank + 1] {
                let expert = self.state.expert[slot as usize];
                let idle = self.state.flow[slot as usize] <= EPSILON;
                if expert == NONE || !idle || self.state.count[expert as usize] < 2 {
                    continue;
                }
                if !current.holds(rank, expert as usize) {
                    self.restore_slot(current, rank, slot);
                }
            }
        }
    }

    fn restore_slot(&mut self, current: &layout::Layout, rank: usize, slot: u32) {
        let state = &mut self.state;
        let held =
            &state.expert[self.rank_offsets[rank] as usize..self.rank_offsets[rank + 1] as usize];
        let back = current.experts_on(rank).iter().find(|e| !held.contains(e)).copied();
        state.unlink(slot);
        if let Some(back) = back {
            state.link(slot, back);
        }
    }

    fn layout(&self, instance: &instance::Instance) -> layout::Layout {
        let mut layout = layout::Layout::new(instance.ranks(), instance.experts());
        for (&expert, &rank) in self.state.expert.iter().zip(&self.slot_rank) {
            if expert != NONE {
                layout.add(rank as usize, expert as usize);
            }
        }
        layout
    }
}
