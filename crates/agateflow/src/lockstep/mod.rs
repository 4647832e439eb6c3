//! Keeps one expert map in use across all ranks of a group whose engines don't check this
//! themselves.
//!
//! Each rank has an agent that sends orders to it and, if other agents stop during a hold, to their
//! ranks (see [`takeover`]). A map change takes four steps; each starts after the previous one was
//! observed on every rank:
//!
//! 1. every rank copies the experts that are new to it (`prepare`);
//! 2. one rank holds a future pass, so the group cannot start it (`hold`);
//! 3. every rank is armed to switch at the start of that pass (`arm`);
//! 4. the hold is released (`go`).
//!
//! Orders may be lost or take effect seconds late. A change is never rolled back: a late `arm`
//! either has the intended effect, or names a pass that has started and is refused. All required
//! state is read from the ranks, so a restarted agent resumes where the previous one stopped.

pub mod agent;
pub mod balance;
mod coordinator;
pub mod demand;
pub mod events;
mod hold;
pub mod messaging;
pub mod pass;
mod recipients;
pub mod report;
pub mod takeover;
