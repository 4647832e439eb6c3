//! Stand-in of the weight store: parts of models, read at a limited rate.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use agateflow::unit;
use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use indexmap::IndexMap;
use volo_http::response::Response;

use crate::error::Error;
use crate::fault;
use crate::host;
use crate::reply;

/// Path under which parts are read.
pub const PATH: &str = "/v1/weights/";

/// Counts of the store's work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Parts read.
    pub reads: u64,
    /// Bytes read.
    pub bytes: u64,
    /// Reads rejected by the rate limit.
    pub limited: u64,
}

/// Token bucket with a capacity of one second; one read may overdraw it.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: f64,
    level: f64,
    filled: Instant,
}

impl Bucket {
    fn new(rate: unit::Bytes, now: Instant) -> Self {
        let rate = rate.get() as f64;
        Self { rate, level: rate, filled: now }
    }

    /// Takes `bytes`, or returns the seconds until a read is allowed again.
    fn take(&mut self, bytes: u64, now: Instant) -> Result<(), f64> {
        let gained = (now - self.filled).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.rate);
        self.filled = now;
        if self.level < 0.0 {
            return Err(-self.level / self.rate);
        }
        self.level -= bytes as f64;
        Ok(())
    }
}

#[derive(Default)]
struct Inner {
    parts: IndexMap<Box<str>, Bytes>,
    bucket: Option<Bucket>,
    counters: Counters,
}

/// A running weight store. Its parts outlive a crash.
pub struct Weights {
    host: host::Host,
    inner: Arc<Mutex<Inner>>,
}

impl Weights {
    /// Starts an empty store on `address`, whose port may be 0, without a rate limit.
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

    /// Stores a part.
    pub fn store(&self, name: &str, content: impl Into<Bytes>) {
        fault::lock(&self.inner).parts.insert(name.into(), content.into());
    }

    /// Limits the bytes per second of all readers. Zero rejects every read after the first.
    pub fn limit(&self, rate: unit::Bytes) {
        fault::lock(&self.inner).bucket = Some(Bucket::new(rate, Instant::now()));
    }

    /// The counts so far.
    pub fn counters(&self) -> Counters {
        fault::lock(&self.inner).counters
    }
}

struct App {
    inner: Arc<Mutex<Inner>>,
}

impl host::App for App {
    async fn call(&self, request: Request<Bytes>) -> Response {
        let name = request.uri().path().strip_prefix(PATH);
        match name.map(|name| fault::lock(&self.inner).read(name)) {
            Some(Read::Content(content)) => {
                reply::whole(StatusCode::OK, "application/octet-stream", content)
            }
            Some(Read::Limited(seconds)) => limited(seconds),
            Some(Read::Missing) | None => reply::empty(StatusCode::NOT_FOUND),
        }
    }
}

enum Read {
    Content(Bytes),
    Limited(f64),
    Missing,
}

impl Inner {
    fn read(&mut self, name: &str) -> Read {
        let Some(content) = self.parts.get(name).cloned() else {
            return Read::Missing;
        };
        let bytes = content.len() as u64;
        let taken = self.bucket.as_mut().map_or(Ok(()), |b| b.take(bytes, Instant::now()));
        if let Err(seconds) = taken {
            self.counters.limited += 1;
            return Read::Limited(seconds);
        }
        self.counters.reads += 1;
        self.counters.bytes += bytes;
        Read::Content(content)
    }
}

fn limited(seconds: f64) -> Response {
    let mut response = reply::error(StatusCode::TOO_MANY_REQUESTS, "rate limit");
    // Saturates where the rate is zero.
    let seconds = seconds.ceil().max(1.0) as u32;
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    response
}
