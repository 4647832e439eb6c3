//! Handle through which the process's other services use the fleet service.

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use agateflow::fleet::{gossip, member, message, node, revision, summary};
use agateflow::wire::control;
use agateflow::{id, unit};
use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::{broadcast, mpsc, watch};

use super::counters::{Counters, Snapshot};

const ITEM_BACKLOG: usize = 1_024; // items buffered for a slow receiver

/// Snapshot of this process's view of the fleet.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Members of the process's data centre, live or not.
    pub members: Box<[Arc<member::Member>]>,
    /// Summaries of the other data centres.
    pub data_centres: Arc<summary::Table>,
}

/// A command from a handle to the service.
pub(super) enum Command {
    SetState(message::State),
    SetLoad(message::Load),
    Publish(gossip::Item),
    MarkRefused(id::Vm, id::Incarnation),
    SetSeeds(Vec<node::Seed>),
}

/// State shared between the service and its handles.
pub(super) struct Shared {
    pub(super) sender: message::Sender,
    pub(super) address: net::SocketAddr,
    pub(super) key: control::Key,
    pub(super) counters: Counters,
    pub(super) view: ArcSwap<View>,
    pub(super) document: ArcSwapOption<revision::Document>,
    pub(super) documents: watch::Sender<Option<Arc<revision::Document>>>,
    pub(super) rejection: ArcSwapOption<revision::Rejection>,
    pub(super) items: broadcast::Sender<gossip::Item>,
    pub(super) ready: AtomicBool,
    commands: mpsc::UnboundedSender<Command>,
    started_at: Instant,
}

/// Wall-clock time since the Unix epoch.
pub(super) fn wall_clock() -> unit::Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    unit::Millis::new(since.as_millis() as u64)
}

impl Shared {
    pub(super) fn new(
        sender: message::Sender,
        address: net::SocketAddr,
        key: control::Key,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<Command>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        let shared = Self {
            sender,
            address,
            key,
            counters: Counters::default(),
            view: ArcSwap::default(),
            document: ArcSwapOption::empty(),
            documents: watch::Sender::new(None),
            rejection: ArcSwapOption::empty(),
            items: broadcast::Sender::new(ITEM_BACKLOG),
            ready: AtomicBool::new(false),
            commands,
            started_at: Instant::now(),
        };
        (Arc::new(shared), receiver)
    }

    /// Monotonic time since the start of the service.
    pub(super) fn now(&self) -> unit::Millis {
        unit::Millis::new(self.started_at.elapsed().as_millis() as u64)
    }

    /// Creates a message for a stream, without a sequence number.
    pub(super) fn stream_message(&self, body: message::Body) -> message::Message {
        let document = self.document.load();
        let header = document.as_ref().map(|d| (d.revision, d.tag())).unwrap_or_default();
        let (revision, tag) = header;
        let state = message::State::Serving;
        let sender = self.sender.clone();
        message::Message { sender, sequence: 0, state, revision, tag, brief: false, body }
    }
}

/// Handle of the fleet service. The service ends when the last handle is dropped.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

impl Handle {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Identity of the process in its messages.
    pub fn sender(&self) -> &message::Sender {
        &self.shared.sender
    }

    /// Control address of the process.
    pub fn address(&self) -> net::SocketAddr {
        self.shared.address
    }

    /// Time since the start of the service, the clock of grants and of the times in the view.
    pub fn now(&self) -> unit::Millis {
        self.shared.now()
    }

    /// The latest view of the fleet.
    pub fn view(&self) -> Arc<View> {
        self.shared.view.load_full()
    }

    /// The configuration in force.
    pub fn document(&self) -> Option<Arc<revision::Document>> {
        self.shared.document.load_full()
    }

    /// Subscribes to changes of the configuration in force.
    pub fn documents(&self) -> watch::Receiver<Option<Arc<revision::Document>>> {
        self.shared.documents.subscribe()
    }

    /// The last document that was rejected.
    pub fn rejection(&self) -> Option<Arc<revision::Rejection>> {
        self.shared.rejection.load_full()
    }

    /// Subscribes to gossip items from peers.
    pub fn items(&self) -> broadcast::Receiver<gossip::Item> {
        self.shared.items.subscribe()
    }

    /// Whether a configuration is in force and peers were asked for a higher revision.
    pub fn is_ready(&self) -> bool {
        self.shared.ready.load(Ordering::Relaxed)
    }

    /// Current values of the counters.
    pub fn counters(&self) -> Snapshot {
        self.shared.counters.snapshot()
    }

    /// Announces whether the process accepts new work. `Leaving` is final.
    pub fn set_state(&self, state: message::State) {
        self.send_command(Command::SetState(state));
    }

    /// Sets the load to report in the next heartbeat.
    pub fn set_load(&self, load: message::Load) {
        self.send_command(Command::SetLoad(load));
    }

    /// Publishes an item to the entries of all data centres.
    pub fn publish(&self, item: gossip::Item) {
        self.send_command(Command::Publish(item));
    }

    /// Marks a member as suspect because it refused a connection.
    pub fn mark_refused(&self, name: &id::Vm, incarnation: id::Incarnation) {
        self.send_command(Command::MarkRefused(name.clone(), incarnation));
    }

    /// Replaces the addresses of possible peers.
    pub fn set_seeds(&self, seeds: Vec<node::Seed>) {
        self.send_command(Command::SetSeeds(seeds));
    }

    fn send_command(&self, command: Command) {
        // Fails only while the runtime shuts down: the service runs as long as a handle exists.
        let _ = self.shared.commands.send(command);
    }
}
