//! State of an entry, shared by all of its connections on one thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use agateflow::direct::directory::{Change, Directory, Removals, Revision, Upstream};
use agateflow::direct::group::{self, Group};
use agateflow::direct::load::Load;
use agateflow::direct::{budget, config, drain, peer, quarantine, rate, suspect};
use agateflow::event::Event;
use agateflow::{id, intake, unit};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::{Notify, watch};
use tokio::time;

use super::adapter::Dialect;
use super::pool::Pool;
use super::waiting::Service;
use crate::event;
use crate::intake::{Intake, fit_process};

/// Startup options of an entry.
#[derive(Clone, Debug)]
pub struct Options {
    /// VM of the entry.
    pub vm: id::Vm,
    /// Data centre of the VM.
    pub data_centre: id::DataCentre,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of the readiness check of the load balancer.
    pub ready_address: SocketAddr,
    /// Address for other entries, UDP and TCP.
    pub peer_address: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_address: Option<SocketAddr>,
    /// Entries to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Limits of the retry budgets.
    pub retry_limits: budget::Limits,
    /// Time from the shutdown signal until the process is killed.
    pub grace_period: unit::Millis,
    /// Interval at which upstreams renew their registrations.
    pub renewal_interval: unit::Millis,
    /// Memory and sockets of the VM.
    pub machine: intake::Machine,
}

/// A load balancer process.
pub struct Entry {
    /// Startup options.
    pub options: Options,
    /// Identifies the process to other entries.
    pub incarnation: id::Incarnation,
    /// Header format of the platform.
    pub dialect: Box<dyn Dialect>,
    /// Idle connections to upstreams.
    pub pool: Rc<Pool>,
    /// Connections of callers and what they hold.
    pub intake: Arc<Intake>,
    /// Logger of the process.
    pub logger: slog::Logger,
    /// Upstreams of the registry.
    pub directory: RefCell<Directory>,
    /// Load of the upstreams.
    pub load: RefCell<Load>,
    /// Other entries.
    pub peers: RefCell<peer::Table>,
    /// Agents of ranks.
    pub agents: RefCell<peer::Agents>,
    /// Requests suspected of crashing upstreams.
    pub suspects: RefCell<suspect::Register>,
    /// Parts of prompts suspected of crashing upstreams.
    pub quarantine: RefCell<quarantine::Register>,
    /// Request rate limits that upstreams named.
    pub rates: RefCell<rate::Register>,
    /// Queues and retry budgets by service.
    pub services: RefCell<IndexMap<id::Service, Service>>,
    /// Lock-step groups of ranks.
    pub groups: RefCell<IndexMap<group::Id, Group>>,
    /// Request cost factors of groups, as measured by other entries.
    pub peer_costs: RefCell<IndexMap<group::Id, f64>>,
    /// Random number generator for load balancing.
    pub rng: RefCell<Pcg64Mcg>,
    /// Triggers the next heartbeat early.
    pub heartbeat_trigger: Notify,
    /// Whether the process is shutting down.
    pub shutting_down: watch::Sender<bool>,
    /// Triggers a check of requests in progress after an exclusion.
    pub exclusions_changed: watch::Sender<()>,
    /// Crashes to report in heartbeats.
    pub recent_crashes: RefCell<Vec<suspect::Crash>>,
    table: RefCell<Option<Rc<config::Table>>>,
    drain: Cell<Option<drain::Schedule>>,
    in_progress: Rc<Cell<usize>>,
    connections: Rc<Cell<usize>>,
    start: Instant,
}

impl Entry {
    /// Creates an entry without configuration or upstreams.
    pub fn new(options: Options, dialect: Box<dyn Dialect>, logger: slog::Logger) -> Rc<Self> {
        let directory = Directory::new().with_renewal_interval(options.renewal_interval);
        let peers = peer::Table::new(options.peer_address, options.seeds.iter().copied());
        let limits = intake::Limits::new(fit_process(options.machine));
        Rc::new(Self {
            intake: Intake::new(limits, logger.clone()),
            incarnation: id::Incarnation::new(rand::random()),
            dialect,
            pool: Rc::default(),
            logger,
            directory: RefCell::new(directory),
            load: RefCell::default(),
            peers: RefCell::new(peers),
            agents: RefCell::default(),
            suspects: RefCell::default(),
            quarantine: RefCell::default(),
            rates: RefCell::default(),
            services: RefCell::default(),
            groups: RefCell::default(),
            peer_costs: RefCell::default(),
            rng: RefCell::new(Pcg64Mcg::from_rng(&mut rand::rng())),
            heartbeat_trigger: Notify::new(),
            shutting_down: watch::Sender::new(false),
            exclusions_changed: watch::Sender::new(()),
            recent_crashes: RefCell::default(),
            table: RefCell::new(None),
            drain: Cell::default(),
            in_progress: Rc::default(),
            connections: Rc::default(),
            start: Instant::now(),
            options,
        })
    }

    /// Time since the entry started, on the monotonic clock.
    pub fn now(&self) -> unit::Millis {
        unit::Millis::new(self.start.elapsed().as_millis() as u64)
    }

