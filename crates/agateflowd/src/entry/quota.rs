//! Limits of teams in the running path.

use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use agateflow::{config, id, limit};
use http::StatusCode;
use tokio::sync::{broadcast, watch};
use tokio::time;

use crate::entry::Shared;
use crate::entry::problem::Problem;

/// A request that counts against its team's limits until dropped.
pub struct Permit {
    shared: Arc<Shared>,
    team: id::Team,
}

impl Permit {
    /// Admits a request of `team`.
    ///
    /// # Errors
    ///
    /// A 429 problem if the team is over its limits. Nothing ran.
    pub fn new(shared: &Arc<Shared>, team: &id::Team) -> Result<Self, Problem> {
        let taken = table(shared).admit(team, shared.members.now());
        let refused = |refusal: limit::Refusal| {
            let detail = format!("team {team} is over its limits");
            let problem = Problem::not_run(StatusCode::TOO_MANY_REQUESTS, detail);
            problem.with_retry_after(refusal.retry_after)
        };
        taken.map_err(refused)?;
        Ok(Self { shared: shared.clone(), team: team.clone() })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        table(&self.shared).release(&self.team);
    }
}

fn table(shared: &Shared) -> MutexGuard<'_, limit::Table> {
    shared.quota.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Puts the limits of `fleet` in force.
pub fn configure(shared: &Shared, fleet: &config::Fleet) {
    table(shared).configure(fleet, shared.members.now());
}

/// Lends and borrows shares until the entry stops.
pub async fn lend(shared: Arc<Shared>, mut stopped: watch::Receiver<bool>) {
    let mut items = shared.members.items();
    let mut ticks = time::interval(limit::TICK_INTERVAL.duration());
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                let version = since.as_millis() as u64;
                let news = table(&shared).tick(version, shared.members.now());
                news.into_iter().for_each(|item| shared.members.publish(item));
            }
            item = items.recv() => match item {
                Ok(item) => table(&shared).record_demand(&item, shared.members.now()),
                // Demands that were missed are published again.
                Err(broadcast::error::RecvError::Lagged(_)) => {}
                Err(broadcast::error::RecvError::Closed) => return,
            },
            _ = stopped.wait_for(|stop| *stop) => return,
        }
    }
}
