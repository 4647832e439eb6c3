//! Timer-driven sends of a node.

use std::net;

use rand::Rng;
use rand::seq::SliceRandom;

use super::{Node, Notice, Output};
use crate::fleet::{gossip, member, message, summary, watch};
use crate::{id, unit};

/// Maximum number of contacts in one message.
pub(super) const MAX_DIRECTORY_CONTACTS: usize = 28;
const FULL_HEARTBEAT_EVERY: u32 = 10; // other heartbeats are brief
const HOUSEKEEPING_INTERVAL: unit::Millis = unit::Millis::new(1_000);
const PROBE_INTERVAL: unit::Millis = unit::Millis::new(2_000);
const BOOTSTRAP_PROBE_INTERVAL: unit::Millis = unit::Millis::new(500);
const BOOTSTRAP_PROBES: usize = 8; // seeds probed at once while no entry is known
const BOOTSTRAP_PERIOD: unit::Millis = unit::Millis::new(10_000); // with requests for upstreams
const NOTICES_PER_TICK: usize = 2;
const NOTICE_INTERVAL: unit::Millis = unit::Millis::new(1_000);
const MAX_NOTICE_DOUBLINGS: u32 = 6;
const ITEM_INTERVAL: unit::Millis = unit::Millis::new(1_000); // average time between two batches
const REFRESH_INTERVAL: unit::Millis = unit::Millis::new(5_000);
const REMOTE_SENDS_PER_BATCH: usize = 2; // data centres
const MAX_ITEM_BURST: u64 = 4; // batches

/// Due times of the periodic tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timers {
    pub(super) heartbeat: unit::Millis,
    heartbeats_sent: u32,
    directory: unit::Millis,
    probe: unit::Millis,
    housekeeping: unit::Millis,
    summary: unit::Millis,
    items: unit::Millis,
    refresh: unit::Millis,
}

impl Timers {
    pub(super) fn new(now: unit::Millis, role: message::Role, rng: &mut impl Rng) -> Self {
        let mut within =
            |span: unit::Millis| now + unit::Millis::new(rng.random_range(0..span.get()));
        Self {
            heartbeat: within(heartbeat_interval(role)),
            heartbeats_sent: 0,
            directory: within(crate::fleet::DIRECTORY_INTERVAL),
            probe: now,
            housekeeping: within(HOUSEKEEPING_INTERVAL),
            summary: within(summary::INTERVAL),
            items: now,
            refresh: within(REFRESH_INTERVAL),
        }
    }
}

fn heartbeat_interval(role: message::Role) -> unit::Millis {
    match role {
        message::Role::Entry => crate::fleet::ENTRY_HEARTBEAT_INTERVAL,
        message::Role::Upstream => crate::fleet::UPSTREAM_HEARTBEAT_INTERVAL,
    }
}

/// The due time that follows `due`. Times missed in a pause are skipped.
fn next_due(due: unit::Millis, interval: unit::Millis, now: unit::Millis) -> unit::Millis {
    let next = due + interval;
    if next > now { next } else { now + interval }
}

impl Node {
    /// Runs the tasks due at `now`. Must be called every [`crate::fleet::TICK_INTERVAL`].
    pub fn tick(&mut self, now: unit::Millis) -> Vec<Output> {
        if now >= self.timers.housekeeping {
            self.timers.housekeeping =
                next_due(self.timers.housekeeping, HOUSEKEEPING_INTERVAL, now);
            self.members.expire(now);
            self.contacts.retain(|_, peer| peer.expires_at > now);
            self.items.expire(now);
            self.summaries.expire(now);
        }
        if now >= self.timers.heartbeat {
            self.timers.heartbeat =
                next_due(self.timers.heartbeat, heartbeat_interval(self.setup.sender.role), now);
            self.send_heartbeat(now);
        }
        if now >= self.timers.directory {
            self.timers.directory =
                next_due(self.timers.directory, crate::fleet::DIRECTORY_INTERVAL, now);
            self.request_directory(now);
        }
        if now >= self.timers.probe {
            self.probe(now);
        }
        if now >= self.timers.items {
            self.send_items(now);
        }
        if self.is_entry() && now >= self.timers.summary {
            self.timers.summary = next_due(self.timers.summary, summary::INTERVAL, now);
            self.send_summary(now);
        }
        self.notify_outdated(now);
        self.start_fetch(now);
        self.call_service(now);
        self.take_outputs()
    }

    pub(super) fn heartbeat(&self, now: unit::Millis) -> message::Heartbeat {
        message::Heartbeat {
            watching: self.watch.has_recent_answer(now),
            failing: self.watch.is_failing(),
            grant: now + super::GRANT_PERIOD,
            load: self.load,
        }
    }

