//! `agatectl load`: sends an open-loop load and checks every answer.

mod check;
mod client;
mod driver;
pub mod mix;
mod request;
mod schedule;
mod summary;
mod table;

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use http::Uri;

pub use check::Verdict;
pub use client::{Pool, Target};
pub use driver::{Options, drive};
pub use request::{COMPLETIONS, Content};
pub use schedule::{Arrivals, Schedule};
pub use summary::{Answer, Summary};
pub use table::render;

use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::output;

const DEFAULT_RATE: &str = "50";
const DEFAULT_SECONDS: &str = "10";
const DEFAULT_TIMEOUT_SECONDS: &str = "60";
const MAX_THREADS: usize = 4;

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("load")
        .about("Sends requests at a set rate and checks every answer")
        .after_help(
            "Examples:\n  agatectl load --target http://127.0.0.1:8080 --rate 100 --seconds 30\n  \
             agatectl load --target http://127.0.0.1:8080 --mix mix.json --json\n\n\
             Exits with 1 if an answer was not its caller's own, was cut but presented as whole, \
             or came twice.",
        )
        .arg(target())
        .arg(service())
        .arg(option("mix", "FILE", "Mix of requests in JSON; --print-mix shows the default"))
        .arg(flag("print-mix", "Prints the mix and ends").conflicts_with("target"))
        .arg(number("rate", "N", "Requests a second", DEFAULT_RATE).value_parser(rate))
        .arg(
            option("arrivals", "KIND", "Distances between requests")
                .value_parser(value_parser!(Arrivals))
                .default_value("poisson"),
        )
        .arg(seconds("seconds", "Time over which requests start", DEFAULT_SECONDS))
        .arg(option("count", "N", "Most requests").value_parser(value_parser!(u64)))
        .arg(
            number("seed", "N", "Seed of the mix and the arrivals", "1")
                .value_parser(value_parser!(u64)),
        )
        .arg(seconds("timeout", "Time in which an answer must be whole", DEFAULT_TIMEOUT_SECONDS))
        .arg(flag("direct", "The target is an engine or service itself: no outcome is expected"))
        .arg(flag("json", "Prints the result as JSON"))
}

fn target() -> Arg {
    option("target", "URL", "Where requests are sent; may be given more than once")
        .required_unless_present("print-mix")
        .action(ArgAction::Append)
        .value_parser(base)
}

fn service() -> Arg {
    option("service", "URL", "Where calls of plain services are sent, if elsewhere")
        .action(ArgAction::Append)
        .value_parser(base)
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn number(
    name: &'static str,
    value: &'static str,
    help: &'static str,
    default: &'static str,
) -> Arg {
    option(name, value, help).default_value(default)
}

fn seconds(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    number(name, "S", help, default).value_parser(value_parser!(u64).range(1..=86_400))
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).action(ArgAction::SetTrue)
}

fn rate(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(rate) if rate.is_finite() && rate > 0.0 && rate <= 1_000_000.0 => Ok(rate),
        _ => Err("expected a number above 0, up to 1000000".into()),
    }
}

/// Reads the base of a URL, without a path.
fn base(text: &str) -> Result<Uri, String> {
    let uri: Uri = text.parse().map_err(|e| format!("{e}"))?;
    let plain = uri.scheme_str() == Some("http") && uri.authority().is_some();
    let bare = uri.path() == "/" && uri.query().is_none();
    if plain && bare { Ok(uri) } else { Err("expected a URL such as http://127.0.0.1:8080".into()) }
}

/// Runs the subcommand.
///
/// # Errors
///
/// [`Error::File`] or [`Error::Step`] if the mix cannot be read or the client not be started.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let mix = match matches.get_one::<String>("mix") {
        Some(path) => read_mix(path.as_ref())?,
        None => mix::Mix::default(),
    };
    if matches.get_flag("print-mix") {
        output::print_json(&mix)?;
        return Ok(ExitCode::Success);
    }
    let all = |name| matches.get_many::<Uri>(name).map(|uris| uris.cloned().collect::<Vec<_>>());
    let targets = all("target").unwrap_or_default();
    let services = all("service").unwrap_or_else(|| targets.clone());
    let target = Target {
        models: Arc::new(Pool::new(targets)),
        services: Arc::new(Pool::new(services)),
        direct: matches.get_flag("direct"),
    };
    let summary = runtime()?.block_on(drive(options(matches, target, mix), |_| {}))?;
    print(&summary, matches.get_flag("json"))?;
    Ok(if summary.is_clean() { ExitCode::Success } else { ExitCode::Failure })
}

fn read_mix(path: &Path) -> Result<mix::Mix, Error> {
    let text = fs::read_to_string(path).map_err(|e| Error::file("read", path, e))?;
    mix::Mix::parse(&text).map_err(|e| Error::step("read mix", format!("{}: {e}", path.display())))
}

fn options(matches: &ArgMatches, target: Target, mix: mix::Mix) -> Options {
    let number = |name| matches.get_one::<u64>(name).copied();
    let span = |name| Duration::from_secs(number(name).unwrap_or_default());
    let rate = matches.get_one::<f64>("rate").copied().unwrap_or_default();
    let arrivals = matches.get_one::<Arrivals>("arrivals").copied().unwrap_or_default();
    let schedule = Schedule::new(rate, span("seconds"))
        .with_arrivals(arrivals)
        .with_seed(number("seed").unwrap_or_default())
        .with_count(number("count").unwrap_or(u64::MAX));
    Options::new(target, mix, schedule).with_timeout(span("timeout"))
}

/// Builds a runtime for the load's own work.
///
/// # Errors
///
/// [`Error::Step`] if the threads cannot be started.
pub fn runtime() -> Result<tokio::runtime::Runtime, Error> {
    let threads = thread::available_parallelism().map_or(1, usize::from).min(MAX_THREADS);
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .map_err(|e| Error::step("start runtime", e))
}

fn print(summary: &Summary, json: bool) -> Result<(), Error> {
    if json {
        return output::print_json(summary);
    }
    output::print(&render(summary))
}
