//! Entry side of links: one connection to each upstream process, reopened when it is lost.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agateflow::event;
use agateflow::id;
use agateflow::unit;
use agateflow::wire;
use indexmap::IndexMap;
use rand::Rng;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time;
use tokio_util::task::AbortOnDropHandle;

use crate::error::Error;
use crate::link::{Identity, Peer, handshake, stream};

/// Timeout to open and authenticate a link.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Bounds of the exponential delay between attempts to open a link.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A link event for one attempt.
pub enum Event {
    /// A frame arrived from this incarnation.
    Frame(id::Incarnation, wire::Frame),
    /// The link to this incarnation was lost.
    Lost(id::Incarnation),
    /// A new link to the same incarnation is open.
    Reopened(Link),
    /// This incarnation was replaced by another one at its address.
    Replaced(id::Incarnation),
}

type Subscribers = Arc<Mutex<HashMap<id::Attempt, mpsc::UnboundedSender<Event>>>>;

/// An open link.
#[derive(Clone)]
pub struct Link {
    /// The upstream process at the remote end.
    pub peer: Peer,
    queue: mpsc::Sender<wire::Frame>,
    subscribers: Subscribers,
}

impl Link {
    /// Sends events of an attempt to `events` until the subscription is dropped. The channel is
    /// bounded by the flow-control window that the upstream process respects.
    pub fn subscribe(&self, id: id::Attempt, events: mpsc::UnboundedSender<Event>) -> Subscription {
        lock(&self.subscribers).insert(id, events);
        Subscription { id, subscribers: self.subscribers.clone() }
    }

    /// Queues a frame. Returns `false` if the link is lost or the queue is full.
    pub fn try_send(&self, frame: wire::Frame) -> bool {
        self.queue.try_send(frame).is_ok()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Subscription to the events of one attempt; ends when dropped.
pub struct Subscription {
    id: id::Attempt,
    subscribers: Subscribers,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        lock(&self.subscribers).remove(&self.id);
    }
}

/// Address of an upstream process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of its VM.
    pub vm: id::Vm,
    /// Address on which it accepts links.
    pub address: SocketAddr,
}

struct Slot {
    target: Target,
    link: watch::Receiver<Option<Link>>,
    _task: AbortOnDropHandle<()>,
}

/// Links to all upstream processes in the configuration.
pub struct Links {
    identity: Identity,
    revision: watch::Receiver<unit::Revision>,
    logger: slog::Logger,
    slots: Mutex<IndexMap<id::Vm, Slot>>,
}

impl Links {
    /// Creates an empty set of links.
    pub fn new(
        identity: Identity,
        revision: watch::Receiver<unit::Revision>,
        logger: slog::Logger,
    ) -> Self {
        Self { identity, revision, logger, slots: Mutex::default() }
    }

    /// Opens links to new targets and closes links to targets that were removed or have moved.
    pub fn set_targets(&self, targets: &[Target]) {
        let mut slots = lock(&self.slots);
        slots.retain(|_, slot| targets.contains(&slot.target));
        for target in targets {
            if !slots.contains_key(&target.vm) {
                slots.insert(target.vm.clone(), self.open(target));
            }
        }
    }

    /// The link to `vm`, if it is open.
    pub fn get(&self, vm: &id::Vm) -> Option<Link> {
        let slots = lock(&self.slots);
        let slot = slots.get(vm)?;
        slot.link.borrow().clone()
    }

    /// Number of open links.
    pub fn open_count(&self) -> usize {
        lock(&self.slots).values().filter(|slot| slot.link.borrow().is_some()).count()
    }

    fn open(&self, target: &Target) -> Slot {
        let (link_sender, link) = watch::channel(None);
        let connector = Connector {
            identity: self.identity.clone(),
            revision: self.revision.clone(),
            target: target.clone(),
            logger: self.logger.clone(),
            link_sender,
        };
        let task = AbortOnDropHandle::new(tokio::spawn(connector.run()));
        Slot { target: target.clone(), link, _task: task }
    }
}

/// Keeps the link to one target open, with retries.
struct Connector {
    identity: Identity,
    revision: watch::Receiver<unit::Revision>,
    target: Target,
    logger: slog::Logger,
    link_sender: watch::Sender<Option<Link>>,
}

