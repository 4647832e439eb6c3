//! Polls the revisions of the service's other VMs, which the homes of idempotency keys depend on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agateflow::config;
use agateflow::id;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::error::Error;
use crate::link::{self, handshake, stream};
use crate::upstream::Shared;

/// Interval between queries to one VM; the lease of a reply covers several.
const POLL_INTERVAL: Duration = Duration::from_millis(1_500);

/// Timeout of a query.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Queries the declared VMs of the service that this VM runs, until `stopped` turns true.
pub async fn poll(shared: Arc<Shared>, mut stopped: watch::Receiver<bool>) {
    let mut fleets = shared.fleet.clone();
    let mut ticks = time::interval(POLL_INTERVAL);
    loop {
        let peers = update_declared(&shared, &fleets.borrow_and_update().clone());
        for peer in peers {
            tokio::spawn(query(shared.clone(), peer));
        }
        tokio::select! {
            _ = ticks.tick() => {}
            changed = fleets.changed() => if changed.is_err() { return },
            stop = stopped.wait_for(|stop| *stop) => { drop(stop); return }
        }
    }
}

/// Sets the declared VMs of the service and returns the others with their addresses.
fn update_declared(shared: &Shared, fleet: &config::Fleet) -> Vec<(id::Vm, SocketAddr)> {
    let own = fleet.vm(&shared.identity.vm);
    let Some(config::Role::Service { service }) = own.map(|vm| &vm.role) else {
        return Vec::new();
    };
    let declared: Vec<id::Vm> = fleet.vms_of(service).map(|vm| vm.name.clone()).collect();
    shared.attempts.with_home(|home| home.set_declared(service, fleet.revision, declared.into()));
    let others = fleet.vms_of(service).filter(|vm| vm.name != shared.identity.vm);
    others.map(|vm| (vm.name.clone(), vm.address)).collect()
}

async fn query(shared: Arc<Shared>, (vm, address): (id::Vm, SocketAddr)) {
    let sent_at = clock::now();
    let reply = time::timeout(REPLY_TIMEOUT, fetch_peer(&shared, &vm, address)).await;
    // Without a reply, the lease of the last one expires.
    if let Ok(Ok(peer)) = reply {
        let now = clock::now();
        shared
            .attempts
            .with_home(|home| home.record_revision(&peer.vm, peer.revision, sent_at, now));
    }
}

async fn fetch_peer(
    shared: &Shared,
    vm: &id::Vm,
    control: SocketAddr,
) -> Result<link::Peer, Error> {
    let address = link::address(control);
    let step = "query revision of";
    let socket = TcpStream::connect(address).await;
    let socket = socket.map_err(|source| Error::Socket { step, peer: address, source })?;
    let (reader, mut writer) = socket.into_split();
    let mut reader = stream::Reader::new(reader, address);
    let revision = shared.fleet.borrow().revision;
    let halves = (&mut reader, &mut writer);
    handshake::connect(&shared.identity, vm, revision, halves, address).await
}
