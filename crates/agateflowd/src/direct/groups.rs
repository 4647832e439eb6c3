//! What an entry knows of the groups of ranks behind its services, and the upstreams that a request
//! may go to by it.

use agateflow::direct::directory::{Directory, Upstream};
use agateflow::direct::group::{self, Group};
use agateflow::direct::limiter::Limiter;
use agateflow::direct::load::Candidate;
use agateflow::event::Event;
use agateflow::{id, unit};
use indexmap::IndexMap;

use super::Entry;
use crate::event;

/// How full a service is, for logs.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    /// Requests that wait at this entry.
    pub waiting: usize,
    /// Requests that an upstream may have, in the mean.
    pub limit: f64,
    /// Requests of its upstreams in the mean, of all entries.
    pub mean: f64,
    /// How much slower its slowest group passes than with even experts, if it has one.
    pub factor: Option<f64>,
    /// Upstreams whose group takes requests.
    pub open: usize,
}

/// Requests at the upstreams of a group, or of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    /// Of the fullest one.
    pub most: u32,
    /// In the mean.
    pub mean: f64,
}

impl Entry {
    /// Runs `f` on what is known of a group.
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
            let cost = self.costs.borrow().get(id).copied();
            group.configure(engine, table.max_pause(&id.service), cost, self.now());
        }
        f(group)
    }

    /// Upstreams of `service` that take requests, with what their groups let them have.
    pub fn candidates<'a>(
        &self,
        directory: &'a Directory,
        service: &'a id::Service,
    ) -> Vec<Candidate<'a>> {
        let now = self.now();
        let mut known: IndexMap<&str, (Option<f64>, bool)> = IndexMap::new();
        let candidate = |upstream: &'a Upstream| {
            let look = |group: &mut Group| {
                let limit = group.limiter.as_ref().map(Limiter::limit);
                (limit, !group.is_closed(now))
            };
            let (limit, open) = *known
                .entry(group::name(upstream))
                .or_insert_with(|| self.with_group(&group::Id::of(upstream), look));
            let limit = limit.unwrap_or(f64::from(upstream.slots));
            Candidate { upstream, limit, open: open && upstream.open }
        };
        directory.ready(service).map(candidate).collect()
    }

    /// Whether this entry may add a request to those of the group of `vm`, which other entries add
    /// to at the same time.
    pub fn may_add(&self, vm: &id::Vm) -> bool {
        let directory = self.directory.borrow();
        let Some(upstream) = directory.get(vm) else { return false };
        let id = group::Id::of(upstream);
        if self.with_group(&id, |group| group.limiter.is_none()) {
            return true;
        }
        let candidates = self.candidates(&directory, &id.service);
        let members = candidates.into_iter().filter(|candidate| id.contains(candidate.upstream));
        let room = self.load.borrow().free_capacity(members);
        let (now, entries) = (self.now(), self.entries());
        self.with_group(&id, |group| group.share.try_take(room, entries, now))
    }

    /// Requests at those ready upstreams of `service` that `is_member` holds for.
    pub fn spread(&self, service: &id::Service, is_member: impl Fn(&Upstream) -> bool) -> Spread {
        let directory = self.directory.borrow();
        let load = self.load.borrow();
        let members = directory.ready(service).filter(|upstream| is_member(upstream));
        let counts = members.map(|upstream| load.active(&upstream.vm));
        let (most, sum, number) =
            counts.fold((0, 0, 0), |(most, sum, n), count| (count.max(most), sum + count, n + 1));
        Spread { most, mean: f64::from(sum) / f64::from(number.max(1)) }
    }

    /// How full `name` is.
    pub fn occupancy(&self, name: &id::Service) -> Occupancy {
        let directory = self.directory.borrow();
        let candidates = self.candidates(&directory, name);
        let limits: f64 = candidates.iter().map(|candidate| candidate.limit).sum();
        let groups = self.groups.borrow();
        let paces = groups.iter().filter(|(id, _)| id.service == *name);
        let factors =
            paces.filter_map(|(_, group)| group.limiter.as_ref().map(Limiter::cost_factor));
        Occupancy {
            waiting: self.services.borrow().get(name).map_or(0, |service| service.queue.len()),
            limit: limits / candidates.len().max(1) as f64,
            mean: self.spread(name, |_| true).mean,
            factor: factors.reduce(f64::max),
            open: candidates.iter().filter(|candidate| candidate.open).count(),
        }
    }

    /// Highest costs of late of requests at groups of ranks.
    pub fn high_factors(&self) -> IndexMap<group::Id, f64> {
        let groups = self.groups.borrow();
        let paces = groups.iter().filter_map(|(id, group)| {
            group.limiter.as_ref().map(|pace| (id.clone(), pace.peak_cost_factor()))
        });
        paces.collect()
    }

    /// Takes in a pause between two events of a stream of `upstream`.
    pub fn paused(&self, upstream: &Upstream, pause: unit::Micros) {
        let id = group::Id::of(upstream);
        let mean = self.spread(&id.service, |other| id.contains(other)).mean;
        let now = self.now();
        self.with_group(&id, |group| {
            if let Some(pace) = group.limiter.as_mut() {
                pace.record_pause(pause, mean, now);
            }
        });
    }

    /// Something of an answer of `upstream` arrived.
    pub fn beat(&self, upstream: &Upstream) {
        let now = self.now();
        self.with_group(&group::Id::of(upstream), |group| group.record_activity(now));
    }

    /// `upstream` refused a request, though by the count of its requests it had room.
    pub fn refused_with_room(&self, upstream: &Upstream) {
        let now = self.now();
        self.with_group(&group::Id::of(upstream), |group| group.outage.back_off(now));
    }

    /// `upstream` could not be reached.
    pub fn missed(&self, upstream: &Upstream) {
        let now = self.now();
        self.with_group(&group::Id::of(upstream), |group| {
            group.outage.record_unreachable(&upstream.vm, now);
        });
    }

    /// Another upstream has the address of `upstream`, whose group has started anew then.
    pub fn replaced(&self, upstream: &Upstream) {
        let id = group::Id::of(upstream);
        let now = self.now();
        self.with_group(&id, |group| group.outage.back_off(now));
    }

    /// The registry lists `upstream`. A group that is listed as open anew takes requests.
    pub fn relisted(&self, before: Option<&Upstream>, upstream: &Upstream) {
        let is_new =
            before.is_none_or(|before| !before.open || before.started_at != upstream.started_at);
        if is_new
            && upstream.open
            && let Some(group) = self.groups.borrow_mut().get_mut(&group::Id::of(upstream))
        {
            group.outage.reset();
        }
    }

    /// Whether the group of `upstream` stands or is closed.
    pub fn stands(&self, upstream: &Upstream) -> bool {
        let now = self.now();
        self.with_group(&group::Id::of(upstream), |group| group.is_closed(now))
    }

    /// Looks whether all groups still pass.
    pub fn look_at_groups(&self) {
        let now = self.now();
        for (id, group) in &mut *self.groups.borrow_mut() {
            if group.check_stall(now) {
                event!(self.logger, Event::GroupStalled; "group" => %id,
                    "requests" => group.stall.requests(), "silent" => %group.stall.silence(now));
            }
        }
    }
}
