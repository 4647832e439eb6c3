//! Heartbeats between entries, by UDP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agateflow::direct::peer;
use agateflow::event::Event;
use tokio::net::UdpSocket;
use tokio::time;

use super::Entry;
use crate::{event, meter};

/// Time between two heartbeats.
const INTERVAL: Duration = Duration::from_millis(100);

/// Least time between two heartbeats when there is news.
const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// Largest heartbeat that is read, in bytes.
const MAX_BYTES: usize = 16_384;

/// Addresses of other entries that a heartbeat carries, others each time.
const KNOWN: usize = 4;

/// Sends heartbeats, at once where there is news.
pub async fn send(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    for turn in 0.. {
        let heartbeat = heartbeat(&entry, turn);
        match postcard::to_stdvec(&peer::Message::Entry(heartbeat)) {
            Ok(bytes) => send_all(&entry, &socket, &bytes),
            Err(error) => {
                event!(entry.logger, Event::PeerUnreadable; "reason" => %error);
            }
        }
        time::sleep(MIN_INTERVAL).await;
        let _ = time::timeout(INTERVAL - MIN_INTERVAL, entry.news.notified()).await;
    }
}

fn send_all(entry: &Entry, socket: &UdpSocket, bytes: &[u8]) {
    let now = entry.now();
    entry.peers.borrow_mut().remove_expired(now);
    for address in entry.peers.borrow().addresses() {
        // Heartbeats may be lost; silence shows it.
        meter::told(&socket.try_send_to(bytes, address));
    }
}

fn heartbeat(entry: &Entry, turn: usize) -> peer::Heartbeat {
    let directory = entry.directory.borrow();
    let present = entry.peers.borrow().alive(entry.now());
    let first = KNOWN * turn;
    let known = (first..first + present.len().min(KNOWN)).map(|index| index % present.len());
    peer::Heartbeat {
        vm: entry.options.vm.clone(),
        address: entry.options.peers,
        config: entry.version(),
        directory: directory.revision(),
        leaving: entry.is_leaving(),
        counts: entry.load.borrow().counts(),
        costs: entry.high_factors(),
        draining: directory.draining(),
        crashes: entry.crashes(),
        known: known.map(|index| present[index]).collect(),
    }
}

/// Takes heartbeats in.
pub async fn receive(entry: Rc<Entry>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        let (size, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                event!(entry.logger, Event::PeerUnreadable; "reason" => %error);
                time::sleep(MIN_INTERVAL).await;
                continue;
            }
        };
        match postcard::from_bytes::<peer::Message>(&buffer[..size]) {
            Ok(peer::Message::Entry(heartbeat)) => hear(&entry, heartbeat),
            Ok(peer::Message::Rank(hello)) => answer(&entry, &socket, &hello),
            Ok(peer::Message::Members(_) | peer::Message::Plan(_)) => {}
            Err(error) => refuse(&entry, from, &error),
        }
    }
}

fn refuse(entry: &Entry, from: SocketAddr, error: &postcard::Error) {
    event!(entry.logger, Event::PeerUnreadable; "peer" => %from, "reason" => %error);
}

fn hear(entry: &Rc<Entry>, heartbeat: peer::Heartbeat) {
    let now = entry.now();
    if entry.peers.borrow_mut().record_heartbeat(&heartbeat, now) {
        event!(entry.logger, Event::PeerHeard; "peer" => %heartbeat.vm,
            "address" => %heartbeat.address, "version" => heartbeat.config);
    }
    for crash in &heartbeat.crashes {
        entry.hear_crash(*crash);
    }
    entry.directory.borrow_mut().mark_draining(&heartbeat.draining);
    entry.costs.borrow_mut().extend(heartbeat.costs);
    let name = heartbeat.address.to_string();
    entry.load.borrow_mut().report(&name, heartbeat.counts, now);
    entry.pump_all();
}

/// Tells the agent of a rank who is there.
fn answer(entry: &Entry, socket: &UdpSocket, hello: &peer::Announcement) {
    let now = entry.now();
    let agents = entry.agents.borrow_mut().record_status(&hello.status, now);
    let mut entries = entry.peers.borrow().alive(now);
    entries.push(entry.options.peers);
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
