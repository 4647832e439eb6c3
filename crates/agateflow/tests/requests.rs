//! Runs the scenarios in `scenarios/requests`: one guarantee under one or more faults.
//!
//! Commands: `world` builds the simulation; `call KIND entry=N`, `again CALL entry=N` and
//! `gone CALL` act for callers; `fault NAME lose|double=MS|delay=MS` affects the next message of a
//! name; `cut`, `mend`, `pause`, `replace`, `drain`, `crash` and `publish` act on `eN` and `uN`;
//! `run MS` prints the trace; `check` prints runs and violated guarantees.

#![allow(clippy::unwrap_used)]

use std::error;
use std::path;
use std::str;

use agateflow::request::simulation::{Fault, Kind, Settings, Simulation};
use agateflow::unit;
use goldenscript::{ArgumentConsumer, Command};

type Failure = Box<dyn error::Error>;

struct Runner {
    simulation: Option<Simulation>,
    calls: usize,
}

enum Node {
    Entry(usize),
    Upstream(usize),
}

fn number(text: &str) -> Result<usize, Failure> {
    let digits = text.trim_start_matches(|c: char| c.is_ascii_alphabetic());
    Ok(digits.parse()?)
}

fn node(text: &str) -> Result<Node, Failure> {
    let number = number(text)?;
    Ok(if text.starts_with('e') { Node::Entry(number) } else { Node::Upstream(number) })
}

fn key<T: str::FromStr>(args: &mut ArgumentConsumer<'_>, name: &str) -> Result<Option<T>, Failure> {
    let value = args.take_key(name).map(str::parse::<T>).transpose();
    value.map_err(|_| format!("invalid value of {name}").into())
}

fn ms(number: u64) -> unit::Millis {
    unit::Millis::new(number)
}

impl Runner {
    fn simulation(&mut self) -> Result<&mut Simulation, Failure> {
        self.simulation.as_mut().ok_or_else(|| "no simulation: run `world` first".into())
    }

    fn build(&mut self, command: &Command) -> Result<String, Failure> {
        let mut args = command.consume_args();
        let defaults = Settings::default();
        let settings = Settings {
            entries: key(&mut args, "entries")?.unwrap_or(2),
            upstreams: key(&mut args, "upstreams")?.unwrap_or(2),
            chunk_interval: key(&mut args, "part")?.unwrap_or(ms(10)),
            deadline: key(&mut args, "deadline")?.unwrap_or(defaults.deadline),
            hedge_after: key(&mut args, "hedge")?,
            seed: key(&mut args, "seed")?.unwrap_or(1),
            ..defaults
        };
        args.reject_next()?;
        self.simulation = Some(Simulation::new(settings)?.with_trace());
        Ok(String::new())
    }

    fn call(&mut self, command: &Command) -> Result<String, Failure> {
        let mut args = command.consume_args();
        let kind =
            args.next_pos().ok_or("missing kind of call")?.parse::<Kind>().map_err(String::from)?;
        let entry = key(&mut args, "entry")?;
        args.reject_next()?;
        let call = self.simulation()?.call(kind, entry);
        self.calls = call + 1;
        Ok(String::new())
    }

    fn retry(&mut self, command: &Command) -> Result<String, Failure> {
        let mut args = command.consume_args();
        let call = number(args.next_pos().ok_or("missing call")?)?;
        let entry = key(&mut args, "entry")?.unwrap_or(0);
        args.reject_next()?;
        self.simulation()?.retry_call(call, entry);
        Ok(String::new())
    }

    fn inject_fault(&mut self, command: &Command) -> Result<String, Failure> {
        let mut args = command.consume_args();
        let name = args.next_pos().ok_or("missing message name")?.to_owned();
        let double = key(&mut args, "double")?.map(Fault::Duplicate);
        let delay = key(&mut args, "delay")?.map(Fault::Delay);
        let fault = double.or(delay).unwrap_or(Fault::Drop);
        self.simulation()?.inject_fault(&name, fault);
        Ok(String::new())
    }

