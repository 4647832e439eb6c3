//! Faults of processes and links, scripted and random.

use super::Mode;
use super::entry::Entry;

use rand::Rng;

use super::driver::Simulation;
use super::event::Event;
use super::upstream::{self, Upstream};
use crate::admission;
use crate::id;
use crate::outcome;
use crate::request::Input;
use crate::unit;

const MAX_PAUSE_MS: u64 = 4_000;
const MAX_CUT_MS: u64 = 2_000;

impl Simulation {
    /// Cuts the link between an entry and an upstream.
    pub fn cut_link(&mut self, entry: usize, upstream: usize) {
        self.cut_links.insert((entry, upstream));
        self.record_trace(|_| format!("cut e{entry} u{upstream}"));
        let target = self.upstreams[upstream].incarnation;
        self.schedule(self.now, Event::LinkLost { entry, target });
        let lost = self.entries[entry].incarnation;
        self.table_input(upstream, admission::Input::LinkLost(lost));
    }

    /// Restores a link.
    pub fn restore_link(&mut self, entry: usize, upstream: usize) {
        self.schedule(self.now, Event::RestoreLink { entry, upstream });
    }

    /// Applies a list of homes at an entry.
    pub fn publish_to_entry(&mut self, entry: usize, revision: unit::Revision, list: &[usize]) {
        let declared = list.iter().map(|&u| self.upstreams[u].vm.clone()).collect();
        self.entries[entry].declared = declared;
        self.entries[entry].revision = revision;
    }

    /// Applies a list of homes at an upstream.
    pub fn publish_to_upstream(&mut self, to: usize, revision: unit::Revision, list: &[usize]) {
        let declared = list.iter().map(|&u| self.upstreams[u].vm.clone()).collect();
        self.upstreams[to].revision = revision;
        let (Some(table), Some(service)) = (&mut self.upstreams[to].table, upstream::service())
        else {
            return;
        };
        table.home_mut().set_declared(&service, revision, declared);
    }

    /// Kills an upstream and replaces it by a new process with the same name.
    pub fn replace_upstream(&mut self, upstream: usize) {
        self.record_trace(|_| format!("replace u{upstream}"));
        let old = &self.upstreams[upstream];
        let (vm, target) = (old.vm.clone(), old.incarnation);
        let clock_offset = self.rng.random_range(0..100_000);
        let incarnation = id::Incarnation::random(&mut self.rng);
        let homes = (self.settings.mode == Mode::Agateflow).then_some(&self.declared[..]);
        let new = Upstream::new(vm, incarnation, clock_offset, homes, self.now);
        self.upstreams[upstream] = new;
        for entry in 0..self.entries.len() {
            let after = unit::Millis::new(1 + self.random_below(100));
            self.schedule(self.now + after, Event::LinkLost { entry, target });
        }
    }

    /// Pauses an upstream process; `freeze_clock` stops its clock meanwhile.
    pub fn pause_upstream(&mut self, upstream: usize, span: unit::Millis, freeze_clock: bool) {
        let node = &mut self.upstreams[upstream];
        if node.paused_until.is_some() {
            return;
        }
        node.paused_until = Some(self.now + span);
        node.frozen_since = freeze_clock.then_some(self.now);
        self.record_trace(|_| format!("pause u{upstream}"));
        self.schedule(self.now + span, Event::UnpauseUpstream(upstream));
    }

    /// Pauses an entry; `freeze_clock` stops its clock meanwhile.
    pub fn pause_entry(&mut self, entry: usize, span: unit::Millis, freeze_clock: bool) {
        if self.entries[entry].paused_until.is_some() {
            return;
        }
        self.mark_disturbed(entry);
        self.entries[entry].paused_until = Some(self.now + span);
        self.entries[entry].frozen_since = freeze_clock.then_some(self.now);
        self.record_trace(|_| format!("pause e{entry}"));
        self.schedule(self.now + span, Event::UnpauseEntry(entry));
    }

    /// Kills an entry and replaces it by a new process.
    pub fn replace_entry(&mut self, entry: usize) {
        self.record_trace(|_| format!("replace e{entry}"));
        self.mark_disturbed(entry);
        let lost = self.entries[entry].incarnation;
        let unfinished: Vec<_> =
            self.entries[entry].requests.values().map(|e| (e.call, e.submission)).collect();
        self.stats.untold += unfinished.len() as u64;
        let clock_offset = self.rng.random_range(0..100_000);
        let incarnation = id::Incarnation::random(&mut self.rng);
        self.entries[entry] = Entry::new(incarnation, clock_offset, &self.declared);
        for upstream in 0..self.upstreams.len() {
            self.table_input(upstream, admission::Input::LinkLost(lost));
        }
        for (call, submission) in unfinished {
            self.schedule_caller_retry(call, submission, outcome::Outcome::Unknown);
        }
    }

