//! Stand-in of a model engine: continuous batching, a prefix cache, load reports, cache events and
//! orders.

mod app;
mod batch;
mod cache;
mod core;
mod kv;
pub(crate) mod orders;
mod report;

use std::net::SocketAddr;
use std::sync::Arc;

use agateflow::unit;
use http::{HeaderName, Request};
use xxhash_rust::xxh3;

pub use self::batch::Speed;
pub use self::cache::{Change, Event, chunks};
pub use self::core::Counters;
pub use self::kv::Kv;
pub use self::orders::{Fencing, Order};
pub use self::report::Report;

use crate::error::Error;
use crate::host;

/// Header with the attempt ID of a request.
pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("agateflow-attempt");

/// Header with the number of output tokens after which to resume a stream.
pub const RESUME_HEADER: HeaderName = HeaderName::from_static("agateflow-resume-tokens");

/// Header with the priority of a request, an integer; higher ones go first.
pub const PRIORITY_HEADER: HeaderName = HeaderName::from_static("agateflow-priority");

/// Options of an engine. By default, no operation takes time.
#[derive(Clone, Debug)]
pub struct Options {
    /// Speed of its class.
    pub speed: Speed,
    /// Maximum number of sequences in one step.
    pub batch: usize,
    /// Maximum number of prompt chunks in the prefix cache.
    pub cache: usize,
    /// Whether it rejects orders with an outdated fencing token.
    pub fencing: Fencing,
}

impl Default for Options {
    fn default() -> Self {
        Self { speed: Speed::default(), batch: 64, cache: 4096, fencing: Fencing::Checked }
    }
}

/// A running engine.
pub struct Engine {
    host: host::Host,
    state: Arc<core::State>,
}

impl Engine {
    /// Starts an engine on `address`, whose port may be 0.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] if the address cannot be used.
    pub fn start(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let state = Arc::new(core::State::new(options));
        let served = Arc::clone(&state);
        let host = host::Host::start(address, move || app::App::start(Arc::clone(&served)))?;
        Ok(Self { host, state })
    }

    /// The host: address, pause, crash and restart.
    pub fn host(&self) -> &host::Host {
        &self.host
    }

    /// The counts of work so far, over all restarts.
    pub fn counters(&self) -> Counters {
        self.state.counters()
    }

    /// How often work was started for `attempt`.
    pub fn runs(&self, attempt: &str) -> u64 {
        self.state.runs(attempt)
    }

    /// How often work was started for a request with this body, over all attempts.
    pub fn runs_of(&self, body: &[u8]) -> u64 {
        self.state.runs_of(xxh3::xxh3_64(body))
    }

    /// The current load, without lag.
    pub fn load(&self) -> Report {
        self.state.load()
    }

    /// The orders that were accepted, in order of arrival.
    pub fn orders(&self) -> Vec<Order> {
        self.state.orders()
    }

    /// Changes the speed, to simulate a straggler.
    pub fn set_speed(&self, speed: Speed) {
        self.state.set_speed(speed);
    }

    /// Sets the publication delay of load reports and cache events.
    pub fn set_lag(&self, lag: unit::Millis) {
        self.state.set_lag(lag);
    }

    /// Omits every `every`-th cache event; zero omits none.
    pub fn set_gaps(&self, every: u64) {
        self.state.set_gaps(every);
    }
}

/// The value of a header, if it is present and valid text.
pub(crate) fn text_header<T>(request: &Request<T>, name: HeaderName) -> Option<&str> {
    request.headers().get(name)?.to_str().ok()
}
