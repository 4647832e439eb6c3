//! The process's monotonic clock.

use std::sync::LazyLock;

use agateflow::unit;
use tokio::time::{Duration, Instant};

/// Offset of the clock's start, so that instants before it can be expressed.
const START: Duration = Duration::from_secs(3600);

static BASE: LazyLock<Instant> = LazyLock::new(Instant::now);

/// The time now. It only grows, and means nothing in another process.
pub fn now() -> unit::Millis {
    let elapsed = BASE.elapsed() + START;
    unit::Millis::new(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// The instant at which the clock shows `time`.
pub fn instant(time: unit::Millis) -> Instant {
    Instant::now() + time.saturating_sub(now()).duration()
}
