//! `agatectl measure control`: what membership and configuration cost, and how fast they are.

mod document;
mod fit;
mod point;
mod report;
mod worker;

use std::fs;
use std::path::Path;

use clap::{Arg, ArgAction, ArgMatches, Command};
use tokio::runtime;

use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::output;

/// Sizes that run one after the other; those of one round run at the same time.
const ROUNDS: [&[point::Size]; 4] = [
    &[size(1, 1, 0, 8)],
    &[size(1, 4, 8, 8), size(1, 30, 30, 8), size(1, 10, 90, 8)],
    &[size(1, 60, 186, 8)],
    &[size(3, 20, 24, 1), size(7, 4, 24, 1)],
];

const fn size(data_centres: usize, entries: usize, upstreams: usize, group: usize) -> point::Size {
    point::Size { data_centres, entries, upstreams, group }
}

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("control")
        .about("Measures membership and configuration at several sizes on loopback")
        .arg(
            Arg::new("json").long("json").action(ArgAction::SetTrue).help("Prints results as JSON"),
        )
        .arg(
            Arg::new("markdown")
                .long("markdown")
                .action(ArgAction::SetTrue)
                .conflicts_with("json")
                .help("Prints the tables of the capacity page"),
        )
        .arg(
            Arg::new("from")
                .long("from")
                .value_name("FILE")
                .help("Takes the measurements from an earlier result in JSON"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// [`Error::Step`] if a process cannot start or a change does not come into force;
/// [`Error::File`] if the earlier result cannot be read.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let measured = match matches.get_one::<String>("from") {
        Some(path) => read(path.as_ref())?,
        None => measure()?,
    };
    let report = report::Report::new(measured);
    match matches.get_flag("json") {
        true => output::print_json(&report)?,
        false => output::print(&report.markdown())?,
    }
    Ok(if report.is_met() { ExitCode::Success } else { ExitCode::Failure })
}

fn read(path: &Path) -> Result<report::Measured, Error> {
    let text = fs::read_to_string(path).map_err(|e| Error::file("read", path, e))?;
    let value: serde_json::Value =
        serde_json::from_str(&text).map_err(|e| Error::step("read result", e))?;
    serde_json::from_value(value["measured"].clone()).map_err(|e| Error::step("read result", e))
}

fn measure() -> Result<report::Measured, Error> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| Error::step("build runtime", e))?;
    let mut memory = vec![report::Memory::new(&[], worker::resident_bytes()?)];
    let mut points = Vec::new();
    for (round, sizes) in ROUNDS.iter().enumerate() {
        let measured = sizes.iter().enumerate().map(|(index, size)| {
            let point = (round * ROUNDS.len() + index) as u8;
            point::measure(point, *size)
        });
        let measured = futures::future::try_join_all(measured);
        let (measured, fleets): (Vec<_>, Vec<_>) = runtime.block_on(measured)?.into_iter().unzip();
        // A single process shows its own memory only; its other figures need peers.
        points.extend(measured.into_iter().filter(|point| point.size.members() > 1));
        memory.push(report::Memory::new(sizes, worker::resident_bytes()?));
        drop(fleets);
    }
    Ok(report::Measured { document_bytes: document::text(1).len(), points, memory })
}
