//! Agent of one rank: a state machine without I/O, driven by rank reports and peer statuses.

use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::coordinator::MAX_HOLD_LEAD_PASSES;
use super::demand::Demand;
use super::events::Event;
use super::report::{Armed, Change, Load, Order, Plan, Report, Status};
use super::{balance, pass, takeover};
use crate::unit;

/// Age at which a status no longer shows its agent is alive.
pub(super) const STATUS_TTL: unit::Millis = unit::Millis::new(1_500);

/// Maximum age of a report for starting a change.
pub(super) const REPORT_TTL: unit::Millis = unit::Millis::new(1_000);

/// Delay before an order without effect is repeated.
const ORDER_RETRY_INTERVAL: unit::Millis = unit::Millis::new(10);

/// The same for the prepare order, which takes longer.
const PREPARE_RETRY_INTERVAL: unit::Millis = unit::Millis::new(100);

/// Time to arm all ranks above which orders count as lost.
const ARM_TIMEOUT: unit::Millis = unit::Millis::new(25);

/// Time to expect more lost orders after one is lost.
const LOSSY_PERIOD: unit::Millis = unit::Millis::new(8_000);

/// Size and limits of maps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Set count.
    pub sets: usize,
    /// Experts per set.
    pub experts: usize,
    /// Limits of maps.
    pub bounds: balance::Bounds,
}

#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) status: Status,
    pub(super) heard_at: unit::Millis,
    /// When the report in `status` was read.
    pub(super) report_read_at: unit::Millis,
    pub(super) expert_load: Option<(Load, unit::Millis)>,
    pub(super) takeover: takeover::Attempts,
}

impl Peer {
    /// Whether the agent announced the change of this version.
    pub(super) fn has_change(&self, version: u64) -> bool {
        self.status.change.as_ref().is_some_and(|change| change.version == version)
    }

    /// Whether the agent has that map.
    pub(super) fn has_map(&self, version: u64) -> bool {
        self.status.has_map && self.has_change(version)
    }
}

/// The order due for this rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Command {
    /// Copy the experts of the change with this version.
    Prepare(u64),
    /// Switch.
    Arm(Armed),
    /// Don't switch to this version.
    Disarm(u64),
    /// Don't start this pass.
    Hold(u64),
    /// Start this pass.
    Go(u64),
}

/// The agent of one rank.
#[derive(Clone, Debug)]
pub struct Agent {
    address: SocketAddr,
    pub(super) shape: Option<Shape>,
    /// Longest gap between two events that callers expect.
    pub(super) max_pause: Option<unit::Millis>,
    pub(super) pass_durations: pass::Meter,
    pub(super) report: Option<(Rc<Report>, unit::Millis)>,
    pub(super) peers: IndexMap<u32, Peer>,
    pub(super) demand: Demand,
    pub(super) change: Option<Change>,
    pub(super) hold_step: Option<u64>,
    pub(super) hold_confirmed_at: unit::Millis,
    /// When the change's held pass became known.
    pub(super) hold_known_at: Option<unit::Millis>,
    /// The pass that this rank holds or last held, and when it was first seen.
    pub(super) seen_hold: Option<(u64, unit::Millis)>,
    /// A held pass whose release was ordered without a change. Never revoked.
    pub(super) released: Option<u64>,
    /// When the agent last resumed after a stall.
    pub(super) resumed_at: unit::Millis,
    pub(super) lossy_until: unit::Millis,
    /// The last order with its group epoch and time.
    last_order: Option<(u64, Command, unit::Millis)>,
    pub(super) cooldown_from: unit::Millis,
    pub(super) max_version: u64,
    /// Latest pass known to have been held in this epoch. A pass is held once only: a late order
    /// to start it would end a second hold.
    pub(super) max_hold: u64,
    pub(super) seed: u64,
    pub(super) events: Vec<Event>,
}

impl Agent {
    /// Creates an agent that receives at `address`; `seed` differs between runs.
    pub fn new(address: SocketAddr, seed: u64) -> Self {
        Self {
            address,
            shape: None,
            max_pause: None,
            pass_durations: pass::Meter::default(),
            report: None,
            peers: IndexMap::new(),
            demand: Demand::default(),
            change: None,
            hold_step: None,
            hold_confirmed_at: unit::Millis::ZERO,
            hold_known_at: None,
            seen_hold: None,
            released: None,
            resumed_at: unit::Millis::ZERO,
            lossy_until: unit::Millis::ZERO,
            last_order: None,
            cooldown_from: unit::Millis::ZERO,
            max_version: 0,
            max_hold: 0,
            seed,
            events: Vec::new(),
        }
    }

    /// Sets size and limits.
    pub fn set_shape(&mut self, shape: Shape) {
        self.shape = Some(shape);
    }

    /// Sets the longest gap between two events that callers expect.
    pub fn set_max_pause(&mut self, max_pause: unit::Millis) {
        self.max_pause = Some(max_pause);
    }

