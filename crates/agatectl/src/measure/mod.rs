//! `agatectl measure`: measurements, each beside its baselines in the same run.

mod control;
mod drift;
mod limits;
mod outcomes;
mod path;
mod poison;
mod rebalance;
mod routing;
mod steps;

use clap::{ArgMatches, Command};

use crate::error::Error;
use crate::exit_codes::ExitCode;

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("measure")
        .about("Measures one part of the system beside its baselines")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(control::command())
        .subcommand(limits::command())
        .subcommand(outcomes::command())
        .subcommand(path::command())
        .subcommand(poison::command())
        .subcommand(rebalance::command())
        .subcommand(routing::command())
        .subcommand(steps::command())
}

/// Runs the measurement that `matches` names.
///
/// # Errors
///
/// The error of the measurement.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    match matches.subcommand() {
        Some(("control", matches)) => control::run(matches),
        Some(("limits", matches)) => limits::run(matches),
        Some(("outcomes", matches)) => outcomes::run(matches),
        Some(("path", matches)) => path::run(matches),
        Some(("poison", matches)) => poison::run(matches),
        Some(("rebalance", matches)) => rebalance::run(matches),
        Some(("routing", matches)) => routing::run(matches),
        Some(("steps", matches)) => steps::run(matches),
        _ => Ok(ExitCode::Usage),
    }
}
