//! State of one entry, shared by its connections on one thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use agateflow::direct::directory::{Change, Directory, Revision, Upstream};
use agateflow::direct::group::{self, Group};
use agateflow::direct::load::Load;
use agateflow::direct::{budget, config, peer, suspect};
use agateflow::event::Event;
use agateflow::{id, unit};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::{Notify, watch};

use super::channel::Pool;
use super::edge::Dialect;
use super::place::Service;
use crate::event;

/// Crashes that a heartbeat carries.
const MAX_CRASHES: usize = 16;

/// What an entry is started with.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its VM.
    pub vm: id::Vm,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the platform's balancer asks whether it is ready.
    pub ready: SocketAddr,
    /// Where other entries reach it, by UDP and TCP.
    pub peers: SocketAddr,
    /// Where its metrics are read.
    pub metrics: Option<SocketAddr>,
    /// Entries to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Bounds of retries.
    pub retries: budget::Limits,
    /// Time from the signal to end until the process is killed.
    pub grace: unit::Millis,
}

/// One entry.
pub struct Entry {
    /// What it was started with.
    pub options: Options,
    /// How the platform writes headers.
    pub dialect: Box<dyn Dialect>,
    /// Connections to upstreams.
    pub pool: Rc<Pool>,
    /// Where it logs.
    pub logger: slog::Logger,
    /// Upstreams listed.
    pub directory: RefCell<Directory>,
    /// Their load.
    pub load: RefCell<Load>,
    /// Other entries.
    pub peers: RefCell<peer::Table>,
    /// Agents of ranks.
    pub agents: RefCell<peer::Agents>,
    /// Requests that crash upstreams.
    pub suspects: RefCell<suspect::Register>,
    /// Queues and retry budgets by service.
    pub services: RefCell<IndexMap<id::Service, Service>>,
    /// Groups of ranks.
    pub groups: RefCell<IndexMap<group::Id, Group>>,
    /// Costs of requests at groups of ranks, as other entries have measured them.
    pub costs: RefCell<IndexMap<group::Id, f64>>,
    /// Random numbers of the decisions.
    pub rng: RefCell<Pcg64Mcg>,
    /// Asks for a heartbeat now.
    pub news: Notify,
    /// Whether the process is about to end.
    pub leaving: watch::Sender<bool>,
    crashes: RefCell<Vec<suspect::Crash>>,
    table: RefCell<Option<Rc<config::Table>>>,
    running: Cell<usize>,
    start: Instant,
}

impl Entry {
    /// Creates an entry that knows nothing yet.
    pub fn new(options: Options, dialect: Box<dyn Dialect>, logger: slog::Logger) -> Rc<Self> {
        let peers = peer::Table::new(options.peers, options.seeds.iter().copied());
        Rc::new(Self {
            dialect,
            pool: Rc::default(),
            logger,
            directory: RefCell::default(),
            load: RefCell::default(),
            peers: RefCell::new(peers),
            agents: RefCell::default(),
            suspects: RefCell::default(),
            services: RefCell::default(),
            groups: RefCell::default(),
            costs: RefCell::default(),
            rng: RefCell::new(Pcg64Mcg::from_rng(&mut rand::rng())),
            news: Notify::new(),
            leaving: watch::Sender::new(false),
            crashes: RefCell::default(),
            table: RefCell::new(None),
            running: Cell::new(0),
            start: Instant::now(),
            options,
        })
    }

    /// The time since the entry started, on the monotonic clock.
    pub fn now(&self) -> unit::Millis {
        unit::Millis::new(self.start.elapsed().as_millis() as u64)
    }

