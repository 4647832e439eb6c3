//! Acts for ranks whose own agents are silent during a hold.
//!
//! The map and pass of a change are fixed before any rank is armed, and a rank stays armed until
//! that pass starts. So any agent may arm a rank, and any may release the pass once all ranks are
//! armed. Nothing else is done on behalf of other agents.

use super::agent::{Agent, Peer, STATUS_TTL};
use super::events::Event;
use super::recipients::LEADER_COUNT;
use super::report::{Armed, Order, Report};
use crate::unit;

/// Silence after which an awaited agent is assumed stopped.
pub(super) const SILENCE_TIMEOUT: unit::Millis = unit::Millis::new(200);

/// The same for an agent whose rank has not prepared a change: it sends less often.
const UNPREPARED_SILENCE_TIMEOUT: unit::Millis = unit::Millis::new(450);

/// Time between two probes of a silent agent's rank.
const PROBE_INTERVAL: unit::Millis = unit::Millis::new(50);

/// The same while no held pass is known.
const SEARCH_PROBE_INTERVAL: unit::Millis = unit::Millis::new(500);

/// Delay before an order to such a rank is repeated.
const ORDER_RETRY_INTERVAL: unit::Millis = unit::Millis::new(50);

/// An action for a rank whose agent is silent.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read its state.
    Probe(u32),
    /// Send it an order.
    Order(u32, Order),
}

/// Attempts for one rank.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Attempts {
    /// When a probe was last requested.
    probed_at: Option<unit::Millis>,
    /// When the rank was last read.
    read_at: Option<unit::Millis>,
    /// When it was last sent an order.
    ordered_at: Option<unit::Millis>,
}

impl Attempts {
    /// Whether to send an order now. The rank must have been read, unless `all_armed`.
    fn may_order(&mut self, all_armed: bool, now: unit::Millis) -> bool {
        let is_known = all_armed || self.read_at.is_some();
        let due = is_known && self.ordered_at.is_none_or(|at| now >= at + ORDER_RETRY_INTERVAL);
        if due {
            self.ordered_at = Some(now);
        }
        due
    }

    fn may_probe(&mut self, now: unit::Millis, interval: unit::Millis) -> bool {
        let due = self.probed_at.is_none_or(|at| now >= at + interval);
        if due {
            self.probed_at = Some(now);
        }
        due
    }
}

impl Agent {
    /// Actions due for ranks whose agents are silent. Only the lowest-ranked agent that is not
    /// silent acts.
    pub fn takeover_actions(&mut self, now: unit::Millis) -> Vec<Action> {
        if !self.may_take_over(now) {
            return Vec::new();
        }
        self.adopt_hold();
        let Some((epoch, armed)) = self.overdue_switch(now) else {
            return self.probe_for_hold(now);
        };
        let mut actions = Vec::new();
        let all_armed = self.is_armed_by_all(armed);
        for (&rank, peer) in &mut self.peers {
            let report = &peer.status.report;
            let silent = now >= peer.heard_at + SILENCE_TIMEOUT;
            let holds = report.held == Some(armed.step);
            if report.epoch != epoch || !(silent || (all_armed && holds)) {
                continue;
            }
            let order = takeover_order(report, epoch, armed, all_armed);
            let order = order.filter(|_| peer.takeover.may_order(all_armed, now));
            actions.extend(order.map(|order| Action::Order(rank, order)));
            let probe = silent && peer.takeover.may_probe(now, PROBE_INTERVAL);
            actions.extend(probe.then_some(Action::Probe(rank)));
        }
        actions
    }

    /// Handles the state of a silent agent's rank.
    pub fn receive_rank_report(&mut self, report: Report, now: unit::Millis) {
        let Some((own, _)) = &self.report else { return };
        let Some(peer) = self.peers.get_mut(&report.rank) else { return };
        if report.group != own.group {
            return;
        }
        peer.takeover.read_at = Some(now);
        let experts = std::mem::take(&mut peer.status.report.experts);
        peer.status.report = Report { experts, ..report };
        self.clear_settled_change(now);
    }

