//! Outages: times in which a group of ranks is closed.
//!
//! Signs of an outage are the registry's listing, ranks that refuse requests despite free capacity,
//! several unreachable ranks while none responds, a stall of the whole group, and ranks other than
//! those listed, which means that the whole group restarted and the registry is behind. The end of
//! an outage is unknown; it is assumed to last as long again as it has so far.

use crate::{id, unit};

/// Time within which a second unreachable rank shows that the fault is not in one rank.
const UNREACHABLE_WINDOW: unit::Millis = unit::Millis::new(1_500);

/// Shortest retry delay that callers are given.
const MIN_RETRY_AFTER: unit::Millis = unit::Millis::new(2_500);

/// Longest retry delay that callers are given.
const MAX_RETRY_AFTER: unit::Millis = unit::Millis::new(4_000);

/// First backoff of a closed group; it doubles with each failed probe.
const INITIAL_BACKOFF: unit::Millis = unit::Millis::new(400);

/// Longest backoff.
const MAX_BACKOFF: unit::Millis = unit::Millis::new(3_000);

/// Outage state of one group.
#[derive(Clone, Debug, Default)]
pub struct Outage {
    closed_since: Option<unit::Millis>,
    last_unreachable: Option<(id::Vm, unit::Millis)>,
    /// Length and end of the current backoff.
    backoff: Option<(unit::Millis, unit::Millis)>,
}

impl Outage {
    /// Records that the registry lists no rank whose group is open.
    pub fn mark_closed(&mut self, now: unit::Millis) {
        self.closed_since.get_or_insert(now);
    }

    /// Records an unreachable rank. A second one, with no response in between, closes the group.
    pub fn record_unreachable(&mut self, rank: &id::Vm, now: unit::Millis) {
        let is_second = self
            .last_unreachable
            .as_ref()
            .is_some_and(|(vm, at)| vm != rank && now < *at + UNREACHABLE_WINDOW);
        if is_second || self.is_probing() {
            self.back_off(now);
        }
        self.last_unreachable = Some((rank.clone(), now));
    }

    /// Closes the group and starts a backoff: a rank with free capacity refused a request, the group
    /// stalled, or its ranks are not the listed ones.
    pub fn back_off(&mut self, now: unit::Millis) {
        self.mark_closed(now);
        if self.is_backing_off(now) {
            return;
        }
        let backoff = self
            .backoff
            .map_or(INITIAL_BACKOFF, |(backoff, _)| (backoff + backoff).min(MAX_BACKOFF));
        self.backoff = Some((backoff, now + backoff));
    }

    /// Whether the group gets one request at a time, as a probe, once the backoff ends.
    pub const fn is_probing(&self) -> bool {
        self.backoff.is_some()
    }

    /// Whether a backoff is running, during which no requests should be sent.
    pub fn is_backing_off(&self, now: unit::Millis) -> bool {
        self.backoff.is_some_and(|(_, until)| now < until)
    }

    /// Ends the outage: a rank responded, or the registry lists the group as reopened.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Delay after which a caller should retry; `reopen_time` is the time that a group takes to
    /// open.
    pub fn retry_after(&self, reopen_time: unit::Millis, now: unit::Millis) -> unit::Millis {
        let closed_for = self
            .closed_since
            .map_or(unit::Millis::ZERO, |closed_since| now.saturating_sub(closed_since));
        (closed_for + reopen_time).max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER)
    }
}
