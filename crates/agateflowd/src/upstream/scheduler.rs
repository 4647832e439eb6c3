//! Dispatch of attempts to the engine: those in its queue and those it is running.

use agateflow::admission::{Input, reason};
use agateflow::config;
use agateflow::direct::directory::Incarnation;
use agateflow::direct::rate;
use agateflow::fleet::message;
use agateflow::id;
use agateflow::queue::{self, Queue};
use agateflow::unit;
use agateflow::wire::frame;
use indexmap::IndexMap;

use crate::meter;
use crate::notice::Notice;

/// Capacity of the queue, in attempts.
const QUEUE_CAPACITY: usize = 2_048;

/// Concurrency limit of a plain service.
const SERVICE_BATCH: usize = 256;

/// Weight of a team that is not in the configuration.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Start time of the engine, which is not known. A limit that it named before a restart holds until
/// the next response.
const ENGINE_START: u64 = 0;

/// Longest time for which an engine that leaves is awaited to end.
const MAX_LEAVING_TIME: unit::Millis = unit::Millis::new(30_000);

/// An attempt that was dispatched to the engine.
struct Running {
    tokens: unit::Tokens,
    since: unit::Millis,
}

/// Queued and running attempts of the engine.
pub struct Scheduler {
    queue: Queue,
    arrivals: IndexMap<id::Attempt, unit::Millis>,
    running: IndexMap<id::Attempt, Running>,
    batch: usize,
    engine: Incarnation,
    rates: rate::Register,
    recheck_pending: bool,
    /// Until when the engine accepts no requests, as it asked for rest or leaves.
    closed_until: unit::Millis,
    leaving: bool,
}

impl Scheduler {
    /// Creates the scheduler of an idle engine on `vm`.
    pub fn new(vm: id::Vm) -> Self {
        let queue = Queue::new(QUEUE_CAPACITY);
        let (arrivals, running) = (IndexMap::new(), IndexMap::new());
        let engine = Incarnation { vm, started_at: ENGINE_START };
        let rates = rate::Register::new();
        Self {
            queue,
            arrivals,
            running,
            batch: SERVICE_BATCH,
            engine,
            rates,
            recheck_pending: false,
            closed_until: unit::Millis::ZERO,
            leaving: false,
        }
    }

    /// Records what the engine says of itself in its response to an attempt dispatched at `sent_at`.
    /// Returns whether its rate limit changed.
    pub fn record_notice(
        &mut self,
        notice: Notice,
        sent_at: unit::Millis,
        now: unit::Millis,
    ) -> bool {
        let leaving_time = notice.leaving.then_some(MAX_LEAVING_TIME);
        let closed_for = leaving_time.max(notice.rest).unwrap_or_default();
        self.leaving = notice.leaving || (self.leaving && now < self.closed_until);
        self.closed_until = self.closed_until.max(now + closed_for);
        self.rates.record_limit(&self.engine, notice.rate_limit, sent_at, now)
    }

    /// Whether the engine said that it leaves and has not been seen to end.
    pub const fn is_engine_leaving(&self) -> bool {
        self.leaving
    }

    /// Records that the engine has ended: what it said holds no longer.
    pub fn record_engine_end(&mut self) {
        self.leaving = false;
        self.closed_until = unit::Millis::ZERO;
        self.rates = rate::Register::new();
    }

    /// Time until an attempt behind those that wait can be dispatched, by what the engine said.
    fn notice_wait(&mut self, now: unit::Millis) -> unit::Millis {
        self.closed_until.saturating_sub(now).max(self.rate_wait())
    }

    /// Time until the engine's rate limit lets an attempt pass behind those that wait.
    fn rate_wait(&mut self) -> unit::Millis {
        let position = (self.queue.waiting() + 1) as f64;
        let rate = self.rates.own_rate(&self.engine.vm, ENGINE_START);
        unit::Millis::new(rate.map_or(0.0, |rate| position / rate * 1_000.0) as u64)
    }

    /// Sets the concurrency limit from the configuration.
    pub fn set_batch(&mut self, fleet: &config::Fleet, vm: &id::Vm) {
        self.batch = batch(fleet, vm);
    }

    /// Queues an admitted attempt, or returns its rejection.
    pub fn push(
        &mut self,
        start: &frame::Start,
        fleet: &config::Fleet,
        now: unit::Millis,
    ) -> Option<Input> {
        let id = start.id;
        let retry_after = self.notice_wait(now);
        if now + retry_after > start.valid_until.min(now + start.deadline) {
            return Some(Input::Reject { id, reason: reason::Reason::Late, retry_after });
        }
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

    /// Returns the next dispatch, if the engine has capacity and an attempt waits.
    pub fn next_dispatch(&mut self, now: unit::Millis) -> Option<Input> {
        if self.running.len() >= self.batch {
            return None;
        }
        if self.is_held(now) {
            return None;
        }
        let item = self.queue.pop()?;
        self.rates.record_send(&self.engine.vm, ENGINE_START);
        if let Some(arrived) = self.arrivals.swap_remove(&item.id) {
            meter::queued(&item.team, now.saturating_sub(arrived).duration());
        }
        self.running.insert(item.id, Running { tokens: item.tokens, since: now });
        Some(Input::Dispatch(item.id))
    }

    /// Whether what the engine said of itself forbids a dispatch now.
    fn is_held(&mut self, now: unit::Millis) -> bool {
        now < self.closed_until || !self.rates.allows(&self.engine.vm, ENGINE_START, now)
    }

    /// Whether to start a timer for the next dispatch, as attempts are held back. The
    /// timer ends with [`Scheduler::end_recheck`].
    pub fn start_recheck(&mut self, now: unit::Millis) -> bool {
        let is_held =
            self.queue.waiting() > 0 && self.running.len() < self.batch && self.is_held(now);
        is_held && !std::mem::replace(&mut self.recheck_pending, true)
    }

    /// Ends the timer.
    pub const fn end_recheck(&mut self) {
        self.recheck_pending = false;
    }

    /// Measures an attempt with a complete response.
    pub fn record_completion(&mut self, id: id::Attempt, now: unit::Millis) {
        if let Some(running) = self.running.get(&id) {
            let elapsed = now.saturating_sub(running.since);
            self.queue.record_completion(
                running.tokens,
                elapsed,
                self.batch.min(self.running.len()),
            );
        }
    }

    /// Removes an attempt that ended, was refused or left the queue.
    pub fn remove(&mut self, id: id::Attempt) {
        self.queue.remove(id);
        self.arrivals.swap_remove(&id);
        self.running.swap_remove(&id);
    }

    /// Returns the load for the next heartbeat.
    pub fn load(&mut self, now: unit::Millis) -> message::Load {
        let wait = self.queue.backlog().max(self.notice_wait(now));
        let count = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        message::Load {
            waiting: count(self.queue.waiting()),
            running: count(self.running.len()),
            queued_ms: u32::try_from(wait.get()).unwrap_or(u32::MAX),
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
        weight: team.map_or(DEFAULT_WEIGHT, |team| team.weight.get()),
        tokens: start.tokens,
        deadline: now + start.deadline,
    }
}
