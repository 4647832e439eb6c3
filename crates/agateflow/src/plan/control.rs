//! The planner at work: which lever to pull when, from cheap to dear.
//!
//! Shares follow each decision, as they cost nothing but a new map version. Slots move only at
//! intervals, when no earlier move is under way, and when the plan gains more over the expected life
//! of the drift than its moves weigh. A lost rank's experts are covered at once.

use indexmap::IndexSet;

use crate::plan::{cost, decide, load, map, problem, shares, speed};
use crate::unit;

/// Time for which the weights of a deployment are stated: a move pays if it gains more within it.
const WEIGHT_PERIOD: unit::Millis = unit::Millis::new(60_000);
/// Shortest and longest life of a drift that a move counts on, in seconds.
const MIN_HORIZON: f64 = 20.0;
const MAX_HORIZON: f64 = 120.0;
/// Part of the step time that new shares must gain.
const MIN_SHARE_GAIN: f64 = 0.002;
/// Work of a plan in edge visits.
const MAX_WORK: u64 = 3_000_000;

/// Settings of a controller.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The deployment's weights.
    pub weights: problem::Weights,
    /// Time between two decisions on moves.
    pub interval: unit::Millis,
    /// Time constant of the load averages.
    pub decay: unit::Millis,
    /// Most slots that one decision loads, but for those of uncovered experts.
    pub batch: usize,
}

/// One slot to load.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Slot {
    /// The layer.
    pub layer: usize,
    /// The expert.
    pub expert: usize,
    /// Name of the rank.
    pub rank: Box<str>,
}

/// What the controller wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Put the map in force from a step on that all ranks agree on.
    Switch(map::Map),
    /// Load the weights of an expert, then report [`Controller::loaded`].
    Load(Slot),
}

/// A planned layer that waits for loads.
#[derive(Clone, Debug)]
struct Pending {
    layer: usize,
    replicas: map::Layer,
    missing: IndexSet<Slot>,
}

/// Decides on the expert map of one group.
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
    /// Creates a controller for a group that runs `map`. Moves begin an interval after `now`.
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

    /// The map that the controller last asked for.
    pub fn map(&self) -> &map::Map {
        &self.map
    }

    /// The lasting speed of the rank `name` in load units a second, if there is such a rank.
    pub fn speed(&self, name: &str) -> Option<f64> {
        let index = self.ranks.iter().position(|r| &*r.name == name)?;
        Some(self.speeds.long_term(index))
    }

    /// Takes in the loads of each layer's experts as they were at `at`.
    pub fn observe_loads(&mut self, at: unit::Millis, loads: &[Vec<f64>]) {
        self.loads.observe(at, loads);
    }

    /// Takes in that the rank at position `rank` did `load` in `seconds` of its own time.
    pub fn observe_rank(&mut self, rank: usize, at: unit::Millis, load: f64, seconds: f64) {
        self.speeds.observe(rank, at, load, seconds);
    }

    /// Notes that the rank at position `rank` is lost with its replicas.
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

    /// Notes that the rank at position `rank` joined, without replicas.
    pub fn mark_joined(&mut self, rank: usize) {
        if let Some(live) = self.live.get_mut(rank) {
            *live = true;
        }
    }

    /// Notes that a slot is loaded. A layer comes into force with the last of its slots.
    pub fn mark_loaded(&mut self, slot: &Slot) {
        for pending in &mut self.pending {
            pending.missing.shift_remove(slot);
        }
    }

    /// Decides what to do at `now`.
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

    /// Puts the planned layers in the map whose loads are done; says whether there were any.
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

    /// Sets the best shares for the recent speeds; says whether they gain enough for a new version.
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

    /// Plans moves for the lasting speeds and returns the slots to load: none if they do not pay, or if
    /// the ranks left cannot hold all experts.
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

    /// Plans the least moves that give each expert a replica.
    fn plan_coverage(&mut self, problem: &problem::Problem) -> Vec<Slot> {
        for (layer, replicas) in decide::reshare(problem).layers.into_iter().enumerate() {
            let missing = missing(layer, &self.map.layers[layer], &replicas);
            if !missing.is_empty() {
                self.pending.push(Pending { layer, replicas, missing });
            }
        }
        self.missing_slots()
    }

    /// The slots that pending layers wait for.
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

/// A changed layer of a plan with its worth.
struct Change {
    pending: Pending,
    /// Gain of the objective for each move.
    gain: f64,
}

/// The layers that differ between `plan` and the map in force with new shares.
fn changes(problem: &problem::Problem, keep: &map::Map, plan: map::Map) -> Vec<Change> {
    let speed: f64 = problem.ranks.iter().map(|r| r.speed).sum();
    let mut changes = Vec::new();
    for (layer, replicas) in plan.layers.into_iter().enumerate() {
        let missing = missing(layer, &keep.layers[layer], &replicas);
        if missing.is_empty() {
            continue;
        }
        let loads = &problem.layers[layer];
        let bound = loads.load.iter().sum::<f64>() / speed;
        let before = cost::slowest(problem, loads, &keep.layers[layer]);
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
