//! Event streams: forwarded as they arrive, split between events, and resumed at another upstream
//! where the route allows it.

use std::time::{Duration, Instant};

use agateflow::direct::attempt;
use agateflow::direct::directory::Upstream;
use agateflow::direct::events::Splitter;
use agateflow::direct::load::Health;
use agateflow::direct::progress::Progress;
use agateflow::event::Event;
use agateflow::{outcome, unit};
use async_stream::stream;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::time;

use super::call::{self, Call};
use super::exchange::{self, Exchange, STREAM_SILENCE_TIMEOUT};
use super::permit::Permit;
use super::pool;
use super::reply;
use super::request;
use crate::event;

/// Time without an event after which a stream of a stalled group moves to another group. By then
/// the event is late in any case; before, the group may recover.
const MOVE_SILENCE: Duration = Duration::from_millis(900);

/// Time before callers leave a silent stream at which it ends, so that they resume it elsewhere and no
/// upstream runs it for nobody.
const PATIENCE_MARGIN: Duration = Duration::from_millis(50);

/// Result of waiting for the next part of a stream.
enum Part {
    /// Complete events.
    Events(Bytes),
    End,
    Broken(Box<str>),
    Silent,
    DeadlineExceeded,
}

/// Logs a stream whose caller disconnected.
struct Guard {
    call: Call,
    ended: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.ended {
            event!(self.call.entry.logger, Event::CallerLeft; "id" => &*self.call.request.info.id,
                "last_event" => self.call.last_event);
        }
    }
}

/// Forwards a stream. The head is the first upstream's.
pub fn forward(call: Call, exchange: Exchange) -> Response<reply::Body> {
    let (mut head, body) = exchange.response.into_parts();
    let mut ends_with_connection = ends_with_connection(&head.headers);
    head.headers = request::strip_hop_by_hop(std::mem::take(&mut head.headers));
    let request_guard = call.entry.track_request();
    let parts = stream! {
        let _request_guard = request_guard;
        let mut guard = Guard { call, ended: false };
        let mut body = body;
        let mut source = Some((exchange.connection, exchange.permit));
        let mut splitter = Splitter::new(guard.call.last_event);
        let mut previous_event_at: Option<Instant> = None;
        let mut progress = Progress::new();
        let mut silent_since = time::Instant::now();
        let mut received = None;
        loop {
            let part = match received.take() {
                Some(part) => part,
                None => {
                    let upstream = source.as_ref().map(|(_, permit)| &permit.upstream);
                    let source = receive_events(&mut body, &mut splitter);
                    next_part(&guard.call, upstream, silent_since, source).await
                }
            };
            let reason: Box<str> = match part {
                Part::Events(events) => {
                    if let Some((_, permit)) = &source {
                        record_event(&mut guard.call, &permit.upstream, &mut previous_event_at);
                    }
                    if progress.record_part(guard.call.entry.now()) {
                        guard.call.entry.record_answer(&guard.call.request);
                    }
                    guard.call.last_event = splitter.last_id();
                    silent_since = time::Instant::now();
                    yield Ok(Frame::data(events));
                    continue;
                }
                Part::End if splitter.has_partial() => "event incomplete".into(),
                Part::End if ends_with_connection && progress.is_empty() => "no event".into(),
                Part::End => {
                    finish(&mut guard, source.take(), progress);
                    return;
                }
                Part::Broken(reason) => reason,
                Part::Silent => {
                    let upstream = source.as_ref().map(|(_, permit)| permit.upstream.clone());
                    let patience = guard.call.request.route.patience().duration();
                    let until = silent_since + patience.saturating_sub(PATIENCE_MARGIN);
                    let search = find_other(&mut guard.call, upstream, &mut body, &mut splitter);
                    match time::timeout_at(until, search).await.unwrap_or(Found::Nothing) {
                        Found::Other(exchange) => {
                            let exchange = *exchange;
                            leave(&guard.call, source.take(), "silent", progress).await;
                            splitter.discard_partial();
                            ends_with_connection = self::ends_with_connection(exchange.response.headers());
                            body = exchange.response.into_body();
                            source = Some((exchange.connection, exchange.permit));
                            progress = Progress::new();
                            silent_since = time::Instant::now();
                        }
                        Found::Part(part) => received = Some(part),
                        Found::Nothing => {
                            leave(&guard.call, source.take(), "silent", progress).await;
                            guard.ended = true;
                            record_cut(&guard.call, "silent");
                            yield Err(reply::Error::from("stream interrupted"));
                            return;
                        }
                    }
                    continue;
                }
                Part::DeadlineExceeded => {
                    guard.ended = true;
                    record_cut(&guard.call, "deadline exceeded");
                    yield Err(reply::Error::from("deadline exceeded"));
                    return;
                }
            };
            splitter.discard_partial();
            match resume(&mut guard.call, source.take(), &reason, progress).await {
                Some(exchange) => {
                    ends_with_connection = self::ends_with_connection(exchange.response.headers());
                    body = exchange.response.into_body();
                    silent_since = time::Instant::now();
                    progress = Progress::new();
                    source = Some((exchange.connection, exchange.permit));
                }
                None => {
                    guard.ended = true;
                    record_cut(&guard.call, &reason);
                    yield Err(reply::Error::from("stream interrupted"));
                    return;
                }
            }
        }
    };
    Response::from_parts(head, Box::pin(StreamBody::new(parts)))
}

