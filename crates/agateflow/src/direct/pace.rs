//! How many requests a rank of a lock-step group may have.
//!
//! All ranks pass together, so the pause between events of any stream is the group's pass time.
//! Against the engines' cost model it gives a factor: how much slower a pass is than one with even
//! experts. Experts become uneven within a second when other contents are asked for, and streams
//! that run cannot be taken back, so the limit keeps room for the highest factor of the last time.

use super::config;
use crate::unit;

/// Part of the longest pause that a pass may take.
const AIM: f64 = 0.9;

/// Weight of the newest pause in the present factor.
const SAMPLE_SHARE: f64 = 0.1;

/// Time after which the highest factor comes half as near to the present one.
const HIGH_HALF_LIFE_MS: f64 = 6_000.0;

/// Factor before anything was measured.
const FIRST_FACTOR: f64 = 2.0;

/// Bounds of a factor that is believed: a stalled group says nothing about its experts.
const FACTORS: (f64, f64) = (1.0, 4.0);

/// Fewest requests of a rank.
const MIN_LIMIT: f64 = 3.0;

/// The limit of requests of one service's ranks.
#[derive(Clone, Debug)]
pub struct Pace {
    engine: config::Engine,
    pause_ms: f64,
    factor: f64,
    high: f64,
    at: unit::Millis,
}

impl Pace {
    /// Starts from the engines' cost model and the longest pause that callers expect.
    pub fn new(engine: &config::Engine, pause: unit::Millis, now: unit::Millis) -> Self {
        Self {
            engine: *engine,
            pause_ms: pause.get() as f64,
            factor: FIRST_FACTOR,
            high: FIRST_FACTOR,
            at: now,
        }
    }

    /// Requests that a rank may have.
    pub fn limit(&self) -> f64 {
        let fits = |&writers: &u32| {
            self.engine.pass_ms(f64::from(writers)) * self.high <= self.pause_ms * AIM
        };
        let fitting = (1..=self.engine.slots).rev().find(fits).unwrap_or(1);
        f64::from(fitting).max(MIN_LIMIT).min(f64::from(self.engine.slots))
    }

    /// How much slower passes are than with even experts.
    pub const fn factor(&self) -> f64 {
        self.factor
    }

    /// Takes in a pause between two events of a stream while the fullest rank had `writers`
    /// requests.
    pub fn record(&mut self, pause: unit::Micros, writers: u32, now: unit::Millis) {
        let model = self.engine.pass_ms(f64::from(writers.max(1)));
        let sample = pause.get() as f64 / 1_000.0 / model;
        let sample = sample.clamp(FACTORS.0, FACTORS.1);
        self.factor += (sample - self.factor) * SAMPLE_SHARE;
        let age = now.saturating_sub(self.at).get() as f64;
        let decay = 0.5_f64.powf(age / HIGH_HALF_LIFE_MS);
        self.high = (self.factor + (self.high - self.factor) * decay).max(self.factor);
        self.at = now;
    }
}
