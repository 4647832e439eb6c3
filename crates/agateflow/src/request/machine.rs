//! The state machine of one request.

use super::attempt::{Attempt, State};
use super::delivery::{Delivery, Progress};
use super::{Call, Ending, Finish, Frame, Input, Output, Policy, Target, budget};
use crate::admission::{self, reason};
use crate::id;
use crate::outcome;
use crate::unit;

const STATUS_BAD_GATEWAY: u16 = 502;
const STATUS_GATEWAY_TIMEOUT: u16 = 504;
const STATUS_UNAVAILABLE: u16 = 503;

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
    pub(super) next_spends_budget: bool,
    pub(super) wake: Option<unit::Millis>,
    pub(super) finish: Option<Finish>,
}

impl Request {
    /// Creates a request and returns its first outputs.
    pub fn new(call: Call, policy: Policy, now: unit::Millis) -> (Self, Vec<Output>) {
        let delivery = Delivery::new(call.stream, policy.max_buffered.get());
        let mut request = Self {
            call,
            policy,
            attempts: Vec::new(),
            delivery,
            refusal: None,
            started: now,
            choosing: false,
            hedged: false,
            next_spends_budget: false,
            wake: None,
            finish: None,
        };
        let mut out = Vec::new();
        request.choose(&mut out);
        request.schedule_wake(now, &mut out);
        (request, out)
    }

    /// The result, once the request has ended.
    pub const fn finished(&self) -> Option<Finish> {
        self.finish
    }

