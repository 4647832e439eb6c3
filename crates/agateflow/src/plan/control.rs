//! Online control of a group's expert map.
//!
//! Shares are updated at each decision, as that costs only a new map version. Replicas move only at
//! intervals, when no earlier move is pending, and when the gain over the expected duration of the
//! load drift exceeds the weight of the moves. Experts of a lost rank get new replicas immediately.

use indexmap::IndexSet;

use crate::plan::{cost, decide, load, map, problem, shares, speed};
use crate::unit;

/// Period that a deployment's weights refer to: a move pays off if it gains more within this time.
const WEIGHT_PERIOD: unit::Millis = unit::Millis::new(60_000);
/// Bounds of the time over which the gain of a move is counted, in seconds.
const MIN_HORIZON: f64 = 20.0;
const MAX_HORIZON: f64 = 120.0;
/// Minimum reduction of the step time for which new shares are put in force, as a fraction.
const MIN_SHARE_GAIN: f64 = 0.002;
/// Maximum work of a plan in edge visits.
const MAX_WORK: u64 = 3_000_000;

/// Parameters of a [`Controller`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The deployment's weights.
    pub weights: problem::Weights,
    /// Time between decisions on moves.
    pub interval: unit::Millis,
    /// Time constant of the fast load average.
    pub decay: unit::Millis,
    /// Maximum slots that one decision loads, except for its first layer and uncovered experts.
    pub batch: usize,
}

/// A slot to load an expert's weights into.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Slot {
    /// The layer.
    pub layer: usize,
    /// The expert.
    pub expert: usize,
    /// Name of the rank.
    pub rank: Box<str>,
}

/// Action requested by the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Switch to the map at a step that all ranks agree on.
    Switch(map::Map),
    /// Load the weights of an expert, then call [`Controller::mark_loaded`].
    Load(Slot),
}

/// A planned layer that is waiting for weights to be loaded.
#[derive(Clone, Debug)]
struct Pending {
    layer: usize,
    replicas: map::Layer,
    missing: IndexSet<Slot>,
}

/// Controls the expert map of one group.
#[derive(Clone, Debug)]
pub struct Controller {
    settings: Settings,
    ranks: Vec<problem::Rank>,
    live: Vec<bool>,
    loads: load::Tracker,
    speeds: speed::Tracker,
    map: map::Map,
    pending: Vec<Pending>,
    next_moves: unit::Millis,
}

impl Controller {
    /// Creates a controller for a group that runs `map`. The first moves are planned one interval
    /// after `now`.
    pub fn new(
        settings: Settings,
        ranks: Vec<problem::Rank>,
        map: map::Map,
        now: unit::Millis,
    ) -> Self {
        let declared: Vec<f64> = ranks.iter().map(|r| r.speed).collect();
        Self {
            settings,
            live: vec![true; ranks.len()],
            speeds: speed::Tracker::new(&declared),
            loads: load::Tracker::new(settings.decay),
            ranks,
            map,
            pending: Vec::new(),
            next_moves: now + settings.interval,
        }
    }

    /// The map that the controller last requested, without the replicas of ranks lost since.
    pub fn map(&self) -> &map::Map {
        &self.map
    }

    /// The long-term speed of the rank `name` in load units per second, if the rank exists.
    pub fn speed(&self, name: &str) -> Option<f64> {
        let index = self.ranks.iter().position(|r| &*r.name == name)?;
        Some(self.speeds.long_term(index))
    }

    /// Records the loads of each layer's experts at time `at`.
    pub fn observe_loads(&mut self, at: unit::Millis, loads: &[Vec<f64>]) {
        self.loads.observe(at, loads);
    }

    /// Records that the rank at position `rank` processed `load` in `seconds` of compute time.
    pub fn observe_rank(&mut self, rank: usize, at: unit::Millis, load: f64, seconds: f64) {
        self.speeds.observe(rank, at, load, seconds);
    }

    /// Records the loss of the rank at position `rank` with its replicas. Cancels pending moves.
    pub fn mark_lost(&mut self, rank: usize) {
        let Some(live) = self.live.get_mut(rank) else {
            return;
        };
        *live = false;
        let name = self.ranks[rank].name.clone();
        for layer in &mut self.map.layers {
            layer.experts.iter_mut().for_each(|replicas| drop_rank(replicas, &name));
        }
        self.pending.clear();
    }

    /// Records that the rank at position `rank` joined, without replicas.
    pub fn mark_joined(&mut self, rank: usize) {
        if let Some(live) = self.live.get_mut(rank) {
            *live = true;
        }
    }

    /// Records that a slot is loaded. A planned layer is adopted once all its slots are loaded.
    pub fn mark_loaded(&mut self, slot: &Slot) {
        for pending in &mut self.pending {
            pending.missing.shift_remove(slot);
        }
    }

