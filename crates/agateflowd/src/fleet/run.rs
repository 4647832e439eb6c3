//! Event loop that owns the datagram socket and the node.

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
use crate::direct::socket;

const MAX_BURST: usize = 64; // datagrams received before other events are handled
const MAX_BIND_ATTEMPTS: usize = 16;
const CALL_MARGIN: unit::Millis = unit::Millis::new(2_000); // on top of the long-poll timeout
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;

/// Result of a task spawned by the loop.
enum Event {
    Fetched(Option<Arc<[u8]>>),
    Answered(watch::Answer),
}

/// Binds the same port for UDP and TCP, with retries if the port is 0.
pub(super) async fn bind(address: net::SocketAddr) -> Result<(UdpSocket, TcpListener), Error> {
    let mut last = None;
    for _ in 0..MAX_BIND_ATTEMPTS {
        let tcp = socket::listen_links(address).map_err(|e| Error::io("bind", address, e))?;
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

/// State of the event loop.
pub(super) struct Loop {
    node: node::Node,
    udp: UdpSocket,
    client: Arc<service::Client>,
    shared: Weak<Shared>,
    event_sender: mpsc::UnboundedSender<Event>,
    event_receiver: mpsc::UnboundedReceiver<Event>,
    view_outdated: bool,
    summaries_outdated: bool,
}

impl Loop {
    pub(super) fn new(
        node: node::Node,
        udp: UdpSocket,
        client: service::Client,
        shared: &Arc<Shared>,
    ) -> Self {
        let (event_sender, event_receiver) = mpsc::unbounded_channel();
        let shared = Arc::downgrade(shared);
        let client = Arc::new(client);
        Self {
            node,
            udp,
            client,
            shared,
            event_sender,
            event_receiver,
            view_outdated: false,
            summaries_outdated: false,
        }
    }

    pub(super) async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut ticks = time::interval(fleet::TICK_INTERVAL.duration());
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
                Some(event) = self.event_receiver.recv() => {
                    let Some(shared) = self.shared.upgrade() else { return };
                    self.handle_event(event, &shared);
                }
                command = commands.recv() => {
                    let Some(command) = command else { return };
                    let Some(shared) = self.shared.upgrade() else { return };
                    self.handle_command(command, &shared);
                }
            }
        }
    }

    fn tick(&mut self, shared: &Arc<Shared>) {
        let now = shared.now();
        let outputs = self.node.tick(now);
        self.handle_outputs(outputs, shared);
        shared.ready.store(self.node.is_ready(now), Ordering::Relaxed);
        if self.view_outdated {
            self.publish_view(shared);
        }
        let ignored = self.node.ignored();
        shared.counters.replayed.store(ignored.replayed, Ordering::Relaxed);
        shared.counters.late.store(ignored.late, Ordering::Relaxed);
        shared.counters.superseded.store(ignored.superseded, Ordering::Relaxed);
        shared.counters.misplaced.store(ignored.misplaced + ignored.full, Ordering::Relaxed);
    }

    fn publish_view(&mut self, shared: &Shared) {
        let members = self.node.members().iter().cloned().collect();
        let data_centres = match self.summaries_outdated {
            true => Arc::new(self.node.summaries().clone()),
            false => shared.view.load().data_centres.clone(),
        };
        shared.view.store(Arc::new(View { members, data_centres }));
        self.view_outdated = false;
        self.summaries_outdated = false;
    }

    fn receive_burst(
        &mut self,
        first: io::Result<(usize, net::SocketAddr)>,
        buffer: &mut [u8],
        shared: &Arc<Shared>,
    ) {
        let mut received = first;
        for _ in 0..MAX_BURST {
            // An error reports a refused earlier datagram; missing heartbeats detect such peers.
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
            Err(error) => return count_error(counters, &error),
        };
        self.view_outdated = true;
        self.summaries_outdated |= matches!(message.body, message::Body::Summary(_));
        let outputs = self.node.receive(message, from, shared.now());
        self.handle_outputs(outputs, shared);
    }

    fn handle_event(&mut self, event: Event, shared: &Arc<Shared>) {
        let now = shared.now();
        let outputs = match event {
            Event::Fetched(bytes) => self.node.handle_fetched(bytes.as_deref(), now),
            Event::Answered(answer) => self.node.handle_answer(&answer, now),
        };
        self.handle_outputs(outputs, shared);
    }

    fn handle_command(&mut self, command: Command, shared: &Arc<Shared>) {
        let now = shared.now();
        match command {
            Command::SetState(state) => self.node.set_state(state, now),
            Command::SetLoad(load) => self.node.set_load(load),
            Command::SetSeeds(seeds) => self.node.set_seeds(seeds),
            Command::MarkRefused(name, incarnation) => self.node.mark_refused(&name, incarnation),
            Command::Publish(item) => {
                self.node.publish(&item, now);
            }
        }
        self.view_outdated = true;
    }

    fn handle_outputs(&mut self, outputs: Vec<node::Output>, shared: &Arc<Shared>) {
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
                    let _ = shared.items.send(item); // there may be no receiver
                }
                node::Output::Member(..) => self.view_outdated = true,
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
        let (event_sender, shared) = (self.event_sender.clone(), shared.clone());
        tokio::spawn(async move {
            let result = fetch::fetch(from, &shared).await;
            let counter = match &result {
                Ok(_) => &shared.counters.fetches,
                Err(_) => &shared.counters.failed_fetches,
            };
            Counters::add(counter, 1);
            let _ = event_sender.send(Event::Fetched(result.ok())); // the loop may have ended
        });
    }

    fn call(&self, call: watch::Call, shared: &Arc<Shared>) {
        let (event_sender, shared) = (self.event_sender.clone(), shared.clone());
        let client = self.client.clone();
        tokio::spawn(async move {
            Counters::add(&shared.counters.calls, 1);
            let limit = watch::POLL_TIMEOUT + CALL_MARGIN;
            let timeout = |_| Error::Timeout { step: "call", peer: client.address() };
            let called = time::timeout(limit.duration(), client.call(call, &shared.counters)).await;
            let answer = called.map_err(timeout).and_then(|answer| answer).unwrap_or_else(|_| {
                Counters::add(&shared.counters.failed_calls, 1);
                watch::Answer::Failed
            });
            let _ = event_sender.send(Event::Answered(answer)); // the loop may have ended
        });
    }
}

fn count_error(counters: &Counters, error: &control::Error) {
    let counter = match error {
        control::Error::Code | control::Error::Length(_) => &counters.unauthentic,
        control::Error::Decode(_) => &counters.undecodable,
        control::Error::Unknown => &counters.unknown,
        control::Error::UnknownSender => &counters.strangers,
    };
    Counters::add(counter, 1);
}
