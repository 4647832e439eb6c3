//! One upstream of a trial: the process with its table, and its engine.

use std::collections::VecDeque;

use bytes::Bytes;
use indexmap::IndexMap;

use super::call::{self, Kind};
use super::{ENGINE_SLOTS, HEARTBEAT_INTERVAL, TICKET_LIFETIME, VALIDITY, WINDOW, event};
use crate::admission::{self, answer, idempotency, ticket};
use crate::id;
use crate::request::Frame;
use crate::unit;

/// What an attempt carries.
#[derive(Clone, Debug)]
pub struct Origin {
    /// The call.
    pub call: usize,
    /// The sending of the call.
    pub submission: usize,
    /// The kind.
    pub kind: Kind,
    /// First byte that the entry wants.
    pub offset: u64,
}

/// An attempt at the engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Where it came from.
    pub origin: Origin,
    /// The number of this run among the runs of the call.
    pub run: usize,
    /// Parts produced.
    pub chunks: u64,
    /// The part at which the engine breaks it off.
    pub fails_at: Option<u64>,
}

impl Job {
    /// The answer so far.
    pub fn produced(&self) -> Vec<u8> {
        let Origin { kind, call, .. } = self.origin;
        (0..self.chunks).flat_map(|p| call::chunk(kind, call, self.run, p)).collect()
    }
}

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Its VM's name.
    pub vm: id::Vm,
    /// The incarnation of its process.
    pub incarnation: id::Incarnation,
    /// When its process started.
    pub started: unit::Millis,
    /// How far its clock is ahead.
    pub clock_offset: i64,
    /// The table, unless the trial runs a baseline.
    pub table: Option<admission::Table>,
    /// Its tickets.
    pub issuer: ticket::Issuer,
    /// Attempts that wait.
    pub queue: VecDeque<id::Attempt>,
    /// Attempts known, with their origin.
    pub origins: IndexMap<id::Attempt, Origin>,
    /// Attempts at the engine.
    pub jobs: IndexMap<id::Attempt, Job>,
    /// Until when the process is paused.
    pub paused_until: Option<unit::Millis>,
    /// Since when its clock stands still.
    pub frozen_since: Option<unit::Millis>,
    /// Whether it is leaving.
    pub draining: bool,
    /// The revision that it has in force.
    pub revision: unit::Revision,
    /// Events that wait until it is no longer paused.
    pub deferred: Vec<event::Event>,
}

/// The key of tickets in trials.
pub fn secret() -> ticket::Secret {
    ticket::Secret::new(b"trial")
}

/// The service of all calls.
pub fn service() -> Option<id::Service> {
    id::Service::new("trial").ok()
}

/// The first revision of the declared list.
pub const REVISION: unit::Revision = unit::Revision::new(1);

impl Upstream {
    /// Starts a process, with a table if it is told the declared homes of keys.
    pub fn new(
        vm: id::Vm,
        incarnation: id::Incarnation,
        clock_offset: i64,
        declared: Option<&[id::Vm]>,
        now: unit::Millis,
    ) -> Self {
        let issuer = ticket::Issuer::new(vm.clone(), incarnation, TICKET_LIFETIME);
        let mut upstream = Self {
            vm,
            incarnation,
            started: now,
            clock_offset,
            table: None,
            issuer,
            queue: VecDeque::new(),
            origins: IndexMap::new(),
            jobs: IndexMap::new(),
            paused_until: None,
            frozen_since: None,
            draining: false,
            revision: REVISION,
            deferred: Vec::new(),
        };
        upstream.table = declared.map(|list| upstream.new_table(list, now));
        upstream
    }

    fn new_table(&self, declared: &[id::Vm], now: unit::Millis) -> admission::Table {
        let spans = idempotency::Spans { window: WINDOW, lease: LEASE };
        let mut home = idempotency::Home::new(self.vm.clone(), spans, self.local_time(now));
        if let Some(service) = service() {
            home.adopt(&service, REVISION, declared.into());
        }
        let owner = admission::Owner { incarnation: self.incarnation, secret: secret(), home };
        admission::Table::new(owner, limits())
    }

    /// Its clock.
    pub fn local_time(&self, now: unit::Millis) -> unit::Millis {
        let now = self.frozen_since.unwrap_or(now);
        unit::Millis::new(now.get().saturating_add_signed(self.clock_offset))
    }

    /// Whether the engine takes another attempt.
    pub fn has_slot(&self) -> bool {
        self.jobs.len() < ENGINE_SLOTS
    }
}

/// How long a heartbeat confirms the revision of its sender.
const LEASE: unit::Millis = unit::Millis::new(HEARTBEAT_INTERVAL.get() * 5);

fn limits() -> admission::Limits {
    admission::Limits { validity: VALIDITY, retention: VALIDITY, ..admission::Limits::default() }
}

/// Frames of an answer from `offset`: head, bytes, and the end marker if it is whole.
pub fn frames(head: &answer::Head, body: &[u8], offset: u64, whole: bool) -> Vec<Frame> {
    let mut frames = vec![Frame::Head(head.clone())];
    let start = usize::try_from(offset).unwrap_or(usize::MAX).min(body.len());
    if start < body.len() {
        let bytes = Bytes::copy_from_slice(&body[start..]);
        frames.push(Frame::Data { offset: start as u64, bytes });
    }
    if whole {
        frames.push(Frame::End { length: body.len() as u64 });
    }
    frames
}
