//! Tracks upstreams whose engine failed recently. An engine that is down refuses immediately and so
//! looks idle; without this, it would attract requests.

use indexmap::IndexMap;

use crate::id;
use crate::unit;

/// How long an upstream is avoided after its first failure; doubles with each further failure.
pub const INITIAL_BACKOFF: unit::Millis = unit::Millis::new(500);

/// Upper bound of the time for which an upstream is avoided.
pub const MAX_BACKOFF: unit::Millis = unit::Millis::new(4_000);

#[derive(Clone, Copy, Debug)]
struct Record {
    avoid_until: unit::Millis,
    backoff: unit::Millis,
}

/// Failures of upstreams seen by one entry.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    records: IndexMap<id::Vm, Record>,
}

impl Tracker {
    /// Creates a tracker without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the engine of `vm` was down or died. Failures during a backoff are ignored.
    pub fn record_failure(&mut self, vm: &id::Vm, now: unit::Millis) {
        let backoff = match self.records.get(vm) {
            Some(record) if now < record.avoid_until => return,
            Some(record) => (record.backoff + record.backoff).min(MAX_BACKOFF),
            None => INITIAL_BACKOFF,
        };
        self.records.insert(vm.clone(), Record { avoid_until: now + backoff, backoff });
    }

    /// Records that an attempt at `vm` received a complete response, which ends the backoff.
    pub fn record_success(&mut self, vm: &id::Vm) {
        self.records.swap_remove(vm);
    }

    /// Returns whether `vm` should be avoided if another upstream is available.
    pub fn is_failing(&self, vm: &id::Vm, now: unit::Millis) -> bool {
        self.records.get(vm).is_some_and(|record| now < record.avoid_until)
    }

    /// Removes the upstreams for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&id::Vm) -> bool) {
        self.records.retain(|vm, _| keep(vm));
    }
}
