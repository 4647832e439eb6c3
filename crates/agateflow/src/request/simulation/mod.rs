//! Deterministic simulation of requests and admission tables, for tests and measurements. The
//! network drops, duplicates and delays messages. All runs are counted, all responses checked.

mod baseline;
mod call;
mod caller;
mod driver;
mod entry;
mod event;
mod fault_injection;
mod faults;
mod stats;
mod upstream;
mod upstream_actions;

use crate::unit;

pub use call::{Call, Kind};
pub use driver::Simulation;
pub use event::Fault;
pub use faults::Faults;
pub use stats::Stats;

/// Retry policy that a simulation runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// [`super::Request`] and [`crate::admission::Table`].
    Agateflow,
    /// Baseline: entries retry after a timeout; upstreams run every start.
    RetryOnTimeout,
    /// As `RetryOnTimeout`, but only for repeatable calls; each entry remembers its own keys.
    EntryMemory,
}

/// Settings of a [`Simulation`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of entries.
    pub entries: usize,
    /// Number of upstreams. Each is a home of keys.
    pub upstreams: usize,
    /// The retry policy.
    pub mode: Mode,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Rates of random faults.
    pub faults: Faults,
    /// Time from a request to the caller's deadline.
    pub deadline: unit::Millis,
    /// Delay before a repeatable call is hedged; `None` turns hedging off.
    pub hedge_after: Option<unit::Millis>,
    /// Shortest time between two chunks of a response.
    pub chunk_interval: unit::Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            entries: 3,
            upstreams: 3,
            mode: Mode::Agateflow,
            seed: 1,
            faults: Faults::none(),
            deadline: unit::Millis::new(2_000),
            hedge_after: None,
            chunk_interval: CHUNK_INTERVAL,
        }
    }
}

/// How long a start is valid.
const VALIDITY: unit::Millis = unit::Millis::new(3_000);
/// Retry window of a key, with the callers' deadline and the validity of starts.
const WINDOW: unit::Millis = unit::Millis::new(10_000);
/// How long a ticket is valid.
const TICKET_LIFETIME: unit::Millis = unit::Millis::new(4_000);
const HEARTBEAT_INTERVAL: unit::Millis = unit::Millis::new(100);
/// Default of [`Settings::chunk_interval`].
const CHUNK_INTERVAL: unit::Millis = unit::Millis::new(3);
/// How long a baseline waits for a response before it retries.
const BASELINE_TIMEOUT: unit::Millis = unit::Millis::new(400);
/// Attempts that an engine runs concurrently.
const ENGINE_SLOTS: usize = 8;
