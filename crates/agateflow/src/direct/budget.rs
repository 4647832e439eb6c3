//! Retry budget of a service, enforced by each entry without a shared counter: an entry uses its
//! share of the fixed allowance plus a ratio of the requests that it received itself.

use std::collections::VecDeque;

use crate::unit;

/// Share of the budget that is used, so that entries with differing views stay within the total.
const USABLE_SHARE: f64 = 0.7;

/// The same for an entry that started less than one window ago: retries of the previous process
/// count against the fixed allowance too, but are no longer known.
const STARTUP_SHARE: f64 = 0.3;

/// Time after start during which the number of entries that share the allowance is unknown.
const SETTLE_TIME: unit::Millis = unit::Millis::new(2_000);

/// Retry limits set by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries per request.
    pub ratio: f64,
    /// Sliding window over which requests and retries are counted.
    pub window: unit::Millis,
    /// Retries beyond the ratio, for all entries together.
    pub fixed_allowance: f64,
}

/// Requests and retries of one service at one entry within the window.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    requests: VecDeque<unit::Millis>,
    retries: VecDeque<unit::Millis>,
}

impl Budget {
    /// Creates an unused budget.
    pub const fn new(limits: Limits) -> Self {
        Self { limits, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: unit::Millis) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Takes a retry if the budget allows one; `entries` share the fixed allowance. `now` is the
    /// time since this entry started.
    pub fn try_take(&mut self, entries: usize, now: unit::Millis) -> bool {
        let granted = self.can_retry(entries, now);
        if granted {
            self.retries.push_back(now);
        }
        granted
    }

    /// Whether the budget allows a retry; `entries` share the fixed allowance.
    pub fn can_retry(&mut self, entries: usize, now: unit::Millis) -> bool {
        self.drop_expired(now);
        let fixed_allowance =
            self.allowance_share(now) * self.limits.fixed_allowance / entries.max(1) as f64;
        let allowed =
            USABLE_SHARE * self.limits.ratio * self.requests.len() as f64 + fixed_allowance;
        (self.retries.len() as f64) + 1.0 <= allowed
    }

    fn allowance_share(&self, now: unit::Millis) -> f64 {
        match now {
            now if now < SETTLE_TIME => 0.0,
            now if now < self.limits.window => STARTUP_SHARE,
            _ => USABLE_SHARE,
        }
    }

    fn drop_expired(&mut self, now: unit::Millis) {
        let start = now.saturating_sub(self.limits.window);
        for queue in [&mut self.requests, &mut self.retries] {
            while queue.front().is_some_and(|&at| at < start) {
                queue.pop_front();
            }
        }
    }
}