impl Connector {
    async fn run(self) {
        let mut delay = MIN_RETRY_DELAY;
        loop {
            match self.connect().await {
                Ok(error) => {
                    delay = MIN_RETRY_DELAY;
                    crate::event!(self.logger, event::Event::LinkLost;
                        "vm" => %self.target.vm, "cause" => %error);
                }
                Err(error) => {
                    crate::event!(self.logger, event::Event::LinkFailed;
                        "vm" => %self.target.vm, "cause" => %error);
                }
            }
            time::sleep(jitter(delay)).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Opens one connection and serves it until it is lost. Returns the cause of the loss.
    async fn connect(&self) -> Result<Error, Error> {
        let address = self.target.address;
        let timeout = Error::Timeout { step: "open link to", peer: address };
        let open = time::timeout(OPEN_TIMEOUT, self.open());
        let (peer, mut reader, writer) = open.await.map_err(|_| timeout)??;
        crate::event!(self.logger, event::Event::LinkUp;
            "vm" => %peer.vm, "incarnation" => %peer.incarnation);

        let (queue, frames) = mpsc::channel(stream::QUEUE_FRAMES);
        let subscribers = Subscribers::default();
        let incarnation = peer.incarnation;
        let link = Link { peer, queue, subscribers: subscribers.clone() };
        self.link_sender.send_replace(Some(link));
        let error = tokio::select! {
            error = dispatch(&mut reader, &subscribers, (incarnation, address)) => error,
            result = stream::write_all(writer, address, frames) => match result {
                Ok(()) => Error::Closed { step: "write frame to", peer: address },
                Err(error) => error,
            },
        };
        self.link_sender.send_replace(None);
        self.notify_lost(&subscribers, incarnation);
        Ok(error)
    }

    /// Notifies each attempt of the lost link, and later of the link that replaces it.
    fn notify_lost(&self, subscribers: &Subscribers, incarnation: id::Incarnation) {
        let senders: Vec<_> = lock(subscribers).drain().map(|(_, events)| events).collect();
        for events in senders {
            if events.send(Event::Lost(incarnation)).is_ok() {
                tokio::spawn(notify_reconnect(self.link_sender.subscribe(), events, incarnation));
            }
        }
    }

    async fn open(&self) -> Result<(Peer, stream::Reader, tokio::net::tcp::OwnedWriteHalf), Error> {
        let address = self.target.address;
        let socket = TcpStream::connect(address).await;
        let socket = socket.map_err(|source| Error::Socket {
            step: "open link to",
            peer: address,
            source,
        })?;
        socket.set_nodelay(true).map_err(|source| Error::Socket {
            step: "open link to",
            peer: address,
            source,
        })?;
        let (reader, mut writer) = socket.into_split();
        let mut reader = stream::Reader::new(reader, address);
        let revision = *self.revision.borrow();
        let halves = (&mut reader, &mut writer);
        let peer =
            handshake::connect(&self.identity, &self.target.vm, revision, halves, address).await?;
        Ok((peer, reader, writer))
    }
}

/// Waits for the link that replaces a lost one, unless the request ends first.
async fn notify_reconnect(
    mut link: watch::Receiver<Option<Link>>,
    events: mpsc::UnboundedSender<Event>,
    incarnation: id::Incarnation,
) {
    let next = async {
        let open = link.wait_for(Option::is_some).await.ok()?;
        open.clone()
    };
    let next = tokio::select! {
        next = next => next,
        () = events.closed() => None,
    };
    let event = match next {
        Some(link) if link.peer.incarnation == incarnation => Event::Reopened(link),
        Some(_) => Event::Replaced(incarnation),
        None => return,
    };
    // Fails if the request has just ended.
    let _ = events.send(event);
}

/// Forwards each frame to the subscribed request. Late frames without a subscriber are dropped.
async fn dispatch(
    reader: &mut stream::Reader,
    subscribers: &Subscribers,
    (incarnation, peer): (id::Incarnation, SocketAddr),
) -> Error {
    loop {
        match reader.next().await {
            Ok(Some(frame)) => {
                let subscriber = frame.id().and_then(|id| lock(subscribers).get(&id).cloned());
                if let Some(sender) = subscriber {
                    // Fails if the request has just ended.
                    let _ = sender.send(Event::Frame(incarnation, frame));
                }
            }
            Ok(None) => return Error::Closed { step: "read frame from", peer },
            Err(error) => return error,
        }
    }
}

fn jitter(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(0.5..1.0))
}
