//! One run of the model.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use agateflow::route::{Candidate, Report, Speed, Work, affinity};
use agateflow::{id, unit};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::engine::{Engine, Request};
use super::policy::{Entry, Kind};

const ENTRIES: usize = 6;
const ENGINES: usize = 24; // every second one of the older class
const NEWER: Speed = Speed { prefill: 20_000, step: unit::Micros::new(20_000), batch: 32 };
const OLDER: Speed = Speed { prefill: 8_000, step: unit::Micros::new(40_000), batch: 16 };
const NEWER_PREFIXES: usize = 24; // in a cache of 100,000 tokens
const OLDER_PREFIXES: usize = 12;
const REPORT_INTERVAL: u64 = 1_000_000; // microseconds
const REPORT_LAG: u64 = 200_000; // microseconds
const LENGTH: u64 = 240_000_000; // microseconds
const PREFIXES: u32 = 60;
const PREFIX_TOKENS: u64 = 4_096;
const BYTES_PER_TOKEN: u64 = 4;

/// A workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Summaries with shared prefixes at an even rate.
    Nightly,
    /// Prompts of their own, with bursts of twice the rate.
    Burst,
}

impl Workload {
    pub const fn as_str(self) -> &'static str {
        match self {
            Workload::Nightly => "nightly-summaries",
            Workload::Burst => "delivery-morning",
        }
    }

    /// Requests a second.
    fn rate(self, now: u64) -> f64 {
        match self {
            Workload::Nightly => 45.0,
            Workload::Burst if now % 120_000_000 < 30_000_000 => 100.0,
            Workload::Burst => 50.0,
        }
    }

    fn request(self, arrived: u64, rng: &mut Pcg64Mcg) -> Request {
        match self {
            Workload::Nightly => {
                let prefix = rng.random_range(0..PREFIXES).min(rng.random_range(0..PREFIXES));
                Request {
                    arrived,
                    prefix: Some(prefix),
                    prefix_tokens: PREFIX_TOKENS,
                    prompt_tokens: PREFIX_TOKENS + rng.random_range(512..2_048),
                    output: 128,
                }
            }
            Workload::Burst => {
                let prompt_tokens = 500 + (5_000.0 * rng.random::<f64>().powi(2)) as u64 * 2;
                let output = rng.random_range(64..256);
                Request { arrived, prefix: None, prefix_tokens: 0, prompt_tokens, output }
            }
        }
    }

    fn requests(self, rng: &mut Pcg64Mcg) -> Vec<Request> {
        let mut now = 0;
        let mut requests = Vec::new();
        while now < LENGTH {
            let wait = -(1.0 - rng.random::<f64>()).ln() / self.rate(now);
            now += (wait * 1e6) as u64;
            requests.push(self.request(now, rng));
        }
        requests
    }
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub struct Result {
    /// Times to the first token, in microseconds.
    pub first_token: Vec<u64>,
    /// Prompt tokens processed though another engine held them.
    pub repeated: u64,
    /// Prompt tokens processed.
    pub processed: u64,
}

