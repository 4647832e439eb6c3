//! Coordination logic of a load balancer for groups of engines that serve expert-parallel models.
//!
//! Decisions are made by pure state machines: they take a state, an input and the time, and return
//! outputs. They have no socket, clock or global random number generator, so that they can be
//! embedded elsewhere and tests can drive them through any order of events.

pub mod admission;
pub mod config;
pub mod direct;
pub mod event;
pub mod fleet;
pub mod group;
pub mod id;
pub mod intake;
pub mod kernel;
pub mod limit;
pub mod lockstep;
pub mod outcome;
pub mod plan;
pub mod poison;
pub mod queue;
pub mod request;
pub mod route;
pub mod settings;
pub mod unit;
pub mod wire;
