//! The platform's balancer in front of the entries: it sends to those that are healthy.

use std::sync::Arc;
use std::time::Duration;

use super::fleet::{Fleet, healthy};
use crate::error::Error;
use crate::load;

/// Interval between health checks of the entries.
const INTERVAL: Duration = Duration::from_millis(100);

/// A running balancer. Dropping it ends it.
pub struct Balancer {
    fleet: Arc<Fleet>,
    pool: Arc<load::Pool>,
    task: tokio::task::JoinHandle<()>,
}

impl Balancer {
    /// Starts the health checks of the entries.
    pub fn start(fleet: Arc<Fleet>) -> Self {
        let pool = Arc::new(load::Pool::new(Vec::new()));
        let task = tokio::spawn(follow(Arc::clone(&fleet), Arc::clone(&pool)));
        Self { fleet, pool, task }
    }

    /// The entries to send to.
    pub fn pool(&self) -> Arc<load::Pool> {
        Arc::clone(&self.pool)
    }

    /// Waits until every entry is healthy.
    ///
    /// # Errors
    ///
    /// [`Error::Step`] if one is not in time.
    pub async fn wait(&self, timeout: Duration) -> Result<(), Error> {
        let entries = self.fleet.members().iter().filter(|m| m.callers.is_some()).count();
        let all = async {
            while healthy(&self.fleet).await.len() < entries {
                tokio::time::sleep(INTERVAL).await;
            }
            self.pool.set(healthy(&self.fleet).await);
        };
        let late = |_| Error::step("start fleet", "entries are not healthy");
        tokio::time::timeout(timeout, all).await.map_err(late)
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn follow(fleet: Arc<Fleet>, pool: Arc<load::Pool>) {
    loop {
        pool.set(healthy(&fleet).await);
        tokio::time::sleep(INTERVAL).await;
    }
}
