//! Homes of idempotency keys: asks the other VMs of the service which revision they have in force.

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

/// Time between questions to one VM; several fit into the lease of an answer.
const ASK_EVERY: Duration = Duration::from_millis(1_500);

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows the declared VMs of the service that this VM runs, until `stopped` turns true.
pub async fn follow(shared: Arc<Shared>, mut stopped: watch::Receiver<bool>) {
    let mut fleets = shared.fleet.clone();
    let mut ticks = time::interval(ASK_EVERY);
    loop {
        let peers = adopt(&shared, &fleets.borrow_and_update().clone());
        for peer in peers {
            tokio::spawn(ask(shared.clone(), peer));
        }
        tokio::select! {
            _ = ticks.tick() => {}
            changed = fleets.changed() => if changed.is_err() { return },
            stop = stopped.wait_for(|stop| *stop) => { drop(stop); return }
        }
    }
}

/// Takes over the declared list; the result is the other VMs of the service.
fn adopt(shared: &Shared, fleet: &config::Fleet) -> Vec<(id::Vm, SocketAddr)> {
    let own = fleet.vm(&shared.identity.vm);
    let Some(config::Role::Service { service }) = own.map(|vm| &vm.role) else {
        return Vec::new();
    };
    let declared: Vec<id::Vm> = fleet.vms_of(service).map(|vm| vm.name.clone()).collect();
    shared.runs.with_home(|home| home.set_declared(service, fleet.revision, declared.into()));
    let others = fleet.vms_of(service).filter(|vm| vm.name != shared.identity.vm);
    others.map(|vm| (vm.name.clone(), vm.address)).collect()
}

async fn ask(shared: Arc<Shared>, (vm, address): (id::Vm, SocketAddr)) {
    let asked = clock::now();
    let answer = time::timeout(ANSWER_TIMEOUT, hello(&shared, &vm, address)).await;
    // Silence confirms nothing; the lease runs out.
    if let Ok(Ok(peer)) = answer {
        let now = clock::now();
        shared.runs.with_home(|home| home.record_revision(&peer.vm, peer.revision, asked, now));
    }
}

async fn hello(shared: &Shared, vm: &id::Vm, control: SocketAddr) -> Result<link::Peer, Error> {
    let address = link::address(control);
    let step = "ask for revision";
    let socket = TcpStream::connect(address).await;
    let socket = socket.map_err(|source| Error::Socket { step, peer: address, source })?;
    let (reader, mut writer) = socket.into_split();
    let mut reader = stream::Reader::new(reader, address);
    let revision = shared.fleet.borrow().revision;
    let halves = (&mut reader, &mut writer);
    handshake::connect(&shared.identity, vm, revision, halves, address).await
}
