//! Simulated upstream: the process with its admission table, and its engine.

use std::collections::VecDeque;

use bytes::Bytes;
use indexmap::IndexMap;

use super::call::{self, Kind};
use super::{ENGINE_SLOTS, HEARTBEAT_INTERVAL, TICKET_LIFETIME, VALIDITY, WINDOW, event};
use crate::admission::{self, answer, idempotency, ticket};
use crate::id;
use crate::request::Frame;
use crate::unit;

/// The submission that an attempt belongs to.
#[derive(Clone, Debug)]
pub struct Origin {
    pub call: usize,
    pub submission: usize,
    pub kind: Kind,
    /// First byte that the entry requests.
    pub offset: u64,
}

/// An attempt that runs at the engine.
#[derive(Clone, Debug)]
pub struct Job {
    pub origin: Origin,
    /// The index of this run among the runs of the call.
    pub run: usize,
    /// Number of chunks produced.
    pub chunks: u64,
    /// The chunk at which the engine aborts the attempt.
    pub fails_at: Option<u64>,
}

impl Job {
    /// The response so far.
    pub fn produced(&self) -> Vec<u8> {
        let Origin { kind, call, .. } = self.origin;
        (0..self.chunks).flat_map(|p| call::chunk(kind, call, self.run, p)).collect()
    }
}

#[derive(Debug)]
pub struct Upstream {
    pub vm: id::Vm,
    pub incarnation: id::Incarnation,
    pub started: unit::Millis,
    /// Offset of its clock from simulated time, in milliseconds.
    pub clock_offset: i64,
    /// The admission table; `None` in a baseline.
    pub table: Option<admission::Table>,
    /// Issues its tickets.
    pub issuer: ticket::Issuer,
    /// Attempts waiting for the engine.
    pub queue: VecDeque<id::Attempt>,
    /// Origins of all known attempts.
    pub origins: IndexMap<id::Attempt, Origin>,
    /// Attempts at the engine.
    pub jobs: IndexMap<id::Attempt, Job>,
    /// End of the current pause.
    pub paused_until: Option<unit::Millis>,
    /// When its clock was stopped.
    pub frozen_since: Option<unit::Millis>,
    /// Whether it is draining.
    pub draining: bool,
    /// The revision of the declared list that it applies.
    pub revision: unit::Revision,
    /// Events deferred until the pause ends.
    pub deferred: Vec<event::Event>,
}

/// The key that signs tickets in simulations.
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
    /// Creates a process; `declared` lists the homes of keys, or is `None` in a baseline.
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
        let spans = idempotency::Timing { retry_window: WINDOW, lease: LEASE };
        let mut home = idempotency::Home::new(self.vm.clone(), spans, self.local_time(now));
        if let Some(service) = service() {
            home.set_declared(&service, REVISION, declared.into());
        }
        let owner = admission::Owner { incarnation: self.incarnation, secret: secret(), home };
        admission::Table::new(owner, limits())
    }

    /// Its local time.
    pub fn local_time(&self, now: unit::Millis) -> unit::Millis {
        let now = self.frozen_since.unwrap_or(now);
        unit::Millis::new(now.get().saturating_add_signed(self.clock_offset))
    }

    /// Whether the engine can take another attempt.
    pub fn has_slot(&self) -> bool {
        self.jobs.len() < ENGINE_SLOTS
    }
}

/// How long a heartbeat confirms the revision of its sender.
const LEASE: unit::Millis = unit::Millis::new(HEARTBEAT_INTERVAL.get() * 5);

fn limits() -> admission::Limits {
    admission::Limits { validity: VALIDITY, retention: VALIDITY, ..admission::Limits::default() }
}

/// Frames of a response from `offset`: head, data, and the end marker if it is complete.
pub fn frames(head: &answer::Head, body: &[u8], offset: u64, is_complete: bool) -> Vec<Frame> {
    let mut frames = vec![Frame::Head(head.clone())];
    let start = usize::try_from(offset).unwrap_or(usize::MAX).min(body.len());
    if start < body.len() {
        let bytes = Bytes::copy_from_slice(&body[start..]);
        frames.push(Frame::Data { offset: start as u64, bytes });
    }
    if is_complete {
        frames.push(Frame::End { length: body.len() as u64 });
    }
    frames
}
