//! Simulated entry, and the outputs of its requests.

use indexmap::IndexMap;

use super::baseline::Baseline;
use super::call::Kind;
use super::driver::Simulation;
use super::event::{Event, Message};
use super::upstream::{self, Origin};
use super::{Mode, VALIDITY};
use crate::admission::{self, idempotency};
use crate::id;
use crate::outcome;
use crate::request::{self, Ending, Finish, Input, Output, budget};
use crate::unit;

/// What an entry knows of an upstream from its last heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct View {
    pub incarnation: id::Incarnation,
    pub started: unit::Millis,
    /// Its clock when it sent the heartbeat.
    pub clock: unit::Millis,
    /// When the heartbeat arrived, on the entry's clock.
    pub received_at: unit::Millis,
    /// Whether it is draining.
    pub draining: bool,
}

#[derive(Debug)]
enum Machine {
    Agateflow(Box<request::Request>),
    Baseline(Box<Baseline>),
}

/// A request in progress at an entry.
#[derive(Debug)]
pub struct Exchange {
    machine: Machine,
    pub call: usize,
    pub submission: usize,
    body: Vec<u8>,
}

#[derive(Debug)]
pub struct Entry {
    pub incarnation: id::Incarnation,
    /// Offset of its clock from simulated time, in milliseconds.
    pub clock_offset: i64,
    /// The number of the next request.
    pub next_request: u64,
    pub budget: budget::Budget,
    /// The last view of each upstream.
    pub views: Vec<Option<View>>,
    /// Requests in progress, by number.
    pub requests: IndexMap<u64, Exchange>,
    /// End of the current pause.
    pub paused_until: Option<unit::Millis>,
    /// When its clock was stopped.
    pub frozen_since: Option<unit::Millis>,
    /// Events deferred until the pause ends.
    pub deferred: Vec<Event>,
    /// The declared homes of keys that it applies.
    pub declared: Box<[id::Vm]>,
    /// The revision of that list.
    pub revision: unit::Revision,
    /// Keyed calls that a baseline remembers, with the response once it is complete.
    pub remembered_keys: IndexMap<usize, Option<Vec<u8>>>,
}

impl Entry {
    pub fn new(incarnation: id::Incarnation, clock_offset: i64, declared: &[id::Vm]) -> Self {
        Self {
            incarnation,
            clock_offset,
            next_request: 0,
            budget: budget::Budget::new(budget::Limits::default()),
            views: vec![None; declared.len()],
            requests: IndexMap::new(),
            paused_until: None,
            frozen_since: None,
            deferred: Vec::new(),
            declared: declared.into(),
            revision: upstream::REVISION,
            remembered_keys: IndexMap::new(),
        }
    }

    /// Its local time.
    pub fn local_time(&self, now: unit::Millis) -> unit::Millis {
        unit::Millis::new(now.get().saturating_add_signed(self.clock_offset))
    }
}

impl Simulation {
    /// Accepts a submission of a call and starts its request.
    pub(super) fn accept(&mut self, entry: usize, call: usize, submission: usize) {
        if self.settings.mode == Mode::EntryMemory && self.calls[call].kind.is_keyed() {
            if let Some(known) = self.entries[entry].remembered_keys.get(&call).cloned() {
                self.replay_remembered(entry, call, submission, known);
                return;
            }
            self.entries[entry].remembered_keys.insert(call, None);
        }
        let number = self.entries[entry].next_request;
        self.entries[entry].next_request += 1;
        let Some(request) = self.build_call(entry, call, submission, number) else {
            return;
        };
        let now = self.entries[entry].local_time(self.now);
        let policy = request::Policy {
            hedge_after: self.settings.hedge_after,
            ..request::Policy::default()
        };
        let (machine, outputs) = match self.settings.mode {
            Mode::Agateflow => {
                let (machine, outputs) = request::Request::new(request, policy, now);
                (Machine::Agateflow(Box::new(machine)), outputs)
            }
            mode => {
                let (machine, outputs) = Baseline::new(request, mode);
                (Machine::Baseline(Box::new(machine)), outputs)
            }
        };
        let exchange = Exchange { machine, call, submission, body: Vec::new() };
        self.entries[entry].requests.insert(number, exchange);
        self.carry_out(entry, number, outputs);
    }

