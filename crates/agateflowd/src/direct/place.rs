//! Places at upstreams: taken at once, waited for, or refused.

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

/// Time after which a caller is asked to come back where no upstream is there.
const NO_UPSTREAM_RETRY: unit::Millis = unit::Millis::new(1_000);

struct Waiter {
    grant: oneshot::Sender<Place>,
    tried: Box<[id::Vm]>,
}

/// Queue and retry budget of one service.
pub struct Service {
    /// Its retry budget.
    pub budget: Budget,
    /// Requests that wait.
    pub queue: Queue,
    waiters: IndexMap<Ticket, Waiter>,
}

/// What a place is asked for.
#[derive(Clone, Debug)]
pub struct Wish {
    /// The service.
    pub service: id::Service,
    /// Rank and times.
    pub item: Item,
    /// Upstreams that the request was sent to already.
    pub tried: Vec<id::Vm>,
    /// Whether its caller came back, and cannot do so once more.
    pub is_last_chance: bool,
}

/// Why there is no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No upstream is there that was not tried.
    NoUpstream(unit::Millis),
    /// The group of ranks is closed.
    Closed(unit::Millis),
    /// The wait would be too long.
    Busy(unit::Millis),
}

/// A place at an upstream, given back when dropped.
pub struct Place {
    entry: Rc<Entry>,
    group: group::Id,
    /// The upstream as listed when the place was given.
    pub upstream: directory::Upstream,
    /// Requests there when the place was given, of all entries.
    pub active: u32,
    /// Requests at the fullest upstream of the service.
    pub fullest: u32,
    /// Requests that the upstream might have.
    pub limit: f64,
    /// How much slower its group passes than with even experts, if it is one.
    pub factor: Option<f64>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.entry.load.borrow_mut().end(&self.upstream.vm);
        self.entry.with_group(&self.group, |group| group.stall.request_ended());
        self.entry.pump(&self.group.service);
    }
}

/// Takes a waiting request out of the queue when its caller leaves.
struct Waiting {
    entry: Rc<Entry>,
    service: id::Service,
    ticket: Ticket,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.entry.leave(&self.service, self.ticket);
    }
}

impl Entry {
    /// Runs `f` on the state of a service, which is created where it is new.
    pub fn with_service<T>(&self, name: &id::Service, f: impl FnOnce(&mut Service) -> T) -> T {
        let mut services = self.services.borrow_mut();
        let service = services.entry(name.clone()).or_insert_with(|| Service {
            budget: Budget::new(self.options.retries),
            queue: Queue::new(),
            waiters: IndexMap::new(),
        });
        f(service)
    }

    /// Waits for a place.
    ///
    /// # Errors
    ///
    /// [`Refusal`] once it is known that there will be none in time.
    pub async fn place(self: &Rc<Self>, wish: &Wish) -> Result<Place, Refusal> {
        let waits = self.services.borrow().get(&wish.service).is_some_and(|s| !s.queue.is_empty());
        let choice = self.choose(&wish.service, &wish.tried);
        match choice {
            Choice::None => return Err(Refusal::NoUpstream(NO_UPSTREAM_RETRY)),
            Choice::Closed if !self.awaits_opening(wish) => return Err(self.closed(&wish.service)),
            Choice::Send(vm) if !waits && self.may_add(&vm) => {
                if let Some(place) = self.occupy(&vm) {
                    return Ok(place);
                }
            }
            Choice::Send(_) | Choice::Full | Choice::Closed => {}
        }
        self.wait(wish).await
    }

    /// The refusal while all groups of `service` are closed.
    fn closed(&self, service: &id::Service) -> Refusal {
        let now = self.now();
        let mut groups = self.groups.borrow_mut();
        let closed = groups.iter_mut().filter(|(id, _)| id.service == *service);
        let again = closed.map(|(_, group)| {
            group.outage.mark_closed(now);
            group.outage.retry_after(group.reopen_time, now)
        });
        Refusal::Closed(again.min().unwrap_or(NO_UPSTREAM_RETRY))
    }

    /// Time after which a caller is asked to come back whose request upstreams refused.
    pub fn again(&self, service: &id::Service) -> unit::Millis {
        if self.choose(service, &[]) == Choice::Closed
            && let Refusal::Closed(again) = self.closed(service)
        {
            return again;
        }
        let services = self.services.borrow();
        services.get(service).map_or(NO_UPSTREAM_RETRY, |service| service.queue.retry_after(0))
    }

    async fn wait(self: &Rc<Self>, wish: &Wish) -> Result<Place, Refusal> {
        let now = self.now();
        let (grant, granted) = oneshot::channel();
        let is_closed = self.choose(&wish.service, &wish.tried) == Choice::Closed;
        let places = self.places(&wish.service);
        let ticket = {
            let mut services = self.services.borrow_mut();
            let Some(service) = services.get_mut(&wish.service) else {
                return Err(Refusal::NoUpstream(NO_UPSTREAM_RETRY));
            };
            let pushed = match is_closed {
                true => service.queue.push_while_closed(wish.item, places),
                false => service.queue.push(wish.item, now),
            };
            let Some(ticket) = pushed else {
                drop(services);
                return Err(self.refusal(wish));
            };
            let tried = wish.tried.clone().into();
            service.waiters.insert(ticket, Waiter { grant, tried });
            ticket
        };
        let _waiting = Waiting { entry: self.clone(), service: wish.service.clone(), ticket };
        self.pump(&wish.service);
        granted.await.map_err(|_| self.refusal(wish))
    }

