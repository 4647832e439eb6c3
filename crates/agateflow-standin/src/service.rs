//! Stand-in of a plain service: a deterministic answer to any request, and a count of its runs.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use indexmap::IndexMap;
use volo_http::response::Response;
use xxhash_rust::xxh3;

use crate::engine;
use crate::error::Error;
use crate::fault;
use crate::host;
use crate::reply;

/// Content type of every answer.
pub const CONTENT_TYPE: &str = "application/octet-stream";

/// One request as its runs are counted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Call {
    /// The method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// XXH3 of the body.
    pub body: u64,
}

impl Call {
    /// Creates the key under which runs of a request are counted.
    pub fn new(method: &Method, path: &str, body: &[u8]) -> Self {
        Self { method: method.as_str().into(), path: path.into(), body: xxh3::xxh3_64(body) }
    }
}

/// Computes the complete response to a request.
pub fn answer(method: &Method, path: &str, body: &[u8]) -> Bytes {
    let hash = xxh3::xxh3_64(body);
    let mut answer = format!("{method} {path}\n{} {hash:016x}\n", body.len()).into_bytes();
    answer.extend_from_slice(body);
    answer.into()
}

/// Runs by call and attempt. Requests without an attempt count under the empty text.
type Runs = IndexMap<Call, IndexMap<Box<str>, u64>>;

/// A running plain service.
pub struct Service {
    host: host::Host,
    runs: Arc<Mutex<Runs>>,
}

impl Service {
    /// Starts a plain service on `address`, whose port may be 0.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] if the address cannot be used.
    pub fn start(address: SocketAddr) -> Result<Self, Error> {
        let runs = Arc::new(Mutex::new(Runs::new()));
        let counted = Arc::clone(&runs);
        let host = host::Host::start(address, move || App { runs: Arc::clone(&counted) })?;
        Ok(Self { host, runs })
    }

    /// The host: address, pause, crash and restart.
    pub fn host(&self) -> &host::Host {
        &self.host
    }

    /// Runs of one call, over all its attempts.
    pub fn runs(&self, call: &Call) -> u64 {
        fault::lock(&self.runs).get(call).map_or(0, |attempts| attempts.values().sum())
    }

    /// Runs of one call, by attempt.
    pub fn attempts(&self, call: &Call) -> IndexMap<Box<str>, u64> {
        fault::lock(&self.runs).get(call).cloned().unwrap_or_default()
    }

    /// Runs of all calls.
    pub fn total(&self) -> u64 {
        fault::lock(&self.runs).values().flat_map(IndexMap::values).sum()
    }

    /// Calls that ran more than once.
    pub fn repeated(&self) -> Vec<Call> {
        let runs = fault::lock(&self.runs);
        let repeated = runs.iter().filter(|(_, attempts)| attempts.values().sum::<u64>() > 1);
        repeated.map(|(call, _)| call.clone()).collect()
    }
}

struct App {
    runs: Arc<Mutex<Runs>>,
}

impl host::App for App {
    async fn call(&self, request: Request<Bytes>) -> Response {
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        let call = Call::new(request.method(), path, request.body());
        let attempt = engine::text_header(&request, engine::ATTEMPT_HEADER).unwrap_or_default();
        let mut runs = fault::lock(&self.runs);
        *runs.entry(call).or_default().entry(attempt.into()).or_default() += 1;
        drop(runs);
        let body = answer(request.method(), path, request.body());
        reply::whole(StatusCode::OK, CONTENT_TYPE, body)
    }
}
