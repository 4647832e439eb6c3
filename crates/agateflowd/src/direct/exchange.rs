//! One attempt of a request: a permit, a connection, and the head of a valid response.

use std::time::Duration;

use agateflow::direct::attempt;
use agateflow::direct::directory::Upstream;
use agateflow::direct::load::Health;
use agateflow::direct::queue::Item;
use agateflow::direct::response::Classification;
use agateflow::event::Event;
use agateflow::intake::Stage;
use agateflow::unit;
use http::{Response, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time;

use super::adapter::Forward;
use super::call::Call;
use super::permit::{self, Permit, Refusal};
use super::pool;
use crate::blocks::Blocks;
use crate::notice::Notice;
use crate::{event, meter};

/// Response timeout after which a repeatable request goes to another upstream, as a multiple of the
/// route's objective.
const RESPONSE_TIMEOUT_OBJECTIVES: u64 = 2;

/// Shortest such timeout.
const MIN_RESPONSE_TIMEOUT: unit::Millis = unit::Millis::new(250);

/// Time without an event after which a stream moves to another upstream. Engines whose group stalls
/// respond by themselves before.
pub const STREAM_SILENCE_TIMEOUT: unit::Millis = unit::Millis::new(1_700);

/// Interval between checks whether a request should move to another group.
const MOVE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Part of the objective within which a queued request starts in time, in tenths.
const TIMELY_START_TENTHS: u64 = 6;

/// Part of the route's timeout below which a caller has retried already, in tenths.
const RETRIED_TIMEOUT_TENTHS: u64 = 9;

/// Longest wait for a permit, as a multiple of the objective.
const MAX_WAIT_OBJECTIVES: u64 = 2;

/// How long callers wait for the first event of a stream.
const FIRST_EVENT_TIMEOUT: unit::Millis = unit::Millis::new(2_000);

/// Part of that time reserved for the first event itself.
const FIRST_EVENT_RESERVE: unit::Millis = unit::Millis::new(300);

/// Largest body of a refusal that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// Timeout for reading such a body.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// An exchange with an upstream whose response head has arrived.
pub struct Exchange {
    /// The response.
    pub response: Response<Incoming>,
    /// The connection.
    pub connection: pool::Connection,
    /// The permit.
    pub permit: Permit,
}

/// Why there is no response.
pub enum Error {
    /// No permit.
    Refused(Refusal),
    /// The attempt failed.
    Ended(attempt::Outcome),
}

impl Call {
    /// Sends the request to an upstream and awaits the head of a valid response.
    ///
    /// # Errors
    ///
    /// [`Error`].
    pub async fn send_attempt(&mut self) -> Result<Exchange, Error> {
        let permit_request = self.permit_request();
        let permit = tokio::select! {
            biased;
            after = self.entry.until_refused(&self.request) => Err(Refusal::Quarantined(after)),
            permit = self.entry.acquire_permit(&permit_request) => permit,
        };
        let permit = permit.map_err(Error::Refused)?;
        if !self.connection.enter(Stage::Running) && !self.record.maybe_ran() {
            return Err(Error::Refused(Refusal::Evicted));
        }
        let upstream = permit.upstream.clone();
        let run_once = !self.request.route.kind.may_repeat();
        let id = &self.request.info.id;
        let connection = self.entry.pool.acquire(upstream.address, run_once, id).await;
        let mut connection =
            connection.map_err(|error| self.record_unsent(&upstream, &error, false))?;
        let upstream_request = self.outgoing_request(&upstream)?;
        let reused = connection.is_reused();
        let waited = self.entry.now().saturating_sub(self.request.arrived);
        meter::placed(&self.request.service, waited.duration());
        event!(self.entry.logger, Event::RequestSent; "id" => &*self.request.info.id,
            "upstream" => %upstream.vm, "service" => %self.request.service,
            "active" => permit.active, "fullest" => permit.max_active, "limit" => permit.limit,
            "factor" => permit.cost_factor, "version" => self.request.table.version(),
            "directory" => %self.entry.directory.borrow().revision(),
            "waited" => %waited, "reused" => reused,
            "parts" => self.request.info.prompt_parts.join(" "));
        self.in_flight.set(true);
        let outcome = self.await_head(&mut connection, &upstream, upstream_request).await;
        let response = match outcome {
            Ok(response) => response,
            Err(Some(error @ pool::Error::Unsent { .. })) => {
                self.in_flight.set(false);
                return Err(self.record_unsent(&upstream, &error, reused));
            }
            Err(Some(error @ pool::Error::Broken { .. })) => {
                event!(self.entry.logger, Event::UpstreamFailed; "id" => &*self.request.info.id,
                    "upstream" => %upstream.vm, "reason" => %error, "answered" => false);
                self.entry.record_break(&self.request, &upstream);
                self.entry.check_crash(&self.request, permit.granted_at, &upstream).await;
                return Err(self.end_attempt(&upstream, attempt::Outcome::Broken, Health::Bad));
            }
            Err(None) => {
                return Err(self.end_attempt(&upstream, attempt::Outcome::Silent, Health::Bad));
            }
        };
        self.check_response(Exchange { response, connection, permit }).await
    }

    fn permit_request(&self) -> permit::Request {
        let objective = self.request.route.objective.get();
        let arrived = self.request.arrived;
        let late = arrived + unit::Millis::new(objective * MAX_WAIT_OBJECTIVES);
        let now = self.entry.now();
        // A retry gets a wait of its own.
        let latest =
            if self.tried.is_empty() { late } else { late.max(now + self.request.route.objective) };
        permit::Request {
            service: self.request.service.clone(),
            item: Item {
                priority: self.request.priority,
                arrived,
                on_time_until: arrived + unit::Millis::new(objective * TIMELY_START_TENTHS / 10),
                latest_start: latest.min(self.request.deadline),
                latest_start_if_closed: self.opening_deadline().min(self.request.deadline),
            },
            tried: self.tried.clone(),
            is_last_chance: self.is_last_chance(),
        }
    }

    /// Deadline for a closed group to open. Once the stream has begun it counts from the last
    /// event, as the caller waits for the next one since.
    fn opening_deadline(&self) -> unit::Millis {
        let since = self.last_event_at.unwrap_or(self.request.arrived);
        since + FIRST_EVENT_TIMEOUT.saturating_sub(FIRST_EVENT_RESERVE)
    }

    /// Whether the caller has already waited or has little time: it cannot retry again, so its last
    /// chance is that a closed group opens while it waits.
    fn is_last_chance(&self) -> bool {
        let route = &self.request.route;
        let left = self.request.deadline.saturating_sub(self.request.arrived);
        route.kind.is_stream() && left.get() * 10 < route.timeout.get() * RETRIED_TIMEOUT_TENTHS
    }

    /// The request in the form sent to `upstream`, which must still be listed.
    fn outgoing_request(&mut self, upstream: &Upstream) -> Result<http::Request<Blocks>, Error> {
        let now = self.entry.now();
        let listed = self.entry.directory.borrow().get(&upstream.vm).cloned();
        if listed.is_none_or(|listed| listed.started_at != upstream.started_at) {
            self.tried.push(upstream.vm.clone());
            return Err(Error::Ended(attempt::Outcome::Unsent));
        }
        let mut outgoing = http::Request::new(self.request.body.clone());
        *outgoing.method_mut() = self.request.method.clone();
        let target = self.request.target.path_and_query().cloned();
        *outgoing.uri_mut() = target.map_or_else(Uri::default, Uri::from);
        *outgoing.headers_mut() = self.request.headers.clone();
        let forward = Forward {
            upstream: &upstream.vm,
            time_left: self.request.deadline.saturating_sub(now),
            team: self.request.team.as_ref(),
            last_event: self.last_event,
        };
        self.entry.dialect.write_forward(outgoing.headers_mut(), &forward);
        Ok(outgoing)
    }

    async fn await_head(
        &self,
        connection: &mut pool::Connection,
        upstream: &Upstream,
        outgoing: http::Request<Blocks>,
    ) -> Result<Response<Incoming>, Option<pool::Error>> {
        let outcome = time::timeout(self.response_timeout(), connection.send(outgoing));
        tokio::select! {
            outcome = outcome => match outcome {
                Ok(outcome) => outcome.map_err(Some),
                Err(_) => Err(None),
            },
            () = self.wait_until_movable(upstream, Duration::ZERO) => Err(None),
        }
    }

    /// Waits for at least `min_wait`, and until the group of `upstream` is stalled and the request
    /// can move to another one.
    pub async fn wait_until_movable(&self, upstream: &Upstream, min_wait: Duration) {
        time::sleep(min_wait).await;
        if !self.record.may_resend() {
            return std::future::pending().await;
        }
        while !self.entry.can_move(&self.request.service, upstream) {
            time::sleep(MOVE_CHECK_INTERVAL).await;
        }
    }

    /// How long to wait for the head of a response before trying another upstream.
    fn response_timeout(&self) -> Duration {
        let left = self.request.deadline.saturating_sub(self.entry.now());
        let route = &self.request.route;
        let is_last = self.record.sent() + 1 >= route.attempts;
        if is_last || !route.kind.may_repeat() {
            return (left + unit::Millis::new(1_000)).duration();
        }
        let silence_limit = match route.kind.is_stream() {
            true => STREAM_SILENCE_TIMEOUT,
            false => unit::Millis::new(route.objective.get() * RESPONSE_TIMEOUT_OBJECTIVES)
                .max(MIN_RESPONSE_TIMEOUT),
        };
        silence_limit.duration()
    }

    async fn check_response(&mut self, exchange: Exchange) -> Result<Exchange, Error> {
        let (head, body) = exchange.response.into_parts();
        let upstream = exchange.permit.upstream.clone();
        let signs = self.entry.dialect.read_signs(&head, &self.request.info, &upstream.vm);
        let reused = exchange.connection.is_reused();
        let classification = signs.classify(reused);
        self.last_error = Some(signs).filter(|_| !head.status.is_success());
        let notice = match classification {
            Classification::Own | Classification::NotRun => {
                self.entry.record_notice(&head, &exchange.permit)
            }
            Classification::Misdirected | Classification::Foreign => Notice::default(),
        };
        let end = match classification {
            Classification::Own => {
                self.entry.record_activity(&upstream);
                let response = Response::from_parts(head, body);
                return Ok(Exchange {
                    response,
                    connection: exchange.connection,
                    permit: exchange.permit,
                });
            }
            Classification::Misdirected => (attempt::Outcome::Misdirected, Health::Unreachable),
            Classification::NotRun => (attempt::Outcome::NotRun, Health::Full),
            Classification::Foreign => (attempt::Outcome::Broken, Health::Bad),
        };
        event!(self.entry.logger, Event::AnswerRejected; "id" => &*self.request.info.id,
            "upstream" => %upstream.vm, "status" => head.status.as_u16(),
            "answer" => ?classification, "signs" => %signs, "reused" => reused);
        if classification != Classification::Foreign && is_body_complete(body).await {
            exchange.connection.release_after_refusal(self.request.info.id.clone());
        }
        if classification == Classification::Misdirected || classification == Classification::NotRun
        {
            self.in_flight.set(false);
        }
        let is_unexpected = classification == Classification::NotRun
            && notice.rest.is_none()
            && f64::from(exchange.permit.active) <= exchange.permit.limit;
        if is_unexpected {
            self.entry.record_unexpected_refusal(&upstream);
        }
        if classification == Classification::Misdirected {
            self.entry.record_replacement(&upstream);
        }
        Err(self.end_attempt(&upstream, end.0, end.1))
    }

    fn record_unsent(&mut self, upstream: &Upstream, error: &pool::Error, reused: bool) -> Error {
        event!(self.entry.logger, Event::UpstreamUnreachable; "id" => &*self.request.info.id,
            "upstream" => %upstream.vm, "reason" => %error, "reused" => reused);
        if reused {
            return Error::Ended(attempt::Outcome::Unsent);
        }
        self.entry.record_unreachable(upstream);
        self.end_attempt(upstream, attempt::Outcome::Unsent, Health::Unreachable)
    }

    /// Records the end of an attempt at `upstream`.
    pub fn end_attempt(
        &mut self,
        upstream: &Upstream,
        end: attempt::Outcome,
        health: Health,
    ) -> Error {
        self.tried.push(upstream.vm.clone());
        let now = self.entry.now();
        if self.entry.load.borrow_mut().observe(&upstream.vm, health, now) {
            event!(self.entry.logger, Event::UpstreamAvoided; "upstream" => %upstream.vm,
                "health" => ?health, "id" => &*self.request.info.id);
        }
        Error::Ended(end)
    }
}

/// Whether the body of a refusal ends in time, so that its connection can be reused.
async fn is_body_complete(body: Incoming) -> bool {
    let body = Limited::new(body, MAX_REFUSAL_BYTES).collect();
    matches!(time::timeout(REFUSAL_BODY_TIMEOUT, body).await, Ok(Ok(_)))
}
