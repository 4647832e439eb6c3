//! Agent of a rank of a lock-step group: reads the rank's state, exchanges it with other agents,
//! and sends the orders that [`Agent`] decides on.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agateflow::direct::peer::{Announcement, Members, Message};
use agateflow::event::Event;
use agateflow::lockstep::agent::Agent;
use agateflow::lockstep::events;
use agateflow::lockstep::messaging::{self, Outbox};
use agateflow::lockstep::report::{Order, Report};
use agateflow::{id, intake, unit};
use indexmap::IndexSet;
use tokio::net::UdpSocket;
use tokio::signal::unix;
use tokio::{task, time};

use super::adapter::{Rank, RankError, Receipt};
use super::{endpoint, socket, takeover};
use crate::error::Error;
use crate::intake::Intake;
use crate::{event, meter, signal};

/// Interval between reads of the rank's state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The same during a switch or held pass.
const SWITCHING_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between reads of the rank's expert counters.
const COUNT_INTERVAL: unit::Millis = unit::Millis::new(45);

/// Interval between hellos to entries.
const HELLO_INTERVAL: unit::Millis = unit::Millis::new(1_000);

/// Entries that each hello is sent to.
const ENTRIES_PER_HELLO: usize = 3;

/// Interval between log lines on the group's state.
const GROUP_LOG_INTERVAL: unit::Millis = unit::Millis::new(1_000);

/// Time between two turns that shows that the process was suspended.
const SUSPENSION_TIME: unit::Millis = unit::Millis::new(500);

/// Largest message that is read, in bytes.
const MAX_MESSAGE_BYTES: usize = 32_768;

/// Orders sent in a row before messages are read again.
const MAX_ORDERS_IN_ROW: usize = 4;

/// Startup options of an agent process.
#[derive(Clone, Debug)]
pub struct Options {
    /// Service that the rank belongs to.
    pub service: id::Service,
    /// Address for entries and other agents, UDP.
    pub peer_address: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_address: Option<SocketAddr>,
    /// Entries to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Memory and sockets of the VM.
    pub machine: intake::Machine,
}

struct Process<R> {
    options: Options,
    rank: R,
    agent: Agent,
    socket: UdpSocket,
    logger: slog::Logger,
    start: Instant,
    entries: IndexSet<SocketAddr>,
    teller: Outbox,
    takeover_calls: takeover::Calls,
    experts: Option<(u64, u64, Vec<Vec<u16>>)>,
    last_hello_at: Option<unit::Millis>,
    hello_offset: usize,
    counts_read_at: unit::Millis,
    last_turn_at: unit::Millis,
    traffic: Traffic,
    group_logged_at: unit::Millis,
    rank_lost: bool,
}

/// Messages sent and longest turn since the last log line on the group's state.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    messages: usize,
    bytes: usize,
    longest_turn: unit::Millis,
}

/// Runs the agent until SIGTERM or SIGINT.
///
/// # Errors
///
/// [`Error::Bind`] or [`Error::Signal`].
pub async fn run<R: Rank>(options: Options, rank: R, logger: slog::Logger) -> Result<(), Error> {
    let socket = UdpSocket::bind(options.peer_address).await;
    let socket = socket.map_err(|error| Error::Bind(options.peer_address, error))?;
    if let Some(address) = options.metrics_address {
        let listener = socket::listen(address).map_err(|error| Error::Bind(address, error))?;
        let limits = intake::Limits::for_page(options.machine);
        let intake = Intake::new(limits, logger.clone());
        task::spawn_local(endpoint::serve_metrics(intake, logger.clone(), listener));
        task::spawn_local(meter::upkeep());
    }
    let end = signal::end()?;
    // SIGHUP is ignored: settings cannot change while the process runs.
    let _hangup = unix::signal(unix::SignalKind::hangup()).map_err(Error::Signal)?;
    event!(logger, Event::Started; "version" => env!("CARGO_PKG_VERSION"),
        "service" => %options.service);
    let mut process = Process {
        agent: Agent::new(options.peer_address, rand::random()),
        entries: options.seeds.iter().copied().collect(),
        teller: Outbox::new(),
        options,
        rank,
        socket,
        start: Instant::now(),
        takeover_calls: takeover::Calls::new(),
        experts: None,
        last_hello_at: None,
        hello_offset: rand::random::<u8>().into(),
        counts_read_at: unit::Millis::ZERO,
        last_turn_at: unit::Millis::ZERO,
        traffic: Traffic::default(),
        group_logged_at: unit::Millis::ZERO,
        rank_lost: false,
        logger,
    };
    tokio::select! {
        () = process.run_turns() => {}
        () = end => {}
    }
    event!(process.logger, Event::Drained;);
    Ok(())
}

impl<R: Rank> Process<R> {
    fn now(&self) -> unit::Millis {
        unit::Millis::new(self.start.elapsed().as_millis() as u64)
    }

