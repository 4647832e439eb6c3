//! Entry that proxies requests directly to upstreams.
//!
//! I/O and timers around the decisions in [`agateflow::direct`]. Everything runs on one thread, as
//! the VMs of entries have part of one core.

pub mod adapter;
pub mod agent;
pub mod call;
mod crash;
pub mod endpoint;
pub mod entry;
pub mod exchange;
pub mod gossip;
pub mod groups;
mod notice;
pub mod peer_sync;
pub mod permit;
pub mod pool;
pub mod reply;
pub mod request;
pub mod run;
pub mod server;
pub mod socket;
pub mod stream;
pub mod takeover;
pub mod waiting;

pub use entry::Entry;
