//! Faults of processes and links: by order, and at random.

use super::Mode;
use super::entry::Entry;

use rand::Rng;

use super::event::Event;
use super::upstream::{self, Upstream};
use super::world::World;
use crate::admission;
use crate::id;
use crate::outcome;
use crate::request::Input;
use crate::unit;

/// Longest pause of a process, in milliseconds.
const PAUSE: u64 = 4_000;
/// Longest cut of a link, in milliseconds.
const CUT: u64 = 2_000;

impl World {
    /// Cuts the link between an entry and an upstream.
    pub fn cut(&mut self, entry: usize, upstream: usize) {
        self.cuts.insert((entry, upstream));
        self.note(|_| format!("cut e{entry} u{upstream}"));
        let target = self.upstreams[upstream].incarnation;
        self.at(self.now, Event::LinkLost { entry, target });
        let lost = self.entries[entry].incarnation;
        self.admit(upstream, admission::Input::LinkLost(lost));
    }

    /// Mends a link.
    pub fn mend(&mut self, entry: usize, upstream: usize) {
        self.at(self.now, Event::Mend { entry, upstream });
    }

    /// Puts a list of homes in force at an entry.
    pub fn publish_to_entry(&mut self, entry: usize, revision: unit::Revision, list: &[usize]) {
        let declared = list.iter().map(|&u| self.upstreams[u].vm.clone()).collect();
        self.entries[entry].declared = declared;
        self.entries[entry].revision = revision;
    }

    /// Puts a list of homes in force at an upstream.
    pub fn publish_to_upstream(&mut self, to: usize, revision: unit::Revision, list: &[usize]) {
        let declared = list.iter().map(|&u| self.upstreams[u].vm.clone()).collect();
        self.upstreams[to].revision = revision;
        let (Some(table), Some(service)) = (&mut self.upstreams[to].table, upstream::service())
        else {
            return;
        };
        table.home_mut().set_declared(&service, revision, declared);
    }

    /// Kills an upstream; another process takes its place and name.
    pub fn kill(&mut self, upstream: usize) {
        self.note(|_| format!("replace u{upstream}"));
        let old = &self.upstreams[upstream];
        let (vm, target) = (old.vm.clone(), old.incarnation);
        let clock = self.rng.random_range(0..100_000);
        let incarnation = id::Incarnation::random(&mut self.rng);
        let gated = (self.settings.mode == Mode::Agateflow).then_some(&self.declared[..]);
        let new = Upstream::new(vm, incarnation, clock, gated, self.now);
        self.upstreams[upstream] = new;
        for entry in 0..self.entries.len() {
            let after = unit::Millis::new(1 + self.below(100));
            self.at(self.now + after, Event::LinkLost { entry, target });
        }
    }

    /// Pauses an upstream process; with `frozen` its clock stands still meanwhile.
    pub fn pause(&mut self, upstream: usize, span: unit::Millis, frozen: bool) {
        let side = &mut self.upstreams[upstream];
        if side.paused.is_some() {
            return;
        }
        side.paused = Some(self.now + span);
        side.frozen = frozen.then_some(self.now);
        self.note(|_| format!("pause u{upstream}"));
        self.at(self.now + span, Event::WakeUpstream(upstream));
    }

    /// Pauses an entry.
    pub fn pause_entry(&mut self, entry: usize, span: unit::Millis, frozen: bool) {
        if self.entries[entry].paused.is_some() {
            return;
        }
        self.disturb(entry);
        self.entries[entry].paused = Some(self.now + span);
        self.entries[entry].frozen = frozen.then_some(self.now);
        self.note(|_| format!("pause e{entry}"));
        self.at(self.now + span, Event::WakeEntry(entry));
    }

    /// Kills an entry; another process takes its place.
    pub fn kill_entry(&mut self, entry: usize) {
        self.note(|_| format!("replace e{entry}"));
        self.disturb(entry);
        let lost = self.entries[entry].incarnation;
        let live: Vec<_> =
            self.entries[entry].requests.values().map(|l| (l.call, l.send)).collect();
        self.ledger.untold += live.len() as u64;
        let clock = self.rng.random_range(0..100_000);
        let incarnation = id::Incarnation::random(&mut self.rng);
        self.entries[entry] = Entry::new(incarnation, clock, &self.declared);
        for upstream in 0..self.upstreams.len() {
            self.admit(upstream, admission::Input::LinkLost(lost));
        }
        for (call, send) in live {
            self.resend(call, send, outcome::Outcome::Unknown);
        }
    }

