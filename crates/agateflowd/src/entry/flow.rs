//! One request on its way: carries out what the request's state machine decides.

use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};

use agateflow::admission::answer;
use agateflow::direct::suspect;
use agateflow::event::Event;
use agateflow::id;
use agateflow::request::{self, Ending, Finish, Input, Output, Target};
use agateflow::unit;
use agateflow::wire;
use agateflow::wire::frame;
use bytes::Bytes;
use http::StatusCode;
use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::time;

use crate::clock;
use crate::entry::call::{self, Call};
use crate::entry::problem::Problem;
use crate::entry::{Shared, pick, quota};
use crate::event;
use crate::link::client::{self, Link};
use crate::meter;
use crate::upstream::sender;

/// How long a start stays valid at the upstream process.
const VALIDITY: unit::Millis = unit::Millis::new(3_000);

/// Bytes of an answer after which the upstream process is told that they were consumed: a quarter
/// of its window.
const ACKNOWLEDGE_BYTES: unit::Bytes = unit::Bytes::new(sender::WINDOW_BYTES / 4);

/// When a caller may try again if no upstream is available.
const RETRY_AFTER: unit::Millis = unit::Millis::new(1_000);

/// The same for a request that takes engines down: it is remembered about that long.
const POISON_RETRY_AFTER: unit::Millis = unit::Millis::new(60_000);

/// What the caller gets next.
pub enum Piece {
    /// Status and headers.
    Head(answer::Head),
    /// Bytes of the body.
    Data(Bytes),
    /// The end.
    Finish(Finish),
}

/// A request in progress.
pub struct Flow {
    shared: Arc<Shared>,
    call: Arc<Call>,
    machine: request::Request,
    outputs: VecDeque<Output>,
    wake: Option<unit::Millis>,
    events: mpsc::UnboundedReceiver<client::Event>,
    sender: mpsc::UnboundedSender<client::Event>,
    fingerprint: suspect::Fingerprint,
    attempts: IndexMap<id::Attempt, Attempt>,
    /// Whole events of a stream that the caller has.
    tokens: u64,
    meter: meter::Meter,
    done: bool,
    _permit: quota::Permit,
}

/// An attempt that was sent.
struct Attempt {
    link: Link,
    _subscription: client::Subscription,
    /// Offset up to which the upstream process knows the answer to be consumed.
    acknowledged: unit::Bytes,
    /// Counts as load of the upstream until the attempt ends.
    load: Option<pick::Sent>,
}

