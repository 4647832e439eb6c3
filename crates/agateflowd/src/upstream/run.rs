//! Attempts at this upstream process: what the admission table decides is carried out here.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use agateflow::admission::{self, Ending, Input, Output, Table, answer, ticket};
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

use crate::upstream::outlet::Outlet;
use crate::upstream::turns::Turns;
use crate::upstream::{Shared, answer as passing, backend};
use crate::{clock, event};

/// Detail of refusals; the reason says the rest.
const REFUSED: &str = "refused by the upstream process";

/// Detail of attempts that failed.
const NO_ANSWER: &str = "the engine gave no whole answer";

/// An attempt that waits or runs.
#[derive(Clone)]
struct Active {
    start: Arc<frame::Start>,
    outlet: Arc<Outlet>,
    cancel: CancellationToken,
}

struct State {
    table: Table,
    issuer: ticket::Issuer,
    active: IndexMap<id::Attempt, Active>,
    turns: Turns,
    leaving: bool,
}

/// One output of the table, with the attempt that it is about as long as that waits or runs.
struct Decision {
    output: Output,
    active: Option<Active>,
}

impl State {
    /// Tells the table something. Attempts that ended by it are forgotten.
    fn decide(&mut self, input: Input) -> Vec<Decision> {
        let outputs = self.table.handle(input, clock::now());
        let find = |output: &Output| self.active.get(&subject(output)).cloned();
        let decided =
            outputs.into_iter().map(|output| Decision { active: find(&output), output }).collect();
        if self.active.len() > self.table.in_flight() {
            self.forget();
        }
        decided
    }

    fn forget(&mut self) {
        let Self { active, table, turns, .. } = self;
        active.retain(|&id, _| {
            let in_flight = table.is_in_flight(id);
            if !in_flight {
                turns.ended(id);
            }
            in_flight
        });
    }

    /// Tells the table of a start and keeps it if the table admits it.
    fn start(
        &mut self,
        input: admission::Start,
        start: frame::Start,
        queue: &mpsc::Sender<wire::Frame>,
    ) -> Vec<Decision> {
        let decided = self.decide(Input::Start(input));
        if decided.iter().any(|d| d.output == Output::Admit(start.id)) {
            let outlet = Arc::new(Outlet::new(start.id, start.offset, queue.clone()));
            let cancel = CancellationToken::new();
            let id = start.id;
            self.active.insert(id, Active { start: Arc::new(start), outlet, cancel });
        }
        decided
    }
}

