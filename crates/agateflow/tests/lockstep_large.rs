//! Simulates a group as large as the grown fleets, with the network and CPU limits of its agents.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use agateflow::direct::peer;
use agateflow::id;
use agateflow::lockstep::agent::{Agent, Shape};
use agateflow::lockstep::balance::Bounds;
use agateflow::lockstep::events;
use agateflow::lockstep::messaging::{self, Message, Outbox, Payload};
use agateflow::lockstep::report::{Armed, Map, Order, Report};
use agateflow::unit::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const RANKS: usize = 72;
const SHAPE: Shape =
    Shape { sets: 12, experts: 144, bounds: Bounds { places: 3, new_per_set: 2, new_total: 13 } };
const TICK_MS: u64 = 5;
/// Time between two turns of an agent.
const TURN_MS: u64 = 50;
/// The same while a pass is held.
const FAST_TURN_MS: u64 = 10;
const PASS_MS: u64 = 60;
/// Time for a rank to copy an expert.
const COPY_MS: f64 = 16.4;
/// Bytes per millisecond on a link of 8 Mbit/s.
const LINK_BYTES_PER_MS: f64 = 1_000.0;
/// IP and UDP headers per datagram.
const HEADER_BYTES: usize = 28;
/// Maximum queueing delay of a link; more is lost.
const MAX_BACKLOG_MS: f64 = 250.0;
/// Fraction of a core per agent.
const CORE_SHARE: f64 = 0.15;
/// CPU time per rank load evaluated by a plan, in a release build.
const LOAD_EVALUATION_MS: f64 = 50e-6;
/// Interval at which the expert demand shifts on the grown fleets' days.
const DEMAND_SHIFT_MS: u64 = 2_300;

#[derive(Clone, Copy)]
struct Limits {
    links: bool,
    processors: bool,
}

struct Vm {
    agent: Agent,
    outbox: Outbox,
    busy_until: f64,
    next_turn_at: u64,
    uplink_busy_until: f64,
    downlink_busy_until: f64,
    bytes: usize,
    map: (u64, Map),
    prepared: Option<(u64, Map)>,
    copying: Option<(f64, u64, Map)>,
    armed: Option<Armed>,
    held: Option<u64>,
    counts: Vec<u64>,
}

struct Simulation {
    limits: Limits,
    now: u64,
    step: u64,
    vms: Vec<Vm>,
    /// Messages in flight: time, index and recipient.
    messages: BinaryHeap<Reverse<(u64, usize, usize)>>,
    contents: Vec<Payload>,
    weights: Vec<f64>,
    changed_at: Vec<u64>,
    held_passes: u64,
    lost: usize,
}

impl Simulation {
    fn new(limits: Limits) -> Self {
        Self {
            limits,
            now: 0,
            step: 0,
            vms: (0..RANKS).map(new_vm).collect(),
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
            self.count_expert_choices();
            self.deliver();
            for index in 0..RANKS {
                self.run_turn(index);
            }
            if self.now % PASS_MS < TICK_MS {
                self.begin_pass();
            }
        }
    }

