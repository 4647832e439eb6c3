//! One process of the fleet: its services, started by its settings and drained on a signal.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agateflow::config;
use agateflow::event::Event;
use agateflow::fleet::message;
use agateflow::id;
use agateflow::intake::{Limits, Machine};
use agateflow::kernel;
use agateflow::settings;
use tokio::sync::watch;
use tokio::time;

use crate::entry::{self, Entry};
use crate::error::Error;
use crate::intake::Intake;
use crate::link::{self, Identity};
use crate::operators::{self, Pages, Status};
use crate::upstream::{self, Upstream};
use crate::{configuration, event, fleet, meter, signal};

/// Name of the entry's service.
pub const ENTRY: kernel::Name = kernel::Name::new("entry");

/// Name of the upstream process's service.
pub const UPSTREAM: kernel::Name = kernel::Name::new("upstream");

/// Name of the operators' pages.
pub const OPERATORS: kernel::Name = kernel::Name::new("operators");

/// Time between failing the health page and closing the listener, within which the balancer in
/// front of the entries stops sending.
const DRAIN_NOTICE: Duration = Duration::from_secs(3);

/// A running process.
pub struct Process {
    /// Address for callers, of an entry.
    pub callers: Option<SocketAddr>,
    /// Address for other processes, of an upstream process.
    pub peers: Option<SocketAddr>,
    /// Address of the operators' pages.
    pub operators: SocketAddr,
    kernel: kernel::Kernel,
    members: fleet::Handle,
    drain_time: Duration,
    page_limits: Limits,
    logger: slog::Logger,
}

impl Process {
    /// Starts the services that `settings` ask for.
    ///
    /// # Errors
    ///
    /// The error of the first service that cannot start.
    pub async fn start(settings: settings::Settings, logger: slog::Logger) -> Result<Self, Error> {
        let identity = Identity {
            vm: settings.vm.clone(),
            incarnation: id::Incarnation::random(&mut rand::rng()),
            secret: secret(&settings.secret)?,
        };
        let logger = logger.new(slog::o!("vm" => settings.vm.to_string()));
        let members = configuration::join(&settings, &identity).await?;
        let fleet = configuration::follow(&members, &logger).await;
        let mut process = Self {
            callers: None,
            peers: None,
            operators: settings.operators,
            kernel: kernel::Kernel::new(),
            members,
            drain_time: settings.limits.drain_time.duration(),
            page_limits: Limits::for_page(machine(&settings.limits)),
            logger,
        };
        let probe = match settings.role {
            settings::Role::Entry { callers } => {
                process.start_entry(identity, callers, &settings.limits, fleet).await?
            }
            settings::Role::Upstream { backend } => {
                process.start_upstream(identity, &settings, backend, fleet).await?
            }
        };
        process.start_operators(settings.operators, probe).await?;
        process.members.set_state(message::State::Serving);
        event!(process.logger, Event::Started; "version" => env!("CARGO_PKG_VERSION"));
        Ok(process)
    }

    /// The handles of the process's services.
    pub fn registry(&self) -> &kernel::Registry {
        self.kernel.registry()
    }

    async fn start_entry(
        &mut self,
        identity: Identity,
        callers: SocketAddr,
        limits: &settings::Limits,
        fleet: watch::Receiver<Arc<config::Fleet>>,
    ) -> Result<operators::Probe, Error> {
        let options = entry::Options {
            identity: identity.clone(),
            callers,
            fleet: fleet.clone(),
            members: self.members.clone(),
            limits: entry::Limits {
                max_connections: limits.connections.get() as usize,
                machine: machine(limits),
                idle_timeout: limits.idle_time.duration(),
                header_timeout: limits.header_time.duration(),
                max_header_bytes: limits.header.get() as usize,
                write_timeout: limits.write_time.duration(),
                max_body_bytes: limits.body.get() as usize,
                body_timeout: limits.header_time.duration(),
                request_timeout: limits.request_time,
                drain_notice: DRAIN_NOTICE,
            },
            logger: self.logger.clone(),
        };
        let entry = Entry::start(options).await?;
        self.callers = Some(entry.address);
        let draining = entry.clone();
        self.kernel.add(ENTRY, entry.clone(), async move { draining.drain().await })?;
        Ok(Arc::new(move || Status {
            vm: identity.vm.as_str().into(),
            role: "entry",
            incarnation: identity.incarnation.into(),
            version: env!("CARGO_PKG_VERSION"),
            revision: fleet.borrow().revision,
            leaving: entry.is_draining(),
            running: entry.requests_in_progress(),
            links: entry.links(),
        }))
    }