    fn send_heartbeat(&mut self, now: unit::Millis) {
        let body = message::Body::Heartbeat(self.heartbeat(now));
        self.timers.heartbeats_sent += 1;
        let send_full = self.timers.heartbeats_sent.is_multiple_of(FULL_HEARTBEAT_EVERY);
        let entries = self.contacts.values_mut().filter(|peer| peer.role == message::Role::Entry);
        let (mut full_to, mut brief_to) = (Vec::new(), Vec::new());
        for peer in entries {
            let brief = peer.introduced && !send_full;
            if brief {
                brief_to.push(peer.address);
            } else {
                full_to.push(peer.address);
            }
            peer.introduced = true;
        }
        self.send(full_to, body.clone());
        if !brief_to.is_empty() {
            let message = message::Message { brief: true, ..self.message(body) };
            self.outputs.push(Output::Send(brief_to, message));
        }
    }

    fn entry_addresses(&self) -> Vec<net::SocketAddr> {
        let entries = self.contacts.values().filter(|peer| peer.role == message::Role::Entry);
        entries.map(|peer| peer.address).collect()
    }

    fn wants_upstreams(&self, now: unit::Millis) -> bool {
        let starting = now.saturating_sub(self.started) < BOOTSTRAP_PERIOD;
        let no_upstream = self.members.live(message::Role::Upstream, now).next().is_none();
        self.is_entry() && (starting || no_upstream)
    }

    fn request_directory(&mut self, now: unit::Millis) {
        let entries = self.entry_addresses();
        let to = self.pick_random(&entries);
        let body = message::Body::GetDirectory { upstreams: self.wants_upstreams(now) };
        self.send(to.into_iter().collect(), body);
    }

    /// Probes addresses without a live peer: seeds and suspect members.
    fn probe(&mut self, now: unit::Millis) {
        let known = self.entry_addresses();
        let bootstrapping = known.is_empty();
        let interval = if bootstrapping { BOOTSTRAP_PROBE_INTERVAL } else { PROBE_INTERVAL };
        self.timers.probe = now + interval;
        let local = |seed: &&super::Seed| {
            seed.data_centre.as_ref().is_none_or(|name| *name == self.setup.sender.data_centre)
        };
        let seeds = self.setup.seeds.iter().filter(local).map(|seed| seed.address);
        let unknown = seeds.filter(|a| *a != self.setup.address && !known.contains(a));
        let mut to: Vec<_> = unknown.collect();
        to.extend(self.members.pick_silent(now, &mut self.rng));
        to.shuffle(&mut self.rng);
        to.truncate(if bootstrapping { BOOTSTRAP_PROBES } else { 1 });
        let heartbeat = message::Body::Heartbeat(self.heartbeat(now));
        self.send(to.clone(), heartbeat);
        self.send(to, message::Body::GetDirectory { upstreams: self.wants_upstreams(now) });
    }

    /// Notifies a few members with a lower revision of the one in force here. A member that stays
    /// outdated is notified again, with exponential backoff.
    pub(super) fn notify_outdated(&mut self, now: unit::Millis) {
        let own = self.revisions.header();
        if !self.is_entry() || own.0 == unit::Revision::ZERO {
            return;
        }
        let is_outdated = |m: &&std::sync::Arc<member::Member>| {
            (m.revision, m.tag) < own && m.is_live(now) && self.is_notice_due(m, own, now)
        };
        let mut outdated: Vec<_> = self.members.iter().filter(is_outdated).cloned().collect();
        outdated.shuffle(&mut self.rng);
        outdated.truncate(NOTICES_PER_TICK);
        for member in &outdated {
            let last = self.notices.get(&member.sender.name);
            let last = last.filter(|last| (last.revision, last.tag) == own);
            let count = last.map_or(0, |last| last.count);
            let delay = NOTICE_INTERVAL.get() << count.min(MAX_NOTICE_DOUBLINGS);
            let next_at = now + unit::Millis::new(delay);
            let notice = Notice { revision: own.0, tag: own.1, count: count + 1, next_at };
            self.notices.insert(member.sender.name.clone(), notice);
        }
        let to = outdated.iter().map(|m| m.address).collect();
        self.send(to, message::Body::Notice);
    }

    fn is_notice_due(
        &self,
        member: &member::Member,
        own: (unit::Revision, u32),
        now: unit::Millis,
    ) -> bool {
        let last = self.notices.get(&member.sender.name);
        last.is_none_or(|last| (last.revision, last.tag) != own || now >= last.next_at)
    }

    /// Notifies one entry of each other data centre of the revision in force, if this is a relay.
    pub(super) fn notify_remote(&mut self, now: unit::Millis) {
        if self.is_relay(now) {
            let to = self.remote_entries();
            self.send(to, message::Body::Notice);
        }
    }

    fn is_relay(&self, now: unit::Millis) -> bool {
        self.is_entry() && self.rank("relay", now, |_| true) < summary::RELAYS
    }

    /// One random address per other data centre: a contact from its summaries, or a seed.
    fn remote_entries(&mut self) -> Vec<net::SocketAddr> {
        let mut choices: indexmap::IndexMap<_, Vec<net::SocketAddr>> = indexmap::IndexMap::new();
        for seed in &self.setup.seeds {
            let name = seed.data_centre.as_ref();
            if let Some(name) = name.filter(|name| **name != self.setup.sender.data_centre) {
                choices.entry(name.clone()).or_default().push(seed.address);
            }
        }
        for (name, data_centre) in self.summaries.iter() {
            let has_reports = !data_centre.groups.is_empty();
            let candidates = choices.entry(name.clone()).or_default();
            if has_reports && !data_centre.contacts.is_empty() {
                candidates.clear();
            }
            candidates.extend(data_centre.contacts.iter().map(|c| c.address));
        }
        let choices: Vec<_> = choices.into_values().collect();
        choices.iter().filter_map(|addresses| self.pick_random(addresses)).collect()
    }

