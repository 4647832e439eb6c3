//! Table of the attempts at an upstream process.

use std::collections::{BTreeSet, VecDeque};

use indexmap::IndexMap;

use super::call_store;
use super::idempotency;
use super::reason::Reason;
use super::record::{Authority, Call, Record, State};
use super::ticket;
use crate::admission::{Digest, Ending, Input, Limits, Output, Progress, Seal, Start};
use crate::id;
use crate::unit;

/// `Retry-After` of refusals whose cause is expected to pass soon.
const SHORT_RETRY_AFTER: unit::Millis = unit::Millis::new(1_000);

/// The process that owns a table.
#[derive(Clone, Debug)]
pub struct Owner {
    /// The incarnation that starts must be addressed to.
    pub incarnation: id::Incarnation,
    /// Key that authenticates tickets.
    pub secret: ticket::Secret,
    /// Decides for which idempotency keys this process is home.
    pub home: idempotency::Home,
}

/// Attempts, tombstones and keyed calls of one upstream process.
///
/// Every attempt that was refused after a lookup, sealed, run or failed stays recorded as long as a
/// duplicate of its start could still be valid, so that no duplicate runs. If the table has no room
/// for the record, it raises `validity_floor` and refuses starts whose validity does not exceed it.
#[derive(Clone, Debug)]
pub struct Table {
    pub(super) owner: Owner,
    pub(super) limits: Limits,
    pub(super) records: IndexMap<id::Attempt, Record>,
    pub(super) expiries: BTreeSet<(unit::Millis, id::Attempt)>,
    pub(super) in_flight: usize,
    pub(super) calls: call_store::Store,
    pub(super) answers_by_age: VecDeque<id::Attempt>,
    pub(super) answer_bytes: u64,
    pub(super) validity_floor: Option<unit::Millis>,
    pub(super) draining: bool,
}

impl Table {
    /// Creates an empty table.
    pub fn new(owner: Owner, limits: Limits) -> Self {
        Self {
            owner,
            limits,
            records: IndexMap::new(),
            expiries: BTreeSet::new(),
            in_flight: 0,
            calls: call_store::Store::new(limits.call_store),
            answers_by_age: VecDeque::new(),
            answer_bytes: 0,
            validity_floor: None,
            draining: false,
        }
    }

    /// Returns the incarnation that starts must be addressed to.
    pub const fn incarnation(&self) -> id::Incarnation {
        self.owner.incarnation
    }

    /// Returns the home state, for updates of the declared VMs and of peers' revisions.
    pub const fn home_mut(&mut self) -> &mut idempotency::Home {
        &mut self.owner.home
    }

    /// Returns the number of queued and running attempts.
    pub const fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns whether an attempt is queued or running.
    pub fn is_in_flight(&self, id: id::Attempt) -> bool {
        self.records.get(&id).is_some_and(|record| record.state.is_in_flight())
    }

    /// Returns the number of records, tombstones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the records of calls with a key or ticket.
    pub const fn calls(&self) -> &call_store::Store {
        &self.calls
    }

    /// Iterates over the attempts that are running at the engine, with team and digest.
    pub fn running(&self) -> impl Iterator<Item = (id::Attempt, &id::Team, &Digest)> {
        let running = self.records.iter().filter(|(_, r)| r.state == State::Running);
        running.filter_map(|(&id, r)| Some((id, r.team.as_ref()?, &r.digest)))
    }

    /// Processes an input and returns the actions to take, in order.
    pub fn handle(&mut self, input: Input, now: unit::Millis) -> Vec<Output> {
        match input {
            Input::Start(start) => self.start(&start, now),
            Input::Seal(seal) => self.seal(&seal, now),
            Input::Cancel(id) => self.cancel(id, now),
            Input::Resume { id, offset } => self.resume(id, offset),
            Input::Dispatch(id) => self.dispatch(id, now),
            Input::Reject { id, reason, retry_after } => self.reject(id, reason, retry_after),
            Input::Finished { id, ending } => self.finish(id, ending, now),
            Input::LinkLost(entry) => self.mark_orphaned(entry, now),
            Input::Tick => self.tick(now),
            Input::Drain => self.drain(),
        }
    }

