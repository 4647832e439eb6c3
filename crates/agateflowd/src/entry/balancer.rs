//! Chooses the upstream process for an attempt.

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

/// The only VM that may run `call`, if it has a key or ticket.
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

/// Returns an open link to an upstream for `call`: to `home` if given, else to the best one outside
/// `exclude`.
pub fn choose_for_call(
    shared: &Shared,
    call: &Call,
    home: Option<&id::Vm>,
    exclude: &[id::Vm],
) -> Option<Link> {
    if let Some(home) = home {
        return shared.links.get(home).filter(|_| !exclude.contains(home));
    }
    choose_link(shared, &call.target, &estimate_work(call), exclude)
}

/// Returns an open link to an upstream that serves `target` and is not in `exclude`.
pub fn choose_for_target(shared: &Shared, target: &Target, exclude: &[id::Vm]) -> Option<Link> {
    choose_link(shared, target, &route::Work::default(), exclude)
}

/// Load and failures of the upstreams, and the random generator for choices among them.
pub struct Selector {
    balancer: route::Balancer,
    failing: failing::Tracker,
    rng: Pcg64Mcg,
}

impl Selector {
    /// Creates the state without load; `seed` initializes the random generator.
    pub fn new(seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self { balancer: route::Balancer::new(), failing: failing::Tracker::new(), rng }
    }
}

/// Drops the state of upstreams that `fleet` no longer contains.
pub fn retain(shared: &Shared, fleet: &config::Fleet) {
    let mut selector = selector(shared);
    selector.balancer.retain(|vm| fleet.vm(vm).is_some());
    selector.failing.retain(|vm| fleet.vm(vm).is_some());
}

/// Records the last frame of an attempt as a success or failure of `vm`.
pub fn record_end(shared: &Shared, vm: &id::Vm, end: &wire::Frame) {
    let failing = &mut selector(shared).failing;
    match end {
        wire::Frame::End(_) => failing.record_success(vm),
        wire::Frame::Failed(failed) if failed.crashed => failing.record_failure(vm, clock::now()),
        wire::Frame::Refused(refused) if refused.reason == reason::Reason::Unreachable => {
            failing.record_failure(vm, clock::now());
        }
        _ => {}
    }
}

/// Counts an attempt as load of its upstream until dropped.
pub struct Guard {
    shared: Arc<Shared>,
    id: id::Attempt,
    vm: id::Vm,
}

impl Guard {
    /// Adds the attempt `id` of `call` to the load of `vm`.
    pub fn new(shared: &Arc<Shared>, call: &Call, id: id::Attempt, vm: &id::Vm) -> Self {
        let speed = speed(&shared.fleet.load(), vm);
        let candidate = route::Candidate { vm: vm.clone(), speed, local: true };
        let now = shared.members.now();
        selector(shared).balancer.start(id, &candidate, &estimate_work(call), now);
        Self { shared: shared.clone(), id, vm: vm.clone() }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let now = self.shared.members.now();
        selector(&self.shared).balancer.end(self.id, &self.vm, now);
    }
}

fn selector(shared: &Shared) -> MutexGuard<'_, Selector> {
    shared.selector.lock().unwrap_or_else(PoisonError::into_inner)
}

fn estimate_work(call: &Call) -> route::Work {
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

fn choose_link(
    shared: &Shared,
    target: &Target,
    work: &route::Work,
    exclude: &[id::Vm],
) -> Option<Link> {
    let fleet = shared.fleet.load();
    let local_data_centre = &shared.members.sender().data_centre;
    let view = shared.members.view();
    let vms: Vec<&config::Vm> = match target {
        Target::Model(model) => fleet.engines_of(model).collect(),
        Target::Service(service) => fleet.vms_of(service).collect(),
    };
    let mut open_links: Vec<(&config::Vm, Link)> = vms
        .into_iter()
        .filter(|vm| !exclude.contains(&vm.name))
        .filter_map(|vm| Some((vm, shared.links.get(&vm.name)?)))
        .filter(|(_, link)| accepts_work(&view, link))
        .collect();
    let now = shared.members.now();
    // A data centre whose load is unknown is used only if the local one has no usable upstream.
    let has_load = |vm: &config::Vm| {
        let known = view.data_centres.get(&vm.data_centre).is_some();
        known && !view.data_centres.is_silent(&vm.data_centre, now)
    };
    if open_links.iter().any(|(vm, _)| vm.data_centre == *local_data_centre) {
        open_links.retain(|(vm, _)| vm.data_centre == *local_data_centre || has_load(vm));
    }
    let mut selector = selector(shared);
    let Selector { balancer, failing, rng } = &mut *selector;
    let fails = |vm: &config::Vm| failing.is_failing(&vm.name, clock::now());
    if open_links.iter().any(|(vm, _)| !fails(vm)) {
        open_links.retain(|(vm, _)| !fails(vm));
    }
    let candidates = open_links.iter().map(|(vm, link)| {
        let report = match find_member(&view, link) {
            Some(member) => Some(member_report(member)),
            None => view.data_centres.get(&vm.data_centre).and_then(mean_report),
        };
        if let Some(report) = report {
            balancer.apply_report(&vm.name, &report);
        }
        let speed = speed(&fleet, &vm.name);
        route::Candidate { vm: vm.name.clone(), speed, local: vm.data_centre == *local_data_centre }
    });
    let candidates: Vec<route::Candidate> = candidates.collect();
    let index = balancer.choose(&candidates, work, rng, now)?;
    Some(open_links.swap_remove(index).1)
}

fn member_report(member: &member::Member) -> route::Report {
    let load = &member.heartbeat.load;
    route::Report {
        running: load.running.into(),
        waiting: load.waiting.into(),
        queued: unit::Millis::new(load.queued_ms.into()),
        step: unit::Micros::new(load.step_us.into()),
        received_at: member.received_at,
    }
}

/// Mean load per upstream of another data centre, which reports only sums.
fn mean_report(data_centre: &summary::DataCentre) -> Option<route::Report> {
    let groups = || data_centre.groups.values();
    let serving: u32 = groups().map(|report| u32::from(report.group.serving)).sum();
    let mean = |field: fn(&summary::Group) -> u32| {
        let sum: u64 = groups().map(|report| u64::from(field(&report.group))).sum();
        sum.checked_div(serving.into())
    };
    Some(route::Report {
        running: u32::try_from(mean(|group| group.running)?).unwrap_or(u32::MAX),
        waiting: u32::try_from(mean(|group| group.waiting)?).unwrap_or(u32::MAX),
        queued: unit::Millis::new(mean(|group| group.queued_ms)?),
        step: unit::Micros::ZERO,
        received_at: groups().map(|report| report.received_at).max()?,
    })
}

/// The member at the other end of `link`, unless it is in another data centre: gossip is local.
fn find_member<'a>(view: &'a fleet::View, link: &Link) -> Option<&'a member::Member> {
    let member = view.members.iter().find(|member| member.sender.name == link.peer.vm)?;
    (member.sender.incarnation == link.peer.incarnation).then_some(member)
}

/// Whether an upstream process accepts new work. Missing heartbeats do not exclude it while its link
/// is open.
fn accepts_work(view: &fleet::View, link: &Link) -> bool {
    find_member(view, link).is_none_or(|member| member.state != message::State::Leaving)
}
