//! Scripted scenarios of the agreement: ranks, coordinators, order queues and network faults.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::error::Error;

use agateflow::group::{coordinator, coverage, fence, instance, message, rank, term};
use agateflow::plan::map;
use agateflow::{config, id, unit};
use indexmap::IndexMap;
use rstest::rstest;

struct Process {
    rank: rank::Rank,
    coordinator: coordinator::Coordinator,
    queue: fence::Queue,
    dispatched: Option<fence::Order>,
    paused: bool,
    slow: bool,
    inbox: VecDeque<Packet>,
}

#[derive(Clone)]
enum Packet {
    Rank(rank::Input),
    Coordinator(message::Answer),
}

/// How a step was run, and by which members.
type Execution = (instance::Instance, term::Term, instance::Version, instance::Membership);

#[derive(Default)]
struct Cluster {
    now: u64,
    start_count: u128,
    processes: BTreeMap<u16, Process>,
    sent: Vec<(instance::Peer, Packet)>,
    partitioned: BTreeSet<u16>,
    executions: BTreeMap<u64, Vec<Execution>>,
    log: IndexMap<String, String>,
}

fn rank_letter(number: u16) -> char {
    char::from(b'a' + number as u8)
}

fn number(text: &str) -> u16 {
    u16::from(text.as_bytes()[0] - b'a')
}

fn version(number: u64) -> instance::Version {
    instance::Version { number, digest: instance::Digest::of(&number.to_le_bytes()) }
}

fn format_term(term: term::Term) -> String {
    format!("{}.{}.{}", term.revision, term.counter, term.coordinator.get())
}

fn rank_letters(peers: impl IntoIterator<Item = instance::Peer>) -> String {
    peers.into_iter().map(|peer| rank_letter(peer.number)).collect()
}

impl Cluster {
    fn time(&self) -> unit::Millis {
        unit::Millis::new(self.now)
    }

    fn start(&mut self, name: u16, fencing: config::Fencing) {
        self.start_count += 1;
        let me =
            instance::Peer { number: name, incarnation: id::Incarnation::new(self.start_count) };
        let mut queue = fence::Queue::new(me, fencing);
        if let Some(fence::Event::Attached(engine, fencing)) = queue.attach(me.incarnation) {
            self.note(name, format!("attached engine {} with fencing {fencing:?}", engine.get()));
        }
        let process = Process {
            rank: rank::Rank::new(me),
            coordinator: coordinator::Coordinator::new(me),
            queue,
            dispatched: None,
            paused: false,
            slow: false,
            inbox: VecDeque::new(),
        };
        self.processes.insert(name, process);
    }

    fn note(&mut self, name: u16, text: String) {
        self.log.entry(text).or_default().push(rank_letter(name));
    }

    /// Takes the log since the last call: events, each with the ranks that had it.
    fn take_log(&mut self) -> String {
        let log = std::mem::take(&mut self.log);
        log.into_iter().map(|(text, names)| format!("{names}: {text}\n")).collect()
    }

    fn peers(&self, names: &str) -> Vec<instance::Peer> {
        names.chars().map(|c| self.processes[&number(&c.to_string())].rank.me()).collect()
    }

    fn send(&mut self, from: u16, to: instance::Peer, packet: Packet) {
        self.sent.push((to, packet.clone()));
        if !self.partitioned.contains(&from) && !self.partitioned.contains(&to.number) {
            self.enqueue(to, packet);
        }
    }

    /// Puts a packet into the inbox of its addressee, unless that process was replaced.
    fn enqueue(&mut self, to: instance::Peer, packet: Packet) {
        if let Some(process) = self.processes.get_mut(&to.number)
            && process.rank.me() == to
        {
            process.inbox.push_back(packet);
        }
    }

    fn take(&mut self, name: u16, packet: Packet) -> Result<(), String> {
        let time = self.time();
        let Some(process) = self.processes.get_mut(&name) else { return Ok(()) };
        match packet {
            Packet::Rank(input) => {
                let outputs = process.rank.handle(input, time);
                if let Some(promised) = process.rank.promised() {
                    process.queue.promise(promised);
                }
                outputs.into_iter().try_for_each(|output| self.handle_rank_output(name, output))
            }
            Packet::Coordinator(answer) => {
                let outputs = process.coordinator.handle(coordinator::Input::Answer(answer), time);
                self.handle_coordinator_outputs(name, outputs);
                Ok(())
            }
        }
    }

