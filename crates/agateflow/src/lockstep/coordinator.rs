//! Duties of the lowest-ranked live agent besides its own rank's orders: planning map changes and
//! choosing the pass to hold.

use super::agent::{Agent, REPORT_TTL, Shape};
use super::balance;
use super::events::Event;
use super::report::{Change, Map, Report};
use crate::unit;

/// Minimum time from the end of a change to the next.
const CHANGE_COOLDOWN: unit::Millis = unit::Millis::new(50);

/// Distance from the last started pass to the held one.
const HOLD_LEAD_PASSES: u64 = 1;

/// Maximum age of an agent's status for expecting it to arm its rank at once. Holding a pass while
/// an agent is stopped blocks callers until it is back.
const RESPONSIVE_TTL: unit::Millis = unit::Millis::new(150);

/// Hold lead while orders get lost: arming all ranks then takes over a pass.
const LOSSY_HOLD_LEAD_PASSES: u64 = 3;

/// Passes ahead of the last started one that an earlier process of the agent may have held.
pub(super) const MAX_HOLD_LEAD_PASSES: u64 = LOSSY_HOLD_LEAD_PASSES;

/// Fraction of the most loaded ranks' load that a change must save if passes last nearly the
/// longest gap callers expect.
const MIN_SAVING: f64 = 0.08;

/// The same if passes are short: callers notice no gain, and copying experts has a cost.
const SHORT_PASS_MIN_SAVING: f64 = 0.4;

/// Passes are short up to this fraction of the longest gap.
const SHORT_PASS_RATIO: f64 = 0.5;

/// Passes are long from this fraction of the longest gap on.
const LONG_PASS_RATIO: f64 = 0.75;

/// Minimum selection count for planning.
const MIN_DEMAND: f64 = 100_000.0;

/// Random low bits of a version: two coordinators that know the same versions choose different
/// ones.
const VERSION_RANDOM_BITS: u32 = 16;

impl Agent {
    /// Advances a change to its hold.
    pub(super) fn advance_change(&mut self, own: &Report, now: unit::Millis) {
        let Some(change) = &self.change else { return };
        if change.step.is_some() {
            self.replace_superseded_change(own);
            return;
        }
        let version = change.version;
        let Some(reports) = self.all_reports(own) else { return };
        let responsive = reports.iter().all(|(_, heard_at)| now < *heard_at + RESPONSIVE_TTL);
        let in_force = own.held.is_some() && own.held == self.hold_step;
        if Self::prepared_by_all(&reports) != Some(version) || !(responsive || in_force) {
            // Drops a requested hold that has not taken effect yet.
            self.hold_step = self.hold_step.filter(|_| in_force);
            return;
        }
        let step = reports.iter().map(|(report, _)| report.step).max().unwrap_or(0);
        let lead = if now < self.lossy_until { LOSSY_HOLD_LEAD_PASSES } else { HOLD_LEAD_PASSES };
        match self.hold_step {
            Some(hold_step) if own.held == Some(hold_step) => {
                self.hold_confirmed_at = now;
                if let Some(change) = &mut self.change {
                    change.step = Some(hold_step);
                }
            }
            // The pass started before the hold applied.
            Some(hold_step) if step >= hold_step => self.choose_hold(step + lead),
            Some(_) => {}
            None if own.held.is_none() => self.choose_hold(step + lead),
            None => {}
        }
    }

    /// Replaces a change during its hold if a rank has prepared a later version, which a late order
    /// may name: that rank can't be armed any more.
    fn replace_superseded_change(&mut self, own: &Report) {
        let Some(Change { version, step: Some(step), .. }) = self.change else { return };
        let Some(reports) = self.all_reports(own) else { return };
        let superseded = reports.iter().any(|(report, _)| report.latest_version() > version);
        if superseded && own.held == Some(step) {
            self.reinstate_map(own, step);
        }
    }

    /// Makes all ranks switch at the held pass to a new version of the map in use. They have to
    /// prepare it, so late orders to arm for an earlier version are refused from then on.
    pub(super) fn reinstate_map(&mut self, own: &Report, step: u64) {
        let Some(shape) = self.shape else { return };
        let Some(reports) = self.all_reports(own) else { return };
        if reports.iter().any(|(report, _)| report.map != own.map) {
            return;
        }
        let Some(map) = Self::current_map(&reports, &shape) else { return };
        let version = self.next_version();
        self.events.push(Event::Reinstated { version, step });
        self.change = Some(Change { epoch: own.epoch, version, map, step: Some(step) });
    }

