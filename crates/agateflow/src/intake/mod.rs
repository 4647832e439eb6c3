//! What an entry holds for callers: one budget of memory and connections, with an account for each connection.
//!
//! The budget is charged for what is held and released when it is given up, whichever way a request ends. When it is
//! full, [`Ledger`] names the connections that have to go: those that hold much and move little, from the team and
//! the caller that hold most. A caller whose requests are small and move is never among them.

mod account;
mod ledger;
mod limits;

pub use account::Stage;
pub use ledger::{Cause, Eviction, Id, Ledger, Verdict};
pub use limits::{CONNECTION, Limits, Machine, SMALL};
