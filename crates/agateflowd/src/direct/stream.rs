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

/// Result of waiting for the next part of a stream.
enum Part {
    Data(Bytes),
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
        loop {
            let upstream = source.as_ref().map(|(_, permit)| &permit.upstream);
            let part = next_part(&guard.call, upstream, silent_since, &mut body).await;
            let reason: Box<str> = match part {
                Part::Data(bytes) => match splitter.push(&bytes) {
                    Ok(events) if events.is_empty() => continue,
                    Ok(events) => {
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
                    Err(error) => error.to_string().into(),
                },
                Part::End if splitter.has_partial() => "event incomplete".into(),
                Part::End if ends_with_connection && progress.is_empty() => "no event".into(),
                Part::End => {
                    finish(&mut guard, source.take(), progress);
                    return;
                }
                Part::Broken(reason) => reason,
                Part::Silent => "silent".into(),
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

/// Waits for the next part. A stream without events for too long moves to another upstream if it
/// can, else it may go on until the deadline. Bytes that complete no event do not count.
async fn next_part(
    call: &Call,
    upstream: Option<&Upstream>,
    silent_since: time::Instant,
    body: &mut Incoming,
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
    loop {
        let frame = tokio::select! {
            frame = time::timeout_at(deadline.min(silent), body.frame()) => frame,
            () = &mut movable => return Part::Silent,
        };
        let frame = match frame {
            Err(_) if deadline <= silent => return Part::DeadlineExceeded,
            Err(_) => return Part::Silent,
            Ok(None) => return Part::End,
            Ok(Some(Err(error))) => return Part::Broken(error.to_string().into()),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data() {
            return Part::Data(data);
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

/// Finds another upstream that resumes the stream after the last forwarded event.
async fn resume(
    call: &mut Call,
    source: Option<(pool::Connection, Permit)>,
    reason: &str,
    progress: Progress,
) -> Option<Exchange> {
    if let Some((connection, permit)) = source {
        let answered = progress.is_answered(call.entry.now());
        event!(call.entry.logger, Event::UpstreamFailed; "id" => &*call.request.info.id,
            "upstream" => %permit.upstream.vm, "reason" => reason, "last_event" => call.last_event,
            "answered" => answered);
        drop(connection);
        call.entry.record_break(&call.request, &permit.upstream);
        call.end_attempt(&permit.upstream, attempt::Outcome::Broken, Health::Bad);
        if !answered {
            call.entry.check_crash(&call.request, permit.granted_at, &permit.upstream).await;
        } else if progress.is_single_part() {
            call.entry.record_answer(&call.request);
        }
    }
    let deadline = call.entry.instant_at(call.request.deadline);
    let mut end = attempt::Outcome::Broken;
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
