//! Metrics of requests: latencies per team and class of request, outcomes.

use std::time::{Duration, Instant};

use agateflow::id;
use agateflow::outcome;
use agateflow::unit;
use metrics::{Histogram, counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

/// Time from a request's arrival to the first part of its answer, in seconds.
const FIRST_TOKEN: &str = "agateflow_first_token_seconds";

/// Time between two parts of a stream, in seconds.
const BETWEEN_TOKENS: &str = "agateflow_between_tokens_seconds";

/// Time from a request's arrival to its end, in seconds.
const WHOLE: &str = "agateflow_request_seconds";

/// Time that an attempt waits at the upstream process, in seconds.
const QUEUE: &str = "agateflow_queue_seconds";

/// Requests by outcome.
const REQUESTS: &str = "agateflow_requests_total";

/// Attempts of requests by how they ended.
const ATTEMPTS: &str = "agateflow_attempts_total";

/// Requests refused, by reason.
const REFUSALS: &str = "agateflow_refusals_total";

/// Parts of prompts quarantined, as they crash upstreams.
const EXCLUSIONS: &str = "agateflow_convictions_total";

/// Time that a request waited before it was sent, in seconds.
const PLACE: &str = "agateflow_place_seconds";

/// Orders to a rank by kind and result.
const ORDERS: &str = "agateflow_rank_orders_total";

/// Expert maps that came into use.
const MAPS: &str = "agateflow_map_changes_total";

/// Processor time that an agent took to plan an expert map, in seconds.
const PLAN: &str = "agateflow_map_plan_seconds";

/// Time between two turns of an agent, in seconds.
const TURN: &str = "agateflow_agent_turn_seconds";

/// Bytes of messages to other processes of the system, without headers.
const CONTROL: &str = "agateflow_control_sent_bytes_total";

/// Messages to other processes of the system that the socket did not take.
const UNSENT: &str = "agateflow_control_unsent_total";

/// Connections of callers that had to go, by what was short and what they did.
const EVICTIONS: &str = "agateflow_evictions_total";

/// Connections that were closed at once.
const TURNED_AWAY: &str = "agateflow_turned_away_total";

/// Memory that is held for callers, in bytes.
const HELD: &str = "agateflow_caller_memory_bytes";

/// Connections of callers.
const CONNECTIONS: &str = "agateflow_caller_connections";

/// Upper bounds of the histograms' buckets, in seconds; the targets are among them.
const BUCKETS: [f64; 18] = [
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.035, 0.051, 0.075, 0.1, 0.15, 0.2, 0.31, 0.5, 1.0, 2.5,
    5.0, 15.0, 60.0,
];

/// Time between two passes that empty the recorder's buffers.
const UPKEEP: Duration = Duration::from_secs(5);

/// Class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Streamed answer of a model.
    Stream,
    /// Whole answer of a model.
    Whole,
    /// Plain service.
    Plain,
}

impl Class {
    const fn as_str(self) -> &'static str {
        match self {
            Class::Stream => "stream",
            Class::Whole => "whole",
            Class::Plain => "plain",
        }
    }
}

/// The process-wide recorder. The first call, within a runtime, starts its upkeep.
pub fn recorder() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(install).clone()
}

fn install() -> PrometheusHandle {
    let builder = PrometheusBuilder::new();
    let builder = builder.set_buckets(&BUCKETS).unwrap_or_else(|_| PrometheusBuilder::new());
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    // Fails only if an embedding program installed its own recorder, which then stays.
    let _ = metrics::set_global_recorder(recorder);
    handle
}

/// Empties the recorder's buffers from time to time; without it they grow between two scrapes.
pub async fn upkeep() {
    let handle = recorder();
    let mut ticks = tokio::time::interval(UPKEEP);
    loop {
        ticks.tick().await;
        handle.run_upkeep();
    }
}

/// Records the time that an attempt of `team` waited at the upstream process.
pub fn queued(team: &id::Team, waited: Duration) {
    histogram!(QUEUE, "team" => team.to_string()).record(waited);
}

/// Counts an attempt that ended without an answer for the caller.
pub fn attempted(service: &id::Service, end: &'static str) {
    counter!(ATTEMPTS, "service" => service.to_string(), "end" => end).increment(1);
}

/// Counts a refused request.
pub fn refused(service: &id::Service, reason: &str) {
    let reason = reason.to_string();
    counter!(REFUSALS, "service" => service.to_string(), "reason" => reason).increment(1);
}

/// Counts a connection that had to go.
pub fn evicted(cause: &'static str, stage: &'static str) {
    counter!(EVICTIONS, "cause" => cause, "stage" => stage).increment(1);
}

/// Counts a connection that was closed at once.
pub fn turned_away() {
    counter!(TURNED_AWAY).increment(1);
}

/// Records what is held for callers.
pub fn held(memory: unit::Bytes, connections: usize) {
    gauge!(HELD).set(memory.get() as f64);
    gauge!(CONNECTIONS).set(connections as f64);
}

/// Counts an exclusion of a part of prompts.
pub fn quarantined() {
    counter!(EXCLUSIONS).increment(1);
}

/// Records the time from a request's arrival to its sending.
pub fn placed(service: &id::Service, waited: Duration) {
    histogram!(PLACE, "service" => service.to_string()).record(waited);
}

/// Counts an order to a rank.
pub fn ordered(order: &'static str, result: &'static str) {
    counter!(ORDERS, "order" => order, "result" => result).increment(1);
}

/// Counts an expert map that came into use.
pub fn map_changed() {
    counter!(MAPS).increment(1);
}

/// Records how long an agent planned an expert map.
pub fn planned(took: Duration) {
    histogram!(PLAN).record(took);
}

/// Records the time between two turns of an agent.
pub fn turned(took: Duration) {
    histogram!(TURN).record(took);
}

/// Counts a message to another process of the system: its bytes if the socket took it.
pub fn told(result: &std::io::Result<usize>) {
    match result {
        Ok(bytes) => counter!(CONTROL).increment(*bytes as u64),
        Err(_) => counter!(UNSENT).increment(1),
    }
}

/// Observes one request.
pub struct Meter {
    team: Box<str>,
    class: Class,
    started: Instant,
    last: Option<Instant>,
    between: Histogram,
}

impl Meter {
    /// Starts to observe a request of `team` that arrives now.
    pub fn new(team: &id::Team, class: Class) -> Self {
        Self::named(team.as_str(), class)
    }

    /// Starts to observe a request of the team with that name, empty where it has none.
    pub fn named(team: &str, class: Class) -> Self {
        let label = team.to_string();
        let between =
            histogram!(BETWEEN_TOKENS, "team" => label.clone(), "class" => class.as_str());
        Self { team: label.into(), class, started: Instant::now(), last: None, between }
    }

    /// A part of the answer goes to the caller.
    pub fn part(&mut self) {
        let now = Instant::now();
        match self.last {
            Some(last) => self.between.record(now - last),
            None => self.record(FIRST_TOKEN),
        }
        self.last = Some(now);
    }

    /// The request ended.
    pub fn end(&self, outcome: outcome::Outcome) {
        self.record(WHOLE);
        let team = self.team.to_string();
        let class = self.class.as_str();
        counter!(REQUESTS, "team" => team, "class" => class, "outcome" => outcome.as_str())
            .increment(1);
    }

    fn record(&self, name: &'static str) {
        let team = self.team.to_string();
        histogram!(name, "team" => team, "class" => self.class.as_str())
            .record(self.started.elapsed());
    }
}
