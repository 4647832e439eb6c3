//! Optimal shares of a layout: the minimum time in which its ranks can process the load.
//!
//! For a time `t`, rank `r` has capacity `t * speed[r]`, and a maximum flow from experts to ranks
//! tells whether all load fits. If not, the experts without an augmenting path and the ranks that
//! they reach form a cut. The cut's load over its speed is a larger lower bound of the time, with
//! which the same flow is continued (Dinkelbach's method). The last cut is the bottleneck.

use crate::plan::{instance, layout};

/// Load that is treated as zero, as a fraction of the layer's load.
const EPSILON: f64 = 1e-13;
/// Growth of the time that is treated as zero.
const MIN_GROWTH: f64 = 1e-12;

const NONE: u32 = u32::MAX;

/// Solver that reuses its buffers between calls.
#[derive(Clone, Debug, Default)]
pub struct Solver {
    /// Flow on each edge. Edges are ordered by rank, then as [`layout::Layout::experts_on`] or the
    /// given pairs.
    pub edge_flow: Vec<f64>,
    /// Expert of each edge.
    pub edge_expert: Vec<u32>,
    /// First edge of each rank, followed by the number of edges.
    pub rank_offsets: Vec<u32>,
    /// Unassigned load of each expert.
    unassigned: Vec<f64>,
    /// Residual capacity of each rank.
    pub residual: Vec<f64>,
    edge_rank: Vec<u32>,
    expert_offsets: Vec<u32>,
    expert_edges: Vec<u32>,
    expert_degree: Vec<u32>,
    rank_degree: Vec<u32>,
    active: Vec<bool>,
    leaves: Vec<u32>,
    queue: Vec<u32>,
    order: Vec<u32>,
    expert_parent: Vec<u32>,
    rank_parent: Vec<u32>,
    /// Whether each expert is in the last cut.
    pub cut_experts: Vec<bool>,
    /// Whether each rank is in the last cut.
    pub cut_ranks: Vec<bool>,
    /// Whether the last call found a cut.
    pub has_cut: bool,
    /// Work done, as edges visited by all calls.
    pub work: u64,
}

impl Solver {
    /// Finds shares with the minimum time and returns the time, in units of the lower bound.
    /// `layout` must cover each expert.
    pub fn solve(&mut self, instance: &instance::Instance, layout: &layout::Layout) -> f64 {
        self.solve_within(instance, layout, f64::INFINITY)
    }

    /// Like [`Self::solve`], but stops once a lower bound exceeds `limit`, and returns that bound.
    pub fn solve_within(
        &mut self,
        instance: &instance::Instance,
        layout: &layout::Layout,
        limit: f64,
    ) -> f64 {
        self.load_layout(layout);
        self.run(instance, limit)
    }

    /// Like [`Self::solve`], for replicas as pairs of rank and expert, sorted by rank. Each expert
    /// must have a replica.
    pub fn solve_pairs(&mut self, instance: &instance::Instance, pairs: &[(u32, u32)]) -> f64 {
        self.edge_expert.clear();
        self.edge_rank.clear();
        self.rank_offsets.clear();
        self.rank_offsets.resize(instance.ranks() + 1, 0);
        for &(rank, expert) in pairs {
            self.edge_rank.push(rank);
            self.edge_expert.push(expert);
            self.rank_offsets[rank as usize + 1] += 1;
        }
        for rank in 0..instance.ranks() {
            self.rank_offsets[rank + 1] += self.rank_offsets[rank];
        }
        self.run(instance, f64::INFINITY)
    }

    fn run(&mut self, instance: &instance::Instance, limit: f64) -> f64 {
        self.index_edges(instance);
        let mut time = self.single_bound(instance);
        if time > limit {
            return time;
        }
        self.residual.clear();
        self.residual.extend(instance.speed.iter().map(|s| s * time));
        self.eliminate_leaves();
        self.sort_unassigned();
        for index in 0..self.order.len() {
            let expert = self.order[index] as usize;
            while self.unassigned[expert] > EPSILON {
                if self.augment(expert) {
                    continue;
                }
                let next = self.cut_time(instance);
                let growth = next - time;
                if growth <= MIN_GROWTH {
                    self.unassigned[expert] = 0.0;
                    break;
                }
                if next > limit {
                    return next;
                }
                for (residual, speed) in self.residual.iter_mut().zip(&instance.speed) {
                    *residual += growth * speed;
                }
                time = next;
            }
        }
        time
    }

