//! `agatectl explain`: joins the log lines of one request into a timeline.

use std::fs;
use std::io::{self, BufRead, BufReader};

use clap::{Arg, ArgAction, ArgMatches, Command};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::error::Error;
use crate::exit_codes::ExitCode;
use crate::output;

/// Fields of a line that the timeline shows on its own or not at all.
const OWN_FIELDS: [&str; 6] = ["ts", "vm", "msg", "level", "event", "id"];

/// Events that decide over a request's end, the most telling first.
const DECIDING: [u64; 8] = [700, 701, 710, 713, 711, 705, 706, 703];

/// Event of a request that was sent.
const SENT: u64 = 702;

/// Event of a request that ended.
const ENDED: u64 = 704;

/// One line of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// When it was written, by the clock of its VM.
    pub time: Box<str>,
    /// The VM.
    pub vm: Box<str>,
    /// Number of the event.
    pub event: u64,
    /// The event in words.
    pub message: Box<str>,
    /// What the event carries.
    pub fields: Map<String, Value>,
    /// Whether the line decided over the request's end.
    pub deciding: bool,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Timeline {
    /// Its lines by time.
    pub lines: Vec<Line>,
    /// Lines of the files that could not be read.
    pub unreadable: usize,
}

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("explain")
        .about("Joins the log lines of one request into a timeline")
        .after_help(
            "Example:\n  agatectl explain 9c41d07be2a35f68 entry-*.log\n\n\
             Exits with 1 if no line carries the id. The deciding line is marked with *.",
        )
        .arg(Arg::new("id").required(true).value_name("ID").help("Id of the request"))
        .arg(
            Arg::new("log")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_name("LOG")
                .help("Log files of all processes, or - for standard input"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Prints JSON"))
}

/// Runs the subcommand.
///
/// # Errors
///
/// [`Error::File`] if a log cannot be read.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let id = matches.get_one::<String>("id").map_or("", String::as_str);
    let mut timeline = Timeline { lines: Vec::new(), unreadable: 0 };
    for path in matches.get_many::<String>("log").into_iter().flatten() {
        let read = |error| Error::file("read", path.as_ref(), error);
        read_log(path, id, &mut timeline).map_err(read)?;
    }
    timeline.lines.sort_by(|a, b| a.time.cmp(&b.time));
    mark(&mut timeline.lines);
    if timeline.unreadable > 0 {
        eprintln!("agatectl: {} lines are no log lines", timeline.unreadable);
    }
    if timeline.lines.is_empty() {
        eprintln!("agatectl: no line carries the id {id}");
        return Ok(ExitCode::Failure);
    }
    match matches.get_flag("json") {
        true => output::print_json(&timeline)?,
        false => {
            let text: String = timeline.lines.iter().map(|line| show(line) + "\n").collect();
            output::print(&text)?;
        }
    }
    Ok(ExitCode::Success)
}

fn read_log(path: &str, id: &str, timeline: &mut Timeline) -> io::Result<()> {
    let input: Box<dyn BufRead> = match path {
        "-" => Box::new(io::stdin().lock()),
        path => Box::new(BufReader::new(fs::File::open(path)?)),
    };
    for line in input.lines() {
        let line = line?;
        // A log collector may have added a prefix before the object.
        let object = line.find('{').map_or("", |start| &line[start..]);
        match serde_json::from_str::<Map<String, Value>>(object) {
            Ok(fields) if fields.get("id").and_then(Value::as_str) == Some(id) => {
                timeline.lines.push(read_line(fields));
            }
            Ok(_) => {}
            Err(_) => timeline.unreadable += 1,
        }
    }
    Ok(())
}

fn read_line(mut fields: Map<String, Value>) -> Line {
    let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or_default().into();
    let (time, vm, message) = (text("ts"), text("vm"), text("msg"));
    let event = fields.get("event").and_then(Value::as_u64).unwrap_or(0);
    for name in OWN_FIELDS {
        fields.remove(name);
    }
    Line { time, vm, event, message, fields, deciding: false }
}

/// Marks the last line of the most telling event; where all went well, the last sending.
fn mark(lines: &mut [Line]) {
    let served = lines.iter().any(|line| line.event == ENDED && line.fields["outcome"] == "ran");
    let events: &[u64] = if served { &[SENT] } else { &DECIDING };
    let found = events.iter().find_map(|event| lines.iter().rposition(|l| l.event == *event));
    if let Some(index) = found {
        lines[index].deciding = true;
    }
}

fn show(line: &Line) -> String {
    let mark = if line.deciding { '*' } else { ' ' };
    let fields = line.fields.iter().map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        value => format!("{name}={value}"),
    });
    let fields: Vec<String> = fields.collect();
    format!("{mark} {} {} {} {}", line.time, line.vm, line.message, fields.join(" "))
}
