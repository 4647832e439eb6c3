//! The upstream role: the only process between entries and an engine or plain service.

pub mod attempt;
pub mod backend;
pub mod relay;
pub mod revisions;
mod scheduler;
pub mod sender;
pub mod session;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agateflow::admission::{self, Input, idempotency, ticket};
use agateflow::config;
use agateflow::id;
use agateflow::intake::{self, Machine};
use agateflow::unit;
use indexmap::IndexMap;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;

use crate::error::Error;
use crate::intake::{Intake, fit_process};
use crate::link::Identity;
use crate::{clock, fleet, listener};

/// Interval between checks for attempts in progress during a drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between checks for expired records.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// How long the record of a finished attempt outlives its validity: an entry whose link was lost
/// asks for the response within a second.
const RETENTION: unit::Millis = unit::Millis::new(3_000);

/// How long a ticket is valid.
pub const TICKET_LIFETIME: unit::Millis = unit::Millis::new(600_000);

/// Options of an upstream process.
pub struct Options {
    /// Identity of this process.
    pub identity: Identity,
    /// Address that entries connect to.
    pub listen: SocketAddr,
    /// Address of the engine or plain service.
    pub backend: SocketAddr,
    /// Configuration in force.
    pub fleet: watch::Receiver<Arc<config::Fleet>>,
    /// The fleet service of this process.
    pub members: fleet::Handle,
    /// How long callers may retry with the same idempotency key.
    pub retry_window: unit::Millis,
    /// Memory and sockets of the VM.
    pub machine: Machine,
    /// Logger.
    pub logger: slog::Logger,
}

/// State shared by the tasks of the process.
pub struct Shared {
    /// Identity of this process.
    pub identity: Identity,
    /// The engine or plain service.
    pub backend: backend::Backend,
    /// Configuration in force.
    pub fleet: watch::Receiver<Arc<config::Fleet>>,
    /// The fleet service of this process.
    pub members: fleet::Handle,
    /// Attempts and their records.
    pub attempts: attempt::Registry,
    /// Number of links from each entry.
    pub sessions: Sessions,
    /// Connections and what attempts hold.
    pub intake: Arc<Intake>,
    /// Secret that authenticates tickets.
    pub ticket_secret: ticket::Secret,
    /// Logger.
    pub logger: slog::Logger,
}

/// Counts the open links of each entry; a new one may open before the loss of the last is noticed.
#[derive(Default)]
pub struct Sessions {
    links: Mutex<IndexMap<id::Incarnation, usize>>,
}

impl Sessions {
    fn open(&self, entry: id::Incarnation) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        *links.entry(entry).or_default() += 1;
    }

    /// Returns whether this was the entry's last link.
    fn close(&self, entry: id::Incarnation) -> bool {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(count) = links.get_mut(&entry) else { return false };
        *count -= 1;
        if *count == 0 {
            links.swap_remove(&entry);
            return true;
        }
        false
    }
}

/// A running upstream process.
pub struct Upstream {
    /// Address that entries connect to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// Stops the tasks when dropped.
    _stop: watch::Sender<bool>,
}

impl Upstream {
    /// Starts accepting links.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the address cannot be bound, [`Error::Http`] if the client of the
    /// engine cannot be built.
    pub async fn start(options: Options) -> Result<Arc<Self>, Error> {
        let listener = listener::bind_links(options.listen)?;
        let address = listener::local_address(&listener, options.listen)?;
        let backend = backend::Backend::new(options.backend).map_err(|e| Error::Http {
            step: "build client of",
            peer: options.backend,
            reason: e.to_string().into(),
        })?;
        let ticket_secret = ticket::Secret::new(&options.identity.secret);
        let attempts = registry(&options.identity, options.retry_window, ticket_secret.clone());
        let limits = intake::Limits::new(fit_process(options.machine));
        let shared = Arc::new(Shared {
            intake: Intake::new(limits, options.logger.clone()),
            identity: options.identity,
            backend,
            fleet: options.fleet,
            members: options.members,
            attempts,
            sessions: Sessions::default(),
            ticket_secret,
            logger: options.logger,
        });
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(accept(listener, shared.clone(), stopped.clone()));
        tokio::spawn(tick(shared.clone(), stopped.clone()));
        tokio::spawn(revisions::poll(shared.clone(), stopped));
        Ok(Arc::new(Self { address, shared, _stop: stop }))
    }

    /// Number of queued and running attempts.
    pub fn active_attempts(&self) -> usize {
        self.shared.attempts.active_attempts()
    }

    /// Whether new attempts are refused.
    pub fn is_draining(&self) -> bool {
        self.shared.attempts.is_draining()
    }

    /// Refuses new attempts and waits for those in progress to end.
    pub async fn drain(&self) {
        attempt::start_drain(&self.shared).await;
        while self.active_attempts() > 0 {
            time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

fn registry(
    identity: &Identity,
    retry_window: unit::Millis,
    secret: ticket::Secret,
) -> attempt::Registry {
    let now = clock::now();
    let timing = idempotency::Timing { retry_window, ..idempotency::Timing::default() };
    let owner = admission::Owner {
        incarnation: identity.incarnation,
        secret,
        home: idempotency::Home::new(identity.vm.clone(), timing, now),
    };
    let limits = admission::Limits { retention: RETENTION, ..admission::Limits::default() };
    let table = admission::Table::new(owner, limits);
    let issuer = ticket::Issuer::new(identity.vm.clone(), identity.incarnation, TICKET_LIFETIME);
    attempt::Registry::new(table, issuer, identity.vm.clone())
}

/// Expires records, abandons attempts whose entry does not reconnect, and reports the load.
async fn tick(shared: Arc<Shared>, mut stopped: watch::Receiver<bool>) {
    let mut ticks = time::interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = stopped.wait_for(|stop| *stop) => return,
        }
        attempt::process(&shared, Input::Tick, None).await;
        attempt::check_leaving_engine(&shared).await;
        shared.members.set_load(shared.attempts.load());
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, mut stopped: watch::Receiver<bool>) {
    let closed = stopped.clone();
    while let Some((socket, peer)) = listener::accept(&listener, &mut stopped, &shared.logger).await
    {
        let Some(connection) = shared.intake.admit(peer.ip()).await else { continue };
        tokio::spawn(session::serve(socket, peer, connection, shared.clone(), closed.clone()));
    }
}
