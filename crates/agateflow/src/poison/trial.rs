//! Discrete-event simulation of poison requests against registers and gates in several data
//! centres, for tests and measurements.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use super::{
    Candidate, Crash, Decision, Fingerprint, Gate, Item, Limits, Register, Status,
    isolation_upstream,
};
use crate::id;
use crate::unit;

/// Time until a crashed engine is up again.
const RESTART_MS: u64 = 2_000;
/// Delay between sending the items of a crash and reporting the failure to entries.
const REPORT_DELAY_MS: u64 = 20;
/// Time between two exchanges of a process with a random peer.
const GOSSIP_INTERVAL_MS: u64 = 200;
/// Delay of the next attempt after a refusal.
const BACKOFF_MS: u64 = 30;
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 8;
/// Number of crashes after which the counting baseline refuses a request.
const CRASH_LIMIT: u32 = 2;

/// Algorithm of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Registers, isolation and gossip.
    Agateflow,
    /// Baseline: each entry refuses requests that were in flight at two crashes that it saw.
    CountPerEntry,
    /// Baseline: plain retries without a record of crashes.
    Retry,
}

/// Settings of a trial.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The algorithm.
    pub mode: Mode,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of data centres.
    pub centres: usize,
    /// Upstreams per data centre.
    pub upstreams: usize,
    /// Entries per data centre.
    pub entries: usize,
    /// Number of distinct requests that crash engines.
    pub poisons: usize,
    /// How often the caller resends each of them.
    pub resends: usize,
    /// Number of requests that crash no engine.
    pub innocents: usize,
    /// Share of item messages that are lost, in percent.
    pub item_loss_percent: u32,
    /// Number of engine crashes not caused by a request.
    pub accidents: usize,
}

/// Result of a trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Engine crashes caused by poison requests.
    pub lost: u64,
    /// Most crashes that one poison request caused in one data centre.
    pub lost_to_one: u64,
    /// Innocent requests sent.
    pub innocents: u64,
    /// Innocent requests answered.
    pub answered: u64,
    /// Innocent requests refused as poison.
    pub refused: u64,
    /// Innocent requests refused as poison because an unrelated crash hit their isolated run.
    pub refused_by_accident: u64,
    /// Innocent requests given up on after the maximum number of attempts.
    pub given_up: u64,
    /// Runs of innocent requests in isolation.
    pub isolated: u64,
    /// Longest response time of an innocent request, in milliseconds.
    pub longest_ms: u64,
    /// Poison requests refused as poison, resends included.
    pub poison_refused: u64,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    fingerprint: Fingerprint,
    poison: Option<usize>,
    entry: usize,
    started: u64,
    attempts: u32,
    done: bool,
}

#[derive(Debug)]
struct Node {
    centre: usize,
    register: Register,
    counts: IndexMap<Fingerprint, u32>,
}

#[derive(Debug)]
struct Upstream {
    node: usize,
    vm: id::Vm,
    process: id::Incarnation,
    gate: Gate,
    queue: Vec<usize>,
    jobs: Vec<usize>,
    up_at: u64,
    crashes: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Send { request: usize },
    Arrive { upstream: usize, request: usize },
    Done { upstream: usize, request: usize, crashes: u64 },
    Accident { upstream: usize },
    Refused { request: usize },
    Failed { request: usize },
    Items { node: usize, items: Vec<Item> },
    Gossip { node: usize },
}

/// State of a trial.
#[derive(Debug)]
pub struct Trial {
    settings: Settings,
    now: u64,
    rng: Pcg64Mcg,
    nodes: Vec<Node>,
    upstreams: Vec<Upstream>,
    requests: Vec<Request>,
    open_requests: usize,
    sends: Vec<usize>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    lost: IndexMap<(usize, usize), u64>,
    isolated_in_accident: IndexSet<Fingerprint>,
    report: Report,
}

/// Runs a trial until all requests are done, or for at most 120 s of simulated time.
///
/// # Errors
///
/// Invalid VM names; the generated ones are valid.
pub fn run(settings: Settings) -> Result<Report, id::Error> {
    let mut trial = Trial::new(settings)?;
    trial.schedule_load();
    let end = trial.now + 120_000;
    while let Some((&(at, sequence), _)) = trial.events.first_key_value() {
        if at > end || trial.open_requests == 0 {
            break;
        }
        trial.now = at;
        if let Some(event) = trial.events.remove(&(at, sequence)) {
            trial.dispatch(event);
        }
    }
    trial.report.lost_to_one = trial.lost.values().copied().max().unwrap_or(0);
    Ok(trial.report)
}

