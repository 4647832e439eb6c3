//! Forecast of expert loads from delayed reports.
//!
//! Each load is tracked by two exponential moving averages with different time constants. Under a
//! linear trend each lags by its time constant, so their difference gives the trend, and the
//! forecast corrects for the lag.

use crate::unit;

/// Ratio of the slow average's time constant to the fast one's.
const SLOW_RATIO: f64 = 4.0;
/// Damping factor of the trend in a forecast.
const TREND_DAMPING: f64 = 0.5;
/// Maximum ratio of a forecast to the fast average; its inverse is the minimum.
const MAX_RATIO: f64 = 1.5;

/// Tracks the loads of all layers.
#[derive(Clone, Debug)]
pub struct Tracker {
    time_constant: f64,
    last: Option<unit::Millis>,
    fast: Vec<Vec<f64>>,
    slow: Vec<Vec<f64>>,
}

impl Tracker {
    /// Creates a tracker whose fast average has the time constant `time_constant`.
    pub fn new(time_constant: unit::Millis) -> Self {
        let time_constant = seconds(time_constant).max(f64::MIN_POSITIVE);
        Self { time_constant, last: None, fast: Vec::new(), slow: Vec::new() }
    }

    /// Records the loads of each layer's experts at time `at`. A report that is invalid, not newer
    /// than the last one, or of a different shape is ignored. Returns whether the report was
    /// accepted.
    pub fn observe(&mut self, at: unit::Millis, loads: &[Vec<f64>]) -> bool {
        let valid = loads.iter().flatten().all(|l| l.is_finite() && *l >= 0.0);
        let Some(last) = self.last.filter(|_| valid) else {
            if valid {
                self.last = Some(at);
                self.fast = loads.to_vec();
                self.slow = loads.to_vec();
            }
            return valid;
        };
        let shape = |l: &[Vec<f64>]| l.iter().map(Vec::len).collect::<Vec<_>>();
        if at <= last || shape(loads) != shape(&self.fast) {
            return false;
        }
        let step = seconds(at.saturating_sub(last));
        blend(&mut self.fast, loads, 1.0 - (-step / self.time_constant).exp());
        blend(&mut self.slow, loads, 1.0 - (-step / (self.time_constant * SLOW_RATIO)).exp());
        self.last = Some(at);
        true
    }

    /// The loads expected at `at`; empty before the first report.
    pub fn forecast(&self, at: unit::Millis) -> Vec<Vec<f64>> {
        let ahead = self.last.map_or(0.0, |last| seconds(at.saturating_sub(last)));
        let layers = self.fast.iter().zip(&self.slow);
        layers
            .map(|(fast, slow)| {
                { fast.iter().zip(slow) }.map(|(&f, &s)| self.extrapolate(f, s, ahead)).collect()
            })
            .collect()
    }

    /// Time in seconds in which the loads change by their own total at the current trend.
    pub fn drift_seconds(&self) -> f64 {
        let pairs = || self.fast.iter().flatten().zip(self.slow.iter().flatten());
        let change: f64 = pairs().map(|(f, s)| (f - s).abs()).sum();
        let total: f64 = pairs().map(|(f, _)| f).sum();
        total * self.lag() / change.max(f64::MIN_POSITIVE)
    }

    /// Seconds by which the slow average lags behind the fast one.
    fn lag(&self) -> f64 {
        self.time_constant * (SLOW_RATIO - 1.0)
    }

    fn extrapolate(&self, fast: f64, slow: f64, ahead: f64) -> f64 {
        let trend = (fast - slow) / self.lag();
        let forecast = fast + TREND_DAMPING * trend * (self.time_constant + ahead);
        forecast.clamp(fast / MAX_RATIO, fast * MAX_RATIO)
    }
}

fn seconds(time: unit::Millis) -> f64 {
    time.duration().as_secs_f64()
}

fn blend(average: &mut [Vec<f64>], loads: &[Vec<f64>], weight: f64) {
    for (average, loads) in average.iter_mut().zip(loads) {
        for (average, load) in average.iter_mut().zip(loads) {
            *average += weight * (load - *average);
        }
    }
}
