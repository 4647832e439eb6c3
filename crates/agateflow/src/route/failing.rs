//! Upstreams whose engine failed lately. An engine that is down refuses at once and so looks idle;
//! without this, requests would prefer it.

use indexmap::IndexMap;

use crate::id;
use crate::unit;

/// Time for which an upstream is avoided after its first failure; it doubles with each further one.
pub const INITIAL_BACKOFF: unit::Millis = unit::Millis::new(500);

/// Longest time for which an upstream is avoided after a failure.
pub const MAX_BACKOFF: unit::Millis = unit::Millis::new(4_000);

#[derive(Clone, Copy, Debug)]
struct Record {
    avoid_until: unit::Millis,
    backoff: unit::Millis,
}

/// Failures of upstreams as one entry met them.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    records: IndexMap<id::Vm, Record>,
}

impl Tracker {
    /// Creates a table without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// An attempt at `vm` met an engine that is down or died. Failures within a wait count once.
    pub fn record_failure(&mut self, vm: &id::Vm, now: unit::Millis) {
        let backoff = match self.records.get(vm) {
            Some(record) if now < record.avoid_until => return,
            Some(record) => (record.backoff + record.backoff).min(MAX_BACKOFF),
            None => INITIAL_BACKOFF,
        };
        self.records.insert(vm.clone(), Record { avoid_until: now + backoff, backoff });
    }

    /// An attempt at `vm` got a whole answer.
    pub fn record_success(&mut self, vm: &id::Vm) {
        self.records.swap_remove(vm);
    }

    /// Whether `vm` is to be avoided while another upstream is there.
    pub fn is_failing(&self, vm: &id::Vm, now: unit::Millis) -> bool {
        self.records.get(vm).is_some_and(|record| now < record.avoid_until)
    }

    /// Forgets the upstreams that `keep` does not hold for.
    pub fn retain(&mut self, keep: impl Fn(&id::Vm) -> bool) {
        self.records.retain(|vm, _| keep(vm));
    }
}
