//! `agatectl measure outcomes`: outcomes and runs of requests under random faults.

use std::hint;
use std::time;

use agateflow::admission::{self, call_store, idempotency, reason, ticket};
use agateflow::request::simulation;
use agateflow::{id, unit};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;

use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::output;

/// Fewest requests of a run that counts.
const REQUESTS: u64 = 100_000;
/// Between two calls, on the trial's clock.
const SPACING: unit::Millis = unit::Millis::new(10);
/// When a repeatable call without output is sent a second time; the baselines' timeout.
const HEDGE_AFTER: unit::Millis = unit::Millis::new(400);
/// Duration of a trial without faults after the last call.
const TAIL: unit::Millis = unit::Millis::new(20_000);
/// Operations of each measurement of costs.
const OPERATIONS: u64 = 20_000;

/// Requests of one kind, by reported outcome.
#[derive(Debug, Serialize)]
struct Told {
    kind: &'static str,
    ran: u64,
    not_run: u64,
    unknown: u64,
    untold: u64,
    unknown_share: f64,
}

/// One mode's result.
#[derive(Debug, Serialize)]
struct Entry {
    mode: &'static str,
    faults: &'static str,
    ledger: simulation::Stats,
    broken: u64,
    unknown_share: f64,
    kinds: Vec<Told>,
}

/// One row of the measurement.
struct Row {
    name: &'static str,
    mode: simulation::Mode,
    faults: &'static str,
    divisor: u32,
}

const ROWS: [Row; 6] = [
    Row { name: "agateflow", mode: simulation::Mode::Agateflow, faults: "many", divisor: 1 },
    Row { name: "agateflow", mode: simulation::Mode::Agateflow, faults: "few", divisor: 20 },
    Row {
        name: "retry-on-timeout",
        mode: simulation::Mode::RetryOnTimeout,
        faults: "many",
        divisor: 1,
    },
    Row {
        name: "retry-on-timeout",
        mode: simulation::Mode::RetryOnTimeout,
        faults: "few",
        divisor: 20,
    },
    Row { name: "entry-memory", mode: simulation::Mode::EntryMemory, faults: "many", divisor: 1 },
    Row { name: "entry-memory", mode: simulation::Mode::EntryMemory, faults: "few", divisor: 20 },
];

/// Cost of each way to run a call at most once.
#[derive(Debug, Serialize)]
struct Costs {
    ticket_bytes: usize,
    attempt_record_bytes: usize,
    ticket_issue_ns: u64,
    ticket_check_ns: u64,
    key_home_ns: u64,
    admission_plain_ns: u64,
    admission_key_ns: u64,
    admission_ticket_ns: u64,
}

