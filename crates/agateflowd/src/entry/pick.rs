//! Choice of the upstream process for an attempt.

use std::sync::{Arc, MutexGuard, PoisonError};

use agateflow::admission::{idempotency, reason, ticket};
use agateflow::config;
use agateflow::fleet::{member, message, summary};
use agateflow::id;
use agateflow::route::{self, affinity, failing};
use agateflow::unit;
use agateflow::wire::{self, frame};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::clock;
use crate::entry::Shared;
use crate::entry::call::{self, Call, Target};
use crate::fleet;
use crate::link::client::Link;

/// The only VM that may decide over `call`, if it has a key or ticket.
pub fn home(shared: &Shared, call: &Call) -> Option<id::Vm> {
    let Target::Service(service) = &call.target else {
        return None;
    };
    match &call.key {
        frame::Key::None => None,
        frame::Key::Ticket(bytes) => {
            ticket::Ticket::decode(bytes, &shared.tickets).ok().map(|ticket| ticket.home)
        }
        frame::Key::Idempotency(key) => {
            let scope = idempotency::call_id(&call.team, service, &String::from_utf8_lossy(key));
            let fleet = shared.fleet.load();
            let declared: Vec<id::Vm> = fleet.vms_of(service).map(|vm| vm.name.clone()).collect();
            idempotency::home(&declared, &scope).cloned()
        }
    }
}

/// An open link to an upstream that serves `call`: `home` if one is named, else any not among
/// `exclude`.
pub fn link(
    shared: &Shared,
    call: &Call,
    home: Option<&id::Vm>,
    exclude: &[id::Vm],
) -> Option<Link> {
    if let Some(home) = home {
        return shared.links.get(home).filter(|_| !exclude.contains(home));
    }
    best(shared, &call.target, &work(call), exclude)
}

/// An open link to any upstream that serves `target` and is not among `exclude`.
pub fn any(shared: &Shared, target: &Target, exclude: &[id::Vm]) -> Option<Link> {
    best(shared, target, &route::Work::default(), exclude)
}

/// What the entry knows of the upstreams' load, and the generator for choices among them.
pub struct Balance {
    ledger: route::Balancer,
    failing: failing::Tracker,
    rng: Pcg64Mcg,
}

impl Balance {
    /// Creates the state of an entry that sent nothing yet.
    pub fn new(seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self { ledger: route::Balancer::new(), failing: failing::Tracker::new(), rng }
    }
}

/// Forgets the load of upstreams that `fleet` no longer names.
pub fn retain(shared: &Shared, fleet: &config::Fleet) {
    let mut balance = balance(shared);
    balance.ledger.retain(|vm| fleet.vm(vm).is_some());
    balance.failing.retain(|vm| fleet.vm(vm).is_some());
}

/// Notes what the end of an attempt at `vm` says about its engine.
pub fn note(shared: &Shared, vm: &id::Vm, end: &wire::Frame) {
    let failing = &mut balance(shared).failing;
    match end {
        wire::Frame::End(_) => failing.record_success(vm),
        wire::Frame::Failed(failed) if failed.crashed => failing.record_failure(vm, clock::now()),
        wire::Frame::Refused(refused) if refused.reason == reason::Reason::Unreachable => {
            failing.record_failure(vm, clock::now());
        }
        _ => {}
    }
}

/// An attempt that counts in the ledger until dropped.
pub struct Sent {
    shared: Arc<Shared>,
    id: id::Attempt,
    vm: id::Vm,
}

impl Sent {
    /// Counts the attempt `id` of `call` as sent to `vm`.
    pub fn new(shared: &Arc<Shared>, call: &Call, id: id::Attempt, vm: &id::Vm) -> Self {
        let speed = speed(&shared.fleet.load(), vm);
        let candidate = route::Candidate { vm: vm.clone(), speed, local: true };
        let now = shared.members.now();
        balance(shared).ledger.start(id, &candidate, &work(call), now);
        Self { shared: shared.clone(), id, vm: vm.clone() }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        let now = self.shared.members.now();
        balance(&self.shared).ledger.end(self.id, &self.vm, now);
    }
}

fn balance(shared: &Shared) -> MutexGuard<'_, Balance> {
    shared.balance.lock().unwrap_or_else(PoisonError::into_inner)
}

fn work(call: &Call) -> route::Work {
    match &call.target {
        Target::Service(_) => route::Work { output: unit::Tokens::new(1), ..Default::default() },
        Target::Model(model) => {
            let prompt = call::prompt_tokens(&call.body);
            let output = call.tokens.saturating_sub(prompt);
            let prefix = affinity::Prefix::new(model.as_str(), &call.body);
            route::Work { prompt, output, prefix }
        }
    }
}