    fn send_items(&mut self, now: unit::Millis) {
        if now >= self.timers.refresh {
            self.timers.refresh = now + REFRESH_INTERVAL;
            self.items.refresh(&mut self.rng);
        }
        if !self.items.has_pending() {
            return;
        }
        let earliest = now.saturating_sub(unit::Millis::new(ITEM_INTERVAL.get() * MAX_ITEM_BURST));
        self.timers.items = self.timers.items.max(earliest) + ITEM_INTERVAL;
        let entries = self.entry_addresses();
        let mut to: Vec<_> = self.pick_random(&entries).into_iter().collect();
        if self.is_relay(now) {
            let remote = self.remote_entries();
            for _ in 0..REMOTE_SENDS_PER_BATCH {
                to.extend(self.pick_random(&remote));
            }
            to.dedup();
        }
        if to.is_empty() {
            return;
        }
        let batch: Box<[gossip::Item]> = self.items.next_batch(now);
        if !batch.is_empty() {
            self.send(to, message::Body::Items(batch));
        }
    }

    fn send_summary(&mut self, now: unit::Millis) {
        if !self.is_relay(now) {
            return;
        }
        let to = self.remote_entries();
        let groups = self.own_groups(now);
        let contacts = self.own_contacts(now);
        let chunks: Vec<Box<[summary::Group]>> = match groups.is_empty() {
            true => vec![Box::default()],
            false => groups.chunks(summary::MAX_GROUPS).map(Into::into).collect(),
        };
        self.summary_version += 1;
        for (index, groups) in chunks.into_iter().enumerate() {
            let summary = summary::Summary {
                origin: self.setup.sender.incarnation,
                version: self.summary_version,
                data_centre: self.setup.sender.data_centre.clone(),
                range: None,
                contacts: if index == 0 { contacts.clone() } else { Box::default() },
                groups,
            };
            self.send(to.clone(), message::Body::Summary(Box::new(summary)));
        }
    }

    fn own_groups(&self, now: unit::Millis) -> Vec<summary::Group> {
        let mut groups = indexmap::IndexMap::new();
        for member in self.members.live(message::Role::Upstream, now) {
            let Some(name) = (self.setup.group_of)(&member.sender.name) else { continue };
            let group = groups.entry(name.clone()).or_insert_with(|| summary::Group::new(&name));
            group.add(member.state, &member.heartbeat.load);
        }
        groups.into_values().collect()
    }

    fn own_contacts(&mut self, now: unit::Millis) -> Box<[message::Contact]> {
        let mut contacts: Vec<_> = self
            .members
            .live(message::Role::Entry, now)
            .map(|m| (m.sender.name.clone(), m.address))
            .collect();
        contacts.shuffle(&mut self.rng);
        contacts.truncate(summary::MAX_CONTACTS - 1);
        contacts.push((self.setup.sender.name.clone(), self.setup.address));
        let role = message::Role::Entry;
        contacts
            .into_iter()
            .map(|(name, address)| message::Contact { name, role, address })
            .collect()
    }

    /// Forwards a summary to the entries in its name range, except `from`.
    pub(super) fn forward_summary(
        &mut self,
        received: &summary::Summary,
        from: &id::Vm,
        now: unit::Millis,
    ) {
        let within = |name: &str| match &received.range {
            Some((first, last)) => *name >= **first && *name <= **last,
            None => true,
        };
        let live = self.members.live(message::Role::Entry, now);
        let live = live.filter(|m| m.sender.name != *from && within(m.sender.name.as_str()));
        let addresses: indexmap::IndexMap<Box<str>, net::SocketAddr> =
            live.map(|m| (m.sender.name.as_str().into(), m.address)).collect();
        let mut names: Vec<&str> = addresses.keys().map(AsRef::as_ref).collect();
        names.sort_unstable();
        let children = summary::split(&names, &mut self.rng);
        for (child, first, last) in children {
            let mut summary = received.clone();
            summary.range = Some((first.into(), last.into()));
            if let Some(address) = addresses.get(child) {
                self.send(vec![*address], message::Body::Summary(Box::new(summary)));
            }
        }
    }

    fn watcher_rank(&self, now: unit::Millis) -> usize {
        self.rank("watch", now, |m| !m.heartbeat.failing)
    }

    fn call_service(&mut self, now: unit::Millis) {
        let state = watch::State {
            role: self.setup.sender.role,
            rank: if self.is_entry() { self.watcher_rank(now) } else { usize::MAX },
            failing: self.watch.is_failing(),
            in_force: self.revisions.current().is_some(),
            service_answered_at: self.service_answered_at,
        };
        if let Some(call) = self.watch.next_call(&state, now, &mut self.rng) {
            self.outputs.push(Output::Call(call));
        }
    }
}
