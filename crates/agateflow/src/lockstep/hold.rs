//! Held passes: when to release one, and recovery of holds after an agent restart.

use super::agent::{Agent, REPORT_TTL};
use super::events::Event;
use super::report::{Armed, Change, Map, Report};
use crate::unit;

impl Agent {
    /// Whether the held pass may start: all ranks switch in one pass, or none can.
    pub(super) fn can_release(&self, own: &Report, step: u64, now: unit::Millis) -> bool {
        let Some(reports) = self.all_reports(own) else { return false };
        if own.armed.is_some() && reports.iter().all(|(report, _)| report.armed == own.armed) {
            return true;
        }
        if self.change.as_ref().is_some_and(|change| change.step == Some(step)) {
            return false;
        }
        if self.hold_step == Some(step) {
            return false;
        }
        // Released before; that order may be lost.
        if self.released == Some(step) {
            return true;
        }
        // No arm order can be in flight: arm is only ordered once all ranks have prepared, and a
        // rank stays prepared within an epoch. Reports from before the hold can't prove that.
        let since =
            self.seen_hold.filter(|(seen_hold, _)| *seen_hold == step).map_or(now, |(_, at)| at);
        let fresh = self.peers.values().all(|peer| peer.report_read_at >= since)
            && reports.iter().all(|(_, heard_at)| now < *heard_at + REPORT_TTL);
        fresh && Self::was_never_armed(&reports)
    }

    /// Whether no rank is armed, nor can be by a late order: one rank was never ready for it.
    fn was_never_armed(reports: &[(&Report, unit::Millis)]) -> bool {
        let reports = || reports.iter().map(|(report, _)| report);
        let Some(earliest) = reports().map(|report| report.latest_version()).min() else {
            return false;
        };
        let can_arm = |report: &Report| report.prepared.is_some_and(|version| version <= earliest);
        reports().all(|report| !report.busy && report.armed.is_none() && !can_arm(report))
    }

    /// Reports of all ranks in the current epoch, or `None` if one is missing.
    pub(super) fn all_reports<'a>(
        &'a self,
        own: &'a Report,
    ) -> Option<Vec<(&'a Report, unit::Millis)>> {
        let own_heard_at = self.report.as_ref().map(|(_, at)| *at)?;
        let peers = self.peers.values().filter(|peer| peer.status.report.epoch == own.epoch);
        let peers = peers.map(|peer| (&peer.status.report, peer.heard_at));
        let all: Vec<_> = peers.chain([(own, own_heard_at)]).collect();
        (all.len() == own.size as usize).then_some(all)
    }

    /// The version that all ranks have prepared and none uses yet.
    pub(super) fn prepared_by_all(reports: &[(&Report, unit::Millis)]) -> Option<u64> {
        let version = reports.first()?.0.prepared?;
        let all = reports.iter().all(|(r, _)| r.prepared == Some(version) && r.map < version);
        all.then_some(version)
    }

    /// Takes the pass of a change from the ranks that are armed for it. It never changes: a rank
    /// armed for another pass would switch alone.
    pub(super) fn recover_armed_pass(&mut self, own: &Report) {
        if self.change.as_ref().is_some_and(|change| change.step.is_some()) {
            return;
        }
        let peers = self.peers.values().map(|peer| &peer.status.report);
        let reports = [own].into_iter().chain(peers).filter(|report| report.epoch == own.epoch);
        let is_due = |armed: &Armed| armed.version > own.map && armed.step > own.step;
        let Some(armed) = reports.filter_map(|report| report.armed).find(is_due) else { return };
        self.set_pass(own.epoch, armed.version, armed.step);
    }

    /// Records when a hold was first seen.
    pub(super) fn observe_hold(&mut self, step: u64, now: unit::Millis) {
        if self.seen_hold.is_some_and(|(seen_hold, _)| seen_hold == step) {
            return;
        }
        self.seen_hold = Some((step, now));
        if let Some(Change { version, step: Some(change_step), .. }) = self.change
            && change_step != step
        {
            self.events.push(Event::LateHold { step, version, change_step });
        }
    }

    /// Recovers the change that a hold belongs to after an agent restart or missed messages. A hold
    /// may take effect late: it says nothing about a change whose pass is known.
    pub(super) fn recover_hold(&mut self, own: &Report, step: u64, now: unit::Millis) {
        let is_known = self.change.as_ref().is_some_and(|change| change.step.is_some());
        // A released pass may start at any time.
        if is_known || self.hold_step == Some(step) || self.released == Some(step) {
            return;
        }
        let Some(reports) = self.all_reports(own) else { return };
        if let Some(version) = Self::prepared_by_all(&reports) {
            self.events.push(Event::HoldFound { step });
            self.set_pass(own.epoch, version, step);
            self.cooldown_from = now;
        } else if self.is_coordinator(now) && Self::may_be_armed_late(&reports) {
            self.events.push(Event::HoldFound { step });
            self.reinstate_map(own, step);
        }
    }

    /// Whether a rank may be armed by a late order although not all can switch any more.
    fn may_be_armed_late(reports: &[(&Report, unit::Millis)]) -> bool {
        reports.iter().all(|(report, _)| !report.busy) && !Self::was_never_armed(reports)
    }

    fn set_pass(&mut self, epoch: u64, version: u64, step: u64) {
        let map = match self.change.take() {
            Some(change) if change.version == version => change.map,
            _ => Map::default(),
        };
        self.change = Some(Change { epoch, version, map, step: Some(step) });
    }
}