    fn link(&mut self, command: &Command, up: bool) -> Result<String, Failure> {
        let mut args = command.consume_args();
        let entry = number(args.next_pos().ok_or("missing entry")?)?;
        let upstream = number(args.next_pos().ok_or("missing upstream")?)?;
        args.reject_next()?;
        match up {
            true => self.simulation()?.restore_link(entry, upstream),
            false => self.simulation()?.cut_link(entry, upstream),
        }
        Ok(String::new())
    }

    fn pause(&mut self, command: &Command) -> Result<String, Failure> {
        let mut args = command.consume_args();
        let node = node(args.next_pos().ok_or("missing process")?)?;
        let span = ms(args.next_pos().ok_or("missing time span")?.parse()?);
        let freeze_clock = args.next_pos() == Some("frozen");
        match node {
            Node::Entry(entry) => self.simulation()?.pause_entry(entry, span, freeze_clock),
            Node::Upstream(upstream) => {
                self.simulation()?.pause_upstream(upstream, span, freeze_clock);
            }
        }
        Ok(String::new())
    }

    fn disturb_process(&mut self, command: &Command) -> Result<String, Failure> {
        let mut args = command.consume_args();
        let node = node(args.next_pos().ok_or("missing process")?)?;
        args.reject_next()?;
        match (&*command.name, node) {
            ("replace", Node::Upstream(upstream)) => self.simulation()?.replace_upstream(upstream),
            ("replace", Node::Entry(entry)) => self.simulation()?.replace_entry(entry),
            ("drain", Node::Upstream(upstream)) => self.simulation()?.drain_upstream(upstream),
            ("crash", Node::Upstream(upstream)) => self.simulation()?.crash_engine(upstream),
            _ => return Err("command does not apply to entries".into()),
        }
        Ok(String::new())
    }

    fn publish(&mut self, command: &Command) -> Result<String, Failure> {
        let mut args = command.consume_args();
        let node = node(args.next_pos().ok_or("missing process")?)?;
        let revision = unit::Revision::new(key(&mut args, "revision")?.unwrap_or(2));
        let mut list = Vec::new();
        while let Some(upstream) = args.next_pos() {
            list.push(number(upstream)?);
        }
        match node {
            Node::Entry(entry) => self.simulation()?.publish_to_entry(entry, revision, &list),
            Node::Upstream(upstream) => {
                self.simulation()?.publish_to_upstream(upstream, revision, &list);
            }
        }
        Ok(String::new())
    }

    fn check(&mut self) -> Result<String, Failure> {
        let calls = self.calls;
        let simulation = self.simulation()?;
        let runs: Vec<String> =
            (0..calls).map(|call| format!("c{call} ran {} times", simulation.runs(call))).collect();
        let violations = simulation.stats().violations();
        Ok(format!("{}\nbroken promises: {violations}\n", runs.join("\n")))
    }
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &goldenscript::Context) -> Result<String, Failure> {
        match &*command.name {
            "world" => self.build(command),
            "call" => self.call(command),
            "again" => self.retry(command),
            "gone" => {
                let call = number(command.consume_args().next_pos().ok_or("missing call")?)?;
                self.simulation()?.disconnect_caller(call);
                Ok(String::new())
            }
            "fault" => self.inject_fault(command),
            "cut" => self.link(command, false),
            "mend" => self.link(command, true),
            "pause" => self.pause(command),
            "replace" | "drain" | "crash" => self.disturb_process(command),
            "publish" => self.publish(command),
            "run" => {
                let span = command.consume_args().next_pos().ok_or("missing time span")?.parse()?;
                self.simulation()?.run(ms(span));
                Ok(self.simulation()?.take_trace().join("\n"))
            }
            "check" => self.check(),
            name => Err(format!("unknown command {name}").into()),
        }
    }
}

#[rstest::rstest]
fn scenario(#[files("tests/scenarios/requests/*")] path: path::PathBuf) {
    let mut runner = Runner { simulation: None, calls: 0 };

    goldenscript::run(&mut runner, &path).unwrap();

    assert_eq!(runner.simulation().unwrap().stats().violations(), 0);
}
