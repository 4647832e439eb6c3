//! Attempts of this upstream process: executes the outputs of the admission table.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agateflow::admission::{self, Ending, Input, Output, Table, answer, ticket};
use agateflow::direct::rate;
use agateflow::event::Event;
use agateflow::fleet::message;
use agateflow::id;
use agateflow::unit;
use agateflow::wire;
use agateflow::wire::frame;
use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::notice::{self, Notice};
use crate::upstream::scheduler::Scheduler;
use crate::upstream::sender::Sender;
use crate::upstream::{Shared, backend, relay};
use crate::{clock, event};

/// Detail of refusals; the reason field gives the cause.
const REFUSAL_DETAIL: &str = "refused by the upstream process";

/// Detail of failed attempts.
const FAILURE_DETAIL: &str = "the engine gave no whole answer";

/// Interval between checks whether the engine's rate limit or rest allows another dispatch.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A queued or running attempt.
#[derive(Clone)]
struct Active {
    start: Arc<frame::Start>,
    sender: Arc<Sender>,
    cancel: CancellationToken,
}

struct State {
    table: Table,
    issuer: ticket::Issuer,
    active: IndexMap<id::Attempt, Active>,
    scheduler: Scheduler,
    draining: bool,
}

/// An output of the table, with its attempt if that is still queued or running.
struct Decision {
    output: Output,
    active: Option<Active>,
}

impl State {
    /// Passes an input to the table and removes the attempts that it ended.
    fn apply(&mut self, input: Input) -> Vec<Decision> {
        let outputs = self.table.handle(input, clock::now());
        let find_active = |output: &Output| self.active.get(&attempt_id(output)).cloned();
        let decisions = outputs
            .into_iter()
            .map(|output| Decision { active: find_active(&output), output })
            .collect();
        if self.active.len() > self.table.in_flight() {
            self.remove_ended();
        }
        decisions
    }

    fn remove_ended(&mut self) {
        let Self { active, table, scheduler, .. } = self;
        active.retain(|&id, _| {
            let in_flight = table.is_in_flight(id);
            if !in_flight {
                scheduler.remove(id);
            }
            in_flight
        });
    }

    /// Passes a start to the table and stores its attempt if the table admits it.
    fn start(
        &mut self,
        input: admission::Start,
        start: frame::Start,
        queue: &mpsc::Sender<wire::Frame>,
    ) -> Vec<Decision> {
        let decisions = self.apply(Input::Start(input));
        if decisions.iter().any(|d| d.output == Output::Admit(start.id)) {
            let sender = Arc::new(Sender::new(start.id, start.offset, queue.clone()));
            let cancel = CancellationToken::new();
            let id = start.id;
            self.active.insert(id, Active { start: Arc::new(start), sender, cancel });
        }
        decisions
    }
}

/// Returns the attempt of an output.
const fn attempt_id(output: &Output) -> id::Attempt {
    match output {
        Output::Admit(id)
        | Output::Run(id)
        | Output::Dequeue(id)
        | Output::CancelEngine(id)
        | Output::Refuse { id, .. }
        | Output::Sealed { id, .. }
        | Output::Attach { id, .. }
        | Output::Replay { id, .. }
        | Output::Failed { id, .. } => *id,
    }
}

/// Attempts of this process.
pub struct Registry {
    state: Mutex<State>,
}