/// The attempt that an output is about.
const fn subject(output: &Output) -> id::Attempt {
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

/// The attempts of this process.
pub struct Runs {
    state: Mutex<State>,
}

impl Runs {
    /// Creates the attempts of a process with an empty table.
    pub fn new(table: Table, issuer: ticket::Issuer) -> Self {
        let active = IndexMap::new();
        let state = State { table, issuer, active, turns: Turns::new(), leaving: false };
        Self { state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Attempts that wait or run.
    pub fn running(&self) -> usize {
        self.state().active.len()
    }

    /// Whether new attempts are refused.
    pub fn is_leaving(&self) -> bool {
        self.state().leaving
    }

    /// Changes the homes of idempotency keys.
    pub fn with_home<T>(&self, change: impl FnOnce(&mut admission::idempotency::Home) -> T) -> T {
        change(self.state().table.home_mut())
    }

    /// The load of the engine and its queue.
    pub fn load(&self) -> message::Load {
        self.state().turns.load()
    }

    /// Records how far the entry consumed an answer.
    pub fn advance(&self, mark: frame::Position) {
        if let Some(active) = self.state().active.get(&mark.id) {
            active.outlet.advance(mark.offset);
        }
    }

    /// Issues tickets.
    pub fn tickets(&self, call: &frame::TicketCall, secret: &ticket::Secret) -> Vec<bytes::Bytes> {
        let tickets = self.state().issuer.issue(&call.team, call.count, clock::now());
        tickets.iter().map(|ticket| ticket.encode(secret).into_vec().into()).collect()
    }
}

/// Refuses new attempts from now on.
pub async fn leave(shared: &Arc<Shared>) {
    shared.runs.state().leaving = true;
    tell(shared, Input::Drain, None).await;
}

/// Takes the start of an attempt from a link.
pub async fn start(shared: &Arc<Shared>, start: frame::Start, queue: &mpsc::Sender<wire::Frame>) {
    let id = start.id;
    match admission_start(&start) {
        Ok(input) => {
            let decided = shared.runs.state().start(input, start, queue);
            finish(shared, decided, Some(queue)).await;
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

/// Tells the table something and carries out what it asks for. Replies go to `queue`, or to the
/// link that the attempt has.
pub async fn tell(shared: &Arc<Shared>, input: Input, queue: Option<&mpsc::Sender<wire::Frame>>) {
    let decided = shared.runs.state().decide(input);
    finish(shared, decided, queue).await;
}

async fn finish(
    shared: &Arc<Shared>,
    decided: Vec<Decision>,
    queue: Option<&mpsc::Sender<wire::Frame>>,
) {
    let mut decided = VecDeque::from(decided);
    while let Some(decision) = decided.pop_front() {
        if let Some(input) = carry_out(shared, decision, queue).await {
            decided.extend(shared.runs.state().decide(input));
        }
    }
    hand_over(shared);
}

/// Hands over what waits while the engine has free places. Replies go to the attempts' own links.
fn hand_over(shared: &Arc<Shared>) {
    loop {
        let decided = {
            let mut state = shared.runs.state();
            let Some(input) = state.turns.next(clock::now()) else { return };
            state.decide(input)
        };
        for decision in decided {
            // The link of another attempt may be slow: nobody waits for it here.
            let shared = shared.clone();
            tokio::spawn(async move { carry_out(&shared, decision, None).await });
        }
    }
}

/// Queues an admitted attempt.
fn enqueue(shared: &Shared, id: id::Attempt) -> Option<Input> {
    let fleet = shared.fleet.borrow().clone();
    let mut state = shared.runs.state();
    let start = state.active.get(&id)?.start.clone();
    state.turns.set_batch(&fleet, &shared.identity.vm);
    state.turns.push(&start, &fleet, clock::now())
}

/// Carries out one decision; the result is what to tell the table next.
async fn carry_out(
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
            let failed = frame::Failed { id, detail: NO_ANSWER.into(), crashed };
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

/// Where the frames of one decision go.
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
            (None, Some(active)) => active.outlet.conclude(frame).await,
            (None, None) => {}
        }
    }

    async fn attach(&self, offset: u64) {
        if let (Some(queue), Some(active)) = (self.queue, self.active) {
            active.outlet.attach(queue.clone(), unit::Bytes::new(offset)).await;
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

fn refused(
    id: id::Attempt,
    reason: admission::reason::Reason,
    retry_after: unit::Millis,
) -> wire::Frame {
    wire::Frame::Refused(frame::Refused { id, reason, retry_after, detail: REFUSED.into() })
}

async fn run(shared: Arc<Shared>, active: Active) {
    let Active { start, outlet, cancel } = active;
    let id = start.id;
    // A call that may not be repeated goes on after its deadline: its record must say how it ended.
    let limit = time::sleep(start.deadline.duration());
    let limited = start.repeatable;
    let ending = tokio::select! {
        ending = attempt(&shared, &start, &outlet) => ending,
        () = cancel.cancelled() => Ending::Ambiguous,
        () = limit, if limited => Ending::Ambiguous,
    };
    if matches!(ending, Ending::Complete(_)) {
        shared.runs.state().turns.served(id, clock::now());
    }
    finished(&shared, id, ending).await;
}

/// Boxed, since what follows an ending may start further attempts.
fn finished(
    shared: &Arc<Shared>,
    id: id::Attempt,
    ending: Ending,
) -> Pin<Box<dyn Future<Output = ()> + Send + '_>> {
    Box::pin(tell(shared, Input::Finished { id, ending }, None))
}

async fn attempt(shared: &Shared, start: &frame::Start, outlet: &Outlet) -> Ending {
    let response = match shared.backend.call(start).await {
        Ok(response) => response,
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
    match passing::pass(response, start.offset, outlet).await {
        Ok(whole) => {
            outlet.end(whole.length).await;
            Ending::Complete(whole.kept)
        }
        Err(error) => {
            event!(shared.logger, Event::EngineFailed; "attempt" => %start.id, "cause" => %error);
            Ending::Crashed
        }
    }
}