/// Whether a response has neither a length nor chunks. If it ends before its first event, the
/// upstream has broken off.
fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// Result of a search for another upstream.
enum Found {
    /// It has taken the stream.
    Other(Box<Exchange>),
    /// The present upstream went on meanwhile.
    Part(Part),
    /// No upstream goes on.
    Nothing,
}

/// Looks for another upstream that takes a stream whose upstream is silent but keeps its connection.
async fn find_other(
    call: &mut Call,
    silent: Option<Upstream>,
    body: &mut Incoming,
    splitter: &mut Splitter,
) -> Found {
    if let Some(silent) = silent {
        call.end_attempt(&silent, attempt::Outcome::Silent, Health::Bad);
    }
    call.in_flight.set(false);
    let in_flight = call.in_flight.clone();
    let found = search(call, body, splitter).await;
    if matches!(found, Found::Part(_)) && in_flight.get() {
        // The connection to the other upstream is dropped; it may have begun.
        call.record.record_outcome(attempt::Outcome::Silent, false, false);
    }
    if matches!(found, Found::Part(_)) {
        call.record.reopen_attempt();
    }
    found
}

/// Waits for another upstream or the next part of the present one, whichever comes first. If one of
/// them fails, the other is still awaited.
async fn search(call: &mut Call, body: &mut Incoming, splitter: &mut Splitter) -> Found {
    let exchange = next_exchange(call, attempt::Outcome::Silent);
    tokio::pin!(exchange);
    let part = tokio::select! {
        biased;
        part = receive_events(body, splitter) => part,
        exchange = &mut exchange => match exchange {
            Some(exchange) => return Found::Other(Box::new(exchange)),
            None => return Found::Part(receive_events(body, splitter).await),
        },
    };
    if matches!(part, Part::Broken(_))
        && let Some(exchange) = exchange.await
    {
        return Found::Other(Box::new(exchange));
    }
    Found::Part(part)
}

/// Waits for the next part. A stream without events for too long moves to another upstream if it
/// can, else it may go on until the deadline. Bytes that complete no event do not count.
async fn next_part(
    call: &Call,
    upstream: Option<&Upstream>,
    silent_since: time::Instant,
    source: impl Future<Output = Part>,
) -> Part {
    let deadline = call.entry.instant_at(call.request.deadline);
    let silent = match call.record.may_resend() {
        true => silent_since + STREAM_SILENCE_TIMEOUT.duration(),
        false => deadline,
    };
    let movable = async {
        match upstream {
            Some(upstream) => call.wait_until_movable(upstream, MOVE_SILENCE).await,
            None => std::future::pending().await,
        }
    };
    tokio::pin!(movable);
    tokio::select! {
        part = time::timeout_at(deadline.min(silent), source) => match part {
            Err(_) if deadline <= silent => Part::DeadlineExceeded,
            Err(_) => Part::Silent,
            Ok(part) => part,
        },
        () = &mut movable => Part::Silent,
    }
}

