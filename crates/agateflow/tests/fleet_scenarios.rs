//! Golden-script scenarios with simulated nodes, network links and configuration service.

use std::error::Error;
use std::fmt::Write as _;
use std::net;
use std::sync::Arc;

use agateflow::fleet::{gossip, member, message, node, watch};
use agateflow::{id, unit};
use indexmap::{IndexMap, IndexSet};
use rstest::rstest;

const DELAY: u64 = 1; // milliseconds per message
const STEP: u64 = 10; // milliseconds

#[derive(Default)]
struct Service {
    down: bool,
    versions: Vec<Arc<[u8]>>,
    current: usize,
    calls: usize,
}

struct Process {
    node: node::Node,
    address: net::SocketAddr,
    data_centre: Box<str>,
    paused: bool,
    poll: Option<(u64, u64)>,
    revisions: Vec<u64>,
    rejected: usize,
}

enum Event {
    Datagram(Box<str>, net::SocketAddr, message::Message),
    Fetched(Box<str>, Option<Arc<[u8]>>),
}

#[derive(Default)]
struct Simulation {
    now: u64,
    service: Service,
    processes: IndexMap<Box<str>, Process>,
    events: Vec<(u64, Event)>,
    blocked_links: IndexSet<(Box<str>, Box<str>)>,
    seeds: Vec<node::Seed>,
    starts: u64,
}

fn accept(bytes: &[u8]) -> Result<unit::Revision, Box<str>> {
    let text = std::str::from_utf8(bytes).map_err(|e| e.to_string())?;
    let number = text.strip_prefix("revision ").ok_or("no revision")?;
    number.parse().map_err(|_| "bad revision".into())
}

fn millis(ms: u64) -> unit::Millis {
    unit::Millis::new(ms)
}

