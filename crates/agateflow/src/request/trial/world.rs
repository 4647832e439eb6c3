//! The channel between entries and upstreams, its faults, and the callers.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::call::Call;
use super::entry::{Entry, View};
use super::event::{self, Event, Fault};
use super::upstream::Upstream;
use super::{HEARTBEAT, Kind, Ledger, Mode, Settings, WINDOW};
use crate::admission;
use crate::id;
use crate::outcome;
use crate::request::Input;
use crate::unit;

/// Longest usual latency of a message, in milliseconds.
const LATENCY: u64 = 2;
/// Longest delay of a late message, in milliseconds.
const LATE: u64 = 5_000;

/// Entries, upstreams, callers and the channel between them.
#[derive(Debug)]
pub struct World {
    pub(super) settings: Settings,
    pub(super) now: unit::Millis,
    pub(super) entries: Vec<Entry>,
    pub(super) upstreams: Vec<Upstream>,
    pub(super) calls: Vec<Call>,
    pub(super) cuts: IndexSet<(usize, usize)>,
    pub(super) ledger: Ledger,
    pub(super) team: id::Team,
    pub(super) declared: Vec<id::Vm>,
    pub(super) rng: Pcg64Mcg,
    events: BTreeMap<(unit::Millis, u64), Event>,
    sequence: u64,
    last: IndexMap<(bool, usize, usize), unit::Millis>,
    next: Vec<(Box<str>, Fault)>,
    pub(super) resends: bool,
    pub(super) faulty: bool,
    trace: Option<Vec<String>>,
}

impl World {
    /// Builds a world and lets it run, without faults, until no home is in quarantine.
    ///
    /// # Errors
    ///
    /// Never for names that this module makes.
    pub fn new(settings: Settings) -> Result<Self, id::Error> {
        let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
        let names = (0..settings.upstreams).map(|i| id::Vm::new(&format!("u{i}")));
        let declared: Vec<id::Vm> = names.collect::<Result<_, _>>()?;
        let now = unit::Millis::new(1_000_000);
        let gated = (settings.mode == Mode::Agateflow).then_some(&declared[..]);
        let upstreams = declared.iter().map(|vm| {
            let clock = rng.random_range(0..100_000);
            let incarnation = id::Incarnation::random(&mut rng);
            Upstream::new(vm.clone(), incarnation, clock, gated, now)
        });
        let upstreams = upstreams.collect();
        let entries = (0..settings.entries).map(|_| {
            let clock = rng.random_range(0..100_000);
            Entry::new(id::Incarnation::random(&mut rng), clock, &declared)
        });
        let entries = entries.collect();
        let mut world = Self {
            settings,
            now,
            entries,
            upstreams,
            calls: Vec::new(),
            cuts: IndexSet::new(),
            ledger: Ledger::default(),
            team: id::Team::new("trial")?,
            declared,
            rng,
            events: BTreeMap::new(),
            sequence: 0,
            last: IndexMap::new(),
            next: Vec::new(),
            resends: false,
            faulty: false,
            trace: None,
        };
        world.at(now, Event::Tick);
        world.run(unit::Millis::new(2 * WINDOW.get()));
        Ok(world)
    }

    /// Lets callers send again what was not run, or what is unknown and safe to send again.
    pub fn with_resends(mut self) -> Self {
        self.resends = true;
        self
    }

    /// Records a trace from now on.
    pub fn with_trace(mut self) -> Self {
        self.trace = Some(Vec::new());
        self
    }

    /// Turns the random faults on or off.
    pub fn set_faulty(&mut self, faulty: bool) {
        self.faulty = faulty;
    }

