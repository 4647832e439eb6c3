//! The entry role: accepts requests from callers and forwards them to upstream processes.

pub mod balancer;
pub mod call;
pub mod driver;
pub mod http;
pub mod problem;
pub mod quota;
pub mod suspects;
pub mod tickets;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use agateflow::admission::ticket;
use agateflow::config;
use agateflow::intake::{self, Machine};
use agateflow::limit;
use agateflow::request;
use agateflow::unit;
use arc_swap::ArcSwap;
use tokio::sync::watch;
use tokio::time;

use crate::error::Error;
use crate::fleet;
use crate::intake::{Intake, fit_process};
use crate::link::{self, Identity, client};
use crate::listener;

/// Interval between checks for requests in progress during a drain.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Limits of callers' requests.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of connections, and of requests in progress.
    pub max_connections: usize,
    /// Memory and sockets of the VM.
    pub machine: Machine,
    /// How long a connection may be idle between two requests.
    pub idle_timeout: Duration,
    /// How long a caller may take to send the header.
    pub header_timeout: Duration,
    /// Maximum size of the request header.
    pub max_header_bytes: usize,
    /// How long the response may wait for the caller to read some of it.
    pub write_timeout: Duration,
    /// Maximum size of the request body.
    pub max_body_bytes: usize,
    /// How long a caller may take to send the body.
    pub body_timeout: Duration,
    /// Default and maximum of the timeout that a caller may set.
    pub request_timeout: unit::Millis,
    /// Delay between failing the health check and closing the listener.
    pub drain_notice: Duration,
}

/// Parameters of [`Entry::start`].
pub struct Options {
    /// Identity of this process.
    pub identity: Identity,
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Active configuration and its updates.
    pub fleet: watch::Receiver<Arc<config::Fleet>>,
    /// Handle to the fleet membership.
    pub members: fleet::Handle,
    /// Limits of callers' requests.
    pub limits: Limits,
    /// Logger.
    pub logger: slog::Logger,
}

/// State that all requests share.
pub struct Shared {
    /// Identity of this process.
    pub identity: Identity,
    /// Active configuration.
    pub fleet: ArcSwap<config::Fleet>,
    /// Handle to the fleet membership.
    pub members: fleet::Handle,
    /// Links to upstream processes.
    pub links: client::Links,
    /// Secret that authenticates tickets.
    pub tickets: ticket::Secret,
    /// Limits of callers' requests.
    pub limits: Limits,
    /// Attempt limits and timeouts of all requests.
    pub policy: request::Policy,
    /// Retry budgets.
    pub retry_budget: Mutex<request::budget::Budget>,
    /// Number of the next request; part of attempt ids.
    pub request_counter: AtomicU64,
    /// Rate limits of the teams.
    pub quota: Mutex<limit::Table>,
    /// State of the load balancer.
    pub selector: Mutex<balancer::Selector>,
    /// Requests and parts of prompts that may crash engines.
    pub suspects: Mutex<suspects::Suspects>,
    /// Connections of callers and what they hold.
    pub intake: Arc<Intake>,
    /// Logger.
    pub logger: slog::Logger,
    requests_in_progress: AtomicUsize,
    draining: AtomicBool,
}

/// Counts as a request in progress until dropped.
pub struct Guard {
    shared: Arc<Shared>,
}

impl Shared {
    /// Counts a request as in progress until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> Guard {
        self.requests_in_progress.fetch_add(1, Ordering::AcqRel);
        Guard { shared: self.clone() }
    }

    /// Requests in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.requests_in_progress.load(Ordering::Acquire)
    }

    /// Whether a drain has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.shared.requests_in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A running entry.
pub struct Entry {
    /// Address that the listener is bound to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
}

impl Entry {
    /// Binds the listener and starts serving callers.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the address cannot be bound.
    pub async fn start(options: Options) -> Result<Arc<Self>, Error> {
        let listener = listener::bind(options.callers)?;
        let address = listener::local_address(&listener, options.callers)?;
        let fleet = options.fleet.borrow().clone();
        let (publish, revision) = watch::channel(fleet.revision);
        let links = client::Links::new(options.identity.clone(), revision, options.logger.clone());
        let seed = u128::from_str_radix(&options.identity.incarnation.to_string(), 16);
        let seed = seed.unwrap_or_default() as u64;
        let mut quota = limit::Table::new(&options.members.sender().name);
        quota.configure(&fleet, options.members.now());
        let intake_limits = intake::Limits::new(fit_process(options.limits.machine))
            .with_connections(options.limits.max_connections);
        let shared = Arc::new(Shared {
            intake: Intake::new(intake_limits, options.logger.clone()),
            tickets: ticket::Secret::new(&options.identity.secret),
            identity: options.identity,
            fleet: ArcSwap::new(fleet),
            members: options.members,
            links,
            limits: options.limits,
            policy: request::Policy::default(),
            retry_budget: Mutex::new(request::budget::Budget::new(
                request::budget::Limits::default(),
            )),
            request_counter: AtomicU64::new(0),
            quota: Mutex::new(quota),
            selector: Mutex::new(balancer::Selector::new(seed)),
            suspects: Mutex::default(),
            logger: options.logger,
            requests_in_progress: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
        });
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(quota::exchange_shares(shared.clone(), stopped.clone()));
        tokio::spawn(apply_configurations(shared.clone(), options.fleet, publish, stopped.clone()));
        tokio::spawn(shared.intake.clone().report());
        tokio::spawn(http::accept(shared.clone(), listener, stopped));
        Ok(Arc::new(Self { address, shared, stop }))
    }

    /// Requests in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.shared.requests_in_progress()
    }

    /// Whether the health check fails so that the external load balancer avoids this entry.
    pub fn is_draining(&self) -> bool {
        self.shared.is_draining()
    }

    /// Open links to upstream processes.
    pub fn links(&self) -> usize {
        self.shared.links.open_count()
    }

    /// Fails the health check, keeps serving for `drain_notice`, then closes the listener and waits
    /// for the requests in progress.
    pub async fn drain(&self) {
        self.shared.draining.store(true, Ordering::Release);
        time::sleep(self.shared.limits.drain_notice).await;
        self.stop.send_replace(true);
        while self.requests_in_progress() > 0 {
            time::sleep(DRAIN_POLL).await;
        }
    }
}

/// Applies each new configuration until the entry stops.
async fn apply_configurations(
    shared: Arc<Shared>,
    mut fleets: watch::Receiver<Arc<config::Fleet>>,
    revision: watch::Sender<unit::Revision>,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        let fleet = fleets.borrow_and_update().clone();
        shared.links.set_targets(&link_targets(&fleet));
        balancer::retain(&shared, &fleet);
        quota::configure(&shared, &fleet);
        revision.send_replace(fleet.revision);
        shared.fleet.store(fleet);
        tokio::select! {
            changed = fleets.changed() => if changed.is_err() { return },
            _ = stopped.wait_for(|stop| *stop) => return,
        }
    }
}

fn link_targets(fleet: &config::Fleet) -> Vec<client::Target> {
    let upstreams = fleet.vms.iter().filter(|vm| vm.role != config::Role::Entry);
    let target = |vm: &config::Vm| client::Target {
        vm: vm.name.clone(),
        address: link::address(vm.address),
    };
    upstreams.map(target).collect()
}
