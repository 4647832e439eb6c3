//! Processor time of the threads of one role, as the kernel accounts it.

use std::fs;
use std::time::Duration;

use crate::error::Error;

/// Length of one tick of the kernel's accounting.
const TICK: Duration = Duration::from_millis(10);

/// Positions of user and system time among the fields after a thread's name (proc(5)).
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// Processor time that all threads named `name` have used.
///
/// # Errors
///
/// [`Error::File`] if the kernel's accounts cannot be read.
pub fn of_threads(name: &str) -> Result<Duration, Error> {
    let tasks = "/proc/self/task";
    let failed = |e| Error::file("read", tasks.as_ref(), e);
    let mut total = Duration::ZERO;
    for entry in fs::read_dir(tasks).map_err(failed)? {
        let path = entry.map_err(failed)?.path().join("stat");
        // A thread that has just ended is gone.
        let Ok(stat) = fs::read_to_string(&path) else { continue };
        total += used(&stat, name).unwrap_or_default();
    }
    Ok(total)
}

fn used(stat: &str, name: &str) -> Option<Duration> {
    let (head, fields) = stat.rsplit_once(") ")?;
    let (_, own) = head.split_once('(')?;
    if own != name {
        return None;
    }
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = |index: usize| fields.get(index)?.parse::<u32>().ok();
    Some(TICK * (ticks(USER_FIELD)? + ticks(SYSTEM_FIELD)?))
}