    fn handle_rank_output(&mut self, name: u16, output: rank::Output) -> Result<(), String> {
        match output {
            rank::Output::Answer(term, answer) => {
                let peers = self.processes.values().map(|process| process.rank.me());
                let to = peers.into_iter().find(|peer| peer.incarnation == term.coordinator);
                if let Some(to) = to {
                    self.send(name, to, Packet::Coordinator(answer));
                }
            }
            rank::Output::Vote(to, vote) => {
                self.send(name, to, Packet::Rank(rank::Input::Vote(vote)));
            }
            rank::Output::Load(version) if self.processes[&name].slow => {
                self.note(name, format!("loads map {}", version.number));
            }
            rank::Output::Load(version) => {
                let me = self.processes[&name].rank.me();
                self.enqueue(me, Packet::Rank(rank::Input::Loaded(version)));
            }
            rank::Output::Run(step) => return self.record_step(name, step),
            rank::Output::Mismatch(vote) => {
                let (from, step) = (rank_letter(vote.from.number), vote.step);
                self.note(name, format!("refuses step {step}: the vote of {from} differs"));
            }
            rank::Output::Overdue(term) => {
                self.note(name, format!("reports overdue term {}", format_term(term)));
            }
            rank::Output::Dropped(step) => self.note(name, format!("drops step {step}")),
            rank::Output::Stalled(step, missing) => {
                self.note(name, format!("lacks votes of {} in step {step}", rank_letters(missing)));
            }
            rank::Output::Excluded(term) => {
                self.note(name, format!("excluded in term {}", format_term(term)));
            }
        }
        Ok(())
    }

    /// Logs a step, and fails if the same instance or a shared member ran it in another way.
    fn record_step(&mut self, name: u16, step: rank::Step) -> Result<(), String> {
        let (term, members) = (format_term(step.term), rank_letters(step.membership.peers()));
        let text = format!("step {}: map {}, term {term}", step.step, step.version.number);
        let instance = format_term(step.instance.0);
        self.note(name, format!("{text}, members {members}, instance {instance}"));
        let execution = (step.instance, step.term, step.version, step.membership);
        let executions = self.executions.entry(step.step).or_default();
        let conflict = executions
            .iter()
            .any(|w| *w != execution && (w.0 == execution.0 || w.3.overlaps(&execution.3)));
        executions.push(execution);
        if conflict { Err(format!("step {} ran in two ways", step.step)) } else { Ok(()) }
    }

    fn handle_coordinator_outputs(&mut self, name: u16, outputs: Vec<coordinator::Output>) {
        for output in outputs {
            let text = match output {
                coordinator::Output::Order(to, order) => {
                    self.send(name, to, Packet::Rank(rank::Input::Order(order)));
                    continue;
                }
                coordinator::Output::NotLowest(peer) => {
                    format!("leaves coordination to {}", rank_letter(peer.number))
                }
                coordinator::Output::Uncovered(lost) => {
                    let lost: String = lost.into_iter().map(rank_letter).collect();
                    format!("stops admission: no map without {lost}")
                }
                coordinator::Output::Outdated(known) => {
                    format!("rejects outdated revision: {known} is known")
                }
                coordinator::Output::Superseded(term) => {
                    format!("superseded by term {}", format_term(term))
                }
                coordinator::Output::Unresponsive(peers) => {
                    format!("has no answer from {}", rank_letters(peers))
                }
                coordinator::Output::Committed(term, version) => {
                    format!("commits map {} in term {}", version.number, format_term(term))
                }
            };
            self.note(name, text);
        }
    }

    /// Delivers packets until no running process has any left.
    fn deliver_all(&mut self) -> Result<(), String> {
        loop {
            let names: Vec<_> = self.processes.keys().copied().collect();
            let mut idle = true;
            for name in names {
                let process = self.processes.get_mut(&name).expect("a process");
                let packet = if process.paused { None } else { process.inbox.pop_front() };
                if let Some(packet) = packet {
                    idle = false;
                    self.take(name, packet)?;
                }
            }
            if idle {
                return Ok(());
            }
        }
    }

    fn running(&self) -> Vec<u16> {
        let running = self.processes.iter().filter(|(_, process)| !process.paused);
        running.map(|(name, _)| *name).collect()
    }

    fn steps(&mut self, count: u64) -> Result<(), String> {
        for _ in 0..count {
            for name in self.running() {
                self.take(name, Packet::Rank(rank::Input::Ready))?;
            }
            self.deliver_all()?;
        }
        Ok(())
    }

