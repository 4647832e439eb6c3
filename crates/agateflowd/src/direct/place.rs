//! Places at upstreams: taken at once, waited for, or refused.

use std::rc::Rc;

use agateflow::direct::budget::Budget;
use agateflow::direct::load::{Ask, Choice};
use agateflow::direct::outage::Outage;
use agateflow::direct::pace::Pace;
use agateflow::direct::queue::{Item, Queue, Ticket};
use agateflow::direct::share::Share;
use agateflow::direct::{config, directory};
use agateflow::{id, unit};
use indexmap::IndexMap;
use tokio::sync::oneshot;

use super::Entry;

/// Requests of a plain service's upstream for each of its slots.
const PLAIN_FACTOR: f64 = 1.0;

/// Time after which a caller is asked to come back where no upstream is there.
const NO_UPSTREAM_RETRY: unit::Millis = unit::Millis::new(1_000);

struct Waiter {
    grant: oneshot::Sender<Place>,
    tried: Box<[id::Vm]>,
    /// Whether it waits for a closed group to open.
    patient: bool,
}

/// Queue and limits of one service.
pub struct Service {
    /// Its retry budget.
    pub budget: Budget,
    /// How much its ranks may have, where they are engines.
    pub pace: Option<Pace>,
    /// Whether its group of ranks is closed.
    pub outage: Outage,
    queue: Queue,
    share: Share,
    form: unit::Millis,
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
    /// Whether it waits for a closed group to open, as its caller cannot come back later.
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

/// How full a service is, for logs.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    /// Requests that wait at this entry.
    pub waiting: usize,
    /// Requests that an upstream may have.
    pub limit: f64,
    /// Requests of its upstreams in the mean, of all entries.
    pub mean: f64,
    /// How much slower its group passes than with even experts, if it is one.
    pub factor: Option<f64>,
}

