//! Exhaustive breadth-first exploration of the agreement with three ranks and two coordinators.
//!
//! Packets stay in the network forever, and any of them may be delivered at any point: that covers
//! loss, duplication and reordering. A process that is not run is paused.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use agateflow::group::{coordinator, instance, message, rank};
use agateflow::{id, unit};
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rstest::rstest;

const RANKS: usize = 3;
const LAST_STEP: u64 = 4;
const MAX_PACKETS: usize = 256;
const NOW: unit::Millis = unit::Millis::ZERO;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    /// No fault.
    Nothing,
    /// A rank also obeys lower terms, as if it had not promised the higher one.
    Promise,
    /// A restarted rank keeps its incarnation.
    Incarnation,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Packet {
    Rank(instance::Peer, rank::Input),
    Coordinator(id::Incarnation, message::Answer),
}

/// How a step was run: step, instance, map and membership.
type Execution = (u64, instance::Instance, instance::Version, instance::Membership);

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct BitSet([u64; MAX_PACKETS / 64]);

impl BitSet {
    fn insert(&mut self, index: u16) {
        self.0[usize::from(index) / 64] |= 1 << (index % 64);
    }

    fn iter(self) -> impl Iterator<Item = u16> {
        (0u16..).zip(self.0).flat_map(|(word, mut bits)| {
            std::iter::from_fn(move || {
                let bit = bits.trailing_zeros() as u16;
                bits &= bits.wrapping_sub(1);
                (bit < 64).then_some(word * 64 + bit)
            })
        })
    }
}

/// A state of the whole system, as indices into the sets of the [`Explorer`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct State {
    /// The ranks, and a copy of the one that breaks its promise.
    ranks: [Option<u32>; RANKS + 1],
    coordinators: [u32; 2],
    network: BitSet,
    executions: BitSet,
    forms: [usize; 2],
    changes: usize,
    restarts: usize,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Action {
    Deliver(u16, usize),
    Ready(usize),
    Restart(usize),
    Formation(usize),
    ChangeMap,
}

/// Effect of an input on a rank.
struct Effect {
    after: u32,
    packets: Vec<u16>,
    executions: Vec<u16>,
    /// Whether a rank that takes part in steps promises a higher term.
    promises: bool,
}

