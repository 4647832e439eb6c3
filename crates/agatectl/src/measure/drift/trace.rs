//! Drift traces from fixed seeds, on mixed hardware.

use agateflow::unit;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Ranks of the group.
pub const RANKS: usize = 16;
/// Slots of each rank and layer.
pub const SLOTS: usize = 6;
/// Experts of each layer.
pub const EXPERTS: usize = 64;
/// Layers of the model.
pub const LAYERS: usize = 16;
/// Time between two samples, each of one step.
pub const SAMPLE: unit::Millis = unit::Millis::new(500);
/// Samples of a trace.
pub const SAMPLES: usize = 1800;
/// Seed of all traces.
pub const SEED: u64 = 20_261_204;

/// Tokens that one layer routes in a step.
const TOKENS: f64 = 65_536.0;
/// Lower bound of the time of one layer in seconds.
const LAYER_TIME: f64 = 0.0025;
/// Speeds of the hardware in the group, in turn.
const SPEEDS: [f64; 3] = [1.0, 0.6, 1.4];
/// Spread of the logarithm of popularity over experts.
const POPULARITY: f64 = 0.7;
/// Spread of a measured speed around the true one.
const SPEED_NOISE: f64 = 0.01;
/// Spread of the logarithm of popularity that a slow drift adds in a sample.
const DRIFT: f64 = 0.01;

/// A kind of drift.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trace {
    /// A few experts of each layer grow sixfold within a minute, stay and fall.
    CloudyNight,
    /// Two sets of experts take turns within seconds, with more load in one of them.
    DeliveryMorning,
    /// All popularities wander.
    SlowDrift,
    /// One rank halves its speed three times, the last time for good.
    Straggler,
    /// One rank is lost.
    RankLost,
}

/// A rank in a sample.
#[derive(Clone, Debug)]
pub struct Rank {
    /// Its name.
    pub name: Box<str>,
    /// Its speed in tokens a second.
    pub speed: f64,
    /// Whether it takes part.
    pub live: bool,
}

/// The state of the group in one step.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The time.
    pub at: unit::Millis,
    /// Tokens of each layer's experts.
    pub loads: Vec<Vec<f64>>,
    /// The ranks.
    pub ranks: Vec<Rank>,
}

impl Trace {
    /// All traces.
    pub const ALL: [Trace; 5] = [
        Trace::CloudyNight,
        Trace::DeliveryMorning,
        Trace::SlowDrift,
        Trace::Straggler,
        Trace::RankLost,
    ];

    /// The name of the trace.
    pub const fn name(self) -> &'static str {
        match self {
            Trace::CloudyNight => "cloudy-night",
            Trace::DeliveryMorning => "delivery-morning",
            Trace::SlowDrift => "slow-drift",
            Trace::Straggler => "straggler",
            Trace::RankLost => "rank-lost",
        }
    }

    /// Times at which a rank slows down, with the time at which it recovers.
    pub const fn stalls(self) -> &'static [(u64, u64)] {
        match self {
            Trace::Straggler => &[(200, 230), (400, 415), (550, 900)],
            _ => &[],
        }
    }

    /// The samples of the trace.
    pub fn samples(self) -> Vec<Sample> {
        let mut rng = Pcg64Mcg::seed_from_u64(SEED);
        let mut base: Vec<Vec<f64>> = (0..LAYERS)
            .map(|_| (0..EXPERTS).map(|_| (POPULARITY * normal(&mut rng)).exp()).collect())
            .collect();
        let mut samples = Vec::with_capacity(SAMPLES);
        for index in 0..SAMPLES {
            let at = unit::Millis::new(index as u64 * SAMPLE.get());
            let seconds = at.duration().as_secs_f64();
            if self == Trace::SlowDrift {
                let step = |p: &mut f64| *p *= (DRIFT * normal(&mut rng)).exp();
                base.iter_mut().flatten().for_each(step);
            }
            let loads = base.iter().enumerate();
            let loads = loads.map(|(l, p)| self.layer(&mut rng, l, p, seconds)).collect();
            samples.push(Sample { at, loads, ranks: self.ranks(&mut rng, seconds) });
        }
        samples
    }

    fn layer(self, rng: &mut Pcg64Mcg, layer: usize, base: &[f64], seconds: f64) -> Vec<f64> {
        let heat = |expert: usize| self.heat(layer, expert, seconds);
        let popular: Vec<f64> = base.iter().enumerate().map(|(e, p)| p * heat(e)).collect();
        let total: f64 = popular.iter().sum();
        let tokens = TOKENS * self.scale(seconds);
        let mut draw = |p: &f64| {
            let mean = tokens * p / total;
            (mean + mean.sqrt() * normal(rng)).max(0.0)
        };
        popular.iter().map(&mut draw).collect()
    }

    /// Factor of an expert's popularity.
    fn heat(self, layer: usize, expert: usize, seconds: f64) -> f64 {
        let place = (expert + 7 * layer) % EXPERTS;
        match self {
            Trace::CloudyNight if place < 3 => {
                let rise = ((seconds - 180.0) / 60.0).clamp(0.0, 1.0);
                let fall = ((seconds - 600.0) / 60.0).clamp(0.0, 1.0);
                1.0 + 5.0 * (rise - fall)
            }
            Trace::DeliveryMorning if place < 6 => 1.0 + 3.0 * swing(seconds),
            Trace::DeliveryMorning if place < 12 => 4.0 - 3.0 * swing(seconds),
            _ => 1.0,
        }
    }

    fn scale(self, seconds: f64) -> f64 {
        match self {
            Trace::DeliveryMorning => 1.0 + 0.8 * swing(seconds),
            _ => 1.0,
        }
    }

    fn ranks(self, rng: &mut Pcg64Mcg, seconds: f64) -> Vec<Rank> {
        let unit: f64 = (0..RANKS).map(|r| SPEEDS[r % SPEEDS.len()]).sum();
        let slow = |rank: usize| {
            let now = |&(from, to): &(u64, u64)| seconds >= from as f64 && seconds < to as f64;
            rank == 3 && self.stalls().iter().any(now)
        };
        (0..RANKS)
            .map(|rank| {
                let factor = if slow(rank) { 0.5 } else { 1.0 };
                let noise = 1.0 + SPEED_NOISE * normal(rng);
                let speed = SPEEDS[rank % SPEEDS.len()] / unit * TOKENS / LAYER_TIME;
                let live = !(self == Trace::RankLost && rank == 5 && seconds >= 300.0);
                Rank { name: format!("r{rank}").into(), speed: speed * factor * noise, live }
            })
            .collect()
    }
}

/// Square wave of 150 s halves with edges of 10 s, from 0 to 1.
fn swing(seconds: f64) -> f64 {
    let phase = seconds % 300.0;
    if phase < 150.0 { (phase / 10.0).min(1.0) } else { 1.0 - ((phase - 150.0) / 10.0).min(1.0) }
}

/// Draws from the standard normal distribution (Box and Muller).
fn normal(rng: &mut Pcg64Mcg) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