/// A place at an upstream, given back when dropped.
pub struct Place {
    entry: Rc<Entry>,
    service: id::Service,
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
        self.entry.pump(&self.service);
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
    pub fn with_service<T>(
        &self,
        table: &config::Table,
        name: &id::Service,
        pause: Option<unit::Millis>,
        f: impl FnOnce(&mut Service) -> T,
    ) -> T {
        let now = self.now();
        let mut services = self.services.borrow_mut();
        let service = services.entry(name.clone()).or_insert_with(|| Service {
            budget: Budget::new(self.options.retries),
            pace: None,
            outage: Outage::default(),
            queue: Queue::new(),
            share: Share::new(),
            form: unit::Millis::ZERO,
            waiters: IndexMap::new(),
        });
        let engine = table.service(name).and_then(|service| service.engine);
        service.form = engine.map_or(unit::Millis::ZERO, |engine| engine.form);
        if let (None, Some(engine), Some(pause)) = (&service.pace, engine, pause) {
            let known = self.costs.borrow().get(name).copied();
            service.pace = Some(Pace::new(&engine, pause, known, now));
        }
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
            Choice::Closed if !wish.is_last_chance => return Err(self.closed(&wish.service)),
            Choice::Send(vm) if !waits && self.may_add(&wish.service) => {
                if let Some(place) = self.occupy(&wish.service, &vm) {
                    return Ok(place);
                }
            }
            Choice::Send(_) | Choice::Full | Choice::Closed => {}
        }
        self.wait(wish).await
    }

    /// The refusal while the group of `service` is closed.
    fn closed(&self, service: &id::Service) -> Refusal {
        let now = self.now();
        let mut services = self.services.borrow_mut();
        let again = services.get_mut(service).map(|service| {
            service.outage.close(now);
            service.outage.retry_after(service.form, now)
        });
        Refusal::Closed(again.unwrap_or(NO_UPSTREAM_RETRY))
    }

    /// Time after which a caller is asked to come back whose request upstreams refused.
    pub fn again(&self, service: &id::Service) -> unit::Millis {
        let now = self.now();
        let services = self.services.borrow();
        match services.get(service) {
            Some(service) if service.outage.is_refusing(now) => {
                service.outage.retry_after(service.form, now)
            }
            Some(service) => service.queue.retry_after(0),
            None => NO_UPSTREAM_RETRY,
        }
    }

    /// A rank of `service` refused a request, though by the count of its requests it had room.
    pub fn refused_with_room(&self, service: &id::Service) {
        let now = self.now();
        if let Some(service) = self.services.borrow_mut().get_mut(service)
            && service.pace.is_some()
        {
            service.outage.refuse(now);
        }
    }

    /// A rank of `service` could not be reached.
    pub fn missed(&self, service: &id::Service, rank: &id::Vm) {
        let now = self.now();
        if let Some(service) = self.services.borrow_mut().get_mut(service)
            && service.pace.is_some()
        {
            service.outage.miss(rank, now);
        }
    }

    async fn wait(self: &Rc<Self>, wish: &Wish) -> Result<Place, Refusal> {
        let now = self.now();
        let (grant, granted) = oneshot::channel();
        let ticket = {
            let mut services = self.services.borrow_mut();
            let Some(service) = services.get_mut(&wish.service) else {
                return Err(Refusal::NoUpstream(NO_UPSTREAM_RETRY));
            };
            let Some(ticket) = service.queue.push(wish.item, now) else {
                return Err(Refusal::Busy(service.queue.retry_after(wish.item.priority)));
            };
            let tried = wish.tried.clone().into();
            let patient = wish.is_last_chance;
            service.waiters.insert(ticket, Waiter { grant, tried, patient });
            ticket
        };
        let _waiting = Waiting { entry: self.clone(), service: wish.service.clone(), ticket };
        self.pump(&wish.service);
        match granted.await {
            Ok(place) => Ok(place),
            Err(_) if self.choose(&wish.service, &wish.tried) == Choice::Closed => {
                Err(self.closed(&wish.service))
            }
            Err(_) => Err(Refusal::Busy(self.retry_after(wish))),
        }
    }

    fn retry_after(&self, wish: &Wish) -> unit::Millis {
        let services = self.services.borrow();
        let service = services.get(&wish.service);
        service.map_or(NO_UPSTREAM_RETRY, |s| s.queue.retry_after(wish.item.priority))
    }

    fn choose(&self, service: &id::Service, tried: &[id::Vm]) -> Choice {
        let now = self.now();
        let services = self.services.borrow();
        if services.get(service).is_some_and(|service| service.outage.is_refusing(now)) {
            return Choice::Closed;
        }
        drop(services);
        let directory = self.directory.borrow();
        let limit = self.limit(service, &directory);
        let entries = self.entries();
        let ask = Ask { limit, tried, near: &self.options.data_centre, entries };
        let mut rng = self.rng.borrow_mut();
        self.load.borrow().choose(directory.ready(service), &ask, &mut *rng, now)
    }

    /// Whether this entry may add a request to those of `service`'s ranks, which other entries add
    /// to at the same time.
    fn may_add(&self, service: &id::Service) -> bool {
        let now = self.now();
        let entries = self.entries();
        let mut services = self.services.borrow_mut();
        let Some(Service { pace: Some(pace), share, .. }) = services.get_mut(service) else {
            return true;
        };
        let directory = self.directory.borrow();
        let room = self.load.borrow().room(directory.ready(service), pace.limit());
        share.take(room, entries, now)
    }

    /// Requests that an upstream of `service` may have.
    fn limit(&self, service: &id::Service, directory: &directory::Directory) -> f64 {
        let services = self.services.borrow();
        match services.get(service).and_then(|service| service.pace.as_ref()) {
            Some(pace) => pace.limit(),
            None => {
                let slots = directory.ready(service).map(|upstream| upstream.slots).min();
                f64::from(slots.unwrap_or(1)) * PLAIN_FACTOR
            }
        }
    }

    /// Requests at the upstreams of `service`: of the fullest, and the mean.
    fn spread(&self, service: &id::Service) -> (u32, f64) {
        let directory = self.directory.borrow();
        let load = self.load.borrow();
        let counts = directory.ready(service).map(|upstream| load.active(&upstream.vm));
        let (most, sum, number) =
            counts.fold((0, 0, 0), |(most, sum, n), count| (count.max(most), sum + count, n + 1));
        (most, f64::from(sum) / f64::from(number.max(1)))
    }

    fn occupy(self: &Rc<Self>, service: &id::Service, vm: &id::Vm) -> Option<Place> {
        let upstream = self.directory.borrow().get(vm)?.clone();
        let limit = self.limit(service, &self.directory.borrow());
        let (fullest, _) = self.spread(service);
        let services = self.services.borrow();
        let pace = services.get(service).and_then(|service| service.pace.as_ref());
        let factor = pace.map(Pace::factor);
        let mut load = self.load.borrow_mut();
        load.start(vm);
        let active = load.active(vm);
        let service = service.clone();
        Some(Place { entry: self.clone(), service, upstream, active, fullest, limit, factor })
    }

    /// Gives free places of `service` to those that wait, and sends away who waited too long.
    pub fn pump(self: &Rc<Self>, service: &id::Service) {
        let now = self.now();
        self.expire(service, now);
        while let Some((ticket, tried)) = self.first(service, now) {
            let place = match self.choose(service, &tried) {
                Choice::Send(vm) if self.may_add(service) => self.occupy(service, &vm),
                Choice::Send(_) | Choice::Full => None,
                Choice::Closed => {
                    self.send_away(service);
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
        let ticket = service.queue.first(now)?;
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

    /// Sends away who does not wait for the closed group of `service` to open.
    fn send_away(&self, service: &id::Service) {
        let mut services = self.services.borrow_mut();
        let Some(service) = services.get_mut(service) else { return };
        let impatient = service.waiters.iter().filter(|(_, waiter)| !waiter.patient);
        let tickets: Vec<Ticket> = impatient.map(|(&ticket, _)| ticket).collect();
        for ticket in tickets {
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

    /// How full `name` is.
    pub fn occupancy(&self, name: &id::Service) -> Occupancy {
        let limit = self.limit(name, &self.directory.borrow());
        let (_, mean) = self.spread(name);
        let services = self.services.borrow();
        let service = services.get(name);
        Occupancy {
            waiting: service.map_or(0, |service| service.queue.len()),
            limit,
            mean,
            factor: service.and_then(|service| service.pace.as_ref()).map(Pace::factor),
        }
    }

    /// Highest costs of late of requests at services of engines.
    pub fn high_factors(&self) -> IndexMap<id::Service, f64> {
        let services = self.services.borrow();
        let paces = services.iter().filter_map(|(name, service)| {
            service.pace.as_ref().map(|pace| (name.clone(), pace.high_factor()))
        });
        paces.collect()
    }

    /// Takes a retry from the service's budget.
    pub fn take_retry(&self, service: &id::Service) -> bool {
        let now = self.now();
        let entries = self.entries();
        let mut services = self.services.borrow_mut();
        services.get_mut(service).is_some_and(|service| service.budget.take(entries, now))
    }

    /// Takes in a pause between two events of a stream of `service`.
    pub fn paused(&self, service: &id::Service, pause: unit::Micros) {
        let (_, mean) = self.spread(service);
        let now = self.now();
        let mut services = self.services.borrow_mut();
        let Some(service) = services.get_mut(service) else { return };
        service.outage.end();
        if let Some(pace) = service.pace.as_mut() {
            pace.record(pause, mean, now);
        }
    }
}