fn speed(fleet: &config::Fleet, vm: &id::Vm) -> route::Speed {
    let class = match fleet.vm(vm).map(|vm| &vm.role) {
        Some(config::Role::Engine { class, .. }) => fleet.class(class),
        _ => None,
    };
    class.map_or_else(route::Speed::of_service, route::Speed::of_class)
}

fn best(shared: &Shared, target: &Target, work: &route::Work, exclude: &[id::Vm]) -> Option<Link> {
    let fleet = shared.fleet.load();
    let own = &shared.members.sender().data_centre;
    let view = shared.members.view();
    let vms: Vec<&config::Vm> = match target {
        Target::Model(model) => fleet.engines_of(model).collect(),
        Target::Service(service) => fleet.vms_of(service).collect(),
    };
    let mut open: Vec<(&config::Vm, Link)> = vms
        .into_iter()
        .filter(|vm| !exclude.contains(&vm.name))
        .filter_map(|vm| Some((vm, shared.links.get(&vm.name)?)))
        .filter(|(_, link)| takes_work(&view, link))
        .collect();
    let now = shared.members.now();
    // Without news of another data centre's load, it serves only what the own one cannot.
    let heard = |vm: &config::Vm| {
        let known = view.data_centres.get(&vm.data_centre).is_some();
        known && !view.data_centres.is_silent(&vm.data_centre, now)
    };
    if open.iter().any(|(vm, _)| vm.data_centre == *own) {
        open.retain(|(vm, _)| vm.data_centre == *own || heard(vm));
    }
    let mut balance = balance(shared);
    let Balance { ledger, failing, rng } = &mut *balance;
    let fails = |vm: &config::Vm| failing.is_failing(&vm.name, clock::now());
    if open.iter().any(|(vm, _)| !fails(vm)) {
        open.retain(|(vm, _)| !fails(vm));
    }
    let candidates = open.iter().map(|(vm, link)| {
        let report = match member(&view, link) {
            Some(member) => Some(report(member)),
            None => view.data_centres.get(&vm.data_centre).and_then(mean),
        };
        if let Some(report) = report {
            ledger.apply_report(&vm.name, &report);
        }
        let speed = speed(&fleet, &vm.name);
        route::Candidate { vm: vm.name.clone(), speed, local: vm.data_centre == *own }
    });
    let candidates: Vec<route::Candidate> = candidates.collect();
    let index = ledger.choose(&candidates, work, rng, now)?;
    Some(open.swap_remove(index).1)
}

fn report(member: &member::Member) -> route::Report {
    let load = &member.heartbeat.load;
    route::Report {
        running: load.running.into(),
        waiting: load.waiting.into(),
        queued: unit::Millis::new(load.queued_ms.into()),
        step: unit::Micros::new(load.step_us.into()),
        received_at: member.received_at,
    }
}

/// The mean load of another data centre's upstreams, for each of them.
fn mean(data_centre: &summary::DataCentre) -> Option<route::Report> {
    let groups = || data_centre.groups.values();
    let serving: u32 = groups().map(|report| u32::from(report.group.serving)).sum();
    let sum = |part: fn(&summary::Group) -> u32| {
        let sum: u64 = groups().map(|report| u64::from(part(&report.group))).sum();
        sum.checked_div(serving.into())
    };
    Some(route::Report {
        running: u32::try_from(sum(|group| group.running)?).unwrap_or(u32::MAX),
        waiting: u32::try_from(sum(|group| group.waiting)?).unwrap_or(u32::MAX),
        queued: unit::Millis::new(sum(|group| group.queued_ms)?),
        step: unit::Micros::ZERO,
        received_at: groups().map(|report| report.received_at).max()?,
    })
}

/// What was heard of the process behind `link`. Members of other data centres are not heard at all.
fn member<'a>(view: &'a fleet::View, link: &Link) -> Option<&'a member::Member> {
    let member = view.members.iter().find(|member| member.sender.name == link.peer.vm)?;
    (member.sender.incarnation == link.peer.incarnation).then_some(member)
}

/// Whether nothing heard speaks against an upstream process. Its silence is no proof while its link
/// is open.
fn takes_work(view: &fleet::View, link: &Link) -> bool {
    member(view, link).is_none_or(|member| member.state != message::State::Leaving)
}
