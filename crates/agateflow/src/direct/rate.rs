//! Request rate limits that upstreams name in their responses, kept by all entries together.
//!
//! An entry counts the requests that it sends to such an upstream, and hears the counts of the other
//! entries with their heartbeats. What all of them sent is held against the limit in a token bucket;
//! since counts are about one heartbeat old, each entry also takes no more than its share of the
//! free tokens. Cut off from others, it keeps to their part of the limit.

use std::{fmt, str};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::directory::Incarnation;
use super::share::Share;
use crate::{id, unit};

/// Time for which unused requests are saved up.
const BURST_TIME: unit::Millis = unit::Millis::new(1_000);

/// Lowest rate, in requests per second. Only a response can lift a limit, so an upstream that
/// accepts nothing still gets a request from time to time.
const MIN_RATE: f64 = 0.2;

/// Time for which the end of a limit is reported to other entries.
const LIFTED_TTL: unit::Millis = unit::Millis::new(10_000);

/// Requests per second that an upstream accepts from all entries together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Limit(f64);

impl Limit {
    /// Creates a limit; `None` unless it is a number that is not negative.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Requests per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// A text that names no rate.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a rate: {0:?}")]
pub struct Error(Box<str>);

impl str::FromStr for Limit {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number = text.trim().strip_suffix("/s").unwrap_or(text).trim().parse().ok();
        number.and_then(Self::new).ok_or_else(|| Error(text.into()))
    }
}

/// Entries that share the limits, this one included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Members {
    /// All known entries. Those that are silent may be cut off and still serve.
    pub known: usize,
    /// Entries whose counts arrive.
    pub connected: usize,
}

impl Default for Members {
    fn default() -> Self {
        Self { known: 1, connected: 1 }
    }
}

/// What an upstream said of its limit in a response.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Statement {
    /// The limit, if any.
    pub limit: Option<Limit>,
    /// Time since the response.
    pub age: unit::Millis,
}

/// What an entry tells others of an upstream that has named a limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The upstream.
    pub upstream: Incarnation,
    /// What it said last in a response to this entry.
    pub statement: Option<Statement>,
    /// Requests that the entry has sent to it since it learned of the limit.
    pub sent: u64,
}

/// A change of the limit in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The upstream.
    pub upstream: id::Vm,
    /// Its limit now, if any.
    pub limit: Option<Limit>,
}

/// An upstream that has named a limit.
#[derive(Clone, Debug)]
struct Tracked {
    started_at: u64,
    limit: Option<Limit>,
    stated_at: unit::Millis,
    /// What a response to this entry stated last, and when.
    own: Option<(Option<Limit>, unit::Millis)>,
    sent: u64,
    sent_by_peers: IndexMap<id::Incarnation, u64>,
    /// Requests of all entries that the limit has not made up for yet.
    level: f64,
    updated_at: unit::Millis,
    share: Share,
}

impl Tracked {
    fn new(started_at: u64, now: unit::Millis) -> Self {
        Self {
            started_at,
            limit: None,
            stated_at: unit::Millis::ZERO,
            own: None,
            sent: 0,
            sent_by_peers: IndexMap::new(),
            level: 0.0,
            updated_at: now,
            share: Share::empty(now),
        }
    }

    /// Applies a statement if it is newer than the one in force. Returns whether the limit changed.
    fn apply(&mut self, limit: Option<Limit>, stated_at: unit::Millis, now: unit::Millis) -> bool {
        if stated_at < self.stated_at {
            return false;
        }
        self.stated_at = stated_at;
        if self.limit.is_none() {
            self.level = 0.0;
            self.updated_at = now;
            self.share = Share::empty(now);
        }
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// Brings the tokens up to date. Returns how many are free for all entries.
    fn refill(&mut self, members: Members, now: unit::Millis) -> f64 {
        let Some(limit) = self.limit else { return f64::INFINITY };
        let part = members.connected as f64 / members.known.max(1) as f64;
        let rate = limit.get().max(MIN_RATE) * part.min(1.0);
        let elapsed = now.saturating_sub(self.updated_at);
        self.level = (self.level - rate * seconds(elapsed)).max(0.0);
        self.updated_at = now;
        let free = (rate * seconds(BURST_TIME)).max(1.0) - self.level;
        self.share.refill(free, members.connected, now);
        free
    }

    fn record_peer(&mut self, peer: id::Incarnation, sent: u64) {
        let before = self.sent_by_peers.insert(peer, sent).unwrap_or(sent);
        self.level += sent.saturating_sub(before) as f64;
    }

    fn report(&self, vm: &id::Vm, now: unit::Millis) -> Report {
        let statement =
            self.own.map(|(limit, at)| Statement { limit, age: now.saturating_sub(at) });
        let upstream = Incarnation { vm: vm.clone(), started_at: self.started_at };
        Report { upstream, statement, sent: self.sent }
    }
}

fn seconds(time: unit::Millis) -> f64 {
    time.get() as f64 / 1_000.0
}

/// Limits known to one entry.
#[derive(Clone, Debug, Default)]
pub struct Register {
    upstreams: IndexMap<id::Vm, Tracked>,
    members: Members,
}

impl Register {
    /// Creates an empty register.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the entries that share the limits.
    pub const fn set_members(&mut self, members: Members) {
        self.members = members;
    }

