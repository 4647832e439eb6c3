//! Life cycle of a request: its attempts, and the response that follows from how they ended.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use agateflow::direct::attempt;
use agateflow::direct::load::Health;
use agateflow::direct::response::Signs;
use agateflow::event::Event;
use agateflow::intake::Stage;
use agateflow::{id, outcome, unit};
use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode, request as head, response};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::time;

use super::exchange::{self, Exchange};
use super::permit::Refusal;
use super::reply::{self, Body};
use super::request::{self, Request};
use super::{Entry, stream};
use crate::blocks::{self, Blocks};
use crate::meter::{self, Class, Meter};
use crate::{event, intake};

/// Least remaining time for another attempt.
const MIN_ATTEMPT_TIME: unit::Millis = unit::Millis::new(30);

/// Largest response that is no stream, in bytes. It is buffered whole so that another upstream can
/// be tried if it breaks off.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// `retry-after` while the entry has no configuration.
const NO_CONFIG_RETRY_AFTER: unit::Millis = unit::Millis::new(500);

/// `retry-after` for a request that timed out before it was sent.
const TIMEOUT_RETRY_AFTER: unit::Millis = unit::Millis::new(250);

/// `retry-after` while the entry shuts down. Other entries take new connections at once.
const SHUTDOWN_RETRY_AFTER: unit::Millis = unit::Millis::new(100);

/// What a caller is told that has to make room for others.
const EVICTED_REASON: &str = "callers hold too much";

/// A request in progress, with its attempts.
pub struct Call {
    /// The entry.
    pub entry: Rc<Entry>,
    /// The request.
    pub request: Request,
    /// The caller's connection.
    pub connection: Arc<intake::Connection>,
    /// Attempts so far.
    pub record: attempt::Tracker,
    /// Upstreams already tried.
    pub tried: Vec<id::Vm>,
    /// Last event of the stream that the caller received.
    pub last_event: Option<u64>,
    /// Latency metrics.
    pub meter: Meter,
    /// When the caller last received an event of the stream.
    pub last_event_at: Option<unit::Millis>,
    /// Time from arrival to the first part of the response.
    pub time_to_first_part: Option<unit::Millis>,
    /// Longest pause between two events of the stream.
    pub longest_pause: unit::Micros,
    /// Whether an attempt was sent and has not ended.
    pub in_flight: Rc<Cell<bool>>,
    /// What the head of the last response said, if its status was no success.
    pub last_error: Option<Signs>,
    upstream_failure: Option<Response<Blocks>>,
}

/// Logs a caller that disconnects before its response begins, which drops the request.
struct Guard {
    entry: Rc<Entry>,
    id: Box<str>,
    in_flight: Rc<Cell<bool>>,
    response_began: bool,
}

impl Guard {
    const fn new(entry: Rc<Entry>, id: Box<str>, in_flight: Rc<Cell<bool>>) -> Self {
        Self { entry, id, in_flight, response_began: false }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.response_began {
            event!(self.entry.logger, Event::CallerLeft; "id" => &*self.id,
                "in_flight" => self.in_flight.get());
        }
    }
}

/// Serves one request.
pub async fn serve(
    entry: Rc<Entry>,
    connection: Arc<intake::Connection>,
    head: head::Parts,
    body: Incoming,
) -> Response<Body> {
    let _request_guard = entry.track_request();
    let arrived = entry.now();
    let id = entry.dialect.parse_request(&head).id;
    match request::read(&entry, &connection, head, body, arrived).await {
        Ok(request) => Call::new(entry, connection, request).run().await,
        Err(error) => {
            event!(entry.logger, Event::RequestRejected; "id" => &*id,
                "reason" => %error, "version" => entry.config_version());
            reject(error)
        }
    }
}

fn reject(error: request::Error) -> Response<Body> {
    if let request::Error::Full(full) = error {
        return reply::refusal(&full.to_string(), intake::RETRY_AFTER);
    }
    match error.status() {
        StatusCode::SERVICE_UNAVAILABLE => {
            reply::refusal(&error.to_string(), NO_CONFIG_RETRY_AFTER)
        }
        status => reply::problem(status, &error.to_string()),
    }
}

