//! What upstreams say of themselves in their responses.

use agateflow::direct::directory::Incarnation;
use agateflow::direct::rate;
use agateflow::event::Event;
use agateflow::{id, unit};
use http::response;

use super::Entry;
use super::adapter::Notice;
use super::permit::Permit;
use crate::event;

impl Entry {
    /// Records and returns what the upstream of `permit` says of itself in a response.
    pub fn record_notice(&self, head: &response::Parts, permit: &Permit) -> Notice {
        let notice = self.dialect.parse_notice(head);
        let upstream = permit.upstream.incarnation();
        if notice.rest.is_some() || notice.leaving {
            event!(self.logger, Event::UpstreamNotice; "upstream" => %upstream.vm,
                "rest" => notice.rest.map(unit::Millis::get), "leaving" => notice.leaving);
        }
        if notice.leaving {
            self.record_leaving(&upstream);
        }
        if let Some(rest) = notice.rest {
            self.load.borrow_mut().record_rest(upstream.clone(), rest, self.now());
        }
        let limit = notice.rate_limit;
        let changed =
            self.rates.borrow_mut().record_limit(&upstream, limit, permit.granted_at, self.now());
        if changed {
            self.log_rate(&rate::Change { upstream: upstream.vm, limit }, "response");
            self.heartbeat_trigger.notify_one();
        }
        notice
    }

    /// Marks an upstream that leaves as draining, and sends the next heartbeat early.
    fn record_leaving(&self, upstream: &Incarnation) {
        let leaving = std::slice::from_ref(upstream);
        if self.directory.borrow_mut().mark_draining(leaving) {
            self.heartbeat_trigger.notify_one();
        }
    }

    /// Merges what another entry reports of rate limits.
    pub fn merge_rates(&self, peer: id::Incarnation, reports: &[rate::Report]) {
        if reports.is_empty() {
            return;
        }
        let now = self.now();
        let directory = self.directory.borrow();
        let is_listed = |upstream: &Incarnation| directory.lists(upstream);
        let members = self.peers.borrow().rate_members(now);
        let mut rates = self.rates.borrow_mut();
        rates.set_members(members);
        for change in rates.merge(peer, reports, is_listed, now) {
            self.log_rate(&change, "entry");
        }
    }

    /// Forgets rate limits of upstreams that are gone, and updates the entries that share limits.
    pub fn update_rates(&self) {
        let now = self.now();
        let directory = self.directory.borrow();
        let members = self.peers.borrow().rate_members(now);
        let mut rates = self.rates.borrow_mut();
        rates.set_members(members);
        rates.retain(|upstream| directory.lists(upstream), now);
    }

    fn log_rate(&self, change: &rate::Change, source: &str) {
        event!(self.logger, Event::RateLimitNamed; "upstream" => %change.upstream,
            "limit" => change.limit.map(rate::Limit::get), "source" => source);
    }
}