struct Explorer {
    fault: Fault,
    ranks: IndexSet<rank::Rank>,
    coordinators: IndexSet<coordinator::Coordinator>,
    packets: IndexSet<Packet>,
    executions: IndexSet<Execution>,
    effects: HashMap<(u32, Option<u16>), Rc<Effect>>,
    answers: HashMap<(u32, u16), (u32, Vec<u16>)>,
    /// Members of each term that the two coordinators may form.
    forms: [Vec<&'static str>; 2],
}

fn peer(number: usize, incarnation: u128) -> instance::Peer {
    instance::Peer { number: number as u16, incarnation: id::Incarnation::new(incarnation) }
}

fn version(number: u64) -> instance::Version {
    instance::Version { number, digest: instance::Digest::of(&number.to_le_bytes()) }
}

impl Explorer {
    fn new(fault: Fault, forms: [Vec<&'static str>; 2]) -> Self {
        Self {
            fault,
            ranks: IndexSet::new(),
            coordinators: IndexSet::new(),
            packets: IndexSet::new(),
            executions: IndexSet::new(),
            effects: HashMap::new(),
            answers: HashMap::new(),
            forms,
        }
    }

    fn start(&mut self) -> State {
        let ranks = [0, 1, 2].map(|n| Some(self.rank(rank::Rank::new(peer(n, n as u128)))));
        let coordinators = [0, 1].map(|n| coordinator::Coordinator::new(peer(n, n as u128)));
        State {
            ranks: [ranks[0], ranks[1], ranks[2], None],
            coordinators: coordinators.map(|c| self.coordinator(c)),
            network: BitSet([0; MAX_PACKETS / 64]),
            executions: BitSet([0; MAX_PACKETS / 64]),
            forms: [0; 2],
            changes: 0,
            restarts: 0,
        }
    }

    fn rank(&mut self, rank: rank::Rank) -> u32 {
        self.ranks.insert_full(rank).0 as u32
    }

    fn coordinator(&mut self, coordinator: coordinator::Coordinator) -> u32 {
        self.coordinators.insert_full(coordinator).0 as u32
    }

    fn packet(&mut self, packet: Packet) -> u16 {
        let index = self.packets.insert_full(packet).0;
        assert!(index < MAX_PACKETS, "more than {MAX_PACKETS} packets");
        index as u16
    }

    fn rank_at(&self, state: &State, slot: usize) -> Option<&rank::Rank> {
        state.ranks[slot].map(|index| &self.ranks[index as usize])
    }

    fn me(&self, state: &State, slot: usize) -> instance::Peer {
        self.rank_at(state, slot).expect("a rank").me()
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = Vec::new();
        for index in state.network.iter() {
            let receives = |slot: &usize| match &self.packets[usize::from(index)] {
                Packet::Rank(to, _) => {
                    self.rank_at(state, *slot).is_some_and(|rank| rank.me() == *to)
                }
                Packet::Coordinator(to, _) => *slot < 2 && self.me(state, *slot).incarnation == *to,
            };
            let slots = (0..=RANKS).filter(receives);
            actions.extend(slots.map(|slot| Action::Deliver(index, slot)));
        }
        for slot in 0..=RANKS {
            let rank = self.rank_at(state, slot);
            if rank.is_some_and(|r| r.version().is_some() && r.next() <= LAST_STEP) {
                actions.push(Action::Ready(slot));
            }
        }
        if state.restarts > 0 {
            actions.extend((0..RANKS).map(Action::Restart));
        }
        let left = (0..2).filter(|c| state.forms[*c] < self.forms[*c].len());
        actions.extend(left.map(Action::Formation));
        if state.changes > 0 {
            actions.push(Action::ChangeMap);
        }
        actions
    }

    /// The state after an action, or an execution that contradicts an earlier one.
    fn apply(&mut self, state: &State, action: Action) -> Result<State, Execution> {
        let mut state = *state;
        match action {
            Action::Deliver(index, slot) => {
                if let Packet::Rank(..) = self.packets[usize::from(index)] {
                    self.run_rank(&mut state, slot, Some(index))?;
                } else {
                    self.answer(&mut state, slot, index);
                }
            }
            Action::Ready(slot) => self.run_rank(&mut state, slot, None)?,
            Action::Restart(slot) => self.restart(&mut state, slot),
            Action::Formation(slot) => self.form(&mut state, slot),
            Action::ChangeMap => {
                state.changes -= 1;
                self.run_coordinator(&mut state, 0, coordinator::Input::ChangeMap(version(2)));
            }
        }
        Ok(state)
    }

    fn restart(&mut self, state: &mut State, slot: usize) {
        state.restarts -= 1;
        let mut me = self.me(state, slot);
        if self.fault != Fault::Incarnation {
            me.incarnation = id::Incarnation::new(me.incarnation.get() + 100);
        }
        state.ranks[slot] = Some(self.rank(rank::Rank::new(me)));
        if slot < 2 {
            state.coordinators[slot] = self.coordinator(coordinator::Coordinator::new(me));
        }
    }

    fn form(&mut self, state: &mut State, slot: usize) {
        let letters = self.forms[slot][state.forms[slot]];
        state.forms[slot] += 1;
        let member = |letter: u8| instance::Member {
            peer: self.me(state, usize::from(letter - b'a')),
            role: instance::Role::Both,
        };
        let form = coordinator::Formation {
            revision: unit::Revision::new(1),
            membership: instance::Membership::new(letters.bytes().map(member).collect()),
            leaving: Vec::new(),
            candidates: vec![coordinator::Candidate {
                version: version(1),
                required: BTreeSet::new(),
            }],
        };
        if let Some(promised) = self.rank_at(state, slot).and_then(rank::Rank::promised) {
            let mut known = self.coordinators[state.coordinators[slot] as usize].clone();
            known.note(promised);
            state.coordinators[slot] = self.coordinator(known);
        }
        self.run_coordinator(state, slot, coordinator::Input::Formation(form));
    }

    fn run_coordinator(&mut self, state: &mut State, slot: usize, input: coordinator::Input) {
        let mut after = self.coordinators[state.coordinators[slot] as usize].clone();
        for output in after.handle(input, NOW) {
            if let coordinator::Output::Order(to, order) = output {
                let packet = self.packet(Packet::Rank(to, rank::Input::Order(order)));
                state.network.insert(packet);
            }
        }
        state.coordinators[slot] = self.coordinator(after);
    }

    fn answer(&mut self, state: &mut State, slot: usize, index: u16) {
        let key = (state.coordinators[slot], index);
        if !self.answers.contains_key(&key) {
            let Packet::Coordinator(_, answer) = self.packets[usize::from(index)].clone() else {
                panic!("packet is not for a coordinator")
            };
            let network = BitSet([0; MAX_PACKETS / 64]);
            let mut alone = State { network, ..*state };
            self.run_coordinator(&mut alone, slot, coordinator::Input::Answer(answer));
            let packets = alone.network.iter().collect();
            self.answers.insert(key, (alone.coordinators[slot], packets));
        }
        let (after, packets) = &self.answers[&key];
        state.coordinators[slot] = *after;
        packets.iter().for_each(|packet| state.network.insert(*packet));
    }

    fn run_rank(
        &mut self,
        state: &mut State,
        slot: usize,
        index: Option<u16>,
    ) -> Result<(), Execution> {
        let before = state.ranks[slot].expect("a rank");
        let effect = self.effect(before, index);
        state.ranks[slot] = Some(effect.after);
        effect.packets.iter().for_each(|packet| state.network.insert(*packet));
        if self.fault == Fault::Promise && effect.promises && state.ranks[RANKS].is_none() {
            state.ranks[RANKS] = Some(before);
        }
        effect.executions.iter().try_for_each(|execution| self.record_execution(state, *execution))
    }

    fn effect(&mut self, before: u32, index: Option<u16>) -> Rc<Effect> {
        if let Some(effect) = self.effects.get(&(before, index)) {
            return effect.clone();
        }
        let input = match index.map(|index| self.packets[usize::from(index)].clone()) {
            Some(Packet::Rank(_, input)) => input,
            Some(Packet::Coordinator(..)) => panic!("packet is not for a rank"),
            None => rank::Input::Ready,
        };
        let previous = self.ranks[before as usize].clone();
        let mut rank = previous.clone();
        let me = rank.me();
        let (mut packets, mut executions) = (Vec::new(), Vec::new());
        for output in rank.handle(input, NOW) {
            match output {
                rank::Output::Answer(term, answer) => {
                    packets.push(self.packet(Packet::Coordinator(term.coordinator, answer)));
                }
                rank::Output::Vote(to, vote) => {
                    packets.push(self.packet(Packet::Rank(to, rank::Input::Vote(vote))));
                }
                rank::Output::Load(version) => {
                    packets.push(self.packet(Packet::Rank(me, rank::Input::Loaded(version))));
                }
                rank::Output::Run(step) => {
                    let execution = (step.step, step.instance, step.version, step.membership);
                    executions.push(self.executions.insert_full(execution).0 as u16);
                }
                rank::Output::Mismatch(_)
                | rank::Output::Overdue(_)
                | rank::Output::Dropped(_)
                | rank::Output::Stalled(..)
                | rank::Output::Excluded(_) => {}
            }
        }
        let promises = previous.promised() < rank.promised() && previous.version().is_some();
        let after = self.rank(rank);
        let effect = Rc::new(Effect { after, packets, executions, promises });
        self.effects.insert((before, index), effect.clone());
        effect
    }

    /// Invariant: a step of one instance, or of overlapping memberships, has one execution.
    fn record_execution(&self, state: &mut State, index: u16) -> Result<(), Execution> {
        let execution = &self.executions[usize::from(index)];
        for known in state.executions.iter().map(|known| &self.executions[usize::from(known)]) {
            let related = known.1 == execution.1 || known.3.overlaps(&execution.3);
            if known.0 == execution.0 && related && known != execution {
                return Err(execution.clone());
            }
        }
        state.executions.insert(index);
        Ok(())
    }

    /// Delivers the packets that are `deliverable` in turn until nothing changes.
    fn deliver_all(&mut self, mut state: State, deliverable: fn(&Packet) -> bool) -> State {
        loop {
            let before = state;
            for action in self.actions(&state) {
                if let Action::Deliver(index, _) = action
                    && deliverable(&self.packets[usize::from(index)])
                {
                    state = self.apply(&state, action).expect("no contradiction");
                }
            }
            if state == before {
                return state;
            }
        }
    }

    /// Three ranks that have run the first step.
    fn running(&mut self) -> State {
        let mut state = self.start();
        self.form(&mut state, 0);
        self.deliver_all(state, |_| true)
    }

    /// Ranks a and c have voted for the second step, announcing the second map; b has not.
    fn partly_voted(&mut self) -> State {
        let mut state = self.running();
        self.run_coordinator(&mut state, 0, coordinator::Input::ChangeMap(version(2)));
        state = self.deliver_all(state, |_| true);
        for slot in [0, 2] {
            state = self.apply(&state, Action::Ready(slot)).expect("no contradiction");
        }
        self.deliver_all(state, |_| true)
    }

    /// The same, and b has asked for promises of a higher term.
    fn contested(&mut self) -> State {
        let state = self.partly_voted();
        self.request_promises(state)
    }

    /// The ranks have run the first step, then b has restarted and has asked for promises.
    fn restarted(&mut self) -> State {
        let mut state = self.running();
        state.restarts = 1;
        self.restart(&mut state, 1);
        self.request_promises(state)
    }

    /// Whether all ranks run a step again after a forms the group, within a few tries.
    fn recovers(&mut self, mut state: State) -> bool {
        self.forms[0] = vec!["abc"];
        (0..4).any(|_| {
            state.forms[0] = 0;
            self.form(&mut state, 0);
            state = self.deliver_all(state, |_| true);
            let before = state.executions;
            for slot in 0..RANKS {
                state = self.apply(&state, Action::Ready(slot)).expect("no contradiction");
            }
            state = self.deliver_all(state, |_| true);
            let latest =
                state.executions.iter().filter(|execution| !before.iter().any(|b| b == *execution));
            let executions: Vec<_> =
                latest.map(|execution| &self.executions[usize::from(execution)]).collect();
            executions.iter().any(|execution| execution.3.members().len() == RANKS)
        })
    }

    fn request_promises(&mut self, mut state: State) -> State {
        self.form(&mut state, 1);
        self.deliver_all(state, |packet| match packet {
            Packet::Rank(_, rank::Input::Order(order)) => matches!(order, message::Order::Load(..)),
            Packet::Rank(_, input) => matches!(input, rank::Input::Loaded(_)),
            Packet::Coordinator(_, answer) => matches!(answer, message::Answer::Loaded(..)),
        })
    }
}

/// Result of an exploration: number of states, and depth and execution of a contradiction.
#[derive(Debug)]
struct Exploration {
    states: usize,
    contradiction: Option<(usize, Execution)>,
}

fn explore(explorer: &mut Explorer, start: State, depth: usize) -> Exploration {
    let mut seen = HashSet::from([start]);
    let mut frontier = vec![start];
    for level in 1..=depth {
        let mut next = Vec::new();
        for state in &frontier {
            for action in explorer.actions(state) {
                match explorer.apply(state, action) {
                    Ok(after) if after != *state && seen.insert(after) => next.push(after),
                    Ok(_) => {}
                    Err(execution) => {
                        return Exploration {
                            states: seen.len(),
                            contradiction: Some((level, execution)),
                        };
                    }
                }
            }
        }
        frontier = next;
    }
    Exploration { states: seen.len(), contradiction: None }
}

#[rstest]
#[case::fresh(Explorer::start, [vec!["abc"], vec!["bc"]], 20, 63_614, 0)]
#[case::running(Explorer::running, [vec!["abc", "ab"], vec!["bc"]], 6, 16_886, 1)]
#[case::pair(Explorer::contested, [vec!["abc", "ab"], vec!["bc"]], 7, 24_721, 2)]
#[case::alone(Explorer::contested, [vec!["abc"], vec!["b", "bc"]], 8, 34_533, 3)]
fn no_step_has_two_ways(
    #[case] start: fn(&mut Explorer) -> State,
    #[case] forms: [Vec<&'static str>; 2],
    #[case] depth: usize,
    #[case] states: usize,
    #[case] executions: usize,
) {
    let mut explorer = Explorer::new(Fault::Nothing, forms);
    let mut start = start(&mut explorer);
    start.changes = 1;
    start.restarts = 1;

    let exploration = explore(&mut explorer, start, depth);

    assert_eq!(exploration.contradiction, None);
    assert_eq!(exploration.states, states);
    assert!(explorer.executions.len() >= executions, "{:?}", explorer.executions);
}

#[rstest]
#[case::promise(Fault::Promise, Explorer::contested)]
#[case::incarnation(Fault::Incarnation, Explorer::restarted)]
fn broken_variant_is_caught(#[case] fault: Fault, #[case] start: fn(&mut Explorer) -> State) {
    let mut explorer = Explorer::new(fault, [vec!["abc"], vec!["b"]]);
    let start = start(&mut explorer);

    let exploration = explore(&mut explorer, start, 10);

    assert!(exploration.contradiction.is_some(), "{exploration:?}");
}

/// Random walks from the same starts, beyond the depth of the exploration.
#[rstest]
#[case::running(Explorer::running, [vec!["abc", "ab", "abc"], vec!["bc", "bc", "b"]])]
#[case::fresh(Explorer::start, [vec!["abc", "ab", "abc"], vec!["bc", "b", "bc"]])]
fn random_walk_has_no_step_with_two_ways(
    #[case] start: fn(&mut Explorer) -> State,
    #[case] forms: [Vec<&'static str>; 2],
) {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(5);
    let (mut executions, mut recovered) = (0, 0);
    let mut result = Ok(());

    for _ in 0..40 {
        let mut explorer = Explorer::new(Fault::Nothing, forms.clone());
        let mut state = start(&mut explorer);
        state.changes = 2;
        state.restarts = 1;
        for _ in 0..500 {
            let actions = explorer.actions(&state);
            let newest = actions.iter().rev().take(12).copied().collect::<Vec<_>>();
            let pool = if rng.random_bool(0.7) { &newest } else { &actions };
            let Some(action) = pool.choose(&mut rng) else { break };
            match explorer.apply(&state, *action) {
                Ok(after) => state = after,
                Err(execution) => result = Err(execution),
            }
        }
        executions += state.executions.iter().count();
        recovered += usize::from(explorer.recovers(state));
    }

    assert_eq!(result, Ok(()));
    assert_eq!(recovered, 40);
    assert!(executions >= 80, "only {executions} executions of steps");
}