impl Simulation {
    fn start(&mut self, name: &str, data_centre: &str, role: message::Role) {
        self.starts += 1;
        let index = self.processes.get_index_of(name).unwrap_or(self.processes.len());
        let address = net::SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16));
        let sender = message::Sender {
            name: id::Vm::new(name).expect("valid name"),
            data_centre: id::DataCentre::new(data_centre).expect("valid name"),
            role,
            incarnation: id::Incarnation::new(self.starts.into()),
            started: millis(1_000_000 + self.now),
        };
        let setup = node::Setup {
            sender,
            address,
            seeds: self.seeds.clone(),
            validate: Arc::new(accept),
            group_of: Arc::new(|_| Some("g".into())),
        };
        let mut node = node::Node::new(setup, self.starts, millis(self.now));
        node.set_state(message::State::Serving, millis(self.now));
        let process = Process {
            node,
            address,
            data_centre: data_centre.into(),
            paused: false,
            poll: None,
            revisions: Vec::new(),
            rejected: 0,
        };
        self.processes.insert(name.into(), process);
    }

    fn is_blocked(&self, a: &str, b: &str) -> bool {
        let data_centre_of = |name: &str| -> Box<str> {
            self.processes.get(name).map_or(name.into(), |p| p.data_centre.clone())
        };
        let pairs = [
            (a.into(), b.into()),
            (data_centre_of(a), data_centre_of(b)),
            (a.into(), data_centre_of(b)),
            (data_centre_of(a), b.into()),
        ];
        pairs.into_iter().any(|(a, b): (Box<str>, Box<str>)| {
            self.blocked_links.contains(&(a.clone(), b.clone()))
                || self.blocked_links.contains(&(b, a))
        })
    }

    fn name_at(&self, address: net::SocketAddr) -> Option<Box<str>> {
        let found = self.processes.iter().find(|(_, p)| p.address == address);
        found.map(|(name, _)| name.clone())
    }

    fn handle_outputs(&mut self, name: &str, outputs: Vec<node::Output>) {
        for output in outputs {
            match output {
                node::Output::Send(to, message) => self.send(name, to, &message),
                node::Output::Fetch(from) => self.fetch(name, from),
                node::Output::Call(call) => self.call(name, call),
                node::Output::InForce(document) => {
                    self.processes[name].revisions.push(document.revision.get());
                }
                node::Output::Rejected(_) => self.processes[name].rejected += 1,
                node::Output::Item(_) | node::Output::Member(..) => {}
            }
        }
    }

    fn send(&mut self, name: &str, to: Vec<net::SocketAddr>, message: &message::Message) {
        let from = self.processes[name].address;
        let peers: Vec<_> = to.into_iter().filter_map(|a| self.name_at(a)).collect();
        for peer in peers {
            if !self.is_blocked(name, &peer) {
                self.events.push((self.now + DELAY, Event::Datagram(peer, from, message.clone())));
            }
        }
    }

    fn fetch(&mut self, name: &str, from: net::SocketAddr) {
        let peer = self.name_at(from).filter(|peer| !self.is_blocked(name, peer));
        let peer = peer.and_then(|peer| self.processes.get(&peer)).filter(|p| !p.paused);
        let bytes = peer.and_then(|p| p.node.revisions().current()).map(|d| d.bytes.clone());
        self.events.push((self.now + 2 * DELAY, Event::Fetched(name.into(), bytes)));
    }

    fn call(&mut self, name: &str, call: watch::Call) {
        self.service.calls += 1;
        let (after, wait) = match call {
            watch::Call::Get => (0, 0),
            watch::Call::Poll(after) => (after, watch::POLL_TIMEOUT.get()),
        };
        self.processes[name].poll = Some((after, self.now + wait));
    }

    fn answer_polls(&mut self) {
        let names: Vec<_> = self.processes.keys().cloned().collect();
        for name in names {
            let Some((after, until)) = self.processes[&name].poll else { continue };
            let current = self.service.current;
            let unreachable = self.service.down || self.is_blocked(&name, "service");
            let answer = match unreachable || current == 0 {
                true => watch::Answer::Failed,
                false if current as u64 > after => {
                    watch::Answer::Value(current as u64, self.service.versions[current - 1].clone())
                }
                false if self.now >= until => watch::Answer::Unchanged,
                false => continue,
            };
            if self.processes[&name].paused {
                continue;
            }
            self.processes[&name].poll = None;
            let outputs = self.processes[&name].node.handle_answer(&answer, millis(self.now));
            self.handle_outputs(&name, outputs);
        }
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            let (due, later) =
                std::mem::take(&mut self.events).into_iter().partition(|(at, _)| *at <= self.now);
            self.events = later;
            for (_, event) in due {
                self.deliver(event);
            }
            self.answer_polls();
            if self.now.is_multiple_of(100) {
                self.tick();
            }
        }
    }

    fn deliver(&mut self, event: Event) {
        let (Event::Datagram(name, ..) | Event::Fetched(name, _)) = &event;
        let name = name.clone();
        let Some(process) = self.processes.get_mut(&name) else { return };
        if process.paused {
            self.events.push((self.now + STEP, event));
            return;
        }
        let outputs = match event {
            Event::Datagram(_, from, message) => {
                process.node.receive(message, from, millis(self.now))
            }
            Event::Fetched(_, bytes) => {
                process.node.handle_fetched(bytes.as_deref(), millis(self.now))
            }
        };
        self.handle_outputs(&name, outputs);
    }

    fn tick(&mut self) {
        let names: Vec<_> = self.processes.keys().cloned().collect();
        for name in names {
            let process = &mut self.processes[&name];
            if !process.paused {
                let outputs = process.node.tick(millis(self.now));
                self.handle_outputs(&name, outputs);
            }
        }
    }

    fn describe(&self, name: &str) -> String {
        let process = &self.processes[name];
        let node = &process.node;
        let at = millis(self.now);
        let live = |role| {
            let mut names: Vec<_> =
                node.members().live(role, at).map(|m| m.sender.name.to_string()).collect();
            names.sort();
            names.join(",")
        };
        let ready = if node.is_ready(at) { "ready" } else { "not ready" };
        let (revision, _) = node.revisions().header();
        let mut text = format!("{name}: {ready}, revision {revision}");
        let reverted = process.revisions.windows(2).any(|pair| pair[0] > pair[1]);
        write!(text, ", reverted {reverted}, rejected {}", process.rejected).expect("written");
        write!(text, ", entries [{}]", live(message::Role::Entry)).expect("written");
        write!(text, ", upstreams [{}]", live(message::Role::Upstream)).expect("written");
        text
    }
}

fn role(text: &str) -> message::Role {
    if text == "entry" { message::Role::Entry } else { message::Role::Upstream }
}