impl Call {
    fn new(entry: Rc<Entry>, connection: Arc<intake::Connection>, request: Request) -> Self {
        let class = if request.route.kind.is_stream() { Class::Stream } else { Class::Plain };
        let team = request.team.as_ref().map_or("", id::Team::as_str);
        Self {
            record: attempt::Tracker::new(request.route.kind, request.route.attempts),
            tried: Vec::new(),
            last_event: request.info.last_event,
            meter: Meter::named(team, class),
            last_event_at: None,
            time_to_first_part: None,
            longest_pause: unit::Micros::ZERO,
            in_flight: Rc::default(),
            last_error: None,
            upstream_failure: None,
            entry,
            request,
            connection,
        }
    }

    async fn run(mut self) -> Response<Body> {
        self.entry.learn_crashes(&self.request).await;
        let now = self.entry.now();
        if let Some(retry_delay) = self.entry.crash_refusal(&self.request) {
            return self.refuse("request crashes upstreams", retry_delay);
        }
        if !self.entry.admits(self.request.deadline) {
            return self.refuse("entry is shutting down", SHUTDOWN_RETRY_AFTER);
        }
        self.entry
            .with_service(&self.request.service, |service| service.budget.record_request(now));
        let deadline = self.entry.instant_at(self.request.deadline);
        let in_flight = self.in_flight.clone();
        let (entry, id) = (self.entry.clone(), self.request.info.id.clone());
        let mut guard = Guard::new(entry.clone(), id.clone(), in_flight.clone());
        let maybe_ran = Rc::new(Cell::new(false));
        let connection = self.connection.clone();
        let ran = maybe_ran.clone();
        let response = tokio::select! {
            response = time::timeout_at(deadline, self.run_attempts(ran)) => response.ok(),
            () = entry.wait_for_answers_due() => None,
            () = evicted_while_waiting(&connection, &in_flight, &maybe_ran) => {
                guard.response_began = true;
                return refuse_evicted(&entry, &id);
            }
        };
        guard.response_began = true;
        if let Some(response) = response {
            return response;
        }
        let shutdown = entry.is_shutting_down();
        if in_flight.get() || maybe_ran.get() {
            event!(entry.logger, Event::RequestTimedOut; "id" => &*id, "ran" => "unknown",
                "shutdown" => shutdown);
            return reply::problem(StatusCode::GATEWAY_TIMEOUT, "no answer in time");
        }
        event!(entry.logger, Event::RequestTimedOut; "id" => &*id, "ran" => "no",
            "shutdown" => shutdown);
        reply::refusal("no place in time", TIMEOUT_RETRY_AFTER)
    }

    async fn run_attempts(mut self, ran: Rc<Cell<bool>>) -> Response<Body> {
        loop {
            if !ran.get() {
                self.connection.enter(Stage::Waiting);
            }
            let end = match self.send_attempt().await {
                Ok(exchange) if is_event_stream(&exchange.response) => {
                    return stream::forward(self, exchange);
                }
                Ok(exchange) => match self.collect_response(exchange).await {
                    Ok(response) => return response,
                    Err(end) => end,
                },
                Err(exchange::Error::Refused(refusal)) => {
                    return self.refuse_without_permit(refusal);
                }
                Err(exchange::Error::Ended(end)) => end,
            };
            let step = self.next_step(end);
            ran.set(self.record.maybe_ran());
            match step {
                attempt::Action::Again => {}
                attempt::Action::Refuse => {
                    let retry_delay = self.entry.retry_delay(&self.request.service);
                    return self.refuse("upstreams did not run it", retry_delay);
                }
                attempt::Action::Pass => return self.forward_failure(),
                attempt::Action::Fail => {
                    return self.fail(StatusCode::BAD_GATEWAY, failure_reason(end));
                }
                attempt::Action::TimeOut => {
                    return self.fail(StatusCode::GATEWAY_TIMEOUT, "upstream silent");
                }
            }
        }
    }