impl Trial {
    fn new(settings: Settings) -> Result<Self, id::Error> {
        let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
        let mut nodes = Vec::new();
        let mut upstreams = Vec::new();
        let node = |centre| {
            let register = Register::new(Limits::default());
            Node { centre, register, counts: IndexMap::new() }
        };
        let entries = settings.centres * settings.entries;
        nodes.extend((0..entries).map(|i| node(i / settings.entries)));
        for index in 0..settings.centres * settings.upstreams {
            let upstream = Upstream {
                node: nodes.len(),
                vm: id::Vm::new(&format!("u{index}"))?,
                process: id::Incarnation::random(&mut rng),
                gate: Gate::new(),
                queue: Vec::new(),
                jobs: Vec::new(),
                up_at: 0,
                crashes: 0,
            };
            upstreams.push(upstream);
            nodes.push(node(index / settings.upstreams));
        }
        Ok(Self {
            settings,
            now: 0,
            rng,
            nodes,
            upstreams,
            requests: Vec::new(),
            open_requests: 0,
            sends: vec![0; settings.poisons],
            events: BTreeMap::new(),
            sequence: 0,
            lost: IndexMap::new(),
            isolated_in_accident: IndexSet::new(),
            report: Report::default(),
        })
    }

    fn schedule_load(&mut self) {
        for n in 0..self.settings.innocents {
            let at = n as u64 * 2;
            // One request in ten has popular content, shared with many others.
            let content = if n % 10 == 0 { (n / 10 % 7) as u64 } else { 1_000 + n as u64 };
            self.new_request(at, content, None);
        }
        let span = (self.settings.innocents as u64 * 2).max(1);
        for poison in 0..self.settings.poisons {
            let at = self.rng.random_range(0..span / 2 + 1);
            self.new_request(at, 500 + poison as u64, Some(poison));
        }
        for _ in 0..self.settings.accidents {
            let upstream = self.rng.random_range(0..self.upstreams.len());
            let at = self.rng.random_range(0..span);
            self.schedule(at, Event::Accident { upstream });
        }
        for node in 0..self.nodes.len() {
            let at = self.rng.random_range(0..GOSSIP_INTERVAL_MS);
            self.schedule(at, Event::Gossip { node });
        }
    }

    fn new_request(&mut self, at: u64, content: u64, poison: Option<usize>) {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&content.to_le_bytes());
        let entries = self.settings.centres * self.settings.entries;
        let request = Request {
            fingerprint: Fingerprint::from_bytes(bytes),
            poison,
            entry: self.rng.random_range(0..entries),
            started: at,
            attempts: 0,
            done: false,
        };
        if poison.is_none() {
            self.report.innocents += 1;
        }
        self.requests.push(request);
        self.open_requests += 1;
        let request = self.requests.len() - 1;
        self.schedule(at, Event::Send { request });
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn latency(&mut self) -> u64 {
        self.rng.random_range(1..3)
    }

