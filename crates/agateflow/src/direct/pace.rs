//! How many requests a rank of a lock-step group may have.
//!
//! All ranks pass together, so the pause between events of any stream is the group's pass time. A
//! part of it is fixed; the rest grows with the requests of a rank, the more the less even the
//! experts are. One slow pass makes every stream late that runs then, and experts become uneven
//! within a moment when other contents are asked for. Streams that run cannot be taken back, so
//! the limit keeps room for the slowest pass of the last time.

use super::config;
use crate::unit;

/// Part of the longest pause that a pass may take.
const AIM: f64 = 0.95;

/// Weight of the newest pause in the present cost of a request.
const SAMPLE_SHARE: f64 = 0.1;

/// Time after which the highest cost comes half as near to the present one.
const HIGH_HALF_LIFE_MS: f64 = 6_000.0;

/// Cost of a request against the cost model's before anything was measured.
const FIRST_FACTOR: f64 = 2.5;

/// Cost against the cost model's above which a pause says nothing: the group stalled.
const STALL_FACTOR: f64 = 10.0;

/// Highest believed cost against the cost model's. Uneven experts cost no more; what a pause takes
/// beyond that does not come from the requests that run, and fewer of them would not shorten it.
const MAX_FACTOR: f64 = 4.0;

/// Fewest requests of a rank.
const MIN_LIMIT: f64 = 3.0;

/// The limit of requests of one service's ranks.
#[derive(Clone, Debug)]
pub struct Pace {
    slots: f64,
    pause_ms: f64,
    fixed_ms: f64,
    model_ms: f64,
    cost_ms: f64,
    high_ms: f64,
    at: unit::Millis,
}

impl Pace {
    /// Starts from the engines' cost model, the longest pause that callers expect, and the cost
    /// that another entry has measured, if one is known.
    pub fn new(
        engine: &config::Engine,
        pause: unit::Millis,
        known: Option<f64>,
        now: unit::Millis,
    ) -> Self {
        let stride = f64::from(engine.stride);
        let model_ms = (stride * engine.request_ms).max(f64::MIN_POSITIVE);
        let factor = known.unwrap_or(FIRST_FACTOR).clamp(1.0, MAX_FACTOR);
        Self {
            slots: f64::from(engine.slots),
            pause_ms: pause.get() as f64,
            fixed_ms: stride * engine.step_ms,
            model_ms,
            cost_ms: model_ms * factor,
            high_ms: model_ms * factor,
            at: now,
        }
    }

    /// Requests that a rank may have.
    pub fn limit(&self) -> f64 {
        let room_ms = self.pause_ms * AIM - self.fixed_ms;
        (room_ms / self.high_ms).max(MIN_LIMIT).min(self.slots)
    }

    /// Cost of a request of each rank against the cost model's.
    pub fn factor(&self) -> f64 {
        self.cost_ms / self.model_ms
    }

    /// The highest such cost of late.
    pub fn high_factor(&self) -> f64 {
        self.high_ms / self.model_ms
    }

    /// Takes in a pause between two events of a stream while a rank had `writers` requests in the
    /// mean.
    pub fn record(&mut self, pause: unit::Micros, writers: f64, now: unit::Millis) {
        let pause_ms = pause.get() as f64 / 1_000.0;
        let cost_ms = (pause_ms - self.fixed_ms) / writers.max(1.0);
        if cost_ms > self.model_ms * STALL_FACTOR {
            return;
        }
        let cost_ms = cost_ms.clamp(self.model_ms, self.model_ms * MAX_FACTOR);
        self.cost_ms += (cost_ms - self.cost_ms) * SAMPLE_SHARE;
        let age = now.saturating_sub(self.at).get() as f64;
        let decay = 0.5_f64.powf(age / HIGH_HALF_LIFE_MS);
        let faded = self.cost_ms + (self.high_ms - self.cost_ms) * decay;
        self.high_ms = faded.max(self.cost_ms).max(cost_ms);
        self.at = now;
    }
}
