//! Methods that answer a drift: the planner with either profile, and its baselines.

use agateflow::plan;
use agateflow::plan::{control, cost, load, map, pace, problem};
use agateflow::{id, unit};
use serde::Serialize;

use crate::measure::drift;
use crate::measure::drift::{replan, trace};

/// Time between two full re-plans.
const INTERVAL: unit::Millis = unit::Millis::new(60_000);
/// Time between two decisions of the planner on moves.
const MOVE_INTERVAL: unit::Millis = unit::Millis::new(5000);
/// Slots that one decision of the planner loads at most.
const BATCH: usize = 64;
/// Time by which load reports lag behind.
const LAG: unit::Millis = unit::Millis::new(1000);
/// Time constant of the load averages.
const DECAY: unit::Millis = unit::Millis::new(5000);

/// A method.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Method {
    /// The static even map.
    Static,
    /// Full greedy replicate-and-pack plan at each interval, even shares, blind to speeds.
    Replan,
    /// The same with measured speeds and the best shares.
    ReplanWeighted,
    /// The planner where skew weighs most.
    PlannerSkew,
    /// The planner where moves weigh most.
    PlannerMoves,
}

impl Method {
    /// All methods.
    pub const ALL: [Method; 5] = [
        Method::Static,
        Method::Replan,
        Method::ReplanWeighted,
        Method::PlannerSkew,
        Method::PlannerMoves,
    ];

    /// The name of the method.
    pub const fn name(self) -> &'static str {
        match self {
            Method::Static => "static",
            Method::Replan => "replan",
            Method::ReplanWeighted => "replan-weighted",
            Method::PlannerSkew => "planner-skew",
            Method::PlannerMoves => "planner-moves",
        }
    }

    const fn weights(self) -> problem::Weights {
        match self {
            Method::PlannerMoves => problem::Weights { skew: 0.1, moves: 1.0 },
            _ => problem::Weights { skew: 1.0, moves: 0.1 },
        }
    }
}

/// A method at work.
pub struct State {
    method: Method,
    control: control::Controller,
    queue: pace::Queue,
    group: id::Group,
    loading: Vec<(unit::Millis, pace::Transfer)>,
    store_free: unit::Millis,
    loads: load::Tracker,
    reports: Vec<(unit::Millis, Vec<Vec<f64>>)>,
    map: map::Map,
    live: Vec<bool>,
    next: unit::Millis,
    moves: usize,
}

impl State {
    /// Starts the method at the first sample: the planner and the re-plan from a plan for it.
    pub fn new(method: Method, sample: &trace::Sample) -> Self {
        let problem = drift::problem_of(sample);
        let map = match method {
            Method::Static => replan::even(&problem),
            Method::Replan => replan::pack(&problem, false),
            Method::ReplanWeighted => replan::pack(&problem, true),
            Method::PlannerSkew | Method::PlannerMoves => plan::plan(&problem),
        };
        let settings = control::Settings {
            weights: method.weights(),
            interval: MOVE_INTERVAL,
            decay: DECAY,
            batch: BATCH,
        };
        let ranks = problem.ranks;
        Self {
            method,
            control: control::Controller::new(settings, ranks, map.clone(), sample.at),
            queue: pace::Queue::new(drift::STORE_RATE, sample.at),
            group: id::Group::new("group").unwrap_or_else(|_| unreachable!()),
            loading: Vec::new(),
            store_free: sample.at,
            loads: load::Tracker::new(DECAY),
            reports: Vec::new(),
            map,
            live: vec![true; sample.ranks.len()],
            next: sample.at + INTERVAL,
            moves: 0,
        }
    }

    /// Slots moved so far.
    pub fn moves(&self) -> usize {
        self.moves
    }

    /// The map for the step at `sample`, decided from earlier steps alone.
    pub fn decide(&mut self, sample: &trace::Sample) -> &map::Map {
        self.report(sample.at);
        let lost = self.lose(sample);
        match self.method {
            Method::Static if lost => self.adopt(replan::even(&drift::problem_of(sample))),
            Method::Static => {}
            Method::Replan | Method::ReplanWeighted => self.replan(sample, lost),
            Method::PlannerSkew | Method::PlannerMoves => self.control(sample.at),
        }
        &self.map
    }

    /// Takes in what the step at `sample` showed.
    pub fn observe(&mut self, sample: &trace::Sample) {
        self.reports.push((sample.at + LAG, sample.loads.clone()));
        for (index, rank) in sample.ranks.iter().enumerate().filter(|(_, r)| r.live) {
            // One step's load and the time that the rank took for it.
            self.control.observe_rank(index, sample.at, rank.speed, 1.0);
        }
    }

    fn report(&mut self, now: unit::Millis) {
        let due = self.reports.iter().take_while(|(at, _)| *at <= now).count();
        for (at, loads) in self.reports.drain(..due) {
            let at = at.saturating_sub(LAG);
            self.control.observe_loads(at, &loads);
            self.loads.observe(at, &loads);
        }
    }

    fn lose(&mut self, sample: &trace::Sample) -> bool {
        let mut any = false;
        for (index, rank) in sample.ranks.iter().enumerate() {
            if self.live[index] && !rank.live {
                self.live[index] = false;
                self.control.mark_lost(index);
                self.queue.clear(&self.group);
                any = true;
            }
        }
        any
    }

    fn adopt(&mut self, map: map::Map) {
        self.moves += cost::moves(Some(&self.map), &map);
        self.map = map;
    }

    /// A full plan at each interval and at a loss, in force at once.
    fn replan(&mut self, sample: &trace::Sample, lost: bool) {
        let weighted = self.method == Method::ReplanWeighted;
        let loads = self.loads.forecast(sample.at);
        if loads.is_empty() {
            return;
        }
        let mut problem = drift::problem_of(sample);
        problem.layers = loads.into_iter().map(|load| problem::Layer { load }).collect();
        for rank in &mut problem.ranks {
            rank.speed = self.control.speed(&rank.name).unwrap_or(rank.speed);
        }
        if lost || sample.at >= self.next {
            self.next = sample.at + INTERVAL;
            self.adopt(replan::pack(&problem, weighted));
        }
        if weighted {
            problem.current = Some(self.map.clone());
            self.map = plan::reshare(&problem);
        }
    }

    fn control(&mut self, now: unit::Millis) {
        self.load(now);
        for output in self.control.decide(now) {
            match output {
                control::Output::Switch(map) => self.map = map,
                control::Output::Load(slot) => self.queue.push(pace::Transfer {
                    group: self.group.clone(),
                    layer: slot.layer,
                    expert: slot.expert,
                    rank: slot.rank,
                    size: drift::EXPERT_SIZE,
                }),
            }
        }
    }

    /// Finishes loads that are through and begins those that the queue gives.
    fn load(&mut self, now: unit::Millis) {
        let (done, loading): (Vec<_>, Vec<_>) =
            self.loading.drain(..).partition(|(end, _)| *end <= now);
        self.loading = loading;
        for (_, item) in done {
            self.queue.completed();
            let pace::Transfer { layer, expert, rank, .. } = item;
            self.control.mark_loaded(&control::Slot { layer, expert, rank });
        }
        while let Some(item) = self.queue.next(now) {
            let time = item.size.get() * 1000 / drift::STORE_RATE.get();
            self.store_free = self.store_free.max(now) + unit::Millis::new(time);
            self.moves += 1;
            self.loading.push((self.store_free, item));
        }
    }
}
