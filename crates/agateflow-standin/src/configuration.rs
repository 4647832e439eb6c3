//! Stand-in of the configuration service: values with versions that can be read and watched.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, StatusCode, Uri};
use indexmap::IndexMap;
use tokio::sync::watch;
use volo_http::response::Response;

use crate::error::Error;
use crate::fault;
use crate::host;
use crate::reply;

/// Header that carries the version of a value.
pub const VERSION_HEADER: HeaderName = HeaderName::from_static("agateflow-version");

/// Path under which values are read.
pub const PATH: &str = "/v1/values/";

const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Call counters of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// All calls, including waiting watches.
    pub calls: u64,
    /// Calls that waited for a newer version.
    pub watches: u64,
    /// Calls refused by the rate limit.
    pub limited: u64,
}

#[derive(Debug, Default)]
struct Store {
    // All versions of each value, the first one at index 0.
    values: IndexMap<Box<str>, Vec<Bytes>>,
    stale: u64,
    limit: Option<u64>,
    window: Option<(Instant, u64)>,
    counters: Counters,
}

struct Shared {
    store: Mutex<Store>,
    changed: watch::Sender<u64>,
}

/// A running configuration service. Its values outlive a crash.
pub struct Configuration {
    host: host::Host,
    shared: Arc<Shared>,
}

impl Configuration {
    /// Starts the service on `address`, whose port may be 0, without a value.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] if the address cannot be used.
    pub fn start(address: SocketAddr) -> Result<Self, Error> {
        let store = Mutex::new(Store::default());
        let shared = Arc::new(Shared { store, changed: watch::Sender::new(0) });
        let served = Arc::clone(&shared);
        let host = host::Host::start(address, move || App { shared: Arc::clone(&served) })?;
        Ok(Self { host, shared })
    }

    /// The host: address, pause, crash and restart.
    pub fn host(&self) -> &host::Host {
        &self.host
    }

    /// Publishes the next version of a value and returns its number; the first one is 1.
    pub fn publish(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        let mut store = fault::lock(&self.shared.store);
        let versions = store.values.entry(key.into()).or_default();
        versions.push(value.into());
        let version = versions.len() as u64;
        drop(store);
        self.shared.changed.send_modify(|changes| *changes += 1);
        version
    }

    /// Serves values that are `versions` versions old. Zero ends the fault.
    pub fn serve_stale(&self, versions: u64) {
        fault::lock(&self.shared.store).stale = versions;
        self.shared.changed.send_modify(|changes| *changes += 1);
    }

    /// Limits calls per second; excess ones get status 429.
    pub fn limit(&self, calls: Option<u64>) {
        fault::lock(&self.shared.store).limit = calls;
    }

    /// The counts of calls so far.
    pub fn counters(&self) -> Counters {
        fault::lock(&self.shared.store).counters
    }
}

impl Store {
    fn read(&self, key: &str) -> Option<(u64, Bytes)> {
        let versions = self.values.get(key)?;
        let version = (versions.len() as u64).saturating_sub(self.stale).max(1);
        let value = versions.get(version as usize - 1)?;
        Some((version, value.clone()))
    }

    /// Counts a call and returns whether the rate limit allows it.
    fn admit(&mut self, now: Instant) -> bool {
        self.counters.calls += 1;
        let Some(limit) = self.limit else {
            return true;
        };
        let (start, count) = match self.window {
            Some((start, count)) if now - start < RATE_WINDOW => (start, count + 1),
            _ => (now, 1),
        };
        self.window = Some((start, count));
        if count > limit {
            self.counters.limited += 1;
        }
        count <= limit
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Watch {
    after: u64,
    wait: Duration,
}

impl Watch {
    fn from_uri(uri: &Uri) -> Self {
        let number = |name| reply::query(uri, name).unwrap_or(0);
        Self { after: number("after"), wait: Duration::from_millis(number("wait_ms")) }
    }
}

struct App {
    shared: Arc<Shared>,
}

impl host::App for App {
    async fn call(&self, request: Request<Bytes>) -> Response {
        if request.uri().path() == "/healthz" {
            return reply::empty(StatusCode::OK);
        }
        let Some(key) = request.uri().path().strip_prefix(PATH) else {
            return reply::empty(StatusCode::NOT_FOUND);
        };
        if !fault::lock(&self.shared.store).admit(Instant::now()) {
            return reply::error(StatusCode::TOO_MANY_REQUESTS, "rate limit");
        }
        self.read(key, Watch::from_uri(request.uri())).await
    }
}

impl App {
    async fn read(&self, key: &str, watch: Watch) -> Response {
        let mut changed = self.shared.changed.subscribe();
        if !watch.wait.is_zero() {
            fault::lock(&self.shared.store).counters.watches += 1;
        }
        let newer = async {
            loop {
                let value = fault::lock(&self.shared.store).read(key);
                match value {
                    Some((version, value)) if version > watch.after => return (version, value),
                    _ if changed.changed().await.is_err() => std::future::pending().await,
                    _ => {}
                }
            }
        };
        match tokio::time::timeout(watch.wait, newer).await {
            Ok((version, value)) => found(version, value),
            Err(_) if watch.after > 0 => reply::empty(StatusCode::NO_CONTENT),
            Err(_) => reply::empty(StatusCode::NOT_FOUND),
        }
    }
}

fn found(version: u64, value: Bytes) -> Response {
    let mut response = reply::whole(StatusCode::OK, "application/json", value);
    response.headers_mut().insert(VERSION_HEADER, HeaderValue::from(version));
    response
}
