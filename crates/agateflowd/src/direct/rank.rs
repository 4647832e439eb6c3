//! The process beside a rank of a lock-step group: reads its state, tells the group's other agents
//! and gives it the orders that the agent decides on.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agateflow::direct::peer::{Announcement, Members, Message};
use agateflow::event::Event;
use agateflow::lockstep::agent::Agent;
use agateflow::lockstep::events;
use agateflow::lockstep::messaging::{self, Outbox};
use agateflow::lockstep::report::{Order, Report};
use agateflow::{id, unit};
use indexmap::IndexSet;
use tokio::net::UdpSocket;
use tokio::signal::unix;
use tokio::{task, time};

use super::edge::{Rank, RankError, Receipt};
use super::{page, socket, takeover};
use crate::error::Error;
use crate::{event, meter, signal};

/// Time between two looks at the rank.
const INTERVAL: Duration = Duration::from_millis(50);

/// The same while a pass is held.
const FAST_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two looks at the rank's counters.
const COUNT_INTERVAL: unit::Millis = unit::Millis::new(45);

/// Time between two signs of life to entries.
const HELLO_INTERVAL: unit::Millis = unit::Millis::new(1_000);

/// Entries that get a sign of life at a time.
const HELLO_ENTRIES: usize = 3;

/// Time between two lines on the state of the group.
const VIEW_INTERVAL: unit::Millis = unit::Millis::new(1_000);

/// Time between two turns after which the process must have been stopped.
const STOP_TIME: unit::Millis = unit::Millis::new(500);

/// Largest message that is read, in bytes.
const MAX_BYTES: usize = 32_768;

/// Orders given in a row before others are heard again.
const MAX_ORDERS: usize = 4;

/// What the process is started with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The service of the rank.
    pub service: id::Service,
    /// Where others reach the process.
    pub peers: SocketAddr,
    /// Where its metrics are read.
    pub metrics: Option<SocketAddr>,
    /// Entries to ask first.
    pub seeds: Vec<SocketAddr>,
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
    calls: takeover::Calls,
    experts: Option<(u64, u64, Vec<Vec<u16>>)>,
    hello_at: Option<unit::Millis>,
    hellos: usize,
    counted_at: unit::Millis,
    turned_at: unit::Millis,
    traffic: Traffic,
    viewed_at: unit::Millis,
    lost: bool,
}

/// What the process sent and how long its turns took since the last line on the group.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    messages: usize,
    bytes: usize,
    longest_turn: unit::Millis,
}

/// Drives the rank until SIGTERM or SIGINT.
///
/// # Errors
///
/// [`Error::Bind`] or [`Error::Signal`].
pub async fn run<R: Rank>(options: Options, rank: R, logger: slog::Logger) -> Result<(), Error> {
    let socket = UdpSocket::bind(options.peers).await;
    let socket = socket.map_err(|error| Error::Bind(options.peers, error))?;
    if let Some(address) = options.metrics {
        let listener = socket::listen(address).map_err(|error| Error::Bind(address, error))?;
        task::spawn_local(page::serve_metrics(logger.clone(), listener));
        task::spawn_local(meter::upkeep());
    }
    let end = signal::end()?;
    // Nothing of the settings may change while the process runs.
    let _hangup = unix::signal(unix::SignalKind::hangup()).map_err(Error::Signal)?;
    event!(logger, Event::Started; "version" => env!("CARGO_PKG_VERSION"),
        "service" => %options.service);
    let mut process = Process {
        agent: Agent::new(options.peers, rand::random()),
        entries: options.seeds.iter().copied().collect(),
        teller: Outbox::new(),
        options,
        rank,
        socket,
        start: Instant::now(),
        calls: takeover::Calls::new(),
        experts: None,
        hello_at: None,
        hellos: rand::random::<u8>().into(),
        counted_at: unit::Millis::ZERO,
        turned_at: unit::Millis::ZERO,
        traffic: Traffic::default(),
        viewed_at: unit::Millis::ZERO,
        lost: false,
        logger,
    };
    tokio::select! {
        () = process.work() => {}
        () = end => {}
    }
    event!(process.logger, Event::Drained;);
    Ok(())
}

impl<R: Rank> Process<R> {
    fn now(&self) -> unit::Millis {
        unit::Millis::new(self.start.elapsed().as_millis() as u64)
    }

    async fn work(&mut self) {
        let mut buffer = vec![0; MAX_BYTES];
        loop {
            self.forget(&mut buffer);
            self.look().await;
            // What a hold rests on is known to others before it is ordered.
            self.tell();
            self.act().await;
            self.takeover();
            self.tell();
            self.view();
            let interval = if self.agent.is_switching() { FAST_INTERVAL } else { INTERVAL };
            let wait = time::sleep(interval);
            tokio::pin!(wait);
            loop {
                tokio::select! {
                    () = &mut wait => break,
                    received = self.socket.recv_from(&mut buffer) => {
                        let Ok((size, from)) = received else { break };
                        self.hear(&buffer[..size], from);
                        if self.is_due() {
                            break;
                        }
                    }
                    Some(outcome) = self.calls.next() => {
                        self.learn(outcome);
                        break;
                    }
                }
            }
        }
    }

    /// Whether what was heard asks for an order.
    fn is_due(&mut self) -> bool {
        let now = self.now();
        self.agent.has_due_order(now)
    }

    /// Drops the messages that came while the process stood still: nothing tells their age.
    fn forget(&mut self, buffer: &mut [u8]) {
        let now = self.now();
        let turn = now.saturating_sub(self.turned_at);
        meter::turned(turn.duration());
        self.traffic.longest_turn = self.traffic.longest_turn.max(turn);
        let stopped = turn >= STOP_TIME;
        self.turned_at = now;
        if stopped {
            while self.socket.try_recv(buffer).is_ok() {}
        }
    }

