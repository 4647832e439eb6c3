//! `agatectl measure limits`: overshoot and unused share of a team's limit, with skewed arrival and
//! with one data centre cut off, beside static shares.

mod run;

use clap::{Arg, ArgAction, ArgMatches, Command};
use serde::Serialize;

use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::output;

/// Most admitted above the limit in any 10 s, in percent.
const OVERSHOOT_GOAL: f64 = 5.0;

/// Most of the limit that is refused to callers who ask for it, in percent.
const UNUSED_GOAL: f64 = 10.0;

const SEEDS: [u64; 3] = [1, 2, 3];

#[derive(Debug, Serialize)]
struct Row {
    arrival: &'static str,
    policy: &'static str,
    /// Worst over the seeds, in percent of the limit.
    overshoot_percent: f64,
    /// Mean over the seeds, in percent of what was asked for within the limit.
    unused_percent: f64,
    overshoot_goal_met: bool,
    unused_goal_met: bool,
}

#[derive(Debug, Serialize)]
struct Report {
    seeds: [u64; 3],
    entries: usize,
    limit_per_second: f64,
    overshoot_goal_percent: f64,
    unused_goal_percent: f64,
    rows: Vec<Row>,
}

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("limits")
        .about("Measures overshoot and unused share of a limit beside static shares")
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON"))
}

/// Runs the subcommand.
///
/// # Errors
///
/// [`Error::Step`] if the configuration of the model is rejected; the errors of the output.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let mut rows = Vec::new();
    for arrival in run::Arrival::ALL {
        for lending in [true, false] {
            rows.push(measure(arrival, lending)?);
        }
    }
    let report = Report {
        seeds: SEEDS,
        entries: run::ENTRIES,
        limit_per_second: run::LIMIT,
        overshoot_goal_percent: OVERSHOOT_GOAL,
        unused_goal_percent: UNUSED_GOAL,
        rows,
    };
    if matches.get_flag("json") {
        output::print_json(&report)?;
    } else {
        output::print(&text(&report))?;
    }
    Ok(ExitCode::Success)
}

fn measure(arrival: run::Arrival, lending: bool) -> Result<Row, Error> {
    let mut overshoot_percent: f64 = 0.0;
    let mut unused_percent = 0.0;
    for seed in SEEDS {
        let result = run::run(arrival, lending, seed)?;
        overshoot_percent = overshoot_percent.max(result.overshoot_percent);
        unused_percent += result.unused_percent / SEEDS.len() as f64;
    }
    Ok(Row {
        arrival: arrival.as_str(),
        policy: if lending { "agateflow" } else { "static" },
        overshoot_percent,
        unused_percent,
        overshoot_goal_met: overshoot_percent <= OVERSHOOT_GOAL,
        unused_goal_met: unused_percent <= UNUSED_GOAL,
    })
}

fn text(report: &Report) -> String {
    let met = |met: bool| if met { "met" } else { "not met" };
    let row = |row: &Row| {
        format!(
            "{} {}: overshoot {:.1} % (goal {} %: {}), unused {:.1} % (goal {} %: {})\n",
            row.arrival,
            row.policy,
            row.overshoot_percent,
            report.overshoot_goal_percent,
            met(row.overshoot_goal_met),
            row.unused_percent,
            report.unused_goal_percent,
            met(row.unused_goal_met),
        )
    };
    report.rows.iter().map(row).collect()
}