    /// Decides the next step after an attempt ended.
    pub fn next_step(&mut self, end: attempt::Outcome) -> attempt::Action {
        let now = self.entry.now();
        let refused = self.entry.crash_refusal(&self.request).is_some();
        let has_time = !refused && now + MIN_ATTEMPT_TIME < self.request.deadline;
        let mut preview = self.record;
        let wants_retry = end != attempt::Outcome::Unsent
            && preview.record_outcome(end, true, has_time) == attempt::Action::Again;
        let has_budget = wants_retry && self.entry.take_retry(&self.request.service);
        let step = self.record.record_outcome(end, has_budget, has_time);
        meter::attempted(&self.request.service, end.as_str());
        event!(self.entry.logger, Event::AttemptEnded; "id" => &*self.request.info.id,
            "end" => ?end, "sent" => self.record.sent(), "attempts" => self.request.route.attempts,
            "budget" => has_budget, "left" => %self.request.deadline.saturating_sub(now),
            "last_error" => self.last_error.as_ref().map(ToString::to_string),
            "last_tried" => self.tried.last().map(id::Vm::as_str), "next" => ?step);
        step
    }

    async fn collect_response(
        &mut self,
        exchange: Exchange,
    ) -> Result<Response<Body>, attempt::Outcome> {
        let Exchange { response, connection, permit } = exchange;
        let (head, body) = response.into_parts();
        let vm = permit.upstream.vm.clone();
        let body = match collect_body(body, &self.connection).await {
            Ok(body) => body,
            Err(Collect::Full(full)) => {
                return Ok(self.fail(StatusCode::BAD_GATEWAY, &full.to_string()));
            }
            Err(Collect::Broken) => {
                event!(self.entry.logger, Event::UpstreamFailed; "id" => &*self.request.info.id,
                    "upstream" => %vm, "reason" => "response incomplete or too long",
                    "answered" => false);
                self.end_attempt(&permit.upstream, attempt::Outcome::Broken, Health::Bad);
                self.entry.check_crash(&self.request, permit.granted_at, &permit.upstream).await;
                return Err(attempt::Outcome::Broken);
            }
        };
        connection.release();
        if head.status.is_success() {
            self.entry.load.borrow_mut().observe(&vm, Health::Good, self.entry.now());
            self.entry.suspects.borrow_mut().clear(self.request.fingerprint);
            self.entry.record_answer(&self.request);
            return Ok(self.forward_response(head, body));
        }
        let end = match outcome::promises_not_run(head.status.as_u16()) {
            true => attempt::Outcome::Unproven,
            false => {
                self.upstream_failure = Some(Response::from_parts(head, body));
                attempt::Outcome::Failed
            }
        };
        let health = if self.request.route.kind.is_stream() { Health::Bad } else { Health::Good };
        self.end_attempt(&permit.upstream, end, health);
        Err(end)
    }

    fn forward_response(&mut self, head: response::Parts, body: Blocks) -> Response<Body> {
        self.meter.part();
        self.record_end(head.status, outcome::Outcome::Ran);
        let mut response = Response::from_parts(head, reply::whole(body));
        let is_head = self.request.method == http::Method::HEAD;
        let length = response.headers().get(CONTENT_LENGTH).cloned();
        let headers = std::mem::take(response.headers_mut());
        *response.headers_mut() = request::strip_hop_by_hop(headers);
        if let Some(length) = length.filter(|_| is_head) {
            response.headers_mut().insert(CONTENT_LENGTH, length);
        }
        response
    }

    fn forward_failure(&mut self) -> Response<Body> {
        match self.upstream_failure.take() {
            Some(failure) => {
                let (head, body) = failure.into_parts();
                self.forward_response(head, body)
            }
            None => self.fail(StatusCode::BAD_GATEWAY, "upstream failed"),
        }
    }

    fn refuse_without_permit(&mut self, refusal: Refusal) -> Response<Body> {
        if self.upstream_failure.is_some() {
            return self.forward_failure();
        }
        if self.record.maybe_ran() {
            return self.fail(StatusCode::BAD_GATEWAY, "no upstream left");
        }
        match refusal {
            Refusal::Closed(retry_delay) => self.refuse("group of ranks closed", retry_delay),
            Refusal::NoUpstream(retry_delay) => self.refuse("no upstream", retry_delay),
            Refusal::Resting(retry_delay) => self.refuse("upstreams ask for rest", retry_delay),
            Refusal::Busy(retry_delay) => self.refuse("no place in time", retry_delay),
            Refusal::Quarantined(retry_delay) => {
                self.refuse("request crashes upstreams", retry_delay)
            }
            Refusal::Evicted => self.refuse(EVICTED_REASON, intake::RETRY_AFTER),
        }
    }

