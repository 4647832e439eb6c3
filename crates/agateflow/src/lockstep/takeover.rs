//! What an agent does for ranks whose own agents are silent while a pass is held.
//!
//! The map and the pass of a change are settled before any rank is armed, and a rank stays armed
//! until that pass begins. So it does not matter who arms a rank, nor who lets the pass begin once
//! all ranks are armed. Nothing else is done for another agent.

use super::agent::{Agent, Known, STATUS_LIFE};
use super::audience::LEADERS;
use super::note::Note;
use super::report::{Armed, Order, Report};
use crate::unit;

/// Silence after which an agent is taken to have stopped while all wait for it.
pub(super) const SILENCE: unit::Millis = unit::Millis::new(200);

/// The same for an agent whose rank has not prepared a change: it tells less often.
const SEARCH_SILENCE: unit::Millis = unit::Millis::new(450);

/// Time between two looks at the rank of a silent agent.
const LOOK_INTERVAL: unit::Millis = unit::Millis::new(50);

/// The same while nothing shows that a pass is held.
const SEARCH_INTERVAL: unit::Millis = unit::Millis::new(500);

/// Time after which an order to such a rank is given again.
const ORDER_RETRY: unit::Millis = unit::Millis::new(50);

/// What is to be done for a rank whose agent is silent.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read its state.
    Look(u32),
    /// Give it an order.
    Order(u32, Order),
}

/// What was done for one rank.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct State {
    /// When the last look was asked for.
    asked: Option<unit::Millis>,
    /// When the rank was last read.
    seen: Option<unit::Millis>,
    /// When it was last given an order.
    ordered: Option<unit::Millis>,
}

impl State {
    /// Whether the rank may be ordered now: `ready` says that what is known of it suffices.
    fn may_order(&mut self, ready: bool, now: unit::Millis) -> bool {
        let known = ready || self.seen.is_some();
        let due = known && self.ordered.is_none_or(|at| now >= at + ORDER_RETRY);
        if due {
            self.ordered = Some(now);
        }
        due
    }

    fn may_look(&mut self, now: unit::Millis, interval: unit::Millis) -> bool {
        let due = self.asked.is_none_or(|at| now >= at + interval);
        if due {
            self.asked = Some(now);
        }
        due
    }
}

impl Agent {
    /// What is due for ranks whose agents are silent. Only the lowest rank's agent that is not
    /// does anything.
    pub fn takeover(&mut self, now: unit::Millis) -> Vec<Step> {
        if !self.is_lowest(now) {
            return Vec::new();
        }
        self.find_hold();
        let Some((epoch, armed)) = self.overdue(now) else { return self.search(now) };
        let mut steps = Vec::new();
        let ready = self.is_armed_by_all(armed);
        for (&rank, known) in &mut self.others {
            let report = &known.status.report;
            let silent = now >= known.heard + SILENCE;
            let holds = report.held == Some(armed.step);
            if report.epoch != epoch || !(silent || (ready && holds)) {
                continue;
            }
            let order = order(report, epoch, armed, ready);
            let order = order.filter(|_| known.takeover.may_order(ready, now));
            steps.extend(order.map(|order| Step::Order(rank, order)));
            let look = silent && known.takeover.may_look(now, LOOK_INTERVAL);
            steps.extend(look.then_some(Step::Look(rank)));
        }
        steps
    }

    /// Takes in the state of a rank whose agent is silent.
    pub fn see(&mut self, report: Report, now: unit::Millis) {
        let Some((own, _)) = &self.report else { return };
        let Some(known) = self.others.get_mut(&report.rank) else { return };
        if report.group != own.group {
            return;
        }
        known.takeover.seen = Some(now);
        let experts = std::mem::take(&mut known.status.report.experts);
        known.status.report = Report { experts, ..report };
        self.settle(now);
    }

    /// Whether the agents of all lower ranks are silent. Those that are no leaders are heard
    /// seldom, so they count as there until their last status is old.
    fn is_lowest(&self, now: unit::Millis) -> bool {
        let Some((own, _)) = &self.report else { return false };
        let lower = self.others.iter().filter(|(rank, _)| **rank < own.rank);
        let recent = lower.filter(|(_, known)| now < known.heard + STATUS_LIFE);
        let (all, silent) = recent.fold((0, 0), |(all, silent), (_, known)| {
            (all + 1, silent + usize::from(now >= known.heard + SILENCE))
        });
        own.open && all == silent && all <= LEADERS && now >= self.awake_at + SILENCE
    }

    /// The switch that takes too long.
    fn overdue(&self, now: unit::Millis) -> Option<(u64, Armed)> {
        let (own, _) = self.report.as_ref()?;
        let change = self.change.as_ref().filter(|change| change.epoch == own.epoch)?;
        let armed = Armed { version: change.version, step: change.step? };
        let late = self.stepped_at.is_some_and(|at| now >= at + SILENCE);
        late.then_some((own.epoch, armed))
    }

    /// Looks for a hold that its agent could not tell of: once all other ranks have prepared, it
    /// may have ordered one.
    fn search(&mut self, now: unit::Millis) -> Vec<Step> {
        let Some(version) = self.awaited() else { return Vec::new() };
        let silent = |known: &Known| {
            let prepared = known.status.report.prepared == Some(version);
            now >= known.heard + if prepared { SILENCE } else { SEARCH_SILENCE }
        };
        let others = self.others.values().filter(|known| !silent(known));
        if !others.into_iter().all(|known| known.status.report.prepared == Some(version)) {
            return Vec::new();
        }
        let silent = self.others.iter_mut().filter(|(_, known)| silent(known));
        let due = silent.filter_map(|(rank, known)| {
            known.takeover.may_look(now, SEARCH_INTERVAL).then_some(Step::Look(*rank))
        });
        due.collect()
    }

    /// The version that the own rank has prepared and no pass is known to be held for.
    fn awaited(&self) -> Option<u64> {
        let (own, _) = self.report.as_ref()?;
        let change = self.change.as_ref().filter(|change| change.epoch == own.epoch)?;
        let waits = change.step.is_none() && own.prepared == Some(change.version);
        waits.then_some(change.version)
    }

    /// Takes over a hold of a silent agent's rank, which is for the change that all have prepared:
    /// a hold is only ordered then, and no other change begins while it is in force.
    fn find_hold(&mut self) {
        let Some(version) = self.awaited() else { return };
        let Some((own, _)) = &self.report else { return };
        let Some(reports) = self.all(own) else { return };
        if Self::prepared_by_all(&reports) != Some(version) {
            return;
        }
        let begun = reports.iter().map(|(report, _)| report.step).max().unwrap_or(0);
        let seen = self.others.values().filter(|known| known.takeover.seen.is_some());
        let held = seen.filter_map(|known| known.status.report.held).find(|step| *step > begun);
        let Some(step) = held else { return };
        if let Some(change) = &mut self.change {
            change.step = Some(step);
        }
        self.notes.push(Note::Orphan { step });
    }

    fn is_armed_by_all(&self, armed: Armed) -> bool {
        let Some((own, _)) = &self.report else { return false };
        let all = self.all(own);
        all.is_some_and(|all| all.iter().all(|(report, _)| report.armed == Some(armed)))
    }
}

fn order(report: &Report, epoch: u64, armed: Armed, ready: bool) -> Option<Order> {
    if ready && report.held == Some(armed.step) {
        return Some(Order::Go { epoch, step: armed.step });
    }
    let arm = report.armed != Some(armed) && report.prepared == Some(armed.version);
    arm.then_some(Order::Arm { epoch, armed })
}