    /// An upstream starts to leave; it is replaced when its work is done.
    pub fn drain(&mut self, upstream: usize) {
        self.note(|_| format!("drain u{upstream}"));
        self.upstreams[upstream].draining = true;
        self.admit(upstream, admission::Input::Drain);
    }

    /// The engine of an upstream crashes and starts again.
    pub fn crash(&mut self, upstream: usize) {
        self.note(|_| format!("crash u{upstream}"));
        let jobs = std::mem::take(&mut self.upstreams[upstream].jobs);
        for id in jobs.keys() {
            self.end(upstream, *id, admission::Ending::Crashed);
        }
    }

    pub(super) fn disturb(&mut self, entry: usize) {
        for live in self.entries[entry].requests.values() {
            self.calls[live.call].sends[live.send].disturbed = true;
        }
    }

    pub(super) fn wake_upstream(&mut self, upstream: usize) {
        let now = self.now;
        let side = &mut self.upstreams[upstream];
        if side.paused.is_none_or(|until| until > now) {
            return;
        }
        side.paused = None;
        if let Some(since) = side.frozen.take() {
            side.clock -= now.saturating_sub(since).get() as i64;
        }
        let held = std::mem::take(&mut side.held);
        self.note(|_| format!("wake u{upstream}"));
        for event in held {
            self.dispatch(event);
        }
    }

    pub(super) fn wake_entry(&mut self, entry: usize) {
        let now = self.now;
        let side = &mut self.entries[entry];
        if side.paused.is_none_or(|until| until > now) {
            return;
        }
        side.paused = None;
        if let Some(since) = side.frozen.take() {
            side.clock -= now.saturating_sub(since).get() as i64;
        }
        let held = std::mem::take(&mut side.held);
        self.note(|_| format!("wake e{entry}"));
        for event in held {
            if let Event::Send { call, .. } = event {
                self.send_call(entry, call);
                self.disturb(entry);
            } else {
                self.dispatch(event);
            }
        }
    }

    pub(super) fn mended(&mut self, entry: usize, upstream: usize) {
        if !self.cuts.shift_remove(&(entry, upstream)) {
            return;
        }
        self.note(|_| format!("mend e{entry} u{upstream}"));
        let target = self.upstreams[upstream].incarnation;
        self.feed_all(entry, &Input::LinkBack(target));
    }

    pub(super) fn upset_upstream(&mut self, upstream: usize) {
        let faults = self.settings.faults;
        let frozen = self.below(2) == 0;
        if self.roll(faults.kill) {
            self.kill(upstream);
        }
        if self.roll(faults.pause) {
            let span = unit::Millis::new(1 + self.below(PAUSE));
            self.pause(upstream, span, frozen);
        }
        if self.roll(faults.crash) && self.upstreams[upstream].paused.is_none() {
            self.crash(upstream);
        }
        if self.roll(faults.drain) && !self.upstreams[upstream].draining {
            self.drain(upstream);
            let old = self.upstreams[upstream].incarnation;
            self.at(self.now + unit::Millis::new(PAUSE), Event::Replace(upstream, old));
        }
    }

    pub(super) fn upset_entry(&mut self, entry: usize) {
        let faults = self.settings.faults;
        let frozen = self.below(2) == 0;
        if self.roll(faults.entry_kill) {
            self.kill_entry(entry);
        }
        if self.roll(faults.entry_pause) {
            let span = unit::Millis::new(1 + self.below(PAUSE));
            self.pause_entry(entry, span, frozen);
        }
        for upstream in 0..self.upstreams.len() {
            if self.roll(faults.cut) && !self.cuts.contains(&(entry, upstream)) {
                self.cut(entry, upstream);
                let span = unit::Millis::new(1 + self.below(CUT));
                self.at(self.now + span, Event::Mend { entry, upstream });
            }
        }
    }
}
