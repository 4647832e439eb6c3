//! The state machine of one request.

use super::attempt::{Attempt, State};
use super::delivery::{Delivery, Step};
use super::{Call, Ending, Finish, Frame, Input, Output, Policy, Target, budget};
use crate::admission::{self, reason};
use crate::id;
use crate::outcome;
use crate::unit;

const STATUS_UNKNOWN: u16 = 502;
const STATUS_DEADLINE: u16 = 504;
const STATUS_NONE_LEFT: u16 = 503;

/// One request at an entry.
#[derive(Debug)]
pub struct Request {
    pub(super) call: Call,
    pub(super) policy: Policy,
    pub(super) attempts: Vec<Attempt>,
    pub(super) delivery: Delivery,
    pub(super) refusal: Option<(reason::Reason, unit::Millis)>,
    pub(super) started: unit::Millis,
    pub(super) choosing: bool,
    pub(super) hedged: bool,
    pub(super) spends: bool,
    pub(super) wake: Option<unit::Millis>,
    pub(super) finish: Option<Finish>,
}

impl Request {
    /// Creates a request and returns its first outputs.
    pub fn new(call: Call, policy: Policy, now: unit::Millis) -> (Self, Vec<Output>) {
        let delivery = Delivery::new(call.stream, policy.buffer.get());
        let mut request = Self {
            call,
            policy,
            attempts: Vec::new(),
            delivery,
            refusal: None,
            started: now,
            choosing: false,
            hedged: false,
            spends: false,
            wake: None,
            finish: None,
        };
        let mut out = Vec::new();
        request.choose(&mut out);
        request.schedule(now, &mut out);
        (request, out)
    }

    /// How the request ended, once it did.
    pub const fn finished(&self) -> Option<Finish> {
        self.finish
    }

    /// Takes an input and returns what to do, in order. A finished request ignores it.
    pub fn handle(
        &mut self,
        input: Input,
        budget: &mut budget::Budget,
        now: unit::Millis,
    ) -> Vec<Output> {
        let mut out = Vec::new();
        if self.finish.is_some() {
            return out;
        }
        if now >= self.call.deadline {
            self.give_up(STATUS_DEADLINE, &mut out);
            return out;
        }
        match input {
            Input::Chosen(target) => self.chosen(target, budget, now, &mut out),
            Input::NoneLeft { retry_after } => self.none_left(retry_after, &mut out),
            Input::Unsent(id) => self.unsent(id, &mut out),
            Input::Frame { from, id, frame } => self.frame(from, id, frame, now, &mut out),
            Input::LinkLost(target) => self.link_lost(target, now),
            Input::LinkBack(target) => self.link_back(target, now, &mut out),
            Input::Gone(target) => self.gone(target, &mut out),
            Input::CallerGone => self.caller_gone(&mut out),
            Input::Timer => {}
        }
        self.check_timers(now, &mut out);
        self.schedule(now, &mut out);
        out
    }

    pub(super) fn choose(&mut self, out: &mut Vec<Output>) {
        self.choosing = true;
        out.push(Output::Choose {
            home: self.call.home.clone(),
            exclude: self.attempts.iter().map(|a| a.target.vm.clone()).collect(),
            offset: self.delivery.offset(),
        });
    }

    fn chosen(
        &mut self,
        target: Target,
        budget: &mut budget::Budget,
        now: unit::Millis,
        out: &mut Vec<Output>,
    ) {
        if !self.choosing {
            return;
        }
        self.choosing = false;
        if self.delivery.source().is_some() {
            return;
        }
        if self.attempts.is_empty() {
            budget.fresh(&self.call.team, &target.vm);
        } else if self.spends && !budget.take(&self.call.team, &target.vm) {
            self.stop_unless_open(out);
            return;
        }
        let id = id::Attempt { number: self.attempts.len() as u32, ..self.call.id };
        self.attempts.push(Attempt::new(id, target.clone()));
        let left = self.call.deadline.saturating_sub(now);
        out.push(Output::Start { id, target, offset: self.delivery.offset(), left });
    }

    fn none_left(&mut self, retry_after: unit::Millis, out: &mut Vec<Output>) {
        self.choosing = false;
        if self.refusal.is_none_or(|(_, wait)| wait == unit::Millis::ZERO) {
            let reason = self.refusal.map_or(reason::Reason::Unreachable, |(reason, _)| reason);
            self.refusal = Some((reason, retry_after));
        }
        self.stop_unless_open(out);
    }

    fn stop_unless_open(&mut self, out: &mut Vec<Output>) {
        if !self.attempts.iter().any(Attempt::is_open) {
            self.give_up(STATUS_UNKNOWN, out);
        }
    }

