//! The command line: its subcommands and their dispatch.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::{check, demo, explain, load, measure, output, plan, status};

/// Builds the command line.
pub fn command() -> Command {
    Command::new("agatectl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Checks, plans, measures and inspects an agateflow fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check::command())
        .subcommand(plan::command())
        .subcommand(demo::command())
        .subcommand(load::command())
        .subcommand(measure::command())
        .subcommand(status::command())
        .subcommand(explain::command())
        .subcommand(completions())
}

fn completions() -> Command {
    Command::new("completions")
        .about("Prints a completion script for a shell")
        .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell)))
}

/// Runs the subcommand that `matches` names.
///
/// # Errors
///
/// The error of the subcommand.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    match matches.subcommand() {
        Some(("check", matches)) => check::run(matches),
        Some(("plan", matches)) => plan::run(matches),
        Some(("demo", matches)) => demo::run(matches),
        Some(("load", matches)) => load::run(matches),
        Some(("measure", matches)) => measure::run(matches),
        Some(("status", matches)) => status::run(matches),
        Some(("explain", matches)) => explain::run(matches),
        Some(("completions", matches)) => print_completions(matches),
        _ => Ok(ExitCode::Usage),
    }
}

fn print_completions(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let Some(&shell) = matches.get_one::<Shell>("shell") else {
        return Ok(ExitCode::Usage);
    };
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command(), "agatectl", &mut script);
    output::print(&String::from_utf8_lossy(&script))?;
    Ok(ExitCode::Success)
}
