//! `agatectl measure routing`: time to first token and repeated prefill beside usual balancers, on
//! a small model of mixed engines, each with one queue.

mod engine;
mod policy;
mod run;

use clap::{Arg, ArgAction, ArgMatches, Command};
use serde::Serialize;

use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::output;

/// How many times better than the best baseline the p95 time to first token should be.
const GOAL: f64 = 1.3;

const SEEDS: [u64; 3] = [1, 2, 3];

/// One policy's result on one workload over all seeds.
#[derive(Debug, Serialize)]
struct Row {
    workload: &'static str,
    policy: &'static str,
    requests: usize,
    p50_first_token_ms: f64,
    p95_first_token_ms: f64,
    /// Prompt tokens processed though another engine held them, of all processed, in percent.
    repeated_prefill_percent: f64,
}

/// How a workload's result compares with its baselines.
#[derive(Debug, Serialize)]
struct Verdict {
    workload: &'static str,
    best_baseline: &'static str,
    times_better: f64,
    better: bool,
    goal: f64,
    goal_met: bool,
}

#[derive(Debug, Serialize)]
struct Report {
    seeds: [u64; 3],
    rows: Vec<Row>,
    verdicts: Vec<Verdict>,
}

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("routing")
        .about("Measures routing beside round robin, least in flight and two choices")
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON"))
}

/// Runs the subcommand.
///
/// # Errors
///
/// The errors of the output.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let mut rows = Vec::new();
    let mut verdicts = Vec::new();
    for workload in [run::Workload::Nightly, run::Workload::Burst] {
        let measured = policy::Kind::ALL.map(|kind| measure(workload, kind));
        verdicts.push(verdict(workload, &measured));
        rows.extend(measured);
    }
    let report = Report { seeds: SEEDS, rows, verdicts };
    if matches.get_flag("json") {
        output::print_json(&report)?;
    } else {
        output::print(&text(&report))?;
    }
    Ok(ExitCode::Success)
}

fn measure(workload: run::Workload, kind: policy::Kind) -> Row {
    let mut total = run::Result::default();
    for seed in SEEDS {
        total.add(run::run(workload, kind, seed));
    }
    total.first_token.sort_unstable();
    let at = |percent: usize| {
        let index = total.first_token.len().saturating_sub(1) * percent / 100;
        total.first_token.get(index).copied().unwrap_or_default() as f64 / 1e3
    };
    Row {
        workload: workload.as_str(),
        policy: kind.as_str(),
        requests: total.first_token.len(),
        p50_first_token_ms: at(50),
        p95_first_token_ms: at(95),
        repeated_prefill_percent: 100.0 * total.repeated as f64 / total.processed.max(1) as f64,
    }
}

fn verdict(workload: run::Workload, rows: &[Row]) -> Verdict {
    let p95 = |row: &&Row| row.p95_first_token_ms;
    let own = rows.iter().find(|row| row.policy == policy::Kind::Ledger.as_str());
    let own = own.as_ref().map_or(f64::INFINITY, p95);
    let others = rows.iter().filter(|row| row.policy != policy::Kind::Ledger.as_str());
    let best = others.min_by(|a, b| p95(a).total_cmp(&p95(b)));
    let times_better = best.as_ref().map_or(0.0, p95) / own;
    Verdict {
        workload: workload.as_str(),
        best_baseline: best.map_or("", |row| row.policy),
        times_better,
        better: times_better > 1.0,
        goal: GOAL,
        goal_met: times_better >= GOAL,
    }
}

fn text(report: &Report) -> String {
    let row = |row: &Row| {
        format!(
            "{} {}: {} requests, first token p50 {:.0} ms, p95 {:.0} ms, {:.1} % prefill repeated\n",
            row.workload,
            row.policy,
            row.requests,
            row.p50_first_token_ms,
            row.p95_first_token_ms,
            row.repeated_prefill_percent,
        )
    };
    let verdict = |v: &Verdict| {
        let met = if v.goal_met { "met" } else { "not met" };
        let (workload, times, best) = (v.workload, v.times_better, v.best_baseline);
        format!("{workload}: {times:.2} times better than {best}; goal {} {met}\n", v.goal)
    };
    let rows = report.rows.iter().map(row);
    rows.chain(report.verdicts.iter().map(verdict)).collect()
}