    fn start(&mut self, start: &Start, now: unit::Millis) -> Vec<Output> {
        let id = start.id;
        if let Some(record) = self.records.get(&id) {
            let sealed = record.state == State::NotRun;
            return if sealed { refuse(id, Reason::Sealed) } else { Vec::new() };
        }
        if start.target != self.owner.incarnation {
            return refuse(id, Reason::WrongTarget);
        }
        if now > start.valid_until {
            return refuse(id, Reason::Expired);
        }
        if start.valid_until > now + self.limits.validity {
            return refuse(id, Reason::Validity);
        }
        let call = match self.find_call(start, now) {
            Ok(call) => call,
            Err(output) => return self.refuse_start(start, output),
        };
        if self.draining {
            return refuse(id, Reason::Draining);
        }
        if !self.has_room(start.valid_until) {
            self.raise_validity_floor(start.valid_until);
            return refuse(id, Reason::Full);
        }
        if start.time_left == unit::Millis::ZERO {
            return self.refuse_start(start, refuse(id, Reason::Late));
        }
        self.admit(start, call, now);
        vec![Output::Admit(id)]
    }

    fn admit(&mut self, start: &Start, call: Option<Call>, now: unit::Millis) {
        if let Some(call) = &call {
            let call_retention = match &call.authority {
                Authority::Ticket(ticket) => call_store::Retention::Until(ticket.expires),
                Authority::Home(..) => call_store::Retention::For(self.owner.home.retry_window()),
            };
            self.calls.begin(call.call_id, start.digest, &start.team, call_retention);
        }
        self.records.insert(start.id, Record::new(start, call, now));
        self.in_flight += 1;
    }

    /// Refuses a start and its duplicates, by a tombstone or, without room for one, by the floor.
    fn refuse_start(&mut self, start: &Start, outputs: Vec<Output>) -> Vec<Output> {
        if self.records.len() < self.limits.records {
            self.insert_tombstone(start.id, start.valid_until);
        } else {
            self.raise_validity_floor(start.valid_until);
        }
        outputs
    }

    fn has_room(&self, valid_until: unit::Millis) -> bool {
        let above = self.validity_floor.is_none_or(|floor| valid_until > floor);
        let in_flight = self.in_flight < self.limits.in_flight;
        above && in_flight && self.records.len() < self.limits.records
    }

    fn raise_validity_floor(&mut self, valid_until: unit::Millis) {
        self.validity_floor = self.validity_floor.max(Some(valid_until));
    }

    fn insert_tombstone(&mut self, id: id::Attempt, valid_until: unit::Millis) {
        self.records.insert(id, Record::tombstone(valid_until));
        self.expiries.insert((valid_until, id));
    }

    fn seal(&mut self, seal: &Seal, now: unit::Millis) -> Vec<Output> {
        let id = seal.id;
        let Some(record) = self.records.get(&id) else {
            let state = self.seal_without_record(seal, now);
            return vec![Output::Sealed { id, state }];
        };
        let state = record.state.progress();
        let waiting = record.state == State::Waiting;
        let mut outputs = Vec::new();
        if waiting {
            self.withdraw(id);
            outputs.push(Output::Dequeue(id));
        }
        outputs.push(Output::Sealed { id, state });
        outputs
    }

    /// An attempt without a record did not run, unless its record may already have expired.
    fn seal_without_record(&mut self, seal: &Seal, now: unit::Millis) -> Progress {
        let own = seal.target == self.owner.incarnation;
        let remembered = now <= seal.valid_until + self.limits.retention;
        let bounded = seal.valid_until <= now + self.limits.validity;
        if !own || !remembered || !bounded {
            return Progress::Running;
        }
        if now <= seal.valid_until {
            if self.records.len() >= self.limits.records {
                return Progress::Running;
            }
            self.insert_tombstone(seal.id, seal.valid_until);
        }
        Progress::NotRun
    }

    fn cancel(&mut self, id: id::Attempt, now: unit::Millis) -> Vec<Output> {
        let Some(record) = self.records.get(&id) else {
            if self.records.len() < self.limits.records {
                self.insert_tombstone(id, now + self.limits.validity);
            }
            return Vec::new();
        };
        match record.state {
            State::Waiting => {
                self.withdraw(id);
                vec![Output::Dequeue(id)]
            }
            State::Running if record.repeatable => vec![Output::CancelEngine(id)],
            _ => Vec::new(),
        }
    }

