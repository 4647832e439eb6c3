//! Home VM of an `Idempotency-Key`: the only VM that may run the call of that key.
//!
//! The home is computed from the service's declared VMs, regardless of which of them are up. A home
//! refuses a key while another process could be running its call: during the retry window after its
//! own start, during the retry window after a configuration change assigned the key to it, and
//! while less than a majority of the declared VMs have confirmed its revision within the lease.

use indexmap::IndexMap;
use xxhash_rust::xxh3;

use super::call_store;
use super::reason;
use crate::id;
use crate::unit;

/// Maximum length of a key, in characters.
pub const MAX_KEY_CHARS: usize = 255;

/// Maximum number of former VM lists kept for each service.
const MAX_PREDECESSORS: usize = 32;

/// Returns whether `key` consists of 1 to [`MAX_KEY_CHARS`] visible ASCII characters.
pub fn is_valid(key: &str) -> bool {
    (1..=MAX_KEY_CHARS).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic())
}

/// Returns the ID of the call that a key identifies.
pub fn call_id(team: &id::Team, service: &id::Service, key: &str) -> call_store::Id {
    let parts = [team.as_str().as_bytes(), service.as_str().as_bytes(), key.as_bytes()];
    call_store::Id::new("key", &parts)
}

/// Selects the home of a call from the declared VMs by rendezvous hashing.
pub fn home<'a>(declared: &'a [id::Vm], call_id: &call_store::Id) -> Option<&'a id::Vm> {
    let weight = |vm: &&id::Vm| {
        let mut bytes = call_id.as_bytes().to_vec();
        bytes.extend(vm.as_str().as_bytes());
        (xxh3::xxh3_64(&bytes), vm.as_str().to_owned())
    };
    declared.iter().max_by_key(weight)
}

/// Time limits of a [`Home`].
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long after a key was first sent a start with it may still arrive: the time during which
    /// callers may retry, plus the longest deadline, plus the validity of starts.
    pub retry_window: unit::Millis,
    /// How long a peer's confirmation of a revision is valid.
    pub lease: unit::Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self { retry_window: unit::Millis::new(600_000), lease: unit::Millis::new(5_000) }
    }
}

#[derive(Clone, Debug)]
struct Predecessor {
    declared: Box<[id::Vm]>,
    until: Option<unit::Millis>,
}

#[derive(Clone, Debug)]
struct State {
    revision: unit::Revision,
    declared: Box<[id::Vm]>,
    predecessors: Vec<Predecessor>,
    confirmed: IndexMap<id::Vm, unit::Millis>,
}

/// Decides for which keys a process may act as home.
#[derive(Clone, Debug)]
pub struct Home {
    vm: id::Vm,
    timing: Timing,
    started: unit::Millis,
    services: IndexMap<id::Service, State>,
    highest_revision: unit::Revision,
}

impl Home {
    /// Creates the state of a process that started at `now`.
    pub fn new(vm: id::Vm, timing: Timing, now: unit::Millis) -> Self {
        let highest_revision = unit::Revision::ZERO;
        Self { vm, timing, started: now, services: IndexMap::new(), highest_revision }
    }

    /// Returns how long after a key was first sent a start with it may still arrive.
    pub const fn retry_window(&self) -> unit::Millis {
        self.timing.retry_window
    }

    /// Sets the declared VMs of a service. An older revision is ignored.
    pub fn set_declared(
        &mut self,
        service: &id::Service,
        revision: unit::Revision,
        declared: Box<[id::Vm]>,
    ) {
        self.highest_revision = self.highest_revision.max(revision);
        let Some(state) = self.services.get_mut(service) else {
            self.services.insert(service.clone(), State::new(revision, declared));
            return;
        };
        if revision <= state.revision {
            return;
        }
        state.revision = revision;
        state.confirmed.clear();
        if state.declared == declared {
            return;
        }
        let old = std::mem::replace(&mut state.declared, declared);
        if state.predecessors.len() == MAX_PREDECESSORS {
            state.predecessors = vec![Predecessor::unknown()];
        }
        state.predecessors.push(Predecessor { declared: old, until: None });
    }

    /// Records the revision in force at another VM. `asked_at` is when this process sent its query,
    /// on its own clock: a reply may have waited in a socket while the process was paused.
    pub fn record_revision(
        &mut self,
        vm: &id::Vm,
        revision: unit::Revision,
        asked_at: unit::Millis,
        now: unit::Millis,
    ) {
        self.highest_revision = self.highest_revision.max(revision);
        for state in self.services.values_mut() {
            if state.revision == revision && state.declared.contains(vm) {
                let last = state.confirmed.entry(vm.clone()).or_default();
                *last = (*last).max(asked_at);
            }
        }
        self.tick(now);
    }

    /// Checks that this process may run a call.
    ///
    /// # Errors
    ///
    /// `NotHome` if it is not the home or not certain to be, `Quarantine` if it recently became it.
    pub fn check(
        &self,
        service: &id::Service,
        call_id: &call_store::Id,
        revision: unit::Revision,
        now: unit::Millis,
    ) -> Result<(), reason::Reason> {
        let Some(state) = self.services.get(service) else {
            return Err(reason::Reason::NotHome);
        };
        let current = state.revision == revision && self.highest_revision == revision;
        let is_home = home(&state.declared, call_id) == Some(&self.vm);
        if !current || !is_home || !state.has_majority(&self.vm, self.timing.lease, now) {
            return Err(reason::Reason::NotHome);
        }
        if now < self.started + self.timing.retry_window
            || state.moved_recently(&self.vm, call_id, now)
        {
            return Err(reason::Reason::Quarantine);
        }
        Ok(())
    }

    /// Starts the quarantine of lists that a majority has replaced, and ends it after its time.
    pub fn tick(&mut self, now: unit::Millis) {
        let until = now + self.timing.lease + self.timing.retry_window;
        for state in self.services.values_mut() {
            state.predecessors.retain(|p| p.until.is_none_or(|until| now < until));
            if !state.has_majority(&self.vm, self.timing.lease, now) {
                continue;
            }
            for predecessor in state.predecessors.iter_mut().filter(|p| p.until.is_none()) {
                predecessor.until = Some(until);
            }
        }
    }
}

impl Predecessor {
    /// Stands for an unknown list, under which any key may have had another home.
    fn unknown() -> Self {
        Self { declared: Box::default(), until: None }
    }
}

impl State {
    fn new(revision: unit::Revision, declared: Box<[id::Vm]>) -> Self {
        Self {
            revision,
            declared,
            predecessors: vec![Predecessor::unknown()],
            confirmed: IndexMap::new(),
        }
    }

    fn has_majority(&self, own: &id::Vm, lease: unit::Millis, now: unit::Millis) -> bool {
        let fresh = |vm: &&id::Vm| match self.confirmed.get(*vm) {
            _ if *vm == own => true,
            Some(&at) => now <= at + lease,
            None => false,
        };
        2 * self.declared.iter().filter(fresh).count() > self.declared.len()
    }

    fn moved_recently(&self, own: &id::Vm, call_id: &call_store::Id, now: unit::Millis) -> bool {
        let in_quarantine = |p: &&Predecessor| p.until.is_none_or(|until| now < until);
        self.predecessors
            .iter()
            .filter(in_quarantine)
            .any(|p| home(&p.declared, call_id) != Some(own))
    }
}