    /// Records what a response to a request sent at `sent_at` says of the limit; one that names none
    /// lifts it. Returns whether the limit in force changed.
    pub fn record_limit(
        &mut self,
        upstream: &Incarnation,
        limit: Option<Limit>,
        sent_at: unit::Millis,
        now: unit::Millis,
    ) -> bool {
        let known = self.upstreams.get(&upstream.vm);
        if known.is_some_and(|tracked| tracked.started_at > upstream.started_at) {
            return false;
        }
        let known = known.filter(|tracked| tracked.started_at == upstream.started_at);
        // A response to a request sent before the limit was named may be older than the limit.
        if limit.is_none() && known.is_none_or(|tracked| sent_at < tracked.stated_at) {
            return false;
        }
        let tracked = self.track(upstream, now);
        tracked.own = Some((limit, now));
        tracked.apply(limit, now, now)
    }

    fn track(&mut self, upstream: &Incarnation, now: unit::Millis) -> &mut Tracked {
        let tracked = self
            .upstreams
            .entry(upstream.vm.clone())
            .or_insert_with(|| Tracked::new(upstream.started_at, now));
        if tracked.started_at != upstream.started_at {
            *tracked = Tracked::new(upstream.started_at, now);
        }
        tracked
    }

    /// Merges the reports of another entry on upstreams for which `is_listed` holds. Returns the
    /// limits that changed.
    pub fn merge(
        &mut self,
        peer: id::Incarnation,
        reports: &[Report],
        is_listed: impl Fn(&Incarnation) -> bool,
        now: unit::Millis,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for report in reports.iter().filter(|report| is_listed(&report.upstream)) {
            let is_new = !self.upstreams.contains_key(&report.upstream.vm);
            if is_new && report.statement.is_none_or(|statement| statement.limit.is_none()) {
                continue;
            }
            let members = self.members;
            let tracked = self.track(&report.upstream, now);
            tracked.refill(members, now);
            tracked.record_peer(peer, report.sent);
            let Some(statement) = report.statement else { continue };
            if tracked.apply(statement.limit, now.saturating_sub(statement.age), now) {
                let upstream = report.upstream.vm.clone();
                changes.push(Change { upstream, limit: statement.limit });
            }
        }
        changes
    }

    /// What to report to other entries.
    pub fn reports(&self, now: unit::Millis) -> Vec<Report> {
        self.upstreams.iter().map(|(vm, tracked)| tracked.report(vm, now)).collect()
    }

    /// Whether the limit of the upstream at `vm`, started at `started_at`, allows this entry another
    /// request now.
    pub fn allows(&mut self, vm: &id::Vm, started_at: u64, now: unit::Millis) -> bool {
        let members = self.members;
        self.find(vm, started_at).is_none_or(|tracked| {
            tracked.limit.is_none()
                || (tracked.refill(members, now) >= 1.0 && tracked.share.has_credit())
        })
    }

    /// This entry's part of the limit, in requests per second.
    pub fn own_rate(&mut self, vm: &id::Vm, started_at: u64) -> Option<f64> {
        let known = self.members.known.max(1) as f64;
        let limit = self.find(vm, started_at)?.limit?;
        Some(limit.get().max(MIN_RATE) / known)
    }

    /// Counts a request sent to the upstream.
    pub fn record_send(&mut self, vm: &id::Vm, started_at: u64) {
        if let Some(tracked) = self.find(vm, started_at) {
            tracked.sent += 1;
            tracked.level += 1.0;
            tracked.share.spend();
        }
    }

    fn find(&mut self, vm: &id::Vm, started_at: u64) -> Option<&mut Tracked> {
        self.upstreams.get_mut(vm).filter(|tracked| tracked.started_at == started_at)
    }

    /// Forgets upstreams for which `is_listed` is false, and those whose limit was lifted long ago.
    pub fn retain(&mut self, is_listed: impl Fn(&Incarnation) -> bool, now: unit::Millis) {
        self.upstreams.retain(|vm, tracked| {
            let upstream = Incarnation { vm: vm.clone(), started_at: tracked.started_at };
            let is_recent = now < tracked.stated_at + LIFTED_TTL;
            is_listed(&upstream) && (tracked.limit.is_some() || is_recent)
        });
    }
}