    fn unsent(&mut self, id: id::Attempt, out: &mut Vec<Output>) {
        let Some(attempt) = self.attempts.iter_mut().find(|a| a.id == id) else {
            return;
        };
        if attempt.state == State::Lost || attempt.state == State::NotRun {
            return;
        }
        attempt.state = State::NotRun;
        self.spends = false;
        self.proceed(out);
    }

    fn frame(
        &mut self,
        from: id::Incarnation,
        id: id::Attempt,
        frame: Frame,
        now: unit::Millis,
        out: &mut Vec<Output>,
    ) {
        let known = |a: &Attempt| a.id == id && a.target.incarnation == from && a.is_open();
        let Some(index) = self.attempts.iter().position(known) else {
            return;
        };
        match frame {
            Frame::Refused { reason, retry_after } => {
                self.refused(index, reason, retry_after, out);
            }
            Frame::Failed { .. } => self.lose(index, out),
            Frame::Sealed(state) => self.sealed(index, state, out),
            Frame::Head(_) | Frame::Data { .. } | Frame::End { .. } => {
                self.answer(index, frame, now, out);
            }
        }
    }

    fn refused(
        &mut self,
        index: usize,
        reason: reason::Reason,
        retry_after: unit::Millis,
        out: &mut Vec<Output>,
    ) {
        let id = self.attempts[index].id;
        let answered = self.delivery.source() == Some(id);
        if answered || !reason.proves_not_run() {
            self.lose(index, out);
            return;
        }
        self.attempts[index].state = State::NotRun;
        self.refusal = Some((reason, retry_after));
        self.spends = reason.uses_retry_budget();
        if reason.allows_other_upstream() && self.call.home.is_none() {
            self.proceed(out);
        } else {
            self.stop_unless_open(out);
        }
    }

    fn sealed(&mut self, index: usize, state: admission::Progress, out: &mut Vec<Output>) {
        let attempt = &mut self.attempts[index];
        if !matches!(attempt.state, State::Sealing(_)) {
            return;
        }
        if state == admission::Progress::NotRun && self.delivery.source() == Some(attempt.id) {
            self.lose(index, out);
            return;
        }
        if state == admission::Progress::NotRun {
            attempt.state = State::NotRun;
            self.spends = true;
            self.proceed(out);
            return;
        }
        attempt.state = State::Open;
        if attempt.resumes {
            attempt.resumes = false;
            self.resume(index, out);
        }
    }

    pub(super) fn resume(&mut self, index: usize, out: &mut Vec<Output>) {
        let attempt = &mut self.attempts[index];
        let offset = self.delivery.offset();
        attempt.asked = Some(offset);
        out.push(Output::Resume { id: attempt.id, target: attempt.target.incarnation, offset });
    }

    fn answer(&mut self, index: usize, frame: Frame, now: unit::Millis, out: &mut Vec<Output>) {
        let id = self.attempts[index].id;
        let fresh = self.delivery.source().is_none();
        if !self.delivery.accepts(id) {
            return;
        }
        if fresh {
            self.cancel_others(index, out);
        }
        if matches!(self.attempts[index].state, State::Away(_)) {
            self.attempts[index].state = State::Open;
        }
        let step = match frame {
            Frame::Head(head) => self.delivery.take_head(head, out),
            Frame::Data { offset, bytes } => self.delivery.take_data(offset, &bytes, out),
            Frame::End { length } => self.delivery.take_end(length, out),
            _ => Step::Taken,
        };
        match step {
            Step::Taken => {}
            Step::Gap if self.attempts[index].asked == Some(self.delivery.offset()) => {}
            Step::Gap => self.resume(index, out),
            Step::Broken => self.lose(index, out),
            Step::Whole => self.end(outcome::Outcome::Ran, Ending::Whole, out),
        }
        self.schedule(now, out);
    }

    fn cancel_others(&mut self, index: usize, out: &mut Vec<Output>) {
        for (i, attempt) in self.attempts.iter_mut().enumerate() {
            if i != index && attempt.is_open() {
                attempt.state = State::Lost;
                out.push(cancel(attempt));
            }
        }
    }

    /// Takes an attempt as one that may have run and gives nothing more.
    pub(super) fn lose(&mut self, index: usize, out: &mut Vec<Output>) {
        let attempt = &mut self.attempts[index];
        attempt.state = State::Lost;
        out.push(cancel(attempt));
        if self.delivery.source() == Some(attempt.id) {
            self.delivery.drop_source();
        }
        self.spends = true;
        self.proceed(out);
    }

