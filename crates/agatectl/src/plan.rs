//! `agatectl plan`: plans one expert map.

use std::fs;
use std::io;
use std::path::Path;

use agateflow::plan;
use agateflow::plan::{check, document};
use clap::{Arg, ArgMatches, Command};

use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::output;

const STANDARD_INPUT: &str = "-";

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("plan").about("Plans the expert map of one group").arg(
        Arg::new("file").value_name("FILE").required(true).help("Problem, - for standard input"),
    )
}

/// Runs the subcommand.
///
/// # Errors
///
/// [`Error::File`] if the problem cannot be read, [`Error::Step`] if it is impossible.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let Some(file) = matches.get_one::<String>("file") else {
        return Ok(ExitCode::Usage);
    };
    let failed = |e| Error::step("plan", e);
    let problem = document::parse(&read(file)?).map_err(failed)?;
    let map = plan::plan(&problem);
    check::map(&problem, &map).map_err(failed)?;
    output::print_json(&document::Plan::new(&problem, map))?;
    Ok(ExitCode::Success)
}

fn read(file: &str) -> Result<String, Error> {
    if file == STANDARD_INPUT {
        let failed = |e| Error::file("read", "standard input".as_ref(), e);
        return io::read_to_string(io::stdin().lock()).map_err(failed);
    }
    fs::read_to_string(file).map_err(|e| Error::file("read", Path::new(file), e))
}
