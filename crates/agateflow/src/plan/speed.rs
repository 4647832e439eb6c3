//! Measured speeds of ranks, from their own time in each step.
//!
//! The recent speed answers within seconds and steers shares; the lasting speed follows slowly and
//! steers moves, so that a short stall moves nothing.

use crate::unit;

/// Time constants of the averages in seconds.
const SHORT_TERM: f64 = 0.5;
const LONG_TERM: f64 = 20.0;

#[derive(Clone, Copy, Debug)]
struct Rank {
    short_term: f64,
    long_term: f64,
    last: Option<unit::Millis>,
}

/// Follows the speeds of a group's ranks in load units a second.
#[derive(Clone, Debug)]
pub struct Tracker {
    ranks: Vec<Rank>,
}

impl Tracker {
    /// Creates a tracker that believes the declared speeds until ranks are measured.
    pub fn new(declared: &[f64]) -> Self {
        let rank = |&speed: &f64| Rank { short_term: speed, long_term: speed, last: None };
        Self { ranks: declared.iter().map(rank).collect() }
    }

    /// Takes in that `rank` did `load` in `seconds` of its own time. An idle step and a report that
    /// is not newer than the last one change nothing.
    pub fn observe(&mut self, rank: usize, at: unit::Millis, load: f64, seconds: f64) {
        let speed = load / seconds;
        let Some(rank) = self.ranks.get_mut(rank) else {
            return;
        };
        if !speed.is_finite() || speed <= 0.0 || rank.last.is_some_and(|last| at <= last) {
            return;
        }
        let step = rank
            .last
            .map_or(f64::INFINITY, |last| at.saturating_sub(last).duration().as_secs_f64());
        rank.short_term += (1.0 - (-step / SHORT_TERM).exp()) * (speed - rank.short_term);
        rank.long_term += (1.0 - (-step / LONG_TERM).exp()) * (speed - rank.long_term);
        rank.last = Some(at);
    }

    /// Speed of `rank` over the last second.
    pub fn short_term(&self, rank: usize) -> f64 {
        self.ranks[rank].short_term
    }

    /// Speed of `rank` over the last minute.
    pub fn long_term(&self, rank: usize) -> f64 {
        self.ranks[rank].long_term
    }
}