/// The whole result.
#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    modes: Vec<Entry>,
    costs: Costs,
}

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("outcomes")
        .about("Measures outcomes and runs of requests under random faults")
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON"))
        .arg(
            Arg::new("requests")
                .long("requests")
                .value_name("COUNT")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("100000")
                .help("Calls made in each mode; callers may send them again"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Seed of all random numbers"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// [`Error::Step`] if a trial cannot be built; the errors of the output.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let requests = *matches.get_one::<u64>("requests").unwrap_or(&REQUESTS);
    let seed = *matches.get_one::<u64>("seed").unwrap_or(&1);
    let modes = ROWS.iter().map(|row| measure(row, requests, seed));
    let modes = modes.collect::<Result<Vec<_>, _>>()?;
    let costs = costs().map_err(|e| Error::step("measure costs", e))?;
    let broken = modes[0].broken + modes[1].broken;
    let report = Report { seed, modes, costs };
    if matches.get_flag("json") {
        output::print_json(&report)?;
    } else {
        output::print(&text(&report))?;
    }
    Ok(if broken == 0 { ExitCode::Success } else { ExitCode::Failure })
}

fn measure(row: &Row, requests: u64, seed: u64) -> Result<Entry, Error> {
    let settings = simulation::Settings {
        entries: 9,
        upstreams: 6,
        mode: row.mode,
        seed,
        faults: simulation::Faults::all().divided(row.divisor),
        hedge_after: Some(HEDGE_AFTER),
        ..simulation::Settings::default()
    };
    let world =
        simulation::Simulation::new(settings).map_err(|e| Error::step("build a trial", e))?;
    let mut world = world.with_caller_retries();
    world.set_faults_enabled(true);
    for kind in simulation::Kind::ALL.into_iter().cycle().take(requests as usize) {
        world.call(kind, None);
        world.run(SPACING);
    }
    world.set_faults_enabled(false);
    world.run(TAIL);
    let ledger = world.stats();
    Ok(Entry {
        mode: row.name,
        faults: row.faults,
        ledger,
        broken: ledger.violations(),
        unknown_share: share(ledger.unknown, ledger.requests),
        kinds: simulation::Kind::ALL.map(|kind| told(&world, kind)).into(),
    })
}

fn told(world: &simulation::Simulation, kind: simulation::Kind) -> Told {
    let [ran, not_run, unknown, untold] = world.outcome_counts(kind);
    let all = ran + not_run + unknown + untold;
    let unknown_share = share(unknown, all);
    Told { kind: kind.as_str(), ran, not_run, unknown, untold, unknown_share }
}

fn share(part: u64, all: u64) -> f64 {
    part as f64 / all.max(1) as f64
}

fn text(report: &Report) -> String {
    let mut text = String::new();
    for entry in &report.modes {
        let l = &entry.ledger;
        text += &format!(
            "{}, {} faults: {} requests, {} ran, {} not-run, {} unknown ({:.2} %), {} untold\n",
            entry.mode,
            entry.faults,
            l.requests,
            l.ran,
            l.not_run,
            l.unknown,
            100.0 * entry.unknown_share,
            l.untold,
        );
        text += &format!(
            "  broken: {} foreign, {} cut, {} false not-run, {} double runs, {} late\n",
            l.foreign, l.cut, l.false_not_run, l.double_runs, l.late,
        );
    }
    let c = &report.costs;
    text += &format!(
        "attempt record: {} bytes; ticket: {} bytes, issue {} ns, check {} ns; admission: {} ns plain, {} ns with key, \
         {} ns with ticket\n",
        c.attempt_record_bytes,
        c.ticket_bytes,
        c.ticket_issue_ns,
        c.ticket_check_ns,
        c.admission_plain_ns,
        c.admission_key_ns,
        c.admission_ticket_ns,
    );
    text
}

/// Names and keys of the measurement of costs.
struct Bench {
    team: id::Team,
    service: id::Service,
    vms: Box<[id::Vm]>,
    secret: ticket::Secret,
    incarnation: id::Incarnation,
}

fn costs() -> Result<Costs, id::Error> {
    let bench = Bench {
        team: id::Team::new("team")?,
        service: id::Service::new("service")?,
        vms: Box::new([id::Vm::new("u0")?]),
        secret: ticket::Secret::new(b"measure"),
        incarnation: id::Incarnation::new(1),
    };
    let now = unit::Millis::ZERO;
    let mut issuer = bench.issuer();
    let ticket_issue_ns = per_operation(|_| {
        let tickets = issuer.issue(&bench.team, 1, now);
        hint::black_box(tickets[0].encode(&bench.secret));
    });
    let bytes = bench.issuer().issue(&bench.team, 1, now)[0].encode(&bench.secret);
    let ticket_check_ns = per_operation(|_| {
        let ticket = ticket::Ticket::decode(&bytes, &bench.secret);
        let check = ticket.and_then(|t| t.check(bench.incarnation, &bench.team, now));
        let _: Result<(), reason::Reason> = hint::black_box(check);
    });
    let key_home_ns = per_operation(|n| {
        let scope = idempotency::call_id(&bench.team, &bench.service, &n.to_string());
        hint::black_box(idempotency::home(&bench.vms, &scope));
    });
    Ok(Costs {
        ticket_bytes: bytes.len(),
        attempt_record_bytes: size_of::<(id::Attempt, admission::record::Record)>(),
        ticket_issue_ns,
        ticket_check_ns,
        key_home_ns,
        admission_plain_ns: bench.admission(|_| admission::Key::None),
        admission_key_ns: bench.admission(|n| admission::Key::Idempotency(n.to_string().into())),
        admission_ticket_ns: {
            let mut issuer = bench.issuer();
            bench.admission(|_| {
                let ticket = issuer.issue(&bench.team, 1, now).remove(0);
                admission::Key::Ticket(ticket.encode(&bench.secret))
            })
        },
    })
}

fn per_operation(mut operation: impl FnMut(u64)) -> u64 {
    let begin = time::Instant::now();
    for n in 0..OPERATIONS {
        operation(n);
    }
    (begin.elapsed().as_nanos() / u128::from(OPERATIONS)) as u64
}

impl Bench {
    fn issuer(&self) -> ticket::Issuer {
        let life = unit::Millis::new(600_000);
        ticket::Issuer::new(self.vms[0].clone(), self.incarnation, life)
    }

    /// Time of start, hand-over and end of one call, without the making of its key.
    fn admission(&self, mut key: impl FnMut(u64) -> admission::Key) -> u64 {
        let now = unit::Millis::new(10_000);
        let mut table = self.table();
        let starts: Vec<admission::Start> =
            (0..OPERATIONS).map(|n| self.start(n, key(n), now)).collect();
        let mut starts = starts.into_iter();
        per_operation(|_| {
            let Some(start) = starts.next() else {
                return;
            };
            let id = start.id;
            let ending = admission::Ending::Complete(None);
            hint::black_box(table.handle(admission::Input::Start(start), now));
            hint::black_box(table.handle(admission::Input::Dispatch(id), now));
            hint::black_box(table.handle(admission::Input::Finished { id, ending }, now));
        })
    }

    fn table(&self) -> admission::Table {
        let spans = idempotency::Timing {
            retry_window: unit::Millis::new(1_000),
            lease: unit::Millis::new(1_000),
        };
        let start = unit::Millis::ZERO;
        let mut home = idempotency::Home::new(self.vms[0].clone(), spans, start);
        home.set_declared(&self.service, unit::Revision::new(1), self.vms.clone());
        home.tick(start);
        let secret = self.secret.clone();
        let owner = admission::Owner { incarnation: self.incarnation, secret, home };
        let records = OPERATIONS as usize;
        let call_store =
            call_store::Limits { records, team_records: records, ..call_store::Limits::default() };
        let limits = admission::Limits { records, call_store, ..admission::Limits::default() };
        admission::Table::new(owner, limits)
    }

    fn start(&self, n: u64, key: admission::Key, now: unit::Millis) -> admission::Start {
        admission::Start {
            id: id::Attempt::new(id::Incarnation::new(2), n),
            target: self.incarnation,
            valid_until: now + unit::Millis::new(10_000),
            time_left: unit::Millis::new(5_000),
            team: self.team.clone(),
            service: self.service.clone(),
            repeatable: false,
            key,
            digest: admission::Digest::new(&self.team, "POST", "/", &n.to_le_bytes()),
            revision: unit::Revision::new(1),
        }
    }
}
