//! Requests, and parts of their prompts, that crash engines, as one entry sees them.

use agateflow::direct::quarantine::{self, Part};
use agateflow::direct::suspect::{self, Fingerprint, Incarnation};
use agateflow::id;
use agateflow::unit;
use indexmap::IndexMap;

/// Maximum number of engine crashes per request and entry before the request is rejected.
const MAX_CRASHES: usize = 2;

/// Retry-After for a request that crashes engines: about as long as its crashes are kept.
const POISON_RETRY_AFTER: unit::Millis = unit::Millis::new(60_000);

/// Time within which the attempts in progress at an engine report its crash.
const REPORT_TIME: unit::Millis = unit::Millis::new(500);

/// An attempt that an engine did not begin to answer before it crashed.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// VM of the engine.
    pub vm: &'a id::Vm,
    /// Incarnation of its upstream process.
    pub incarnation: id::Incarnation,
    /// Parts of the request's prompt that other requests may share.
    pub parts: &'a [Part],
    /// When it was sent.
    pub sent_at: unit::Millis,
}

/// Evidence against requests and parts of prompts.
#[derive(Debug)]
pub struct Suspects {
    requests: suspect::Register,
    parts: quarantine::Register,
    /// Number and time of the last crash of each engine, whose upstream process lives on.
    crashes: IndexMap<id::Vm, (u64, unit::Millis)>,
}

impl Suspects {
    /// Starts without evidence.
    pub fn new() -> Self {
        Self {
            requests: suspect::Register::new().with_max_crashes(MAX_CRASHES),
            parts: quarantine::Register::new(),
            crashes: IndexMap::new(),
        }
    }

    /// Records that an engine crashed with `request` in progress.
    pub fn record_request(
        &mut self,
        request: Fingerprint,
        vm: &id::Vm,
        incarnation: id::Incarnation,
        now: unit::Millis,
    ) {
        let upstream = Incarnation::new(vm.as_str(), incarnation.get() as u64);
        self.requests.record_crash(suspect::Crash { request, upstream }, now);
    }

    /// Records that an engine crashed before it began to answer `attempt`. Returns parts of prompts
    /// whose requests are refused from now on.
    pub fn record_attempt(
        &mut self,
        attempt: &Attempt<'_>,
        now: unit::Millis,
    ) -> Vec<quarantine::Exclusion> {
        let crash = self.crash(attempt.vm, attempt.incarnation, now);
        let run_time = now.saturating_sub(attempt.sent_at);
        self.parts.record_crash(crash, attempt.parts, run_time, now)
    }

    /// Identifies a crash: all attempts at an engine report the same one.
    fn crash(
        &mut self,
        vm: &id::Vm,
        incarnation: id::Incarnation,
        now: unit::Millis,
    ) -> Incarnation {
        let (number, at) = self.crashes.get(vm).copied().unwrap_or_default();
        let is_known = number > 0 && now < at + REPORT_TIME;
        let (number, at) = if is_known { (number, at) } else { (number + 1, now) };
        self.crashes.insert(vm.clone(), (number, at));
        Incarnation::new(&format!("{vm}/{incarnation}"), number)
    }

    /// Records that an engine answered a request with `parts`.
    pub fn record_answer(&mut self, parts: &[Part], now: unit::Millis) {
        self.parts.record_answer(parts, now);
    }

    /// Records that `request` was answered to its end.
    pub fn record_end(&mut self, request: Fingerprint, parts: &[Part], now: unit::Millis) {
        self.requests.clear(request);
        self.record_answer(parts, now);
    }

    /// Retry-After of a request that is refused because it crashes engines.
    pub fn refusal(
        &self,
        request: Fingerprint,
        parts: &[Part],
        now: unit::Millis,
    ) -> Option<unit::Millis> {
        if self.requests.is_poison(request, now) {
            return Some(POISON_RETRY_AFTER);
        }
        let exclusion = self.parts.exclusion(parts, now)?;
        Some(exclusion.until.saturating_sub(now))
    }
}

impl Default for Suspects {
    fn default() -> Self {
        Self::new()
    }
}
