//! The way of one request: a place, an attempt, and what follows from how it ended.

use std::cell::Cell;
use std::rc::Rc;

use agateflow::direct::attempt;
use agateflow::direct::load::Health;
use agateflow::event::Event;
use agateflow::{id, outcome, unit};
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode, request as head, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time;

use super::place::Refusal;
use super::reply::{self, Body};
use super::request::{self, Request};
use super::send::{Begun, Stop};
use super::{Entry, stream};
use crate::event;
use crate::meter::{self, Class, Meter};

/// Least time left for another attempt.
const LEAST_TIME: unit::Millis = unit::Millis::new(30);

/// Longest answer that is no stream, in bytes. It is held whole, as another upstream may be asked
/// where it breaks off.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Time after which a caller is asked to come back that reached an entry without configuration.
const START_RETRY: unit::Millis = unit::Millis::new(500);

/// Time after which a caller whose time ran out unserved is asked to come back.
const LATE_RETRY: unit::Millis = unit::Millis::new(250);

/// A request on its way, with its attempts.
pub struct Call {
    /// The entry.
    pub entry: Rc<Entry>,
    /// The request.
    pub request: Request,
    /// Its attempts.
    pub record: attempt::Tracker,
    /// Upstreams that it was sent to.
    pub tried: Vec<id::Vm>,
    /// Last event of its stream that the caller has.
    pub last_event: Option<u64>,
    /// Its times, for metrics.
    pub meter: Meter,
    /// When the caller last got an event of its stream.
    pub heard_at: Option<unit::Millis>,
    /// Time from its arrival to the first part of its answer.
    pub first: Option<unit::Millis>,
    /// Longest pause between two events of its stream.
    pub longest: unit::Micros,
    /// Whether an attempt was sent and has not ended.
    pub in_flight: Rc<Cell<bool>>,
    failure: Option<Response<Bytes>>,
}

/// Tells of a caller that leaves before its answer begins: the request is dropped then.
struct Watch {
    entry: Rc<Entry>,
    id: Box<str>,
    in_flight: Rc<Cell<bool>>,
    answered: bool,
}

impl Watch {
    const fn new(entry: Rc<Entry>, id: Box<str>, in_flight: Rc<Cell<bool>>) -> Self {
        Self { entry, id, in_flight, answered: false }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.answered {
            event!(self.entry.logger, Event::CallerLeft; "id" => &*self.id,
                "in_flight" => self.in_flight.get());
        }
    }
}

/// Serves one request.
pub async fn serve(entry: Rc<Entry>, head: head::Parts, body: Incoming) -> Response<Body> {
    let _running = entry.enter();
    let arrived = entry.now();
    let id = entry.dialect.request(&head).id;
    match request::read(&entry, head, body, arrived).await {
        Ok(request) => Call::new(entry, request).run().await,
        Err(error) => {
            event!(entry.logger, Event::RequestRejected; "id" => &*id,
                "reason" => %error, "version" => entry.version());
            reject(error)
        }
    }
}

fn reject(error: request::Error) -> Response<Body> {
    match error.status() {
        StatusCode::SERVICE_UNAVAILABLE => reply::refusal(&error.to_string(), START_RETRY),
        status => reply::problem(status, &error.to_string()),
    }
}

impl Call {
    fn new(entry: Rc<Entry>, request: Request) -> Self {
        let class = if request.route.kind.is_stream() { Class::Stream } else { Class::Plain };
        let team = request.team.as_ref().map_or("", id::Team::as_str);
        Self {
            record: attempt::Tracker::new(request.route.kind, request.route.attempts),
            tried: Vec::new(),
            last_event: request.ask.last_event,
            meter: Meter::named(team, class),
            heard_at: None,
            first: None,
            longest: unit::Micros::ZERO,
            in_flight: Rc::default(),
            failure: None,
            entry,
            request,
        }
    }

