//! Permits at upstreams: granted, waited for, or refused.

use std::rc::Rc;

use agateflow::direct::limiter::Limiter;
use agateflow::direct::load::{Choice, Context};
use agateflow::direct::queue::Item;
use agateflow::direct::{directory, group};
use agateflow::{id, unit};

use super::Entry;

/// `retry-after` while no upstream is available.
pub(super) const NO_UPSTREAM_RETRY_AFTER: unit::Millis = unit::Millis::new(1_000);

/// Request for a permit.
#[derive(Clone, Debug)]
pub struct Request {
    /// Service to send to.
    pub service: id::Service,
    /// Priority and time limits.
    pub item: Item,
    /// Upstreams already tried.
    pub tried: Vec<id::Vm>,
    /// Whether the caller has retried and cannot do so again in time.
    pub is_last_chance: bool,
}

/// Why no permit is granted, with `retry-after`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No upstream is left that was not tried.
    NoUpstream(unit::Millis),
    /// All groups of ranks are closed.
    Closed(unit::Millis),
    /// All upstreams asked for rest.
    Resting(unit::Millis),
    /// The wait would be too long.
    Busy(unit::Millis),
    /// The request crashes upstreams.
    Quarantined(unit::Millis),
    /// The caller's connection has to go.
    Evicted,
}

/// Permission to send a request, given back on drop.
pub struct Permit {
    entry: Rc<Entry>,
    group: group::Id,
    /// The upstream as listed when the permit was granted.
    pub upstream: directory::Upstream,
    /// Requests there when the permit was granted, from all entries.
    pub active: u32,
    /// Requests at the fullest upstream of its group.
    pub max_active: u32,
    /// Request limit of the upstream.
    pub limit: f64,
    /// Request cost of its group, against evenly loaded experts.
    pub cost_factor: Option<f64>,
    /// When it was granted.
    pub granted_at: unit::Millis,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.entry.load.borrow_mut().end(&self.upstream.vm);
        self.entry.with_group(&self.group, |group| group.stall.request_ended());
        self.entry.dispatch(&self.group.service);
    }
}

impl Entry {
    /// Acquires a permit.
    ///
    /// # Errors
    ///
    /// [`Refusal`] once no permit is possible in time.
    pub async fn acquire_permit(self: &Rc<Self>, request: &Request) -> Result<Permit, Refusal> {
        let has_waiters =
            self.services.borrow().get(&request.service).is_some_and(|s| !s.queue.is_empty());
        let choice = self.choose_upstream(&request.service, &request.tried);
        match choice {
            Choice::None => return Err(Refusal::NoUpstream(NO_UPSTREAM_RETRY_AFTER)),
            Choice::Closed if !self.awaits_opening(request) => {
                return Err(self.closed_refusal(&request.service));
            }
            Choice::Send(vm) if !has_waiters && self.take_share(&vm) => {
                if let Some(permit) = self.issue_permit(&vm) {
                    return Ok(permit);
                }
            }
            Choice::Resting(until) if request.item.latest_start < until => {
                return Err(self.resting_refusal(until));
            }
            Choice::Send(_) | Choice::Full | Choice::Closed | Choice::Resting(_) => {}
        }
        self.wait_in_queue(request).await
    }

    /// The refusal while all groups of `service` are closed.
    pub(super) fn closed_refusal(&self, service: &id::Service) -> Refusal {
        let now = self.now();
        let mut groups = self.groups.borrow_mut();
        let closed_groups = groups.iter_mut().filter(|(id, _)| id.service == *service);
        let retry_delay = closed_groups.map(|(_, group)| {
            group.outage.mark_closed(now);
            group.outage.retry_after(group.reopen_time, now)
        });
        Refusal::Closed(retry_delay.min().unwrap_or(NO_UPSTREAM_RETRY_AFTER))
    }

    /// The refusal while all upstreams rest, the first of them until `until`.
    pub(super) fn resting_refusal(&self, until: unit::Millis) -> Refusal {
        Refusal::Resting(until.saturating_sub(self.now()))
    }

    /// `retry-after` for a request that upstreams refused.
    pub fn retry_delay(&self, service: &id::Service) -> unit::Millis {
        let refusal = match self.choose_upstream(service, &[]) {
            Choice::Closed => Some(self.closed_refusal(service)),
            Choice::Resting(until) => Some(self.resting_refusal(until)),
            Choice::Send(_) | Choice::Full | Choice::None => None,
        };
        if let Some(Refusal::Closed(retry_delay) | Refusal::Resting(retry_delay)) = refusal {
            return retry_delay;
        }
        let services = self.services.borrow();
        services
            .get(service)
            .map_or(NO_UPSTREAM_RETRY_AFTER, |service| service.queue.retry_after(0))
    }

    /// Chooses an upstream of `service` that is not in `tried`.
    pub fn choose_upstream(&self, service: &id::Service, tried: &[id::Vm]) -> Choice {
        let now = self.now();
        let directory = self.directory.borrow();
        let candidates = self.candidates(&directory, service);
        let ask = Context {
            tried,
            local_data_centre: &self.options.data_centre,
            entries: self.entry_count(),
        };
        let mut rng = self.rng.borrow_mut();
        self.load.borrow().choose(candidates.into_iter(), &ask, &mut *rng, now)
    }

    pub(super) fn issue_permit(self: &Rc<Self>, vm: &id::Vm) -> Option<Permit> {
        let upstream = self.directory.borrow().get(vm)?.clone();
        let now = self.now();
        let group = group::Id::of(&upstream);
        let max_active = self.request_counts(&group.service, |other| group.contains(other)).highest;
        let (limit, cost_factor) = self.with_group(&group, |group| {
            group.stall.request_started(now);
            (group.limit(&upstream), group.limiter.as_ref().map(Limiter::cost_factor))
        });
        self.rates.borrow_mut().record_send(vm, upstream.started_at);
        let mut load = self.load.borrow_mut();
        load.start(vm);
        let active = load.active(vm);
        Some(Permit {
            entry: self.clone(),
            group,
            upstream,
            active,
            max_active,
            limit,
            cost_factor,
            granted_at: now,
        })
    }

    /// Takes a retry from the service's budget.
    pub fn take_retry(&self, service: &id::Service) -> bool {
        let now = self.now();
        let entries = self.entry_count();
        let mut services = self.services.borrow_mut();
        services.get_mut(service).is_some_and(|service| service.budget.try_take(entries, now))
    }

    /// Whether a request of `service` that waits for a response of `upstream`, whose group is
    /// stalled, may move to another group.
    pub fn can_move(&self, service: &id::Service, upstream: &directory::Upstream) -> bool {
        let (now, entries) = (self.now(), self.entry_count());
        self.is_group_closed(upstream)
            && matches!(
                self.choose_upstream(service, std::slice::from_ref(&upstream.vm)),
                Choice::Send(_)
            )
            && self.with_service(service, |service| service.budget.can_retry(entries, now))
    }
}