    /// Lower bound of the time from single experts and from the experts that only one rank holds.
    /// Stores the cut that gives it.
    fn single_bound(&mut self, instance: &instance::Instance) -> f64 {
        let (mut time, mut expert, mut rank) = (1.0 + MIN_GROWTH, None, None);
        for index in 0..instance.experts() {
            let edges = &self.expert_edges
                [self.expert_offsets[index] as usize..self.expert_offsets[index + 1] as usize];
            let speed: f64 =
                edges.iter().map(|&e| instance.speed[self.edge_rank[e as usize] as usize]).sum();
            if instance.load[index] > time * speed {
                time = instance.load[index] / speed;
                expert = Some(index);
            }
        }
        for index in 0..instance.ranks() {
            let sole_load: f64 = self.sole_experts(index).map(|e| instance.load[e]).sum();
            if sole_load > time * instance.speed[index] {
                time = sole_load / instance.speed[index];
                rank = Some(index);
            }
        }
        if let Some(rank) = rank {
            self.mark_rank(rank);
        } else if let Some(expert) = expert {
            self.mark_expert(expert);
        } else {
            time = 1.0;
        }
        time
    }

    /// The experts that only `rank` holds.
    fn sole_experts(&self, rank: usize) -> impl Iterator<Item = usize> {
        let edges = self.rank_offsets[rank] as usize..self.rank_offsets[rank + 1] as usize;
        self.edge_expert[edges].iter().map(|&e| e as usize).filter(|&e| self.expert_degree[e] == 1)
    }

    fn mark_rank(&mut self, rank: usize) {
        self.has_cut = true;
        self.cut_ranks[rank] = true;
        for edge in self.rank_offsets[rank]..self.rank_offsets[rank + 1] {
            let expert = self.edge_expert[edge as usize] as usize;
            self.cut_experts[expert] = self.expert_degree[expert] == 1;
        }
    }

    fn mark_expert(&mut self, expert: usize) {
        self.has_cut = true;
        self.cut_experts[expert] = true;
        for at in self.expert_offsets[expert]..self.expert_offsets[expert + 1] {
            let rank = self.edge_rank[self.expert_edges[at as usize] as usize] as usize;
            self.cut_ranks[rank] = true;
        }
    }

    /// Sorts the experts that have unassigned load, the largest first.
    fn sort_unassigned(&mut self) {
        self.order.clear();
        let unassigned = &self.unassigned;
        self.order
            .extend((0..unassigned.len() as u32).filter(|&e| unassigned[e as usize] > EPSILON));
        self.order.sort_unstable_by(|&a, &b| {
            unassigned[b as usize].total_cmp(&unassigned[a as usize]).then(a.cmp(&b))
        });
    }

    fn load_layout(&mut self, layout: &layout::Layout) {
        self.edge_expert.clear();
        self.edge_rank.clear();
        self.rank_offsets.clear();
        for rank in 0..layout.ranks() {
            self.rank_offsets.push(self.edge_expert.len() as u32);
            for &expert in layout.experts_on(rank) {
                self.edge_expert.push(expert);
                self.edge_rank.push(rank as u32);
            }
        }
        self.rank_offsets.push(self.edge_expert.len() as u32);
    }

    /// Indexes the edges by expert and resets the flow.
    fn index_edges(&mut self, instance: &instance::Instance) {
        let experts = instance.experts();
        let count = self.edge_expert.len();
        self.work += 2 * (count + experts) as u64;
        self.expert_offsets.clear();
        self.expert_offsets.resize(experts + 1, 0);
        for &expert in &self.edge_expert {
            self.expert_offsets[expert as usize + 1] += 1;
        }
        self.expert_degree.clear();
        self.expert_degree.extend_from_slice(&self.expert_offsets[1..]);
        for i in 0..experts {
            self.expert_offsets[i + 1] += self.expert_offsets[i];
        }
        self.expert_edges.clear();
        self.expert_edges.resize(count, 0);
        for edge in (0..count).rev() {
            let slot = &mut self.expert_offsets[self.edge_expert[edge] as usize + 1];
            *slot -= 1;
            self.expert_edges[*slot as usize] = edge as u32;
        }
        // Each offset now holds the first edge of the preceding expert.
        self.expert_offsets.remove(0);
        self.expert_offsets.push(count as u32);
        self.rank_degree.clear();
        self.rank_degree.extend(self.rank_offsets.windows(2).map(|w| w[1] - w[0]));
        self.edge_flow.clear();
        self.edge_flow.resize(count, 0.0);
        self.active.clear();
        self.active.resize(count, true);
        self.unassigned.clear();
        self.unassigned.extend_from_slice(&instance.load);
        self.has_cut = false;
        self.cut_experts.clear();
        self.cut_experts.resize(experts, false);
        self.cut_ranks.clear();
        self.cut_ranks.resize(instance.ranks(), false);
    }

