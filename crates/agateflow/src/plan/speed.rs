//! Measured speeds of ranks, from their compute time in each step.
//!
//! The short-term speed reacts within seconds and determines shares. The long-term speed reacts
//! slowly and determines moves, so that a short stall triggers none.

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

/// Tracks the speeds of a group's ranks, in load units per second.
#[derive(Clone, Debug)]
pub struct Tracker {
    ranks: Vec<Rank>,
}

impl Tracker {
    /// Creates a tracker that reports the declared speeds until ranks are measured.
    pub fn new(declared: &[f64]) -> Self {
        let rank = |&speed: &f64| Rank { short_term: speed, long_term: speed, last: None };
        Self { ranks: declared.iter().map(rank).collect() }
    }

    /// Records that `rank` processed `load` in `seconds` of compute time. Idle steps and reports
    /// that are not newer than the last one are ignored.
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

    /// Speed of `rank`, averaged over about the last second.
    pub fn short_term(&self, rank: usize) -> f64 {
        self.ranks[rank].short_term
    }

    /// Speed of `rank`, averaged over about the last minute.
    pub fn long_term(&self, rank: usize) -> f64 {
        self.ranks[rank].long_term
    }
}
