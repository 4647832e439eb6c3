//! How often experts are chosen lately.

use super::report::Choices;
use crate::unit;

/// Time after which a choice counts half.
const HALF_LIFE_MS: f64 = 150.0;

/// Decayed counts of one rank's choices, from counters that only grow.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    last: Vec<u64>,
    load: Vec<f64>,
    at: Option<unit::Millis>,
}

impl Demand {
    /// Takes in the counters as of now. Counters that are lower than before belong to a rank that
    /// started again.
    pub fn observe(&mut self, counts: &[u64], now: unit::Millis) {
        let restarted = self.last.len() != counts.len()
            || self.last.iter().zip(counts).any(|(last, count)| count < last);
        if restarted {
            self.last = counts.to_vec();
            self.load = vec![0.0; counts.len()];
        }
        let age = self.at.map_or(0, |at| now.saturating_sub(at).get());
        let decay = 0.5_f64.powf(age as f64 / HALF_LIFE_MS);
        for ((load, last), count) in self.load.iter_mut().zip(&mut self.last).zip(counts) {
            *load = *load * decay + (count - *last) as f64;
            *last = *count;
        }
        self.at = Some(now);
    }

    /// The decayed counts.
    pub fn load(&self) -> &[f64] {
        &self.load
    }
}

impl Choices {
    /// Rounds `load` to 255 parts of its largest value.
    pub fn new(load: &[f64]) -> Self {
        let most = load.iter().copied().fold(0.0, f64::max);
        let unit = (most / f64::from(u8::MAX)).max(f64::MIN_POSITIVE);
        let units = load.iter().map(|load| (load / unit).round() as u8).collect();
        Self { unit: unit as f32, units }
    }

    /// Adds the choices to `sum`.
    pub fn add_to(&self, sum: &mut [f64]) {
        for (sum, &units) in sum.iter_mut().zip(&self.units) {
            *sum += f64::from(units) * f64::from(self.unit);
        }
    }
}
