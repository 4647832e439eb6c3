//! One attempt of a request: a place, a connection, and the head of a proper answer.

use std::time::Duration;

use agateflow::direct::attempt;
use agateflow::direct::directory::Upstream;
use agateflow::direct::load::Health;
use agateflow::direct::queue::Item;
use agateflow::event::Event;
use agateflow::unit;
use bytes::Bytes;
use http::{Response, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time;

use super::channel::{self, Channel};
use super::edge::{Answer, Forward};
use super::flow::Call;
use super::place::{Place, Refusal, Wish};
use crate::{event, meter};

/// Time without an answer after which a request that may be repeated goes elsewhere, as a multiple
/// of its objective.
const SILENT_OBJECTIVES: u64 = 2;

/// Shortest such time.
const SILENT_MIN: unit::Millis = unit::Millis::new(250);

/// Time without an event after which a stream goes elsewhere. Engines whose group stalls answer
/// for themselves before.
pub const SILENT_STREAM: unit::Millis = unit::Millis::new(1_700);

/// Time between two looks whether a request is better off at another group.
const MOVE_INTERVAL: Duration = Duration::from_millis(50);

/// Share of a stream's objective up to which its start in the queue is timely, in tenths.
const TIMELY_TENTHS: u64 = 6;

/// Share of a route's time below which a caller has waited already, in tenths.
const RETURNED_TENTHS: u64 = 9;

/// Longest wait for a place, as a multiple of the objective.
const LATEST_OBJECTIVES: u64 = 2;

/// Time for which callers wait for the first event of a stream.
const STREAM_PATIENCE: unit::Millis = unit::Millis::new(2_000);

/// Part of that time that is left for the first event itself.
const START_TIME: unit::Millis = unit::Millis::new(300);

/// Longest body of a refusal that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// Longest time for such a body.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// An answer that begins, with the place and the connection it holds.
pub struct Begun {
    /// The answer.
    pub response: Response<Incoming>,
    /// The connection.
    pub channel: Channel,
    /// The place.
    pub place: Place,
}

/// Why there is no answer.
pub enum Stop {
    /// No place.
    Refused(Refusal),
    /// The attempt ended.
    Ended(attempt::Outcome),
}

impl Call {
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
            "active" => place.active, "fullest" => place.fullest, "limit" => place.limit,
            "factor" => place.factor, "version" => self.request.table.version(),
            "directory" => %self.entry.directory.borrow().revision(),
            "waited" => %waited, "reused" => reused);
        self.in_flight.set(true);
        let answer = self.await_head(&mut channel, &upstream, send).await;
        let response = match answer {
            Ok(response) => response,
            Err(Some(error @ channel::Error::Unsent { .. })) => {
                self.in_flight.set(false);
                return Err(self.unsent(&upstream, &error, reused));
            }
            Err(Some(error @ channel::Error::Broken { .. })) => {
                event!(self.entry.logger, Event::UpstreamFailed; "id" => &*self.request.ask.id,
                    "upstream" => %upstream.vm, "reason" => %error);
                self.entry.crashed(self.request.fingerprint, &upstream);
                return Err(self.ended(&upstream, attempt::Outcome::Broken, Health::Bad));
            }
            Err(None) => return Err(self.ended(&upstream, attempt::Outcome::Silent, Health::Bad)),
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
                on_time_until: arrived + unit::Millis::new(objective * TIMELY_TENTHS / 10),
                latest_start: latest.min(self.request.deadline),
                latest_start_if_closed: self.opening().min(self.request.deadline),
            },
            tried: self.tried.clone(),
            is_last_chance: self.is_last_chance(),
        }
    }

    /// Instant up to which the request waits for a closed group to open. Where its stream has begun,
    /// the caller has waited for the next event since the last one.
    fn opening(&self) -> unit::Millis {
        let since = self.heard_at.unwrap_or(self.request.arrived);
        since + STREAM_PATIENCE.saturating_sub(START_TIME)
    }

    /// Whether the caller has waited already, or has little time: it cannot come back once more, so
    /// its last chance is that a closed group opens while it waits.
    fn is_last_chance(&self) -> bool {
        let route = &self.request.route;
        let left = self.request.deadline.saturating_sub(self.request.arrived);
        route.kind.is_stream() && left.get() * 10 < route.timeout.get() * RETURNED_TENTHS
    }

    /// The request as it goes to `upstream`, which must still take requests.
    fn message(&mut self, upstream: &Upstream) -> Result<http::Request<Full<Bytes>>, Stop> {
        let now = self.entry.now();
        let listed = self.entry.directory.borrow().get(&upstream.vm).cloned();
        if listed.is_none_or(|listed| listed.started_at != upstream.started_at) {
            self.tried.push(upstream.vm.clone());
            return Err(Stop::Ended(attempt::Outcome::Unsent));
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
        upstream: &Upstream,
        message: http::Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Option<channel::Error>> {
        let answer = time::timeout(self.patience(), channel.send(message));
        tokio::select! {
            answer = answer => match answer {
                Ok(answer) => answer.map_err(Some),
                Err(_) => Err(None),
            },
            () = self.until_movable(upstream, Duration::ZERO) => Err(None),
        }
    }

    /// Waits until the group of `upstream` stands while the request may go to another one, and for
    /// `least` in any case.
    pub async fn until_movable(&self, upstream: &Upstream, least: Duration) {
        time::sleep(least).await;
        if !self.record.may_resend() {
            return std::future::pending().await;
        }
        while !self.entry.may_move(&self.request.service, upstream) {
            time::sleep(MOVE_INTERVAL).await;
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
                self.entry.beat(&upstream);
                let response = Response::from_parts(head, body);
                return Ok(Begun { response, channel: begun.channel, place: begun.place });
            }
            Answer::Misdirected => (attempt::Outcome::Misdirected, Health::Unreachable),
            Answer::NotRun => (attempt::Outcome::NotRun, Health::Full),
            Answer::Foreign => (attempt::Outcome::Broken, Health::Bad),
        };
        event!(self.entry.logger, Event::AnswerRejected; "id" => &*self.request.ask.id,
            "upstream" => %upstream.vm, "status" => head.status.as_u16(), "answer" => ?answer);
        if answer != Answer::Foreign && is_whole(body).await {
            begun.channel.keep();
        }
        if answer == Answer::Misdirected || answer == Answer::NotRun {
            self.in_flight.set(false);
        }
        if answer == Answer::NotRun && f64::from(begun.place.active) <= begun.place.limit {
            self.entry.refused_with_room(&upstream);
        }
        if answer == Answer::Misdirected {
            self.entry.replaced(&upstream);
        }
        Err(self.ended(&upstream, end.0, end.1))
    }

    fn unsent(&mut self, upstream: &Upstream, error: &channel::Error, reused: bool) -> Stop {
        event!(self.entry.logger, Event::UpstreamUnreachable; "id" => &*self.request.ask.id,
            "upstream" => %upstream.vm, "reason" => %error, "reused" => reused);
        if reused {
            return Stop::Ended(attempt::Outcome::Unsent);
        }
        self.entry.missed(upstream);
        self.ended(upstream, attempt::Outcome::Unsent, Health::Unreachable)
    }

    /// Notes the end of an attempt at `upstream`.
    pub fn ended(&mut self, upstream: &Upstream, end: attempt::Outcome, health: Health) -> Stop {
        self.tried.push(upstream.vm.clone());
        let now = self.entry.now();
        if self.entry.load.borrow_mut().observe(&upstream.vm, health, now) {
            event!(self.entry.logger, Event::UpstreamAvoided; "upstream" => %upstream.vm,
                "health" => ?health, "id" => &*self.request.ask.id);
        }
        Stop::Ended(end)
    }
}

/// Whether the body of a refusal ends soon, so that its connection can be used again.
async fn is_whole(body: Incoming) -> bool {
    let body = Limited::new(body, MAX_REFUSAL_BYTES).collect();
    matches!(time::timeout(REFUSAL_TIME, body).await, Ok(Ok(_)))
}
