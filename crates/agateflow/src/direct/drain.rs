//! Decides which requests an entry that shuts down still takes, and when the others are answered.

use crate::unit;

/// Time before the end of the grace period at which requests without a response get their final one.
const ANSWER_MARGIN: unit::Millis = unit::Millis::new(500);

/// Times of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    late_from: unit::Millis,
    answer_by: unit::Millis,
}

impl Schedule {
    /// Schedule of a shutdown that begins at `started`. The load balancer sends requests for
    /// `unready_time`, and the process is killed after `grace_period`.
    pub fn new(
        started: unit::Millis,
        unready_time: unit::Millis,
        grace_period: unit::Millis,
    ) -> Self {
        Self {
            late_from: started + unready_time,
            answer_by: started + grace_period.saturating_sub(ANSWER_MARGIN),
        }
    }

    /// Whether a request that arrived at `now` is taken. A late one must end by its `deadline` before
    /// the process does.
    pub fn admits(&self, now: unit::Millis, deadline: unit::Millis) -> bool {
        now < self.late_from || deadline <= self.answer_by
    }

    /// When requests without a response get their final one.
    pub const fn answer_by(&self) -> unit::Millis {
        self.answer_by
    }
}
