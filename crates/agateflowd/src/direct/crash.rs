//! Crashes of upstreams, and the requests that are refused because they cause them.

use std::time::Duration;

use agateflow::direct::directory::Upstream;
use agateflow::direct::{quarantine, suspect};
use agateflow::event::Event;
use agateflow::unit;
use tokio::time;

use super::request::Request;
use super::{Entry, socket};
use crate::{event, meter};

/// Timeout of the connection that shows whether an upstream still listens.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after the start in which other entries tell of crashes.
const LEARN_TIME: unit::Millis = unit::Millis::new(150);

/// `retry-after` for a request that crashed upstreams whenever it was sent.
const POISON_RETRY_AFTER: unit::Millis = unit::Millis::new(60_000);

/// Latest crashes kept for heartbeats.
const MAX_RECENT_CRASHES: usize = 16;

impl Entry {
    /// Records that `upstream` broke off while `request` ran.
    pub fn record_break(&self, request: &Request, upstream: &Upstream) {
        let crash =
            suspect::Crash { request: request.fingerprint, upstream: incarnation(upstream) };
        self.add_crash(crash);
    }

    /// Records a crash. A new one is passed on with the next heartbeats.
    pub fn add_crash(&self, crash: suspect::Crash) {
        let now = self.now();
        if !self.suspects.borrow_mut().record_crash(crash, now) {
            return;
        }
        let mut crashes = self.recent_crashes.borrow_mut();
        if crashes.len() >= MAX_RECENT_CRASHES {
            crashes.remove(0);
        }
        crashes.push(crash);
    }

    /// Recent crashes, own and reported.
    pub fn recent_crashes(&self) -> Vec<suspect::Crash> {
        self.recent_crashes.borrow().clone()
    }

    /// Checks whether `upstream`, which broke off before it answered `request`, has crashed, and
    /// records the parts of the request's prompt if so.
    pub async fn check_crash(&self, request: &Request, sent_at: unit::Millis, upstream: &Upstream) {
        let now = self.now();
        if request.parts.is_empty() {
            return;
        }
        if !socket::is_refused(upstream.address, CHECK_TIMEOUT).await {
            event!(self.logger, Event::UpstreamAlive; "id" => &*request.info.id,
                "upstream" => %upstream.vm);
            return;
        }
        event!(self.logger, Event::CrashRecorded; "id" => &*request.info.id,
            "upstream" => %upstream.vm, "parts" => request.info.prompt_parts.join(" "),
            "hashes" => request.part_hashes());
        let crash = incarnation(upstream);
        let run_time = now.saturating_sub(sent_at);
        let exclusions =
            self.quarantine.borrow_mut().record_crash(crash, &request.parts, run_time, now);
        self.heartbeat_trigger.notify_one();
        self.announce(&exclusions);
    }

    /// Records that an upstream answered `request`.
    pub fn record_answer(&self, request: &Request) {
        let now = self.now();
        let exclusions = self.quarantine.borrow_mut().record_answer(&request.parts, now);
        self.announce(&exclusions);
    }

    /// Merges the evidence of another entry.
    pub fn merge_evidence(&self, items: &[quarantine::Item]) {
        let now = self.now();
        let exclusions = self.quarantine.borrow_mut().merge(items, now);
        self.announce(&exclusions);
    }

    /// Logs new exclusions, and has the waiting requests checked again.
    fn announce(&self, exclusions: &[quarantine::Exclusion]) {
        let now = self.now();
        for exclusion in exclusions {
            event!(self.logger, Event::PartQuarantined; "parts" => %exclusion,
                "crashes" => exclusion.crashes,
                "duration" => %exclusion.until.saturating_sub(now));
            meter::quarantined();
        }
        if !exclusions.is_empty() {
            self.exclusions_changed.send_replace(());
        }
    }

    /// Waits until this entry knows the crashes that concern `request`, just after its start.
    pub async fn learn_crashes(&self, request: &Request) {
        let now = self.now();
        if !request.parts.is_empty() && now < LEARN_TIME {
            time::sleep(LEARN_TIME.saturating_sub(now).duration()).await;
        }
    }

    /// `retry-after` of `request` if it is refused because it crashes upstreams.
    pub fn crash_refusal(&self, request: &Request) -> Option<unit::Millis> {
        let now = self.now();
        if self.suspects.borrow().is_poison(request.fingerprint, now) {
            return Some(POISON_RETRY_AFTER);
        }
        let quarantine = self.quarantine.borrow();
        let exclusion = quarantine.exclusion(&request.parts, now)?;
        Some(exclusion.until.saturating_sub(now))
    }

    /// Waits until `request` is refused because it crashes upstreams, and returns its `retry-after`.
    pub async fn until_refused(&self, request: &Request) -> unit::Millis {
        let mut changes = self.exclusions_changed.subscribe();
        loop {
            if let Some(retry_delay) = self.crash_refusal(request) {
                return retry_delay;
            }
            // The sender is never dropped before the entry.
            let _ = changes.changed().await;
        }
    }
}

fn incarnation(upstream: &Upstream) -> suspect::Incarnation {
    suspect::Incarnation::new(upstream.vm.as_str(), upstream.started_at)
}
