//! State of an engine: its sequences, cache, reports and counts.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use agateflow::unit;
use indexmap::IndexMap;
use tokio::sync::{Notify, mpsc};

use super::Options;
use super::batch::{Batch, Speed, Step, Work};
use super::cache::{CHUNK_TOKENS, Cache, Event, chunks};
use super::kv::{self, Imports, Kv};
use super::orders::{Order, Orders};
use super::report::Report;
use crate::answer;
use crate::fault::lock;
use crate::history::History;

const MICROS_PER_MILLI: f64 = 1000.0;

/// Counts of an engine's work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Sequences started.
    pub started: u64,
    /// Sequences that produced their last token.
    pub completed: u64,
    /// Sequences cancelled by request or because their caller disconnected.
    pub cancelled: u64,
    /// Output tokens produced.
    pub tokens: u64,
    /// Tokens prefilled.
    pub prefill_tokens: u64,
    /// Tokens not prefilled, because the prefix cache or an imported KV cache had them.
    pub cached_tokens: u64,
}

/// Output of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// The next token.
    Token,
    /// The end of a complete sequence.
    End,
}

/// A new sequence.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// The attempt that it belongs to.
    pub attempt: Option<Box<str>>,
    /// Higher ones are admitted first.
    pub priority: i64,
    /// Output tokens that the caller already has.
    pub from: u64,
    /// Hash of the request's body.
    pub body: u64,
}

struct Reader {
    attempt: Option<Box<str>>,
    outputs: mpsc::UnboundedSender<Output>,
    body: u64,
    /// Tokens of the prompt, and of the output that the caller had before.
    given: u64,
    /// Tokens produced here.
    produced: u64,
}

impl Reader {
    fn export(&self) -> Kv {
        let tokens = if self.produced > 0 { self.given + self.produced } else { 0 };
        Kv { request: kv::name(self.body), tokens }
    }
}

struct Inner {
    options: Options,
    batch: Batch,
    cache: Cache,
    readers: IndexMap<u64, Reader>,
    orders: Orders,
    reports: History<Report>,
    events: History<Event>,
    current: Report,
    counters: Counters,
    runs: IndexMap<Box<str>, u64>,
    bodies: IndexMap<u64, u64>,
    imports: Imports,
    next: u64,
    lag: Duration,
    gaps: u64,
}

/// State of one engine. Counts and orders outlive a restart.
pub struct State {
    inner: Mutex<Inner>,
    /// Wakes the step loop when there is a new sequence.
    pub wake: Notify,
}

impl State {
    /// Creates the state of an engine that was never started.
    pub fn new(options: Options) -> Self {
        let inner = Inner {
            batch: Batch::new(options.batch),
            cache: Cache::new(options.cache),
            readers: IndexMap::new(),
            orders: Orders::new(options.fencing),
            reports: History::default(),
            events: History::default(),
            current: Report::default(),
            counters: Counters::default(),
            runs: IndexMap::new(),
            bodies: IndexMap::new(),
            imports: Imports::default(),
            next: 0,
            lag: Duration::ZERO,
            gaps: 0,
            options,
        };
        Self { inner: Mutex::new(inner), wake: Notify::new() }
    }

    /// Drops sequences, cache and published history, as when a process ends.
    pub fn reset(&self) {
        let mut inner = lock(&self.inner);
        inner.batch = Batch::new(inner.options.batch);
        inner.cache = Cache::new(inner.options.cache);
        inner.readers.clear();
        inner.imports = Imports::default();
        inner.reports = History::default();
        inner.events = History::default();
        inner.report();
    }

    /// Starts a sequence. Its outputs end without [`Output::End`] if it is cancelled.
    pub fn start(
        &self,
        answer: &answer::Answer,
        sequence: Sequence,
    ) -> (u64, mpsc::UnboundedReceiver<Output>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut inner = lock(&self.inner);
        let id = inner.start(answer, sequence, sender);
        drop(inner);
        self.wake.notify_one();
        (id, receiver)
    }

    /// Cancels a sequence whose caller disconnected.
    pub fn cancel(&self, id: u64) {
        lock(&self.inner).cancel(id);
    }

    /// Cancels the sequences of an attempt; false if there is none.
    pub fn cancel_attempt(&self, attempt: &str) -> bool {
        let mut inner = lock(&self.inner);
        let of_attempt = |reader: &Reader| reader.attempt.as_deref() == Some(attempt);
        let readers = inner.readers.iter().filter(|(_, reader)| of_attempt(reader));
        let ids: Vec<u64> = readers.map(|(&id, _)| id).collect();
        for &id in &ids {
            inner.cancel(id);
        }
        !ids.is_empty()
    }

    /// Exports the KV cache of an attempt in progress.
    pub fn export(&self, attempt: &str) -> Option<Kv> {
        let inner = lock(&self.inner);
        let mut readers = inner.readers.values();
        readers.find(|reader| reader.attempt.as_deref() == Some(attempt)).map(Reader::export)
    }

    /// Imports a KV cache for a future request.
    pub fn import(&self, kv: Kv) {
        lock(&self.inner).imports.add(kv);
    }

