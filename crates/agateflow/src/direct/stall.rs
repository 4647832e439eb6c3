//! Detects a stalled lock-step group from the responses that arrive at one entry.
//!
//! All ranks of a group run their passes together, and each pass produces an event for each stream
//! that is decoding. If several requests get no event for many passes, the group has stalled.

use crate::unit;

/// Minimum number of requests in flight to detect a stall: a single one may be queued.
const MIN_REQUESTS: usize = 2;

/// Silence after which a group counts as stalled. Passes and first events take less.
const STALL_TIMEOUT: unit::Millis = unit::Millis::new(400);

/// Time between two checks above which this entry itself was paused.
const OWN_PAUSE_LIMIT: unit::Millis = unit::Millis::new(200);

/// An entry's requests in flight at a group, and the time of the last event.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    requests: usize,
    last_activity: unit::Millis,
    last_check: unit::Millis,
}

impl Detector {
    /// Records that a request was sent to the group.
    pub fn request_started(&mut self, now: unit::Millis) {
        if self.requests < MIN_REQUESTS {
            self.last_activity = now;
        }
        self.requests += 1;
    }

    /// Records that a request at the group ended.
    pub fn request_ended(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }

    /// Records that an event or a response arrived from the group.
    pub fn record_activity(&mut self, now: unit::Millis) {
        self.last_activity = now;
    }

    /// Number of requests in flight.
    pub const fn requests(&self) -> usize {
        self.requests
    }

    /// Time since the last event or response.
    pub fn silence(&self, now: unit::Millis) -> unit::Millis {
        now.saturating_sub(self.last_activity)
    }

    /// Whether the group has stalled. Must be called often: a long time between two calls means
    /// that this entry was paused and could not receive events.
    pub fn is_stalled(&mut self, now: unit::Millis) -> bool {
        if now > self.last_check + OWN_PAUSE_LIMIT {
            self.last_activity = self.last_activity.max(now);
        }
        self.last_check = now;
        self.requests >= MIN_REQUESTS && now >= self.last_activity + STALL_TIMEOUT
    }
}
