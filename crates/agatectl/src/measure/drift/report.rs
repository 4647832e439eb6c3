//! What a method made of a trace.

use agateflow::plan::cost;
use agateflow::unit;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::measure::drift;
use crate::measure::drift::{method::Method, timing, trace, trace::Trace};

/// Skew below which a group counts as recovered from a straggler.
pub const RECOVERED: f64 = 0.15;
/// Units of the histogram of skews in 1.
const SCALE: f64 = 10_000.0;
/// Largest skew that the histogram resolves.
const MAX_SKEW: u64 = 1_000_000;

/// One trace with the results of all methods.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The trace.
    pub trace: Trace,
    /// The results.
    pub methods: Vec<Result>,
}

/// The result of one method.
#[derive(Clone, Debug, Serialize)]
pub struct Result {
    /// The method.
    pub method: Method,
    /// Mean skew over steps.
    pub skew_mean: f64,
    /// Skew that 95 in 100 steps do not exceed.
    pub skew_p95: f64,
    /// Skew that 99 in 100 steps do not exceed.
    pub skew_p99: f64,
    /// Mean step time in seconds.
    pub step_seconds: f64,
    /// Mean lower bound of the step time in seconds.
    pub bound_seconds: f64,
    /// Slots moved.
    pub moves: usize,
    /// Bytes loaded for them.
    pub bytes: u64,
    /// Seconds in which the weight store was busy with them.
    pub store_seconds: f64,
    /// Seconds in which no step could run, as experts had no replica.
    pub stalled_seconds: f64,
    /// Seconds from the begin of each stall of a straggler until the skew stayed low, empty where
    /// it did not before the end of the stall.
    pub recovery_seconds: Vec<Option<f64>>,
    /// Skews over time.
    #[serde(skip)]
    pub skews: Vec<(f64, f64)>,
}

impl Result {
    /// Creates an empty result.
    pub fn new(method: Method) -> Self {
        Self {
            method,
            skew_mean: 0.0,
            skew_p95: 0.0,
            skew_p99: 0.0,
            step_seconds: 0.0,
            bound_seconds: 0.0,
            moves: 0,
            bytes: 0,
            store_seconds: 0.0,
            stalled_seconds: 0.0,
            recovery_seconds: Vec::new(),
            skews: Vec::new(),
        }
    }

    /// Takes in a step.
    pub fn record(&mut self, at: unit::Millis, cost: &cost::Cost) {
        self.skews.push((at.duration().as_secs_f64(), cost.skew));
        self.step_seconds += cost.seconds;
        self.bound_seconds += cost.bound;
    }

    /// Takes in a sample in which no step could run.
    pub fn stall(&mut self) {
        self.stalled_seconds += trace::SAMPLE.duration().as_secs_f64();
    }

    /// Works out the figures.
    pub fn finish(&mut self, trace: Trace) {
        let count = self.skews.len().max(1) as f64;
        self.step_seconds /= count;
        self.bound_seconds /= count;
        self.skew_mean = self.skews.iter().map(|s| s.1).sum::<f64>() / count;
        if let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_SKEW, 3) {
            for (_, skew) in &self.skews {
                histogram.saturating_record((skew * SCALE) as u64);
            }
            self.skew_p95 = histogram.value_at_quantile(0.95) as f64 / SCALE;
            self.skew_p99 = histogram.value_at_quantile(0.99) as f64 / SCALE;
        }
        self.bytes = self.moves as u64 * drift::EXPERT_SIZE.get();
        self.store_seconds = self.bytes as f64 / drift::STORE_RATE.get() as f64;
        self.recovery_seconds = trace
            .stalls()
            .iter()
            .map(|&(from, to)| self.recovery(from as f64, to as f64))
            .collect();
    }

    /// Seconds from `from` to the first step after the last one above the limit before `to`.
    fn recovery(&self, from: f64, to: f64) -> Option<f64> {
        let within = || self.skews.iter().filter(|(at, _)| *at >= from && *at < to);
        let first_high = within().position(|(_, skew)| *skew > RECOVERED);
        let Some(first_high) = first_high else {
            return Some(0.0);
        };
        let recovered = within().skip(first_high).find(|(_, skew)| *skew <= RECOVERED)?;
        Some(recovered.0 - from)
    }
}

/// Skew and step time of each method as text.
pub fn step_table(reports: &[Report]) -> String {
    let mut text = format!(
        "{:<17} {:<16} {:>7} {:>7} {:>7} {:>9} {:>9}  recovery s\n",
        "trace", "method", "mean", "p95", "p99", "step s", "bound s"
    );
    for (report, m) in rows(reports) {
        let recovery: Vec<String> = { m.recovery_seconds.iter() }
            .map(|r| r.map_or_else(|| "none".to_owned(), |s| format!("{s:.1}")))
            .collect();
        text += &format!(
            "{:<17} {:<16} {:>7.4} {:>7.4} {:>7.4} {:>9.5} {:>9.5}  {}\n",
            report.trace.name(),
            m.method.name(),
            m.skew_mean,
            m.skew_p95,
            m.skew_p99,
            m.step_seconds,
            m.bound_seconds,
            recovery.join(" ")
        );
    }
    text
}

/// Moves and time spent on loads of each method as text.
pub fn load_table(reports: &[Report]) -> String {
    let mut text = format!(
        "{:<17} {:<16} {:>7} {:>15} {:>8} {:>8} {:>7}\n",
        "trace", "method", "moves", "bytes", "store s", "stall s", "mean"
    );
    for (report, m) in rows(reports) {
        text += &format!(
            "{:<17} {:<16} {:>7} {:>15} {:>8.1} {:>8.1} {:>7.4}\n",
            report.trace.name(),
            m.method.name(),
            m.moves,
            m.bytes,
            m.store_seconds,
            m.stalled_seconds,
            m.skew_mean
        );
    }
    text
}

/// Times of decisions at the target size as text.
pub fn time_table(timings: &[timing::Timing]) -> String {
    let mut text = "slots  decision  least ms  median ms\n".to_owned();
    for t in timings {
        let rows = [("shares", t.shares), ("nothing", t.nothing), ("drifted", t.drifted)];
        for (name, spread) in rows {
            text += &format!(
                "{:<6} {name:<9} {:>8.3} {:>10.3}\n",
                t.slots, spread.least, spread.median
            );
        }
    }
    text
}

fn rows(reports: &[Report]) -> impl Iterator<Item = (&Report, &Result)> {
    reports.iter().flat_map(|report| report.methods.iter().map(move |m| (report, m)))
}
