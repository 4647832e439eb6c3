//! The way of one request: a place, an attempt, and what follows from how it ended.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use agateflow::direct::attempt::{End, Record, Step};
use agateflow::direct::directory::Upstream;
use agateflow::direct::load::Health;
use agateflow::direct::queue::Item;
use agateflow::event::Event;
use agateflow::{id, outcome, unit};
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode, Uri, request as head, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time;

use super::channel::{self, Channel};
use super::edge::{Answer, Forward};
use super::place::{Place, Refusal, Wish};
use super::reply::{self, Body};
use super::request::{self, Request};
use super::{Entry, stream};
use crate::event;
use crate::meter::{self, Class, Meter};

/// Time without an answer after which a request that may be repeated goes elsewhere, as a multiple
/// of its objective.
const SILENT_OBJECTIVES: u64 = 2;

/// Shortest such time.
const SILENT_MIN: unit::Millis = unit::Millis::new(250);

/// Time without an event after which a stream goes elsewhere. Engines whose group stalls answer
/// for themselves before.
pub const SILENT_STREAM: unit::Millis = unit::Millis::new(1_700);

/// Share of a stream's objective up to which its start in the queue is timely, in tenths.
const TIMELY_TENTHS: u64 = 6;

/// Longest wait for a place, as a multiple of the objective.
const LATEST_OBJECTIVES: u64 = 2;

/// Least time left for another attempt.
const LEAST_TIME: unit::Millis = unit::Millis::new(30);

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
    pub record: Record,
    /// Upstreams that it was sent to.
    pub tried: Vec<id::Vm>,
    /// Last event of its stream that the caller has.
    pub last_event: Option<u64>,
    /// Its times, for metrics.
    pub meter: Meter,
    /// Time from its arrival to the first part of its answer.
    pub first: Option<unit::Millis>,
    /// Longest pause between two events of its stream.
    pub longest: unit::Micros,
    in_flight: Rc<Cell<bool>>,
    failure: Option<Response<Bytes>>,
}

