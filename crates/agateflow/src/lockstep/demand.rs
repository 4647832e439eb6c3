//! Recent expert selection counts.

use super::report::Load;
use crate::unit;

/// Half-life of a selection.
const HALF_LIFE_MS: f64 = 150.0;

/// One rank's decayed selection counts, from monotonic counters.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    last_counts: Vec<u64>,
    load: Vec<f64>,
    observed_at: Option<unit::Millis>,
}

impl Demand {
    /// Updates the counts. Counters lower than before mean that the rank restarted.
    pub fn observe(&mut self, counts: &[u64], now: unit::Millis) {
        let restarted = self.last_counts.len() != counts.len()
            || self.last_counts.iter().zip(counts).any(|(last, count)| count < last);
        if restarted {
            self.last_counts = counts.to_vec();
            self.load = vec![0.0; counts.len()];
        }
        let age = self.observed_at.map_or(0, |at| now.saturating_sub(at).get());
        let decay = 0.5_f64.powf(age as f64 / HALF_LIFE_MS);
        for ((load, last), count) in self.load.iter_mut().zip(&mut self.last_counts).zip(counts) {
            *load = *load * decay + (count - *last) as f64;
            *last = *count;
        }
        self.observed_at = Some(now);
    }

    /// Counts, set by set.
    pub fn load(&self) -> &[f64] {
        &self.load
    }
}

impl Load {
    /// Quantizes `load` to 255 steps of its maximum.
    pub fn new(load: &[f64]) -> Self {
        let largest = load.iter().copied().fold(0.0, f64::max);
        let unit = (largest / f64::from(u8::MAX)).max(f64::MIN_POSITIVE);
        let units = load.iter().map(|load| (load / unit).round() as u8).collect();
        Self { unit: unit as f32, units }
    }

    /// Adds the load to `sum`.
    pub fn add_to(&self, sum: &mut [f64]) {
        for (sum, &units) in sum.iter_mut().zip(&self.units) {
            *sum += f64::from(units) * f64::from(self.unit);
        }
    }
}
