//! Keeps an entry up to date from other entries, beside the platform: at the start, and when one
//! shows that it knows a newer configuration.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agateflow::event::Event;
use tokio::time;

use super::{Entry, page};
use crate::event;

/// Time between two looks.
const INTERVAL: Duration = Duration::from_millis(150);

/// Looks at which an entry that knows nothing still asks one other entry each.
const TICK: Duration = Duration::from_millis(50);

/// Looks in a row that another entry must be ahead: mostly the platform tells this one as well,
/// a moment later.
const PATIENCE: usize = 3;

/// Follows other entries.
pub async fn run(entry: Rc<Entry>) {
    let mut turn = 0;
    let mut behind = 0;
    loop {
        time::sleep(INTERVAL).await;
        turn += 1;
        let Some(peer) = source(&entry, turn) else {
            behind = 0;
            continue;
        };
        behind += 1;
        if behind >= PATIENCE || entry.version() == 0 {
            take(&entry, peer).await;
        }
    }
}

/// The entry to ask: one whose configuration is newer, or any while nothing is known.
fn source(entry: &Entry, turn: usize) -> Option<SocketAddr> {
    let now = entry.now();
    let peers = entry.peers.borrow();
    if let Some(ahead) = peers.peer_with_newer_config(entry.version(), now) {
        return Some(ahead);
    }
    let empty = entry.directory.borrow().revision().number == 0;
    let present = peers.alive(now);
    (empty && !present.is_empty()).then(|| present[turn % present.len()])
}

async fn take(entry: &Rc<Entry>, peer: SocketAddr) {
    let snapshot = match page::fetch(peer).await {
        Ok(snapshot) => snapshot,
        Err(error) => {
            event!(entry.logger, Event::SnapshotFailed; "reason" => %error);
            return;
        }
    };
    if let Some(config) = snapshot.config {
        entry.configure(config, "entry");
    }
    if snapshot.directory > entry.directory.borrow().revision() {
        entry.list_all(snapshot.upstreams, snapshot.directory, "entry");
    }
}

/// Looks at queues, lapsed upstreams and idle connections from time to time.
pub async fn tick(entry: Rc<Entry>) {
    loop {
        time::sleep(TICK).await;
        entry.look_at_groups();
        entry.pump_all();
        let now = entry.now();
        for vm in entry.directory.borrow_mut().remove_pending(now) {
            event!(entry.logger, Event::UpstreamRemoved; "upstream" => %vm, "revision" => 0);
        }
        let directory = entry.directory.borrow();
        let listed = |address| directory.iter().any(|upstream| upstream.address == address);
        entry.pool.sweep(listed);
        entry.load.borrow_mut().retain(|vm| directory.iter().any(|u| u.vm == *vm));
    }
}