    /// Answers a keyed call that an entry of a baseline remembers.
    fn replay_remembered(
        &mut self,
        entry: usize,
        call: usize,
        submission: usize,
        known: Option<Vec<u8>>,
    ) {
        let (outcome, ending, body) = match known {
            Some(body) => (outcome::Outcome::Ran, Ending::Complete, body),
            None => (outcome::Outcome::Unknown, Ending::Truncated, Vec::new()),
        };
        self.report_outcome(entry, (call, submission), Finish { outcome, ending }, &body);
    }

    fn build_call(
        &self,
        entry: usize,
        call: usize,
        submission: usize,
        n: u64,
    ) -> Option<request::Call> {
        let kind = self.calls[call].kind;
        let home = match kind {
            Kind::Keyed => {
                let scope =
                    idempotency::call_id(&self.team, &upstream::service()?, &idempotency_key(call));
                idempotency::home(&self.entries[entry].declared, &scope).cloned()
            }
            Kind::Ticketed => {
                let (_, home) = self.calls[call].ticket.as_ref()?;
                Some(self.upstreams[*home].vm.clone())
            }
            _ => None,
        };
        let deadline = self.calls[call].submissions[submission].deadline;
        let left = deadline.saturating_sub(self.now);
        Some(request::Call {
            id: id::Attempt::new(self.entries[entry].incarnation, n),
            team: self.team.clone(),
            repeatable: kind.is_repeatable(),
            stream: kind == Kind::Stream,
            resumable: kind == Kind::Stream,
            home,
            deadline: self.entries[entry].local_time(self.now) + left,
        })
    }

    /// Passes an input to one request of an entry.
    pub(super) fn feed(&mut self, entry: usize, number: u64, input: Input) {
        let node = &mut self.entries[entry];
        let now = node.local_time(self.now);
        let Some(exchange) = node.requests.get_mut(&number) else {
            return;
        };
        let outputs = match &mut exchange.machine {
            Machine::Agateflow(request) => request.handle(input, &mut node.budget, now),
            Machine::Baseline(request) => request.handle(input, now),
        };
        self.carry_out(entry, number, outputs);
    }

    /// Passes an input to all requests of an entry.
    pub(super) fn feed_all(&mut self, entry: usize, input: &Input) {
        let numbers: Vec<u64> = self.entries[entry].requests.keys().copied().collect();
        for number in numbers {
            self.feed(entry, number, input.clone());
        }
    }

