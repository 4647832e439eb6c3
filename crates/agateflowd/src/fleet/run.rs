//! The loop that owns the datagram socket and the control machine.

use std::io;
use std::net;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};

use agateflow::fleet::{message, node, watch};
use agateflow::wire::control;
use agateflow::{fleet, unit};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time;

use super::counters::Counters;
use super::error::Error;
use super::handle::{Command, Shared, View};
use super::{fetch, service};

const BURST: usize = 64; // datagrams taken in before anything else
const BIND_TRIES: usize = 16;
const CALL_MARGIN: unit::Millis = unit::Millis::new(2_000); // beyond the wait of a watch
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;

/// What a task outside the loop brings back.
enum Event {
    Fetched(Option<Arc<[u8]>>),
    Answered(watch::Answer),
}

/// Binds the same port for datagrams and for streams.
pub(super) async fn bind(address: net::SocketAddr) -> Result<(UdpSocket, TcpListener), Error> {
    let mut last = None;
    for _ in 0..BIND_TRIES {
        let tcp = TcpListener::bind(address).await.map_err(|e| Error::io("bind", address, e))?;
        let bound = tcp.local_addr().map_err(|e| Error::io("bind", address, e))?;
        match bind_udp(bound) {
            Ok(udp) => return Ok((udp, tcp)),
            Err(e) => last = Some(e),
        }
        if address.port() != 0 {
            break;
        }
    }
    let cause = last.unwrap_or_else(|| io::ErrorKind::AddrInUse.into());
    Err(Error::io("bind", address, cause))
}

fn bind_udp(address: net::SocketAddr) -> io::Result<UdpSocket> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::DGRAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}

/// The running service.
pub(super) struct Loop {
    node: node::Node,
    udp: UdpSocket,
    client: Arc<service::Client>,
    shared: Weak<Shared>,
    events: mpsc::UnboundedSender<Event>,
    incoming: mpsc::UnboundedReceiver<Event>,
    changed: bool,
    summaries_changed: bool,
}

impl Loop {
    pub(super) fn new(
        node: node::Node,
        udp: UdpSocket,
        client: service::Client,
        shared: &Arc<Shared>,
    ) -> Self {
        let (events, incoming) = mpsc::unbounded_channel();
        let shared = Arc::downgrade(shared);
        let client = Arc::new(client);
        Self {
            node,
            udp,
            client,
            shared,
            events,
            incoming,
            changed: false,
            summaries_changed: false,
        }
    }

