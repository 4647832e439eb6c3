//! Stand-ins for the services of the platform: engines, plain services, the configuration service, the
//! list of VMs and the weight store, each with faults that a scenario sets.
//!
//! Each stand-in serves HTTP on an address of its own, from a thread of its own, so that a test can
//! pause it or crash it like a process. Callers that do not behave have a stand-in too, and what a process
//! holds for them can be sampled.

pub mod answer;
pub mod configuration;
pub mod crowd;
pub mod engine;
pub mod error;
pub mod fault;
mod history;
pub mod host;
pub mod ranks;
mod reply;
pub mod service;
pub mod usage;
pub mod vms;
pub mod weights;
