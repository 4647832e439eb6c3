//! Command line of the daemon.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::log;

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct Config {
    /// File with the settings of the process.
    pub settings: PathBuf,
    /// Form of the log lines.
    pub log: log::Form,
}

/// Builds the command line.
pub fn command() -> Command {
    Command::new("agateflowd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs one process of an agateflow fleet: an entry or an upstream process")
        .after_help("Example:\n  agateflowd --log json entry.jsonc")
        .arg(
            Arg::new("settings")
                .required(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings of the process, JSON with comments"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FORM")
                .value_parser(["json", "terminal"])
                .default_value("json")
                .help("Form of the log lines on standard error"),
        )
}

impl Config {
    /// Reads the parsed command line.
    pub fn new(matches: &ArgMatches) -> Self {
        let form = matches.get_one::<String>("log").map(String::as_str);
        Self {
            settings: matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default(),
            log: if form == Some("terminal") { log::Form::Terminal } else { log::Form::Json },
        }
    }
}