/// An answer that begins, with the place and the connection it holds.
pub struct Begun {
    /// The answer.
    pub response: Response<Incoming>,
    /// The connection.
    pub channel: Channel,
    /// The place.
    pub place: Place,
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
            record: Record::new(request.route.kind, request.route.attempts),
            tried: Vec::new(),
            last_event: request.ask.last_event,
            meter: Meter::named(team, class),
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
        self.entry.with_service(
            &self.request.table,
            &self.request.service,
            self.request.route.pause,
            |service| service.budget.request(now),
        );
        let deadline = self.entry.instant(self.request.deadline);
        let in_flight = self.in_flight.clone();
        let (entry, id) = (self.entry.clone(), self.request.ask.id.clone());
        let maybe_ran = Rc::new(Cell::new(false));
        let ran = maybe_ran.clone();
        match time::timeout_at(deadline, self.attempts(ran)).await {
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
                Step::Again => {}
                Step::Refuse => {
                    let again = self.entry.again(&self.request.service);
                    return self.refuse("upstreams did not run it", again);
                }
                Step::Pass => return self.pass_failure(),
                Step::Fail => return self.fail(StatusCode::BAD_GATEWAY, "upstream broke off"),
                Step::TimeOut => return self.fail(StatusCode::GATEWAY_TIMEOUT, "upstream silent"),
            }
        }
    }

    /// Decides what follows from the end of an attempt.
    pub fn decide(&mut self, end: End) -> Step {
        let now = self.entry.now();
        let poison = self.entry.suspects.borrow().is_poison(self.request.fingerprint, now);
        let time = !poison && now + LEAST_TIME < self.request.deadline;
        let mut trial = self.record;
        let wants_retry = end != End::Unsent && trial.end(end, true, time) == Step::Again;
        let budget = wants_retry && self.entry.take_retry(&self.request.service);
        let step = self.record.end(end, budget, time);
        meter::attempted(&self.request.service, end.as_str());
        event!(self.entry.logger, Event::AttemptEnded; "id" => &*self.request.ask.id,
            "end" => ?end, "sent" => self.record.sent(), "attempts" => self.request.route.attempts,
            "budget" => budget, "left" => %self.request.deadline.saturating_sub(now),
            "next" => ?step);
        step
    }

    /// Sends the request to an upstream and awaits the head of a proper answer.
    ///
    /// # Errors
    ///
    /// [`Stop`].
    pub async fn begin(&mut self) -> Result<Begun, Stop> {
        let wish = self.wish();
        let place = self.entry.place(&wish).await.map_err(Stop::Refused)?;
        let upstream = place.upstream.clone();
        let once = !self.request.route.kind.may_repeat();
        let channel = self.entry.pool.take(upstream.address, once).await;
        let mut channel = channel.map_err(|error| self.unsent(&upstream, &error, false))?;
        let send = self.message(&upstream)?;
        let reused = channel.is_reused();
        let waited = self.entry.now().saturating_sub(self.request.arrived);
        meter::placed(&self.request.service, waited.duration());
        event!(self.entry.logger, Event::RequestSent; "id" => &*self.request.ask.id,
            "upstream" => %upstream.vm, "service" => %self.request.service,
            "active" => place.active, "fullest" => place.fullest, "limit" => place.limit, "factor" => place.factor,
            "version" => self.request.table.version(),
            "directory" => self.entry.directory.borrow().revision(),
            "waited" => %waited, "reused" => reused);
        self.in_flight.set(true);
        let answer = self.await_head(&mut channel, send).await;
        let response = match answer {
            Ok(response) => response,
            Err(Some(error @ channel::Error::Unsent { .. })) => {
                self.in_flight.set(false);
                return Err(self.unsent(&upstream, &error, reused));
            }
            Err(Some(error @ channel::Error::Broken { .. })) => {
                event!(self.entry.logger, Event::UpstreamBroke; "id" => &*self.request.ask.id,
                    "upstream" => %upstream.vm, "reason" => %error);
                self.entry.crashed(self.request.fingerprint, &upstream);
                return Err(self.ended(&upstream, End::Broken, Health::Bad));
            }
            Err(None) => return Err(self.ended(&upstream, End::Silent, Health::Bad)),
        };
        self.judge(Begun { response, channel, place }).await
    }

    fn wish(&self) -> Wish {
        let objective = self.request.route.objective.get();
        let arrived = self.request.arrived;
        let late = arrived + unit::Millis::new(objective * LATEST_OBJECTIVES);
        let now = self.entry.now();
        // Another attempt of a request that was sent already gets a wait of its own.
        let latest =
            if self.tried.is_empty() { late } else { late.max(now + self.request.route.objective) };
        Wish {
            service: self.request.service.clone(),
            item: Item {
                priority: self.request.priority,
                arrived,
                timely: arrived + unit::Millis::new(objective * TIMELY_TENTHS / 10),
                latest: latest.min(self.request.deadline),
            },
            tried: self.tried.clone(),
        }
    }

    /// The request as it goes to `upstream`, which must still take requests.
    fn message(&mut self, upstream: &Upstream) -> Result<http::Request<Full<Bytes>>, Stop> {
        let now = self.entry.now();
        let listed = self.entry.directory.borrow().get(&upstream.vm).cloned();
        if listed.is_none_or(|listed| listed.born != upstream.born) {
            self.tried.push(upstream.vm.clone());
            return Err(Stop::Ended(End::Unsent));
        }
        let mut message = http::Request::new(Full::new(self.request.body.clone()));
        *message.method_mut() = self.request.method.clone();
        let target = self.request.target.path_and_query().cloned();
        *message.uri_mut() = target.map_or_else(Uri::default, Uri::from);
        *message.headers_mut() = self.request.headers.clone();
        let forward = Forward {
            upstream: &upstream.vm,
            time: self.request.deadline.saturating_sub(now),
            team: self.request.team.as_ref(),
            last_event: self.last_event,
        };
        self.entry.dialect.forward(message.headers_mut(), &forward);
        Ok(message)
    }

    async fn await_head(
        &self,
        channel: &mut Channel,
        message: http::Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Option<channel::Error>> {
        match time::timeout(self.patience(), channel.send(message)).await {
            Ok(answer) => answer.map_err(Some),
            Err(_) => Err(None),
        }
    }

    /// Time to wait for the head of an answer before the request goes elsewhere.
    fn patience(&self) -> Duration {
        let left = self.request.deadline.saturating_sub(self.entry.now());
        let route = &self.request.route;
        let last = self.record.sent() + 1 >= route.attempts;
        if last || !route.kind.may_repeat() {
            return (left + unit::Millis::new(1_000)).duration();
        }
        let silent = match route.kind.is_stream() {
            true => SILENT_STREAM,
            false => unit::Millis::new(route.objective.get() * SILENT_OBJECTIVES).max(SILENT_MIN),
        };
        silent.duration()
    }

    async fn judge(&mut self, begun: Begun) -> Result<Begun, Stop> {
        let (head, body) = begun.response.into_parts();
        let upstream = begun.place.upstream.clone();
        let answer = self.entry.dialect.answer(&head, &self.request.ask);
        let end = match answer {
            Answer::Own => {
                let response = Response::from_parts(head, body);
                return Ok(Begun { response, channel: begun.channel, place: begun.place });
            }
            Answer::Misdirected => (End::Misdirected, Health::Unreachable),
            Answer::NotRun => (End::NotRun, Health::Full),
            Answer::Foreign => (End::Broken, Health::Bad),
        };
        event!(self.entry.logger, Event::AnswerRefused; "id" => &*self.request.ask.id,
            "upstream" => %upstream.vm, "status" => head.status.as_u16(), "answer" => ?answer);
        if answer != Answer::Foreign && body.collect().await.is_ok() {
            begun.channel.keep();
        }
        if answer == Answer::Misdirected || answer == Answer::NotRun {
            self.in_flight.set(false);
        }
        if answer == Answer::NotRun && f64::from(begun.place.active) <= begun.place.limit {
            self.entry.refused_with_room(&self.request.service);
        }
        Err(self.ended(&upstream, end.0, end.1))
    }

    fn unsent(&mut self, upstream: &Upstream, error: &channel::Error, reused: bool) -> Stop {
        event!(self.entry.logger, Event::UpstreamUnreachable; "id" => &*self.request.ask.id,
            "upstream" => %upstream.vm, "reason" => %error, "reused" => reused);
        if reused {
            return Stop::Ended(End::Unsent);
        }
        self.entry.missed(&self.request.service, &upstream.vm);
        self.ended(upstream, End::Unsent, Health::Unreachable)
    }

    /// Notes the end of an attempt at `upstream`.
    pub fn ended(&mut self, upstream: &Upstream, end: End, health: Health) -> Stop {
        self.tried.push(upstream.vm.clone());
        let now = self.entry.now();
        if self.entry.load.borrow_mut().observe(&upstream.vm, health, now) {
            event!(self.entry.logger, Event::UpstreamAvoided; "upstream" => %upstream.vm,
                "health" => ?health, "id" => &*self.request.ask.id);
        }
        Stop::Ended(end)
    }

    async fn collect(&mut self, begun: Begun) -> Result<Response<Body>, End> {
        let Begun { response, channel, place } = begun;
        let (head, body) = response.into_parts();
        let vm = place.upstream.vm.clone();
        let Ok(body) = body.collect().await else {
            event!(self.entry.logger, Event::UpstreamBroke; "id" => &*self.request.ask.id,
                "upstream" => %vm, "reason" => "answer incomplete");
            let Stop::Ended(end) = self.ended(&place.upstream, End::Broken, Health::Bad) else {
                return Err(End::Broken);
            };
            return Err(end);
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
        self.ended(&place.upstream, End::Failed, health);
        Err(End::Failed)
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
        event!(self.entry.logger, Event::RequestRefused; "id" => &*self.request.ask.id,
            "service" => %self.request.service, "reason" => reason, "retry_after" => %again,
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

/// Why there is no answer.
pub enum Stop {
    /// No place.
    Refused(Refusal),
    /// The attempt ended.
    Ended(End),
}

fn is_events(response: &Response<Incoming>) -> bool {
    let kind = response.headers().get(http::header::CONTENT_TYPE);
    let is_events = kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    response.status().is_success() && is_events
}