impl Registry {
    /// Creates a registry without attempts.
    pub fn new(table: Table, issuer: ticket::Issuer, vm: id::Vm) -> Self {
        let (active, scheduler) = (IndexMap::new(), Scheduler::new(vm));
        let state = State { table, issuer, active, scheduler, draining: false };
        Self { state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of queued and running attempts.
    pub fn active_attempts(&self) -> usize {
        self.state().active.len()
    }

    /// Whether new attempts are refused.
    pub fn is_draining(&self) -> bool {
        self.state().draining
    }

    /// Updates the homes of idempotency keys.
    pub fn with_home<T>(&self, change: impl FnOnce(&mut admission::idempotency::Home) -> T) -> T {
        change(self.state().table.home_mut())
    }

    /// Returns the load of the engine and its queue.
    pub fn load(&self) -> message::Load {
        self.state().scheduler.load(clock::now())
    }

    /// Records how far the entry has consumed a response.
    pub fn acknowledge(&self, mark: frame::Position) {
        if let Some(active) = self.state().active.get(&mark.id) {
            active.sender.acknowledge(mark.offset);
        }
    }

    /// Issues the requested tickets, encoded.
    pub fn issue_tickets(
        &self,
        call: &frame::TicketCall,
        secret: &ticket::Secret,
    ) -> Vec<bytes::Bytes> {
        let tickets = self.state().issuer.issue(&call.team, call.count, clock::now());
        tickets.iter().map(|ticket| ticket.encode(secret).into_vec().into()).collect()
    }
}

/// Refuses new attempts from now on.
pub async fn start_drain(shared: &Arc<Shared>) {
    shared.attempts.state().draining = true;
    process(shared, Input::Drain, None).await;
}

/// Starts an attempt received over a link.
pub async fn start(shared: &Arc<Shared>, start: frame::Start, queue: &mpsc::Sender<wire::Frame>) {
    let id = start.id;
    match admission_start(&start) {
        Ok(input) => {
            let decisions = shared.attempts.state().start(input, start, queue);
            execute_all(shared, decisions, Some(queue)).await;
        }
        Err(reason) => {
            let _ = queue.send(refused(id, reason, unit::Millis::ZERO)).await;
        }
    }
}

fn admission_start(start: &frame::Start) -> Result<admission::Start, admission::reason::Reason> {
    let digest = start.digest.as_ref().try_into();
    let digest = digest.map_err(|_| admission::reason::Reason::Conflict)?;
    let key = match &start.key {
        frame::Key::None => admission::Key::None,
        frame::Key::Idempotency(key) => {
            admission::Key::Idempotency(String::from_utf8_lossy(key).into())
        }
        frame::Key::Ticket(ticket) => admission::Key::Ticket(ticket.to_vec().into()),
    };
    let service = start.service.parse().map_err(|_| admission::reason::Reason::NotHome)?;
    Ok(admission::Start {
        id: start.id,
        target: start.target,
        valid_until: start.valid_until,
        time_left: start.deadline,
        team: start.team.clone(),
        service,
        repeatable: start.repeatable,
        key,
        digest: admission::Digest::from_bytes(digest),
        revision: start.revision,
    })
}

/// Passes an input to the table and executes the outputs. Replies go to `queue` if given, else to
/// the attempt's current link.
pub async fn process(
    shared: &Arc<Shared>,
    input: Input,
    queue: Option<&mpsc::Sender<wire::Frame>>,
) {
    let decisions = shared.attempts.state().apply(input);
    execute_all(shared, decisions, queue).await;
}

async fn execute_all(
    shared: &Arc<Shared>,
    decisions: Vec<Decision>,
    queue: Option<&mpsc::Sender<wire::Frame>>,
) {
    let mut decisions = VecDeque::from(decisions);
    while let Some(decision) = decisions.pop_front() {
        if let Some(input) = execute(shared, decision, queue).await {
            decisions.extend(shared.attempts.state().apply(input));
        }
    }
    dispatch_queued(shared);
}

/// Dispatches queued attempts while the engine has capacity. Replies go to the attempts' own links.
fn dispatch_queued(shared: &Arc<Shared>) {
    loop {
        let decisions = {
            let mut state = shared.attempts.state();
            let now = clock::now();
            match state.scheduler.next_dispatch(now) {
                Some(input) => state.apply(input),
                None if state.scheduler.start_recheck(now) => {
                    tokio::spawn(recheck(shared.clone()));
                    return;
                }
                None => return,
            }
        };
        for decision in decisions {
            // Spawned, since the link of another attempt may be slow.
            let shared = shared.clone();
            tokio::spawn(async move { execute(&shared, decision, None).await });
        }
    }
}

/// Dispatches attempts that the engine's rate limit or rest held back.
async fn recheck(shared: Arc<Shared>) {
    time::sleep(RECHECK_INTERVAL).await;
    shared.attempts.state().scheduler.end_recheck();
    dispatch_queued(&shared);
}

/// Queues an admitted attempt.
fn enqueue(shared: &Shared, id: id::Attempt) -> Option<Input> {
    let fleet = shared.fleet.borrow().clone();
    let mut state = shared.attempts.state();
    let start = state.active.get(&id)?.start.clone();
    state.scheduler.set_batch(&fleet, &shared.identity.vm);
    state.scheduler.push(&start, &fleet, clock::now())
}

/// Executes a decision and returns the next input of the table, if any.
async fn execute(
    shared: &Arc<Shared>,
    decision: Decision,
    queue: Option<&mpsc::Sender<wire::Frame>>,
) -> Option<Input> {
    let Decision { output, active } = decision;
    let route = Route { queue, active: active.as_ref() };
    match output {
        Output::Admit(id) => return enqueue(shared, id),
        Output::Run(_) => {
            if let Some(active) = active {
                tokio::spawn(run(shared.clone(), active));
            }
        }
        Output::Dequeue(_) => {}
        Output::Refuse { id, reason, retry_after } => {
            route.reply(refused(id, reason, retry_after)).await;
        }
        Output::Sealed { id, state } => {
            route.reply(wire::Frame::Sealed(frame::Sealed { id, state })).await;
        }
        Output::Attach { offset, .. } => route.attach(offset).await,
        Output::Replay { id, offset, answer } => route.replay(id, offset, answer).await,
        Output::Failed { id, crashed } => {
            let failed = frame::Failed { id, detail: FAILURE_DETAIL.into(), crashed };
            route.reply(wire::Frame::Failed(failed)).await;
        }
        Output::CancelEngine(_) => {
            if let Some(active) = active {
                active.cancel.cancel();
            }
        }
    }
    None
}

/// Destination of the frames of one decision.
struct Route<'a> {
    queue: Option<&'a mpsc::Sender<wire::Frame>>,
    active: Option<&'a Active>,
}

impl Route<'_> {
    async fn reply(&self, frame: wire::Frame) {
        match (self.queue, self.active) {
            (Some(queue), _) => {
                let _ = queue.send(frame).await;
            }
            (None, Some(active)) => active.sender.send_final(frame).await,
            (None, None) => {}
        }
    }