    /// The trace since the last call.
    pub fn take_trace(&mut self) -> Vec<String> {
        self.trace.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Counts so far, with all checks made.
    pub fn ledger(&self) -> Ledger {
        let mut ledger = self.ledger;
        for call in &self.calls {
            ledger.check_call(call);
        }
        ledger
    }

    /// Requests of a kind that were told each outcome: ran, not run, unknown, nothing.
    pub fn told_of(&self, kind: Kind) -> [u64; 4] {
        let mut counts = [0; 4];
        for send in self.calls.iter().filter(|c| c.kind == kind).flat_map(|c| &c.sends) {
            let index = match send.told.filter(|_| !send.gone) {
                Some((outcome::Outcome::Ran, _)) => 0,
                Some((outcome::Outcome::NotRun, _)) => 1,
                Some((outcome::Outcome::Unknown, _)) => 2,
                None => 3,
            };
            counts[index] += 1;
        }
        counts
    }

    /// Runs of a call so far.
    pub fn runs(&self, call: usize) -> usize {
        self.calls[call].runs.len()
    }

    /// Runs for a span.
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

    /// A fault for the next message named `name`.
    pub fn fault(&mut self, name: &str, fault: Fault) {
        self.next.push((name.into(), fault));
    }

    pub(super) fn any_entry(&mut self) -> usize {
        self.rng.random_range(0..self.entries.len())
    }

    /// One of `items`, by the world's random numbers.
    pub(super) fn pick(&mut self, items: &[usize]) -> Option<usize> {
        if items.is_empty() {
            return None;
        }
        Some(items[self.rng.random_range(0..items.len())])
    }

    /// True for `rate` of 10,000 calls, while random faults are on.
    pub(super) fn roll(&mut self, rate: u32) -> bool {
        self.faulty && rate > 0 && self.rng.random_range(0..10_000) < rate
    }

    /// A number below `bound`.
    pub(super) fn below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound.max(1))
    }

    /// Adds a line to the trace.
    pub(super) fn note(&mut self, line: impl FnOnce(&World) -> String) {
        if self.trace.is_none() {
            return;
        }
        let line = line(self);
        if let Some(trace) = &mut self.trace {
            trace.push(line);
        }
    }

    /// An attempt in a trace: entry, request, attempt.
    pub(super) fn label(&self, id: id::Attempt) -> String {
        let entry = self.entries.iter().position(|e| e.incarnation == id.entry);
        let entry = entry.map_or_else(|| "e-".to_owned(), |e| format!("e{e}"));
        format!("{entry}r{}a{}", id.request, id.number)
    }

    /// Plans an event.
    pub(super) fn at(&mut self, at: unit::Millis, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Plans a request's timer.
    pub(super) fn set_wake(&mut self, entry: usize, number: u64, at: unit::Millis) {
        let side = &self.entries[entry];
        let incarnation = side.incarnation;
        let wait = at.saturating_sub(side.time(self.now));
        let wake = Event::Wake { entry, incarnation, number, at };
        self.at(self.now + wait, wake);
    }

    /// Sends a message over its link: in order, unless a fault strikes it.
    pub(super) fn send(&mut self, event: Event) {
        let (lane, name) = match &event {
            Event::Up { entry, upstream, message } => ((true, *entry, *upstream), message.name()),
            Event::Down { entry, upstream, frame, .. } => {
                ((false, *entry, *upstream), event::frame_name(frame))
            }
            _ => return,
        };
        let latency = unit::Millis::new(1 + self.below(LATENCY));
        let last = self.last.entry(lane).or_default();
        let usual = (self.now + latency).max(*last);
        *last = usual;
        match self.strike(name) {
            None => self.at(usual, event),
            Some(Fault::Lose) => self.note(|_| format!("lost {name}")),
            Some(Fault::Delay(span)) => self.at(self.now + span, event),
            Some(Fault::Double(span)) => {
                self.at(usual, event.clone());
                self.at(usual + span, event);
            }
        }
    }

    fn strike(&mut self, name: &str) -> Option<Fault> {
        if let Some(index) = self.next.iter().position(|(n, _)| &**n == name) {
            return Some(self.next.remove(index).1);
        }
        let faults = self.settings.faults;
        if self.roll(faults.lose) {
            return Some(Fault::Lose);
        }
        if self.roll(faults.double) {
            return Some(Fault::Double(unit::Millis::new(self.below(LATE))));
        }
        if self.roll(faults.delay) {
            return Some(Fault::Delay(unit::Millis::new(self.below(LATE))));
        }
        None
    }

    pub(super) fn dispatch(&mut self, event: Event) {
        let Some(event) = self.hold(event) else {
            return;
        };
        match event {
            Event::Up { entry, upstream, message } => {
                if !self.cuts.contains(&(entry, upstream)) {
                    self.take(upstream, message);
                }
            }
            Event::Down { upstream, entry, from, id, frame } => {
                let linked = !self.cuts.contains(&(entry, upstream));
                if linked && self.entries[entry].incarnation == id.entry {
                    self.feed(entry, id.request, Input::Frame { from, id, frame });
                }
            }
            Event::Beat { upstream, entry, view } => self.hear(upstream, entry, view),
            Event::Peer { upstream, to, asked } => self.confirm(upstream, to, asked),
            Event::Wake { entry, incarnation, number, at } => {
                self.wake(entry, incarnation, number, at);
            }
            Event::Step { upstream, incarnation, id } => {
                if self.upstreams[upstream].incarnation == incarnation {
                    self.step(upstream, id);
                }
            }
            Event::Send { entry, call } => self.send_call(entry, call),
            Event::Gone { call } => self.caller_gone(call),
            Event::LinkLost { entry, target } => self.feed_all(entry, &Input::LinkLost(target)),
            Event::Mend { entry, upstream } => self.mended(entry, upstream),
            Event::WakeUpstream(upstream) => self.wake_upstream(upstream),
            Event::WakeEntry(entry) => self.wake_entry(entry),
            Event::Replace(upstream, incarnation) => {
                if self.upstreams[upstream].incarnation == incarnation {
                    self.kill(upstream);
                }
            }
            Event::Tick => self.tick(),
        }
    }

    /// Keeps an event of a paused process until it wakes.
    fn hold(&mut self, event: Event) -> Option<Event> {
        match &event {
            Event::Up { upstream, .. }
            | Event::Step { upstream, .. }
            | Event::Peer { to: upstream, .. } => {
                let side = &mut self.upstreams[*upstream];
                if side.paused.is_some() {
                    side.held.push(event);
                    return None;
                }
            }
            Event::Down { entry, .. }
            | Event::Beat { entry, .. }
            | Event::Wake { entry, .. }
            | Event::Send { entry, .. }
            | Event::LinkLost { entry, .. }
            | Event::Mend { entry, .. } => {
                let side = &mut self.entries[*entry];
                if side.paused.is_some() {
                    side.held.push(event);
                    return None;
                }
            }
            _ => {}
        }
        Some(event)
    }

    fn wake(&mut self, entry: usize, life: id::Incarnation, number: u64, at: unit::Millis) {
        let side = &self.entries[entry];
        if side.incarnation != life {
            return;
        }
        if side.time(self.now) < at {
            self.set_wake(entry, number, at);
            return;
        }
        self.feed(entry, number, Input::Timer);
    }

    fn hear(&mut self, upstream: usize, entry: usize, view: View) {
        if self.cuts.contains(&(entry, upstream)) {
            return;
        }
        let side = &mut self.entries[entry];
        let heard = side.time(self.now);
        let old = side.views[upstream];
        if old.is_some_and(|o| o.started > view.started) {
            return;
        }
        side.views[upstream] = Some(View { heard, ..view });
        if let Some(old) = old.filter(|o| o.incarnation != view.incarnation) {
            self.feed_all(entry, &Input::Gone(old.incarnation));
        }
    }

    fn confirm(&mut self, upstream: usize, to: usize, asked: unit::Millis) {
        let vm = self.upstreams[upstream].vm.clone();
        let revision = self.upstreams[upstream].revision;
        let side = &mut self.upstreams[to];
        let now = side.time(self.now);
        if let Some(table) = &mut side.table {
            table.home_mut().record_revision(&vm, revision, asked, now);
        }
    }

    fn tick(&mut self) {
        self.at(self.now + HEARTBEAT, Event::Tick);
        for upstream in 0..self.upstreams.len() {
            if self.faulty {
                self.upset_upstream(upstream);
            }
            if self.upstreams[upstream].paused.is_none() {
                self.beat(upstream);
                self.admit(upstream, admission::Input::Tick);
            }
        }
        for entry in 0..self.entries.len() {
            if self.faulty {
                self.upset_entry(entry);
            }
        }
    }

    fn beat(&mut self, upstream: usize) {
        let side = &self.upstreams[upstream];
        let view = View {
            incarnation: side.incarnation,
            started: side.started,
            clock: side.time(self.now),
            heard: unit::Millis::ZERO,
            draining: side.draining,
        };
        for entry in 0..self.entries.len() {
            let after = unit::Millis::new(1 + self.below(LATENCY));
            if self.roll(self.settings.faults.lose) {
                continue;
            }
            self.at(self.now + after, Event::Beat { upstream, entry, view });
        }
        for to in (0..self.upstreams.len()).filter(|&to| to != upstream) {
            let asked = self.upstreams[to].time(self.now);
            self.at(self.now + unit::Millis::new(1), Event::Peer { upstream, to, asked });
        }
    }
}
