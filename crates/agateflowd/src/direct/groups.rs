//! State of the lock-step groups behind services, and the upstreams that may get requests by it.

use agateflow::direct::directory::{Directory, Upstream};
use agateflow::direct::group::{self, Group};
use agateflow::direct::limiter::Limiter;
use agateflow::direct::load::Candidate;
use agateflow::event::Event;
use agateflow::{id, unit};
use indexmap::IndexMap;

use super::Entry;
use crate::event;

/// Utilization of a service, for logs.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    /// Requests queued at this entry.
    pub queued: usize,
    /// Mean request limit of the upstreams.
    pub mean_limit: f64,
    /// Mean number of requests at an upstream, from all entries.
    pub mean_requests: f64,
    /// Highest request cost of its groups, against evenly loaded experts.
    pub max_cost_factor: Option<f64>,
    /// Number of upstreams whose group accepts requests.
    pub open_upstreams: usize,
}

/// Request counts at the upstreams of a group or service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// At the fullest upstream.
    pub highest: u32,
    /// Mean over the upstreams.
    pub mean: f64,
}

impl Entry {
    /// Calls `f` with a group, created if new.
    pub fn with_group<T>(&self, id: &group::Id, f: impl FnOnce(&mut Group) -> T) -> T {
        let mut groups = self.groups.borrow_mut();
        if !groups.contains_key(id) {
            groups.insert(id.clone(), Group::default());
        }
        let group = &mut groups[id];
        if group.limiter.is_none()
            && let Some(table) = self.table()
        {
            let engine = table.service(&id.service).and_then(|service| service.engine);
            let cost = self.peer_costs.borrow().get(id).copied();
            group.configure(engine, table.max_pause(&id.service), cost, self.now());
        }
        f(group)
    }