    const fn time(&self) -> unit::Millis {
        unit::Millis::new(self.now)
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Send { request } => self.send(request),
            Event::Arrive { upstream, request } => {
                self.upstreams[upstream].queue.push(request);
                self.serve(upstream);
            }
            Event::Done { upstream, request, crashes } => self.done(upstream, request, crashes),
            Event::Accident { upstream } => self.crash(upstream, None),
            Event::Refused { request } => self.retry(request, BACKOFF_MS),
            Event::Failed { request } => {
                let Request { fingerprint, entry, .. } = self.requests[request];
                *self.nodes[entry].counts.entry(fingerprint).or_default() += 1;
                self.retry(request, 1);
            }
            Event::Items { node, items } => self.merge(node, &items),
            Event::Gossip { node } => self.gossip(node),
        }
    }

    fn merge(&mut self, node: usize, items: &[Item]) {
        let now = self.time();
        for item in items {
            self.nodes[node].register.merge(item, now);
        }
        if let Some(upstream) = self.upstreams.iter().position(|u| u.node == node) {
            self.serve(upstream);
        }
    }

    fn status(&self, node: usize, fingerprint: Fingerprint) -> Status {
        let node = &self.nodes[node];
        match self.settings.mode {
            Mode::Agateflow => node.register.status(fingerprint, self.time()),
            Mode::Retry => Status::Clear,
            Mode::CountPerEntry => match node.counts.get(&fingerprint) {
                Some(&count) if count >= CRASH_LIMIT => Status::Poison,
                _ => Status::Clear,
            },
        }
    }

    fn up_upstreams(&self, centre: usize) -> impl Iterator<Item = usize> {
        let first = centre * self.settings.upstreams;
        let here = first..first + self.settings.upstreams;
        here.filter(|&u| self.upstreams[u].up_at <= self.now)
    }

    fn isolation_upstream(&self, centre: usize) -> Option<usize> {
        let vm = isolation_upstream(self.up_upstreams(centre).map(|u| &self.upstreams[u].vm))?;
        self.up_upstreams(centre).find(|&u| self.upstreams[u].vm == *vm)
    }

    fn send(&mut self, request: usize) {
        let Request { fingerprint, entry, .. } = self.requests[request];
        let centre = self.nodes[entry].centre;
        let up: Vec<usize> = self.up_upstreams(centre).collect();
        let status = self.status(entry, fingerprint);
        let upstream = match status {
            Status::Poison => return self.refuse_poison(request),
            Status::Suspect => self.isolation_upstream(centre),
            Status::Clear if up.is_empty() => None,
            Status::Clear => Some(up[self.rng.random_range(0..up.len())]),
        };
        let Some(upstream) = upstream else {
            return self.retry(request, BACKOFF_MS);
        };
        let at = self.now + self.latency();
        if status == Status::Suspect {
            let items = self.nodes[entry].register.items_for(fingerprint, self.time());
            self.schedule(at, Event::Items { node: self.upstreams[upstream].node, items });
        }
        self.schedule(at, Event::Arrive { upstream, request });
    }

    fn refuse_poison(&mut self, request: usize) {
        if self.requests[request].poison.is_some() {
            self.report.poison_refused += 1;
        } else if self.isolated_in_accident.contains(&self.requests[request].fingerprint) {
            self.report.refused_by_accident += 1;
        } else {
            self.report.refused += 1;
        }
        self.close(request);
    }

    fn retry(&mut self, request: usize, after: u64) {
        if self.requests[request].done {
            return;
        }
        self.requests[request].attempts += 1;
        if self.requests[request].attempts < MAX_ATTEMPTS {
            self.schedule(self.now + after, Event::Send { request });
            return;
        }
        if self.requests[request].poison.is_none() {
            self.report.given_up += 1;
        }
        self.close(request);
    }

    /// Ends a request. The caller of a poison request resends it through a random entry.
    fn close(&mut self, request: usize) {
        self.requests[request].done = true;
        self.open_requests -= 1;
        let Some(poison) = self.requests[request].poison else {
            return;
        };
        self.sends[poison] += 1;
        if self.sends[poison] <= self.settings.resends {
            let after = self.rng.random_range(1..500);
            self.new_request(self.now + after, 500 + poison as u64, Some(poison));
        }
    }

    /// Lets the gate of an upstream decide on each queued attempt.
    fn serve(&mut self, upstream: usize) {
        let queue = std::mem::take(&mut self.upstreams[upstream].queue);
        let waiting = queue.len();
        for request in queue {
            if self.upstreams[upstream].up_at > self.now {
                self.upstreams[upstream].gate.release(attempt(request));
                self.schedule(self.now + 1, Event::Refused { request });
                continue;
            }
            let decision = self.decide(upstream, request);
            match decision {
                Decision::Run => self.run(upstream, request),
                Decision::Wait => self.upstreams[upstream].queue.push(request),
                Decision::Redirect => self.redirect(upstream, request),
                Decision::Refuse => self.refuse_poison(request),
            }
        }
        let left = self.upstreams[upstream].queue.len();
        if left > 0 && left < waiting {
            self.serve(upstream);
        }
    }

    fn decide(&mut self, upstream: usize, request: usize) -> Decision {
        let node = self.upstreams[upstream].node;
        let centre = self.nodes[node].centre;
        let candidate = Candidate {
            id: attempt(request),
            status: self.status(node, self.requests[request].fingerprint),
            is_isolation_upstream: self.isolation_upstream(centre) == Some(upstream),
            has_alternative: self.up_upstreams(centre).nth(1).is_some(),
            running: self.upstreams[upstream].jobs.len(),
        };
        if self.settings.mode != Mode::Agateflow {
            return Decision::Run;
        }
        self.upstreams[upstream].gate.decide(&candidate)
    }

    /// Refuses an attempt and sends its entry the items about the request.
    fn redirect(&mut self, upstream: usize, request: usize) {
        let node = self.upstreams[upstream].node;
        let Request { fingerprint, entry, .. } = self.requests[request];
        let items = self.nodes[node].register.items_for(fingerprint, self.time());
        self.schedule(self.now + 1, Event::Items { node: entry, items });
        self.schedule(self.now + 1, Event::Refused { request });
    }

    fn run(&mut self, upstream: usize, request: usize) {
        let poison = self.requests[request].poison.is_some();
        let span = if poison { 10..60 } else { 20..200 };
        let after = self.rng.random_range(span);
        let crashes = self.upstreams[upstream].crashes;
        self.upstreams[upstream].jobs.push(request);
        if !poison && self.upstreams[upstream].gate.isolated_attempt() == Some(attempt(request)) {
            self.report.isolated += 1;
        }
        self.schedule(self.now + after, Event::Done { upstream, request, crashes });
    }

    fn done(&mut self, upstream: usize, request: usize, crashes: u64) {
        if self.upstreams[upstream].crashes != crashes {
            return;
        }
        if let Some(poison) = self.requests[request].poison {
            self.crash(upstream, Some(poison));
            return;
        }
        let state = &mut self.upstreams[upstream];
        state.jobs.retain(|&job| job != request);
        let was_isolated = state.gate.release(attempt(request));
        let node = state.node;
        if was_isolated {
            let now = self.time();
            let fingerprint = self.requests[request].fingerprint;
            let items = self.nodes[node].register.clear(fingerprint, now);
            self.broadcast(node, &items);
        }
        self.report.answered += 1;
        let took = self.now - self.requests[request].started;
        self.report.longest_ms = self.report.longest_ms.max(took);
        self.close(request);
        self.serve(upstream);
    }

    fn crash(&mut self, upstream: usize, poison: Option<usize>) {
        let now = self.time();
        let state = &mut self.upstreams[upstream];
        let jobs = std::mem::take(&mut state.jobs);
        state.crashes += 1;
        state.up_at = self.now + RESTART_MS;
        let crash = Crash::new(state.process, state.crashes);
        let isolated = state.gate.isolated_attempt().is_some();
        for &job in &jobs {
            state.gate.release(attempt(job));
        }
        let node = state.node;
        let in_flight: Vec<Fingerprint> =
            jobs.iter().map(|&job| self.requests[job].fingerprint).collect();
        if isolated && poison.is_none() {
            self.isolated_in_accident.extend(in_flight.iter().copied());
        }
        let items = self.nodes[node].register.record_crash(crash, &in_flight, isolated, now);
        self.broadcast(node, &items);
        if let Some(poison) = poison {
            self.report.lost += 1;
            *self.lost.entry((self.nodes[node].centre, poison)).or_default() += 1;
        }
        for request in jobs {
            self.schedule(self.now + REPORT_DELAY_MS, Event::Failed { request });
        }
        self.serve(upstream);
    }

    /// Sends items twice to all processes of the data centre before entries learn of the failure.
    fn broadcast(&mut self, from: usize, items: &[Item]) {
        let centre = self.nodes[from].centre;
        for node in (0..self.nodes.len()).filter(|&n| n != from) {
            if self.nodes[node].centre == centre && !items.is_empty() {
                self.send_items(node, 0, items.to_vec());
                self.send_items(node, REPORT_DELAY_MS / 2, items.to_vec());
            }
        }
    }

    fn gossip(&mut self, node: usize) {
        self.schedule(self.now + GOSSIP_INTERVAL_MS, Event::Gossip { node });
        let peer = self.rng.random_range(0..self.nodes.len());
        let items: Vec<Item> = self.nodes[node].register.items(self.time()).collect();
        if !items.is_empty() {
            self.send_items(peer, 0, items);
        }
    }

    fn send_items(&mut self, node: usize, wait: u64, items: Vec<Item>) {
        if self.rng.random_range(0..100) < self.settings.item_loss_percent {
            return;
        }
        let at = self.now + wait + self.latency();
        self.schedule(at, Event::Items { node, items });
    }
}

fn attempt(request: usize) -> id::Attempt {
    id::Attempt::new(id::Incarnation::new(0), request as u64)
}
