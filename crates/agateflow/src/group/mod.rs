//! Agreement of a group's ranks on the term, step, expert map and membership.
//!
//! There is no shared store and no majority quorum. A rank votes for each step number at most once,
//! and runs a step only with an equal vote of every member. So two memberships that share a rank
//! never run a step in two ways, even if messages are lost, duplicated or late or ranks pause or
//! restart.

pub mod coordinator;
pub mod coverage;
pub mod fence;
pub mod instance;
pub mod message;
pub mod rank;
pub mod term;

pub use self::term::Term;