    async fn run_turns(&mut self) {
        let mut buffer = vec![0; MAX_MESSAGE_BYTES];
        loop {
            self.drop_stale_messages(&mut buffer);
            self.poll_rank().await;
            // Other agents must know what a hold is based on before it is ordered.
            self.send_due_messages();
            self.execute_orders().await;
            self.start_takeovers();
            self.send_due_messages();
            self.log_group();
            let interval =
                if self.agent.is_switching() { SWITCHING_POLL_INTERVAL } else { POLL_INTERVAL };
            let wait = time::sleep(interval);
            tokio::pin!(wait);
            loop {
                tokio::select! {
                    () = &mut wait => break,
                    received = self.socket.recv_from(&mut buffer) => {
                        let Ok((size, from)) = received else { break };
                        self.handle_message(&buffer[..size], from);
                        if self.is_order_due() {
                            break;
                        }
                    }
                    Some(outcome) = self.takeover_calls.next() => {
                        self.handle_outcome(outcome);
                        break;
                    }
                }
            }
        }
    }

    /// Whether received messages make an order due.
    fn is_order_due(&mut self) -> bool {
        let now = self.now();
        self.agent.has_due_order(now)
    }

    /// Drops the messages that arrived while the process was suspended: their age is unknown.
    fn drop_stale_messages(&mut self, buffer: &mut [u8]) {
        let now = self.now();
        let turn = now.saturating_sub(self.last_turn_at);
        meter::turned(turn.duration());
        self.traffic.longest_turn = self.traffic.longest_turn.max(turn);
        let was_suspended = turn >= SUSPENSION_TIME;
        self.last_turn_at = now;
        if was_suspended {
            while self.socket.try_recv(buffer).is_ok() {}
        }
    }

    async fn poll_rank(&mut self) {
        match self.rank.read_report().await {
            Ok(report) => {
                if std::mem::take(&mut self.rank_lost) {
                    event!(self.logger, Event::RankRegained; "epoch" => report.epoch);
                }
                let report = self.add_experts(report).await;
                let now = self.now();
                self.agent.observe(report, now);
            }
            Err(error) => {
                if !std::mem::replace(&mut self.rank_lost, true) {
                    event!(self.logger, Event::RankLost; "reason" => %error);
                }
                return;
            }
        }
        let now = self.now();
        if now >= self.counts_read_at + COUNT_INTERVAL {
            self.counts_read_at = now;
            if let Ok(counts) = self.rank.read_counts().await {
                self.agent.observe_counts(&counts.counts, now);
            }
        }
    }

    /// Adds the experts that the rank holds, which are read once per map.
    async fn add_experts(&mut self, mut report: Report) -> Report {
        let known = self.experts.as_ref();
        let known = known.filter(|(epoch, map, _)| (*epoch, *map) == (report.epoch, report.map));
        if known.is_none() {
            let read = self.rank.read_experts().await.ok();
            self.experts = read.map(|experts| (report.epoch, report.map, experts));
        }
        if let Some((_, _, experts)) = &self.experts {
            report.experts = experts.clone();
        }
        report
    }

    async fn execute_orders(&mut self) {
        for _ in 0..MAX_ORDERS_IN_ROW {
            let now = self.now();
            let started = Instant::now();
            let order = self.agent.next_order(now);
            self.log_notes(started.elapsed());
            let Some(order) = order else { return };
            let receipt = self.rank.send_order(&order).await;
            self.log_order(None, &order, &receipt);
            self.poll_rank().await;
        }
    }

    /// Starts due calls to ranks whose agents are silent.
    fn start_takeovers(&mut self) {
        let now = self.now();
        for step in self.agent.takeover_actions(now) {
            self.takeover_calls.start(&self.rank, step);
        }
    }

    fn handle_outcome(&mut self, outcome: takeover::Outcome) {
        match outcome {
            takeover::Outcome::Ordered(rank, order, receipt) => {
                self.log_order(Some(rank), &order, &receipt);
            }
            takeover::Outcome::Read(rank, Ok(report)) => {
                event!(self.logger, Event::SilentRankQueried; "rank" => rank, "epoch" => report.epoch,
                    "held" => report.held, "armed" => ?report.armed);
                let now = self.now();
                self.agent.receive_rank_report(report, now);
            }
            takeover::Outcome::Read(rank, Err(error)) => {
                event!(self.logger, Event::SilentRankQueried; "rank" => rank, "reason" => %error);
            }
        }
    }

    /// Logs an order to the local rank or to `other`.
    fn log_order(&self, other: Option<u32>, order: &Order, receipt: &Result<Receipt, RankError>) {
        let (name, epoch, version, step) = match order {
            Order::Prepare { epoch, version, .. } => ("prepare", epoch, Some(*version), None),
            Order::Arm { epoch, armed } => ("arm", epoch, Some(armed.version), Some(armed.step)),
            Order::Disarm { epoch, version } => ("disarm", epoch, Some(*version), None),
            Order::Hold { epoch, step } => ("hold", epoch, None, Some(*step)),
            Order::Go { epoch, step } => ("go", epoch, None, Some(*step)),
        };
        let result = match receipt {
            Ok(Receipt::Taken) => "taken",
            Ok(Receipt::Refused(_)) => "refused",
            Err(_) => "unanswered",
        };
        meter::ordered(name, result);
        event!(self.logger, Event::OrderSent; "order" => name, "epoch" => epoch,
            "version" => version, "step" => step, "rank" => other, "receipt" => ?receipt);
    }