    /// Converts time since the start to an instant.
    pub fn instant_at(&self, at: unit::Millis) -> time::Instant {
        (self.start + at.duration()).into()
    }

    /// The active configuration.
    pub fn table(&self) -> Option<Rc<config::Table>> {
        self.table.borrow().clone()
    }

    /// Version of the active configuration; 0 before one is known.
    pub fn config_version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |table| table.version())
    }

    /// Activates a configuration if it is newer than the active one. `source` is only logged.
    pub fn apply_config(self: &Rc<Self>, config: config::Config, source: &str) {
        let old = self.config_version();
        if config.version <= old {
            return;
        }
        event!(self.logger, Event::VersionInForce; "version" => config.version, "before" => old,
            "routes" => config.routes.len(), "source" => source);
        *self.table.borrow_mut() = Some(Rc::new(config::Table::new(config)));
        self.heartbeat_trigger.notify_one();
        self.dispatch_all();
    }

    /// Applies a registry change.
    pub fn apply_change(self: &Rc<Self>, change: Change, revision: Revision) {
        self.apply_changes(vec![change], revision);
    }

    /// Applies registry changes that were made up to `revision`.
    pub fn apply_changes(self: &Rc<Self>, changes: Vec<Change>, revision: Revision) {
        for change in &changes {
            let Change::Listed(upstream) = change else { continue };
            event!(self.logger, Event::UpstreamListed;
                "upstream" => %upstream.vm, "service" => %upstream.service,
                "address" => %upstream.address, "state" => ?upstream.state, "open" => upstream.open,
                "revision" => %revision);
            let before = self.directory.borrow().get(&upstream.vm).cloned();
            self.end_outage_if_reopened(before.as_ref(), upstream);
        }
        let removals = self.directory.borrow_mut().apply_all(changes, revision, self.now());
        self.log_removals(&removals, revision);
        self.heartbeat_trigger.notify_one();
        self.dispatch_all();
    }

    /// Replaces the list of upstreams.
    pub fn replace_upstreams(
        self: &Rc<Self>,
        upstreams: Vec<Upstream>,
        revision: Revision,
        source: &str,
    ) {
        event!(self.logger, Event::DirectoryRead; "upstreams" => upstreams.len(),
            "revision" => %revision, "source" => source);
        for upstream in &upstreams {
            let before = self.directory.borrow().get(&upstream.vm).cloned();
            self.end_outage_if_reopened(before.as_ref(), upstream);
        }
        let removals = self.directory.borrow_mut().replace(upstreams, revision, self.now());
        self.log_removals(&removals, revision);
        self.dispatch_all();
    }

    fn log_removals(&self, removals: &Removals, revision: Revision) {
        for vm in &removals.applied {
            event!(self.logger, Event::UpstreamRemoved; "upstream" => %vm, "revision" => %revision);
        }
        for vm in &removals.deferred {
            event!(self.logger, Event::RemovalDeferred; "upstream" => %vm, "revision" => %revision);
        }
    }

    /// Whether the entry can serve requests and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.table.borrow().is_some()
            && self.directory.borrow().revision().number > 0
            && !self.is_shutting_down()
    }

    /// Applies the memory and sockets of the VM that changed settings name.
    pub fn set_machine(&self, machine: intake::Machine) {
        self.intake.set_limits(intake::Limits::new(fit_process(machine)));
    }

    /// Whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        *self.shutting_down.borrow()
    }

    /// Begins the shutdown.
    pub fn start_shutdown(&self, schedule: drain::Schedule) {
        self.drain.set(Some(schedule));
        self.shutting_down.send_replace(true);
        self.heartbeat_trigger.notify_one();
    }

    /// Whether a request that may take until `deadline` is taken now.
    pub fn admits(&self, deadline: unit::Millis) -> bool {
        self.drain.get().is_none_or(|schedule| schedule.admits(self.now(), deadline))
    }

    /// Waits until a shutdown requires the final responses.
    pub async fn wait_for_answers_due(&self) {
        let _ = self.shutting_down.subscribe().wait_for(|&stopping| stopping).await;
        match self.drain.get() {
            Some(schedule) => time::sleep_until(self.instant_at(schedule.answer_by())).await,
            None => std::future::pending().await,
        }
    }

    /// Number of requests in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.in_progress.get()
    }

    /// Counts a request until the guard is dropped.
    pub fn track_request(&self) -> Guard {
        Guard::new(&self.in_progress)
    }

    /// Number of callers' connections.
    pub fn open_connections(&self) -> usize {
        self.connections.get()
    }

    /// Counts a caller's connection until the guard is dropped.
    pub fn track_connection(&self) -> Guard {
        Guard::new(&self.connections)
    }

    /// Number of entries that share limits.
    pub fn entry_count(&self) -> usize {
        self.peers.borrow().entry_count()
    }

    /// State that another entry needs to start.
    pub fn snapshot(&self) -> peer::Snapshot {
        let directory = self.directory.borrow();
        peer::Snapshot {
            config: self.table.borrow().as_ref().map(|table| table.config().clone()),
            upstreams: directory.iter().cloned().collect(),
            directory: directory.revision(),
        }
    }
}

/// Counts one request or connection as in progress.
pub struct Guard(Rc<Cell<usize>>);

impl Guard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
