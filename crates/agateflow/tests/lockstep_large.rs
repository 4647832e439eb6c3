//! A group of the size of the grown fleets, with the links and the processors that its agents have.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use agateflow::direct::peer;
use agateflow::id;
use agateflow::lockstep::agent::{Agent, Shape};
use agateflow::lockstep::even::Bounds;
use agateflow::lockstep::note::Note;
use agateflow::lockstep::report::{Armed, Map, Order, Report};
use agateflow::lockstep::tell::{self, Content, Message, Teller};
use agateflow::unit::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const RANKS: usize = 72;
const SHAPE: Shape =
    Shape { sets: 12, experts: 144, bounds: Bounds { places: 3, new: 2, new_total: 13 } };
const TICK_MS: u64 = 5;
/// Time between two turns of an agent.
const TURN_MS: u64 = 50;
/// The same while a pass is held.
const FAST_TURN_MS: u64 = 10;
const PASS_MS: u64 = 60;
/// Time in which a rank copies an expert, in milliseconds.
const COPY_MS: f64 = 16.4;
/// What a link of 8 Mbit/s carries in a millisecond, in bytes.
const LINK_BYTES: f64 = 1_000.0;
/// Headers of a datagram, in bytes.
const HEADERS: usize = 28;
/// What may wait for a link, in milliseconds; more is lost.
const BACKLOG_MS: f64 = 250.0;
/// Share of a core that an agent has.
const CORE_SHARE: f64 = 0.15;
/// Processor time for one rank's load of a plan in a release build, in milliseconds.
const LOAD_MS: f64 = 50e-6;
/// Time in which other experts come into demand on the grown fleets' days.
const SHIFT_MS: u64 = 2_300;

#[derive(Clone, Copy)]
struct Limits {
    links: bool,
    processors: bool,
}

struct Vm {
    agent: Agent,
    teller: Teller,
    busy_until: f64,
    turn_at: u64,
    sent_until: f64,
    received_until: f64,
    bytes: usize,
    map: (u64, Map),
    prepared: Option<(u64, Map)>,
    copying: Option<(f64, u64, Map)>,
    armed: Option<Armed>,
    held: Option<u64>,
    counts: Vec<u64>,
}

struct World {
    limits: Limits,
    now: u64,
    step: u64,
    vms: Vec<Vm>,
    /// Messages on their way by time, number and receiver.
    messages: BinaryHeap<Reverse<(u64, usize, usize)>>,
    contents: Vec<Content>,
    weights: Vec<f64>,
    changed_at: Vec<u64>,
    held_passes: u64,
    lost: usize,
}