    /// Chooses the next pass from `first` on that was never held.
    fn choose_hold(&mut self, first: u64) {
        self.max_hold = first.max(self.max_hold + 1);
        self.hold_step = Some(self.max_hold);
    }

    /// Plans a worthwhile change.
    pub(super) fn plan_change(&mut self, own: &Report, now: unit::Millis) {
        if now < self.cooldown_from + CHANGE_COOLDOWN || own.held.is_some() || own.armed.is_some() {
            return;
        }
        let Some(shape) = self.shape else { return };
        let Some(reports) = self.all_reports(own) else { return };
        let Some(current_map) = Self::current_map(&reports, &shape) else { return };
        let fresh = reports.iter().all(|(_, heard_at)| now < *heard_at + REPORT_TTL);
        let consistent =
            reports.iter().all(|(r, _)| r.map == own.map && r.armed.is_none() && !r.busy);
        let unheld = reports.iter().all(|(report, _)| report.held.is_none());
        if !fresh || !consistent || !unheld || self.is_peer_changing(own, now) {
            return;
        }
        let load = self.total_load(&shape, now);
        if load.iter().flatten().sum::<f64>() < MIN_DEMAND {
            return;
        }
        let plan = balance::plan(&load, &current_map, &shape.bounds);
        self.cooldown_from = now;
        let threshold = self.min_saving();
        if plan.load_after > plan.load_before * (1.0 - threshold) {
            return;
        }
        let version = self.next_version();
        self.events.push(Event::Planned {
            version,
            load_before: plan.load_before,
            load_after: plan.load_after,
            lower_bound: plan.lower_bound,
            max_copies: plan.max_copies,
            evaluations: plan.evaluations,
            pass_ms: self.pass_durations.mean_ms(),
            min_saving: threshold,
        });
        self.change = Some(Change { epoch: own.epoch, version, map: plan.map, step: None });
    }

    /// Fraction of the most loaded ranks' load that a change must save, given what callers gain
    /// from it.
    fn min_saving(&self) -> f64 {
        let (Some(pass_ms), Some(max_pause)) = (self.pass_durations.mean_ms(), self.max_pause)
        else {
            return MIN_SAVING;
        };
        let ratio = pass_ms / (max_pause.get() as f64).max(1.0);
        let shortness =
            ((LONG_PASS_RATIO - ratio) / (LONG_PASS_RATIO - SHORT_PASS_RATIO)).clamp(0.0, 1.0);
        MIN_SAVING + (SHORT_PASS_MIN_SAVING - MIN_SAVING) * shortness
    }

    /// The map in use, assembled from the ranks' reports.
    fn current_map(reports: &[(&Report, unit::Millis)], shape: &Shape) -> Option<Map> {
        let mut map = vec![vec![Vec::new(); reports.len()]; shape.sets];
        for (report, _) in reports {
            let mut experts = report.experts.iter().flatten();
            let known = experts.all(|&expert| usize::from(expert) < shape.experts);
            if report.experts.len() != shape.sets || !known {
                return None;
            }
            for (set, experts) in map.iter_mut().zip(&report.experts) {
                *set.get_mut(report.rank as usize)? = experts.clone();
            }
        }
        Some(Map(map))
    }

    /// Load of all ranks by set and expert.
    fn total_load(&self, shape: &Shape, now: unit::Millis) -> Vec<Vec<f64>> {
        let mut sum = self.demand.load().to_vec();
        sum.resize(shape.sets * shape.experts, 0.0);
        self.add_peer_loads(&mut sum, |_| true, now);
        sum.chunks(shape.experts.max(1)).map(<[f64]>::to_vec).collect()
    }

    fn next_version(&mut self) -> u64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let random = self.seed >> (u64::BITS - VERSION_RANDOM_BITS);
        let version =
            (((self.max_version >> VERSION_RANDOM_BITS) + 1) << VERSION_RANDOM_BITS) | random;
        self.max_version = version;
        version
    }
}
