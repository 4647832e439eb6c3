//! Fetches the state of other entries, in addition to the platform: at startup, and when one has a
//! newer configuration.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agateflow::event::Event;
use tokio::time;

use super::{Entry, endpoint};
use crate::event;

/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Interval between housekeeping runs.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(50);

/// Consecutive checks at which another entry must be ahead: mostly the platform updates this one as
/// well, a moment later.
const CHECKS_BEFORE_FETCH: usize = 3;

/// Fetches newer state from other entries.
pub async fn run(entry: Rc<Entry>) {
    let mut turn = 0;
    let mut checks_behind = 0;
    loop {
        time::sleep(CHECK_INTERVAL).await;
        turn += 1;
        let Some(peer) = choose_peer(&entry, turn) else {
            checks_behind = 0;
            continue;
        };
        checks_behind += 1;
        if checks_behind >= CHECKS_BEFORE_FETCH || entry.config_version() == 0 {
            apply_snapshot(&entry, peer).await;
        }
    }
}

/// The entry to fetch from: one with a newer configuration, or any while nothing is known.
fn choose_peer(entry: &Entry, turn: usize) -> Option<SocketAddr> {
    let now = entry.now();
    let peers = entry.peers.borrow();
    if let Some(ahead) = peers.peer_with_newer_config(entry.config_version(), now) {
        return Some(ahead);
    }
    let directory_empty = entry.directory.borrow().revision().number == 0;
    let present = peers.alive(now);
    (directory_empty && !present.is_empty()).then(|| present[turn % present.len()])
}

async fn apply_snapshot(entry: &Rc<Entry>, peer: SocketAddr) {
    let snapshot = match endpoint::fetch_snapshot(peer).await {
        Ok(snapshot) => snapshot,
        Err(error) => {
            event!(entry.logger, Event::SnapshotFailed; "reason" => %error);
            return;
        }
    };
    if let Some(config) = snapshot.config {
        entry.apply_config(config, "entry");
    }
    if snapshot.directory > entry.directory.borrow().revision() {
        entry.replace_upstreams(snapshot.upstreams, snapshot.directory, "entry");
    }
}

/// Periodically checks groups, queues, expired upstreams and idle connections.
pub async fn run_housekeeping(entry: Rc<Entry>) {
    loop {
        time::sleep(HOUSEKEEPING_INTERVAL).await;
        entry.check_groups();
        entry.dispatch_all();
        let now = entry.now();
        for vm in entry.directory.borrow_mut().remove_pending(now) {
            event!(entry.logger, Event::UpstreamRemoved; "upstream" => %vm, "revision" => 0);
        }
        entry.update_rates();
        let directory = entry.directory.borrow();
        let listed = |address| directory.iter().any(|upstream| upstream.address == address);
        entry.pool.close_unusable(listed);
        entry.load.borrow_mut().retain(|vm| directory.iter().any(|u| u.vm == *vm));
    }
}
