//! Schedule of a load: when each request is to start, whatever became of those before it.

use std::str;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Distances between the starts of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Arrivals {
    /// Random and independent of each other.
    #[default]
    Poisson,
    /// All the same.
    Fixed,
}

/// The text names no distances between requests.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected poisson or fixed")]
pub struct Unrecognized;

impl str::FromStr for Arrivals {
    type Err = Unrecognized;

    fn from_str(text: &str) -> Result<Self, Unrecognized> {
        match text {
            "poisson" => Ok(Arrivals::Poisson),
            "fixed" => Ok(Arrivals::Fixed),
            _ => Err(Unrecognized),
        }
    }
}

/// When requests start.
#[derive(Clone, Debug)]
pub struct Schedule {
    rate: f64,
    span: Duration,
    arrivals: Arrivals,
    seed: u64,
    count: u64,
}

/// One scheduled request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// Its number, from 0.
    pub number: u64,
    /// When it starts, from the start of the load.
    pub at: Duration,
    /// Seed of its content.
    pub seed: u64,
}

impl Schedule {
    /// Creates a schedule of `rate` requests a second over `span`.
    pub fn new(rate: f64, span: Duration) -> Self {
        Self { rate, span, arrivals: Arrivals::default(), seed: 0, count: u64::MAX }
    }

    /// Sets the distances between requests.
    pub fn with_arrivals(self, arrivals: Arrivals) -> Self {
        Self { arrivals, ..self }
    }

    /// Sets the seed. The same seed gives the same schedule.
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Limits the number of requests.
    pub fn with_count(self, count: u64) -> Self {
        Self { count, ..self }
    }

    /// The number of requests to expect.
    pub fn expected(&self) -> u64 {
        ((self.rate * self.span.as_secs_f64()).round() as u64).min(self.count)
    }

    /// The starts, in order.
    pub fn starts(&self) -> impl Iterator<Item = Start> + use<> {
        let Self { rate, span, arrivals, seed, count } = *self;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut at = 0.0;
        let starts = (0..count).map(move |number| {
            let start = Start { number, at: Duration::from_secs_f64(at), seed: rng.random() };
            at += match arrivals {
                Arrivals::Poisson => -(1.0 - rng.random::<f64>()).ln() / rate,
                Arrivals::Fixed => 1.0 / rate,
            };
            start
        });
        starts.take_while(move |start| start.at < span)
    }
}
