//! `agatectl check`: checks settings and configuration files.

use std::fs;
use std::io;
use std::io::Read;
use std::path::Path;

use agateflow::config;
use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::output;

const EXAMPLES: &str = "\
Examples:
  agatectl check fleet.jsonc               check a configuration
  agatectl check settings/*.jsonc          check the settings of many processes
  python3 fleet.py | agatectl check -      check what a program prints
  agatectl check --schema configuration    print the JSON Schema of configurations";

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("check")
        .about("Checks settings and configuration files")
        .long_about(
            "Checks settings and configuration files. Prints nothing if all are good; otherwise \
             prints each problem as FILE:LINE:COLUMN: PATH: MESSAGE and exits with 1.",
        )
        .after_help(EXAMPLES)
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .help("Files to check; - is standard input")
                .action(ArgAction::Append)
                .required_unless_present("schema"),
        )
        .arg(
            kind("kind")
                .help("Takes the files as this kind [default: told from their fields]")
                .conflicts_with("schema"),
        )
        .arg(kind("schema").help("Prints the JSON Schema of a kind").conflicts_with("files"))
}

fn kind(name: &'static str) -> Arg {
    let values = [config::Kind::Settings.as_str(), config::Kind::Configuration.as_str()];
    Arg::new(name).long(name).value_name("KIND").value_parser(values)
}

/// Runs the subcommand.
///
/// # Errors
///
/// [`Error::File`] if standard output cannot be written. A file that cannot be read is reported
/// like a bad one.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    if let Some(kind) = kind_of(matches, "schema") {
        output::print_json(&kind.schema())?;
        return Ok(ExitCode::Success);
    }
    let kind = kind_of(matches, "kind");
    let mut code = ExitCode::Success;
    for file in matches.get_many::<String>("files").into_iter().flatten() {
        if !is_good(file, kind) {
            code = ExitCode::Failure;
        }
    }
    Ok(code)
}

fn kind_of(matches: &ArgMatches, name: &str) -> Option<config::Kind> {
    matches.get_one::<String>(name).and_then(|text| text.parse().ok())
}

/// Checks one file and prints its problems.
fn is_good(file: &str, kind: Option<config::Kind>) -> bool {
    let bytes = match bytes_of(file) {
        Ok(bytes) => bytes,
        Err(error) => {
            output::print_error(&Error::file("read", Path::new(file), error));
            return false;
        }
    };
    let checked = config::decode(&bytes)
        .and_then(|text| kind.unwrap_or_else(|| config::Kind::guess(text)).check(text));
    let Err(problems) = checked else {
        return true;
    };
    for problem in problems.as_slice() {
        eprintln!("{file}:{problem}");
    }
    false
}

/// Reads a file up to the size limit and one byte more, which shows that it is too large.
fn bytes_of(file: &str) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let limit = config::MAX_BYTES as u64 + 1;
    match file {
        "-" => io::stdin().lock().take(limit).read_to_end(&mut bytes)?,
        _ => fs::File::open(file)?.take(limit).read_to_end(&mut bytes)?,
    };
    Ok(bytes)
}
