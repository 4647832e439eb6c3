//! Callers' connections and what they hold: an [`intake::Ledger`] with a clock, wake-ups, logs and metrics.

use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agateflow::event::Event;
use agateflow::intake::{self, Eviction, Id, Ledger, Stage, Verdict};
use agateflow::{id, unit};
use indexmap::IndexMap;
use rustix::process::{Resource, getrlimit};
use tokio::sync::{Notify, watch};
use tokio::time;

use crate::{event, meter};

/// Longest wait for those who have to go.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Interval between two reports of what is held.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// `retry-after` of a request for which there is no memory.
pub const RETRY_AFTER: unit::Millis = unit::Millis::new(1_000);

/// There is no memory for a request or its response, and nobody else has to go before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory left for the request")]
pub struct Full;

/// Descriptors that a process needs for anything but sockets.
const FILES: usize = 64;

/// Lowers the sockets of a machine to what this process may open.
pub fn fit_process(machine: intake::Machine) -> intake::Machine {
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let sockets = usize::try_from(limit).unwrap_or(usize::MAX).saturating_sub(FILES);
    intake::Machine { sockets: machine.sockets.min(sockets), ..machine }
}

/// The connections of one or several listeners.
pub struct Intake {
    state: Mutex<State>,
    freed: Notify,
    start: time::Instant,
    logger: slog::Logger,
}

struct State {
    ledger: Ledger,
    /// Tells a connection that it has to go.
    signals: IndexMap<Id, watch::Sender<bool>>,
}