    fn link_lost(&mut self, target: id::Incarnation, now: unit::Millis) {
        for attempt in self.attempts.iter_mut().filter(|a| a.target.incarnation == target) {
            if matches!(attempt.state, State::Open | State::Sealing(_)) {
                attempt.state = State::Away(now);
                attempt.asked = None;
            }
        }
    }

    fn link_back(&mut self, target: id::Incarnation, now: unit::Millis, out: &mut Vec<Output>) {
        for index in 0..self.attempts.len() {
            let attempt = &mut self.attempts[index];
            let away = matches!(attempt.state, State::Away(_));
            if attempt.target.incarnation != target || !away {
                continue;
            }
            if self.delivery.source() == Some(attempt.id) {
                attempt.state = State::Open;
                self.resume(index, out);
            } else {
                attempt.resumes = true;
                seal(attempt, now, out);
            }
        }
    }

    fn gone(&mut self, target: id::Incarnation, out: &mut Vec<Output>) {
        for index in 0..self.attempts.len() {
            let attempt = &self.attempts[index];
            if attempt.target.incarnation == target && attempt.is_open() {
                self.lose(index, out);
            }
        }
    }

    fn caller_gone(&mut self, out: &mut Vec<Output>) {
        let outcome = self.proof();
        self.end(outcome, Ending::Cut, out);
    }

    /// Makes another attempt if that is allowed, or gives up at once.
    fn proceed(&mut self, out: &mut Vec<Output>) {
        let waits = self.choosing || self.attempts.iter().any(Attempt::is_open);
        if self.finish.is_some() || waits {
            return;
        }
        let exhausted = self.attempts.len() >= self.policy.attempts as usize;
        let unrun = self.attempts.iter().all(|a| a.state == State::NotRun);
        if self.call.home.is_some() && unrun {
            self.give_up(STATUS_NONE_LEFT, out);
            return;
        }
        if exhausted || self.call.home.is_some() || !self.may_repeat() {
            self.give_up(STATUS_UNKNOWN, out);
            return;
        }
        self.choose(out);
    }

    /// Whether another attempt may follow those made so far.
    fn may_repeat(&self) -> bool {
        if self.delivery.has_passed() && !(self.call.stream && self.call.resumable) {
            return false;
        }
        self.call.repeatable || self.attempts.iter().all(|a| a.state == State::NotRun)
    }

    /// What the state of all attempts proves.
    fn proof(&self) -> outcome::Outcome {
        let unrun = self.attempts.iter().all(|a| a.state == State::NotRun);
        if self.delivery.has_passed() || !unrun {
            return outcome::Outcome::Unknown;
        }
        match (&self.call.home, self.refusal) {
            (None, _) => outcome::Outcome::NotRun,
            (Some(_), Some((reason, _))) if !self.attempts.is_empty() => reason.keyed_outcome(),
            (Some(_), _) => outcome::Outcome::Unknown,
        }
    }

    fn give_up(&mut self, status: u16, out: &mut Vec<Output>) {
        let outcome = self.proof();
        let refusal = self.refusal.filter(|_| outcome != outcome::Outcome::Unknown);
        let refusal = refusal.or(self.refusal.filter(|_| self.call.home.is_some()));
        let status = match refusal {
            Some((reason, _)) => reason.status(),
            None if outcome == outcome::Outcome::NotRun => STATUS_NONE_LEFT,
            None => status,
        };
        let wait = refusal.map(|(_, wait)| wait).filter(|&wait| wait > unit::Millis::ZERO);
        let retry_after = wait.unwrap_or(self.policy.retry_after);
        let reason = refusal.map(|(reason, _)| reason);
        let ending = match self.delivery.has_passed() {
            true => Ending::Cut,
            false => Ending::Problem { status, retry_after, reason },
        };
        self.end(outcome, ending, out);
    }

    fn end(&mut self, outcome: outcome::Outcome, ending: Ending, out: &mut Vec<Output>) {
        let source = self.delivery.source().filter(|_| ending == Ending::Whole);
        for attempt in self.attempts.iter().filter(|a| a.is_open() && Some(a.id) != source) {
            out.push(cancel(attempt));
        }
        let finish = Finish { outcome, ending };
        self.finish = Some(finish);
        out.push(Output::Finish(finish));
    }
}

fn cancel(attempt: &Attempt) -> Output {
    Output::Cancel { id: attempt.id, target: attempt.target.incarnation }
}

pub(super) fn seal(attempt: &mut Attempt, now: unit::Millis, out: &mut Vec<Output>) {
    attempt.state = State::Sealing(now);
    attempt.sealed = true;
    out.push(Output::Seal(attempt.seal()));
}