    pub(super) async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut ticks = time::interval(fleet::TICK.duration());
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut buffer = [0; control::MAX_DATAGRAM_BYTES + 1];
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    let Some(shared) = self.shared.upgrade() else { return };
                    self.tick(&shared);
                }
                received = self.udp.recv_from(&mut buffer) => {
                    let Some(shared) = self.shared.upgrade() else { return };
                    self.receive_burst(received, &mut buffer, &shared);
                }
                Some(event) = self.incoming.recv() => {
                    let Some(shared) = self.shared.upgrade() else { return };
                    self.take_event(event, &shared);
                }
                command = commands.recv() => {
                    let Some(command) = command else { return };
                    let Some(shared) = self.shared.upgrade() else { return };
                    self.obey(command, &shared);
                }
            }
        }
    }

    fn tick(&mut self, shared: &Arc<Shared>) {
        let now = shared.now();
        let outputs = self.node.tick(now);
        self.act(outputs, shared);
        shared.ready.store(self.node.is_ready(now), Ordering::Relaxed);
        if self.changed {
            self.publish_view(shared);
        }
        let ignored = self.node.ignored();
        shared.counters.replayed.store(ignored.replayed, Ordering::Relaxed);
        shared.counters.late.store(ignored.late, Ordering::Relaxed);
        shared.counters.superseded.store(ignored.superseded, Ordering::Relaxed);
        shared.counters.misplaced.store(ignored.misplaced + ignored.full, Ordering::Relaxed);
    }

    fn publish_view(&mut self, shared: &Shared) {
        let members = self.node.members().all().cloned().collect();
        let data_centres = match self.summaries_changed {
            true => Arc::new(self.node.summaries().clone()),
            false => shared.view.load().data_centres.clone(),
        };
        shared.view.store(Arc::new(View { members, data_centres }));
        self.changed = false;
        self.summaries_changed = false;
    }

    fn receive_burst(
        &mut self,
        first: io::Result<(usize, net::SocketAddr)>,
        buffer: &mut [u8],
        shared: &Arc<Shared>,
    ) {
        let mut received = first;
        for _ in 0..BURST {
            // An error here is a peer's refusal of an earlier datagram: silence will tell.
            let Ok((length, from)) = received else { return };
            self.receive(&buffer[..length], from, shared);
            received = self.udp.try_recv_from(buffer);
        }
        if let Ok((length, from)) = received {
            self.receive(&buffer[..length], from, shared);
        }
    }

    fn receive(&mut self, bytes: &[u8], from: net::SocketAddr, shared: &Arc<Shared>) {
        let counters = &shared.counters;
        counters.received_datagram(bytes.len());
        let known = |short| self.node.sender(short).cloned();
        let message = match control::decode(bytes, &shared.key, &known) {
            Ok(message) => message,
            Err(error) => return count(counters, &error),
        };
        self.changed = true;
        self.summaries_changed |= matches!(message.body, message::Body::Summary(_));
        let outputs = self.node.receive(message, from, shared.now());
        self.act(outputs, shared);
    }

    fn take_event(&mut self, event: Event, shared: &Arc<Shared>) {
        let now = shared.now();
        let outputs = match event {
            Event::Fetched(bytes) => self.node.fetched(bytes.as_deref(), now),
            Event::Answered(answer) => self.node.answered(&answer, now),
        };
        self.act(outputs, shared);
    }

    fn obey(&mut self, command: Command, shared: &Arc<Shared>) {
        let now = shared.now();
        match command {
            Command::State(state) => self.node.set_state(state, now),
            Command::Load(load) => self.node.set_load(load),
            Command::Seeds(seeds) => self.node.set_seeds(seeds),
            Command::Refuse(name, incarnation) => self.node.refuse(&name, incarnation),
            Command::Publish(item) => {
                self.node.publish(&item, now);
            }
        }
        self.changed = true;
    }

    fn act(&mut self, outputs: Vec<node::Output>, shared: &Arc<Shared>) {
        for output in outputs {
            match output {
                node::Output::Send(to, message) => self.send(&to, &message, shared),
                node::Output::Fetch(from) => self.fetch(from, shared),
                node::Output::Call(call) => self.call(call, shared),
                node::Output::InForce(document) => {
                    shared.document.store(Some(document.clone()));
                    shared.documents.send_replace(Some(document));
                }
                node::Output::Rejected(rejection) => {
                    Counters::add(&shared.counters.rejections, 1);
                    shared.rejection.store(Some(Arc::new(rejection)));
                }
                node::Output::Item(item) => {
                    let _ = shared.items.send(item); // nobody may be listening
                }
                node::Output::Member(..) => self.changed = true,
            }
        }
    }

    fn send(&self, to: &[net::SocketAddr], message: &message::Message, shared: &Shared) {
        let Ok(bytes) = control::encode(message, &shared.key, control::MAX_DATAGRAM_BYTES) else {
            Counters::add(&shared.counters.unsent, to.len() as u64);
            return;
        };
        for address in to {
            match self.udp.try_send_to(&bytes, *address) {
                Ok(_) => shared.counters.sent_datagram(bytes.len()),
                Err(_) => Counters::add(&shared.counters.unsent, 1),
            }
        }
    }

    fn fetch(&self, from: net::SocketAddr, shared: &Arc<Shared>) {
        let (events, shared) = (self.events.clone(), shared.clone());
        tokio::spawn(async move {
            let result = fetch::fetch(from, &shared).await;
            let counter = match &result {
                Ok(_) => &shared.counters.fetches,
                Err(_) => &shared.counters.failed_fetches,
            };
            Counters::add(counter, 1);
            let _ = events.send(Event::Fetched(result.ok())); // the loop may have ended
        });
    }

    fn call(&self, call: watch::Call, shared: &Arc<Shared>) {
        let (events, shared) = (self.events.clone(), shared.clone());
        let client = self.client.clone();
        tokio::spawn(async move {
            Counters::add(&shared.counters.calls, 1);
            let limit = watch::POLL + CALL_MARGIN;
            let timeout = |_| Error::Timeout { step: "call", peer: client.address() };
            let called = time::timeout(limit.duration(), client.call(call, &shared.counters)).await;
            let answer = called.map_err(timeout).and_then(|answer| answer).unwrap_or_else(|_| {
                Counters::add(&shared.counters.failed_calls, 1);
                watch::Answer::Failed
            });
            let _ = events.send(Event::Answered(answer)); // the loop may have ended
        });
    }
}

fn count(counters: &Counters, error: &control::Error) {
    let counter = match error {
        control::Error::Code | control::Error::Length(_) => &counters.unauthentic,
        control::Error::Decode(_) => &counters.undecodable,
        control::Error::Unknown => &counters.unknown,
        control::Error::UnknownSender => &counters.strangers,
    };
    Counters::add(counter, 1);
}
