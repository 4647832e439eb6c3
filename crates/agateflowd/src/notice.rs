//! What upstreams say of themselves in their responses.

use agateflow::direct::rate;
use agateflow::event::Event;
use agateflow::{id, unit};

use crate::event;

/// What an upstream says of itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Request rate that it accepts from all entries together, if limited.
    pub rate_limit: Option<rate::Limit>,
    /// Time for which it accepts no requests from this sender, if it refused one.
    pub rest: Option<unit::Millis>,
    /// Whether it is shutting down.
    pub leaving: bool,
}

impl Notice {
    /// Logs that the upstream on `vm` asks for no requests, if it does.
    pub fn log(&self, logger: &slog::Logger, vm: &id::Vm) {
        if self.rest.is_some() || self.leaving {
            event!(logger, Event::UpstreamNotice; "upstream" => %vm,
                "rest" => self.rest.map(unit::Millis::get), "leaving" => self.leaving);
        }
    }
}

/// Logs a change of the rate limit in force. `source` tells who reported it.
pub fn log_rate_limit(logger: &slog::Logger, change: &rate::Change, source: &str) {
    event!(logger, Event::RateLimitNamed; "upstream" => %change.upstream,
        "limit" => change.limit.map(rate::Limit::get), "source" => source);
}