    fn resume(&mut self, id: id::Attempt, offset: u64) -> Vec<Output> {
        let Some(record) = self.records.get_mut(&id) else {
            return vec![Output::Failed { id, crashed: false }];
        };
        record.orphaned_since = None;
        match &record.state {
            State::Waiting | State::Running => vec![Output::Attach { id, offset }],
            State::Ran(Some(answer)) => {
                vec![Output::Replay { id, offset, answer: answer.clone() }]
            }
            State::Ran(None) | State::Failed => vec![Output::Failed { id, crashed: false }],
            State::NotRun => refuse(id, Reason::Sealed),
        }
    }

    /// Repeats the checks immediately before the attempt goes to the engine.
    fn dispatch(&mut self, id: id::Attempt, now: unit::Millis) -> Vec<Output> {
        let Some(record) = self.records.get(&id) else {
            return Vec::new();
        };
        if record.state != State::Waiting {
            return Vec::new();
        }
        if let Err(reason) = self.check_dispatch(record, now) {
            self.withdraw(id);
            return refuse(id, reason);
        }
        if let Some(record) = self.records.get_mut(&id) {
            record.state = State::Running;
        }
        vec![Output::Run(id)]
    }

    fn check_dispatch(&self, record: &Record, now: unit::Millis) -> Result<(), Reason> {
        if now > record.valid_until {
            return Err(Reason::Expired);
        }
        if now >= record.deadline {
            return Err(Reason::Late);
        }
        match (&record.call, &record.team) {
            (Some(call), Some(team)) => self.check_authority(call, team, now),
            _ => Ok(()),
        }
    }

    fn reject(&mut self, id: id::Attempt, reason: Reason, wait: unit::Millis) -> Vec<Output> {
        if !self.withdraw(id) {
            return Vec::new();
        }
        vec![Output::Refuse { id, reason, retry_after: wait }]
    }

    /// Turns a queued attempt into a tombstone and releases its call.
    pub(super) fn withdraw(&mut self, id: id::Attempt) -> bool {
        match self.records.get(&id) {
            Some(record) if record.state == State::Waiting => self.end_not_run(id),
            _ => return false,
        }
        true
    }

    fn end_not_run(&mut self, id: id::Attempt) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if let Some(call) = record.call.take() {
            self.calls.release(&call.call_id);
        }
        let valid_until = record.valid_until;
        *record = Record::tombstone(valid_until);
        self.expiries.insert((valid_until, id));
        self.in_flight -= 1;
    }

    fn finish(&mut self, id: id::Attempt, ending: Ending, now: unit::Millis) -> Vec<Output> {
        let known = self.records.get(&id);
        if known.is_none_or(|r| r.state != State::Running) {
            return Vec::new();
        }
        match ending {
            Ending::NotDispatched => {
                self.end_not_run(id);
                refuse(id, Reason::Unreachable)
            }
            Ending::Complete(answer) => {
                self.end_run(id, State::Ran(None), now);
                self.store_answer(id, answer, now);
                Vec::new()
            }
            Ending::Ambiguous | Ending::Crashed => {
                self.end_run(id, State::Failed, now);
                vec![Output::Failed { id, crashed: ending == Ending::Crashed }]
            }
        }
    }

    fn end_run(&mut self, id: id::Attempt, state: State, now: unit::Millis) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if let (Some(call), State::Failed) = (&record.call, &state) {
            self.calls.record_unknown(&call.call_id, now);
        }
        let expires = record.valid_until.max(now) + self.limits.retention;
        record.state = state;
        record.expires = Some(expires);
        self.expiries.insert((expires, id));
        self.in_flight -= 1;
    }

    fn mark_orphaned(&mut self, entry: id::Incarnation, now: unit::Millis) -> Vec<Output> {
        for (id, record) in &mut self.records {
            if id.entry == entry && record.state.is_in_flight() && record.orphaned_since.is_none() {
                record.orphaned_since = Some(now);
            }
        }
        Vec::new()
    }

    fn drain(&mut self) -> Vec<Output> {
        self.draining = true;
        Vec::new()
    }
}

pub(super) fn refuse(id: id::Attempt, reason: Reason) -> Vec<Output> {
    let retry_after = match reason {
        Reason::Full | Reason::InFlight | Reason::Late | Reason::Quarantine => SHORT_RETRY_AFTER,
        _ => unit::Millis::ZERO,
    };
    vec![Output::Refuse { id, reason, retry_after }]
}
