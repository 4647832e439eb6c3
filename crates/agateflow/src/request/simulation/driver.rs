//! Event loop of a simulation, and the faulty network between entries and upstreams.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::call::Call;
use super::entry::{Entry, View};
use super::event::{self, Event, Fault};
use super::upstream::Upstream;
use super::{HEARTBEAT_INTERVAL, Kind, Mode, Settings, Stats, WINDOW};
use crate::admission;
use crate::id;
use crate::outcome;
use crate::request::Input;
use crate::unit;

/// Longest latency without a fault.
const MAX_LATENCY_MS: u64 = 2;
/// Longest delay of a delayed message or of a duplicate.
const MAX_DELAY_MS: u64 = 5_000;

/// Simulated entries, upstreams, callers and the network between them.
#[derive(Debug)]
pub struct Simulation {
    pub(super) settings: Settings,
    pub(super) now: unit::Millis,
    pub(super) entries: Vec<Entry>,
    pub(super) upstreams: Vec<Upstream>,
    pub(super) calls: Vec<Call>,
    pub(super) cut_links: IndexSet<(usize, usize)>,
    pub(super) stats: Stats,
    pub(super) team: id::Team,
    pub(super) declared: Vec<id::Vm>,
    pub(super) rng: Pcg64Mcg,
    events: BTreeMap<(unit::Millis, u64), Event>,
    sequence: u64,
    last_arrival: IndexMap<(bool, usize, usize), unit::Millis>,
    injected_faults: Vec<(Box<str>, Fault)>,
    pub(super) caller_retries: bool,
    pub(super) faults_enabled: bool,
    trace: Option<Vec<String>>,
}

impl Simulation {
    /// Builds a simulation and runs it, without faults, until no home is in quarantine.
    ///
    /// # Errors
    ///
    /// None for the names that this module makes.
    pub fn new(settings: Settings) -> Result<Self, id::Error> {
        let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
        let names = (0..settings.upstreams).map(|i| id::Vm::new(&format!("u{i}")));
        let declared: Vec<id::Vm> = names.collect::<Result<_, _>>()?;
        let now = unit::Millis::new(1_000_000);
        let homes = (settings.mode == Mode::Agateflow).then_some(&declared[..]);
        let upstreams = declared.iter().map(|vm| {
            let clock_offset = rng.random_range(0..100_000);
            let incarnation = id::Incarnation::random(&mut rng);
            Upstream::new(vm.clone(), incarnation, clock_offset, homes, now)
        });
        let upstreams = upstreams.collect();
        let entries = (0..settings.entries).map(|_| {
            let clock_offset = rng.random_range(0..100_000);
            Entry::new(id::Incarnation::random(&mut rng), clock_offset, &declared)
        });
        let entries = entries.collect();
        let mut simulation = Self {
            settings,
            now,
            entries,
            upstreams,
            calls: Vec::new(),
            cut_links: IndexSet::new(),
            stats: Stats::default(),
            team: id::Team::new("trial")?,
            declared,
            rng,
            events: BTreeMap::new(),
            sequence: 0,
            last_arrival: IndexMap::new(),
            injected_faults: Vec::new(),
            caller_retries: false,
            faults_enabled: false,
            trace: None,
        };
        simulation.schedule(now, Event::Tick);
        simulation.run(unit::Millis::new(2 * WINDOW.get()));
        Ok(simulation)
    }

    /// Lets callers retry after `not-run`, and after `unknown` where that is safe.
    pub fn with_caller_retries(mut self) -> Self {
        self.caller_retries = true;
        self
    }

    /// Starts to record a trace.
    pub fn with_trace(mut self) -> Self {
        self.trace = Some(Vec::new());
        self
    }

    /// Turns random faults on or off.
    pub fn set_faults_enabled(&mut self, faults_enabled: bool) {
        self.faults_enabled = faults_enabled;
    }

