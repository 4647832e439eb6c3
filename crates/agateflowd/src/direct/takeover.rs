//! Calls to ranks whose own agents are silent, concurrent with the work for the local rank.

use std::net::SocketAddr;

use agateflow::lockstep::report::{Order, Report};
use agateflow::lockstep::takeover::Action;
use indexmap::{IndexMap, IndexSet};
use tokio::sync::mpsc;
use tokio::task;

use super::adapter::{Rank, RankError, Receipt};

/// Outcome of a call to a rank.
#[derive(Debug)]
pub enum Outcome {
    /// The rank's state was read.
    Read(u32, Result<Report, RankError>),
    /// An order was sent to the rank.
    Ordered(u32, Order, Result<Receipt, RankError>),
}

/// Calls in progress, at most one per rank.
pub struct Calls {
    ranks: IndexMap<u32, SocketAddr>,
    in_progress: IndexSet<u32>,
    sender: mpsc::UnboundedSender<Outcome>,
    receiver: mpsc::UnboundedReceiver<Outcome>,
}

impl Calls {
    /// Creates an empty set.
    pub fn new() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self { ranks: IndexMap::new(), in_progress: IndexSet::new(), sender, receiver }
    }

    /// Adds addresses of ranks of the group.
    pub fn add_ranks(&mut self, ranks: IndexMap<u32, SocketAddr>) {
        self.ranks.extend(ranks);
    }

    /// Starts a call unless one to the rank is in progress or its address is unknown.
    pub fn start<R: Rank>(&mut self, own_client: &R, step: Action) {
        let (Action::Probe(rank) | Action::Order(rank, _)) = step;
        let Some(&address) = self.ranks.get(&rank) else { return };
        if !self.in_progress.insert(rank) {
            return;
        }
        let client = own_client.with_address(address);
        let sender = self.sender.clone();
        task::spawn_local(async move {
            // Fails only while the process ends.
            let _ = sender.send(call(client, step).await);
        });
    }

    /// Waits for the next call to complete.
    pub async fn next(&mut self) -> Option<Outcome> {
        let outcome = self.receiver.recv().await?;
        let (Outcome::Read(rank, _) | Outcome::Ordered(rank, ..)) = &outcome;
        self.in_progress.swap_remove(rank);
        Some(outcome)
    }
}

impl Default for Calls {
    fn default() -> Self {
        Self::new()
    }
}

async fn call<R: Rank>(mut client: R, step: Action) -> Outcome {
    match step {
        Action::Probe(rank) => Outcome::Read(rank, client.read_report().await),
        Action::Order(rank, order) => {
            let receipt = client.send_order(&order).await;
            Outcome::Ordered(rank, order, receipt)
        }
    }
}