    /// Plans the next step; `None` without a sequence.
    pub fn plan(&self) -> Option<Step> {
        let mut inner = lock(&self.inner);
        let speed = inner.options.speed;
        let step = inner.batch.step(&speed)?;
        inner.current.step_ms = step.time.get() as f64 / MICROS_PER_MILLI;
        inner.report();
        Some(step)
    }

    /// Sends the tokens of a completed step.
    pub fn finish(&self, step: &Step) {
        let mut inner = lock(&self.inner);
        for &(id, last) in &step.tokens {
            inner.produce(id, last);
        }
        inner.report();
    }

    /// Accepts an order, or returns the newer fencing token that rejects it.
    pub fn order(&self, order: Order) -> Result<(), u64> {
        lock(&self.inner).orders.accept(order)
    }

    /// The latest published load report, at least `lag` old.
    pub fn published_load(&self) -> Report {
        let inner = lock(&self.inner);
        inner.reports.visible(Instant::now(), inner.lag).next_back().cloned().unwrap_or_default()
    }

    /// The published cache events with a number above `after`.
    pub fn published_events(&self, after: u64) -> Vec<Event> {
        let inner = lock(&self.inner);
        let published = inner.events.visible(Instant::now(), inner.lag);
        published.filter(|event| event.number > after).cloned().collect()
    }

    /// The counts so far.
    pub fn counters(&self) -> Counters {
        lock(&self.inner).counters
    }

    /// How often a sequence was started for `attempt`.
    pub fn runs(&self, attempt: &str) -> u64 {
        lock(&self.inner).runs.get(attempt).copied().unwrap_or(0)
    }

    /// How often a sequence was started for the body with this hash.
    pub fn runs_of(&self, body: u64) -> u64 {
        lock(&self.inner).bodies.get(&body).copied().unwrap_or(0)
    }

    /// The current load.
    pub fn load(&self) -> Report {
        lock(&self.inner).current.clone()
    }

    /// The accepted orders.
    pub fn orders(&self) -> Vec<Order> {
        lock(&self.inner).orders.accepted().to_vec()
    }

    /// Changes the speed from the next step on.
    pub fn set_speed(&self, speed: Speed) {
        lock(&self.inner).options.speed = speed;
    }

    /// Sets the lag of reports and events.
    pub fn set_lag(&self, lag: unit::Millis) {
        lock(&self.inner).lag = lag.duration();
    }

    /// Omits every `every`-th cache event from now on.
    pub fn set_gaps(&self, every: u64) {
        lock(&self.inner).gaps = every;
    }
}

impl Inner {
    fn start(
        &mut self,
        answer: &answer::Answer,
        sequence: Sequence,
        outputs: mpsc::UnboundedSender<Output>,
    ) -> u64 {
        self.next += 1;
        self.counters.started += 1;
        *self.bodies.entry(sequence.body).or_default() += 1;
        if let Some(attempt) = &sequence.attempt {
            *self.runs.entry(attempt.clone()).or_default() += 1;
        }
        let work = Work {
            id: self.next,
            priority: sequence.priority,
            prefill: self.prefill(answer, &sequence),
            output: answer.tokens().saturating_sub(sequence.from),
        };
        if work.output == 0 {
            self.counters.completed += 1;
            let _ = outputs.send(Output::End);
            return work.id;
        }
        let reader = Reader {
            attempt: sequence.attempt,
            outputs,
            body: sequence.body,
            given: answer.prompt_tokens() + sequence.from,
            produced: 0,
        };
        self.readers.insert(work.id, reader);
        self.batch.add(work);
        self.report();
        work.id
    }

    /// Tokens to compute before the first new one: the prompt and the output that the caller has,
    /// less those in the prefix cache or in an imported KV cache.
    fn prefill(&mut self, answer: &answer::Answer, sequence: &Sequence) -> u64 {
        let (cached, events) = self.cache.use_prefix(&chunks(answer.model(), answer.prompt()));
        let now = Instant::now();
        for event in events {
            if self.gaps == 0 || !event.number.is_multiple_of(self.gaps) {
                self.events.push(now, event);
            }
        }
        let given = answer.prompt_tokens() + sequence.from;
        let cached = (cached * CHUNK_TOKENS).min(answer.prompt_tokens());
        let covered = self.imports.take(sequence.body).min(given).max(cached);
        self.counters.cached_tokens += covered;
        self.counters.prefill_tokens += given - covered;
        given - covered
    }

    fn cancel(&mut self, id: u64) {
        if self.readers.swap_remove(&id).is_some() {
            self.batch.remove(id);
            self.counters.cancelled += 1;
            self.report();
        }
    }

    fn produce(&mut self, id: u64, last: bool) {
        let Some(reader) = self.readers.get_mut(&id) else {
            return;
        };
        reader.produced += 1;
        self.counters.tokens += 1;
        let _ = reader.outputs.send(Output::Token);
        if last {
            let _ = reader.outputs.send(Output::End);
            self.readers.swap_remove(&id);
            self.counters.completed += 1;
        }
    }

    fn report(&mut self) {
        self.current.version += 1;
        let waiting = self.batch.waiting();
        self.current.running = self.readers.len().saturating_sub(waiting) as u64;
        self.current.waiting = waiting as u64;
        self.current.queued_tokens = self.batch.queued_tokens();
        self.current.cached_chunks = self.cache.len() as u64;
        self.reports.push(Instant::now(), self.current.clone());
    }
}
