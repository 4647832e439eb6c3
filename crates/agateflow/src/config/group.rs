//! Models and the groups of ranks that serve them.

use serde::Serialize;

use super::quantity;
use super::read;
use crate::id;
use crate::unit;

/// A model.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name, as callers give it.
    pub name: id::Model,
    /// The adapters that callers may ask for.
    #[serde(default)]
    pub adapters: Vec<id::Adapter>,
    /// Size of one expert of one layer, which a rank loads when the expert moves to it.
    #[serde(serialize_with = "quantity::text")]
    #[schemars(schema_with = "quantity::size_schema")]
    pub expert_size: unit::Bytes,
}

read::read_object!(Model { name, adapters = Vec::new(), expert_size });

/// A group of ranks that serve one model in lock-step.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Its name.
    pub name: id::Group,
    /// The model that it serves.
    pub model: id::Model,
    /// Layers with experts.
    pub layers: Layers,
    /// Experts of each layer.
    pub experts: Experts,
    /// Experts of one layer that one rank holds.
    pub slots: Slots,
    /// Its ranks.
    pub ranks: Vec<Rank>,
}

read::read_object!(Group { name, model, layers, experts, slots, ranks });

impl Group {
    /// Whether every expert of a layer has a slot when `ranks` of the group's ranks run.
    pub fn fits(&self, ranks: usize) -> bool {
        let slots = ranks as u64 * u64::from(self.slots.get());
        slots >= u64::from(self.experts.get())
    }
}

/// A rank of a group.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rank {
    /// Its name, unique in its group.
    pub name: id::Rank,
    /// The engine VM that runs it; one VM may run several ranks of the same group.
    pub vm: id::Vm,
}

read::read_object!(Rank { name, vm });

quantity::count! {
    /// A count of layers.
    Layers, 1024
}
quantity::count! {
    /// A count of experts of one layer.
    Experts, 4096
}
quantity::count! {
    /// A count of slots for experts of one layer.
    Slots, 4096
}