    /// Returns the actions to take at `now`; none until loads of all layers are known.
    pub fn decide(&mut self, now: unit::Millis) -> Vec<Output> {
        let loads = self.loads.forecast(now);
        if loads.len() != self.map.layers.len() {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        let finished = self.apply_finished();
        if self.reshare(&loads) || finished {
            outputs.push(Output::Switch(self.map.clone()));
        }
        if self.pending.is_empty() && (now >= self.next_moves || !self.covered()) {
            self.next_moves = now + self.settings.interval;
            outputs.extend(self.plan_moves(&loads).into_iter().map(Output::Load));
        }
        outputs
    }

    /// Adopts planned layers whose slots are all loaded. Returns whether there were any.
    fn apply_finished(&mut self) -> bool {
        let (done, waiting): (Vec<_>, Vec<_>) =
            self.pending.drain(..).partition(|p| p.missing.is_empty());
        self.pending = waiting;
        let any = !done.is_empty();
        for pending in done {
            self.map.layers[pending.layer] = pending.replicas;
        }
        any
    }

    fn covered(&self) -> bool {
        self.map.layers.iter().flat_map(|l| &l.experts).all(|replicas| !replicas.is_empty())
    }

    /// Sets optimal shares for the short-term speeds. Returns whether they gain enough for a new
    /// map version.
    fn reshare(&mut self, loads: &[Vec<f64>]) -> bool {
        if !self.covered() {
            return false;
        }
        let problem = self.problem(loads, speed::Tracker::short_term);
        let mut map = self.map.clone();
        shares::set(&problem, &mut map);
        let before = cost::Cost::new(&problem, &self.map).seconds;
        let after = cost::Cost::new(&problem, &map).seconds;
        let gains = before > after * (1.0 + MIN_SHARE_GAIN);
        if gains {
            self.map = map;
        }
        gains
    }

    /// Plans moves for the long-term speeds and returns the slots to load: none if the moves do not
    /// pay off, or if the remaining ranks cannot hold all experts.
    fn plan_moves(&mut self, loads: &[Vec<f64>]) -> Vec<Slot> {
        let mut problem = self.problem(loads, speed::Tracker::long_term);
        if problem.check().is_err() {
            return Vec::new();
        }
        if !self.covered() {
            return self.plan_coverage(&problem);
        }
        let horizon = self.loads.drift_seconds().clamp(MIN_HORIZON, MAX_HORIZON);
        problem.weights.moves *= WEIGHT_PERIOD.duration().as_secs_f64() / horizon;
        let plan = decide::plan_within(&problem, MAX_WORK);
        let mut changes = changes(&problem, &decide::reshare(&problem), plan);
        changes.sort_by(|a, b| b.gain.total_cmp(&a.gain));
        let mut remaining = self.settings.batch;
        for change in changes {
            let count = change.pending.missing.len();
            if count <= remaining || remaining == self.settings.batch {
                remaining = remaining.saturating_sub(count);
                self.pending.push(change.pending);
            }
        }
        self.missing_slots()
    }

    /// Plans the fewest moves that give each expert a replica.
    fn plan_coverage(&mut self, problem: &problem::Problem) -> Vec<Slot> {
        for (layer, replicas) in decide::reshare(problem).layers.into_iter().enumerate() {
            let missing = missing(layer, &self.map.layers[layer], &replicas);
            if !missing.is_empty() {
                self.pending.push(Pending { layer, replicas, missing });
            }
        }
        self.missing_slots()
    }

    /// The slots that pending layers are waiting for.
    fn missing_slots(&self) -> Vec<Slot> {
        self.pending.iter().flat_map(|p| &p.missing).cloned().collect()
    }

    fn problem(
        &self,
        loads: &[Vec<f64>],
        speed: impl Fn(&speed::Tracker, usize) -> f64,
    ) -> problem::Problem {
        let live = self.ranks.iter().enumerate().filter(|&(index, _)| self.live[index]);
        problem::Problem {
            ranks: live
                .map(|(index, rank)| problem::Rank {
                    speed: speed(&self.speeds, index),
                    ..rank.clone()
                })
                .collect(),
            layers: loads.iter().map(|load| problem::Layer { load: load.clone() }).collect(),
            current: Some(self.map.clone()),
            weights: self.settings.weights,
        }
    }
}

/// A layer that a plan changes, with its benefit.
struct Change {
    pending: Pending,
    /// Reduction of the layer's time per move, in units of the lower bound.
    gain: f64,
}

/// The layers of `plan` with slots that `reshared`, the current map with new shares, lacks.
fn changes(problem: &problem::Problem, reshared: &map::Map, plan: map::Map) -> Vec<Change> {
    let speed: f64 = problem.ranks.iter().map(|r| r.speed).sum();
    let mut changes = Vec::new();
    for (layer, replicas) in plan.layers.into_iter().enumerate() {
        let missing = missing(layer, &reshared.layers[layer], &replicas);
        if missing.is_empty() {
            continue;
        }
        let loads = &problem.layers[layer];
        let bound = loads.load.iter().sum::<f64>() / speed;
        let before = cost::slowest(problem, loads, &reshared.layers[layer]);
        let after = cost::slowest(problem, loads, &replicas);
        let gain = (before - after) / bound / missing.len() as f64;
        changes.push(Change { pending: Pending { layer, replicas, missing }, gain });
    }
    changes
}

fn drop_rank(replicas: &mut Vec<map::Replica>, name: &str) {
    replicas.retain(|r| &*r.rank != name);
    let sum: f64 = replicas.iter().map(|r| r.share).sum();
    let even = 1.0 / replicas.len().max(1) as f64;
    for replica in replicas {
        replica.share = if sum > 0.0 { replica.share / sum } else { even };
    }
}

/// Slots of `planned` that `current` lacks.
fn missing(layer: usize, current: &map::Layer, planned: &map::Layer) -> IndexSet<Slot> {
    let mut slots = IndexSet::new();
    for (expert, replicas) in planned.experts.iter().enumerate() {
        let held = &current.experts[expert];
        for replica in replicas {
            if !held.iter().any(|r| r.rank == replica.rank) {
                slots.insert(Slot { layer, expert, rank: replica.rank.clone() });
            }
        }
    }
    slots
}