    async fn attach(&self, offset: u64) {
        if let (Some(queue), Some(active)) = (self.queue, self.active) {
            active.sender.attach(queue.clone(), unit::Bytes::new(offset)).await;
        }
    }

    async fn replay(&self, id: id::Attempt, offset: u64, answer: answer::Answer) {
        let Some(queue) = self.queue else { return };
        let length = answer.body.len() as u64;
        let from = offset.min(length);
        let bytes = answer.body.slice(from as usize..);
        let offset = unit::Bytes::new(from);
        let end = frame::Position { id, offset: unit::Bytes::new(length) };
        for frame in [
            wire::Frame::Head(frame::Head { id, head: answer.head }),
            wire::Frame::Data(frame::Data { id, offset, bytes }),
            wire::Frame::End(end),
        ] {
            let _ = queue.send(frame).await;
        }
    }
}

/// The refusal of an attempt that did not run.
pub fn refused(
    id: id::Attempt,
    reason: admission::reason::Reason,
    retry_after: unit::Millis,
) -> wire::Frame {
    wire::Frame::Refused(frame::Refused { id, reason, retry_after, detail: REFUSAL_DETAIL.into() })
}

async fn run(shared: Arc<Shared>, active: Active) {
    let Active { start, sender, cancel } = active;
    let id = start.id;
    // A call that isn't repeatable continues past its deadline: its record must say how it ended.
    let deadline = time::sleep(start.deadline.duration());
    let enforce_deadline = start.repeatable;
    let ending = tokio::select! {
        ending = call_engine(&shared, &start, &sender) => ending,
        () = cancel.cancelled() => Ending::Ambiguous,
        () = deadline, if enforce_deadline => Ending::Ambiguous,
    };
    if matches!(ending, Ending::Complete(_)) {
        shared.attempts.state().scheduler.record_completion(id, clock::now());
    }
    record_ending(&shared, id, ending).await;
}

/// Boxed, since an ending may start further attempts (async recursion).
fn record_ending(
    shared: &Arc<Shared>,
    id: id::Attempt,
    ending: Ending,
) -> Pin<Box<dyn Future<Output = ()> + Send + '_>> {
    Box::pin(process(shared, Input::Finished { id, ending }, None))
}

/// Records what the engine says of itself in the response to a call sent at `sent_at`.
fn record_notice(shared: &Shared, notice: Notice, sent_at: unit::Millis) {
    let vm = &shared.identity.vm;
    notice.log(&shared.logger, vm);
    let changed = shared.attempts.state().scheduler.record_notice(notice, sent_at, clock::now());
    if changed {
        let change = rate::Change { upstream: vm.clone(), limit: notice.rate_limit };
        notice::log_rate_limit(&shared.logger, &change, "response");
    }
}

/// Lets attempts pass again once an engine that said it leaves has ended.
pub async fn check_leaving_engine(shared: &Arc<Shared>) {
    let is_leaving = shared.attempts.state().scheduler.is_engine_leaving();
    if is_leaving && shared.backend.has_ended().await {
        shared.attempts.state().scheduler.record_engine_end();
        dispatch_queued(shared);
    }
}

async fn call_engine(shared: &Shared, start: &frame::Start, sender: &Sender) -> Ending {
    let sent_at = clock::now();
    let response = match shared.backend.call(start).await {
        Ok(response) => {
            let notice = backend::parse_notice(response.status(), response.headers());
            record_notice(shared, notice, sent_at);
            if !response.status().is_success() {
                event!(shared.logger, Event::EngineError;
                    "attempt" => %start.id, "status" => response.status().as_u16());
            }
            response
        }
        Err(error @ backend::Error::Ambiguous { .. }) => {
            event!(shared.logger, Event::EngineFailed; "attempt" => %start.id, "cause" => %error);
            return Ending::Crashed;
        }
        Err(error) => {
            event!(shared.logger, Event::EngineUnreachable;
                "attempt" => %start.id, "cause" => %error);
            return Ending::NotDispatched;
        }
    };
    match relay::forward(response, start.offset, sender).await {
        Ok(completion) => {
            sender.send_end(completion.length).await;
            Ending::Complete(completion.stored)
        }
        Err(error) => {
            event!(shared.logger, Event::EngineFailed; "attempt" => %start.id, "cause" => %error);
            Ending::Crashed
        }
    }
}
