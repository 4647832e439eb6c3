//! Control-plane state machine of one process: membership, configuration, summaries and gossip.
//!
//! It does no I/O: it takes messages, answers and ticks, each with the current time, and returns
//! outputs to execute. The service around it owns sockets and timers.

mod tick;

use std::fmt;
use std::net;
use std::sync::Arc;

use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{gossip, member, message, rendezvous, replay, revision, summary, watch};
use crate::{id, unit};

/// Time for which an address from a directory or heartbeat is used without being refreshed.
pub const CONTACT_TTL: unit::Millis = unit::Millis::new(45_000);
/// Time after which an unfinished fetch is abandoned.
pub const FETCH_TIMEOUT: unit::Millis = unit::Millis::new(5_000);
/// Time after a heartbeat for which attempts that rely on it are valid.
pub const GRANT_PERIOD: unit::Millis = unit::Millis::new(10_000);
const MAX_CONTACTS: usize = 4_096;

/// A configured address of a possible peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Data centre of the peer; if unknown, it is probed as a peer of this data centre.
    pub data_centre: Option<id::DataCentre>,
    /// Control address of the peer.
    pub address: net::SocketAddr,
}

/// Returns the group or plain service that a VM belongs to.
pub type GroupOf = dyn Fn(&id::Vm) -> Option<Box<str>> + Send + Sync;

/// Parameters of a node.
#[derive(Clone)]
pub struct Setup {
    /// Identity of this process.
    pub sender: message::Sender,
    /// Control address of this process.
    pub address: net::SocketAddr,
    /// Addresses of possible peers: hints, no evidence of whether a process runs.
    pub seeds: Vec<Seed>,
    /// Validates documents.
    pub validate: Arc<revision::Validator>,
    /// Returns the group of a VM, for summaries.
    pub group_of: Arc<GroupOf>,
}

/// An action for the service around the node to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send the message to each address.
    Send(Vec<net::SocketAddr>, message::Message),
    /// Fetch the document in force from a peer, then call [`Node::handle_fetched`].
    Fetch(net::SocketAddr),
    /// Call the configuration service, then call [`Node::handle_answer`].
    Call(watch::Call),
    /// A document came into force.
    InForce(Arc<revision::Document>),
    /// A document was rejected; the one in force stays.
    Rejected(revision::Rejection),
    /// A new item arrived from a peer.
    Item(gossip::Item),
    /// A member joined or was replaced.
    Member(id::Vm, member::Change),
}

/// Counts of ignored messages, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ignored {
    /// Replays of a message received before.
    pub replayed: u64,
    /// Heartbeats older than the last one.
    pub late: u64,
    /// Heartbeats from replaced incarnations.
    pub superseded: u64,
    /// Brief messages without an earlier full heartbeat.
    pub unknown_senders: u64,
    /// Messages of a kind or from a data centre that this process does not handle.
    pub misplaced: u64,
    /// Heartbeats that did not fit into the member table.
    pub full: u64,
}

#[derive(Clone, Debug)]
struct Peer {
    role: message::Role,
    address: net::SocketAddr,
    expires_at: unit::Millis,
    introduced: bool, // a full heartbeat was sent there
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    revision: unit::Revision,
    tag: u32,
    address: net::SocketAddr,
}

#[derive(Clone, Copy, Debug)]
struct Notice {
    revision: unit::Revision,
    tag: u32,
    count: u32,
    next_at: unit::Millis,
}

/// Control-plane state machine of one process.
pub struct Node {
    setup: Setup,
    rng: Pcg64Mcg,
    started: unit::Millis,
    sequence: u64,
    state: message::State,
    load: message::Load,
    members: member::Table,
    contacts: IndexMap<id::Vm, Peer>,
    replays: replay::Windows,
    revisions: revision::Store,
    watch: watch::Watch,
    items: gossip::Store,
    summaries: summary::Table,
    candidate: Option<Candidate>,
    fetch_started: Option<unit::Millis>,
    notices: IndexMap<id::Vm, Notice>,
    service_answered_at: Option<unit::Millis>,
    peer_has_revision: bool,
    ignored: Ignored,
    timers: tick::Timers,
    summary_version: u64,
    outputs: Vec<Output>,
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Node({})", self.setup.sender.name)
    }
}