impl goldenscript::Runner for Simulation {
    type Command = goldenscript::Command;

    fn run(
        &mut self,
        command: &goldenscript::Command,
        _context: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let mut next = || args.next_pos().map(String::from).ok_or("argument missing");
        let mut output = String::new();
        match command.name.as_str() {
            "seed" => {
                let data_centre = Some(id::DataCentre::new(&next()?)?);
                let port = 1000 + next()?.parse::<u16>()?;
                let address = net::SocketAddr::from(([127, 0, 0, 1], port));
                self.seeds.push(node::Seed { data_centre, address });
            }
            "start" => {
                let (name, data_centre) = (next()?, next()?);
                self.start(&name, &data_centre, role(&next()?));
            }
            "replace-all" => {
                let names: Vec<_> = self.processes.keys().cloned().collect();
                for name in names {
                    let data_centre = self.processes[&name].data_centre.clone();
                    let role = role(if name.starts_with('e') { "entry" } else { "upstream" });
                    self.start(&name, &data_centre, role);
                }
            }
            "stop" => {
                // The process is kept, so that a restart reuses its address.
                self.processes[next()?.as_str()].paused = true;
            }
            "pause" => self.processes[next()?.as_str()].paused = true,
            "wake" => self.processes[next()?.as_str()].paused = false,
            "leave" => {
                let at = millis(self.now);
                self.processes[next()?.as_str()].node.set_state(message::State::Leaving, at);
            }
            "publish" => {
                self.service.versions.push(next()?.as_bytes().into());
                self.service.current = self.service.versions.len();
            }
            "show-version" => self.service.current = next()?.parse()?,
            "service" => self.service.down = next()? == "down",
            "cut" => {
                self.blocked_links.insert((next()?.into(), next()?.into()));
            }
            "heal" => self.blocked_links.clear(),
            "run" => Simulation::run(self, next()?.parse()?),
            "reset-calls" => self.service.calls = 0,
            "calls-within" => {
                let (limit, calls) = (next()?.parse()?, self.service.calls);
                self.service.calls = 0;
                if calls == 0 || calls > limit {
                    return Err(format!("{calls} calls").into());
                }
            }
            "show" => writeln!(output, "{}", self.describe(&next()?))?,
            "takes-work" => {
                let (viewer, name) = (next()?, next()?);
                let member = self.processes[viewer.as_str()].node.members();
                let member = member.get(&id::Vm::new(&name)?).ok_or("not a member")?;
                writeln!(output, "{}", member::Member::takes_work(member, millis(self.now)))?;
            }
            "item" => {
                let (name, key, value) = (next()?, next()?, next()?);
                let (key, value) = (key.as_bytes().into(), value.as_bytes().into());
                let item = gossip::Item { key, version: self.now, ttl: millis(600_000), value };
                self.processes[name.as_str()].node.publish(&item, millis(self.now));
            }
            "items" => {
                let (name, key) = (next()?, next()?);
                let items = self.processes[name.as_str()].node.items();
                let value = items.get(key.as_bytes(), millis(self.now)).map(|(_, value)| value);
                writeln!(output, "{}", value.map_or("none".into(), String::from_utf8_lossy))?;
            }
            "summaries" => {
                for (name, known) in self.processes[next()?.as_str()].node.summaries().iter() {
                    for report in known.groups.values() {
                        let group = &report.group;
                        writeln!(output, "{name}/{}: {} serving", group.name, group.serving)?;
                    }
                }
            }
            "refused" => {
                let (viewer, name) = (next()?, id::Vm::new(&next()?)?);
                let node = &mut self.processes[viewer.as_str()].node;
                let incarnation =
                    node.members().get(&name).ok_or("not a member")?.sender.incarnation;
                node.mark_refused(&name, incarnation);
            }
            name => return Err(format!("unknown command {name}").into()),
        }
        Ok(output)
    }
}

#[rstest]
#[case::member("member")]
#[case::revision("revision")]
#[case::partition("partition")]
#[case::replace("replace")]
fn scenario_holds(#[case] name: &str) {
    let path = format!("{}/tests/scenarios/fleet/{name}", env!("CARGO_MANIFEST_DIR"));

    let result = goldenscript::run(&mut Simulation::default(), path);

    assert!(result.is_ok(), "{result:?}");
}
