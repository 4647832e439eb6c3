//! Results of a load: verdicts and latencies by kind.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use super::check::Verdict;
use super::client::Seen;
use super::mix::Mix;
use super::request::Request;

/// Most notes kept.
const MAX_NOTES: usize = 10;
const MAX_NOTE_CHARS: usize = 300;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Largest latency recorded, in microseconds; longer ones count as this one.
const MAX_MICROS: u64 = 3_600_000_000;
const MICROS_PER_MILLI: f64 = 1000.0;

/// One request and what its caller saw.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The request.
    pub request: Request,
    /// When it was to start.
    pub intended: Instant,
    /// When it was sent.
    pub sent: Instant,
    /// What its caller saw.
    pub seen: Seen,
}

/// Latencies in microseconds.
#[derive(Clone, Debug)]
pub struct Latency(Histogram<u64>);

/// Percentiles of latencies, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}

impl Latency {
    fn new() -> Result<Self, hdrhistogram::errors::CreationError> {
        Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS).map(Self)
    }

    fn record(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    /// The percentiles; `None` without a value.
    pub fn percentiles(&self) -> Option<Percentiles> {
        let at = |quantile| self.0.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        let max = self.0.max() as f64 / MICROS_PER_MILLI;
        let count = self.0.len();
        (count > 0).then(|| Percentiles { count, p50: at(0.5), p95: at(0.95), p99: at(0.99), max })
    }
}

impl Serialize for Latency {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.percentiles().serialize(serializer)
    }
}

/// Results of one kind.
#[derive(Clone, Debug, Serialize)]
pub struct Kind {
    /// The kind's name.
    pub name: Box<str>,
    /// Requests of this kind.
    pub requests: u64,
    /// Verdicts on their answers.
    pub verdicts: IndexMap<Verdict, u64>,
    /// From the intended start to the first event of a whole stream.
    pub first_token: Latency,
    /// Between the events of a whole stream.
    pub between_tokens: Latency,
    /// From the intended start to the end of a whole answer.
    pub whole: Latency,
}

/// Results of a load.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Requests that came to be sent.
    pub requests: u64,
    /// Time from the first intended start to the last answer, in seconds.
    pub seconds: f64,
    /// Verdicts on all answers.
    pub verdicts: IndexMap<Verdict, u64>,
    /// From the intended start to the sending: the load's own lateness.
    pub lateness: Latency,
    /// Results by kind.
    pub kinds: Vec<Kind>,
    /// Lines on answers that were not whole, the first few.
    pub notes: Vec<Box<str>>,
}

impl Summary {
    /// Creates an empty result of a mix.
    ///
    /// # Errors
    ///
    /// Never for the precision in use.
    pub fn new(mix: &Mix) -> Result<Self, hdrhistogram::errors::CreationError> {
        let kinds = mix.kinds.iter().map(|kind| Kind::new(&kind.name));
        Ok(Self {
            requests: 0,
            seconds: 0.0,
            verdicts: IndexMap::new(),
            lateness: Latency::new()?,
            kinds: kinds.collect::<Result<_, _>>()?,
            notes: Vec::new(),
        })
    }

    /// Adds one answer.
    pub fn add(&mut self, answer: &Answer) {
        let verdict = answer.seen.verdict;
        self.requests += 1;
        *self.verdicts.entry(verdict).or_default() += 1;
        self.lateness.record(answer.sent - answer.intended);
        if let Some(kind) = self.kinds.get_mut(answer.request.kind) {
            kind.add(answer);
        }
        if verdict != Verdict::Whole && self.notes.len() < MAX_NOTES {
            self.notes.push(note(answer));
        }
    }

    /// Whether no answer broke what each caller is promised.
    pub fn is_clean(&self) -> bool {
        !self.verdicts.keys().any(|verdict| verdict.is_violation())
    }
}

impl Kind {
    fn new(name: &str) -> Result<Self, hdrhistogram::errors::CreationError> {
        Ok(Self {
            name: name.into(),
            requests: 0,
            verdicts: IndexMap::new(),
            first_token: Latency::new()?,
            between_tokens: Latency::new()?,
            whole: Latency::new()?,
        })
    }

    fn add(&mut self, answer: &Answer) {
        self.requests += 1;
        *self.verdicts.entry(answer.seen.verdict).or_default() += 1;
        if answer.seen.verdict != Verdict::Whole {
            return;
        }
        let arrivals = &answer.seen.arrivals;
        if let Some(&last) = arrivals.last() {
            self.whole.record(last - answer.intended);
        }
        if let (Some(&first), super::Content::Stream(_)) =
            (arrivals.first(), &answer.request.expected)
        {
            self.first_token.record(first - answer.intended);
        }
        for pair in arrivals.windows(2) {
            self.between_tokens.record(pair[1] - pair[0]);
        }
    }
}

fn note(answer: &Answer) -> Box<str> {
    let request = &answer.request;
    let verdict = answer.seen.verdict.name();
    let text = answer.seen.note.as_deref().unwrap_or_default();
    let text: String = text.chars().take(MAX_NOTE_CHARS).collect();
    format!("{verdict}: {} {}: {text}", request.method, request.path).into()
}
