//! HTTP interface of an engine, and its step loop.

use std::io;
use std::sync::Arc;

use agateflow::unit;
use bytes::Bytes;
use http::{Method, Request, StatusCode, Uri};
use http_body::Frame;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::Instant;
use volo_http::body::Body;
use volo_http::response::Response;
use xxhash_rust::xxh3;

use super::cache::Event;
use super::core::{Output, Sequence, State};
use super::orders::Order;
use super::{ATTEMPT_HEADER, PRIORITY_HEADER, RESUME_HEADER, text_header};
use crate::answer::{self, Answer};
use crate::host;
use crate::reply;

const COMPLETIONS: &str = "/v1/chat/completions";
const REQUESTS: &str = "/v1/requests/";
const EXPORTS: &str = "/v1/kv/export/";

/// The HTTP interface of one engine.
pub struct App {
    state: Arc<State>,
}

#[derive(Serialize)]
struct Events {
    events: Vec<Event>,
}

impl App {
    /// Starts the engine's steps in the current runtime.
    pub fn start(state: Arc<State>) -> Self {
        state.reset();
        tokio::spawn(run_steps(Arc::clone(&state)));
        Self { state }
    }
}

impl host::App for App {
    async fn call(&self, request: Request<Bytes>) -> Response {
        match (request.method(), request.uri().path()) {
            (&Method::POST, COMPLETIONS) => self.complete(&request).await,
            (&Method::POST, "/v1/orders") => self.order(request.body()),
            (&Method::GET, "/v1/load") => reply::json(StatusCode::OK, &self.state.published_load()),
            (&Method::GET, "/v1/cache-events") => self.events(request.uri()),
            (&Method::GET, "/healthz") => reply::empty(StatusCode::OK),
            (&Method::POST, "/v1/kv/import") => self.import(request.body()),
            (&Method::POST, path) => self.export(path),
            (&Method::DELETE, path) => self.cancel(path),
            _ => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn is_work(&self, request: &Request<Bytes>) -> bool {
        request.uri().path() == COMPLETIONS
    }
}

impl App {
    async fn complete(&self, request: &Request<Bytes>) -> Response {
        let answer = match Answer::new(request.body()) {
            Ok(answer) => answer,
            Err(error) => return reply::error(StatusCode::BAD_REQUEST, error),
        };
        let number = |name| text_header(request, name).and_then(|text| text.parse::<i64>().ok());
        let resume = number(RESUME_HEADER).and_then(|from| u64::try_from(from).ok()).unwrap_or(0);
        let from = if answer.is_stream() { resume.min(answer.tokens()) } else { 0 };
        let sequence = Sequence {
            attempt: text_header(request, ATTEMPT_HEADER).map(Into::into),
            priority: number(PRIORITY_HEADER).unwrap_or(0),
            from,
            body: xxh3::xxh3_64(request.body()),
        };
        let (id, outputs) = self.state.start(&answer, sequence);
        let guard = Guard { state: Arc::clone(&self.state), id };
        if answer.is_stream() {
            return stream(answer, from, outputs, guard);
        }
        whole(&answer, outputs, guard).await
    }

    fn order(&self, body: &[u8]) -> Response {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return reply::error(StatusCode::BAD_REQUEST, error),
        };
        match self.state.order(order) {
            Ok(()) => reply::empty(StatusCode::OK),
            Err(fence) => reply::error(StatusCode::CONFLICT, format!("fence {fence} is newer")),
        }
    }

    fn export(&self, path: &str) -> Response {
        let attempt = path.strip_prefix(EXPORTS);
        match attempt.and_then(|attempt| self.state.export(attempt)) {
            Some(kv) => reply::json(StatusCode::OK, &kv),
            None => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn import(&self, body: &[u8]) -> Response {
        match serde_json::from_slice(body) {
            Ok(kv) => {
                self.state.import(kv);
                reply::empty(StatusCode::OK)
            }
            Err(error) => reply::error(StatusCode::BAD_REQUEST, error),
        }
    }

    fn events(&self, uri: &Uri) -> Response {
        let after = reply::query(uri, "after").unwrap_or(0);
        reply::json(StatusCode::OK, &Events { events: self.state.published_events(after) })
    }

    fn cancel(&self, path: &str) -> Response {
        let attempt = path.strip_prefix(REQUESTS);
        if attempt.is_some_and(|attempt| self.state.cancel_attempt(attempt)) {
            return reply::empty(StatusCode::OK);
        }
        reply::empty(StatusCode::NOT_FOUND)
    }
}

/// Cancels a sequence when its caller disconnects; no effect on a complete one.
struct Guard {
    state: Arc<State>,
    id: u64,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.state.cancel(self.id);
    }
}

async fn whole(
    answer: &Answer,
    mut outputs: mpsc::UnboundedReceiver<Output>,
    _guard: Guard,
) -> Response {
    while let Some(output) = outputs.recv().await {
        if output == Output::End {
            return reply::whole(StatusCode::OK, "application/json", answer.whole());
        }
    }
    reply::error(StatusCode::CONFLICT, "cancelled")
}

fn stream(
    answer: Answer,
    from: u64,
    mut outputs: mpsc::UnboundedReceiver<Output>,
    guard: Guard,
) -> Response {
    let body = Body::from_stream(async_stream::stream! {
        let _guard = guard;
        let mut index = from;
        while let Some(output) = outputs.recv().await {
            if output == Output::Token {
                yield Ok(Frame::data(answer.event(index)));
                index += 1;
                continue;
            }
            yield Ok(Frame::data(answer.finish()));
            yield Ok(Frame::data(Bytes::from_static(answer::DONE.as_bytes())));
            return;
        }
        yield Err(io::Error::other("cancelled").into());
    });
    reply::typed(StatusCode::OK, "text/event-stream", body)
}

/// Runs steps until the engine's process ends.
async fn run_steps(state: Arc<State>) {
    let mut deadline = Instant::now();
    loop {
        let Some(step) = state.plan() else {
            state.wake.notified().await;
            deadline = Instant::now();
            continue;
        };
        if step.time == unit::Micros::ZERO {
            tokio::task::yield_now().await;
        } else {
            // Steps missed during a pause are not caught up.
            deadline = (deadline + step.time.duration()).max(Instant::now());
            tokio::time::sleep_until(deadline).await;
        }
        state.finish(&step);
    }
}
