//! The daemon's roles as a library, so that a test or the demo can run several in one process.

pub mod blocks;
pub mod cli;
pub mod clock;
pub mod configuration;
pub mod connection;
pub mod direct;
pub mod entry;
pub mod error;
pub mod exit_codes;
pub mod fleet;
pub mod intake;
pub mod link;
pub mod listener;
pub mod log;
pub mod meter;
pub mod notice;
pub mod operators;
pub mod process;
pub mod retry_after;
pub mod signal;
pub mod upstream;
