//! Faults of a stand-in, set by a scenario while it runs.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use agateflow::unit;
use http::{HeaderName, HeaderValue};
use tokio::sync::Notify;

/// Faults that apply to each request.
#[derive(Clone, Debug, Default)]
struct Plan {
    delay: unit::Millis,
    refuse: bool,
    marker: Option<Box<[u8]>>,
    cut: Option<Cut>,
    notices: Vec<(HeaderName, HeaderValue)>,
}

/// Position at which responses are cut, and how many more of them.
#[derive(Clone, Copy, Debug)]
struct Cut {
    after: u64,
    times: u64,
}

/// State of the process of a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It serves.
    Running,
    /// It is paused, with its connections open.
    Paused,
    /// It has ended; connections to it are refused.
    Crashed,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    held: bool,
}

/// Fault that applies to a request before it is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Serve { cut_after: Option<u64> },
    Refuse,
    Crash,
}

/// Fault switches of a stand-in, which any thread may set at any time.
#[derive(Debug)]
pub struct Control {
    plan: Mutex<Plan>,
    state: Mutex<State>,
    changed: Condvar,
    wake: Notify,
}

impl Default for Control {
    fn default() -> Self {
        Self::new()
    }
}

impl Control {
    /// Creates the switches without a fault.
    pub fn new() -> Self {
        Self {
            plan: Mutex::default(),
            state: Mutex::new(State { mode: Mode::Crashed, held: false }),
            changed: Condvar::new(),
            wake: Notify::new(),
        }
    }

    /// Delays each request before it is handled.
    pub fn delay(&self, time: unit::Millis) {
        lock(&self.plan).delay = time;
    }

    /// Refuses each request with status 503 while set.
    pub fn refuse(&self, refuse: bool) {
        lock(&self.plan).refuse = refuse;
    }

    /// Crashes the stand-in when a request's body contains `marker`.
    pub fn crash_on(&self, marker: &str) {
        lock(&self.plan).marker = Some(marker.as_bytes().into());
    }

    /// Cuts the next `times` answers after their first `events` events or body frames.
    pub fn cut(&self, events: u64, times: u64) {
        lock(&self.plan).cut = Some(Cut { after: events, times });
    }

    /// Adds a header to each response, with which the stand-in says something of itself.
    pub fn announce(&self, name: &'static str, value: &'static str) {
        let header = (HeaderName::from_static(name), HeaderValue::from_static(value));
        lock(&self.plan).notices.push(header);
    }

    pub(crate) fn notices(&self) -> Vec<(HeaderName, HeaderValue)> {
        lock(&self.plan).notices.clone()
    }

    /// Clears delay, refusal, marker, cut and announcements.
    pub fn clear(&self) {
        *lock(&self.plan) = Plan::default();
    }

    /// State of the stand-in's process.
    pub fn mode(&self) -> Mode {
        lock(&self.state).mode
    }

    pub(crate) async fn meet(&self, body: &[u8]) -> Verdict {
        let delay = lock(&self.plan).delay;
        if delay > unit::Millis::ZERO {
            tokio::time::sleep(delay.duration()).await;
        }
        let mut plan = lock(&self.plan);
        if plan.refuse {
            return Verdict::Refuse;
        }
        if plan.marker.as_deref().is_some_and(|marker| contains(body, marker)) {
            return Verdict::Crash;
        }
        Verdict::Serve { cut_after: plan.cut.as_mut().and_then(Cut::take) }
    }

    /// Changes the mode. Returns from a pause once the process has stopped.
    pub(crate) fn switch(&self, mode: Mode) {
        let mut state = lock(&self.state);
        if state.mode == Mode::Crashed && mode == Mode::Paused {
            return;
        }
        state.mode = mode;
        self.wake.notify_one();
        self.changed.notify_all();
        while state.mode == Mode::Paused && !state.held {
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Returns when the stand-in has crashed, and blocks its thread while it is paused.
    pub(crate) async fn crashed(&self) {
        loop {
            match self.mode() {
                Mode::Crashed => return,
                Mode::Paused => self.hold(),
                Mode::Running => self.wake.notified().await,
            }
        }
    }

    fn hold(&self) {
        let mut state = lock(&self.state);
        while state.mode == Mode::Paused {
            state.held = true;
            self.changed.notify_all();
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.held = false;
    }
}

impl Cut {
    fn take(&mut self) -> Option<u64> {
        self.times = self.times.checked_sub(1)?;
        Some(self.after)
    }
}

fn contains(body: &[u8], marker: &[u8]) -> bool {
    !marker.is_empty() && body.windows(marker.len()).any(|window| window == marker)
}

/// Locks `mutex`, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
