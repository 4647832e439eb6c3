//! Estimates pass time from the group's pass numbers.

use std::collections::VecDeque;

use crate::unit;

/// Window of the mean.
const WINDOW: unit::Millis = unit::Millis::new(400);

/// Minimum passes for a mean.
const MIN_PASSES: u64 = 3;

/// Recent samples.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    samples: VecDeque<(u64, unit::Millis)>,
}

impl Meter {
    /// Records the number of the last started pass.
    pub fn observe(&mut self, step: u64, now: unit::Millis) {
        // Pass numbers restart in another epoch.
        if self.samples.back().is_some_and(|&(last, _)| step < last) {
            self.samples.clear();
        }
        self.samples.push_back((step, now));
        while self.samples.get(1).is_some_and(|&(_, at)| now >= at + WINDOW) {
            self.samples.pop_front();
        }
    }

    /// Mean pass time in milliseconds, if enough passes started recently. Idle time counts too.
    pub fn mean_ms(&self) -> Option<f64> {
        let (first, since) = *self.samples.front()?;
        let (last, at) = *self.samples.back()?;
        let passes = last - first;
        (passes >= MIN_PASSES).then(|| at.saturating_sub(since).get() as f64 / passes as f64)
    }
}