    /// Drains the recorded events.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Handles this rank's report.
    pub fn observe(&mut self, report: Report, now: unit::Millis) {
        let versions = [Some(report.map), report.prepared, report.armed.map(|armed| armed.version)];
        self.max_version = versions.into_iter().flatten().fold(self.max_version, u64::max);
        if self.report.as_ref().is_none_or(|(_, at)| now >= *at + takeover::SILENCE_TIMEOUT) {
            self.resumed_at = now;
        }
        // Pass numbers may repeat in another epoch.
        if self.report.as_ref().is_some_and(|(last, _)| last.epoch != report.epoch) {
            self.seen_hold = None;
            self.released = None;
            self.max_hold = 0;
        }
        if self.report.is_none() {
            self.max_hold = report.step + MAX_HOLD_LEAD_PASSES;
        }
        self.max_hold = self.max_hold.max(report.held.unwrap_or(0));
        self.pass_durations.observe(report.step, now);
        self.report = Some((Rc::new(report), now));
        self.clear_settled_change(now);
    }

    /// Handles this rank's counters.
    pub fn observe_counts(&mut self, counts: &[u64], now: unit::Millis) {
        self.demand.observe(counts, now);
    }

    /// Handles another agent's status.
    pub fn receive_status(&mut self, mut status: Status, now: unit::Millis) {
        let Some((own, _)) = &self.report else { return };
        if status.report.group != own.group || status.report.rank == own.rank {
            return;
        }
        self.max_version = self.max_version.max(status.max_version);
        if status.report.epoch == own.epoch {
            self.max_hold = self.max_hold.max(status.max_hold);
        }
        if let Some(change) = &status.change {
            self.adopt_change(change.clone());
        }
        let rank = status.report.rank;
        let before = self.peers.swap_remove(&rank);
        let received = status.demand.take().map(|expert_load| (expert_load, now));
        let expert_load = received.or_else(|| before.and_then(|peer| peer.expert_load));
        let takeover = takeover::Attempts::default();
        let report_read_at = now.saturating_sub(status.report_age);
        self.peers
            .insert(rank, Peer { status, heard_at: now, report_read_at, expert_load, takeover });
        self.clear_settled_change(now);
    }

    /// Handles a change with its map.
    pub fn receive_plan(&mut self, plan: &Plan) {
        if self.report.as_ref().is_some_and(|(own, _)| own.group == plan.group) {
            self.adopt_change(plan.change.clone());
        }
    }

    /// Adopts `change` unless a later one is known. The held pass of a change is set only once.
    fn adopt_change(&mut self, change: Change) {
        self.max_version = self.max_version.max(change.version);
        let Some((own, _)) = &self.report else { return };
        if change.epoch != own.epoch || change.version <= own.map || self.is_superseded(&change) {
            return;
        }
        match &mut self.change {
            Some(current) if current.epoch == change.epoch && current.version == change.version => {
                current.step = current.step.or(change.step);
                if current.map.0.is_empty() {
                    current.map = change.map;
                }
            }
            // Without its map a change is only useful for arming ranks that have prepared it.
            _ if change.map.0.is_empty() && change.step.is_none() => {}
            // It replaces one that a rank can't switch to any more.
            Some(current)
                if current.epoch == change.epoch
                    && current.step.is_some()
                    && current.step == change.step
                    && current.version < change.version =>
            {
                self.change = Some(change);
            }
            // Ranks may be armed for one with a held pass.
            Some(current)
                if current.epoch == change.epoch
                    && (current.step.is_some() || current.version > change.version) => {}
            _ => self.change = Some(change),
        }
    }

    /// Whether a change has a held pass, or this rank holds one.
    pub fn is_switching(&self) -> bool {
        let held = self.report.as_ref().is_some_and(|(report, _)| report.held.is_some());
        held || self.change.as_ref().is_some_and(|change| change.step.is_some())
    }

    /// Whether this rank has prepared a change, so a hold may follow at any time.
    pub fn is_prepared(&self) -> bool {
        let prepared = self.report.as_ref().and_then(|(report, _)| report.prepared);
        self.change.as_ref().is_some_and(|change| prepared == Some(change.version))
    }

    /// Whether a rank can't prepare `change` any more, as it had a later one.
    fn is_superseded(&self, change: &Change) -> bool {
        let peers = self.peers.values().map(|peer| &peer.status.report);
        let own = self.report.iter().map(|(own, _)| &**own);
        let mut reports = peers.chain(own).filter(|report| report.epoch == change.epoch);
        let later = |report: &Report| report.latest_version() > change.version;
        change.step.is_none() && reports.any(later)
    }

    /// Clears a change that is in use, can no longer take effect or belongs to another epoch.
    pub(super) fn clear_settled_change(&mut self, now: unit::Millis) {
        let Some((own, _)) = &self.report else { return };
        let Some(change) = &self.change else { return };
        if change.epoch != own.epoch || self.is_superseded(change) {
            self.change = None;
            self.hold_step = None;
            self.cooldown_from = now;
        } else if own.map >= change.version {
            self.events.push(Event::Applied { version: change.version });
            self.change = None;
            self.hold_step = None;
            self.cooldown_from = now;
        }
    }

