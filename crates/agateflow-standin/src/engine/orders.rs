//! Orders to an engine, with or without a check of their fencing tokens.

use serde::{Deserialize, Serialize};

/// Whether an engine checks fencing tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// An order with a lower token than the last one is rejected.
    Checked,
    /// Fencing tokens are ignored.
    Ignored,
}

/// An order, such as to load a model or to change the role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Its fencing token, which only grows within an engine.
    pub fence: u64,
    /// What to do.
    pub order: serde_json::Value,
}

/// The orders of one engine.
#[derive(Clone, Debug)]
pub struct Orders {
    fencing: Fencing,
    accepted: Vec<Order>,
}

impl Orders {
    /// Creates an empty list.
    pub fn new(fencing: Fencing) -> Self {
        Self { fencing, accepted: Vec::new() }
    }

    /// Accepts an order, or returns the newer fencing token that rejects it.
    pub fn accept(&mut self, order: Order) -> Result<(), u64> {
        let highest = self.accepted.iter().map(|order| order.fence).max().unwrap_or(0);
        if self.fencing == Fencing::Checked && order.fence < highest {
            return Err(highest);
        }
        self.accepted.push(order);
        Ok(())
    }

    /// The accepted orders, in order of arrival.
    pub fn accepted(&self) -> &[Order] {
        &self.accepted
    }
}