    async fn look(&mut self) {
        match self.rank.report().await {
            Ok(report) => {
                if std::mem::take(&mut self.lost) {
                    event!(self.logger, Event::RankRegained; "epoch" => report.epoch);
                }
                let report = self.complete(report).await;
                let now = self.now();
                self.agent.observe(report, now);
            }
            Err(error) => {
                if !std::mem::replace(&mut self.lost, true) {
                    event!(self.logger, Event::RankLost; "reason" => %error);
                }
                return;
            }
        }
        let now = self.now();
        if now >= self.counted_at + COUNT_INTERVAL {
            self.counted_at = now;
            if let Ok(counts) = self.rank.counts().await {
                self.agent.observe_counts(&counts.counts, now);
            }
        }
    }

    /// Adds the experts that the rank holds, which are read once for each map.
    async fn complete(&mut self, mut report: Report) -> Report {
        let known = self.experts.as_ref();
        let known = known.filter(|(epoch, map, _)| (*epoch, *map) == (report.epoch, report.map));
        if known.is_none() {
            let read = self.rank.experts().await.ok();
            self.experts = read.map(|experts| (report.epoch, report.map, experts));
        }
        if let Some((_, _, experts)) = &self.experts {
            report.experts = experts.clone();
        }
        report
    }

    async fn act(&mut self) {
        for _ in 0..MAX_ORDERS {
            let now = self.now();
            let begun = Instant::now();
            let order = self.agent.next_order(now);
            self.note(begun.elapsed());
            let Some(order) = order else { return };
            let receipt = self.rank.order(&order).await;
            self.log_order(None, &order, &receipt);
            self.look().await;
        }
    }

    /// Starts what is due for ranks whose agents are silent.
    fn takeover(&mut self) {
        let now = self.now();
        for step in self.agent.takeover_actions(now) {
            self.calls.start(&self.rank, step);
        }
    }

    fn learn(&mut self, outcome: takeover::Outcome) {
        match outcome {
            takeover::Outcome::Ordered(rank, order, receipt) => {
                self.log_order(Some(rank), &order, &receipt);
            }
            takeover::Outcome::Seen(rank, Ok(report)) => {
                event!(self.logger, Event::SilentRankQueried; "rank" => rank, "epoch" => report.epoch,
                    "held" => report.held, "armed" => ?report.armed);
                let now = self.now();
                self.agent.receive_rank_report(report, now);
            }
            takeover::Outcome::Seen(rank, Err(error)) => {
                event!(self.logger, Event::SilentRankQueried; "rank" => rank, "reason" => %error);
            }
        }
    }

    /// Logs an order to the own rank or to `other`.
    fn log_order(&self, other: Option<u32>, order: &Order, receipt: &Result<Receipt, RankError>) {
        let (name, epoch, version, step) = match order {
            Order::Prepare { epoch, version, .. } => ("prepare", epoch, Some(*version), None),
            Order::Arm { epoch, armed } => ("arm", epoch, Some(armed.version), Some(armed.step)),
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

    /// Logs what happened in a turn of the agent that took `took`.
    fn note(&mut self, took: Duration) {
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
                events::Event::HoldFound { step } => {
                    event!(self.logger, Event::UnknownHold; "step" => step);
                }
            }
        }
    }

    /// Tells the group's agents what is due, and entries from time to time that it lives.
    fn tell(&mut self) {
        let now = self.now();
        for message in self.teller.due_messages(&self.agent, now) {
            self.send(message);
        }
        if self.hello_at.is_none_or(|at| now >= at + HELLO_INTERVAL)
            && let Some(status) = self.agent.status(false, now)
        {
            self.hello_at = Some(now);
            let to = self.next_entries();
            self.send(messaging::Message { to, payload: messaging::Payload::Status(status) });
        }
    }

    /// Some entries, others each time: each of them knows the group's agents before long.
    fn next_entries(&mut self) -> Vec<SocketAddr> {
        let count = self.entries.len();
        let turn = self.hellos;
        self.hellos = turn.wrapping_add(HELLO_ENTRIES);
        let next = (0..count.min(HELLO_ENTRIES)).map(|offset| (turn + offset) % count);
        next.filter_map(|index| self.entries.get_index(index).copied()).collect()
    }

    /// Logs what is known of the group, where this agent plans for it.
    fn view(&mut self) {
        let now = self.now();
        if now < self.viewed_at + VIEW_INTERVAL || !self.agent.is_coordinator(now) {
            return;
        }
        let Some(view) = self.agent.summary(now) else { return };
        let traffic = std::mem::take(&mut self.traffic);
        let period = now.saturating_sub(self.viewed_at);
        self.viewed_at = now;
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
            // Statuses may be lost; the next one comes soon.
            let sent = self.socket.try_send_to(&bytes, address);
            meter::told(&sent);
            self.traffic.messages += 1;
            self.traffic.bytes += sent.unwrap_or(0);
        }
    }

    fn hear(&mut self, bytes: &[u8], from: SocketAddr) {
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
            Ok(Message::Members(members)) => self.meet(members),
            Ok(Message::Entry(_)) => {}
            Err(error) => {
                event!(self.logger, Event::PeerUnreadable; "peer" => %from, "reason" => %error);
            }
        }
    }

    fn meet(&mut self, members: Members) {
        self.entries.extend(members.entries);
        let own = self.options.peers;
        self.teller.add_peers(members.agents.into_iter().filter(|&address| address != own));
        self.calls.meet(members.ranks);
        if let Some(shape) = members.shape {
            self.agent.set_shape(shape);
        }
        if let Some(pause) = members.pause {
            self.agent.set_max_pause(pause);
        }
    }
}