    fn wait(&mut self, duration: u64) -> Result<(), String> {
        for _ in 0..duration / 100 {
            self.now += 100;
            let time = self.time();
            for name in self.running() {
                self.take(name, Packet::Rank(rank::Input::Tick))?;
                let process = self.processes.get_mut(&name).expect("a process");
                let outputs = process.coordinator.handle(coordinator::Input::Tick, time);
                self.handle_coordinator_outputs(name, outputs);
            }
            self.deliver_all()?;
        }
        Ok(())
    }

    /// Delivers every packet ever sent once more, the latest first.
    fn replay(&mut self) -> Result<(), String> {
        for (to, packet) in self.sent.clone().into_iter().rev() {
            self.enqueue(to, packet);
        }
        self.deliver_all()
    }

    fn form(&mut self, args: &mut goldenscript::ArgumentConsumer) -> Result<(), Box<dyn Error>> {
        let leaving = args.take_key("leaving").unwrap_or_default();
        let prefill = args.take_key("prefill").unwrap_or_default();
        let maps = args.take_key("maps").ok_or("no maps")?;
        let revision = args.take_key("revision").unwrap_or("1").parse()?;
        let mut next = || args.next_pos().ok_or("argument missing");
        let (name, names) = (number(next()?), next()?);
        let candidate = |text: &str| -> Result<coordinator::Candidate, Box<dyn Error>> {
            let (map, required) = text.split_once(':').ok_or("a map needs ranks")?;
            let required = required.chars().map(|c| number(&c.to_string())).collect();
            Ok(coordinator::Candidate { version: version(map.parse()?), required })
        };
        let role = |peer: instance::Peer| match prefill.contains(rank_letter(peer.number)) {
            true => instance::Role::Prefill,
            false => instance::Role::Both,
        };
        let members = self.peers(names).into_iter();
        let members = members.map(|peer| instance::Member { peer, role: role(peer) }).collect();
        let form = coordinator::Formation {
            revision: unit::Revision::new(revision),
            membership: instance::Membership::new(members),
            leaving: self.peers(leaving),
            candidates: maps.split(',').map(candidate).collect::<Result<_, _>>()?,
        };
        self.run_coordinator(name, coordinator::Input::Formation(form));
        Ok(())
    }

    fn run_coordinator(&mut self, name: u16, input: coordinator::Input) {
        let time = self.time();
        let process = self.processes.get_mut(&name).expect("a process");
        if let Some(promised) = process.rank.promised() {
            process.coordinator.note(promised);
        }
        let outputs = process.coordinator.handle(input, time);
        self.handle_coordinator_outputs(name, outputs);
    }

    /// Queues an order of the latest term of `by` at the rank `to`.
    fn order(&mut self, by: u16, to: u16, number: u64) -> Result<(), Box<dyn Error>> {
        let term = self.processes[&by].coordinator.term().ok_or("no term")?;
        let process = self.processes.get_mut(&to).ok_or("no process")?;
        let command = fence::Command::Expert(0, number as u32);
        let order = fence::Order { term, to: process.rank.me(), number, command };
        let text = match process.queue.take(order) {
            Ok(()) => format!("queues order {number} of term {}", format_term(term)),
            Err(refusal) => format!("refuses order {number}: {}", format_refusal(refusal)),
        };
        self.note(to, text);
        Ok(())
    }

    fn dispatch_next(&mut self, name: u16) -> Result<(), Box<dyn Error>> {
        let process = self.processes.get_mut(&name).ok_or("no process")?;
        let (dispatched, events) = process.queue.dispatch();
        for event in events {
            if let fence::Event::Refused(order, refusal) = event {
                let text = format!("refuses order {}: {}", order.number, format_refusal(refusal));
                self.note(name, text);
            }
        }
        let text = match &dispatched {
            Some(dispatched) => {
                format!(
                    "dispatches order {} with fence {:#x}",
                    dispatched.order.number, dispatched.fence
                )
            }
            None => "dispatches nothing".into(),
        };
        self.note(name, text);
        if let Some(dispatched) = dispatched {
            self.processes.get_mut(&name).ok_or("no process")?.dispatched = Some(dispatched.order);
        }
        Ok(())
    }
}

fn format_refusal(refusal: fence::Refusal) -> String {
    match refusal {
        fence::Refusal::Stale(old, new) => {
            format!("term {} is older than {}", format_term(old), format_term(new))
        }
        refusal => refusal.to_string(),
    }
}

fn fencing(text: Option<&str>) -> config::Fencing {
    match text {
        Some("ignored") => config::Fencing::Ignored,
        _ => config::Fencing::Checked,
    }
}