impl Flow {
    /// Creates the flow of `call`, which counts against its team's limits until dropped.
    pub fn new(shared: Arc<Shared>, call: Arc<Call>, permit: quota::Permit) -> Self {
        let number = shared.requests.fetch_add(1, Ordering::Relaxed);
        let now = clock::now();
        let wanted = request::Call {
            id: id::Attempt::new(shared.identity.incarnation, number),
            team: call.team.clone(),
            repeatable: call.repeatable,
            stream: call.stream,
            resumable: call.stream,
            home: pick::home(&shared, &call),
            deadline: now + call.deadline,
        };
        let (machine, outputs) = request::Request::new(wanted, shared.policy, now);
        let (sender, events) = mpsc::unbounded_channel();
        let meter = meter::Meter::new(&call.team, call.class());
        let fingerprint = suspect::Fingerprint::from_digest(&call.digest);
        Self {
            fingerprint,
            shared,
            call,
            machine,
            outputs: outputs.into(),
            wake: None,
            events,
            sender,
            attempts: IndexMap::new(),
            tokens: 0,
            meter,
            done: false,
            _permit: permit,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        self.call.stream
    }

    /// What the caller gets next.
    pub async fn next(&mut self) -> Piece {
        loop {
            while let Some(output) = self.outputs.pop_front() {
                if let Some(piece) = self.carry_out(output) {
                    return piece;
                }
            }
            let input = self.wait().await;
            self.tell(input);
        }
    }

    /// How the request ended, if nothing but the end is left to tell.
    pub fn ended(&mut self) -> Option<Finish> {
        match self.outputs.front() {
            Some(&Output::Finish(finish)) => {
                self.end(finish);
                Some(finish)
            }
            _ => None,
        }
    }

    fn end(&mut self, finish: Finish) {
        self.done = true;
        self.meter.end(finish.outcome);
    }

    fn tell(&mut self, input: Input) {
        let mut budget = self.shared.budget.lock().unwrap_or_else(PoisonError::into_inner);
        self.outputs.extend(self.machine.handle(input, &mut budget, clock::now()));
    }

    /// The next event or the next wake, whichever comes first.
    async fn wait(&mut self) -> Input {
        let wake = self.wake;
        let timer = async {
            match wake {
                Some(wake) => time::sleep_until(clock::instant(wake)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            Some(event) = self.events.recv() => self.input(event),
            () = timer => {
                self.wake = None;
                Input::Timer
            }
        }
    }

    fn input(&mut self, event: client::Event) -> Input {
        match event {
            client::Event::Frame(from, frame) => self.frame(from, frame),
            client::Event::Lost(from) => Input::LinkLost(from),
            client::Event::Reopened(link) => {
                let from = link.peer.incarnation;
                for (id, attempt) in &mut self.attempts {
                    if attempt.link.peer.incarnation == from {
                        attempt._subscription = link.subscribe(*id, self.sender.clone());
                        attempt.link = link.clone();
                    }
                }
                Input::LinkRestored(from)
            }
            client::Event::Replaced(from) => Input::TargetGone(from),
        }
    }

    fn frame(&mut self, from: id::Incarnation, frame: wire::Frame) -> Input {
        let Some(id) = frame.id() else { return Input::Timer };
        let last =
            matches!(frame, wire::Frame::Refused(_) | wire::Frame::End(_) | wire::Frame::Failed(_));
        if let Some(attempt) = self.attempts.get_mut(&id).filter(|_| last) {
            attempt.load = None;
            pick::note(&self.shared, &attempt.link.peer.vm, &frame);
            let peer = attempt.link.peer.clone();
            self.observe(&frame, &peer.vm, peer.incarnation);
        }
        let frame = match frame {
            wire::Frame::Refused(refused) => {
                request::Frame::Refused { reason: refused.reason, retry_after: refused.retry_after }
            }
            wire::Frame::Head(head) => request::Frame::Head(head.head),
            wire::Frame::Data(data) => {
                self.acknowledge(id, &data);
                request::Frame::Data { offset: data.offset.get(), bytes: data.bytes }
            }
            wire::Frame::End(mark) => request::Frame::End { length: mark.offset.get() },
            wire::Frame::Failed(failed) => request::Frame::Failed { crashed: failed.crashed },
            wire::Frame::Sealed(sealed) => request::Frame::Sealed(sealed.state),
            // Frames that no upstream process sends about an attempt.
            _ => return Input::Timer,
        };
        Input::Frame { from, id, frame }
    }

    /// Remembers a crash with the request in progress, or that it ran to a good end.
    fn observe(&self, frame: &wire::Frame, vm: &id::Vm, incarnation: id::Incarnation) {
        let mut suspects = self.shared.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        match frame {
            wire::Frame::Failed(failed) if failed.crashed => {
                let upstream = suspect::Incarnation::new(vm.as_str(), incarnation.get() as u64);
                let crash = suspect::Crash { request: self.fingerprint, upstream };
                suspects.record_crash(crash, clock::now());
            }
            wire::Frame::End(_) => suspects.clear(self.fingerprint),
            _ => {}
        }
    }

    /// Whether the request takes engines down.
    fn is_poison(&self) -> bool {
        let suspects = self.shared.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        suspects.is_poison(self.fingerprint, clock::now())
    }

    /// Lets the upstream process send more. What waits for the caller is bounded by its queue.
    fn acknowledge(&mut self, id: id::Attempt, data: &frame::Data) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let offset = data.offset + unit::Bytes::new(data.bytes.len() as u64);
        if offset.saturating_sub(attempt.acknowledged) < ACKNOWLEDGE_BYTES {
            return;
        }
        if attempt.link.try_send(wire::Frame::Window(frame::Position { id, offset })) {
            attempt.acknowledged = offset;
        }
    }

    fn carry_out(&mut self, output: Output) -> Option<Piece> {
        match output {
            Output::Choose { home, exclude, .. } => self.choose(home.as_ref(), &exclude),
            Output::Start { id, target, offset, left } => self.start(id, target, offset, left),
            Output::Seal(seal) => self.send(seal.id, wire::Frame::Seal(seal)),
            Output::Cancel { id, .. } => self.send(id, wire::Frame::Cancel(id)),
            Output::Resume { id, offset, .. } => {
                let offset = unit::Bytes::new(offset);
                self.send(id, wire::Frame::Resume(frame::Position { id, offset }));
            }
            Output::Head(head) => return Some(Piece::Head(head)),
            Output::Deliver(bytes) => {
                self.tokens += count_events(&bytes);
                self.meter.part();
                return Some(Piece::Data(bytes));
            }
            Output::Wake(at) => self.wake = Some(at),
            Output::Finish(finish) => {
                self.end(finish);
                return Some(Piece::Finish(finish));
            }
        }
        None
    }

    fn choose(&mut self, home: Option<&id::Vm>, exclude: &[id::Vm]) {
        if self.is_poison() {
            event!(self.shared.logger, Event::RequestNotServed;
                "team" => %self.call.team, "detail" => "request crashes engines");
            return self.tell(Input::NoUpstream { retry_after: POISON_RETRY_AFTER });
        }
        let input = match pick::link(&self.shared, &self.call, home, exclude) {
            Some(link) => Input::Chosen(Target {
                vm: link.peer.vm.clone(),
                incarnation: link.peer.incarnation,
                valid_until: link.peer.clock_at(clock::now()) + VALIDITY,
            }),
            None => Input::NoUpstream { retry_after: RETRY_AFTER },
        };
        self.tell(input);
    }

    fn start(&mut self, id: id::Attempt, target: Target, offset: u64, left: unit::Millis) {
        let link = self.shared.links.get(&target.vm);
        let Some(link) = link.filter(|link| link.peer.incarnation == target.incarnation) else {
            return self.tell(Input::Unsent(id));
        };
        let subscription = link.subscribe(id, self.sender.clone());
        let start = self.frame_of(id, &target, offset, left);
        // A frame that was not queued reached no socket.
        if link.try_send(wire::Frame::Start(Box::new(start))) {
            let load = Some(pick::Sent::new(&self.shared, &self.call, id, &target.vm));
            let acknowledged = unit::Bytes::new(offset);
            let attempt = Attempt { link, _subscription: subscription, acknowledged, load };
            self.attempts.insert(id, attempt);
        } else {
            self.tell(Input::Unsent(id));
        }
    }

    fn frame_of(
        &self,
        id: id::Attempt,
        target: &Target,
        offset: u64,
        left: unit::Millis,
    ) -> frame::Start {
        let call = &self.call;
        frame::Start {
            id,
            target: target.incarnation,
            team: call.team.clone(),
            deadline: left,
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
            service: call.target.as_str().into(),
            stream: call.stream,
            repeatable: call.repeatable,
            offset: unit::Bytes::new(offset),
            skip: unit::Tokens::new(self.tokens),
            key: call.key.clone(),
            digest: Bytes::copy_from_slice(call.digest.as_bytes()),
            priority: call.priority as u8,
            tokens: call.tokens,
            valid_until: target.valid_until,
            revision: self.shared.fleet.load().revision,
        }
    }

    fn send(&self, id: id::Attempt, frame: wire::Frame) {
        if let Some(attempt) = self.attempts.get(&id) {
            // A lost frame is asked for again by the machine's timers.
            attempt.link.try_send(frame);
        }
    }

    /// The problem to tell the caller of a request that ended so.
    pub fn problem(&self, finish: Finish) -> Problem {
        let Ending::Problem { status, retry_after, reason } = finish.ending else {
            return Problem::unknown(StatusCode::BAD_GATEWAY, "answer cut");
        };
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let detail = match reason {
            Some(reason) => format!("request not served: {reason}"),
            None => "request not served: no upstream gave a whole answer".to_owned(),
        };
        let problem =
            Problem { status, outcome: finish.outcome, detail: detail.into(), retry_after: None };
        match retry_after {
            unit::Millis::ZERO => problem,
            after => problem.with_retry_after(after),
        }
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        self.tell(Input::CallerDisconnected);
        while let Some(output) = self.outputs.pop_front() {
            self.carry_out(output);
        }
    }
}

fn count_events(bytes: &[u8]) -> u64 {
    bytes.windows(2).filter(|pair| *pair == call::EVENT_END).count() as u64
}
