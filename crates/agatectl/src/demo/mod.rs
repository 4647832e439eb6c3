//! `agatectl demo`: runs a whole fleet on loopback, with faults, and checks every answer.

mod balancer;
mod fleet;
mod platform;
pub mod ports;
pub mod process;
mod script;
mod summary;
mod truth;
mod watch;

use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::load;
use crate::output;

/// Time for processes to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time in which an answer must be whole.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs two data centres, their engines and a mix of requests on loopback")
        .after_help(
            "Examples:\n  agatectl demo\n  agatectl demo --seconds 30 --rate 80 --json\n\n\
             Engines crash, processes are killed and drained, and the configuration service goes \
             down while the requests run. Exits with 0 only if every answer was whole and its \
             caller's own; outcomes that callers were told are counted.",
        )
        .arg(
            number("seconds", "S", "Time over which requests start", "20")
                .value_parser(value_parser!(u64).range(5..=3600)),
        )
        .arg(
            number("rate", "N", "Requests a second", "40")
                .value_parser(value_parser!(u64).range(1..=2000)),
        )
        .arg(number("seed", "N", "Seed of the requests", "1").value_parser(value_parser!(u64)))
        .arg(
            Arg::new("no-faults")
                .long("no-faults")
                .help("Breaks nothing on the way")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Prints the result as JSON")
                .action(ArgAction::SetTrue),
        )
}

fn number(
    name: &'static str,
    value: &'static str,
    help: &'static str,
    default: &'static str,
) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help).default_value(default)
}

/// Runs the subcommand.
///
/// # Errors
///
/// [`Error::Step`] if the fleet cannot be started.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let summary = load::runtime()?.block_on(async {
        tokio::select! {
            summary = demo(matches) => summary,
            _ = tokio::signal::ctrl_c() => Err(Error::step("demo", "interrupted")),
        }
    })?;
    if matches.get_flag("json") {
        output::print_json(&summary)?;
    } else {
        output::print(&summary::render(&summary))?;
    }
    Ok(if summary.is_good() { ExitCode::Success } else { ExitCode::Failure })
}

async fn demo(matches: &ArgMatches) -> Result<summary::Summary, Error> {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let span = Duration::from_secs(number("seconds"));
    let fleet = Arc::new(fleet::Fleet::start()?);
    fleet.wait_ready(READY_TIMEOUT).await?;
    let balancer = balancer::Balancer::start(Arc::clone(&fleet));
    balancer.wait(READY_TIMEOUT).await?;
    let faults = script::play(Arc::clone(&fleet), span, !matches.get_flag("no-faults"));
    let faults = tokio::spawn(faults);
    let schedule = load::Schedule::new(number("rate") as f64, span).with_seed(number("seed"));
    let pool = balancer.pool();
    let target = load::Target { models: Arc::clone(&pool), services: pool, direct: false };
    let options = load::Options::new(target, fleet::mix(), schedule).with_timeout(ANSWER_TIMEOUT);
    let mut truth = truth::Truth::default();
    let answers = load::drive(options, |answer| truth.add(answer)).await?;
    let happened = faults.await.map_err(|e| Error::step("break parts of the fleet", e))??;
    let found = truth.judge(fleet.platform());
    let processes = fleet.processes();
    fleet.drain().await?;
    Ok(summary::Summary { processes, happened, answers, found })
}
