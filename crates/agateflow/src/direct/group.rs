//! An entry's view of a lock-step group of ranks: its request limit, and whether it is closed or
//! stalled. A service has one or more independent groups; upstreams that are not ranks form one
//! group of independent members.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::directory::Upstream;
use super::limiter::Limiter;
use super::outage::Outage;
use super::share::Share;
use super::stall::Detector;
use super::{config, directory};
use crate::{id, unit};

/// Identifies a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Id {
    /// The service of its upstreams.
    pub service: id::Service,
    /// Its name; empty for upstreams that are not ranks.
    pub name: Box<str>,
}

impl Id {
    /// The group of `upstream`.
    pub fn of(upstream: &Upstream) -> Self {
        Self { service: upstream.service.clone(), name: name(upstream).into() }
    }

    /// Whether `upstream` belongs to the group.
    pub fn contains(&self, upstream: &Upstream) -> bool {
        self.service == upstream.service && *self.name == *name(upstream)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.name)
    }
}

/// Name of the group of `upstream`.
pub fn name(upstream: &Upstream) -> &str {
    upstream.rank.as_ref().map_or("", |rank: &directory::Rank| &*rank.group)
}

/// State of a group.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// Request limit per rank, if the ranks are engines.
    pub limiter: Option<Limiter>,
    /// Tracks whether it is closed.
    pub outage: Outage,
    /// Detects stalls.
    pub stall: Detector,
    /// This entry's share of the free capacity.
    pub share: Share,
    /// Time to open once all ranks are registered.
    pub reopen_time: unit::Millis,
}

impl Group {
    /// Applies the cost model, the longest pause that callers tolerate, and the cost factor that
    /// another entry measured, if known.
    pub fn configure(
        &mut self,
        engine: Option<config::Engine>,
        pause: Option<unit::Millis>,
        cost: Option<f64>,
        now: unit::Millis,
    ) {
        let Some(engine) = engine else { return };
        self.reopen_time = engine.reopen_time;
        if let (None, Some(pause)) = (&self.limiter, pause) {
            self.limiter = Some(Limiter::new(&engine, pause, cost, now));
        }
    }

    /// Maximum number of requests at `upstream`, a member of the group.
    pub fn limit(&self, upstream: &Upstream) -> f64 {
        self.limiter.as_ref().map_or_else(|| f64::from(upstream.slots), Limiter::limit)
    }

    /// Whether to send the group no requests now.
    pub fn is_closed(&self, now: unit::Millis) -> bool {
        let probe_in_flight = self.outage.is_probing() && self.stall.requests() > 0;
        self.limiter.is_some() && (self.outage.is_backing_off(now) || probe_in_flight)
    }

    /// Checks for a stall. Returns whether one was just detected.
    pub fn check_stall(&mut self, now: unit::Millis) -> bool {
        let stalled = self.limiter.is_some()
            && self.stall.is_stalled(now)
            && !self.outage.is_backing_off(now);
        if stalled {
            self.outage.back_off(now);
        }
        stalled
    }

    /// Records that an event or a response from one of its ranks arrived.
    pub fn record_activity(&mut self, now: unit::Millis) {
        self.stall.record_activity(now);
        self.outage.reset();
    }
}
