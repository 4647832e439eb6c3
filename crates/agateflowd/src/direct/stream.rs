//! Streams of events: passed on as they come, cut between events, and gone on with at another
//! upstream where the route allows it.

use std::time::{Duration, Instant};

use agateflow::direct::attempt;
use agateflow::direct::directory::Upstream;
use agateflow::direct::events::Splitter;
use agateflow::direct::load::Health;
use agateflow::event::Event;
use agateflow::{outcome, unit};
use async_stream::stream;
use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::time;

use super::channel::Channel;
use super::flow::Call;
use super::place::Place;
use super::reply::{Body, Cut};
use super::request;
use super::send::{Begun, SILENT_STREAM, Stop};
use crate::event;

/// Time without an event after which a stream whose group stands goes on at another group. It is
/// late by then in any case, and the group may pass again.
const MOVE_TIME: Duration = Duration::from_millis(900);

/// What came of waiting for a part of a stream.
enum Part {
    Data(Bytes),
    End,
    Broken(Box<str>),
    Silent,
    TimeOver,
}

/// Logs and counts a stream that its caller left.
struct Watch {
    call: Call,
    ended: bool,
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.ended {
            event!(self.call.entry.logger, Event::CallerLeft; "id" => &*self.call.request.ask.id,
                "last_event" => self.call.last_event);
        }
    }
}

/// Passes a stream on. The head is the first upstream's.
pub fn answer(call: Call, begun: Begun) -> Response<Body> {
    let (mut head, body) = begun.response.into_parts();
    head.headers = request::forwarded(std::mem::take(&mut head.headers));
    let running = call.entry.enter();
    let parts = stream! {
        let _running = running;
        let mut watch = Watch { call, ended: false };
        let mut body = body;
        let mut held = Some((begun.channel, begun.place));
        let mut splitter = Splitter::new(watch.call.last_event);
        let mut last: Option<Instant> = None;
        let mut since = time::Instant::now();
        loop {
            let upstream = held.as_ref().map(|(_, place)| &place.upstream);
            let part = next(&watch.call, upstream, since, &mut body).await;
            let reason: Box<str> = match part {
                Part::Data(bytes) => match splitter.push(&bytes) {
                    Ok(events) if events.is_empty() => continue,
                    Ok(events) => {
                        if let Some((_, place)) = &held {
                            observe(&mut watch.call, &place.upstream, &mut last);
                        }
                        watch.call.last_event = splitter.last_id();
                        since = time::Instant::now();
                        yield Ok(Frame::data(events));
                        continue;
                    }
                    Err(error) => error.to_string().into(),
                },
                Part::End if splitter.has_partial() => "event incomplete".into(),
                Part::End => {
                    finish(&mut watch, held.take());
                    return;
                }
                Part::Broken(reason) => reason,
                Part::Silent => "silent".into(),
                Part::TimeOver => {
                    watch.ended = true;
                    cut(&watch.call, "time over");
                    yield Err(Cut::from("time over"));
                    return;
                }
            };
            splitter.discard_partial();
            match resume(&mut watch.call, held.take(), &reason).await {
                Some(begun) => {
                    body = begun.response.into_body();
                    since = time::Instant::now();
                    held = Some((begun.channel, begun.place));
                }
                None => {
                    watch.ended = true;
                    cut(&watch.call, &reason);
                    yield Err(Cut::from("stream broke off"));
                    return;
                }
            }
        }
    };
    Response::from_parts(head, Box::pin(StreamBody::new(parts)))
}

/// The next part. A stream that brings no event for long goes on elsewhere where it can; where it
/// cannot, it is waited for up to the deadline. Bytes that complete no event do not count.
async fn next(
    call: &Call,
    upstream: Option<&Upstream>,
    since: time::Instant,
    body: &mut Incoming,
) -> Part {
    let deadline = call.entry.instant(call.request.deadline);
    let silent = match call.record.may_resend() {
        true => since + SILENT_STREAM.duration(),
        false => deadline,
    };
    let movable = async {
        match upstream {
            Some(upstream) => call.until_movable(upstream, MOVE_TIME).await,
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
            Err(_) if deadline <= silent => return Part::TimeOver,
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

fn observe(call: &mut Call, upstream: &Upstream, last: &mut Option<Instant>) {
    call.entry.beat(upstream);
    let now = Instant::now();
    call.meter.part();
    let since_arrival = call.entry.now().saturating_sub(call.request.arrived);
    call.first.get_or_insert(since_arrival);
    call.heard_at = Some(call.entry.now());
    if let Some(before) = last.replace(now) {
        let pause = unit::Micros::new((now - before).as_micros() as u64);
        call.longest = call.longest.max(pause);
        call.entry.paused(upstream, pause);
    }
}

fn finish(watch: &mut Watch, held: Option<(Channel, Place)>) {
    watch.ended = true;
    let call = &watch.call;
    call.entry.suspects.borrow_mut().clear(call.request.fingerprint);
    if let Some((channel, place)) = held {
        let now = call.entry.now();
        call.entry.load.borrow_mut().observe(&place.upstream.vm, Health::Good, now);
        channel.keep();
    }
    call.end(StatusCode::OK, outcome::Outcome::Ran);
}

fn cut(call: &Call, reason: &str) {
    event!(call.entry.logger, Event::StreamCut; "id" => &*call.request.ask.id,
        "reason" => reason, "last_event" => call.last_event);
    call.end(StatusCode::OK, outcome::Outcome::Unknown);
}

/// Finds another upstream that goes on behind the last event passed on.
async fn resume(call: &mut Call, held: Option<(Channel, Place)>, reason: &str) -> Option<Begun> {
    if let Some((channel, place)) = held {
        event!(call.entry.logger, Event::UpstreamFailed; "id" => &*call.request.ask.id,
            "upstream" => %place.upstream.vm, "reason" => reason, "last_event" => call.last_event);
        drop(channel);
        call.entry.crashed(call.request.fingerprint, &place.upstream);
        call.ended(&place.upstream, attempt::Outcome::Broken, Health::Bad);
    }
    let deadline = call.entry.instant(call.request.deadline);
    let mut end = attempt::Outcome::Broken;
    while call.decide(end) == attempt::Action::Again {
        end = match time::timeout_at(deadline, call.begin()).await {
            Err(_) | Ok(Err(Stop::Refused(_))) => return None,
            Ok(Err(Stop::Ended(end))) => end,
            Ok(Ok(begun)) if begun.response.status().is_success() => return Some(begun),
            Ok(Ok(_)) => return None,
        };
    }
    None
}