    /// Assigns flow from the leaves inwards, which is exact if the graph has no cycle.
    fn eliminate_leaves(&mut self) {
        self.leaves.clear();
        for edge in 0..self.edge_expert.len() {
            self.push_if_leaf(edge);
        }
        let mut next = 0;
        loop {
            let edge = match self.leaves.pop() {
                Some(edge) => edge as usize,
                None => match self.widest_edge(&mut next) {
                    Some(edge) => edge,
                    None => return,
                },
            };
            if self.active[edge] {
                self.saturate(edge);
            }
        }
    }

    /// The edge to the rank with the most residual capacity, of the first expert from `next` on
    /// that has active edges.
    fn widest_edge(&self, next: &mut usize) -> Option<usize> {
        while *next < self.unassigned.len() {
            let edges = &self.expert_edges
                [self.expert_offsets[*next] as usize..self.expert_offsets[*next + 1] as usize];
            let active = edges.iter().map(|&e| e as usize).filter(|&e| self.active[e]);
            let residual = |e: usize| self.residual[self.edge_rank[e] as usize];
            if let Some(edge) = { active }.max_by(|&a, &b| residual(a).total_cmp(&residual(b))) {
                return Some(edge);
            }
            *next += 1;
        }
        None
    }

    fn push_if_leaf(&mut self, edge: usize) {
        let expert = self.expert_degree[self.edge_expert[edge] as usize];
        let rank = self.rank_degree[self.edge_rank[edge] as usize];
        if expert == 1 || rank == 1 {
            self.leaves.push(edge as u32);
        }
    }

    fn saturate(&mut self, edge: usize) {
        let (expert, rank) = (self.edge_expert[edge] as usize, self.edge_rank[edge] as usize);
        let amount = self.unassigned[expert].min(self.residual[rank]);
        self.edge_flow[edge] += amount;
        self.unassigned[expert] -= amount;
        self.residual[rank] -= amount;
        self.deactivate(edge);
        if self.unassigned[expert] <= 0.0 {
            for at in self.expert_offsets[expert]..self.expert_offsets[expert + 1] {
                self.deactivate(self.expert_edges[at as usize] as usize);
            }
        }
        if self.residual[rank] <= 0.0 {
            for at in self.rank_offsets[rank]..self.rank_offsets[rank + 1] {
                self.deactivate(at as usize);
            }
        }
    }

    fn deactivate(&mut self, edge: usize) {
        if !self.active[edge] {
            return;
        }
        self.active[edge] = false;
        let (expert, rank) = (self.edge_expert[edge] as usize, self.edge_rank[edge] as usize);
        self.expert_degree[expert] -= 1;
        self.rank_degree[rank] -= 1;
        if self.expert_degree[expert] == 1 {
            let mut last = (self.expert_offsets[expert]..self.expert_offsets[expert + 1])
                .map(|at| self.expert_edges[at as usize])
                .filter(|&e| self.active[e as usize]);
            if let Some(edge) = last.next() {
                self.leaves.push(edge);
            }
        }
        if self.rank_degree[rank] == 1 {
            let mut last = (self.rank_offsets[rank]..self.rank_offsets[rank + 1])
                .filter(|&e| self.active[e as usize]);
            if let Some(edge) = last.next() {
                self.leaves.push(edge);
            }
        }
    }

