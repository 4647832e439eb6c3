//! Stand-in of a group of ranks that run in lock-step on an expert map.
//!
//! Each rank serves HTTP at an address of its own and obeys orders to prepare a map and to use it
//! from a step on. The ranks obey orders that break the lock-step, and count the violations.

mod app;
mod fabric;
mod rank;

use std::net::SocketAddr;
use std::sync::Arc;

use agateflow::plan::map;
use agateflow::{id, unit};

pub use self::fabric::Counters;
pub use self::rank::{Command, Ran, Status};

use crate::engine::Fencing;
use crate::error::Error;
use crate::host;

/// Options of a group.
#[derive(Clone, Debug)]
pub struct Options {
    /// Whether ranks reject orders with an outdated fencing token.
    pub fencing: Fencing,
    /// Load of each expert of each layer, in load units per step.
    pub load: Vec<Vec<f64>>,
    /// Time to load one expert of one layer.
    pub loading: unit::Micros,
}

/// A running group.
pub struct Group {
    hosts: Vec<host::Host>,
    fabric: Arc<fabric::Fabric>,
}

impl Group {
    /// Starts ranks with these names and speeds in load units a second, each on a free port.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] if a port cannot be used.
    pub fn start(ranks: &[(id::Rank, f64)], options: Options) -> Result<Self, Error> {
        let fabric = Arc::new(fabric::Fabric::new(ranks, options));
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let start = |index| {
            let fabric = Arc::clone(&fabric);
            host::Host::start(any_port, move || app::App::start(Arc::clone(&fabric), index))
        };
        let hosts = (0..ranks.len()).map(start).collect::<Result<_, _>>()?;
        Ok(Self { hosts, fabric })
    }

    /// The host of a rank by its index: address, pause, crash and restart.
    pub fn host(&self, rank: usize) -> &host::Host {
        &self.hosts[rank]
    }

    /// Changes the speed of a rank, in load units per second, to simulate a straggler.
    pub fn set_speed(&self, rank: usize, speed: f64) {
        self.fabric.set_speed(rank, speed);
    }

    /// Changes the load of each expert of each layer, in load units a step.
    pub fn set_load(&self, load: Vec<Vec<f64>>) {
        self.fabric.set_load(load);
    }

    /// The counts so far, over all restarts.
    pub fn counters(&self) -> Counters {
        self.fabric.counters()
    }
}

/// Time that a rank takes for a step on `map`, in microseconds.
fn busy(name: &str, speed: f64, load: &[Vec<f64>], map: &map::Map) -> unit::Micros {
    const MICROS_PER_SECOND: f64 = 1_000_000.0;
    let mut units = 0.0;
    for (layer, load) in map.layers.iter().zip(load) {
        for (replicas, load) in layer.experts.iter().zip(load) {
            let own = replicas.iter().filter(|replica| &*replica.rank == name);
            units += own.map(|replica| replica.share * load).sum::<f64>();
        }
    }
    unit::Micros::new((units / speed * MICROS_PER_SECOND) as u64)
}
