//! UDP heartbeats between entries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agateflow::direct::peer;
use agateflow::event::Event;
use tokio::net::UdpSocket;
use tokio::time;

use super::Entry;
use crate::{event, meter};

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest interval between heartbeats when state changes.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);

/// Largest message that is read, in bytes.
const MAX_MESSAGE_BYTES: usize = 16_384;

/// Addresses of other entries per heartbeat, in rotation.
const ADDRESSES_PER_HEARTBEAT: usize = 4;

/// Largest number of items of evidence in a heartbeat.
const MAX_ITEMS: usize = 64;

/// Sends heartbeats, early when state changes.
pub async fn send(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    for turn in 0.. {
        let heartbeat = build_heartbeat(&entry, turn);
        match postcard::to_stdvec(&peer::Message::Entry(heartbeat)) {
            Ok(bytes) => broadcast(&entry, &socket, &bytes),
            Err(error) => {
                event!(entry.logger, Event::PeerUnreadable; "reason" => %error);
            }
        }
        time::sleep(MIN_HEARTBEAT_INTERVAL).await;
        let _ = time::timeout(
            HEARTBEAT_INTERVAL - MIN_HEARTBEAT_INTERVAL,
            entry.heartbeat_trigger.notified(),
        )
        .await;
    }
}

fn broadcast(entry: &Entry, socket: &UdpSocket, bytes: &[u8]) {
    let now = entry.now();
    entry.peers.borrow_mut().remove_expired(now);
    for address in entry.peers.borrow().addresses() {
        // A lost heartbeat is noticed as silence.
        meter::told(&socket.try_send_to(bytes, address));
    }
}

fn build_heartbeat(entry: &Entry, turn: usize) -> peer::Heartbeat {
    let directory = entry.directory.borrow();
    let present = entry.peers.borrow().alive(entry.now());
    let first = ADDRESSES_PER_HEARTBEAT * turn;
    let known = (first..first + present.len().min(ADDRESSES_PER_HEARTBEAT))
        .map(|index| index % present.len());
    peer::Heartbeat {
        vm: entry.options.vm.clone(),
        address: entry.options.peer_address,
        incarnation: entry.incarnation,
        config: entry.config_version(),
        directory: directory.revision(),
        leaving: entry.is_shutting_down(),
        counts: entry.load.borrow().counts(),
        costs: entry.high_cost_factors(),
        draining: directory.draining(),
        rates: entry.rates.borrow().reports(entry.now()),
        crashes: entry.recent_crashes(),
        evidence: entry.quarantine.borrow_mut().take_items(MAX_ITEMS, entry.now()),
        known: known.map(|index| present[index]).collect(),
    }
}

/// Receives heartbeats and hellos.
pub async fn receive(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let (size, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                event!(entry.logger, Event::PeerUnreadable; "reason" => %error);
                time::sleep(MIN_HEARTBEAT_INTERVAL).await;
                continue;
            }
        };
        match postcard::from_bytes::<peer::Message>(&buffer[..size]) {
            Ok(peer::Message::Entry(heartbeat)) => handle_heartbeat(&entry, heartbeat),
            Ok(peer::Message::Rank(hello)) => reply_to_agent(&entry, &socket, &hello),
            Ok(peer::Message::Members(_) | peer::Message::Plan(_)) => {}
            Err(error) => log_unreadable(&entry, from, &error),
        }
    }
}

fn log_unreadable(entry: &Entry, from: SocketAddr, error: &postcard::Error) {
    event!(entry.logger, Event::PeerUnreadable; "peer" => %from, "reason" => %error);
}

fn handle_heartbeat(entry: &Rc<Entry>, heartbeat: peer::Heartbeat) {
    let now = entry.now();
    if entry.peers.borrow_mut().record_heartbeat(&heartbeat, now) {
        event!(entry.logger, Event::PeerHeard; "peer" => %heartbeat.vm,
            "address" => %heartbeat.address, "version" => heartbeat.config);
        entry.quarantine.borrow_mut().repeat_all();
        entry.heartbeat_trigger.notify_one();
    }
    for crash in &heartbeat.crashes {
        entry.add_crash(*crash);
    }
    entry.merge_evidence(&heartbeat.evidence);
    entry.directory.borrow_mut().mark_draining(&heartbeat.draining);
    entry.merge_rates(heartbeat.incarnation, &heartbeat.rates);
    entry.peer_costs.borrow_mut().extend(heartbeat.costs);
    let name = heartbeat.address.to_string();
    entry.load.borrow_mut().report(&name, heartbeat.counts, now);
    entry.dispatch_all();
}

/// Sends the agent of a rank its members.
fn reply_to_agent(entry: &Entry, socket: &UdpSocket, hello: &peer::Announcement) {
    let now = entry.now();
    let agents = entry.agents.borrow_mut().record_status(&hello.status, now);
    let mut entries = entry.peers.borrow().alive(now);
    entries.push(entry.options.peer_address);
    let table = entry.table();
    let service = table.as_ref().and_then(|table| table.service(&hello.service));
    let shape = service.and_then(|service| service.engine).and_then(|engine| engine.shape);
    let ranks = entry.directory.borrow().ranks(&hello.status.report.group).collect();
    let pause = table.as_ref().and_then(|table| table.max_pause(&hello.service));
    let members = peer::Members { entries, agents, ranks, shape, pause };
    let members = peer::Message::Members(members);
    if let Ok(bytes) = postcard::to_stdvec(&members) {
        // The agent asks again.
        meter::told(&socket.try_send_to(&bytes, hello.status.address));
    }
}