    /// Ready upstreams of `service` with the request limits that their groups set.
    pub fn candidates<'a>(
        &self,
        directory: &'a Directory,
        service: &'a id::Service,
    ) -> Vec<Candidate<'a>> {
        let now = self.now();
        let mut by_group: IndexMap<&str, (Option<f64>, bool)> = IndexMap::new();
        let mut rates = self.rates.borrow_mut();
        let load = self.load.borrow();
        let candidate = |upstream: &'a Upstream| {
            let inspect = |group: &mut Group| {
                let limit = group.limiter.as_ref().map(Limiter::limit);
                (limit, !group.is_closed(now))
            };
            let (limit, open) = *by_group
                .entry(group::name(upstream))
                .or_insert_with(|| self.with_group(&group::Id::of(upstream), inspect));
            let limit = limit.unwrap_or(f64::from(upstream.slots));
            let within_rate = rates.allows(&upstream.vm, upstream.started_at, now);
            let rests_until = load.rests_until(upstream, now);
            Candidate { upstream, limit, open: open && upstream.open, within_rate, rests_until }
        };
        directory.ready(service).map(candidate).collect()
    }

    /// Takes room for a request from this entry's share of the group of `vm`, which other entries
    /// fill too, if there is any.
    pub fn take_share(&self, vm: &id::Vm) -> bool {
        let directory = self.directory.borrow();
        let Some(upstream) = directory.get(vm) else { return false };
        let id = group::Id::of(upstream);
        if self.with_group(&id, |group| group.limiter.is_none()) {
            return true;
        }
        let candidates = self.candidates(&directory, &id.service);
        let members = candidates.into_iter().filter(|candidate| id.contains(candidate.upstream));
        let room = self.load.borrow().free_capacity(members);
        let (now, entries) = (self.now(), self.entry_count());
        self.with_group(&id, |group| group.share.try_take(room, entries, now))
    }

    /// Request counts at the ready upstreams of `service` for which `is_member` holds.
    pub fn request_counts(
        &self,
        service: &id::Service,
        is_member: impl Fn(&Upstream) -> bool,
    ) -> Counts {
        let directory = self.directory.borrow();
        let load = self.load.borrow();
        let members = directory.ready(service).filter(|upstream| is_member(upstream));
        let counts = members.map(|upstream| load.active(&upstream.vm));
        let (highest, sum, number) = counts
            .fold((0, 0, 0), |(highest, sum, n), count| (count.max(highest), sum + count, n + 1));
        Counts { highest, mean: f64::from(sum) / f64::from(number.max(1)) }
    }

    /// Utilization of `name`.
    pub fn occupancy(&self, name: &id::Service) -> Occupancy {
        let directory = self.directory.borrow();
        let candidates = self.candidates(&directory, name);
        let limits: f64 = candidates.iter().map(|candidate| candidate.limit).sum();
        let groups = self.groups.borrow();
        let paces = groups.iter().filter(|(id, _)| id.service == *name);
        let factors =
            paces.filter_map(|(_, group)| group.limiter.as_ref().map(Limiter::cost_factor));
        Occupancy {
            queued: self.services.borrow().get(name).map_or(0, |service| service.queue.len()),
            mean_limit: limits / candidates.len().max(1) as f64,

            mean_requests: self.request_counts(name, |_| true).mean,
            max_cost_factor: factors.reduce(f64::max),
            open_upstreams: candidates.iter().filter(|candidate| candidate.open).count(),
        }
    }

    /// Highest recent request cost factor of each group.
    pub fn high_cost_factors(&self) -> IndexMap<group::Id, f64> {
        let groups = self.groups.borrow();
        let paces = groups.iter().filter_map(|(id, group)| {
            group.limiter.as_ref().map(|pace| (id.clone(), pace.peak_cost_factor()))
        });
        paces.collect()
    }

    /// Records a pause between two events of a stream of `upstream`.
    pub fn record_pause(&self, upstream: &Upstream, pause: unit::Micros) {
        let id = group::Id::of(upstream);
        let mean = self.request_counts(&id.service, |other| id.contains(other)).mean;
        let now = self.now();
        self.with_group(&id, |group| {
            if let Some(pace) = group.limiter.as_mut() {
                pace.record_pause(pause, mean, now);
            }
        });
    }

    /// Records that part of a response of `upstream` arrived.
    pub fn record_activity(&self, upstream: &Upstream) {
        let now = self.now();
        self.with_group(&group::Id::of(upstream), |group| group.record_activity(now));
    }

    /// Records that `upstream` refused a request although its request count was within its limit.
    pub fn record_unexpected_refusal(&self, upstream: &Upstream) {
        let now = self.now();
        self.with_group(&group::Id::of(upstream), |group| group.outage.back_off(now));
    }

    /// Records that `upstream` is unreachable.
    pub fn record_unreachable(&self, upstream: &Upstream) {
        let now = self.now();
        self.with_group(&group::Id::of(upstream), |group| {
            group.outage.record_unreachable(&upstream.vm, now);
        });
    }

    /// Records that another upstream has the address of `upstream`, whose group has restarted then.
    pub fn record_replacement(&self, upstream: &Upstream) {
        let id = group::Id::of(upstream);
        let now = self.now();
        self.with_group(&id, |group| group.outage.back_off(now));
    }

    /// Ends the outage of the group of `upstream` if the registry lists it as open again.
    pub fn end_outage_if_reopened(&self, before: Option<&Upstream>, upstream: &Upstream) {
        let is_new =
            before.is_none_or(|before| !before.open || before.started_at != upstream.started_at);
        if is_new
            && upstream.open
            && let Some(group) = self.groups.borrow_mut().get_mut(&group::Id::of(upstream))
        {
            group.outage.reset();
        }
    }

    /// Whether the group of `upstream` is stalled or closed.
    pub fn is_group_closed(&self, upstream: &Upstream) -> bool {
        let now = self.now();
        self.with_group(&group::Id::of(upstream), |group| group.is_closed(now))
    }

    /// Checks whether all groups still make progress.
    pub fn check_groups(&self) {
        let now = self.now();
        for (id, group) in &mut *self.groups.borrow_mut() {
            if group.check_stall(now) {
                event!(self.logger, Event::GroupStalled; "group" => %id,
                    "requests" => group.stall.requests(), "silent" => %group.stall.silence(now));
            }
        }
    }
}
