//! `agatectl measure rebalance`: the cost of moving experts under drift, beside its baselines.

use std::path::Path;

use clap::{Arg, ArgAction, ArgMatches, Command};
use serde::Serialize;

use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::measure::drift;
use crate::measure::drift::{chart, report, timing};
use crate::output;

/// What the measurement prints.
#[derive(Serialize)]
struct Output<'a> {
    traces: &'a [report::Report],
    timing: &'a [timing::Timing],
}

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("rebalance")
        .about("Measures slots moved and time spent on loads under drift")
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON"))
        .arg(Arg::new("svg").long("svg").value_name("FILE").help("Also plot skews over time"))
}

/// Runs the subcommand.
///
/// # Errors
///
/// As those of the output and the plot.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let reports = drift::run();
    if let Some(path) = matches.get_one::<String>("svg") {
        chart::write(Path::new(path), &reports)?;
    }
    if matches.get_flag("json") {
        output::print_json(&Output { traces: &reports, timing: &timing::run() })?;
    } else {
        let times = report::time_table(&timing::run());
        output::print(&format!("{}\n{times}", report::load_table(&reports)))?;
    }
    Ok(ExitCode::Success)
}