    /// Handles an input and returns the outputs in order. A finished request ignores it.
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
            self.give_up(STATUS_GATEWAY_TIMEOUT, &mut out);
            return out;
        }
        match input {
            Input::Chosen(target) => self.on_chosen(target, budget, now, &mut out),
            Input::NoUpstream { retry_after } => self.on_no_upstream(retry_after, &mut out),
            Input::Unsent(id) => self.on_unsent(id, &mut out),
            Input::Frame { from, id, frame } => self.on_frame(from, id, frame, now, &mut out),
            Input::LinkLost(target) => self.on_link_lost(target, now),
            Input::LinkRestored(target) => self.on_link_restored(target, now, &mut out),
            Input::TargetGone(target) => self.on_target_gone(target, &mut out),
            Input::CallerDisconnected => self.on_caller_disconnected(&mut out),
            Input::Timer => {}
        }
        self.check_timers(now, &mut out);
        self.schedule_wake(now, &mut out);
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

    fn on_chosen(
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
            budget.record_request(&self.call.team, &target.vm);
        } else if self.next_spends_budget && !budget.try_withdraw(&self.call.team, &target.vm) {
            self.give_up_unless_open(out);
            return;
        }
        let id = id::Attempt { number: self.attempts.len() as u32, ..self.call.id };
        self.attempts.push(Attempt::new(id, target.clone()));
        let left = self.call.deadline.saturating_sub(now);
        out.push(Output::Start { id, target, offset: self.delivery.offset(), left });
    }

    fn on_no_upstream(&mut self, retry_after: unit::Millis, out: &mut Vec<Output>) {
        self.choosing = false;
        if self.refusal.is_none_or(|(_, wait)| wait == unit::Millis::ZERO) {
            let reason = self.refusal.map_or(reason::Reason::Unreachable, |(reason, _)| reason);
            self.refusal = Some((reason, retry_after));
        }
        self.give_up_unless_open(out);
    }

    fn give_up_unless_open(&mut self, out: &mut Vec<Output>) {
        if !self.attempts.iter().any(Attempt::is_open) {
            self.give_up(STATUS_BAD_GATEWAY, out);
        }
    }

    fn on_unsent(&mut self, id: id::Attempt, out: &mut Vec<Output>) {
        let Some(attempt) = self.attempts.iter_mut().find(|a| a.id == id) else {
            return;
        };
        if attempt.state == State::Lost || attempt.state == State::NotRun {
            return;
        }
        attempt.state = State::NotRun;
        self.next_spends_budget = false;
        self.retry_or_give_up(out);
    }

    fn on_frame(
        &mut self,
        from: id::Incarnation,
        id: id::Attempt,
        frame: Frame,
        now: unit::Millis,
        out: &mut Vec<Output>,
    ) {
        let matches_frame = |a: &Attempt| a.id == id && a.target.incarnation == from && a.is_open();
        let Some(index) = self.attempts.iter().position(matches_frame) else {
            return;
        };
        match frame {
            Frame::Refused { reason, retry_after } => {
                self.on_refused(index, reason, retry_after, out);
            }
            Frame::Failed { .. } => self.mark_lost(index, out),
            Frame::Sealed(state) => self.on_sealed(index, state, out),
            // The engine took the request, so its status proves nothing.
            Frame::Head(head) if outcome::promises_not_run(head.status) => {
                self.mark_lost(index, out);
            }
            Frame::Head(_) | Frame::Data { .. } | Frame::End { .. } => {
                self.on_response(index, frame, now, out);
            }
        }
    }

    fn on_refused(
        &mut self,
        index: usize,
        reason: reason::Reason,
        retry_after: unit::Millis,
        out: &mut Vec<Output>,
    ) {
        let id = self.attempts[index].id;
        let has_responded = self.delivery.source() == Some(id);
        if has_responded || !reason.proves_not_run() {
            self.mark_lost(index, out);
            return;
        }
        self.attempts[index].state = State::NotRun;
        self.refusal = Some((reason, retry_after));
        self.next_spends_budget = reason.uses_retry_budget();
        if reason.allows_other_upstream() && self.call.home.is_none() {
            self.retry_or_give_up(out);
        } else {
            self.give_up_unless_open(out);
        }
    }

    fn on_sealed(&mut self, index: usize, state: admission::Progress, out: &mut Vec<Output>) {
        let attempt = &mut self.attempts[index];
        if !matches!(attempt.state, State::Sealing(_)) {
            return;
        }
        if state == admission::Progress::NotRun && self.delivery.source() == Some(attempt.id) {
            self.mark_lost(index, out);
            return;
        }
        if state == admission::Progress::NotRun {
            attempt.state = State::NotRun;
            self.next_spends_budget = true;
            self.retry_or_give_up(out);
            return;
        }
        attempt.state = State::Open;
        if attempt.resume_after_seal {
            attempt.resume_after_seal = false;
            self.resume(index, out);
        }
    }

    pub(super) fn resume(&mut self, index: usize, out: &mut Vec<Output>) {
        let attempt = &mut self.attempts[index];
        let offset = self.delivery.offset();
        attempt.resumed_at = Some(offset);
        out.push(Output::Resume { id: attempt.id, target: attempt.target.incarnation, offset });
    }

    fn on_response(
        &mut self,
        index: usize,
        frame: Frame,
        now: unit::Millis,
        out: &mut Vec<Output>,
    ) {
        let id = self.attempts[index].id;
        let is_first = self.delivery.source().is_none();
        if !self.delivery.select_source(id) {
            return;
        }
        if is_first {
            self.cancel_others(index, out);
        }
        if matches!(self.attempts[index].state, State::Disconnected(_)) {
            self.attempts[index].state = State::Open;
        }
        let progress = match frame {
            Frame::Head(head) => self.delivery.receive_head(head, out),
            Frame::Data { offset, bytes } => self.delivery.receive_data(offset, &bytes, out),
            Frame::End { length } => self.delivery.receive_end(length, out),
            _ => Progress::Accepted,
        };
        match progress {
            Progress::Accepted => {}
            Progress::Gap if self.attempts[index].resumed_at == Some(self.delivery.offset()) => {}
            Progress::Gap => self.resume(index, out),
            Progress::Inconsistent => self.mark_lost(index, out),
            Progress::Complete => self.finish_with(outcome::Outcome::Ran, Ending::Complete, out),
        }
        self.schedule_wake(now, out);
    }

    fn cancel_others(&mut self, index: usize, out: &mut Vec<Output>) {
        for (i, attempt) in self.attempts.iter_mut().enumerate() {
            if i != index && attempt.is_open() {
                attempt.state = State::Lost;
                out.push(cancel_output(attempt));
            }
        }
    }

    /// Marks an attempt as one that may have run and sends nothing more.
    pub(super) fn mark_lost(&mut self, index: usize, out: &mut Vec<Output>) {
        let attempt = &mut self.attempts[index];
        attempt.state = State::Lost;
        out.push(cancel_output(attempt));
        if self.delivery.source() == Some(attempt.id) {
            self.delivery.drop_source();
        }
        self.next_spends_budget = true;
        self.retry_or_give_up(out);
    }

    fn on_link_lost(&mut self, target: id::Incarnation, now: unit::Millis) {
        for attempt in self.attempts.iter_mut().filter(|a| a.target.incarnation == target) {
            if matches!(attempt.state, State::Open | State::Sealing(_)) {
                attempt.state = State::Disconnected(now);
                attempt.resumed_at = None;
            }
        }
    }

    fn on_link_restored(
        &mut self,
        target: id::Incarnation,
        now: unit::Millis,
        out: &mut Vec<Output>,
    ) {
        for index in 0..self.attempts.len() {
            let attempt = &mut self.attempts[index];
            let disconnected = matches!(attempt.state, State::Disconnected(_));
            if attempt.target.incarnation != target || !disconnected {
                continue;
            }
            if self.delivery.source() == Some(attempt.id) {
                attempt.state = State::Open;
                self.resume(index, out);
            } else {
                attempt.resume_after_seal = true;
                send_seal(attempt, now, out);
            }
        }
    }

    fn on_target_gone(&mut self, target: id::Incarnation, out: &mut Vec<Output>) {
        for index in 0..self.attempts.len() {
            let attempt = &self.attempts[index];
            if attempt.target.incarnation == target && attempt.is_open() {
                self.mark_lost(index, out);
            }
        }
    }

    fn on_caller_disconnected(&mut self, out: &mut Vec<Output>) {
        let outcome = self.provable_outcome();
        self.finish_with(outcome, Ending::Truncated, out);
    }

    /// Starts another attempt if that is allowed, or gives up.
    fn retry_or_give_up(&mut self, out: &mut Vec<Output>) {
        let waits = self.choosing || self.attempts.iter().any(Attempt::is_open);
        if self.finish.is_some() || waits {
            return;
        }
        let exhausted = self.attempts.len() >= self.policy.max_attempts as usize;
        let none_ran = self.attempts.iter().all(|a| a.state == State::NotRun);
        if self.call.home.is_some() && none_ran {
            self.give_up(STATUS_UNAVAILABLE, out);
            return;
        }
        if exhausted || self.call.home.is_some() || !self.may_retry() {
            self.give_up(STATUS_BAD_GATEWAY, out);
            return;
        }
        self.choose(out);
    }

    /// Whether another attempt is safe after those made so far.
    fn may_retry(&self) -> bool {
        if self.delivery.has_forwarded() && !(self.call.stream && self.call.resumable) {
            return false;
        }
        self.call.repeatable || self.attempts.iter().all(|a| a.state == State::NotRun)
    }

    /// The outcome that the states of all attempts prove.
    fn provable_outcome(&self) -> outcome::Outcome {
        let none_ran = self.attempts.iter().all(|a| a.state == State::NotRun);
        if self.delivery.has_forwarded() || !none_ran {
            return outcome::Outcome::Unknown;
        }
        match (&self.call.home, self.refusal) {
            (None, _) => outcome::Outcome::NotRun,
            (Some(_), Some((reason, _))) if !self.attempts.is_empty() => reason.keyed_outcome(),
            (Some(_), _) => outcome::Outcome::Unknown,
        }
    }

    fn give_up(&mut self, status: u16, out: &mut Vec<Output>) {
        let outcome = self.provable_outcome();
        let refusal = self.refusal.filter(|_| outcome != outcome::Outcome::Unknown);
        let refusal = refusal.or(self.refusal.filter(|_| self.call.home.is_some()));
        let status = match refusal {
            Some((reason, _)) => reason.status(),
            None if outcome == outcome::Outcome::NotRun => STATUS_UNAVAILABLE,
            None => status,
        };
        let wait = refusal.map(|(_, wait)| wait).filter(|&wait| wait > unit::Millis::ZERO);
        let retry_after = wait.unwrap_or(self.policy.retry_after);
        let reason = refusal.map(|(reason, _)| reason);
        let ending = match self.delivery.has_forwarded() {
            true => Ending::Truncated,
            false => Ending::Problem { status, retry_after, reason },
        };
        self.finish_with(outcome, ending, out);
    }

    fn finish_with(&mut self, outcome: outcome::Outcome, ending: Ending, out: &mut Vec<Output>) {
        let source = self.delivery.source().filter(|_| ending == Ending::Complete);
        for attempt in self.attempts.iter().filter(|a| a.is_open() && Some(a.id) != source) {
            out.push(cancel_output(attempt));
        }
        let finish = Finish { outcome, ending };
        self.finish = Some(finish);
        out.push(Output::Finish(finish));
    }
}

fn cancel_output(attempt: &Attempt) -> Output {
    Output::Cancel { id: attempt.id, target: attempt.target.incarnation }
}

pub(super) fn send_seal(attempt: &mut Attempt, now: unit::Millis, out: &mut Vec<Output>) {
    attempt.state = State::Sealing(now);
    attempt.sealed = true;
    out.push(Output::Seal(attempt.seal()));
}
