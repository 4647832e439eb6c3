//! `agatectl measure poison`: upstreams lost to requests that crash them, and innocents refused.

use agateflow::poison::trial;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;

use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::output;

/// Most upstreams of a data centre that one request may take.
const LOST_GOAL: u64 = 2;

/// One mode's result over all seeds.
#[derive(Debug, Serialize)]
struct Entry {
    mode: &'static str,
    items_lost_percent: u32,
    accidents: usize,
    /// Most engines of one data centre lost to one request, in any trial.
    lost_to_one: u64,
    /// Trials in which one request took more than the goal.
    trials_over_goal: u64,
    lost: u64,
    innocents: u64,
    answered: u64,
    refused: u64,
    refused_by_accident: u64,
    given_up: u64,
    isolated: u64,
    longest_ms: u64,
}

/// The whole result.
#[derive(Debug, Serialize)]
struct Report {
    first_seed: u64,
    trials: u64,
    poisons: usize,
    resends: usize,
    entries: Vec<Entry>,
}

/// One row of the measurement.
struct Row {
    name: &'static str,
    mode: trial::Mode,
    lose: u32,
    accidents: usize,
}

const ROWS: [Row; 6] = [
    Row { name: "agateflow", mode: trial::Mode::Agateflow, lose: 0, accidents: 0 },
    Row { name: "agateflow", mode: trial::Mode::Agateflow, lose: 0, accidents: 6 },
    Row { name: "agateflow", mode: trial::Mode::Agateflow, lose: 20, accidents: 0 },
    Row { name: "count-per-entry", mode: trial::Mode::CountPerEntry, lose: 0, accidents: 0 },
    Row { name: "count-per-entry", mode: trial::Mode::CountPerEntry, lose: 0, accidents: 6 },
    Row { name: "retry", mode: trial::Mode::Retry, lose: 0, accidents: 0 },
];

/// Builds the subcommand.
pub fn command() -> Command {
    let number = value_parser!(u64).range(1..);
    Command::new("poison")
        .about("Measures upstreams lost to requests that crash them, and innocents refused")
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON"))
        .arg(
            Arg::new("trials")
                .long("trials")
                .value_name("COUNT")
                .value_parser(number)
                .default_value("20")
                .help("Trials of each mode, each with its own seed"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .value_parser(number)
                .default_value("1")
                .help("First seed"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// [`Error::Step`] if a trial cannot be built; the errors of the output.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let trials = *matches.get_one::<u64>("trials").unwrap_or(&20);
    let first_seed = *matches.get_one::<u64>("seed").unwrap_or(&1);
    let entries = ROWS.iter().map(|row| measure(row, first_seed, trials));
    let entries = entries.collect::<Result<Vec<_>, _>>()?;
    let broken = entries[..2].iter().any(|e| e.lost_to_one > LOST_GOAL || e.refused > 0);
    let settings = settings(&ROWS[0], first_seed);
    let (poisons, resends) = (settings.poisons, settings.resends);
    let report = Report { first_seed, trials, poisons, resends, entries };
    if matches.get_flag("json") {
        output::print_json(&report)?;
    } else {
        output::print(&text(&report))?;
    }
    Ok(if broken { ExitCode::Failure } else { ExitCode::Success })
}

fn settings(row: &Row, seed: u64) -> trial::Settings {
    trial::Settings {
        mode: row.mode,
        seed,
        centres: 3,
        upstreams: 16,
        entries: 3,
        poisons: 3,
        resends: 30,
        innocents: 5_000,
        item_loss_percent: row.lose,
        accidents: row.accidents,
    }
}

fn measure(row: &Row, first_seed: u64, trials: u64) -> Result<Entry, Error> {
    let mut entry = Entry {
        mode: row.name,
        items_lost_percent: row.lose,
        accidents: row.accidents,
        lost_to_one: 0,
        trials_over_goal: 0,
        lost: 0,
        innocents: 0,
        answered: 0,
        refused: 0,
        refused_by_accident: 0,
        given_up: 0,
        isolated: 0,
        longest_ms: 0,
    };
    for seed in first_seed..first_seed + trials {
        let report = trial::run(settings(row, seed)).map_err(|e| Error::step("run a trial", e))?;
        entry.add(&report);
    }
    Ok(entry)
}

impl Entry {
    fn add(&mut self, report: &trial::Report) {
        self.lost_to_one = self.lost_to_one.max(report.lost_to_one);
        self.trials_over_goal += u64::from(report.lost_to_one > LOST_GOAL);
        self.lost += report.lost;
        self.innocents += report.innocents;
        self.answered += report.answered;
        self.refused += report.refused;
        self.refused_by_accident += report.refused_by_accident;
        self.given_up += report.given_up;
        self.isolated += report.isolated;
        self.longest_ms = self.longest_ms.max(report.longest_ms);
    }
}

fn text(report: &Report) -> String {
    let line = |e: &Entry| {
        format!(
            "{} (items lost {} %, accidents {}): at most {} upstreams of a data centre lost to one \
             request, {} lost in all; of {} innocents {} answered, {} refused, {} refused by \
             accident, {} given up, {} run alone, longest {} ms\n",
            e.mode,
            e.items_lost_percent,
            e.accidents,
            e.lost_to_one,
            e.lost,
            e.innocents,
            e.answered,
            e.refused,
            e.refused_by_accident,
            e.given_up,
            e.isolated,
            e.longest_ms,
        )
    };
    report.entries.iter().map(line).collect()
}
