//! Decisions of an entry that sends requests directly to upstreams, with no sidecar process:
//! routing, load balancing, queueing, retries, and the gossip between entries.

pub mod attempt;
pub mod budget;
pub mod config;
pub mod directory;
pub mod drain;
pub mod events;
pub mod group;
pub mod limiter;
pub mod load;
pub mod outage;
pub mod peer;
pub mod progress;
pub mod quarantine;
pub mod queue;
pub mod rate;
pub mod response;
pub mod share;
pub mod stall;
pub mod suspect;
