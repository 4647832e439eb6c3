//! `agatectl measure steps`: skew and step time of the planner under drift, beside its baselines.

use std::path::Path;

use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::measure::drift;
use crate::measure::drift::chart;
use crate::output;

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("steps")
        .about("Measures skew and step time under drift")
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
        output::print_json(&reports)?;
    } else {
        output::print(&drift::report::step_table(&reports))?;
    }
    Ok(ExitCode::Success)
}
