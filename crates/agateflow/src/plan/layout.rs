//! Placement of one layer's experts on ranks, without shares.

/// The replicas of one layer.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    experts: usize,
    by_rank: Vec<Vec<u32>>,
    placed: Vec<bool>,
    count: Vec<u32>,
}

impl Layout {
    /// Creates a layout without replicas.
    pub fn new(ranks: usize, experts: usize) -> Self {
        Self {
            experts,
            by_rank: vec![Vec::new(); ranks],
            placed: vec![false; ranks * experts],
            count: vec![0; experts],
        }
    }

    /// The experts on `rank`, in no particular order.
    pub fn experts_on(&self, rank: usize) -> &[u32] {
        &self.by_rank[rank]
    }

    /// Whether `rank` holds `expert`.
    pub fn holds(&self, rank: usize, expert: usize) -> bool {
        self.placed[rank * self.experts + expert]
    }

    /// Number of replicas of `expert`.
    pub fn count(&self, expert: usize) -> u32 {
        self.count[expert]
    }

    /// Number of ranks.
    pub fn ranks(&self) -> usize {
        self.by_rank.len()
    }

    /// Number of experts.
    pub fn experts(&self) -> usize {
        self.experts
    }

    /// Total number of replicas of all experts.
    pub fn replicas(&self) -> usize {
        self.by_rank.iter().map(Vec::len).sum()
    }

    /// Whether each expert has at least one replica.
    pub fn covers(&self) -> bool {
        self.count.iter().all(|&c| c > 0)
    }

    /// Adds a replica. Does nothing if `rank` already holds `expert`.
    pub fn add(&mut self, rank: usize, expert: usize) {
        let slot = &mut self.placed[rank * self.experts + expert];
        if !*slot {
            *slot = true;
            self.by_rank[rank].push(expert as u32);
            self.count[expert] += 1;
        }
    }

    /// Removes a replica if present.
    pub fn remove(&mut self, rank: usize, expert: usize) {
        let slot = &mut self.placed[rank * self.experts + expert];
        if *slot {
            *slot = false;
            self.by_rank[rank].retain(|&e| e as usize != expert);
            self.count[expert] -= 1;
        }
    }

    /// Number of replicas that `other` lacks.
    pub fn moves(&self, other: &Layout) -> usize {
        self.placed.iter().zip(&other.placed).filter(|&(&here, &there)| here && !there).count()
    }
}