    fn carry_out(&mut self, entry: usize, number: u64, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Choose { home, exclude, .. } => {
                    let input = self.choose(entry, home.as_ref(), &exclude);
                    self.feed(entry, number, input);
                }
                Output::Start { .. } => self.send_start(entry, number, &output),
                Output::Seal(seal) => {
                    self.send_to_upstream(entry, seal.target, Message::Seal(seal));
                }
                Output::Cancel { id, target } => {
                    self.send_to_upstream(entry, target, Message::Cancel(id));
                }
                Output::Resume { id, target, offset } => {
                    self.send_to_upstream(entry, target, Message::Resume { id, offset });
                }
                Output::Head(_) => {}
                Output::Deliver(bytes) => {
                    if let Some(exchange) = self.entries[entry].requests.get_mut(&number) {
                        exchange.body.extend_from_slice(&bytes);
                    }
                }
                Output::Wake(at) => self.schedule_wake(entry, number, at),
                Output::Finish(finish) => self.finish(entry, number, finish),
            }
        }
    }

    fn choose(&mut self, entry: usize, home: Option<&id::Vm>, exclude: &[id::Vm]) -> Input {
        let usable = |&i: &usize| {
            let vm = &self.upstreams[i].vm;
            let view = self.entries[entry].views[i];
            let seen = view.is_some_and(|v| home.is_some() || !v.draining);
            let linked = home.is_some() || !self.cut_links.contains(&(entry, i));
            let wanted = home.is_none_or(|home| home == vm);
            seen && linked && wanted && !exclude.contains(vm)
        };
        let usable: Vec<usize> = (0..self.upstreams.len()).filter(usable).collect();
        let Some(index) = self.pick_random(&usable) else {
            return Input::NoUpstream { retry_after: unit::Millis::new(1_000) };
        };
        let Some(view) = self.entries[entry].views[index] else {
            return Input::NoUpstream { retry_after: unit::Millis::new(1_000) };
        };
        let age = self.entries[entry].local_time(self.now).saturating_sub(view.received_at);
        Input::Chosen(request::Target {
            vm: self.upstreams[index].vm.clone(),
            incarnation: view.incarnation,
            valid_until: view.clock + age + VALIDITY,
        })
    }

    fn send_start(&mut self, entry: usize, number: u64, output: &Output) {
        let Output::Start { id, target, offset, left } = output else {
            return;
        };
        let (id, offset, left) = (*id, *offset, *left);
        let Some(exchange) = self.entries[entry].requests.get(&number) else {
            return;
        };
        let (call, submission) = (exchange.call, exchange.submission);
        let upstream = self.upstreams.iter().position(|u| u.vm == target.vm);
        let upstream = upstream.filter(|&u| !self.cut_links.contains(&(entry, u)));
        let (Some(upstream), Some(start)) =
            (upstream, self.build_start((entry, call), id, target, left))
        else {
            self.feed(entry, number, Input::Unsent(id));
            return;
        };
        let kind = self.calls[call].kind;
        let origin = Origin { call, submission, kind, offset };
        self.stats.attempts += 1;
        self.record_trace(|s| {
            format!("e{entry} start {} to u{upstream} from {offset}", s.attempt_label(id))
        });
        self.send_message(Event::ToUpstream {
            entry,
            upstream,
            message: Message::Start(start.into(), origin),
        });
    }

    fn build_start(
        &self,
        (entry, call): (usize, usize),
        id: id::Attempt,
        target: &request::Target,
        left: unit::Millis,
    ) -> Option<admission::Start> {
        let key = match self.calls[call].kind {
            Kind::Keyed => admission::Key::Idempotency(idempotency_key(call)),
            Kind::Ticketed => admission::Key::Ticket(self.calls[call].ticket.clone()?.0),
            _ => admission::Key::None,
        };
        let body = call.to_le_bytes();
        Some(admission::Start {
            id,
            target: target.incarnation,
            valid_until: target.valid_until,
            time_left: left,
            team: self.team.clone(),
            service: upstream::service()?,
            repeatable: self.calls[call].kind.is_repeatable(),
            key,
            digest: admission::Digest::new(&self.team, "POST", "/", &body),
            revision: self.entries[entry].revision,
        })
    }

    /// Sends to the VM where the entry last saw an incarnation.
    fn send_to_upstream(&mut self, entry: usize, target: id::Incarnation, message: Message) {
        let known = |u: &usize| {
            let view = self.entries[entry].views[*u];
            view.is_some_and(|v| v.incarnation == target)
        };
        let Some(upstream) = (0..self.upstreams.len()).find(known) else {
            return;
        };
        if self.cut_links.contains(&(entry, upstream)) {
            return;
        }
        self.record_trace(|s| format!("e{entry} {} to u{upstream}", message.describe(s)));
        self.send_message(Event::ToUpstream { entry, upstream, message });
    }

    fn finish(&mut self, entry: usize, number: u64, finish: Finish) {
        let Some(exchange) = self.entries[entry].requests.swap_remove(&number) else {
            return;
        };
        let remembers = self.settings.mode == Mode::EntryMemory;
        if remembers
            && self.calls[exchange.call].kind.is_keyed()
            && finish.ending == Ending::Complete
        {
            self.entries[entry].remembered_keys.insert(exchange.call, Some(exchange.body.clone()));
        }
        self.report_outcome(entry, (exchange.call, exchange.submission), finish, &exchange.body);
    }
}

fn idempotency_key(call: usize) -> Box<str> {
    format!("key-{call}").into()
}