    async fn start_upstream(
        &mut self,
        identity: Identity,
        settings: &settings::Settings,
        backend: SocketAddr,
        fleet: watch::Receiver<Arc<config::Fleet>>,
    ) -> Result<operators::Probe, Error> {
        let options = upstream::Options {
            identity: identity.clone(),
            listen: link::address(settings.listen),
            backend,
            fleet: fleet.clone(),
            members: self.members.clone(),
            retry_window: settings.limits.key_window,
            machine: machine(&settings.limits),
            logger: self.logger.clone(),
        };
        let upstream = Upstream::start(options).await?;
        self.peers = Some(upstream.address);
        let draining = upstream.clone();
        self.kernel.add(UPSTREAM, upstream.clone(), async move { draining.drain().await })?;
        Ok(Arc::new(move || Status {
            vm: identity.vm.as_str().into(),
            role: "upstream",
            incarnation: identity.incarnation.into(),
            version: env!("CARGO_PKG_VERSION"),
            revision: fleet.borrow().revision,
            leaving: upstream.is_draining(),
            running: upstream.active_attempts(),
            links: 0,
        }))
    }

    async fn start_operators(
        &mut self,
        address: SocketAddr,
        probe: operators::Probe,
    ) -> Result<(), Error> {
        tokio::spawn(meter::upkeep());
        let (stop, stopped) = watch::channel(false);
        let intake = Intake::new(self.page_limits, self.logger.clone());
        let pages = Pages::new(probe, meter::recorder(), intake, self.logger.clone());
        self.operators = pages.start(address, stopped).await?;
        // The registry keeps the pages up while the other services drain, so that operators can
        // watch.
        self.kernel.add(OPERATORS, Arc::new(stop), async {})?;
        Ok(())
    }

    /// Waits for SIGTERM or SIGINT, then drains.
    ///
    /// # Errors
    ///
    /// [`Error::Signal`] if signals cannot be awaited.
    pub async fn run(self) -> Result<(), Error> {
        signal::end()?.await;
        self.drain().await;
        Ok(())
    }

    /// Ends every service without cutting a request in progress, within the drain limit.
    pub async fn drain(self) {
        event!(self.logger, Event::Draining;);
        self.members.set_state(message::State::Leaving);
        let logger = self.logger.clone();
        let drained = |name| event!(logger, Event::Drained; "service" => %name);
        let draining = self.kernel.drain(drained);
        if time::timeout(self.drain_time, draining).await.is_err() {
            event!(self.logger, Event::DrainTimedOut;);
        }
    }
}

/// The VM as the settings describe it; the process lowers its sockets to what it may open.
const fn machine(limits: &settings::Limits) -> Machine {
    Machine { memory: limits.memory, sockets: usize::MAX }
}

fn secret(secret: &settings::Secret) -> Result<[u8; 32], Error> {
    match secret {
        settings::Secret::Key(key) => Ok(*key.as_bytes()),
        settings::Secret::File(path) => {
            let wrong = |e: &dyn std::error::Error| Error::Settings(format!("{path}: {e}").into());
            let text = fs::read_to_string(&**path).map_err(|e| wrong(&e))?;
            let key = text.parse::<settings::Key>().map_err(|e| wrong(&e))?;
            Ok(*key.as_bytes())
        }
    }
}
