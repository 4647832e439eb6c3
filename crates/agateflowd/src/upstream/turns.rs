//! Turns of attempts at the engine: the queue before it and the attempts that it has.

use agateflow::admission::{Input, reason};
use agateflow::config;
use agateflow::fleet::message;
use agateflow::id;
use agateflow::queue::{self, Queue};
use agateflow::unit;
use agateflow::wire::frame;
use indexmap::IndexMap;

use crate::meter;

/// Room of the queue, in attempts.
const ROOM: usize = 2_048;

/// Calls that a plain service gets at once.
const SERVICE_BATCH: usize = 256;

/// Weight of a team that the configuration here does not name.
const UNKNOWN_WEIGHT: f64 = 1.0;

/// An attempt that the engine has.
struct Running {
    tokens: unit::Tokens,
    since: unit::Millis,
}

/// What waits for the engine and what it has.
pub struct Turns {
    queue: Queue,
    arrivals: IndexMap<id::Attempt, unit::Millis>,
    running: IndexMap<id::Attempt, Running>,
    batch: usize,
}

impl Turns {
    /// Creates the turns of an engine that nobody waits for.
    pub fn new() -> Self {
        let queue = Queue::new(ROOM);
        let (arrivals, running) = (IndexMap::new(), IndexMap::new());
        Self { queue, arrivals, running, batch: SERVICE_BATCH }
    }

    /// Takes the configuration in force.
    pub fn set_batch(&mut self, fleet: &config::Fleet, vm: &id::Vm) {
        self.batch = batch(fleet, vm);
    }

    /// Queues an admitted attempt; the result is its refusal.
    pub fn push(
        &mut self,
        start: &frame::Start,
        fleet: &config::Fleet,
        now: unit::Millis,
    ) -> Option<Input> {
        let id = start.id;
        match self.queue.push(item(start, fleet, now), now) {
            Ok(()) => {
                self.arrivals.insert(id, now);
                None
            }
            Err(queue::Refusal::Full { retry_after }) => {
                Some(Input::Reject { id, reason: reason::Reason::Overloaded, retry_after })
            }
            Err(queue::Refusal::Late { retry_after }) => {
                Some(Input::Reject { id, reason: reason::Reason::Late, retry_after })
            }
        }
    }

    /// The next hand-over, if the engine has a free place and anything waits.
    pub fn next(&mut self, now: unit::Millis) -> Option<Input> {
        if self.running.len() >= self.batch {
            return None;
        }
        let item = self.queue.pop()?;
        if let Some(arrived) = self.arrivals.swap_remove(&item.id) {
            meter::queued(&item.team, now.saturating_sub(arrived).duration());
        }
        self.running.insert(item.id, Running { tokens: item.tokens, since: now });
        Some(Input::Dispatch(item.id))
    }

    /// The engine gave the whole answer of an attempt.
    pub fn served(&mut self, id: id::Attempt, now: unit::Millis) {
        if let Some(running) = self.running.get(&id) {
            let time = now.saturating_sub(running.since);
            self.queue.record_completion(running.tokens, time, self.batch.min(self.running.len()));
        }
    }

    /// An attempt ended, was refused or left the queue.
    pub fn ended(&mut self, id: id::Attempt) {
        self.queue.remove(id);
        self.arrivals.swap_remove(&id);
        self.running.swap_remove(&id);
    }

    /// The load for the next heartbeat.
    pub fn load(&self) -> message::Load {
        let count = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        message::Load {
            waiting: count(self.queue.waiting()),
            running: count(self.running.len()),
            queued_ms: u32::try_from(self.queue.backlog().get()).unwrap_or(u32::MAX),
            ..message::Load::default()
        }
    }
}

fn batch(fleet: &config::Fleet, vm: &id::Vm) -> usize {
    match fleet.vm(vm).map(|vm| &vm.role) {
        Some(config::Role::Engine { class, .. }) => {
            fleet.class(class).map_or(SERVICE_BATCH, |class| class.batch.get() as usize)
        }
        _ => SERVICE_BATCH,
    }
}

fn item(start: &frame::Start, fleet: &config::Fleet, now: unit::Millis) -> queue::Item {
    let team = fleet.team(&start.team);
    queue::Item {
        id: start.id,
        team: start.team.clone(),
        priority: team.map_or(config::Priority::Low, |team| team.priority),
        weight: team.map_or(UNKNOWN_WEIGHT, |team| team.weight.get()),
        tokens: start.tokens,
        deadline: now + start.deadline,
    }
}