    /// The standard clock's instant of `at`.
    pub fn instant(&self, at: unit::Millis) -> tokio::time::Instant {
        (self.start + at.duration()).into()
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Rc<config::Table>> {
        self.table.borrow().clone()
    }

    /// Version of the configuration in force; zero before one is known.
    pub fn version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |table| table.version())
    }

    /// Puts a configuration in force, unless a newer one is. `source` says where it came from.
    pub fn configure(self: &Rc<Self>, config: config::Config, source: &str) {
        let old = self.version();
        if config.version <= old {
            return;
        }
        event!(self.logger, Event::VersionInForce; "version" => config.version, "before" => old,
            "routes" => config.routes.len(), "source" => source);
        *self.table.borrow_mut() = Some(Rc::new(config::Table::new(config)));
        self.news.notify_one();
        self.pump_all();
    }

    /// Takes in news of one upstream.
    pub fn list(self: &Rc<Self>, change: Change, revision: Revision) {
        match &change {
            Change::Listed(upstream) => event!(self.logger, Event::UpstreamListed;
                "upstream" => %upstream.vm, "service" => %upstream.service,
                "address" => %upstream.address, "state" => ?upstream.state, "open" => upstream.open,
                "revision" => %revision),
            Change::Removed(vm) => event!(self.logger, Event::UpstreamRemoved;
                "upstream" => %vm, "revision" => %revision),
        }
        let now = self.now();
        if let Change::Listed(upstream) = &change {
            let before = self.directory.borrow().get(&upstream.vm).cloned();
            self.relisted(before.as_ref(), upstream);
        }
        self.directory.borrow_mut().apply(change, revision, now);
        self.news.notify_one();
        self.pump_all();
    }

    /// Takes in the whole list of upstreams.
    pub fn list_all(self: &Rc<Self>, upstreams: Vec<Upstream>, revision: Revision, source: &str) {
        event!(self.logger, Event::DirectoryRead; "upstreams" => upstreams.len(),
            "revision" => %revision, "source" => source);
        let now = self.now();
        for upstream in &upstreams {
            let before = self.directory.borrow().get(&upstream.vm).cloned();
            self.relisted(before.as_ref(), upstream);
        }
        self.directory.borrow_mut().replace(upstreams, revision, now);
        self.pump_all();
    }

    /// Whether the entry can serve and is not about to end.
    pub fn is_ready(&self) -> bool {
        self.table.borrow().is_some()
            && self.directory.borrow().revision().number > 0
            && !self.is_leaving()
    }

    /// Whether the process is about to end.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Requests in progress.
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Counts a request until the guard is dropped.
    pub fn enter(self: &Rc<Self>) -> Running {
        self.running.set(self.running.get() + 1);
        Running(self.clone())
    }

    /// Entries that share limits.
    pub fn entries(&self) -> usize {
        self.peers.borrow().entry_count()
    }

    /// Records that `upstream` broke off with `request` in progress.
    pub fn crashed(&self, request: suspect::Fingerprint, upstream: &Upstream) {
        let lifetime = suspect::Incarnation::new(upstream.vm.as_str(), upstream.started_at);
        self.hear_crash(suspect::Crash { request, upstream: lifetime });
    }

    /// Takes in a crash. News is passed on with the next heartbeats.
    pub fn hear_crash(&self, crash: suspect::Crash) {
        let now = self.now();
        if !self.suspects.borrow_mut().record_crash(crash, now) {
            return;
        }
        let mut crashes = self.crashes.borrow_mut();
        if crashes.len() >= MAX_CRASHES {
            crashes.remove(0);
        }
        crashes.push(crash);
    }

    /// Crashes seen or heard of lately.
    pub fn crashes(&self) -> Vec<suspect::Crash> {
        self.crashes.borrow().clone()
    }

    /// What another entry needs to start.
    pub fn snapshot(&self) -> peer::Snapshot {
        let directory = self.directory.borrow();
        peer::Snapshot {
            config: self.table.borrow().as_ref().map(|table| table.config().clone()),
            upstreams: directory.iter().cloned().collect(),
            directory: directory.revision(),
        }
    }
}

/// A request in progress.
pub struct Running(Rc<Entry>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}