    /// Whether the agents of all lower ranks are silent. Non-leaders send seldom, so they count as
    /// present until their last status expires.
    fn may_take_over(&self, now: unit::Millis) -> bool {
        let Some((own, _)) = &self.report else { return false };
        let lower = self.peers.iter().filter(|(rank, _)| **rank < own.rank);
        let recent = lower.filter(|(_, peer)| now < peer.heard_at + STATUS_TTL);
        let (all, silent) = recent.fold((0, 0), |(all, silent), (_, peer)| {
            (all + 1, silent + usize::from(now >= peer.heard_at + SILENCE_TIMEOUT))
        });
        own.open && all == silent && all <= LEADER_COUNT && now >= self.resumed_at + SILENCE_TIMEOUT
    }

    /// The switch that takes too long.
    fn overdue_switch(&self, now: unit::Millis) -> Option<(u64, Armed)> {
        let (own, _) = self.report.as_ref()?;
        let change = self.change.as_ref().filter(|change| change.epoch == own.epoch)?;
        let armed = Armed { version: change.version, step: change.step? };
        let late = self.hold_known_at.is_some_and(|at| now >= at + SILENCE_TIMEOUT);
        late.then_some((own.epoch, armed))
    }

    /// Probes for a hold that its agent couldn't announce: it may have ordered one once all other
    /// ranks had prepared.
    fn probe_for_hold(&mut self, now: unit::Millis) -> Vec<Action> {
        let Some(version) = self.awaited_version() else { return Vec::new() };
        let silent = |peer: &Peer| {
            let prepared = peer.status.report.prepared == Some(version);
            now >= peer.heard_at
                + if prepared { SILENCE_TIMEOUT } else { UNPREPARED_SILENCE_TIMEOUT }
        };
        let peers = self.peers.values().filter(|peer| !silent(peer));
        if !peers.into_iter().all(|peer| peer.status.report.prepared == Some(version)) {
            return Vec::new();
        }
        let silent = self.peers.iter_mut().filter(|(_, peer)| silent(peer));
        let due = silent.filter_map(|(rank, peer)| {
            peer.takeover.may_probe(now, SEARCH_PROBE_INTERVAL).then_some(Action::Probe(*rank))
        });
        due.collect()
    }

    /// The version that this rank has prepared and for which no held pass is known.
    fn awaited_version(&self) -> Option<u64> {
        let (own, _) = self.report.as_ref()?;
        let change = self.change.as_ref().filter(|change| change.epoch == own.epoch)?;
        let awaits_hold = change.step.is_none() && own.prepared == Some(change.version);
        awaits_hold.then_some(change.version)
    }

    /// Adopts a hold on a silent agent's rank. It is for the change that all have prepared: holds
    /// are only ordered then, and no other change starts during one.
    fn adopt_hold(&mut self) {
        let Some((own, _)) = self.report.clone() else { return };
        self.recover_armed_pass(&own);
        let Some(version) = self.awaited_version() else { return };
        let Some(reports) = self.all_reports(&own) else { return };
        if Self::prepared_by_all(&reports) != Some(version) {
            return;
        }
        let started = reports.iter().map(|(report, _)| report.step).max().unwrap_or(0);
        let read = self.peers.values().filter(|peer| peer.takeover.read_at.is_some());
        let held = read.filter_map(|peer| peer.status.report.held).find(|step| *step > started);
        let Some(step) = held else { return };
        if let Some(change) = &mut self.change {
            change.step = Some(step);
        }
        self.events.push(Event::HoldFound { step });
    }

    fn is_armed_by_all(&self, armed: Armed) -> bool {
        let Some((own, _)) = &self.report else { return false };
        let all = self.all_reports(own);
        all.is_some_and(|all| all.iter().all(|(report, _)| report.armed == Some(armed)))
    }
}

fn takeover_order(report: &Report, epoch: u64, armed: Armed, all_armed: bool) -> Option<Order> {
    if all_armed && report.held == Some(armed.step) {
        return Some(Order::Go { epoch, step: armed.step });
    }
    let can_arm = report.armed != Some(armed) && report.prepared == Some(armed.version);
    can_arm.then_some(Order::Arm { epoch, armed })
}
