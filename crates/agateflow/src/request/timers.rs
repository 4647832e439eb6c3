//! What a request does when time passes: timeouts, the seal before the deadline, hedging.

use super::Output;
use super::attempt::State;
use super::machine::{Request, send_seal};
use crate::unit;

impl Request {
    pub(super) fn check_timers(&mut self, now: unit::Millis, out: &mut Vec<Output>) {
        for index in 0..self.attempts.len() {
            if self.finish.is_some() {
                return;
            }
            let overdue = match self.attempts[index].state {
                State::Disconnected(since) => now >= since + self.policy.link_timeout,
                State::Sealing(since) => now >= since + self.policy.seal_timeout,
                _ => false,
            };
            if overdue {
                self.mark_lost(index, out);
            } else if now >= self.last_seal_at() && self.needs_seal(index) {
                self.seal_or_resume(index, now, out);
            }
        }
        if self.hedge_at().is_some_and(|at| now >= at) {
            self.hedged = true;
            self.next_spends_budget = true;
            self.choose(out);
        }
    }

    /// Seals an attempt shortly before the deadline, or resumes its response if that has begun.
    fn seal_or_resume(&mut self, index: usize, now: unit::Millis, out: &mut Vec<Output>) {
        if self.delivery.source().is_none() {
            send_seal(&mut self.attempts[index], now, out);
            return;
        }
        self.attempts[index].sealed = true;
        self.resume(index, out);
    }

    /// When a request without a complete response seals or resumes for the last time.
    fn last_seal_at(&self) -> unit::Millis {
        self.call.deadline.saturating_sub(self.policy.seal_timeout)
    }

    fn needs_seal(&self, index: usize) -> bool {
        let attempt = &self.attempts[index];
        attempt.state == State::Open && !attempt.sealed
    }

    fn hedge_at(&self) -> Option<unit::Millis> {
        let after = self.policy.hedge_after?;
        let open = self.attempts.iter().filter(|a| a.is_open()).count();
        let has_attempts_left = self.attempts.len() < self.policy.max_attempts as usize;
        let awaits_response = self.delivery.source().is_none() && !self.choosing && !self.hedged;
        let allowed = self.call.repeatable && self.call.home.is_none();
        (allowed && awaits_response && has_attempts_left && open == 1).then(|| self.started + after)
    }

    pub(super) fn schedule_wake(&mut self, now: unit::Millis, out: &mut Vec<Output>) {
        if self.finish.is_some() {
            return;
        }
        let any_unsealed = (0..self.attempts.len()).any(|i| self.needs_seal(i));
        let timeouts = self.attempts.iter().filter_map(|a| match a.state {
            State::Disconnected(since) => Some(since + self.policy.link_timeout),
            State::Sealing(since) => Some(since + self.policy.seal_timeout),
            _ => None,
        });
        let times = timeouts
            .chain(self.hedge_at())
            .chain(any_unsealed.then(|| self.last_seal_at()))
            .chain([self.call.deadline]);
        let next = times.filter(|&at| at > now).min();
        if next != self.wake {
            self.wake = next;
            out.extend(next.map(Output::Wake));
        }
    }
}
