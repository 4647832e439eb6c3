//! The upstream role: the one process between entries and an engine or plain service.

pub mod answer;
pub mod backend;
pub mod homes;
pub mod outlet;
pub mod run;
pub mod session;
mod turns;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agateflow::admission::{self, Input, idempotency, ticket};
use agateflow::config;
use agateflow::event::Event;
use agateflow::id;
use agateflow::unit;
use indexmap::IndexMap;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;

use crate::error::Error;
use crate::link::Identity;
use crate::{clock, event, fleet, listener};

/// Time between looks at what is still in progress during a drain.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Time between looks at what has expired.
const TICK: Duration = Duration::from_millis(250);

/// How long a finished attempt is remembered beyond its validity: an entry whose link was lost asks
/// for the answer within a second.
const RETENTION: unit::Millis = unit::Millis::new(3_000);

/// How long a ticket is valid.
pub const TICKET_LIFE: unit::Millis = unit::Millis::new(600_000);

/// What an upstream process needs to start.
pub struct Options {
    /// Who this process is.
    pub identity: Identity,
    /// Address that entries connect to.
    pub listen: SocketAddr,
    /// Address of the engine or plain service on this VM.
    pub backend: SocketAddr,
    /// Configuration in force here.
    pub fleet: watch::Receiver<Arc<config::Fleet>>,
    /// The fleet service of this process.
    pub members: fleet::Handle,
    /// How long callers may send an idempotency key again.
    pub key_window: unit::Millis,
    /// Logger.
    pub logger: slog::Logger,
}

/// State that all sessions of the process share.
pub struct Shared {
    /// Who this process is.
    pub identity: Identity,
    /// The engine or plain service.
    pub backend: backend::Backend,
    /// Configuration in force here.
    pub fleet: watch::Receiver<Arc<config::Fleet>>,
    /// The fleet service of this process.
    pub members: fleet::Handle,
    /// Attempts that run or ran here.
    pub runs: run::Runs,
    /// Links from entries.
    pub sessions: Sessions,
    /// Key of tickets.
    pub tickets: ticket::Secret,
    /// Logger.
    pub logger: slog::Logger,
}

/// Counts the links that each entry has; one may open before the last one is known to be lost.
#[derive(Default)]
pub struct Sessions {
    open: Mutex<IndexMap<id::Incarnation, usize>>,
}

impl Sessions {
    fn open(&self, entry: id::Incarnation) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        *open.entry(entry).or_default() += 1;
    }

    /// Says whether this was the entry's last link.
    fn close(&self, entry: id::Incarnation) -> bool {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(count) = open.get_mut(&entry) else { return false };
        *count -= 1;
        if *count == 0 {
            open.swap_remove(&entry);
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
    /// Ends the process's tasks when dropped.
    _stop: watch::Sender<bool>,
}

impl Upstream {
    /// Starts to accept links.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the address cannot be bound, [`Error::Http`] if the client of the
    /// engine cannot be built.
    pub async fn start(options: Options) -> Result<Arc<Self>, Error> {
        let listener = listener::bind(options.listen).await?;
        let address = listener::local_address(&listener, options.listen)?;
        let backend = backend::Backend::new(options.backend).map_err(|e| Error::Http {
            step: "build client of",
            peer: options.backend,
            reason: e.to_string().into(),
        })?;
        let tickets = ticket::Secret::new(&options.identity.secret);
        let runs = runs(&options.identity, options.key_window, tickets.clone());
        let shared = Arc::new(Shared {
            identity: options.identity,
            backend,
            fleet: options.fleet,
            members: options.members,
            runs,
            sessions: Sessions::default(),
            tickets,
            logger: options.logger,
        });
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(accept(listener, shared.clone(), stopped.clone()));
        tokio::spawn(tick(shared.clone(), stopped.clone()));
        tokio::spawn(homes::follow(shared.clone(), stopped));
        Ok(Arc::new(Self { address, shared, _stop: stop }))
    }

    /// Attempts in progress.
    pub fn running(&self) -> usize {
        self.shared.runs.running()
    }

    /// Whether new attempts are refused.
    pub fn is_leaving(&self) -> bool {
        self.shared.runs.is_leaving()
    }

    /// Refuses new attempts and waits until those in progress have ended.
    pub async fn drain(&self) {
        run::leave(&self.shared).await;
        while self.running() > 0 {
            time::sleep(DRAIN_POLL).await;
        }
    }
}

fn runs(identity: &Identity, window: unit::Millis, secret: ticket::Secret) -> run::Runs {
    let now = clock::now();
    let spans = idempotency::Timing { retry_window: window, ..idempotency::Timing::default() };
    let owner = admission::Owner {
        incarnation: identity.incarnation,
        secret,
        home: idempotency::Home::new(identity.vm.clone(), spans, now),
    };
    let limits = admission::Limits { retention: RETENTION, ..admission::Limits::default() };
    let table = admission::Table::new(owner, limits);
    let issuer = ticket::Issuer::new(identity.vm.clone(), identity.incarnation, TICKET_LIFE);
    run::Runs::new(table, issuer)
}

/// Drops expired records and gives up attempts whose entry stays away.
async fn tick(shared: Arc<Shared>, mut stopped: watch::Receiver<bool>) {
    let mut ticks = time::interval(TICK);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = stopped.wait_for(|stop| *stop) => return,
        }
        run::tell(&shared, Input::Tick, None).await;
        shared.members.set_load(shared.runs.load());
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, mut stopped: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => return,
        };
        match accepted {
            Ok((socket, peer)) => {
                tokio::spawn(session::serve(socket, peer, shared.clone(), stopped.clone()));
            }
            Err(error) => {
                event!(shared.logger, Event::LinkFailed; "cause" => %error);
                time::sleep(DRAIN_POLL).await;
            }
        }
    }
}