    fn refuse(&mut self, reason: &str, retry_delay: unit::Millis) -> Response<Body> {
        meter::refused(&self.request.service, reason);
        let occupancy = self.entry.occupancy(&self.request.service);
        event!(self.entry.logger, Event::RequestRefused; "id" => &*self.request.info.id,
            "service" => %self.request.service, "reason" => reason, "retry_after" => %retry_delay,
            "waiting" => occupancy.queued, "limit" => occupancy.mean_limit,
            "factor" => occupancy.max_cost_factor, "mean" => occupancy.mean_requests,
            "open" => occupancy.open_upstreams, "sent" => self.record.sent(),
            "maybe_ran" => self.record.maybe_ran(),
            "last_error" => self.last_error.as_ref().map(ToString::to_string),
            "waited" => %self.entry.now().saturating_sub(self.request.arrived));
        self.meter.end(outcome::Outcome::NotRun);
        reply::refusal(reason, retry_delay)
    }

    fn fail(&mut self, status: StatusCode, reason: &str) -> Response<Body> {
        self.record_end(status, outcome::Outcome::Unknown);
        reply::problem(status, reason)
    }

    /// Logs and counts the end of the request.
    pub fn record_end(&self, status: StatusCode, outcome: outcome::Outcome) {
        event!(self.entry.logger, Event::RequestEnded; "id" => &*self.request.info.id,
            "route" => &*self.request.route.name, "status" => status.as_u16(),
            "outcome" => outcome.as_str(), "sent" => self.record.sent(),
            "last_tried" => self.tried.last().map(id::Vm::as_str),
            "last_error" => self.last_error.as_ref().map(ToString::to_string),
            "first" => self.time_to_first_part.map(unit::Millis::get),
            "longest_pause_us" => self.longest_pause.get(),
            "took" => %self.entry.now().saturating_sub(self.request.arrived));
        self.meter.end(outcome);
    }
}

/// Why a body was not collected.
enum Collect {
    /// There is no memory for it.
    Full(intake::Full),
    /// It is incomplete or too long.
    Broken,
}

/// Collects the body of a response, charged to the caller's connection.
async fn collect_body(
    mut body: Incoming,
    connection: &Arc<intake::Connection>,
) -> Result<Blocks, Collect> {
    let announced = body.size_hint().exact();
    let mut builder = blocks::Builder::new(connection, announced).await.map_err(Collect::Full)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Collect::Broken)?;
        let Ok(bytes) = frame.into_data() else { continue };
        if builder.length() + bytes.len() as u64 > MAX_RESPONSE_BYTES {
            return Err(Collect::Broken);
        }
        builder.push(&bytes).await.map_err(Collect::Full)?;
    }
    Ok(builder.finish())
}

/// Waits until the connection of a request has to go that was sent to no upstream.
async fn evicted_while_waiting(
    connection: &intake::Connection,
    in_flight: &Cell<bool>,
    maybe_ran: &Cell<bool>,
) {
    connection.evicted().await;
    if in_flight.get() || maybe_ran.get() {
        std::future::pending::<()>().await;
    }
}

fn refuse_evicted(entry: &Entry, id: &str) -> Response<Body> {
    event!(entry.logger, Event::RequestRefused; "id" => id, "reason" => EVICTED_REASON,
        "retry_after" => %intake::RETRY_AFTER, "sent" => 0, "maybe_ran" => false);
    reply::refusal(EVICTED_REASON, intake::RETRY_AFTER)
}

/// What the caller is told of an attempt after which it is unknown whether the request ran.
const fn failure_reason(end: attempt::Outcome) -> &'static str {
    match end {
        attempt::Outcome::Unproven => "upstream failed, perhaps after it ran the request",
        _ => "upstream broke off",
    }
}

/// Whether a response is a stream of events.
pub fn is_event_stream(response: &Response<Incoming>) -> bool {
    let kind = response.headers().get(http::header::CONTENT_TYPE);
    let is_event_stream =
        kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    response.status().is_success() && is_event_stream
}