    /// Starts to drain an upstream. Random faults replace it later.
    pub fn drain_upstream(&mut self, upstream: usize) {
        self.record_trace(|_| format!("drain u{upstream}"));
        self.upstreams[upstream].draining = true;
        self.table_input(upstream, admission::Input::Drain);
    }

    /// Crashes and restarts the engine of an upstream.
    pub fn crash_engine(&mut self, upstream: usize) {
        self.record_trace(|_| format!("crash u{upstream}"));
        let jobs = std::mem::take(&mut self.upstreams[upstream].jobs);
        for id in jobs.keys() {
            self.finish_attempt(upstream, *id, admission::Ending::Crashed);
        }
    }

    pub(super) fn mark_disturbed(&mut self, entry: usize) {
        for exchange in self.entries[entry].requests.values() {
            self.calls[exchange.call].submissions[exchange.submission].disturbed = true;
        }
    }

    pub(super) fn unpause_upstream(&mut self, upstream: usize) {
        let now = self.now;
        let node = &mut self.upstreams[upstream];
        if node.paused_until.is_none_or(|until| until > now) {
            return;
        }
        node.paused_until = None;
        if let Some(since) = node.frozen_since.take() {
            node.clock_offset -= now.saturating_sub(since).get() as i64;
        }
        let deferred = std::mem::take(&mut node.deferred);
        self.record_trace(|_| format!("wake u{upstream}"));
        for event in deferred {
            self.dispatch(event);
        }
    }

    pub(super) fn unpause_entry(&mut self, entry: usize) {
        let now = self.now;
        let node = &mut self.entries[entry];
        if node.paused_until.is_none_or(|until| until > now) {
            return;
        }
        node.paused_until = None;
        if let Some(since) = node.frozen_since.take() {
            node.clock_offset -= now.saturating_sub(since).get() as i64;
        }
        let deferred = std::mem::take(&mut node.deferred);
        self.record_trace(|_| format!("wake e{entry}"));
        for event in deferred {
            if let Event::Submit { call, .. } = event {
                self.submit_call(entry, call);
                self.mark_disturbed(entry);
            } else {
                self.dispatch(event);
            }
        }
    }

    pub(super) fn on_link_restored(&mut self, entry: usize, upstream: usize) {
        if !self.cut_links.shift_remove(&(entry, upstream)) {
            return;
        }
        self.record_trace(|_| format!("mend e{entry} u{upstream}"));
        let target = self.upstreams[upstream].incarnation;
        self.feed_all(entry, &Input::LinkRestored(target));
    }

    pub(super) fn inject_upstream_faults(&mut self, upstream: usize) {
        let faults = self.settings.faults;
        let freeze_clock = self.random_below(2) == 0;
        if self.occurs(faults.upstream_kill) {
            self.replace_upstream(upstream);
        }
        if self.occurs(faults.upstream_pause) {
            let span = unit::Millis::new(1 + self.random_below(MAX_PAUSE_MS));
            self.pause_upstream(upstream, span, freeze_clock);
        }
        if self.occurs(faults.engine_crash) && self.upstreams[upstream].paused_until.is_none() {
            self.crash_engine(upstream);
        }
        if self.occurs(faults.upstream_drain) && !self.upstreams[upstream].draining {
            self.drain_upstream(upstream);
            let old = self.upstreams[upstream].incarnation;
            self.schedule(
                self.now + unit::Millis::new(MAX_PAUSE_MS),
                Event::ReplaceUpstream(upstream, old),
            );
        }
    }

    pub(super) fn inject_entry_faults(&mut self, entry: usize) {
        let faults = self.settings.faults;
        let freeze_clock = self.random_below(2) == 0;
        if self.occurs(faults.entry_kill) {
            self.replace_entry(entry);
        }
        if self.occurs(faults.entry_pause) {
            let span = unit::Millis::new(1 + self.random_below(MAX_PAUSE_MS));
            self.pause_entry(entry, span, freeze_clock);
        }
        for upstream in 0..self.upstreams.len() {
            if self.occurs(faults.link_cut) && !self.cut_links.contains(&(entry, upstream)) {
                self.cut_link(entry, upstream);
                let span = unit::Millis::new(1 + self.random_below(MAX_CUT_MS));
                self.schedule(self.now + span, Event::RestoreLink { entry, upstream });
            }
        }
    }
}