/// Receives the next complete events of a body. What it received of an event when it is dropped
/// stays in `splitter`.
async fn receive_events(body: &mut Incoming, splitter: &mut Splitter) -> Part {
    loop {
        let frame = match body.frame().await {
            None => return Part::End,
            Some(Err(error)) => return Part::Broken(error.to_string().into()),
            Some(Ok(frame)) => frame,
        };
        let Ok(data) = frame.into_data() else { continue };
        match splitter.push(&data) {
            Ok(events) if events.is_empty() => {}
            Ok(events) => return Part::Events(events),
            Err(error) => return Part::Broken(error.to_string().into()),
        }
    }
}

fn record_event(call: &mut Call, upstream: &Upstream, previous_event_at: &mut Option<Instant>) {
    call.entry.record_activity(upstream);
    let now = Instant::now();
    call.meter.part();
    let since_arrival = call.entry.now().saturating_sub(call.request.arrived);
    call.time_to_first_part.get_or_insert(since_arrival);
    call.last_event_at = Some(call.entry.now());
    if let Some(before) = previous_event_at.replace(now) {
        let pause = unit::Micros::new((now - before).as_micros() as u64);
        call.longest_pause = call.longest_pause.max(pause);
        call.entry.record_pause(upstream, pause);
    }
}

fn finish(guard: &mut Guard, source: Option<(pool::Connection, Permit)>, progress: Progress) {
    guard.ended = true;
    let call = &guard.call;
    call.entry.suspects.borrow_mut().clear(call.request.fingerprint);
    if progress.is_single_part() {
        call.entry.record_answer(&call.request);
    }
    if let Some((connection, permit)) = source {
        let now = call.entry.now();
        call.entry.load.borrow_mut().observe(&permit.upstream.vm, Health::Good, now);
        connection.release();
    }
    call.record_end(StatusCode::OK, outcome::Outcome::Ran);
}

fn record_cut(call: &Call, reason: &str) {
    event!(call.entry.logger, Event::StreamCut; "id" => &*call.request.info.id,
        "reason" => reason, "last_event" => call.last_event);
    call.record_end(StatusCode::OK, outcome::Outcome::Unknown);
}

/// Ends the connection to the upstream of a stream.
async fn leave(
    call: &Call,
    source: Option<(pool::Connection, Permit)>,
    reason: &str,
    progress: Progress,
) {
    if let Some((connection, permit)) = source {
        let answered = progress.is_answered(call.entry.now());
        event!(call.entry.logger, Event::UpstreamFailed; "id" => &*call.request.info.id,
            "upstream" => %permit.upstream.vm, "reason" => reason, "last_event" => call.last_event,
            "answered" => answered);
        drop(connection);
        call.entry.record_break(&call.request, &permit.upstream);
        if !answered {
            call.entry.check_crash(&call.request, permit.granted_at, &permit.upstream).await;
        } else if progress.is_single_part() {
            call.entry.record_answer(&call.request);
        }
    }
}

/// Leaves the upstream of a stream that broke off, and finds another one that goes on after the last
/// forwarded event.
async fn resume(
    call: &mut Call,
    source: Option<(pool::Connection, Permit)>,
    reason: &str,
    progress: Progress,
) -> Option<Exchange> {
    if let Some((_, permit)) = &source {
        call.end_attempt(&permit.upstream, attempt::Outcome::Broken, Health::Bad);
    }
    leave(call, source, reason, progress).await;
    next_exchange(call, attempt::Outcome::Broken).await
}

/// Sends the request to other upstreams after an attempt ended with `end`.
async fn next_exchange(call: &mut Call, end: attempt::Outcome) -> Option<Exchange> {
    let deadline = call.entry.instant_at(call.request.deadline);
    let mut end = end;
    while call.next_step(end) == attempt::Action::Again {
        end = match time::timeout_at(deadline, call.send_attempt()).await {
            Err(_) | Ok(Err(exchange::Error::Refused(_))) => return None,
            Ok(Err(exchange::Error::Ended(end))) => end,
            Ok(Ok(exchange)) if call::is_event_stream(&exchange.response) => {
                return Some(exchange);
            }
            Ok(Ok(_)) => return None,
        };
    }
    None
}
