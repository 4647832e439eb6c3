//! Runs a stand-in as a process, for manual tests of a daemon.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{error, fs, process};

use agateflow::unit;
use agateflow_standin::configuration::Configuration;
use agateflow_standin::engine::{Engine, Fencing, Options, Speed};
use agateflow_standin::service::Service;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use tokio::signal;

const MICROS_PER_MILLI: u64 = 1000;

type Result = std::result::Result<(), Box<dyn error::Error>>;

fn main() -> process::ExitCode {
    match run(&command().get_matches()) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("agateflow-standin: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("agateflow-standin")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs a stand-in of what the platform gives, until it is interrupted")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(engine())
        .subcommand(stand_in("service", "Runs a plain service"))
        .subcommand(configuration())
}

fn stand_in(name: &'static str, about: &'static str) -> Command {
    let listen = Arg::new("listen").long("listen").value_name("ADDRESS").required(true);
    Command::new(name).about(about).arg(listen.value_parser(value_parser!(SocketAddr)))
}

fn engine() -> Command {
    stand_in("engine", "Runs a model engine")
        .arg(number("step", "MS", "Time of each step, in milliseconds", "0"))
        .arg(number("prefill", "N", "Prompt tokens a second; 0 stands for no limit", "0"))
        .arg(number("batch", "N", "Most sequences in one step", "64"))
        .arg(number("cache", "N", "Most prompt chunks in the prefix cache", "4096"))
        .arg(
            Arg::new("ignore-fences")
                .long("ignore-fences")
                .help("Takes orders with old fences")
                .action(ArgAction::SetTrue),
        )
}

fn number(
    name: &'static str,
    value: &'static str,
    help: &'static str,
    default: &'static str,
) -> Arg {
    let number = value_parser!(u64).range(0..=1_000_000_000);
    Arg::new(name)
        .long(name)
        .value_name(value)
        .help(help)
        .default_value(default)
        .value_parser(number)
}

fn configuration() -> Command {
    stand_in("configuration", "Runs a configuration service")
        .arg(Arg::new("key").long("key").value_name("KEY").default_value("fleet"))
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("Versions of the value, the first one first")
                .num_args(1..)
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn run(matches: &ArgMatches) -> Result {
    match matches.subcommand() {
        Some(("engine", matches)) => {
            let engine = Engine::start(listen(matches), options(matches))?;
            serve(engine.host().address())
        }
        Some(("service", matches)) => {
            let service = Service::start(listen(matches))?;
            serve(service.host().address())
        }
        Some(("configuration", matches)) => {
            let configuration = Configuration::start(listen(matches))?;
            publish(&configuration, matches)?;
            serve(configuration.host().address())
        }
        _ => Ok(()),
    }
}

fn listen(matches: &ArgMatches) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    matches.get_one("listen").copied().unwrap_or(any)
}

fn options(matches: &ArgMatches) -> Options {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let step = unit::Micros::new(number("step") * MICROS_PER_MILLI);
    Options {
        speed: Speed { prefill: number("prefill"), step, sequence: unit::Micros::ZERO },
        batch: number("batch") as usize,
        cache: number("cache") as usize,
        fencing: if matches.get_flag("ignore-fences") {
            Fencing::Ignored
        } else {
            Fencing::Checked
        },
    }
}

fn publish(configuration: &Configuration, matches: &ArgMatches) -> Result {
    let key = matches.get_one::<String>("key").map_or("fleet", String::as_str);
    for path in matches.get_many::<PathBuf>("file").into_iter().flatten() {
        configuration.publish(key, read(path)?);
    }
    Ok(())
}

fn read(path: &Path) -> std::result::Result<Vec<u8>, String> {
    fs::read(path).map_err(|e| format!("read {}: {e}", path.display()))
}

/// Prints the address and waits for a signal to end.
fn serve(address: SocketAddr) -> Result {
    println!("{address}");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal::unix::signal(signal::unix::SignalKind::terminate())?;
        tokio::select! {
            result = signal::ctrl_c() => Ok(result?),
            _ = terminate.recv() => Ok(()),
        }
    })
}