impl Node {
    /// Creates the node of a process that starts at `now`; `seed` seeds its random choices.
    pub fn new(setup: Setup, seed: u64, now: unit::Millis) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let timers = tick::Timers::new(now, setup.sender.role, &mut rng);
        Self {
            setup,
            rng,
            started: now,
            sequence: 0,
            state: message::State::Starting,
            load: message::Load::default(),
            members: member::Table::new(),
            contacts: IndexMap::new(),
            replays: replay::Windows::new(),
            revisions: revision::Store::new(),
            watch: watch::Watch::new(now),
            items: gossip::Store::new(),
            summaries: summary::Table::new(),
            candidate: None,
            fetch_started: None,
            notices: IndexMap::new(),
            service_answered_at: None,
            peer_has_revision: false,
            ignored: Ignored::default(),
            timers,
            summary_version: 0,
            outputs: Vec::new(),
        }
    }

    /// Handles a message received from `address`.
    pub fn receive(
        &mut self,
        message: message::Message,
        address: net::SocketAddr,
        now: unit::Millis,
    ) -> Vec<Output> {
        let sender = &message.sender;
        if sender.incarnation == self.setup.sender.incarnation {
            self.ignored.misplaced += 1;
            return self.take_outputs();
        }
        if message.brief && self.members.sender(sender.incarnation.get() as u64).is_none() {
            self.ignored.unknown_senders += 1;
            return self.take_outputs();
        }
        if !self.replays.insert(sender.incarnation, message.sequence) {
            self.ignored.replayed += 1;
            return self.take_outputs();
        }
        self.peer_has_revision |= message.revision > unit::Revision::ZERO;
        let local = sender.data_centre == self.setup.sender.data_centre;
        if local {
            self.members.record_header(&message);
        }
        self.update_candidate(&message, address);
        match (&message.body, local) {
            (message::Body::Heartbeat(heartbeat), true) => {
                self.handle_heartbeat(&message, *heartbeat, address, now);
            }
            (message::Body::GetDirectory { upstreams }, true) => {
                self.handle_get_directory(*upstreams, address, now);
            }
            (message::Body::Directory(contacts), true) => self.handle_directory(contacts, now),
            (message::Body::Summary(summary), _) => self.handle_summary(summary, &sender.name, now),
            (message::Body::Items(items), _) => self.handle_items(items, now),
            (message::Body::Notice, _) => {}
            _ => self.ignored.misplaced += 1,
        }
        self.start_fetch(now);
        self.take_outputs()
    }

    /// Handles the result of the last fetch: the document's bytes, or `None` if it failed.
    pub fn handle_fetched(&mut self, document: Option<&[u8]>, now: unit::Millis) -> Vec<Output> {
        self.fetch_started = None;
        if let Some(bytes) = document {
            self.offer(bytes, now);
        }
        self.take_outputs()
    }

    /// Handles the answer to the last call to the configuration service.
    pub fn handle_answer(&mut self, answer: &watch::Answer, now: unit::Millis) -> Vec<Output> {
        let failing = self.watch.is_failing();
        self.watch.handle_answer(answer, now);
        if failing != self.watch.is_failing() {
            self.timers.heartbeat = now; // so that others take over or stop calling soon
        }
        self.service_answered_at = self.service_answered_at.max(self.watch.answered_at());
        if let watch::Answer::Value(_, bytes) = answer {
            self.offer(bytes, now);
        }
        self.take_outputs()
    }

    /// Sets whether the process accepts new work and announces it with an immediate heartbeat.
    pub fn set_state(&mut self, state: message::State, now: unit::Millis) {
        if self.state != state && self.state != message::State::Leaving {
            self.state = state;
            self.timers.heartbeat = now;
        }
    }

    /// Sets the load to report in the next heartbeat.
    pub fn set_load(&mut self, load: message::Load) {
        self.load = load;
    }

    /// Replaces the addresses of possible peers.
    pub fn set_seeds(&mut self, seeds: Vec<Seed>) {
        self.setup.seeds = seeds;
    }

    /// Publishes an item to the entries of all data centres. Returns whether it was new and valid.
    pub fn publish(&mut self, item: &gossip::Item, now: unit::Millis) -> bool {
        self.items.insert(item, now)
    }

    /// Marks a member as suspect until its next heartbeat, because it refused a connection.
    pub fn mark_refused(&mut self, name: &id::Vm, incarnation: id::Incarnation) {
        self.members.mark_refused(name, incarnation);
    }

    /// Whether a document is in force and peers were asked for a higher revision first.
    pub fn is_ready(&self, now: unit::Millis) -> bool {
        let peers_asked = self.peer_has_revision || now >= self.started + watch::STARTUP_GRACE;
        self.revisions.current().is_some() && peers_asked
    }

    /// Members of the process's data centre.
    pub fn members(&self) -> &member::Table {
        &self.members
    }

    /// Summaries of the other data centres.
    pub fn summaries(&self) -> &summary::Table {
        &self.summaries
    }

    /// The configuration in force and the last rejections.
    pub fn revisions(&self) -> &revision::Store {
        &self.revisions
    }

    /// The gossiped items.
    pub fn items(&self) -> &gossip::Store {
        &self.items
    }

    /// Counts of ignored messages.
    pub fn ignored(&self) -> Ignored {
        self.ignored
    }

    /// Whether the process accepts new work.
    pub fn state(&self) -> message::State {
        self.state
    }

    /// Resolves the sender of brief messages from the lower 64 bits of its incarnation.
    pub fn sender(&self, short: u64) -> Option<&message::Sender> {
        self.members.sender(short)
    }

    /// Creates the next message of this process, with `body` as payload.
    pub fn message(&mut self, body: message::Body) -> message::Message {
        self.sequence += 1;
        let (revision, tag) = self.revisions.header();
        let sender = self.setup.sender.clone();
        let (sequence, state) = (self.sequence, self.state);
        message::Message { sender, sequence, state, revision, tag, brief: false, body }
    }

    fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    fn send(&mut self, to: Vec<net::SocketAddr>, body: message::Body) {
        if !to.is_empty() {
            let message = self.message(body);
            self.outputs.push(Output::Send(to, message));
        }
    }

    fn is_entry(&self) -> bool {
        self.setup.sender.role == message::Role::Entry
    }

    fn update_candidate(&mut self, message: &message::Message, address: net::SocketAddr) {
        let (revision, tag) = (message.revision, message.tag);
        let better = self.candidate.is_none_or(|c| (revision, tag) > (c.revision, c.tag));
        if better && self.revisions.should_fetch(revision, tag) {
            self.candidate = Some(Candidate { revision, tag, address });
        }
    }

    fn start_fetch(&mut self, now: unit::Millis) {
        if self.fetch_started.is_some_and(|since| now.saturating_sub(since) < FETCH_TIMEOUT) {
            return;
        }
        let Some(candidate) = self.candidate.take() else { return };
        if self.revisions.should_fetch(candidate.revision, candidate.tag) {
            self.fetch_started = Some(now);
            self.outputs.push(Output::Fetch(candidate.address));
        }
    }

    fn offer(&mut self, bytes: &[u8], now: unit::Millis) {
        match self.revisions.offer(bytes, &*self.setup.validate) {
            revision::Outcome::InForce(document) => {
                self.outputs.push(Output::InForce(document));
                self.notices.clear();
                self.notify_remote(now);
                self.notify_outdated(now);
            }
            revision::Outcome::Rejected(rejection) => {
                self.outputs.push(Output::Rejected(rejection));
            }
            revision::Outcome::Known => {}
        }
    }

    fn handle_heartbeat(
        &mut self,
        message: &message::Message,
        heartbeat: message::Heartbeat,
        address: net::SocketAddr,
        now: unit::Millis,
    ) {
        let sender = &message.sender;
        let change = self.members.record_heartbeat(message, heartbeat, address, now);
        match change {
            member::Change::Late => self.ignored.late += 1,
            member::Change::Superseded => self.ignored.superseded += 1,
            member::Change::Full => self.ignored.full += 1,
            member::Change::Updated => {}
            member::Change::Joined | member::Change::Replaced => {
                self.outputs.push(Output::Member(sender.name.clone(), change));
                if sender.role == message::Role::Entry {
                    self.items.resend_all();
                }
            }
        }
        let accepted = !matches!(change, member::Change::Superseded | member::Change::Full);
        if accepted {
            self.add_contact(&sender.name, sender.role, address, now);
        }
        let joined = matches!(change, member::Change::Joined | member::Change::Replaced);
        if let Some(peer) = self.contacts.get_mut(&sender.name).filter(|_| joined) {
            peer.introduced = false;
        }
        if accepted && heartbeat.watching {
            self.service_answered_at = Some(now);
        }
    }

    fn add_contact(
        &mut self,
        name: &id::Vm,
        role: message::Role,
        address: net::SocketAddr,
        now: unit::Millis,
    ) -> bool {
        let has_room = self.contacts.len() < MAX_CONTACTS || self.contacts.contains_key(name);
        if *name == self.setup.sender.name || !has_room {
            return false;
        }
        let expires_at = now + CONTACT_TTL;
        let introduced = self.contacts.get(name).is_some_and(|peer| peer.introduced);
        let peer = Peer { role, address, expires_at, introduced };
        self.contacts.insert(name.clone(), peer).is_none()
    }

    fn handle_directory(&mut self, contacts: &[message::Contact], now: unit::Millis) {
        let mut new = Vec::new();
        for contact in contacts {
            let is_live = self.members.get(&contact.name).is_some_and(|m| m.is_live(now));
            // Directories only discover peers: heartbeats override them for live members.
            if !is_live && self.add_contact(&contact.name, contact.role, contact.address, now) {
                new.push(contact.address);
            }
        }
        let body = message::Body::Heartbeat(self.heartbeat(now));
        self.send(new, body);
    }

    fn handle_get_directory(
        &mut self,
        upstreams: bool,
        address: net::SocketAddr,
        now: unit::Millis,
    ) {
        if !self.is_entry() {
            return;
        }
        let own = message::Contact {
            name: self.setup.sender.name.clone(),
            role: message::Role::Entry,
            address: self.setup.address,
        };
        let contact = |m: &member::Member| message::Contact {
            name: m.sender.name.clone(),
            role: m.sender.role,
            address: m.address,
        };
        let mut contacts = vec![own];
        contacts.extend(self.members.live(message::Role::Entry, now).map(contact));
        if upstreams {
            contacts.extend(self.members.live(message::Role::Upstream, now).map(contact));
        }
        for chunk in contacts.chunks(tick::MAX_DIRECTORY_CONTACTS) {
            self.send(vec![address], message::Body::Directory(chunk.into()));
        }
    }

    fn handle_summary(&mut self, summary: &summary::Summary, from: &id::Vm, now: unit::Millis) {
        let foreign = summary.data_centre != self.setup.sender.data_centre;
        if !self.is_entry() || !foreign {
            self.ignored.misplaced += 1;
            return;
        }
        if self.summaries.is_silent(&summary.data_centre, now) {
            self.items.resend_all();
        }
        self.summaries.record(summary, now);
        self.forward_summary(summary, from, now);
    }

    fn handle_items(&mut self, items: &[gossip::Item], now: unit::Millis) {
        for item in items {
            if self.items.insert(item, now) {
                self.outputs.push(Output::Item(item.clone()));
            }
        }
    }

    fn rank(&self, key: &str, now: unit::Millis, among: fn(&member::Member) -> bool) -> usize {
        let live = self.members.live(message::Role::Entry, now).filter(|m| among(m));
        let names = live.map(|m| m.sender.name.as_str());
        let key = format!("{key}/{}", self.setup.sender.data_centre);
        rendezvous::rank(&key, self.setup.sender.name.as_str(), names)
    }

    fn pick_random<T: Clone>(&mut self, choices: &[T]) -> Option<T> {
        let index = (!choices.is_empty()).then(|| self.rng.random_range(0..choices.len()))?;
        choices.get(index).cloned()
    }
}