    fn count_expert_choices(&mut self) {
        for (index, vm) in self.vms.iter_mut().enumerate() {
            // Demand differs between ranks for a while; on average it is alike.
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
                let payload = self.contents[message].clone();
                self.receive(to, payload);
            }
        }
    }

    fn receive(&mut self, index: usize, payload: Payload) {
        let now = Millis::new(self.now);
        let vm = &mut self.vms[index];
        vm.next_turn_at = vm.next_turn_at.min(self.now + FAST_TURN_MS);
        match payload {
            Payload::Status(status) => vm.agent.receive_status(status, now),
            Payload::Plan(plan) => {
                vm.agent.receive_plan(&plan);
                if let Some(message) = messaging::relay(plan) {
                    self.send(index, message);
                }
            }
        }
    }

    fn run_turn(&mut self, index: usize) {
        let now = Millis::new(self.now);
        let vm = &self.vms[index];
        if vm.next_turn_at > self.now || (self.limits.processors && vm.busy_until > self.now as f64)
        {
            return;
        }
        self.finish_copy(index);
        for _ in 0..4 {
            let report = self.report(index);
            let vm = &mut self.vms[index];
            vm.agent.observe(report, now);
            vm.agent.observe_counts(&vm.counts, now);
            let order = vm.agent.next_order(now);
            for event in vm.agent.take_events() {
                if let events::Event::Planned { evaluations, .. } = event {
                    vm.busy_until =
                        self.now as f64 + evaluations as f64 * LOAD_EVALUATION_MS / CORE_SHARE;
                }
            }
            let Some(order) = order else { break };
            self.execute_order(index, order);
        }
        self.send_due_messages(index);
        let vm = &mut self.vms[index];
        let interval = if vm.agent.is_switching() { FAST_TURN_MS } else { TURN_MS };
        vm.next_turn_at = self.now + interval;
    }

    fn send_due_messages(&mut self, index: usize) {
        let now = Millis::new(self.now);
        let vm = &mut self.vms[index];
        for message in vm.outbox.due_messages(&vm.agent, now) {
            self.send(index, message);
        }
    }

    fn send(&mut self, index: usize, message: Message) {
        let service = id::Service::new("redator-massas").expect("valid service name");
        let wire = match &message.payload {
            Payload::Status(status) => {
                peer::Message::Rank(peer::Announcement { service, status: status.clone() })
            }
            Payload::Plan(plan) => peer::Message::Plan(plan.clone()),
        };
        let bytes = postcard::to_stdvec(&wire).expect("serializable message").len() + HEADER_BYTES;
        self.contents.push(message.payload);
        for to in message.to {
            let SocketAddr::V4(to) = to else { continue };
            self.transmit(index, usize::from(to.ip().octets()[3]), bytes);
        }
    }

    /// Sends the last message over the links of both VMs.
    fn transmit(&mut self, from: usize, to: usize, bytes: usize) {
        let now = self.now as f64;
        let transmit_ms = if self.limits.links { bytes as f64 / LINK_BYTES_PER_MS } else { 0.0 };
        let sender = &mut self.vms[from];
        sender.bytes += bytes;
        let sent = sender.uplink_busy_until.max(now) + transmit_ms;
        if sent - now > MAX_BACKLOG_MS {
            self.lost += 1;
            return;
        }
        sender.uplink_busy_until = sent;
        let receiver = &mut self.vms[to];
        let received = receiver.downlink_busy_until.max(sent) + transmit_ms;
        if received - sent > MAX_BACKLOG_MS {
            self.lost += 1;
            return;
        }
        receiver.downlink_busy_until = received;
        let message = self.contents.len() - 1;
        self.messages.push(Reverse((received.ceil() as u64 + 1, message, to)));
    }

    fn finish_copy(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        if vm.copying.as_ref().is_some_and(|(until, ..)| *until <= self.now as f64) {
            vm.prepared = vm.copying.take().map(|(_, version, map)| (version, map));
        }
    }

    fn execute_order(&mut self, index: usize, order: Order) {
        let started = self.step;
        let now = self.now as f64;
        let vm = &mut self.vms[index];
        match order {
            Order::Prepare { version, map, .. } if vm.copying.is_none() && vm.armed.is_none() => {
                let of = |map: &Map| map.0.iter().map(|set| set[index].clone()).collect::<Vec<_>>();
                let pairs = of(&map).into_iter().zip(of(&vm.map.1));
                let new = pairs.map(|(new, old)| new.iter().filter(|e| !old.contains(e)).count());
                vm.copying = Some((now + new.sum::<usize>() as f64 * COPY_MS, version, map));
            }
            Order::Arm { armed, .. } if armed.step > started => vm.armed = Some(armed),
            Order::Hold { step, .. } if step > started => vm.held = Some(step),
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

    fn begin_pass(&mut self) {
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
                vm.map = vm.prepared.take().expect("armed rank has a prepared map");
            }
        }
        let version = self.vms[0].map.0;
        assert!(
            self.vms.iter().all(|vm| vm.map.0 == version),
            "pass {next} started with different map versions"
        );
        if version != before {
            self.changed_at.push(self.now);
        }
    }

    /// Highest rank load relative to the mean, over all sets.
    fn imbalance(&self) -> f64 {
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

/// Selections per expert, set after set.
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

fn round_robin_map() -> Map {
    let held = |rank: usize| {
        (0..SHAPE.experts).filter(move |e| e % RANKS == rank).map(|e| e as u16).collect()
    };
    Map(vec![(0..RANKS).map(held).collect(); SHAPE.sets])
}

fn new_vm(rank: usize) -> Vm {
    let mut agent = Agent::new(address(rank), rank as u64);
    agent.set_shape(SHAPE);
    let mut outbox = Outbox::new();
    outbox.add_peers((0..RANKS).filter(|&other| other != rank).map(address));
    Vm {
        agent,
        outbox,
        busy_until: 0.0,
        next_turn_at: rank as u64 % TURN_MS,
        uplink_busy_until: 0.0,
        downlink_busy_until: 0.0,
        bytes: 0,
        map: (0, round_robin_map()),
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
    let mut sim = Simulation::new(limits);
    sim.run(DEMAND_SHIFT_MS);
    sim.weights = weights(1);
    let before = sim.imbalance();

    sim.run(2 * DEMAND_SHIFT_MS);

    let after = sim.imbalance();
    let max_bytes = sim.vms.iter().map(|vm| vm.bytes).max().unwrap_or_default() as u64;
    println!(
        "{before:.2} -> {after:.2}, changes at {:?} ms, held {} passes, {} messages lost, {} B/s",
        sim.changed_at,
        sim.held_passes,
        sim.lost,
        max_bytes * 1_000 / (2 * DEMAND_SHIFT_MS)
    );
    assert!(after < 1.0 + (before - 1.0) / 2.0, "{before:.2} -> {after:.2}");
}
