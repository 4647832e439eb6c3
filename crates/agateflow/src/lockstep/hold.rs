//! Held passes: whether one may begin, and what one is for whose agent started again.

use super::agent::{Agent, REPORT_LIFE};
use super::note::Note;
use super::report::{Change, Map, Report};
use crate::unit;

impl Agent {
    /// Whether the held pass may begin: all ranks switch in it, or no rank can.
    pub(super) fn may_go(&self, own: &Report, step: u64, now: unit::Millis) -> bool {
        let Some(reports) = self.all(own) else { return false };
        let armed = own.armed.filter(|armed| armed.step == step);
        if let Some(armed) = armed
            && reports.iter().all(|(report, _)| report.armed == Some(armed))
        {
            return true;
        }
        if self.change.as_ref().is_some_and(|change| change.step == Some(step)) {
            return false;
        }
        if self.hold == Some(step) {
            return false;
        }
        // Decided before; the order may have been lost.
        if self.released == Some(step) {
            return true;
        }
        // No arm can be on its way: it is only ever ordered once all ranks were prepared, and a
        // rank stays prepared within a form of the group. Reports from before the hold don't show
        // that.
        let since = self.found.filter(|(found, _)| *found == step).map_or(now, |(_, at)| at);
        let fresh = self.others.values().all(|known| known.read >= since)
            && reports.iter().all(|(_, heard)| now < *heard + REPORT_LIFE);
        let prepared = Self::prepared_by_all(&reports);
        fresh && prepared.is_none() && reports.iter().all(|(report, _)| report.armed.is_none())
    }

    /// Reports of all ranks in the group's present form, or nothing if one is missing.
    pub(super) fn all<'a>(&'a self, own: &'a Report) -> Option<Vec<(&'a Report, unit::Millis)>> {
        let own_heard = self.report.as_ref().map(|(_, at)| *at)?;
        let others = self.others.values().filter(|known| known.status.report.epoch == own.epoch);
        let others = others.map(|known| (&known.status.report, known.heard));
        let all: Vec<_> = others.chain([(own, own_heard)]).collect();
        (all.len() == own.size as usize).then_some(all)
    }

    /// The version that all ranks have prepared and none uses yet.
    pub(super) fn prepared_by_all(reports: &[(&Report, unit::Millis)]) -> Option<u64> {
        let version = reports.first()?.0.prepared?;
        let all = reports.iter().all(|(r, _)| r.prepared == Some(version) && r.map < version);
        all.then_some(version)
    }

    /// Finds the change that a hold belongs to, if its agent started again or hears of it late.
    pub(super) fn recover_hold(&mut self, own: &Report, step: u64, now: unit::Millis) {
        let known = self.change.as_ref().is_some_and(|change| change.step == Some(step));
        // One that was let begin may do so at any time.
        if known || self.hold == Some(step) || self.released == Some(step) {
            return;
        }
        let Some(reports) = self.all(own) else { return };
        let armed = reports.iter().find_map(|(report, _)| report.armed);
        let version = match armed.filter(|armed| armed.step == step) {
            Some(armed) => Some(armed.version),
            None => Self::prepared_by_all(&reports),
        };
        let Some(version) = version else { return };
        self.notes.push(Note::Orphan { step });
        let map = match &self.change {
            Some(change) if change.version == version => change.map.clone(),
            _ => Map::default(),
        };
        self.change = Some(Change { epoch: own.epoch, version, map, step: Some(step) });
        self.ended = now;
    }
}
