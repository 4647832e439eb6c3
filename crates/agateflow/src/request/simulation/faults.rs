//! Rates of random faults.

/// Rates of random faults: of messages per 10,000 messages, of processes and links per 10,000
/// heartbeat intervals of each.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Messages dropped while the link stays up.
    pub message_loss: u32,
    /// Messages duplicated; the copy arrives up to 5 s late.
    pub message_duplication: u32,
    /// Messages delayed by up to 5 s.
    pub message_delay: u32,
    /// Links cut for up to 2 s.
    pub link_cut: u32,
    /// Upstreams killed and replaced under the same name.
    pub upstream_kill: u32,
    /// Upstreams paused for up to 4 s.
    pub upstream_pause: u32,
    /// Upstreams drained and then replaced.
    pub upstream_drain: u32,
    /// Engines that crash.
    pub engine_crash: u32,
    /// Entries killed and replaced.
    pub entry_kill: u32,
    /// Entries paused for up to 4 s.
    pub entry_pause: u32,
    /// Attempts whose connection the engine does not accept, per 10,000 attempts.
    pub engine_unreachable: u32,
    /// Attempts that the engine aborts, per 10,000 attempts.
    pub engine_abort: u32,
    /// Callers that disconnect early, per 10,000 calls.
    pub caller_disconnect: u32,
}

impl Faults {
    /// No faults.
    pub const fn none() -> Self {
        Self {
            message_loss: 0,
            message_duplication: 0,
            message_delay: 0,
            link_cut: 0,
            upstream_kill: 0,
            upstream_pause: 0,
            upstream_drain: 0,
            engine_crash: 0,
            entry_kill: 0,
            entry_pause: 0,
            engine_unreachable: 0,
            engine_abort: 0,
            caller_disconnect: 0,
        }
    }

    /// All kinds of faults at once.
    pub const fn all() -> Self {
        Self {
            message_loss: 20,
            message_duplication: 50,
            message_delay: 50,
            link_cut: 20,
            upstream_kill: 20,
            upstream_pause: 20,
            upstream_drain: 10,
            engine_crash: 20,
            entry_kill: 5,
            entry_pause: 10,
            engine_unreachable: 100,
            engine_abort: 50,
            caller_disconnect: 50,
        }
    }

    /// Divides each rate; nonzero rates stay at least 1.
    pub fn divided(self, by: u32) -> Self {
        let scaled = |rate: u32| if rate == 0 { 0 } else { (rate / by).max(1) };
        Self {
            message_loss: scaled(self.message_loss),
            message_duplication: scaled(self.message_duplication),
            message_delay: scaled(self.message_delay),
            link_cut: scaled(self.link_cut),
            upstream_kill: scaled(self.upstream_kill),
            upstream_pause: scaled(self.upstream_pause),
            upstream_drain: scaled(self.upstream_drain),
            engine_crash: scaled(self.engine_crash),
            entry_kill: scaled(self.entry_kill),
            entry_pause: scaled(self.entry_pause),
            engine_unreachable: scaled(self.engine_unreachable),
            engine_abort: scaled(self.engine_abort),
            caller_disconnect: scaled(self.caller_disconnect),
        }
    }
}