impl Result {
    pub fn add(&mut self, other: Self) {
        self.first_token.extend(other.first_token);
        self.repeated += other.repeated;
        self.processed += other.processed;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Prefilled { engine: usize, request: usize },
    Done { engine: usize, request: usize },
    Measure(usize),
    Hear(usize, usize), // engine, index of the report
}

struct Model {
    requests: Vec<Request>,
    works: Vec<Work>,
    engines: Vec<Engine>,
    candidates: Vec<Candidate>,
    entries: Vec<Entry>,
    reports: Vec<Report>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    rng: Pcg64Mcg,
    result: Result,
}

/// Runs `workload` under a policy.
pub fn run(workload: Workload, kind: Kind, seed: u64) -> Result {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let requests = workload.requests(&mut rng);
    let speed = |index: usize| if index.is_multiple_of(2) { NEWER } else { OLDER };
    let room = |index: usize| if index.is_multiple_of(2) { NEWER_PREFIXES } else { OLDER_PREFIXES };
    let vm = |index: usize| id::Vm::new(&format!("engine-{index}")).ok();
    let candidate =
        |index: usize| Some(Candidate { vm: vm(index)?, speed: speed(index), local: true });
    let prefixes = prefixes();
    let mut model = Model {
        works: requests.iter().map(|request| work(request, &prefixes)).collect(),
        engines: (0..ENGINES).map(|index| Engine::new(speed(index), room(index))).collect(),
        candidates: (0..ENGINES).filter_map(candidate).collect(),
        entries: (0..ENTRIES).map(|index| Entry::new(kind, ENGINES, index * 4)).collect(),
        reports: Vec::new(),
        events: BinaryHeap::new(),
        rng,
        result: Result::default(),
        requests,
    };
    for (index, request) in model.requests.iter().enumerate() {
        model.events.push(Reverse((request.arrived, Event::Arrive(index))));
    }
    for engine in 0..ENGINES {
        let first = REPORT_INTERVAL * engine as u64 / ENGINES as u64;
        model.events.push(Reverse((first, Event::Measure(engine))));
    }
    while let Some(Reverse((now, event))) = model.events.pop() {
        model.handle(event, now);
    }
    model.result
}

/// Each shared prefix as an entry hashes it.
fn prefixes() -> Vec<affinity::Prefix> {
    let hash = |prefix: u32| {
        let text = format!("prefix {prefix:04} ");
        let mut prompt = text.repeat((PREFIX_TOKENS * BYTES_PER_TOKEN) as usize / text.len() + 1);
        prompt.truncate((PREFIX_TOKENS * BYTES_PER_TOKEN) as usize);
        affinity::Prefix::new("summary", prompt.as_bytes())
    };
    (0..PREFIXES).map(hash).collect()
}

/// The request as an entry sees it. Chunks of its own, which match nothing, are left out.
fn work(request: &Request, prefixes: &[affinity::Prefix]) -> Work {
    let prefix = request.prefix.and_then(|prefix| prefixes.get(prefix as usize));
    Work {
        prompt: unit::Tokens::new(request.prompt_tokens),
        output: unit::Tokens::new(request.output),
        prefix: prefix.cloned().unwrap_or_default(),
    }
}

fn attempt(request: usize) -> id::Attempt {
    id::Attempt::new(id::Incarnation::new(1), request as u64)
}

fn millis(now: u64) -> unit::Millis {
    unit::Millis::new(now / 1_000 + 1)
}

impl Model {
    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrive(request) => self.arrive(request, now),
            Event::Prefilled { engine, request } => self.prefilled(engine, request, now),
            Event::Done { engine, request } => {
                self.engines[engine].running -= 1;
                let entry = &mut self.entries[request % ENTRIES];
                entry.end(attempt(request), (engine, &self.candidates[engine]), millis(now));
                self.begin(engine, now);
            }
            Event::Measure(engine) => self.measure(engine, now),
            Event::Hear(engine, report) => {
                let report = Report { received_at: millis(now), ..self.reports[report] };
                for entry in &mut self.entries {
                    entry.report(&self.candidates[engine].vm, &report);
                }
            }
        }
    }

    fn arrive(&mut self, request: usize, now: u64) {
        let entry = &mut self.entries[request % ENTRIES];
        let work = &self.works[request];
        let engine = entry.choose(&self.candidates, work, &mut self.rng, millis(now));
        entry.start(attempt(request), (engine, &self.candidates[engine]), work, millis(now));
        self.engines[engine].waiting.push_back(request);
        self.begin(engine, now);
    }

    fn begin(&mut self, engine: usize, now: u64) {
        let Some((request, tokens)) = self.engines[engine].begin(&self.requests, now) else {
            return;
        };
        self.result.processed += tokens;
        let Request { prefix, prefix_tokens, prompt_tokens, .. } = self.requests[request];
        let elsewhere = prefix.is_some_and(|prefix| {
            let mut others = self.engines.iter().enumerate().filter(|(index, _)| *index != engine);
            others.any(|(_, other)| other.holds(prefix))
        });
        if tokens == prompt_tokens && elsewhere {
            self.result.repeated += prefix_tokens;
        }
        let at = self.engines[engine].prefill_until.unwrap_or(now);
        self.events.push(Reverse((at, Event::Prefilled { engine, request })));
    }

    fn prefilled(&mut self, engine: usize, request: usize, now: u64) {
        let step = self.engines[engine].speed.step.get();
        self.engines[engine].prefill_until = None;
        self.result.first_token.push(now + step - self.requests[request].arrived);
        let end = now + self.requests[request].output * step;
        self.events.push(Reverse((end, Event::Done { engine, request })));
        self.begin(engine, now);
    }

    fn measure(&mut self, engine: usize, now: u64) {
        let state = &self.engines[engine];
        let report = Report {
            running: state.running,
            waiting: state.waiting.len() as u32,
            queued: state.queued(&self.requests, now),
            step: state.speed.step,
            received_at: unit::Millis::ZERO,
        };
        self.events.push(Reverse((now + REPORT_LAG, Event::Hear(engine, self.reports.len()))));
        self.reports.push(report);
        if now < LENGTH {
            self.events.push(Reverse((now + REPORT_INTERVAL, Event::Measure(engine))));
        }
    }
}
