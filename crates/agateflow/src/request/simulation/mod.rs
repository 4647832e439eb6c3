//! Joins requests and admission tables through an in-memory channel that loses, doubles and delays
//! messages, for tests and measurements. Every run is counted, every answer is checked.

mod baseline;
mod call;
mod caller;
mod driver;
mod entry;
mod event;
mod fault_injection;
mod fault_rates;
mod stats;
mod upstream;
mod upstream_actions;

use crate::unit;

pub use call::{Call, Kind};
pub use driver::Simulation;
pub use event::MessageFault;
pub use fault_rates::FaultRates;
pub use stats::Stats;

/// Which decisions a trial runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// [`super::Request`] and [`crate::admission::Table`].
    Agateflow,
    /// Entries send again after a timeout; upstreams run what arrives.
    RetryOnTimeout,
    /// As `RetryOnTimeout` for repeatable calls only; each entry remembers the keys that it saw.
    EntryMemory,
}

/// Settings of a [`World`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of entries.
    pub entries: usize,
    /// Number of upstreams, all of them homes of keys.
    pub upstreams: usize,
    /// The decisions.
    pub mode: Mode,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Random faults.
    pub faults: FaultRates,
    /// Time that a caller gives a request.
    pub deadline: unit::Millis,
    /// Hedging of repeatable calls.
    pub hedge_after: Option<unit::Millis>,
    /// Between two parts of an answer.
    pub chunk_interval: unit::Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            entries: 3,
            upstreams: 3,
            mode: Mode::Agateflow,
            seed: 1,
            faults: FaultRates::none(),
            deadline: unit::Millis::new(2_000),
            hedge_after: None,
            chunk_interval: CHUNK_INTERVAL,
        }
    }
}

/// How long a start is valid.
const VALIDITY: unit::Millis = unit::Millis::new(3_000);
/// How long callers send a key again, with their deadline and the validity of starts.
const WINDOW: unit::Millis = unit::Millis::new(10_000);
/// Life of a ticket.
const TICKET_LIFETIME: unit::Millis = unit::Millis::new(4_000);
/// Between two heartbeats of an upstream.
const HEARTBEAT_INTERVAL: unit::Millis = unit::Millis::new(100);
/// Between two parts of an answer.
const CHUNK_INTERVAL: unit::Millis = unit::Millis::new(3);
/// How long a baseline waits for an answer.
const BASELINE_TIMEOUT: unit::Millis = unit::Millis::new(400);
/// Attempts that an engine runs at once.
const ENGINE_SLOTS: usize = 8;