    async fn run(mut self) -> Response<Body> {
        let now = self.entry.now();
        if self.entry.suspects.borrow().is_poison(self.request.fingerprint, now) {
            return self.refuse("request crashes upstreams", unit::Millis::new(60_000));
        }
        self.entry
            .with_service(&self.request.service, |service| service.budget.record_request(now));
        let deadline = self.entry.instant(self.request.deadline);
        let in_flight = self.in_flight.clone();
        let (entry, id) = (self.entry.clone(), self.request.ask.id.clone());
        let mut watch = Watch::new(entry.clone(), id.clone(), in_flight.clone());
        let maybe_ran = Rc::new(Cell::new(false));
        let ran = maybe_ran.clone();
        let result = time::timeout_at(deadline, self.attempts(ran)).await;
        watch.answered = true;
        match result {
            Ok(response) => response,
            Err(_) if in_flight.get() || maybe_ran.get() => {
                event!(entry.logger, Event::RequestTimedOut; "id" => &*id, "ran" => "unknown");
                reply::problem(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
            }
            Err(_) => {
                event!(entry.logger, Event::RequestTimedOut; "id" => &*id, "ran" => "no");
                reply::refusal("no place in time", LATE_RETRY)
            }
        }
    }

    async fn attempts(mut self, ran: Rc<Cell<bool>>) -> Response<Body> {
        loop {
            let end = match self.begin().await {
                Ok(begun) if is_events(&begun.response) => {
                    return stream::answer(self, begun);
                }
                Ok(begun) => match self.collect(begun).await {
                    Ok(response) => return response,
                    Err(end) => end,
                },
                Err(Stop::Refused(refusal)) => return self.no_place(refusal),
                Err(Stop::Ended(end)) => end,
            };
            let step = self.decide(end);
            ran.set(self.record.maybe_ran());
            match step {
                attempt::Action::Again => {}
                attempt::Action::Refuse => {
                    let again = self.entry.again(&self.request.service);
                    return self.refuse("upstreams did not run it", again);
                }
                attempt::Action::Pass => return self.pass_failure(),
                attempt::Action::Fail => {
                    return self.fail(StatusCode::BAD_GATEWAY, "upstream broke off");
                }
                attempt::Action::TimeOut => {
                    return self.fail(StatusCode::GATEWAY_TIMEOUT, "upstream silent");
                }
            }
        }
    }

    /// Decides what follows from the end of an attempt.
    pub fn decide(&mut self, end: attempt::Outcome) -> attempt::Action {
        let now = self.entry.now();
        let poison = self.entry.suspects.borrow().is_poison(self.request.fingerprint, now);
        let time = !poison && now + LEAST_TIME < self.request.deadline;
        let mut trial = self.record;
        let wants_retry = end != attempt::Outcome::Unsent
            && trial.record_outcome(end, true, time) == attempt::Action::Again;
        let budget = wants_retry && self.entry.take_retry(&self.request.service);
        let step = self.record.record_outcome(end, budget, time);
        meter::attempted(&self.request.service, end.as_str());
        event!(self.entry.logger, Event::AttemptEnded; "id" => &*self.request.ask.id,
            "end" => ?end, "sent" => self.record.sent(), "attempts" => self.request.route.attempts,
            "budget" => budget, "left" => %self.request.deadline.saturating_sub(now),
            "next" => ?step);
        step
    }

    async fn collect(&mut self, begun: Begun) -> Result<Response<Body>, attempt::Outcome> {
        let Begun { response, channel, place } = begun;
        let (head, body) = response.into_parts();
        let vm = place.upstream.vm.clone();
        let Ok(body) = Limited::new(body, MAX_ANSWER_BYTES).collect().await else {
            event!(self.entry.logger, Event::UpstreamFailed; "id" => &*self.request.ask.id,
                "upstream" => %vm, "reason" => "answer incomplete or too long");
            self.ended(&place.upstream, attempt::Outcome::Broken, Health::Bad);
            return Err(attempt::Outcome::Broken);
        };
        channel.keep();
        let body = body.to_bytes();
        if head.status.is_success() {
            self.entry.load.borrow_mut().observe(&vm, Health::Good, self.entry.now());
            self.entry.suspects.borrow_mut().clear(self.request.fingerprint);
            return Ok(self.pass(head, body));
        }
        self.failure = Some(Response::from_parts(head, body));
        let health = if self.request.route.kind.is_stream() { Health::Bad } else { Health::Good };
        self.ended(&place.upstream, attempt::Outcome::Failed, health);
        Err(attempt::Outcome::Failed)
    }

    fn pass(&mut self, head: response::Parts, body: Bytes) -> Response<Body> {
        self.meter.part();
        self.end(head.status, outcome::Outcome::Ran);
        let mut response = Response::from_parts(head, reply::full(body));
        let is_head = self.request.method == http::Method::HEAD;
        let length = response.headers().get(CONTENT_LENGTH).cloned();
        let headers = std::mem::take(response.headers_mut());
        *response.headers_mut() = request::forwarded(headers);
        if let Some(length) = length.filter(|_| is_head) {
            response.headers_mut().insert(CONTENT_LENGTH, length);
        }
        response
    }

    fn pass_failure(&mut self) -> Response<Body> {
        match self.failure.take() {
            Some(failure) => {
                let (head, body) = failure.into_parts();
                self.pass(head, body)
            }
            None => self.fail(StatusCode::BAD_GATEWAY, "upstream failed"),
        }
    }

    fn no_place(&mut self, refusal: Refusal) -> Response<Body> {
        if self.failure.is_some() {
            return self.pass_failure();
        }
        if self.record.maybe_ran() {
            return self.fail(StatusCode::BAD_GATEWAY, "no upstream left");
        }
        match refusal {
            Refusal::Closed(again) => self.refuse("group of ranks closed", again),
            Refusal::NoUpstream(again) => self.refuse("no upstream", again),
            Refusal::Busy(again) => self.refuse("no place in time", again),
        }
    }

    fn refuse(&mut self, reason: &str, again: unit::Millis) -> Response<Body> {
        meter::refused(&self.request.service, reason);
        let occupancy = self.entry.occupancy(&self.request.service);
        event!(self.entry.logger, Event::RequestRefused; "id" => &*self.request.ask.id,
            "service" => %self.request.service, "reason" => reason, "retry_after" => %again,
            "waiting" => occupancy.waiting, "limit" => occupancy.limit, "factor" => occupancy.factor,
            "mean" => occupancy.mean, "open" => occupancy.open,
            "waited" => %self.entry.now().saturating_sub(self.request.arrived));
        self.meter.end(outcome::Outcome::NotRun);
        reply::refusal(reason, again)
    }

    fn fail(&mut self, status: StatusCode, reason: &str) -> Response<Body> {
        self.end(status, outcome::Outcome::Unknown);
        reply::problem(status, reason)
    }

    /// Logs and counts the end of the request.
    pub fn end(&self, status: StatusCode, outcome: outcome::Outcome) {
        event!(self.entry.logger, Event::RequestEnded; "id" => &*self.request.ask.id,
            "route" => &*self.request.route.name, "status" => status.as_u16(),
            "outcome" => outcome.as_str(), "sent" => self.record.sent(),
            "first" => self.first.map(unit::Millis::get),
            "longest_pause_us" => self.longest.get(),
            "took" => %self.entry.now().saturating_sub(self.request.arrived));
        self.meter.end(outcome);
    }
}

fn is_events(response: &Response<Incoming>) -> bool {
    let kind = response.headers().get(http::header::CONTENT_TYPE);
    let is_events = kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    response.status().is_success() && is_events
}
