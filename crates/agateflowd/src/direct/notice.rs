//! Applies what upstreams say of themselves in their responses.

use agateflow::direct::directory::Incarnation;
use agateflow::direct::rate;
use agateflow::id;
use http::response;

use super::Entry;
use super::permit::Permit;
use crate::notice::{self, Notice};

impl Entry {
    /// Records and returns what the upstream of `permit` says of itself in a response.
    pub fn record_notice(&self, head: &response::Parts, permit: &Permit) -> Notice {
        let notice = self.dialect.parse_notice(head);
        let upstream = permit.upstream.incarnation();
        notice.log(&self.logger, &upstream.vm);
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
            let change = rate::Change { upstream: upstream.vm, limit };
            notice::log_rate_limit(&self.logger, &change, "response");
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
            notice::log_rate_limit(&self.logger, &change, "entry");
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
}