    /// Returns the trace since the last call.
    pub fn take_trace(&mut self) -> Vec<String> {
        self.trace.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Counters so far, including the checks of all calls.
    pub fn stats(&self) -> Stats {
        let mut stats = self.stats;
        for call in &self.calls {
            stats.check_call(call);
        }
        stats
    }

    /// Number of submissions of a kind by outcome: ran, not run, unknown, none.
    pub fn outcome_counts(&self, kind: Kind) -> [u64; 4] {
        let mut counts = [0; 4];
        for submission in self.calls.iter().filter(|c| c.kind == kind).flat_map(|c| &c.submissions)
        {
            let index = match submission.reported.filter(|_| !submission.caller_disconnected) {
                Some((outcome::Outcome::Ran, _)) => 0,
                Some((outcome::Outcome::NotRun, _)) => 1,
                Some((outcome::Outcome::Unknown, _)) => 2,
                None => 3,
            };
            counts[index] += 1;
        }
        counts
    }

    /// How often a call has run.
    pub fn runs(&self, call: usize) -> usize {
        self.calls[call].runs.len()
    }

    /// Runs the event loop for a span of simulated time.
    pub fn run(&mut self, span: unit::Millis) {
        let end = self.now + span;
        while let Some((&(at, sequence), _)) = self.events.first_key_value() {
            if at > end {
                break;
            }
            let event = self.events.remove(&(at, sequence));
            self.now = at;
            if let Some(event) = event {
                self.dispatch(event);
            }
        }
        self.now = end;
    }

    /// Injects a fault into the next message named `name`.
    pub fn inject_fault(&mut self, name: &str, fault: Fault) {
        self.injected_faults.push((name.into(), fault));
    }

    pub(super) fn random_entry(&mut self) -> usize {
        self.rng.random_range(0..self.entries.len())
    }

    pub(super) fn pick_random(&mut self, items: &[usize]) -> Option<usize> {
        if items.is_empty() {
            return None;
        }
        Some(items[self.rng.random_range(0..items.len())])
    }

    /// True with probability `rate` / 10,000, while random faults are on.
    pub(super) fn occurs(&mut self, rate: u32) -> bool {
        self.faults_enabled && rate > 0 && self.rng.random_range(0..10_000) < rate
    }

    /// A random number below `bound`.
    pub(super) fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound.max(1))
    }

    /// Adds a line to the trace, if one is recorded.
    pub(super) fn record_trace(&mut self, line: impl FnOnce(&Simulation) -> String) {
        if self.trace.is_none() {
            return;
        }
        let line = line(self);
        if let Some(trace) = &mut self.trace {
            trace.push(line);
        }
    }

    /// Names an attempt in the trace by entry, request and attempt.
    pub(super) fn attempt_label(&self, id: id::Attempt) -> String {
        let entry = self.entries.iter().position(|e| e.incarnation == id.entry);
        let entry = entry.map_or_else(|| "e-".to_owned(), |e| format!("e{e}"));
        format!("{entry}r{}a{}", id.request, id.number)
    }

    pub(super) fn schedule(&mut self, at: unit::Millis, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Schedules the timer of a request.
    pub(super) fn schedule_wake(&mut self, entry: usize, number: u64, at: unit::Millis) {
        let node = &self.entries[entry];
        let incarnation = node.incarnation;
        let wait = at.saturating_sub(node.local_time(self.now));
        let wake = Event::RequestTimer { entry, incarnation, number, at };
        self.schedule(self.now + wait, wake);
    }

    /// Sends a message over its link: in order, unless a fault applies.
    pub(super) fn send_message(&mut self, event: Event) {
        let (channel, name) = match &event {
            Event::ToUpstream { entry, upstream, message } => {
                ((true, *entry, *upstream), message.name())
            }
            Event::ToEntry { entry, upstream, frame, .. } => {
                ((false, *entry, *upstream), event::frame_name(frame))
            }
            _ => return,
        };
        let latency = unit::Millis::new(1 + self.random_below(MAX_LATENCY_MS));
        let last_arrival = self.last_arrival.entry(channel).or_default();
        let in_order_at = (self.now + latency).max(*last_arrival);
        *last_arrival = in_order_at;
        match self.next_fault(name) {
            None => self.schedule(in_order_at, event),
            Some(Fault::Drop) => self.record_trace(|_| format!("lost {name}")),
            Some(Fault::Delay(span)) => self.schedule(self.now + span, event),
            Some(Fault::Duplicate(span)) => {
                self.schedule(in_order_at, event.clone());
                self.schedule(in_order_at + span, event);
            }
        }
    }

    fn next_fault(&mut self, name: &str) -> Option<Fault> {
        if let Some(index) = self.injected_faults.iter().position(|(n, _)| &**n == name) {
            return Some(self.injected_faults.remove(index).1);
        }
        let faults = self.settings.faults;
        if self.occurs(faults.message_loss) {
            return Some(Fault::Drop);
        }
        if self.occurs(faults.message_duplication) {
            return Some(Fault::Duplicate(unit::Millis::new(self.random_below(MAX_DELAY_MS))));
        }
        if self.occurs(faults.message_delay) {
            return Some(Fault::Delay(unit::Millis::new(self.random_below(MAX_DELAY_MS))));
        }
        None
    }

    pub(super) fn dispatch(&mut self, event: Event) {
        let Some(event) = self.defer_if_paused(event) else {
            return;
        };
        match event {
            Event::ToUpstream { entry, upstream, message } => {
                if !self.cut_links.contains(&(entry, upstream)) {
                    self.receive(upstream, message);
                }
            }
            Event::ToEntry { upstream, entry, from, id, frame } => {
                let linked = !self.cut_links.contains(&(entry, upstream));
                if linked && self.entries[entry].incarnation == id.entry {
                    self.feed(entry, id.request, Input::Frame { from, id, frame });
                }
            }
            Event::Heartbeat { upstream, entry, view } => self.on_heartbeat(upstream, entry, view),
            Event::PeerHeartbeat { upstream, to, asked } => {
                self.on_peer_heartbeat(upstream, to, asked);
            }
            Event::RequestTimer { entry, incarnation, number, at } => {
                self.on_request_timer(entry, incarnation, number, at);
            }
            Event::EngineStep { upstream, incarnation, id } => {
                if self.upstreams[upstream].incarnation == incarnation {
                    self.engine_step(upstream, id);
                }
            }
            Event::Submit { entry, call } => self.submit_call(entry, call),
            Event::CallerDisconnect { call } => self.on_caller_disconnect(call),
            Event::LinkLost { entry, target } => self.feed_all(entry, &Input::LinkLost(target)),
            Event::RestoreLink { entry, upstream } => self.on_link_restored(entry, upstream),
            Event::UnpauseUpstream(upstream) => self.unpause_upstream(upstream),
            Event::UnpauseEntry(entry) => self.unpause_entry(entry),
            Event::ReplaceUpstream(upstream, incarnation) => {
                if self.upstreams[upstream].incarnation == incarnation {
                    self.replace_upstream(upstream);
                }
            }
            Event::Tick => self.tick(),
        }
    }

    /// Defers an event of a paused process until the pause ends.
    fn defer_if_paused(&mut self, event: Event) -> Option<Event> {
        match &event {
            Event::ToUpstream { upstream, .. }
            | Event::EngineStep { upstream, .. }
            | Event::PeerHeartbeat { to: upstream, .. } => {
                let node = &mut self.upstreams[*upstream];
                if node.paused_until.is_some() {
                    node.deferred.push(event);
                    return None;
                }
            }
            Event::ToEntry { entry, .. }
            | Event::Heartbeat { entry, .. }
            | Event::RequestTimer { entry, .. }
            | Event::Submit { entry, .. }
            | Event::LinkLost { entry, .. }
            | Event::RestoreLink { entry, .. } => {
                let node = &mut self.entries[*entry];
                if node.paused_until.is_some() {
                    node.deferred.push(event);
                    return None;
                }
            }
            _ => {}
        }
        Some(event)
    }

    fn on_request_timer(
        &mut self,
        entry: usize,
        expected: id::Incarnation,
        number: u64,
        at: unit::Millis,
    ) {
        let node = &self.entries[entry];
        if node.incarnation != expected {
            return;
        }
        if node.local_time(self.now) < at {
            self.schedule_wake(entry, number, at);
            return;
        }
        self.feed(entry, number, Input::Timer);
    }

    fn on_heartbeat(&mut self, upstream: usize, entry: usize, view: View) {
        if self.cut_links.contains(&(entry, upstream)) {
            return;
        }
        let node = &mut self.entries[entry];
        let received_at = node.local_time(self.now);
        let old = node.views[upstream];
        if old.is_some_and(|o| o.started > view.started) {
            return;
        }
        node.views[upstream] = Some(View { received_at, ..view });
        if let Some(old) = old.filter(|o| o.incarnation != view.incarnation) {
            self.feed_all(entry, &Input::TargetGone(old.incarnation));
        }
    }

    fn on_peer_heartbeat(&mut self, upstream: usize, to: usize, asked: unit::Millis) {
        let vm = self.upstreams[upstream].vm.clone();
        let revision = self.upstreams[upstream].revision;
        let node = &mut self.upstreams[to];
        let now = node.local_time(self.now);
        if let Some(table) = &mut node.table {
            table.home_mut().record_revision(&vm, revision, asked, now);
        }
    }

    fn tick(&mut self) {
        self.schedule(self.now + HEARTBEAT_INTERVAL, Event::Tick);
        for upstream in 0..self.upstreams.len() {
            if self.faults_enabled {
                self.inject_upstream_faults(upstream);
            }
            if self.upstreams[upstream].paused_until.is_none() {
                self.send_heartbeats(upstream);
                self.table_input(upstream, admission::Input::Tick);
            }
        }
        for entry in 0..self.entries.len() {
            if self.faults_enabled {
                self.inject_entry_faults(entry);
            }
        }
    }

    fn send_heartbeats(&mut self, upstream: usize) {
        let node = &self.upstreams[upstream];
        let view = View {
            incarnation: node.incarnation,
            started: node.started,
            clock: node.local_time(self.now),
            received_at: unit::Millis::ZERO,
            draining: node.draining,
        };
        for entry in 0..self.entries.len() {
            let after = unit::Millis::new(1 + self.random_below(MAX_LATENCY_MS));
            if self.occurs(self.settings.faults.message_loss) {
                continue;
            }
            self.schedule(self.now + after, Event::Heartbeat { upstream, entry, view });
        }
        for to in (0..self.upstreams.len()).filter(|&to| to != upstream) {
            let asked = self.upstreams[to].local_time(self.now);
            self.schedule(
                self.now + unit::Millis::new(1),
                Event::PeerHeartbeat { upstream, to, asked },
            );
        }
    }
}
