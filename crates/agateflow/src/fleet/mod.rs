//! Cluster membership, load reports and distribution of configuration revisions.
//!
//! [`node::Node`] is the state machine of one process; the other modules are its components and can
//! be used independently.

pub mod gossip;
pub mod member;
pub mod message;
pub mod node;
pub mod parts;
pub mod rendezvous;
pub mod replay;
pub mod revision;
pub mod summary;
pub mod watch;

use crate::unit;

/// Interval at which an upstream process sends heartbeats to each entry of its data centre.
pub const UPSTREAM_HEARTBEAT_INTERVAL: unit::Millis = unit::Millis::new(1_200);
/// Time without a heartbeat after which an upstream process is suspected to have failed.
pub const UPSTREAM_HEARTBEAT_TIMEOUT: unit::Millis = unit::Millis::new(2_800);
/// Interval at which an entry sends heartbeats to each other entry of its data centre.
pub const ENTRY_HEARTBEAT_INTERVAL: unit::Millis = unit::Millis::new(5_000);
/// Time without a heartbeat after which an entry is suspected to have failed.
pub const ENTRY_HEARTBEAT_TIMEOUT: unit::Millis = unit::Millis::new(12_500);
/// Interval at which a process requests the directory of known entries from a random entry.
pub const DIRECTORY_INTERVAL: unit::Millis = unit::Millis::new(10_000);
/// Interval at which [`node::Node::tick`] must be called.
pub const TICK_INTERVAL: unit::Millis = unit::Millis::new(100);
