//! Periodic cleanup of a table: stored responses, expired records and abandoned attempts.

use super::answer;
use super::reason::Reason;
use super::record::{Record, State};
use super::table::{Table, refuse};
use crate::admission::Output;
use crate::id;
use crate::unit;

impl Table {
    pub(super) fn store_answer(
        &mut self,
        id: id::Attempt,
        kept: Option<answer::Answer>,
        now: unit::Millis,
    ) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if let Some(call) = &record.call {
            self.calls.record_ran(&call.call_id, kept.clone(), now);
        }
        let Some(kept) = kept.filter(|a| a.size() <= self.limits.max_answer) else {
            return;
        };
        self.answer_bytes += kept.size().get();
        record.state = State::Ran(Some(kept));
        self.answers_by_age.push_back(id);
        self.evict_answers();
    }

    fn evict_answers(&mut self) {
        while self.answer_bytes > self.limits.answer_cache.get() {
            let Some(id) = self.answers_by_age.pop_front() else {
                return;
            };
            let Some(Record { state: State::Ran(answer), .. }) = self.records.get_mut(&id) else {
                continue;
            };
            let size = answer.take().map_or(0, |a| a.size().get());
            self.answer_bytes -= size;
        }
    }

    pub(super) fn tick(&mut self, now: unit::Millis) -> Vec<Output> {
        self.owner.home.tick(now);
        self.calls.tick(now);
        self.validity_floor = self.validity_floor.filter(|&floor| now <= floor);
        self.drop_expired(now);
        self.end_abandoned(now)
    }

    fn drop_expired(&mut self, now: unit::Millis) {
        while let Some(&(expires, id)) = self.expiries.first() {
            if expires >= now {
                return;
            }
            self.expiries.pop_first();
            let Some(record) = self.records.swap_remove(&id) else {
                continue;
            };
            if let State::Ran(Some(answer)) = record.state {
                self.answer_bytes -= answer.size().get();
                self.answers_by_age.retain(|&kept| kept != id);
            }
        }
    }

    /// Ends attempts whose entry is gone, and queued attempts past their deadline.
    fn end_abandoned(&mut self, now: unit::Millis) -> Vec<Output> {
        let mut outputs = Vec::new();
        let grace = self.limits.orphan_grace;
        let mut withdrawn = Vec::new();
        for (&id, record) in self.records.iter_mut().filter(|(_, r)| r.state.is_in_flight()) {
            let orphaned = record.orphaned_since.is_some_and(|since| now > since + grace);
            let waiting = record.state == State::Waiting;
            if waiting && (orphaned || now >= record.deadline) {
                withdrawn.push(id);
            } else if orphaned && record.repeatable {
                record.orphaned_since = None;
                outputs.push(Output::CancelEngine(id));
            }
        }
        for id in withdrawn {
            self.withdraw(id);
            outputs.push(Output::Dequeue(id));
            outputs.extend(refuse(id, Reason::Late));
        }
        outputs
    }
}
