//! Choice of an upstream for a request.
//!
//! Load reports are late and reach every entry alike. A [`Ledger`] corrects them by what its own
//! entry sent since, and the choice is between two upstreams drawn at random, so that entries that
//! see the same idle upstream do not all take it.

pub mod affinity;
pub mod failing;
pub mod load;

pub use load::{Balancer, Candidate, Report, Speed, Work};
