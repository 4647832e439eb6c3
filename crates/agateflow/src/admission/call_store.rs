//! Records of calls that must not run twice, however many attempts request them.
//!
//! A full store refuses new calls and never evicts a record that is in flight or has an unknown
//! outcome. The response of a call that ran may be dropped early, but not the record that it ran.

use std::collections::{BTreeSet, VecDeque};

use indexmap::IndexMap;

use super::answer;
use crate::admission;
use crate::id;
use crate::unit;

/// Identity of a call: a hash of its team, service and key, or of its ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id([u8; 32]);

impl Id {
    /// Hashes `parts`; `label` separates the IDs of keys from those of tickets.
    pub fn new(label: &str, parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [label.as_bytes()].iter().chain(parts) {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }

    /// Returns the raw hash.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

/// Limits of a [`Store`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of records.
    pub records: usize,
    /// Maximum number of records of one team.
    pub team_records: usize,
    /// Maximum number of calls of one team in flight.
    pub team_in_flight: usize,
    /// Largest response kept.
    pub max_answer: unit::Bytes,
    /// Total size of the responses kept.
    pub answer_cache: unit::Bytes,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            records: 8192,
            team_records: 1024,
            team_in_flight: 256,
            max_answer: unit::Bytes::new(32 << 10),
            answer_cache: unit::Bytes::new(4 << 20),
        }
    }
}

/// Result of [`Store::look_up`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The call did not run and is not in flight.
    Fresh,
    /// An attempt of it is queued or running.
    InFlight,
    /// It ran; the response is missing if it was too large or was evicted.
    Ran(Option<answer::Answer>),
    /// It may have run.
    Unknown,
    /// The key or ticket was used by a request with different content.
    Conflict,
    /// It is new, but a limit leaves no room for its record.
    Full,
}

#[derive(Clone, Debug)]
enum State {
    InFlight,
    Ran(Option<answer::Answer>),
    Unknown,
}

#[derive(Clone, Debug)]
struct Record {
    team: id::Team,
    digest: admission::Digest,
    state: State,
    retention: Retention,
    expires: Option<unit::Millis>,
}

/// How long a record is kept after its call has ended.
#[derive(Clone, Copy, Debug)]
pub enum Retention {
    /// Until a fixed time.
    Until(unit::Millis),
    /// For a duration after the end.
    For(unit::Millis),
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    records: usize,
    in_flight: usize,
}

/// Records of calls with a key or ticket.
#[derive(Clone, Debug)]
pub struct Store {
    limits: Limits,
    records: IndexMap<Id, Record>,
    expiries: BTreeSet<(unit::Millis, Id)>,
    teams: IndexMap<id::Team, Usage>,
    answers_by_age: VecDeque<Id>,
    answer_bytes: u64,
}

impl Store {
    /// Creates an empty store.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            records: IndexMap::new(),
            expiries: BTreeSet::new(),
            teams: IndexMap::new(),
            answers_by_age: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the store has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the total size of the responses kept.
    pub const fn answer_bytes(&self) -> unit::Bytes {
        unit::Bytes::new(self.answer_bytes)
    }

    /// Looks up a call without changing the store.
    pub fn look_up(&self, call_id: &Id, digest: &admission::Digest, team: &id::Team) -> Lookup {
        let Some(record) = self.records.get(call_id) else {
            return self.check_capacity(team);
        };
        if record.digest != *digest {
            return Lookup::Conflict;
        }
        match &record.state {
            State::InFlight => Lookup::InFlight,
            State::Ran(answer) => Lookup::Ran(answer.clone()),
            State::Unknown => Lookup::Unknown,
        }
    }

    fn check_capacity(&self, team: &id::Team) -> Lookup {
        let usage = self.teams.get(team).copied().unwrap_or_default();
        let full = self.records.len() >= self.limits.records
            || usage.records >= self.limits.team_records
            || usage.in_flight >= self.limits.team_in_flight;
        if full { Lookup::Full } else { Lookup::Fresh }
    }

    /// Records a call that [`Store::look_up`] found `Fresh` as in flight.
    pub fn begin(
        &mut self,
        call_id: Id,
        digest: admission::Digest,
        team: &id::Team,
        retention: Retention,
    ) {
        let record =
            Record { team: team.clone(), digest, state: State::InFlight, retention, expires: None };
        self.records.insert(call_id, record);
        let usage = self.teams.entry(team.clone()).or_default();
        usage.records += 1;
        usage.in_flight += 1;
    }

    /// Records that a call ran. A response above the size limit is not kept.
    pub fn record_ran(&mut self, call_id: &Id, answer: Option<answer::Answer>, now: unit::Millis) {
        let answer = answer.filter(|a| a.size() <= self.limits.max_answer);
        let size = answer.as_ref().map(|a| a.size().get());
        if !self.finish(call_id, State::Ran(answer), now) {
            return;
        }
        if let Some(size) = size {
            self.answer_bytes += size;
            self.answers_by_age.push_back(*call_id);
            self.evict_answers();
        }
    }

    /// Records that a call may have run.
    pub fn record_unknown(&mut self, call_id: &Id, now: unit::Millis) {
        self.finish(call_id, State::Unknown, now);
    }

    /// Removes a call in flight that provably did not run.
    pub fn release(&mut self, call_id: &Id) {
        let in_flight = |r: &Record| matches!(r.state, State::InFlight);
        if self.records.get(call_id).is_some_and(in_flight) {
            self.remove(call_id);
        }
    }

    /// Removes expired records. Calls in flight do not expire.
    pub fn tick(&mut self, now: unit::Millis) {
        while let Some(&(expires, call_id)) = self.expiries.first() {
            if expires >= now {
                return;
            }
            self.expiries.pop_first();
            self.remove(&call_id);
        }
    }

    fn finish(&mut self, call_id: &Id, state: State, now: unit::Millis) -> bool {
        let Some(record) = self.records.get_mut(call_id) else {
            return false;
        };
        if !matches!(record.state, State::InFlight) {
            return false;
        }
        let expires = match record.retention {
            Retention::Until(instant) => instant,
            Retention::For(span) => now + span,
        };
        record.state = state;
        record.expires = Some(expires);
        self.expiries.insert((expires, *call_id));
        if let Some(usage) = self.teams.get_mut(&record.team) {
            usage.in_flight -= 1;
        }
        true
    }

    fn evict_answers(&mut self) {
        while self.answer_bytes > self.limits.answer_cache.get() {
            let Some(call_id) = self.answers_by_age.pop_front() else {
                return;
            };
            let Some(Record { state: State::Ran(answer), .. }) = self.records.get_mut(&call_id)
            else {
                continue;
            };
            let size = answer.take().map_or(0, |a| a.size().get());
            self.answer_bytes -= size;
        }
    }

    fn remove(&mut self, call_id: &Id) {
        let Some(record) = self.records.swap_remove(call_id) else {
            return;
        };
        if let Some(expires) = record.expires {
            self.expiries.remove(&(expires, *call_id));
        }
        if let State::Ran(Some(answer)) = &record.state {
            self.answer_bytes -= answer.size().get();
            self.answers_by_age.retain(|s| s != call_id);
        }
        let Some(usage) = self.teams.get_mut(&record.team) else {
            return;
        };
        usage.records -= 1;
        if matches!(record.state, State::InFlight) {
            usage.in_flight -= 1;
        }
        if usage.records == 0 {
            self.teams.swap_remove(&record.team);
        }
    }
}
