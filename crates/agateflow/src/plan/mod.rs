//! Planner of the expert map of a group.
//!
//! A step of a group runs its layers in sequence, and each layer takes as long as its slowest rank.
//! The planner places replicas of experts on ranks and splits the tokens of each expert among its
//! replicas, minimising a weighted sum of skew and moves. Layers are planned independently, as skew
//! is a mean and moves are a sum over layers.

pub mod check;
pub mod construct;
pub mod control;
pub mod cost;
pub mod document;
mod edit;
pub mod flow;
pub mod instance;
pub mod layout;
pub mod load;
pub mod map;
pub mod pace;
pub mod problem;
mod repair;
pub mod shares;
mod spare;
pub mod speed;

mod anneal;
mod decide;
mod descent;

pub use decide::{plan, plan_within, reshare};
