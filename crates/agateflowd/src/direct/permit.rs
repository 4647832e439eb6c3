//! Permits at upstreams: granted, waited for, or refused.

use std::rc::Rc;

use agateflow::direct::budget::Budget;
use agateflow::direct::limiter::Limiter;
use agateflow::direct::load::{Choice, Context};
use agateflow::direct::queue::{Item, Queue, Ticket};
use agateflow::direct::{directory, group};
use agateflow::{id, unit};
use indexmap::IndexMap;
use tokio::sync::oneshot;

use super::Entry;

/// `retry-after` while no upstream is available.
const NO_UPSTREAM_RETRY_AFTER: unit::Millis = unit::Millis::new(1_000);

struct Waiter {
    grant: oneshot::Sender<Permit>,
    tried: Box<[id::Vm]>,
}

/// Queue and retry budget of one service.
pub struct Service {
    /// Retry budget.
    pub budget: Budget,
    /// Requests waiting for a permit.
    pub queue: Queue,
    waiters: IndexMap<Ticket, Waiter>,
}

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

/// Removes a waiting request from the queue when its caller disconnects.
struct Guard {
    entry: Rc<Entry>,
    service: id::Service,
    ticket: Ticket,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.entry.remove_waiter(&self.service, self.ticket);
    }
}

impl Entry {
    /// Calls `f` with the state of a service, which is created if new.
    pub fn with_service<T>(&self, name: &id::Service, f: impl FnOnce(&mut Service) -> T) -> T {
        let mut services = self.services.borrow_mut();
        let service = services.entry(name.clone()).or_insert_with(|| Service {
            budget: Budget::new(self.options.retry_limits),
            queue: Queue::new(),
            waiters: IndexMap::new(),
        });
        f(service)
    }

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
    fn closed_refusal(&self, service: &id::Service) -> Refusal {
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
    fn resting_refusal(&self, until: unit::Millis) -> Refusal {
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

    async fn wait_in_queue(self: &Rc<Self>, request: &Request) -> Result<Permit, Refusal> {
        let now = self.now();
        let (grant, granted) = oneshot::channel();
        let is_closed = self.choose_upstream(&request.service, &request.tried) == Choice::Closed;
        let capacity = self.opening_capacity(&request.service);
        let ticket = {
            let mut services = self.services.borrow_mut();
            let Some(service) = services.get_mut(&request.service) else {
                return Err(Refusal::NoUpstream(NO_UPSTREAM_RETRY_AFTER));
            };
            let pushed = match is_closed {
                true => service.queue.push_while_closed(request.item, capacity),
                false => service.queue.push(request.item, now),
            };
            let Some(ticket) = pushed else {
                drop(services);
                return Err(self.queue_refusal(request));
            };
            let tried = request.tried.clone().into();
            service.waiters.insert(ticket, Waiter { grant, tried });
            ticket
        };
        let _queue_guard = Guard { entry: self.clone(), service: request.service.clone(), ticket };
        self.dispatch(&request.service);
        granted.await.map_err(|_| self.queue_refusal(request))
    }

    /// Refusal of a request whose wait was or would be too long.
    fn queue_refusal(&self, request: &Request) -> Refusal {
        match self.choose_upstream(&request.service, &request.tried) {
            Choice::Closed => return self.closed_refusal(&request.service),
            Choice::Resting(until) => return self.resting_refusal(until),
            Choice::Send(_) | Choice::Full | Choice::None => {}
        }
        let services = self.services.borrow();
        let queue = services.get(&request.service).map(|service| &service.queue);
        let retry_delay =
            queue.map_or(NO_UPSTREAM_RETRY_AFTER, |q| q.retry_after(request.item.priority));
        Refusal::Busy(retry_delay)
    }

    /// Whether a request waits for a closed group to open. A caller that can still retry is told at
    /// once when to do so.
    fn awaits_opening(&self, request: &Request) -> bool {
        request.is_last_chance && self.now() < request.item.latest_start_if_closed
    }

    /// This entry's share of the requests that can start at once when the groups of `service` open.
    fn opening_capacity(&self, service: &id::Service) -> usize {
        let directory = self.directory.borrow();
        let limits: f64 = self.candidates(&directory, service).iter().map(|c| c.limit).sum();
        (limits / self.entry_count().max(1) as f64).ceil() as usize
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

    fn issue_permit(self: &Rc<Self>, vm: &id::Vm) -> Option<Permit> {
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

    /// Grants free permits of `service` to waiting requests and expires those that waited too long.
    pub fn dispatch(self: &Rc<Self>, service: &id::Service) {
        let now = self.now();
        self.expire_waiters(service, now);
        while let Some((ticket, tried)) = self.next_waiter(service, now) {
            let permit = match self.choose_upstream(service, &tried) {
                Choice::Send(vm) if self.take_share(&vm) => self.issue_permit(&vm),
                Choice::Send(_) | Choice::Full => None,
                Choice::Closed => {
                    self.with_service(service, |service| service.queue.extend_for_opening());
                    return;
                }
                Choice::Resting(until) => {
                    self.expire_waiters(service, until);
                    return;
                }
                Choice::None => {
                    self.remove_waiter(service, ticket);
                    continue;
                }
            };
            let Some(permit) = permit else { return };
            let grant = self.take_grant(service, ticket, now);
            // If the caller disconnected meanwhile, dropping the permit serves the next one.
            if let Some(grant) = grant
                && let Err(unused) = grant.send(permit)
            {
                drop(unused);
                return;
            }
        }
    }

    fn next_waiter(
        &self,
        service: &id::Service,
        now: unit::Millis,
    ) -> Option<(Ticket, Box<[id::Vm]>)> {
        let services = self.services.borrow();
        let service = services.get(service)?;
        let ticket = service.queue.peek(now)?;
        let tried = service.waiters.get(&ticket).map(|waiter| waiter.tried.clone());
        Some((ticket, tried.unwrap_or_default()))
    }

    fn take_grant(
        &self,
        service: &id::Service,
        ticket: Ticket,
        now: unit::Millis,
    ) -> Option<oneshot::Sender<Permit>> {
        let mut services = self.services.borrow_mut();
        let service = services.get_mut(service)?;
        service.queue.serve(ticket, now);
        service.waiters.shift_remove(&ticket).map(|waiter| waiter.grant)
    }

    fn remove_waiter(&self, service: &id::Service, ticket: Ticket) {
        if let Some(service) = self.services.borrow_mut().get_mut(service) {
            service.queue.remove(ticket);
            service.waiters.shift_remove(&ticket);
        }
    }

    fn expire_waiters(&self, service: &id::Service, now: unit::Millis) {
        if let Some(service) = self.services.borrow_mut().get_mut(service) {
            for ticket in service.queue.expire(now) {
                service.waiters.shift_remove(&ticket);
            }
        }
    }

    /// Grants free permits of all services.
    pub fn dispatch_all(self: &Rc<Self>) {
        let names: Vec<id::Service> = {
            let services = self.services.borrow();
            let waiting = services.iter().filter(|(_, service)| !service.queue.is_empty());
            waiting.map(|(name, _)| name.clone()).collect()
        };
        for name in names {
            self.dispatch(&name);
        }
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
