//! The fleet service: sockets and timers around the state machine in [`agateflow::fleet::node`].

mod counters;
mod error;
mod fetch;
mod handle;
mod run;
mod service;

use std::net;
use std::sync::Arc;

use agateflow::fleet::{message, node, revision};
use agateflow::id;
use agateflow::wire::control;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub use counters::{Counters, Snapshot};
pub use error::Error;
pub use handle::{Handle, View};

/// Settings of the fleet service.
#[derive(Clone)]
pub struct Settings {
    /// Name of the process's VM.
    pub name: id::Vm,
    /// Data centre of the VM.
    pub data_centre: id::DataCentre,
    /// Whether the process is an entry or an upstream process.
    pub role: message::Role,
    /// Listen address for datagrams and for fetches over TCP. The port may be 0.
    pub listen: net::SocketAddr,
    /// Addresses of possible peers.
    pub seeds: Vec<node::Seed>,
    /// Secret shared by all processes of the fleet.
    pub secret: Box<[u8]>,
    /// Address of the configuration service.
    pub configuration: net::SocketAddr,
    /// Key of the fleet's configuration in the configuration service.
    pub value: Box<str>,
    /// Validates documents.
    pub validate: Arc<revision::Validator>,
    /// Returns the group of a VM, for summaries.
    pub group_of: Arc<node::GroupOf>,
    /// Identifies this run of the process.
    pub incarnation: id::Incarnation,
}

/// Starts the service on the current runtime. The service ends when the last handle is dropped.
///
/// # Errors
///
/// [`Error::Io`] if the address cannot be bound.
pub async fn start(settings: Settings) -> Result<Handle, Error> {
    let (udp, tcp) = run::bind(settings.listen).await?;
    let address = tcp.local_addr().map_err(|e| Error::io("bind", settings.listen, e))?;
    let sender = message::Sender {
        name: settings.name,
        data_centre: settings.data_centre,
        role: settings.role,
        incarnation: settings.incarnation,
        started: handle::wall_clock(),
    };
    let mut rng = Pcg64Mcg::seed_from_u64(settings.incarnation.get() as u64);
    let setup = node::Setup {
        sender: sender.clone(),
        address,
        seeds: settings.seeds,
        validate: settings.validate,
        group_of: settings.group_of,
    };
    let key = control::Key::new(&settings.secret);
    let (shared, commands) = handle::Shared::new(sender, address, key);
    let node = node::Node::new(setup, rand::Rng::random(&mut rng), shared.now());
    let client = service::Client::new(settings.configuration, &settings.value)?;
    tokio::spawn(fetch::serve(tcp, Arc::downgrade(&shared)));
    tokio::spawn(run::Loop::new(node, udp, client, &shared).run(commands));
    Ok(Handle::new(shared))
}
