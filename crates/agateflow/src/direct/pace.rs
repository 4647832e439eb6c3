//! How many requests a rank of a lock-step group may have, by the pauses that streams show.
//!
//! All ranks pass together, so the pause between events of any stream is the group's pass time.
//! The cost model gives a first limit; the pauses then raise or lower it.

use super::config;
use crate::unit;

/// Part of the longest pause that is aimed at.
const AIM: f64 = 0.85;

/// Pauses above this part of the longest one lower the limit.
const HIGH: f64 = 0.95;

/// Pauses below this part of the longest one raise the limit.
const LOW: f64 = 0.8;

/// Factor by which one sample of pauses lowers the limit.
const DECREASE: f64 = 0.95;

/// Requests by which one sample of pauses raises the limit.
const INCREASE: f64 = 0.25;

/// Time of a sample.
const SAMPLE_TIME: unit::Millis = unit::Millis::new(400);

/// Fewest pauses of a sample.
const SAMPLE_PAUSES: usize = 8;

/// Fewest requests of a rank.
const MIN_LIMIT: f64 = 2.0;

/// Time of a pass against the model's time where nothing was measured yet: experts are not even.
const MODEL_FACTOR: f64 = 1.5;

/// The limit of requests of one service's ranks.
#[derive(Clone, Debug)]
pub struct Pace {
    limit: f64,
    most: f64,
    pause: f64,
    samples: Vec<f64>,
    since: unit::Millis,
    measured: Option<f64>,
}

impl Pace {
    /// Starts from the engines' cost model and the longest pause that callers expect.
    pub fn new(engine: &config::Engine, pause: unit::Millis, now: unit::Millis) -> Self {
        let pause = pause.get() as f64;
        let most = f64::from(engine.slots);
        let fits =
            |&writers: &u32| engine.pass_ms(f64::from(writers)) * MODEL_FACTOR <= pause * AIM;
        let limit = (1..=engine.slots).rev().find(fits).unwrap_or(1);
        let limit = f64::from(limit).max(MIN_LIMIT).min(most);
        Self { limit, most, pause, samples: Vec::new(), since: now, measured: None }
    }

    /// Requests that a rank may have.
    pub const fn limit(&self) -> f64 {
        self.limit
    }

    /// The last measured pause, in milliseconds.
    pub const fn measured(&self) -> Option<f64> {
        self.measured
    }

    /// Takes in a pause between two events. `full` says whether ranks have as many requests as
    /// the limit allows: only then is a higher one of use.
    pub fn record(&mut self, pause: unit::Micros, full: bool, now: unit::Millis) {
        self.samples.push(pause.get() as f64 / 1_000.0);
        let ripe = now >= self.since + SAMPLE_TIME && self.samples.len() >= SAMPLE_PAUSES;
        if ripe {
            self.adjust(full);
            self.since = now;
            self.samples.clear();
        }
    }

    fn adjust(&mut self, full: bool) {
        self.samples.sort_by(f64::total_cmp);
        let high = self.samples[self.samples.len() * 3 / 4];
        self.measured = Some(high);
        if high > self.pause * HIGH {
            self.limit *= DECREASE;
        } else if high < self.pause * LOW && full {
            self.limit += INCREASE;
        }
        self.limit = self.limit.clamp(MIN_LIMIT.min(self.most), self.most);
    }
}
