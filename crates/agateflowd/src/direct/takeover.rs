//! Calls to ranks whose own agents are silent, beside the work for the own rank.

use std::net::SocketAddr;

use agateflow::lockstep::report::{Order, Report};
use agateflow::lockstep::takeover::Action;
use indexmap::{IndexMap, IndexSet};
use tokio::sync::mpsc;
use tokio::task;

use super::edge::{Rank, RankError, Receipt};

/// What became of a call.
#[derive(Debug)]
pub enum Outcome {
    /// The rank was read.
    Seen(u32, Result<Report, RankError>),
    /// The rank was given an order.
    Ordered(u32, Order, Result<Receipt, RankError>),
}

/// Calls in progress, one for each rank at most.
pub struct Calls {
    ranks: IndexMap<u32, SocketAddr>,
    busy: IndexSet<u32>,
    send: mpsc::UnboundedSender<Outcome>,
    receive: mpsc::UnboundedReceiver<Outcome>,
}

impl Calls {
    /// Creates a set without calls.
    pub fn new() -> Self {
        let (send, receive) = mpsc::unbounded_channel();
        Self { ranks: IndexMap::new(), busy: IndexSet::new(), send, receive }
    }

    /// Learns where the ranks of the group listen.
    pub fn meet(&mut self, ranks: IndexMap<u32, SocketAddr>) {
        self.ranks.extend(ranks);
    }

    /// Starts a call, unless the rank is busy with one or its address is not known.
    pub fn start<R: Rank>(&mut self, own: &R, step: Action) {
        let (Action::Probe(rank) | Action::Order(rank, _)) = step;
        let Some(&address) = self.ranks.get(&rank) else { return };
        if !self.busy.insert(rank) {
            return;
        }
        let other = own.other(address);
        let send = self.send.clone();
        task::spawn_local(async move {
            // Without a receiver the process ends.
            let _ = send.send(call(other, step).await);
        });
    }

    /// The next call that is over.
    pub async fn next(&mut self) -> Option<Outcome> {
        let outcome = self.receive.recv().await?;
        let (Outcome::Seen(rank, _) | Outcome::Ordered(rank, ..)) = &outcome;
        self.busy.swap_remove(rank);
        Some(outcome)
    }
}

impl Default for Calls {
    fn default() -> Self {
        Self::new()
    }
}

async fn call<R: Rank>(mut other: R, step: Action) -> Outcome {
    match step {
        Action::Probe(rank) => Outcome::Seen(rank, other.report().await),
        Action::Order(rank, order) => {
            let receipt = other.order(&order).await;
            Outcome::Ordered(rank, order, receipt)
        }
    }
}
