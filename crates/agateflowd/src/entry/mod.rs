//! The entry role: callers on one side, upstream processes on the other.

pub mod call;
pub mod flow;
pub mod http;
pub mod pick;
pub mod problem;
pub mod quota;
pub mod tickets;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use agateflow::admission::ticket;
use agateflow::config;
use agateflow::direct::suspect;
use agateflow::limit;
use agateflow::request;
use agateflow::unit;
use arc_swap::ArcSwap;
use tokio::sync::watch;
use tokio::time;
use volo_http::server::Server;

use crate::error::Error;
use crate::fleet;
use crate::link::{self, Identity, client};
use crate::listener;

/// Time between looks at what is still in progress during a drain.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Engines that one request may take down by way of one entry before it is refused.
const MAX_CRASHES: usize = 2;

/// Limits of callers' requests.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most requests in progress.
    pub requests: usize,
    /// Largest header, in bytes.
    pub header_bytes: usize,
    /// Longest time in which a caller must take some of the answer that waits for it.
    pub write_time: Duration,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a body.
    pub body_time: Duration,
    /// Longest time of a request.
    pub request_time: unit::Millis,
    /// Time between failing the health page and closing the listener.
    pub drain_notice: Duration,
}

/// What an entry needs to start.
pub struct Options {
    /// Who this process is.
    pub identity: Identity,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Configuration in force, and its changes.
    pub fleet: watch::Receiver<Arc<config::Fleet>>,
    /// What the process knows of the fleet.
    pub members: fleet::Handle,
    /// Limits of callers' requests.
    pub limits: Limits,
    /// Logger.
    pub logger: slog::Logger,
}

/// State that all requests share.
pub struct Shared {
    /// Who this process is.
    pub identity: Identity,
    /// Configuration in force.
    pub fleet: ArcSwap<config::Fleet>,
    /// What the process knows of the fleet.
    pub members: fleet::Handle,
    /// Links to upstream processes.
    pub links: client::Links,
    /// Key of tickets.
    pub tickets: ticket::Secret,
    /// Limits of callers' requests.
    pub limits: Limits,
    /// Rules for all requests.
    pub policy: request::Policy,
    /// Retry budgets.
    pub budget: Mutex<request::budget::Budget>,
    /// Counter of requests, part of attempt ids.
    pub requests: AtomicU64,
    /// Limits of the teams.
    pub quota: Mutex<limit::Table>,
    /// Load of the upstreams, and the generator for choices among them.
    pub balance: Mutex<pick::Balance>,
    /// Requests that were in progress at crashes of engines.
    pub suspects: Mutex<suspect::Register>,
    /// Logger.
    pub logger: slog::Logger,
    running: AtomicUsize,
    leaving: AtomicBool,
}

/// Counts a request in progress until dropped.
pub struct Guard {
    shared: Arc<Shared>,
}

impl Shared {
    /// Counts a request as in progress until the guard is dropped.
    pub fn guard(self: &Arc<Self>) -> Guard {
        self.running.fetch_add(1, Ordering::AcqRel);
        Guard { shared: self.clone() }
    }

    /// Requests in progress.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }

    /// Whether the entry is about to end.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A running entry.
pub struct Entry {
    /// Address for callers.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
}

impl Entry {
    /// Starts to serve callers.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the address cannot be bound.
    pub async fn start(options: Options) -> Result<Arc<Self>, Error> {
        let listener = listener::bind(options.callers).await?;
        let address = listener::local_address(&listener, options.callers)?;
        let fleet = options.fleet.borrow().clone();
        let (publish, revision) = watch::channel(fleet.revision);
        let links = client::Links::new(options.identity.clone(), revision, options.logger.clone());
        let seed = u128::from_str_radix(&options.identity.incarnation.to_string(), 16);
        let seed = seed.unwrap_or_default() as u64;
        let mut quota = limit::Table::new(&options.members.sender().name);
        quota.configure(&fleet, options.members.now());
        let shared = Arc::new(Shared {
            tickets: ticket::Secret::new(&options.identity.secret),
            identity: options.identity,
            fleet: ArcSwap::new(fleet),
            members: options.members,
            links,
            limits: options.limits,
            policy: request::Policy::default(),
            budget: Mutex::new(request::budget::Budget::new(request::budget::Limits::default())),
            requests: AtomicU64::new(0),
            quota: Mutex::new(quota),
            balance: Mutex::new(pick::Balance::new(seed)),
            suspects: Mutex::new(suspect::Register::new().with_max_crashes(MAX_CRASHES)),
            logger: options.logger,
            running: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
        });
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(quota::lend(shared.clone(), stopped.clone()));
        tokio::spawn(follow(shared.clone(), options.fleet, publish, stopped.clone()));
        let incoming = listener::Incoming::new(listener, stopped);
        let server = Server::new(http::Callers::new(shared.clone())).http1_only();
        listener::serve(server, incoming).await;
        Ok(Arc::new(Self { address, shared, stop }))
    }

    /// Requests in progress.
    pub fn running(&self) -> usize {
        self.shared.running()
    }

    /// Whether the health page fails so that the balancer sends callers elsewhere.
    pub fn is_leaving(&self) -> bool {
        self.shared.is_leaving()
    }

    /// Open links to upstream processes.
    pub fn links(&self) -> usize {
        self.shared.links.open_count()
    }

    /// Fails the health page, goes on serving for the notice, then closes the listener and waits
    /// until the requests in progress have ended.
    pub async fn drain(&self) {
        self.shared.leaving.store(true, Ordering::Release);
        time::sleep(self.shared.limits.drain_notice).await;
        self.stop.send_replace(true);
        while self.running() > 0 {
            time::sleep(DRAIN_POLL).await;
        }
    }
}

/// Puts each configuration in force.
async fn follow(
    shared: Arc<Shared>,
    mut fleets: watch::Receiver<Arc<config::Fleet>>,
    revision: watch::Sender<unit::Revision>,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        let fleet = fleets.borrow_and_update().clone();
        shared.links.set_targets(&targets(&fleet));
        pick::retain(&shared, &fleet);
        quota::configure(&shared, &fleet);
        revision.send_replace(fleet.revision);
        shared.fleet.store(fleet);
        tokio::select! {
            changed = fleets.changed() => if changed.is_err() { return },
            _ = stopped.wait_for(|stop| *stop) => return,
        }
    }
}

fn targets(fleet: &config::Fleet) -> Vec<client::Target> {
    let upstreams = fleet.vms.iter().filter(|vm| vm.role != config::Role::Entry);
    let target = |vm: &config::Vm| client::Target {
        vm: vm.name.clone(),
        address: link::address(vm.address),
    };
    upstreams.map(target).collect()
}