impl goldenscript::Runner for Cluster {
    type Command = goldenscript::Command;

    fn run(
        &mut self,
        command: &goldenscript::Command,
        _context: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        if command.name == "form" {
            self.form(&mut args)?;
            return Ok(self.take_log());
        }
        let fencing = fencing(args.take_key("fencing"));
        let mut next = || args.next_pos().ok_or("argument missing");
        match command.name.as_str() {
            "start" => {
                let name = number(next()?);
                self.start(name, fencing);
            }
            "change" => {
                let name = number(next()?);
                let map = version(next()?.parse()?);
                self.run_coordinator(name, coordinator::Input::ChangeMap(map));
            }
            "settle" => self.deliver_all()?,
            "steps" => self.steps(next()?.parse()?)?,
            "wait" => self.wait(next()?.parse()?)?,
            "replay" => self.replay()?,
            "pause" => self.processes.get_mut(&number(next()?)).ok_or("no process")?.paused = true,
            "wake" => self.processes.get_mut(&number(next()?)).ok_or("no process")?.paused = false,
            "kill" => drop(self.processes.remove(&number(next()?))),
            "slow" => self.processes.get_mut(&number(next()?)).ok_or("no process")?.slow = true,
            "loaded" => {
                let name = number(next()?);
                let map = version(next()?.parse()?);
                self.take(name, Packet::Rank(rank::Input::Loaded(map)))?;
            }
            "cut" => drop(self.partitioned.insert(number(next()?))),
            "heal" => self.partitioned.clear(),
            "tell" => {
                // Delivers a single packet.
                let name = number(next()?);
                let inbox = &mut self.processes.get_mut(&name).ok_or("no process")?.inbox;
                let packet = inbox.pop_front().ok_or("inbox is empty")?;
                self.take(name, packet)?;
            }
            "order" => {
                let (by, to) = (number(next()?), number(next()?));
                let count = next()?.parse()?;
                self.order(by, to, count)?;
            }
            "hand" => self.dispatch_next(number(next()?))?,
            "done" => {
                let process = self.processes.get_mut(&number(next()?)).ok_or("no process")?;
                let order = process.dispatched.take().ok_or("nothing dispatched")?;
                process.queue.answered(&order, fence::Answer::Done);
            }
            name => return Err(format!("unknown command {name}").into()),
        }
        args.reject_next()?;
        Ok(self.take_log())
    }
}

#[rstest]
#[case::form("form")]
#[case::coordinator("coordinator")]
#[case::membership("membership")]
#[case::dead("dead")]
#[case::messages("messages")]
#[case::restart("restart")]
#[case::orders("orders")]
fn scenario_holds(#[case] name: &str) {
    let path = format!("{}/tests/scenarios/group/{name}", env!("CARGO_MANIFEST_DIR"));

    let result = goldenscript::run(&mut Cluster::default(), path);

    assert!(result.is_ok(), "{result:?}");
}

fn replica(rank: &str, share: f64) -> map::Replica {
    map::Replica { rank: rank.into(), share }
}

fn two_experts() -> map::Map {
    let shared = vec![replica("a", 0.25), replica("b", 0.25), replica("c", 0.5)];
    map::Map { layers: vec![map::Layer { experts: vec![shared, vec![replica("c", 1.0)]] }] }
}

#[test]
fn map_without_a_rank_keeps_shares_in_proportion() {
    let restricted = coverage::restrict(&two_experts(), |rank| rank != "b").expect("covered");

    let expected = [replica("a", 0.25 / 0.75), replica("c", 0.5 / 0.75)];
    assert_eq!(restricted.layers[0].experts[0], expected);
    assert_eq!(restricted.layers[0].experts[1], [replica("c", 1.0)]);
}

#[test]
fn map_without_the_only_holder_is_refused() {
    let restricted = coverage::restrict(&two_experts(), |rank| rank != "c");

    assert_eq!(restricted, Err(coverage::Gap { layer: 0, expert: 1 }));
    assert_eq!(coverage::sole_holders(&two_experts()).get("c"), Some(&1));
}

#[test]
fn fencing_number_grows_with_the_term() {
    let term = |revision, counter| {
        term::Term::new(unit::Revision::new(revision), counter, id::Incarnation::new(7))
    };

    let numbers = [term(1, 1), term(1, 2), term(2, 0)].map(|t| fence::number(t).expect("small"));

    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    assert!(fence::number(term(1 << 40, 0)).is_err());
    assert!(fence::number(term(0, 1 << 24)).is_err());
}
