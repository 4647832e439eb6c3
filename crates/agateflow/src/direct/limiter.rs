//! Limits the concurrent requests per rank of a lock-step group.
//!
//! All ranks run their passes together, so the pause between events of any stream is the group's
//! pass time. Part of it is fixed; the rest grows with the requests per rank, more so if experts
//! are unevenly loaded. One slow pass delays every running stream, and experts become unevenly
//! loaded within a moment when the content of requests shifts. Running streams cannot be taken
//! back, so the limit leaves headroom for the slowest recent pass.

use super::config;
use crate::unit;

/// Share of the longest tolerated pause that a pass may take.
const TARGET_SHARE: f64 = 0.95;

/// Weight of the newest pause in the moving average of the request cost.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Time in which the peak cost decays halfway to the average.
const PEAK_HALF_LIFE_MS: f64 = 6_000.0;

/// Cost of a request, relative to the cost model, before any measurement.
const INITIAL_FACTOR: f64 = 2.5;

/// Relative cost above which a pause is ignored: the group stalled.
const STALL_FACTOR: f64 = 10.0;

/// Cap on the relative cost of a request. Uneven experts cost no more; a longer pause is not caused
/// by the running requests, so a lower limit would not shorten it.
const MAX_FACTOR: f64 = 4.0;

/// Lowest limit, in requests per rank.
const MIN_LIMIT: f64 = 3.0;

/// Request limit for the ranks of one group.
#[derive(Clone, Debug)]
pub struct Limiter {
    slots: f64,
    max_pause_ms: f64,
    fixed_ms: f64,
    model_cost_ms: f64,
    cost_ms: f64,
    peak_cost_ms: f64,
    updated_at: unit::Millis,
}

impl Limiter {
    /// Starts from the engines' cost model, the longest pause that callers tolerate, and the cost
    /// factor that another entry measured, if known.
    pub fn new(
        engine: &config::Engine,
        pause: unit::Millis,
        measured_factor: Option<f64>,
        now: unit::Millis,
    ) -> Self {
        let stride = f64::from(engine.stride);
        let model_cost_ms = (stride * engine.request_ms).max(f64::MIN_POSITIVE);
        let factor = measured_factor.unwrap_or(INITIAL_FACTOR).clamp(1.0, MAX_FACTOR);
        Self {
            slots: f64::from(engine.slots),
            max_pause_ms: pause.get() as f64,
            fixed_ms: stride * engine.step_ms,
            model_cost_ms,
            cost_ms: model_cost_ms * factor,
            peak_cost_ms: model_cost_ms * factor,
            updated_at: now,
        }
    }

    /// Maximum number of concurrent requests per rank.
    pub fn limit(&self) -> f64 {
        let available_ms = self.max_pause_ms * TARGET_SHARE - self.fixed_ms;
        (available_ms / self.peak_cost_ms).max(MIN_LIMIT).min(self.slots)
    }

    /// Average cost of a request, relative to the cost model.
    pub fn cost_factor(&self) -> f64 {
        self.cost_ms / self.model_cost_ms
    }

    /// Recent peak of the relative cost.
    pub fn peak_cost_factor(&self) -> f64 {
        self.peak_cost_ms / self.model_cost_ms
    }

    /// Records a pause between two events of a stream while ranks had `requests_per_rank` requests
    /// on average.
    pub fn record_pause(&mut self, pause: unit::Micros, requests_per_rank: f64, now: unit::Millis) {
        let pause_ms = pause.get() as f64 / 1_000.0;
        let cost_ms = (pause_ms - self.fixed_ms) / requests_per_rank.max(1.0);
        if cost_ms > self.model_cost_ms * STALL_FACTOR {
            return;
        }
        let cost_ms = cost_ms.clamp(self.model_cost_ms, self.model_cost_ms * MAX_FACTOR);
        self.cost_ms += (cost_ms - self.cost_ms) * SAMPLE_WEIGHT;
        let age = now.saturating_sub(self.updated_at).get() as f64;
        let decay = 0.5_f64.powf(age / PEAK_HALF_LIFE_MS);
        let decayed = self.cost_ms + (self.peak_cost_ms - self.cost_ms) * decay;
        self.peak_cost_ms = decayed.max(self.cost_ms).max(cost_ms);
        self.updated_at = now;
    }
}