impl World {
    fn new(limits: Limits) -> Self {
        Self {
            limits,
            now: 0,
            step: 0,
            vms: (0..RANKS).map(vm).collect(),
            messages: BinaryHeap::new(),
            contents: Vec::new(),
            weights: weights(0),
            changed_at: Vec::new(),
            held_passes: 0,
            lost: 0,
        }
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += TICK_MS;
            self.choose_experts();
            self.deliver();
            for index in 0..RANKS {
                self.turn(index);
            }
            if self.now % PASS_MS < TICK_MS {
                self.pass();
            }
        }
    }

    fn choose_experts(&mut self) {
        for (index, vm) in self.vms.iter_mut().enumerate() {
            // Contents differ between ranks for a while; in the mean they are alike.
            let share = 0.5 + ((index as u64 + self.now / 40) % 11) as f64 / 10.0;
            for (count, weight) in vm.counts.iter_mut().zip(&self.weights) {
                *count += (weight * share) as u64;
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(&Reverse((at, message, to))) = self.messages.peek() {
            if at > self.now {
                return;
            }
            self.messages.pop();
            if !self.limits.processors || self.vms[to].busy_until <= self.now as f64 {
                let content = self.contents[message].clone();
                self.hear(to, content);
            }
        }
    }

    fn hear(&mut self, index: usize, content: Content) {
        let now = Millis::new(self.now);
        let vm = &mut self.vms[index];
        vm.turn_at = vm.turn_at.min(self.now + FAST_TURN_MS);
        match content {
            Content::Status(status) => vm.agent.hear(status, now),
            Content::Plan(plan) => {
                vm.agent.learn(&plan);
                if let Some(message) = tell::relay(plan) {
                    self.send(index, message);
                }
            }
        }
    }

    fn turn(&mut self, index: usize) {
        let now = Millis::new(self.now);
        let vm = &self.vms[index];
        if vm.turn_at > self.now || (self.limits.processors && vm.busy_until > self.now as f64) {
            return;
        }
        self.finish_copy(index);
        for _ in 0..4 {
            let report = self.report(index);
            let vm = &mut self.vms[index];
            vm.agent.observe(report, now);
            vm.agent.count(&vm.counts, now);
            let order = vm.agent.order(now);
            for note in vm.agent.notes() {
                if let Note::Planned { work, .. } = note {
                    vm.busy_until = self.now as f64 + work as f64 * LOAD_MS / CORE_SHARE;
                }
            }
            let Some(order) = order else { break };
            self.carry_out(index, order);
        }
        self.tell(index);
        let vm = &mut self.vms[index];
        let interval = if vm.agent.is_switching() { FAST_TURN_MS } else { TURN_MS };
        vm.turn_at = self.now + interval;
    }

    fn tell(&mut self, index: usize) {
        let now = Millis::new(self.now);
        let vm = &mut self.vms[index];
        for message in vm.teller.due(&vm.agent, now) {
            self.send(index, message);
        }
    }

    fn send(&mut self, index: usize, message: Message) {
        let service = id::Service::new("redator-massas").expect("a name");
        let wire = match &message.content {
            Content::Status(status) => {
                peer::Message::Rank(peer::Announcement { service, status: status.clone() })
            }
            Content::Plan(plan) => peer::Message::Plan(plan.clone()),
        };
        let bytes = postcard::to_stdvec(&wire).expect("a message").len() + HEADERS;
        self.contents.push(message.content);
        for to in message.to {
            let SocketAddr::V4(to) = to else { continue };
            self.transmit(index, usize::from(to.ip().octets()[3]), bytes);
        }
    }

    /// Sends the last message over the links of both VMs.
    fn transmit(&mut self, from: usize, to: usize, bytes: usize) {
        let now = self.now as f64;
        let takes = if self.limits.links { bytes as f64 / LINK_BYTES } else { 0.0 };
        let sender = &mut self.vms[from];
        sender.bytes += bytes;
        let sent = sender.sent_until.max(now) + takes;
        if sent - now > BACKLOG_MS {
            self.lost += 1;
            return;
        }
        sender.sent_until = sent;
        let receiver = &mut self.vms[to];
        let received = receiver.received_until.max(sent) + takes;
        if received - sent > BACKLOG_MS {
            self.lost += 1;
            return;
        }
        receiver.received_until = received;
        let message = self.contents.len() - 1;
        self.messages.push(Reverse((received.ceil() as u64 + 1, message, to)));
    }

    fn finish_copy(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        if vm.copying.as_ref().is_some_and(|(until, ..)| *until <= self.now as f64) {
            vm.prepared = vm.copying.take().map(|(_, version, map)| (version, map));
        }
    }

    fn carry_out(&mut self, index: usize, order: Order) {
        let begun = self.step;
        let now = self.now as f64;
        let vm = &mut self.vms[index];
        match order {
            Order::Prepare { version, map, .. } if vm.copying.is_none() && vm.armed.is_none() => {
                let of = |map: &Map| map.0.iter().map(|set| set[index].clone()).collect::<Vec<_>>();
                let pairs = of(&map).into_iter().zip(of(&vm.map.1));
                let new = pairs.map(|(new, old)| new.iter().filter(|e| !old.contains(e)).count());
                vm.copying = Some((now + new.sum::<usize>() as f64 * COPY_MS, version, map));
            }
            Order::Arm { armed, .. } if armed.step > begun => vm.armed = Some(armed),
            Order::Hold { step, .. } if step > begun => vm.held = Some(step),
            Order::Go { step, .. } if vm.held == Some(step) => vm.held = None,
            _ => {}
        }
    }

    fn report(&self, index: usize) -> Report {
        let vm = &self.vms[index];
        Report {
            group: "redator-massas-0".into(),
            epoch: 1,
            rank: index as u32,
            size: RANKS as u32,
            open: true,
            busy: vm.copying.is_some(),
            step: self.step,
            map: vm.map.0,
            prepared: vm.prepared.as_ref().map(|(version, _)| *version),
            armed: vm.armed,
            held: vm.held,
            experts: vm.map.1.0.iter().map(|set| set[index].clone()).collect(),
            active: 4,
            queued: 0,
        }
    }

    fn pass(&mut self) {
        let next = self.step + 1;
        if self.vms.iter().any(|vm| vm.held == Some(next)) {
            self.held_passes += 1;
            return;
        }
        self.step = next;
        let before = self.vms[0].map.0;
        for vm in &mut self.vms {
            if vm.armed.is_some_and(|armed| armed.step == next) {
                vm.armed = None;
                vm.map = vm.prepared.take().expect("a prepared map");
            }
        }
        let version = self.vms[0].map.0;
        assert!(self.vms.iter().all(|vm| vm.map.0 == version), "two maps in pass {next}");
        if version != before {
            self.changed_at.push(self.now);
        }
    }

    /// Load of the most loaded ranks against the mean, over all sets.
    fn unevenness(&self) -> f64 {
        let sets = self.weights.chunks(SHAPE.experts);
        let (hot, mean) =
            sets.zip(&self.vms[0].map.1.0).fold((0.0, 0.0), |(hot, mean), (load, map)| {
                let holders = |e: u16| map.iter().filter(|held| held.contains(&e)).count() as f64;
                let part = |e: &u16| load[usize::from(*e)] / holders(*e);
                let of = |held: &Vec<u16>| held.iter().map(part).sum::<f64>();
                let hottest = map.iter().map(of).fold(0.0, f64::max);
                (hot + hottest, mean + load.iter().sum::<f64>() / RANKS as f64)
            });
        hot / mean
    }
}

/// How often experts are chosen, set after set.
fn weights(seed: u64) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut weights = Vec::new();
    for _ in 0..SHAPE.sets {
        let mut set: Vec<f64> =
            (0..SHAPE.experts).map(|e| 300.0 / (1.0 + e as f64).powf(0.8)).collect();
        for index in (1..set.len()).rev() {
            set.swap(index, rng.random_range(0..=index));
        }
        weights.append(&mut set);
    }
    weights
}

