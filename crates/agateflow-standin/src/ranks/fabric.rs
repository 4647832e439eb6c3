//! State shared by the ranks of a group: the barrier of each step, loads and counters.

use std::sync::{Mutex, MutexGuard};

use agateflow::id;
use agateflow::unit;
use indexmap::IndexMap;
use tokio::sync::watch;

use super::rank::{Command, Ran, Rank, Status};
use super::{Options, busy};
use crate::engine::Order;
use crate::fault::lock;

/// Steps whose records are kept for the comparison between ranks.
const COMPARED: usize = 64;

/// Counts of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Steps that at least one rank completed.
    pub steps: u64,
    /// Steps in which two ranks, one of which counted on the other, used different maps or knew
    /// different members.
    pub mixed: u64,
    /// Steps of a rank on a map with an expert that was not loaded.
    pub unloaded: u64,
    /// Experts loaded.
    pub loads: u64,
}

#[derive(Clone, Debug, Default)]
struct Step {
    arrived: Vec<Box<str>>,
    ran: Vec<(Box<str>, Ran)>,
    mixed: bool,
}

struct Inner {
    ranks: Vec<Rank>,
    load: Vec<Vec<f64>>,
    loading: unit::Micros,
    steps: IndexMap<u64, Step>,
    counters: Counters,
}

/// The group's shared state.
pub struct Fabric {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

impl Fabric {
    /// Creates the state of ranks that run no step yet.
    pub fn new(ranks: &[(id::Rank, f64)], options: Options) -> Self {
        let rank =
            |(name, speed): &(id::Rank, f64)| Rank::new(name.as_str(), *speed, options.fencing);
        let inner = Inner {
            ranks: ranks.iter().map(rank).collect(),
            load: options.load,
            loading: options.loading,
            steps: IndexMap::new(),
            counters: Counters::default(),
        };
        Self { inner: Mutex::new(inner), changed: watch::Sender::new(0) }
    }

    /// Follows changes of the state.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Clears the state of a rank whose process starts.
    pub fn reset(&self, rank: usize) {
        self.change(|inner| inner.ranks[rank].reset());
    }

    /// Sends an order to a rank, or returns the newer fencing token that rejects it.
    pub fn accept(&self, rank: usize, order: Order, command: Command) -> Result<(), u64> {
        self.change(|inner| inner.ranks[rank].accept(order, command))
    }

    /// Loads a missing expert of a rank once its time has passed; the time to wait before.
    pub fn missing(&self, rank: usize) -> Option<((usize, usize), unit::Micros)> {
        let inner = self.lock();
        inner.ranks[rank].missing().map(|expert| (expert, inner.loading))
    }

    /// Records that a rank has loaded an expert.
    pub fn load(&self, rank: usize, expert: (usize, usize)) {
        self.change(|inner| {
            inner.counters.loads += 1;
            inner.ranks[rank].load(expert);
        });
    }

    /// Begins a rank's next step, with the time that it takes; `None` if it takes part in none.
    pub fn begin(&self, rank: usize) -> Option<Ran> {
        let mut inner = self.lock();
        let turn = inner.ranks[rank].turn()?;
        let own = &inner.ranks[rank];
        let busy = busy(&own.name, own.speed, &inner.load, &turn.map);
        Some(Ran { busy, ..turn.ran })
    }

    /// Records that a rank has finished its part of a step and waits for the others.
    pub fn arrive(&self, rank: usize, step: u64) {
        self.change(|inner| {
            let name = inner.ranks[rank].name.clone();
            let arrived = &mut inner.steps.entry(step).or_default().arrived;
            if !arrived.contains(&name) {
                arrived.push(name);
            }
        });
    }

    /// Completes a step of a rank if all ranks that it counts on have arrived.
    pub fn complete(&self, rank: usize, ran: &Ran) -> bool {
        let mut inner = self.lock();
        let arrived = inner.steps.get(&ran.step).map(|step| step.arrived.as_slice());
        let arrived = arrived.unwrap_or_default();
        if !ran.members.iter().all(|name| arrived.contains(name)) {
            return false;
        }
        inner.record(rank, ran);
        let unloaded = !inner.ranks[rank].has_loaded(ran.version);
        inner.counters.unloaded += u64::from(unloaded);
        inner.ranks[rank].complete(ran.clone());
        drop(inner);
        self.changed.send_modify(|changes| *changes += 1);
        true
    }

    /// The state of a rank.
    pub fn status(&self, rank: usize) -> Status {
        self.lock().ranks[rank].status()
    }

    /// The steps from `from` on that a rank ran.
    pub fn ran(&self, rank: usize, from: u64) -> Vec<Ran> {
        let inner = self.lock();
        inner.ranks[rank].ran.iter().filter(|ran| ran.step >= from).cloned().collect()
    }

    /// The load of each expert of each layer.
    pub fn expert_load(&self) -> Vec<Vec<f64>> {
        self.lock().load.clone()
    }

    /// Changes the speed of a rank.
    pub fn set_speed(&self, rank: usize, speed: f64) {
        self.lock().ranks[rank].speed = speed;
    }

    /// Changes the load of the experts.
    pub fn set_load(&self, load: Vec<Vec<f64>>) {
        self.lock().load = load;
    }

    /// The counts so far.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    fn change<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        let result = change(&mut self.lock());
        self.changed.send_modify(|changes| *changes += 1);
        result
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Inner {
    /// Records a rank's step and compares it with those of the ranks that share it.
    fn record(&mut self, rank: usize, ran: &Ran) {
        let name = self.ranks[rank].name.clone();
        let step = self.steps.entry(ran.step).or_default();
        self.counters.steps += u64::from(step.ran.is_empty());
        let differs = |(other, theirs): &(Box<str>, Ran)| {
            let shared = ran.members.contains(other) || theirs.members.contains(&name);
            shared && (theirs.version != ran.version || theirs.members != ran.members)
        };
        if !step.mixed && step.ran.iter().any(differs) {
            step.mixed = true;
            self.counters.mixed += 1;
        }
        step.ran.push((name, ran.clone()));
        if self.steps.len() > COMPARED {
            self.steps.shift_remove_index(0);
        }
    }
}