    /// Logs the notes of the agent, whose turn took `took`.
    fn log_notes(&mut self, took: Duration) {
        for note in self.agent.take_events() {
            match note {
                events::Event::Planned {
                    version,
                    load_before,
                    load_after,
                    lower_bound,
                    max_copies,
                    evaluations,
                    pass_ms,
                    min_saving,
                } => {
                    meter::planned(took);
                    event!(self.logger, Event::MapPlanned; "version" => version,
                        "before" => load_before, "after" => load_after, "bound" => lower_bound,
                        "copies" => max_copies, "work" => evaluations, "pass_ms" => pass_ms,
                        "least_saving" => min_saving, "took_ms" => took.as_millis() as u64);
                }
                events::Event::Applied { version } => {
                    meter::map_changed();
                    event!(self.logger, Event::MapInUse; "version" => version);
                }
                events::Event::Reinstated { version, step } => {
                    event!(self.logger, Event::MapReinstated; "version" => version, "step" => step);
                }
                events::Event::HoldFound { step } => {
                    event!(self.logger, Event::UnknownHold; "step" => step);
                }
                events::Event::LateHold { step, version, change_step } => {
                    event!(self.logger, Event::LateHold; "step" => step, "version" => version,
                        "change_step" => change_step);
                }
            }
        }
    }

    /// Sends due messages to the group's agents, and hellos to entries from time to time.
    fn send_due_messages(&mut self) {
        let now = self.now();
        for message in self.teller.due_messages(&self.agent, now) {
            self.send(message);
        }
        if self.last_hello_at.is_none_or(|at| now >= at + HELLO_INTERVAL)
            && let Some(status) = self.agent.status(false, now)
        {
            self.last_hello_at = Some(now);
            let to = self.next_hello_entries();
            self.send(messaging::Message { to, payload: messaging::Payload::Status(status) });
        }
    }

    /// Entries for the next hello, in rotation: each of them soon knows all agents of the group.
    fn next_hello_entries(&mut self) -> Vec<SocketAddr> {
        let count = self.entries.len();
        let turn = self.hello_offset;
        self.hello_offset = turn.wrapping_add(ENTRIES_PER_HELLO);
        let next = (0..count.min(ENTRIES_PER_HELLO)).map(|offset| (turn + offset) % count);
        next.filter_map(|index| self.entries.get_index(index).copied()).collect()
    }

    /// Logs the state of the group if this agent coordinates it.
    fn log_group(&mut self) {
        let now = self.now();
        if now < self.group_logged_at + GROUP_LOG_INTERVAL || !self.agent.is_coordinator(now) {
            return;
        }
        let Some(view) = self.agent.summary(now) else { return };
        let traffic = std::mem::take(&mut self.traffic);
        let period = now.saturating_sub(self.group_logged_at);
        self.group_logged_at = now;
        event!(self.logger, Event::GroupState; "size" => view.size, "heard" => view.live_agents,
            "oldest" => %view.oldest_status_age, "map" => view.map, "version" => view.change,
            "prepared" => view.prepared, "step" => view.step, "period" => %period,
            "messages" => traffic.messages, "bytes" => traffic.bytes,
            "longest_turn" => %traffic.longest_turn);
    }

    fn send(&mut self, message: messaging::Message) {
        let content = match message.payload {
            messaging::Payload::Status(status) => {
                Message::Rank(Announcement { service: self.options.service.clone(), status })
            }
            messaging::Payload::Plan(plan) => Message::Plan(plan),
        };
        let Ok(bytes) = postcard::to_stdvec(&content) else { return };
        for address in message.to {
            // Lost statuses are replaced by later ones.
            let sent = self.socket.try_send_to(&bytes, address);
            meter::told(&sent);
            self.traffic.messages += 1;
            self.traffic.bytes += sent.unwrap_or(0);
        }
    }

    fn handle_message(&mut self, bytes: &[u8], from: SocketAddr) {
        let now = self.now();
        match postcard::from_bytes(bytes) {
            Ok(Message::Rank(hello)) => {
                self.teller.add_peers([hello.status.address]);
                self.agent.receive_status(hello.status, now);
            }
            Ok(Message::Plan(plan)) => {
                self.agent.receive_plan(&plan);
                if let Some(message) = messaging::relay(plan) {
                    self.send(message);
                }
            }
            Ok(Message::Members(members)) => self.update_members(members),
            Ok(Message::Entry(_)) => {}
            Err(error) => {
                event!(self.logger, Event::PeerUnreadable; "peer" => %from, "reason" => %error);
            }
        }
    }

    fn update_members(&mut self, members: Members) {
        self.entries.extend(members.entries);
        let own = self.options.peer_address;
        self.teller.add_peers(members.agents.into_iter().filter(|&address| address != own));
        self.takeover_calls.add_ranks(members.ranks);
        if let Some(shape) = members.shape {
            self.agent.set_shape(shape);
        }
        if let Some(pause) = members.pause {
            self.agent.set_max_pause(pause);
        }
    }
}