fn address(rank: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, rank as u8], 7_000))
}

fn map_in_turn() -> Map {
    let held = |rank: usize| {
        (0..SHAPE.experts).filter(move |e| e % RANKS == rank).map(|e| e as u16).collect()
    };
    Map(vec![(0..RANKS).map(held).collect(); SHAPE.sets])
}

fn vm(rank: usize) -> Vm {
    let mut agent = Agent::new(address(rank), rank as u64);
    agent.set_shape(SHAPE);
    let mut teller = Teller::new();
    teller.meet((0..RANKS).filter(|&other| other != rank).map(address));
    Vm {
        agent,
        teller,
        busy_until: 0.0,
        turn_at: rank as u64 % TURN_MS,
        sent_until: 0.0,
        received_until: 0.0,
        bytes: 0,
        map: (0, map_in_turn()),
        prepared: None,
        copying: None,
        armed: None,
        held: None,
        counts: vec![0; SHAPE.sets * SHAPE.experts],
    }
}

#[rstest]
#[case::links(Limits { links: true, processors: false })]
#[case::processors(Limits { links: false, processors: true })]
#[case::both(Limits { links: true, processors: true })]
fn map_of_a_large_group_follows_demand_before_it_shifts_again(#[case] limits: Limits) {
    let mut world = World::new(limits);
    world.run(SHIFT_MS);
    world.weights = weights(1);
    let before = world.unevenness();

    world.run(2 * SHIFT_MS);

    let after = world.unevenness();
    let most = world.vms.iter().map(|vm| vm.bytes).max().unwrap_or_default() as u64;
    println!(
        "{before:.2} -> {after:.2}, changes at {:?} ms, held {} passes, {} messages lost, {} B/s",
        world.changed_at,
        world.held_passes,
        world.lost,
        most * 1_000 / (2 * SHIFT_MS)
    );
    assert!(after < 1.0 + (before - 1.0) / 2.0, "{before:.2} -> {after:.2}");
}
