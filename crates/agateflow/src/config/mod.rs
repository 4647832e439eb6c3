//! The fleet's configuration: its types, parser and checks.
//!
//! [`parse`] is the only way from text to a [`Fleet`]. Whether it accepts a text depends on nothing
//! but the text, so every process accepts the same revisions.

pub(crate) mod check;
mod group;
mod kind;
mod lookup;
mod problem;
pub(crate) mod quantity;
pub(crate) mod read;
mod route;
pub(crate) mod select;
mod team;
mod vm;

use serde::Serialize;

pub use group::{Experts, Group, Layers, Model, Rank, Slots};
pub use kind::{Kind, decode};
pub use problem::{MAX_PROBLEMS, Problem, Problems};
pub use quantity::{Error, Rate, Speed, TokenRate, Weight};
pub use read::{MAX_BYTES, Unrecognized};
pub use route::{Method, Path, Route, Service};
pub use team::{Burst, Concurrency, KeyDigest, Limits, Priority, Team};
pub use vm::{Batch, Class, DataCentre, Fencing, Role, Vm};

use crate::unit;

/// The configuration of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The revision, which grows with each published configuration.
    pub revision: unit::Revision,
    /// The weight between step-time skew and moved experts.
    pub weights: Weights,
    /// The data centres.
    pub data_centres: Vec<DataCentre>,
    /// The classes of engine hardware.
    #[serde(default)]
    pub classes: Vec<Class>,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// The models.
    #[serde(default)]
    pub models: Vec<Model>,
    /// The groups of ranks.
    #[serde(default)]
    pub groups: Vec<Group>,
    /// The plain services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The routes to plain services.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// The teams.
    pub teams: Vec<Team>,
}

read::read_object!(Fleet {
    revision,
    weights,
    data_centres,
    classes = Vec::new(),
    vms,
    models = Vec::new(),
    groups = Vec::new(),
    services = Vec::new(),
    routes = Vec::new(),
    teams,
});

/// What the deployment weighs when it plans expert maps.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of step-time skew.
    pub skew: Weight,
    /// Weight of moved experts.
    pub moves: Weight,
}

read::read_object!(Weights { skew, moves });

/// Reads a configuration: JSON with comments.
///
/// # Errors
///
/// All problems of the text, up to [`MAX_PROBLEMS`]; a text of wrong syntax has one.
pub fn parse(text: &str) -> Result<Fleet, Problems> {
    read::document(text, check::fleet)
}

/// The JSON Schema of a configuration.
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(Fleet)
}