    /// Why a request that waited, or would wait for too long, gets no place.
    fn refusal(&self, wish: &Wish) -> Refusal {
        if self.choose(&wish.service, &wish.tried) == Choice::Closed {
            return self.closed(&wish.service);
        }
        let services = self.services.borrow();
        let queue = services.get(&wish.service).map(|service| &service.queue);
        let again = queue.map_or(NO_UPSTREAM_RETRY, |q| q.retry_after(wish.item.priority));
        Refusal::Busy(again)
    }

    /// Whether a request waits for a closed group to open. A caller that can come back is told at
    /// once when to do so.
    fn awaits_opening(&self, wish: &Wish) -> bool {
        wish.is_last_chance && self.now() < wish.item.latest_start_if_closed
    }

    /// This entry's part of the requests that can start at once as the groups of `service` open.
    fn places(&self, service: &id::Service) -> usize {
        let directory = self.directory.borrow();
        let limits: f64 = self.candidates(&directory, service).iter().map(|c| c.limit).sum();
        (limits / self.entries().max(1) as f64).ceil() as usize
    }

    /// Chooses an upstream of `service` that is not among those `tried`.
    pub fn choose(&self, service: &id::Service, tried: &[id::Vm]) -> Choice {
        let now = self.now();
        let directory = self.directory.borrow();
        let candidates = self.candidates(&directory, service);
        let ask = Context {
            tried,
            local_data_centre: &self.options.data_centre,
            entries: self.entries(),
        };
        let mut rng = self.rng.borrow_mut();
        self.load.borrow().choose(candidates.into_iter(), &ask, &mut *rng, now)
    }

    fn occupy(self: &Rc<Self>, vm: &id::Vm) -> Option<Place> {
        let upstream = self.directory.borrow().get(vm)?.clone();
        let now = self.now();
        let group = group::Id::of(&upstream);
        let fullest = self.spread(&group.service, |other| group.contains(other)).most;
        let (limit, factor) = self.with_group(&group, |group| {
            group.stall.request_started(now);
            (group.limit(&upstream), group.limiter.as_ref().map(Limiter::cost_factor))
        });
        let mut load = self.load.borrow_mut();
        load.start(vm);
        let active = load.active(vm);
        Some(Place { entry: self.clone(), group, upstream, active, fullest, limit, factor })
    }

    /// Gives free places of `service` to those that wait, and sends away who waited too long.
    pub fn pump(self: &Rc<Self>, service: &id::Service) {
        let now = self.now();
        self.expire(service, now);
        while let Some((ticket, tried)) = self.first(service, now) {
            let place = match self.choose(service, &tried) {
                Choice::Send(vm) if self.may_add(&vm) => self.occupy(&vm),
                Choice::Send(_) | Choice::Full => None,
                Choice::Closed => {
                    self.with_service(service, |service| service.queue.extend_for_opening());
                    return;
                }
                Choice::None => {
                    self.leave(service, ticket);
                    continue;
                }
            };
            let Some(place) = place else { return };
            let grant = self.grant(service, ticket, now);
            // A caller that left meanwhile gives the place back, which looks for the next one.
            if let Some(grant) = grant
                && let Err(unused) = grant.send(place)
            {
                drop(unused);
                return;
            }
        }
    }

    fn first(&self, service: &id::Service, now: unit::Millis) -> Option<(Ticket, Box<[id::Vm]>)> {
        let services = self.services.borrow();
        let service = services.get(service)?;
        let ticket = service.queue.peek(now)?;
        let tried = service.waiters.get(&ticket).map(|waiter| waiter.tried.clone());
        Some((ticket, tried.unwrap_or_default()))
    }

    fn grant(
        &self,
        service: &id::Service,
        ticket: Ticket,
        now: unit::Millis,
    ) -> Option<oneshot::Sender<Place>> {
        let mut services = self.services.borrow_mut();
        let service = services.get_mut(service)?;
        service.queue.serve(ticket, now);
        service.waiters.shift_remove(&ticket).map(|waiter| waiter.grant)
    }

    fn leave(&self, service: &id::Service, ticket: Ticket) {
        if let Some(service) = self.services.borrow_mut().get_mut(service) {
            service.queue.remove(ticket);
            service.waiters.shift_remove(&ticket);
        }
    }

    fn expire(&self, service: &id::Service, now: unit::Millis) {
        if let Some(service) = self.services.borrow_mut().get_mut(service) {
            for ticket in service.queue.expire(now) {
                service.waiters.shift_remove(&ticket);
            }
        }
    }

    /// Looks at the queues of all services.
    pub fn pump_all(self: &Rc<Self>) {
        let names: Vec<id::Service> = {
            let services = self.services.borrow();
            let waiting = services.iter().filter(|(_, service)| !service.queue.is_empty());
            waiting.map(|(name, _)| name.clone()).collect()
        };
        for name in names {
            self.pump(&name);
        }
    }

    /// Takes a retry from the service's budget.
    pub fn take_retry(&self, service: &id::Service) -> bool {
        let now = self.now();
        let entries = self.entries();
        let mut services = self.services.borrow_mut();
        services.get_mut(service).is_some_and(|service| service.budget.try_take(entries, now))
    }

    /// Whether a request of `service` that waits for an answer of `upstream`, whose group stands, may
    /// go to another group.
    pub fn may_move(&self, service: &id::Service, upstream: &directory::Upstream) -> bool {
        let (now, entries) = (self.now(), self.entries());
        self.stands(upstream)
            && matches!(self.choose(service, std::slice::from_ref(&upstream.vm)), Choice::Send(_))
            && self.with_service(service, |service| service.budget.can_retry(entries, now))
    }
}