impl Intake {
    /// Creates an intake without connections.
    pub fn new(limits: intake::Limits, logger: slog::Logger) -> Arc<Self> {
        let state = State { ledger: Ledger::new(limits), signals: IndexMap::new() };
        Arc::new(Self {
            state: Mutex::new(state),
            freed: Notify::new(),
            start: time::Instant::now(),
            logger,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> unit::Millis {
        unit::Millis::new(self.start.elapsed().as_millis() as u64)
    }

    /// Changes the limits; who has to go is told.
    pub fn set_limits(&self, limits: intake::Limits) {
        let mut state = self.state();
        let evictions = state.ledger.set_limits(limits, self.now());
        self.evict(&mut state, evictions);
    }

    /// Memory that is held for callers.
    pub fn held(&self) -> unit::Bytes {
        self.state().ledger.held()
    }

    /// Admits a connection from `caller`, once there is room. `None` if it is turned away.
    pub async fn admit(self: &Arc<Self>, caller: IpAddr) -> Option<Arc<Connection>> {
        let deadline = time::Instant::now() + MAX_WAIT;
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            match self.open(caller) {
                Ok(connection) => return Some(connection),
                Err(Verdict::Wait) if time::timeout_at(deadline, freed).await.is_ok() => {}
                Err(_) => {
                    self.record_turned_away(caller);
                    return None;
                }
            }
        }
    }

    fn record_turned_away(&self, caller: IpAddr) {
        meter::turned_away();
        let state = self.state();
        event!(self.logger, Event::CallerTurnedAway; "caller" => %caller,
            "connections" => state.ledger.connections(), "held" => state.ledger.held().get());
    }

    fn open(self: &Arc<Self>, caller: IpAddr) -> Result<Arc<Connection>, Verdict> {
        let mut state = self.state();
        let (opened, evictions) = state.ledger.open(caller, self.now());
        self.evict(&mut state, evictions);
        let id = opened?;
        let (signal, evicted) = watch::channel(false);
        state.signals.insert(id, signal);
        Ok(Arc::new(Connection {
            intake: self.clone(),
            id,
            evicted,
            has_unread_body: AtomicBool::new(false),
        }))
    }

    fn charge(&self, id: Id, bytes: u64) -> Verdict {
        let mut state = self.state();
        let (verdict, evictions) = state.ledger.charge(id, unit::Bytes::new(bytes), self.now());
        self.evict(&mut state, evictions);
        verdict
    }

    fn evict(&self, state: &mut State, evictions: Vec<Eviction>) {
        for eviction in evictions {
            if let Some(signal) = state.signals.get(&eviction.id) {
                signal.send_replace(true);
            }
            meter::evicted(eviction.cause.as_str(), eviction.stage.as_str());
            event!(self.logger, Event::CallerEvicted; "cause" => eviction.cause.as_str(),
                "caller" => %eviction.caller, "team" => eviction.team.as_ref().map(id::Team::as_str),
                "stage" => eviction.stage.as_str(), "age" => %eviction.age,
                "holds" => eviction.held.get(), "moved" => eviction.moved.get(),
                "held" => state.ledger.held().get(), "limit" => state.ledger.limits().memory.get(),
                "connections" => state.ledger.connections());
        }
    }

    /// Reports what is held, until dropped.
    pub async fn report(self: Arc<Self>) {
        let mut ticks = time::interval(REPORT_INTERVAL);
        loop {
            ticks.tick().await;
            let state = self.state();
            meter::held(state.ledger.held(), state.ledger.connections());
        }
    }
}

/// A connection of a caller. Its account is closed when it is dropped.
pub struct Connection {
    intake: Arc<Intake>,
    id: Id,
    evicted: watch::Receiver<bool>,
    has_unread_body: AtomicBool,
}

impl Connection {
    /// Records what the connection does from now on. Returns false if it was told to go.
    pub fn enter(&self, stage: Stage) -> bool {
        let now = self.intake.now();
        self.intake.state().ledger.enter(self.id, stage, now)
    }

    /// Records the team of its request.
    pub fn set_team(&self, team: Option<id::Team>) {
        self.intake.state().ledger.set_team(self.id, team);
    }

    /// Records that its caller sent or read bytes.
    pub fn record_movement(&self, bytes: usize) {
        let now = self.intake.now();
        self.intake.state().ledger.record_movement(self.id, bytes as u64, now);
    }

    /// Waits until it has to go.
    pub async fn evicted(&self) {
        // The signal is dropped only after the connection.
        let _ = self.evicted.clone().wait_for(|&evicted| evicted).await;
    }

    /// Whether it has to go.
    pub fn is_evicted(&self) -> bool {
        *self.evicted.borrow()
    }

    /// Records that a request was answered before its body had arrived.
    pub fn leave_body_unread(&self) {
        self.has_unread_body.store(true, Ordering::Relaxed);
    }

    /// Whether a request was answered before its body had arrived.
    pub fn has_unread_body(&self) -> bool {
        self.has_unread_body.load(Ordering::Relaxed)
    }

    /// Charges `bytes` once there is room.
    ///
    /// # Errors
    ///
    /// [`Full`].
    pub async fn charge(self: &Arc<Self>, bytes: u64) -> Result<Charge, Full> {
        let mut charge = Charge { connection: self.clone(), bytes: 0 };
        charge.grow(bytes).await?;
        Ok(charge)
    }

    /// Charges `bytes` if there is room now.
    ///
    /// # Errors
    ///
    /// [`Full`].
    pub fn charge_now(self: &Arc<Self>, bytes: u64) -> Result<Charge, Full> {
        match self.intake.charge(self.id, bytes) {
            Verdict::Granted => Ok(Charge { connection: self.clone(), bytes }),
            Verdict::Wait | Verdict::Refused => Err(Full),
        }
    }

    async fn reserve(&self, bytes: u64) -> Result<(), Full> {
        let deadline = time::Instant::now() + MAX_WAIT;
        loop {
            let freed = self.intake.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            match self.intake.charge(self.id, bytes) {
                Verdict::Granted => return Ok(()),
                Verdict::Refused => return Err(Full),
                Verdict::Wait => time::timeout_at(deadline, freed).await.map_err(|_| Full)?,
            }
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.intake.state();
        state.ledger.close(self.id);
        state.signals.swap_remove(&self.id);
        drop(state);
        self.intake.freed.notify_waiters();
    }
}

/// Memory charged to a connection until it is dropped.
pub struct Charge {
    connection: Arc<Connection>,
    bytes: u64,
}

impl Charge {
    /// Charges `bytes` more once there is room.
    ///
    /// # Errors
    ///
    /// [`Full`].
    pub async fn grow(&mut self, bytes: u64) -> Result<(), Full> {
        self.connection.reserve(bytes).await?;
        self.bytes += bytes;
        Ok(())
    }

    /// The connection that it is charged to.
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Takes what is charged, so that it can be released on its own.
    pub fn take(&mut self) -> Self {
        Self { connection: self.connection.clone(), bytes: std::mem::take(&mut self.bytes) }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        let intake = &self.connection.intake;
        intake.state().ledger.release(self.connection.id, unit::Bytes::new(self.bytes));
        intake.freed.notify_waiters();
    }
}
