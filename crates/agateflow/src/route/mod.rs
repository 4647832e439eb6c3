//! Selection of an upstream for a request.
//!
//! Load reports are delayed, and all entries receive the same ones. A [`Balancer`] corrects them by
//! the requests that its own entry sent since, and compares two upstreams sampled at random, so
//! that entries that see the same idle upstream do not all choose it.

pub mod affinity;
pub mod failing;
pub mod load;

pub use load::{Balancer, Candidate, Report, Speed, Work};
