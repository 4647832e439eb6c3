//! Drives the state machine of one request: executes its outputs and feeds it frames and timers.

use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};

use agateflow::admission::answer;
use agateflow::direct::progress::Progress;
use agateflow::direct::suspect;
use agateflow::event::Event;
use agateflow::id;
use agateflow::intake::Stage;
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
use crate::entry::http::Account;
use crate::entry::problem::Problem;
use crate::entry::{Shared, balancer, quota, suspects};
use crate::event;
use crate::link::client::{self, Link};
use crate::meter;
use crate::upstream::sender;

/// How long a start frame stays valid at the upstream process.
const START_VALIDITY: unit::Millis = unit::Millis::new(3_000);

/// Consumed bytes after which the window of the upstream process is advanced: a quarter of the
/// window.
const ACKNOWLEDGE_BYTES: unit::Bytes = unit::Bytes::new(sender::WINDOW_BYTES / 4);

/// Retry-After if no upstream is available.
const RETRY_AFTER: unit::Millis = unit::Millis::new(1_000);

/// A part of the response to the caller.
pub enum Part {
    /// Status and headers.
    Head(answer::Head),
    /// Bytes of the body.
    Data(Bytes),
    /// The end of the response.
    Finish(Finish),
}

/// Driver of a request in progress. Dropping it before the end cancels the request.
pub struct Driver {
    shared: Arc<Shared>,
    call: Arc<Call>,
    machine: request::Request,
    outputs: VecDeque<Output>,
    wake_at: Option<unit::Millis>,
    events: mpsc::UnboundedReceiver<client::Event>,
    sender: mpsc::UnboundedSender<client::Event>,
    fingerprint: suspect::Fingerprint,
    attempts: IndexMap<id::Attempt, Attempt>,
    /// Complete server-sent events that were delivered.
    delivered_events: u64,
    meter: meter::Meter,
    finished: bool,
    _permit: quota::Permit,
    account: Account,
}

/// An attempt whose start frame was sent.
struct Attempt {
    link: Link,
    _subscription: client::Subscription,
    /// Offset of the last window frame: the response is consumed up to here.
    acknowledged: unit::Bytes,
    /// Counts as load of the upstream until the attempt ends.
    load_guard: Option<balancer::Guard>,
    sent_at: unit::Millis,
    progress: Progress,
}

impl Driver {
    /// Creates the driver of `call`, which holds `permit` and `account` until dropped.
    pub fn new(
        shared: Arc<Shared>,
        call: Arc<Call>,
        permit: quota::Permit,
        account: Account,
    ) -> Self {
        let number = shared.request_counter.fetch_add(1, Ordering::Relaxed);
        let now = clock::now();
        let properties = request::Call {
            id: id::Attempt::new(shared.identity.incarnation, number),
            team: call.team.clone(),
            repeatable: call.repeatable,
            stream: call.stream,
            resumable: call.stream,
            home: balancer::home(&shared, &call),
            deadline: now + call.timeout,
        };
        let (machine, outputs) = request::Request::new(properties, shared.policy, now);
        let (sender, events) = mpsc::unbounded_channel();
        let meter = meter::Meter::new(&call.team, call.class());
        let fingerprint = suspect::Fingerprint::from_digest(&call.digest);
        Self {
            fingerprint,
            shared,
            call,
            machine,
            outputs: outputs.into(),
            wake_at: None,
            events,
            sender,
            attempts: IndexMap::new(),
            delivered_events: 0,
            meter,
            finished: false,
            _permit: permit,
            account,
        }
    }

    /// What the request holds of its caller's connection.
    pub const fn account(&self) -> &Account {
        &self.account
    }

    /// Whether the response is a stream of server-sent events.
    pub fn is_event_stream(&self) -> bool {
        self.call.stream
    }

    /// Waits for the next part of the response.
    pub async fn next(&mut self) -> Part {
        loop {
            while let Some(output) = self.outputs.pop_front() {
                if let Some(response_part) = self.execute(output) {
                    return response_part;
                }
            }
            let input = self.next_input().await;
            self.handle_input(input);
        }
    }

    /// Finishes the request if its end is the next output.
    pub fn try_finish(&mut self) -> Option<Finish> {
        match self.outputs.front() {
            Some(&Output::Finish(finish)) => {
                self.record_finish(finish);
                Some(finish)
            }
            _ => None,
        }
    }

    fn record_finish(&mut self, finish: Finish) {
        self.finished = true;
        self.meter.end(finish.outcome);
    }

    fn handle_input(&mut self, input: Input) {
        let mut budget = self.shared.retry_budget.lock().unwrap_or_else(PoisonError::into_inner);
        self.outputs.extend(self.machine.handle(input, &mut budget, clock::now()));
    }

