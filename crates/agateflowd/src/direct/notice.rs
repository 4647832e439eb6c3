//! What upstreams say of themselves in their responses.

use agateflow::direct::rate;
use agateflow::event::Event;
use http::response;

use super::Entry;
use super::permit::Permit;
use crate::event;

impl Entry {
    /// Records what the upstream of `permit` says of itself in a response.
    pub fn record_notice(&self, head: &response::Parts, permit: &Permit) {
        let notice = self.dialect.parse_notice(head);
        let upstream = permit.upstream.incarnation();
        let changed = self.rates.borrow_mut().record_limit(
            &upstream,
            notice.rate_limit,
            permit.granted_at,
            self.now(),
        );
        if changed {
            event!(self.logger, Event::RateLimitNamed; "upstream" => %upstream.vm,
                "limit" => notice.rate_limit.map(rate::Limit::get));
        }
    }
}