    /// Pushes load of `expert` along a shortest path to a rank with residual capacity. Returns
    /// whether there is one.
    fn augment(&mut self, expert: usize) -> bool {
        self.expert_parent.clear();
        self.expert_parent.resize(self.unassigned.len(), NONE);
        self.rank_parent.clear();
        self.rank_parent.resize(self.residual.len(), NONE);
        self.queue.clear();
        self.queue.push(expert as u32);
        self.expert_parent[expert] = NONE - 1;
        let mut at = 0;
        while at < self.queue.len() {
            let expert = self.queue[at] as usize;
            at += 1;
            self.work += u64::from(self.expert_offsets[expert + 1] - self.expert_offsets[expert]);
            for i in self.expert_offsets[expert]..self.expert_offsets[expert + 1] {
                let edge = self.expert_edges[i as usize];
                let rank = self.edge_rank[edge as usize] as usize;
                if self.rank_parent[rank] != NONE {
                    continue;
                }
                self.rank_parent[rank] = edge;
                self.work += u64::from(self.rank_offsets[rank + 1] - self.rank_offsets[rank]);
                if self.residual[rank] > EPSILON / 8.0 {
                    self.push_flow(rank);
                    return true;
                }
                for other in self.rank_offsets[rank]..self.rank_offsets[rank + 1] {
                    let expert = self.edge_expert[other as usize];
                    if self.edge_flow[other as usize] > 0.0
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
        let mut amount = self.residual[last];
        let mut rank = last;
        let source = loop {
            let edge = self.rank_parent[rank] as usize;
            let expert = self.edge_expert[edge] as usize;
            let back = self.expert_parent[expert];
            if back == NONE - 1 {
                break expert;
            }
            amount = amount.min(self.edge_flow[back as usize]);
            rank = self.edge_rank[back as usize] as usize;
        };
        amount = amount.min(self.unassigned[source]);
        self.residual[last] -= amount;
        self.unassigned[source] -= amount;
        let mut rank = last;
        loop {
            let edge = self.rank_parent[rank] as usize;
            self.edge_flow[edge] += amount;
            let back = self.expert_parent[self.edge_expert[edge] as usize];
            if back == NONE - 1 {
                return;
            }
            self.edge_flow[back as usize] -= amount;
            rank = self.edge_rank[back as usize] as usize;
        }
    }

    /// Stores the cut found by the last search and returns the time that it needs.
    fn cut_time(&mut self, instance: &instance::Instance) -> f64 {
        let (mut load, mut speed) = (0.0, 0.0);
        for (expert, &from) in self.expert_parent.iter().enumerate() {
            self.cut_experts[expert] = from != NONE;
            if from != NONE {
                load += instance.load[expert];
            }
        }
        for (rank, &from) in self.rank_parent.iter().enumerate() {
            self.cut_ranks[rank] = from != NONE;
            if from != NONE {
                speed += instance.speed[rank];
            }
        }
        self.has_cut = true;
        load / speed
    }
}

/// The bottleneck of a layout: experts whose load must fit on the ranks that hold them.
#[derive(Clone, Debug, Default)]
pub struct Cut {
    /// Whether each expert is in the bottleneck; empty if there is none.
    experts: Vec<bool>,
    ranks: Vec<bool>,
    load: f64,
    speed: f64,
}

impl Cut {
    /// Copies the last cut of `solver`.
    pub fn set(&mut self, solver: &Solver, instance: &instance::Instance) {
        self.experts.clear();
        self.ranks.clear();
        if !solver.has_cut {
            return;
        }
        self.experts.extend_from_slice(&solver.cut_experts);
        self.ranks.extend_from_slice(&solver.cut_ranks);
        let sum = |marks: &[bool], values: &[f64]| -> f64 {
            marks.iter().zip(values).filter(|&(&m, _)| m).map(|(_, v)| v).sum()
        };
        self.load = sum(&self.experts, &instance.load);
        self.speed = sum(&self.ranks, &instance.speed);
    }

    /// The experts of the bottleneck.
    pub fn experts(&self) -> impl Iterator<Item = usize> {
        self.experts.iter().enumerate().filter(|&(_, &m)| m).map(|(e, _)| e)
    }

    /// Lower bound of the time of `layout`, which must differ from the layout of the bottleneck
    /// only on `ranks`.
    pub fn bound(
        &self,
        instance: &instance::Instance,
        layout: &layout::Layout,
        ranks: impl Iterator<Item = usize>,
    ) -> f64 {
        if self.experts.is_empty() {
            return 1.0;
        }
        let mut speed = self.speed;
        for rank in ranks {
            let holds = layout.experts_on(rank).iter().any(|&e| self.experts[e as usize]);
            match (self.ranks[rank], holds) {
                (true, false) => speed -= instance.speed[rank],
                (false, true) => speed += instance.speed[rank],
                _ => {}
            }
        }
        // The margin keeps rounding from raising the bound above the true time.
        self.load / (speed * (1.0 + MIN_GROWTH))
    }
}
