//! Stand-in of the platform's list of VMs, which is published with a delay.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use agateflow::{id, unit};
use bytes::Bytes;
use http::{Request, StatusCode};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use volo_http::response::Response;

use crate::error::Error;
use crate::fault;
use crate::history::History;
use crate::host;
use crate::reply;

/// Path of the list, a JSON array of [`Vm`].
pub const PATH: &str = "/v1/vms";

/// Whether a VM will be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It is in service.
    Live,
    /// It will be removed.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Its name, which a replacement may take over.
    pub name: id::Vm,
    /// Where its process of the system listens.
    pub address: SocketAddr,
    /// Whether it will be removed.
    pub state: State,
}

type List = IndexMap<id::Vm, Vm>;

#[derive(Default)]
struct Inner {
    current: List,
    published: History<List>,
    lag: Duration,
}

impl Inner {
    fn publish(&mut self) {
        self.published.push(Instant::now(), self.current.clone());
    }
}

/// A running list of VMs. Its entries outlive a crash.
pub struct Vms {
    host: host::Host,
    inner: Arc<Mutex<Inner>>,
}

impl Vms {
    /// Starts an empty list on `address`, whose port may be 0.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] if the address cannot be used.
    pub fn start(address: SocketAddr) -> Result<Self, Error> {
        let inner = Arc::new(Mutex::new(Inner::default()));
        let served = Arc::clone(&inner);
        let host = host::Host::start(address, move || App { inner: Arc::clone(&served) })?;
        Ok(Self { host, inner })
    }

    /// The host: address, pause, crash and restart.
    pub fn host(&self) -> &host::Host {
        &self.host
    }

    /// Adds a VM, or replaces the one of the same name.
    pub fn set(&self, vm: Vm) {
        let mut inner = fault::lock(&self.inner);
        inner.current.insert(vm.name.clone(), vm);
        inner.publish();
    }

    /// Removes a VM.
    pub fn remove(&self, name: &id::Vm) {
        let mut inner = fault::lock(&self.inner);
        inner.current.shift_remove(name);
        inner.publish();
    }

    /// Sets the publication delay of changes.
    pub fn set_lag(&self, lag: unit::Millis) {
        fault::lock(&self.inner).lag = lag.duration();
    }
}

struct App {
    inner: Arc<Mutex<Inner>>,
}

impl host::App for App {
    async fn call(&self, request: Request<Bytes>) -> Response {
        if request.uri().path() != PATH {
            return reply::empty(StatusCode::NOT_FOUND);
        }
        let inner = fault::lock(&self.inner);
        let published = inner.published.visible(Instant::now(), inner.lag).next_back();
        let vms: Vec<&Vm> = published.into_iter().flat_map(IndexMap::values).collect();
        reply::json(StatusCode::OK, &vms)
    }
}
