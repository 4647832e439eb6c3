//! An ordinary proxy: one attempt at a time, retried after a timeout or a failure.

use super::super::delivery::{Delivery, Progress};
use super::super::{Call, Ending, Finish, Frame, Input, Output, Target};
use super::{BASELINE_TIMEOUT, Mode};
use crate::id;
use crate::outcome;
use crate::unit;

const MAX_ATTEMPTS: u32 = 3;
const MAX_BUFFERED: u64 = 1 << 20;

/// One request at an entry of a baseline.
#[derive(Debug)]
pub struct Baseline {
    call: Call,
    mode: Mode,
    sent: u32,
    current: Option<(id::Attempt, Target)>,
    excluded: Vec<id::Vm>,
    delivery: Delivery,
    timeout_at: unit::Millis,
    finished: bool,
}

impl Baseline {
    /// Creates a request and returns its first outputs.
    pub fn new(call: Call, mode: Mode) -> (Self, Vec<Output>) {
        let delivery = Delivery::new(call.stream, MAX_BUFFERED);
        let request = Self {
            mode,
            sent: 0,
            current: None,
            excluded: Vec::new(),
            delivery,
            timeout_at: call.deadline,
            finished: false,
            call,
        };
        let out = vec![request.choose()];
        (request, out)
    }

    fn choose(&self) -> Output {
        Output::Choose { home: None, exclude: self.excluded.clone(), offset: 0 }
    }

    /// Handles an input and returns the outputs in order.
    pub fn handle(&mut self, input: Input, now: unit::Millis) -> Vec<Output> {
        let mut out = Vec::new();
        if self.finished {
            return out;
        }
        match input {
            Input::Chosen(target) => self.chosen(target, now, &mut out),
            Input::NoUpstream { .. } => self.fail(&mut out),
            Input::Unsent(_) => self.retry(false, &mut out),
            Input::Frame { id, frame, .. } => self.frame(id, frame, &mut out),
            Input::LinkLost(target) | Input::TargetGone(target) => {
                if self.current.as_ref().is_some_and(|(_, t)| t.incarnation == target) {
                    self.retry(true, &mut out);
                }
            }
            Input::LinkRestored(_) => {}
            Input::CallerDisconnected => self.fail(&mut out),
            Input::Timer if now >= self.timeout_at => self.retry(true, &mut out),
            Input::Timer => {}
        }
        out
    }

    fn chosen(&mut self, target: Target, now: unit::Millis, out: &mut Vec<Output>) {
        let id = id::Attempt { number: self.sent, ..self.call.id };
        self.sent += 1;
        self.excluded.push(target.vm.clone());
        self.current = Some((id, target.clone()));
        self.timeout_at = (now + BASELINE_TIMEOUT).min(self.call.deadline);
        let left = self.call.deadline.saturating_sub(now);
        out.push(Output::Start { id, target, offset: 0, left });
        out.push(Output::Wake(self.timeout_at));
    }

    fn frame(&mut self, id: id::Attempt, frame: Frame, out: &mut Vec<Output>) {
        if self.current.as_ref().is_none_or(|(current, _)| *current != id) {
            return;
        }
        self.delivery.select_source(id);
        let progress = match frame {
            Frame::Refused { .. } => return self.retry(false, out),
            Frame::Failed { .. } => return self.retry(true, out),
            Frame::Sealed(_) => return,
            Frame::Head(head) => self.delivery.receive_head(head, out),
            Frame::Data { offset, bytes } => self.delivery.receive_data(offset, &bytes, out),
            Frame::End { length } => self.delivery.receive_end(length, out),
        };
        match progress {
            Progress::Complete => self.end(outcome::Outcome::Ran, Ending::Complete, out),
            Progress::Accepted => {}
            Progress::Gap | Progress::Inconsistent => self.retry(true, out),
        }
    }

    fn retry(&mut self, dispatched: bool, out: &mut Vec<Output>) {
        let at_most_once = self.mode == Mode::EntryMemory && !self.call.repeatable;
        let blocked = at_most_once && dispatched;
        if blocked || self.sent >= MAX_ATTEMPTS || self.delivery.has_forwarded() {
            self.fail(out);
            return;
        }
        self.current = None;
        self.delivery.drop_source();
        self.timeout_at = self.call.deadline;
        out.push(self.choose());
    }

    fn fail(&mut self, out: &mut Vec<Output>) {
        let may_have_run = self.mode == Mode::EntryMemory && self.sent > 0;
        if self.delivery.has_forwarded() {
            self.end(outcome::Outcome::Unknown, Ending::Truncated, out);
            return;
        }
        let outcome =
            if may_have_run { outcome::Outcome::Unknown } else { outcome::Outcome::NotRun };
        let retry_after = unit::Millis::new(1_000);
        self.end(outcome, Ending::Problem { status: 502, retry_after, reason: None }, out);
    }

    fn end(&mut self, outcome: outcome::Outcome, ending: Ending, out: &mut Vec<Output>) {
        self.finished = true;
        out.push(Output::Finish(Finish { outcome, ending }));
    }
}