    /// Status for the peers, which includes the expert load if `with_load`.
    pub fn status(&self, with_load: bool, now: unit::Millis) -> Option<Status> {
        let (report, at) = self.report.as_ref()?;
        Some(Status {
            address: self.address,
            report: Report::clone(report),
            report_age: now.saturating_sub(*at),
            max_version: self.max_version,
            max_hold: self.max_hold,
            change: self.change.as_ref().map(Change::without_map),
            has_map: self.change.as_ref().is_some_and(|change| !change.map.0.is_empty()),
            demand: with_load.then(|| Load::new(&self.aggregated_load(now))),
        })
    }

    /// Address of the lowest-ranked live agent, unless it is this one.
    pub fn coordinator(&self, now: unit::Millis) -> Option<SocketAddr> {
        let (own, _) = self.report.as_ref()?;
        let lower = self
            .peers
            .iter()
            .filter(|(rank, peer)| **rank < own.rank && now < peer.heard_at + STATUS_TTL);
        lower.min_by_key(|(rank, _)| **rank).map(|(_, peer)| peer.status.address)
    }

    /// Whether this is the lowest-ranked live agent.
    pub fn is_coordinator(&self, now: unit::Millis) -> bool {
        self.report.is_some() && self.coordinator(now).is_none()
    }

    /// Next order for this rank, if one is due.
    pub fn next_order(&mut self, now: unit::Millis) -> Option<Order> {
        if let Some(own) = self.fresh_report(now)
            && self.change.is_none()
            && self.is_coordinator(now)
        {
            self.plan_change(&own, now);
        }
        let due_order = self.due_order(now);
        let hold_known = self.change.as_ref().is_some_and(|change| change.step.is_some());
        self.hold_known_at = hold_known.then(|| self.hold_known_at.unwrap_or(now));
        let (epoch, due_order) = due_order?;
        if let Command::Go(step) = due_order {
            self.record_release(step, now);
        }
        self.last_order = Some((epoch, due_order, now));
        self.build_order(epoch, due_order)
    }

    /// Whether an order is due, not counting those of a change yet to be planned.
    pub fn has_due_order(&mut self, now: unit::Millis) -> bool {
        self.due_order(now).is_some()
    }

    fn fresh_report(&self, now: unit::Millis) -> Option<Rc<Report>> {
        let (own, at) = self.report.as_ref()?;
        (own.open && now <= *at + REPORT_TTL).then(|| own.clone())
    }

    /// The order that is due, with the epoch it applies to.
    fn due_order(&mut self, now: unit::Millis) -> Option<(u64, Command)> {
        let own = self.fresh_report(now)?;
        self.recover_armed_pass(&own);
        if let Some(step) = own.held {
            self.observe_hold(step, now);
            self.recover_hold(&own, step, now);
        }
        if self.is_coordinator(now) {
            self.advance_change(&own, now);
        }
        let due_order = self.select_order(&own, now)?;
        let retry = match due_order {
            Command::Prepare(_) => PREPARE_RETRY_INTERVAL,
            _ => ORDER_RETRY_INTERVAL,
        };
        let is_repeat = |(epoch, last, at): (u64, Command, unit::Millis)| {
            (epoch, last) == (own.epoch, due_order) && now < at + retry
        };
        (!self.last_order.is_some_and(is_repeat)).then_some((own.epoch, due_order))
    }

    fn record_release(&mut self, step: u64, now: unit::Millis) {
        if now > self.hold_confirmed_at + ARM_TIMEOUT {
            self.lossy_until = now + LOSSY_PERIOD;
        }
        if self.change.as_ref().is_none_or(|change| change.step != Some(step)) {
            self.released = Some(step);
        }
    }

    fn build_order(&self, epoch: u64, due_order: Command) -> Option<Order> {
        let order = match due_order {
            Command::Prepare(version) => {
                Order::Prepare { epoch, version, map: self.change.as_ref()?.map.clone() }
            }
            Command::Arm(armed) => Order::Arm { epoch, armed },
            Command::Disarm(version) => Order::Disarm { epoch, version },
            Command::Hold(step) => Order::Hold { epoch, step },
            Command::Go(step) => Order::Go { epoch, step },
        };
        Some(order)
    }

    fn select_order(&self, own: &Report, now: unit::Millis) -> Option<Command> {
        if let Some(step) = own.held
            && self.can_release(own, step, now)
        {
            return Some(Command::Go(step));
        }
        let change = self.change.as_ref().filter(|change| change.epoch == own.epoch);
        if let Some(change) = change {
            let version = change.version;
            if let Some(armed) = own.armed.filter(|armed| armed.version < version) {
                return Some(Command::Disarm(armed.version));
            }
            if own.prepared != Some(version) {
                let blocked = own.armed.is_some() || own.busy || change.map.0.is_empty();
                return (!blocked).then_some(Command::Prepare(version));
            }
            if let Some(step) = change.step {
                let armed = Armed { version, step };
                return (own.armed != Some(armed)).then_some(Command::Arm(armed));
            }
        }
        let step = self.hold_step?;
        (own.held.is_none()).then_some(Command::Hold(step))
    }
}
