//! Traces of drifting loads, the methods that answer them, and a model of the step time.

pub mod chart;
pub mod method;
pub mod replan;
pub mod report;
pub mod timing;
pub mod trace;

use agateflow::plan::{cost, problem};
use agateflow::unit;

use crate::measure::drift::{method::Method, report::Report, trace::Trace};

/// Size of the weights of one expert of one layer.
pub const EXPERT_SIZE: unit::Bytes = unit::Bytes::new(64 << 20);
/// Rate of the weight store that the group may use, in a second.
pub const STORE_RATE: unit::Bytes = unit::Bytes::new(1 << 30);

/// Runs every method over every trace.
pub fn run() -> Vec<Report> {
    let mut reports = Vec::new();
    for trace in Trace::ALL {
        let samples = trace.samples();
        let methods = Method::ALL.iter().map(|&method| follow(method, trace, &samples));
        reports.push(Report { trace, methods: methods.collect() });
    }
    reports
}

/// Runs one method over the samples of a trace.
fn follow(method: Method, trace: Trace, samples: &[trace::Sample]) -> report::Result {
    let mut state = method::State::new(method, &samples[0]);
    let mut result = report::Result::new(method);
    for sample in samples {
        let map = state.decide(sample);
        let problem = problem_of(sample);
        if map.layers.iter().flat_map(|l| &l.experts).any(Vec::is_empty) {
            result.stall();
            continue;
        }
        let cost = cost::Cost::new(&problem, map);
        result.record(sample.at, &cost);
        state.observe(sample);
    }
    result.moves = state.moves();
    result.finish(trace);
    result
}

/// The planning problem of a sample's live ranks.
pub fn problem_of(sample: &trace::Sample) -> problem::Problem {
    let live = sample.ranks.iter().filter(|r| r.live);
    problem::Problem {
        ranks: live
            .map(|r| problem::Rank { name: r.name.clone(), speed: r.speed, slots: trace::SLOTS })
            .collect(),
        layers: sample.loads.iter().map(|l| problem::Layer { load: l.clone() }).collect(),
        current: None,
        weights: problem::Weights { skew: 1.0, moves: 0.0 },
    }
}
