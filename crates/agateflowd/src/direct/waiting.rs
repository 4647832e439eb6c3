//! Queues of requests that wait for a permit, and the state of services that they belong to.

use std::rc::Rc;

use agateflow::direct::budget::Budget;
use agateflow::direct::load::Choice;
use agateflow::direct::queue::{Queue, Ticket};
use agateflow::{id, unit};
use indexmap::IndexMap;
use tokio::sync::oneshot;

use super::Entry;
use super::permit::{NO_UPSTREAM_RETRY_AFTER, Permit, Refusal, Request};

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

    /// Waits in the queue for a permit.
    ///
    /// # Errors
    ///
    /// [`Refusal`] once no permit is possible in time.
    pub(super) async fn wait_in_queue(
        self: &Rc<Self>,
        request: &Request,
    ) -> Result<Permit, Refusal> {
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
    pub(super) fn awaits_opening(&self, request: &Request) -> bool {
        request.is_last_chance && self.now() < request.item.latest_start_if_closed
    }

    /// This entry's share of the requests that can start at once when the groups of `service` open.
    fn opening_capacity(&self, service: &id::Service) -> usize {
        let directory = self.directory.borrow();
        let limits: f64 = self.candidates(&directory, service).iter().map(|c| c.limit).sum();
        (limits / self.entry_count().max(1) as f64).ceil() as usize
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
}