    /// Waits for the next event or the timer, whichever comes first.
    async fn next_input(&mut self) -> Input {
        let wake = self.wake_at;
        let timer = async {
            match wake {
                Some(wake) => time::sleep_until(clock::instant(wake)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            Some(event) = self.events.recv() => self.handle_event(event),
            () = timer => {
                self.wake_at = None;
                Input::Timer
            }
        }
    }

    fn handle_event(&mut self, event: client::Event) -> Input {
        match event {
            client::Event::Frame(from, frame) => self.handle_frame(from, frame),
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

    fn handle_frame(&mut self, from: id::Incarnation, frame: wire::Frame) -> Input {
        let Some(id) = frame.id() else { return Input::Timer };
        let is_final =
            matches!(frame, wire::Frame::Refused(_) | wire::Frame::End(_) | wire::Frame::Failed(_));
        if let Some(attempt) = self.attempts.get_mut(&id).filter(|_| is_final) {
            attempt.load_guard = None;
            balancer::record_end(&self.shared, &attempt.link.peer.vm, &frame);
        }
        self.update_suspects(id, &frame);
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
            // Upstream processes send no other frames about an attempt.
            _ => return Input::Timer,
        };
        Input::Frame { from, id, frame }
    }

    /// Records what a frame about an attempt says against the request and the parts of its prompt.
    fn update_suspects(&mut self, id: id::Attempt, frame: &wire::Frame) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let mut suspects = self.shared.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        let (now, parts) = (clock::now(), &self.call.parts);
        match frame {
            wire::Frame::Data(_) if attempt.progress.record_part(now) => {
                suspects.record_answer(parts, now);
            }
            wire::Frame::End(_) => suspects.record_end(self.fingerprint, parts, now),
            wire::Frame::Failed(failed) if failed.crashed => {
                let peer = &attempt.link.peer;
                suspects.record_request(self.fingerprint, &peer.vm, peer.incarnation, now);
                if attempt.progress.is_answered(now) {
                    return;
                }
                let crashed = suspects::Attempt {
                    vm: &peer.vm,
                    incarnation: peer.incarnation,
                    parts,
                    sent_at: attempt.sent_at,
                };
                for exclusion in suspects.record_attempt(&crashed, now) {
                    event!(self.shared.logger, Event::PartQuarantined; "parts" => %exclusion,
                        "crashes" => exclusion.crashes,
                        "duration" => %exclusion.until.saturating_sub(now));
                    meter::quarantined();
                }
            }
            _ => {}
        }
    }

    /// Retry-After of a request that is refused because it crashes engines.
    fn refusal(&self) -> Option<unit::Millis> {
        let suspects = self.shared.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        suspects.refusal(self.fingerprint, &self.call.parts, clock::now())
    }

    /// Advances the window of the upstream process. The caller's queue bounds the unsent bytes.
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

    fn execute(&mut self, output: Output) -> Option<Part> {
        match output {
            Output::Choose { home, exclude, .. } => self.choose_upstream(home.as_ref(), &exclude),
            Output::Start { id, target, offset, left } => self.send_start(id, target, offset, left),
            Output::Seal(seal) => self.send_frame(seal.id, wire::Frame::Seal(seal)),
            Output::Cancel { id, .. } => self.send_frame(id, wire::Frame::Cancel(id)),
            Output::Resume { id, offset, .. } => {
                let offset = unit::Bytes::new(offset);
                self.send_frame(id, wire::Frame::Resume(frame::Position { id, offset }));
            }
            Output::Head(head) => return Some(Part::Head(head)),
            Output::Deliver(bytes) => {
                self.delivered_events += count_events(&bytes);
                self.meter.part();
                return Some(Part::Data(bytes));
            }
            Output::Wake(at) => self.wake_at = Some(at),
            Output::Finish(finish) => {
                self.record_finish(finish);
                return Some(Part::Finish(finish));
            }
        }
        None
    }

    fn choose_upstream(&mut self, home: Option<&id::Vm>, exclude: &[id::Vm]) {
        if let Some(retry_after) = self.refusal() {
            event!(self.shared.logger, Event::RequestNotServed;
                "team" => %self.call.team, "detail" => "request crashes engines");
            return self.handle_input(Input::NoUpstream { retry_after });
        }
        let input = match balancer::choose_for_call(&self.shared, &self.call, home, exclude) {
            Some(link) => Input::Chosen(Target {
                vm: link.peer.vm.clone(),
                incarnation: link.peer.incarnation,
                valid_until: link.peer.clock_at(clock::now()) + START_VALIDITY,
            }),
            None => Input::NoUpstream { retry_after: RETRY_AFTER },
        };
        self.handle_input(input);
    }

    fn send_start(&mut self, id: id::Attempt, target: Target, offset: u64, left: unit::Millis) {
        let link = self.shared.links.get(&target.vm);
        let Some(link) = link.filter(|link| link.peer.incarnation == target.incarnation) else {
            return self.handle_input(Input::Unsent(id));
        };
        let subscription = link.subscribe(id, self.sender.clone());
        let start = self.start_frame(id, &target, offset, left);
        // A frame that was not queued reached no socket.
        if link.try_send(wire::Frame::Start(Box::new(start))) {
            self.account.connection.enter(Stage::Running);
            let load_guard = Some(balancer::Guard::new(&self.shared, &self.call, id, &target.vm));
            let acknowledged = unit::Bytes::new(offset);
            let attempt = Attempt {
                link,
                _subscription: subscription,
                acknowledged,
                load_guard,
                sent_at: clock::now(),
                progress: Progress::new(),
            };
            self.attempts.insert(id, attempt);
        } else {
            self.handle_input(Input::Unsent(id));
        }
    }

    fn start_frame(
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
            skip: unit::Tokens::new(self.delivered_events),
            key: call.key.clone(),
            digest: Bytes::copy_from_slice(call.digest.as_bytes()),
            priority: call.priority as u8,
            tokens: call.tokens,
            valid_until: target.valid_until,
            revision: self.shared.fleet.load().revision,
        }
    }

    fn send_frame(&self, id: id::Attempt, frame: wire::Frame) {
        if let Some(attempt) = self.attempts.get(&id) {
            // The timers of the state machine recover from a lost frame.
            attempt.link.try_send(frame);
        }
    }

    /// The problem to send to the caller if the request ended without a complete response.
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

impl Drop for Driver {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        self.handle_input(Input::CallerDisconnected);
        while let Some(output) = self.outputs.pop_front() {
            self.execute(output);
        }
    }
}

fn count_events(bytes: &[u8]) -> u64 {
    bytes.windows(2).filter(|pair| *pair == call::EVENT_END).count() as u64
}
