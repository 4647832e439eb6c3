//! The callers' HTTP service.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Poll, ready};
use std::time::Duration;

use agateflow::admission::answer;
use agateflow::event::Event;
use agateflow::outcome;
use agateflow::request::{Ending, Finish};
use agateflow::unit;
use bytes::{Bytes, BytesMut};
use futures::stream;
use http::{StatusCode, header};
use http_body::Frame;
use http_body_util::BodyExt;
use motore::service::Service;
use tokio::sync::mpsc;
use tokio::time;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::entry::flow::{Flow, Piece};
use crate::entry::problem::Problem;
use crate::entry::{Shared, call, quota, tickets};
use crate::event;

/// When a caller that met a full entry may try again.
const RETRY_AFTER: unit::Millis = unit::Millis::new(1_000);

/// Parts of a stream that wait for a slow caller before the engine is slowed down.
const STREAM_QUEUE: usize = 16;

/// Name and value of the event that ends a stream that is not whole.
const ERROR_EVENT: &[u8] = b"event: error\ndata: ";

/// Answers callers.
#[derive(Clone)]
pub struct Callers {
    shared: Arc<Shared>,
}

impl Callers {
    /// Creates the service.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl Service<ServerContext, Request> for Callers {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        let _guard = self.shared.guard();
        let mut response = serve(&self.shared, request).await.unwrap_or_else(|problem| {
            event!(self.shared.logger, Event::RequestNotServed;
                "outcome" => %problem.outcome, "detail" => &*problem.detail);
            problem.into_response()
        });
        if self.shared.is_leaving() {
            let close = http::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(response)
    }
}

async fn serve(shared: &Arc<Shared>, request: Request) -> Result<Response, Problem> {
    let fleet = shared.fleet.load_full();
    let (parts, body) = request.into_parts();
    let keyed = call::is_keyed(&parts.headers);
    check_room(shared).map_err(|problem| problem.unseen(keyed))?;
    check_header(&parts, shared.limits.header_bytes)?;
    let team = call::authenticate(&fleet, &parts.headers)?;
    let body = read_body(body, shared.limits.body_bytes, shared.limits.body_time).await?;
    if parts.uri.path() == tickets::PATH && parts.method == http::Method::POST {
        return tickets::answer(shared, &fleet, team, &body).await;
    }
    let call = call::build(&fleet, team, &parts, body, shared.limits.request_time)?;
    let permit = quota::Permit::new(shared, &call.team);
    let permit = permit.map_err(|problem| problem.unseen(keyed))?;
    let mut flow = Flow::new(shared.clone(), Arc::new(call), permit);
    match flow.next().await {
        Piece::Head(head) => respond(shared, head, flow).await,
        Piece::Finish(finish) => Err(flow.problem(finish)),
        Piece::Data(_) => Err(Problem::unknown(StatusCode::BAD_GATEWAY, "body before head")),
    }
}

/// Each connection carries one request at a time, so this bounds the connections that cost memory.
fn check_room(shared: &Shared) -> Result<(), Problem> {
    if shared.running() <= shared.limits.requests {
        return Ok(());
    }
    let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "too many connections");
    Err(problem.with_retry_after(RETRY_AFTER))
}

fn check_header(parts: &http::request::Parts, limit: usize) -> Result<(), Problem> {
    let field =
        |(name, value): (&http::HeaderName, &http::HeaderValue)| name.as_str().len() + value.len();
    let size = parts.headers.iter().map(field).sum::<usize>();
    if size + parts.uri.path_and_query().map_or(0, |path| path.as_str().len()) <= limit {
        return Ok(());
    }
    let detail = format!("header: larger than {limit} bytes");
    Err(Problem::not_run(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, detail))
}

async fn read_body(mut body: Body, limit: usize, time: Duration) -> Result<Bytes, Problem> {
    let read = async {
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame
                .map_err(|e| Problem::not_run(StatusCode::BAD_REQUEST, format!("body: {e}")))?;
            let Ok(bytes) = frame.into_data() else { continue };
            if whole.len() + bytes.len() > limit {
                let detail = format!("body: larger than {limit} bytes");
                return Err(Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, detail));
            }
            whole.extend_from_slice(&bytes);
        }
        Ok(whole.freeze())
    };
    let late = |_| Problem::not_run(StatusCode::REQUEST_TIMEOUT, "body: sent too slowly");
    time::timeout(time, read).await.map_err(late)?
}

/// Starts the answer. What is at hand whole goes out as one body with its length.
async fn respond(
    shared: &Arc<Shared>,
    head: answer::Head,
    mut flow: Flow,
) -> Result<Response, Problem> {
    if flow.is_event_stream() {
        return Ok(with_head(head, stream_body(shared, Bytes::new(), flow)));
    }
    let first = match flow.next().await {
        Piece::Data(bytes) => bytes,
        Piece::Finish(finish) => return Ok(with_outcome(with_head(head, Body::empty()), finish)),
        Piece::Head(_) => Bytes::new(),
    };
    // The machine holds an answer back until it is whole, unless it is large.
    match flow.ended() {
        Some(finish) => Ok(with_outcome(with_head(head, Body::from(first)), finish)),
        None => Ok(with_head(head, stream_body(shared, first, flow))),
    }
}

fn with_head(head: answer::Head, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in head.headers {
        let name = http::HeaderName::from_bytes(header.name.as_bytes());
        let value = http::HeaderValue::from_maybe_shared(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

fn with_outcome(mut response: Response, finish: Finish) -> Response {
    let outcome = http::HeaderValue::from_static(finish.outcome.as_str());
    response.headers_mut().insert(outcome::HEADER, outcome);
    response
}

type Part = Result<Frame<Bytes>, volo_http::error::BoxError>;

/// A body that is filled while the answer arrives. A caller that goes away ends the flow. Whatever
/// ends it before the answer is whole aborts the connection, so that a cut body never looks whole.
fn stream_body(shared: &Arc<Shared>, first: Bytes, flow: Flow) -> Body {
    let (sender, mut parts) = mpsc::channel::<Part>(STREAM_QUEUE);
    let shared = shared.clone();
    let whole = Arc::new(AtomicBool::new(false));
    let filled = whole.clone();
    tokio::spawn(async move {
        let _guard = shared.guard();
        tokio::select! {
            () = pump(&shared, first, flow, &sender, &filled) => {}
            () = sender.closed() => {}
        }
    });
    let mut aborted = false;
    Body::from_stream(stream::poll_fn(move |cx| match ready!(parts.poll_recv(cx)) {
        Some(part) => Poll::Ready(Some(part)),
        None if aborted || whole.load(Ordering::Acquire) => Poll::Ready(None),
        None => {
            aborted = true;
            Poll::Ready(Some(Err("answer cut".into())))
        }
    }))
}

async fn pump(
    shared: &Shared,
    first: Bytes,
    mut flow: Flow,
    sender: &mpsc::Sender<Part>,
    whole: &AtomicBool,
) {
    let limit = shared.limits.write_time;
    if !first.is_empty() && !deliver(first, sender, limit).await {
        return;
    }
    loop {
        match flow.next().await {
            Piece::Head(_) => {}
            Piece::Data(bytes) => {
                if !deliver(bytes, sender, limit).await {
                    return;
                }
            }
            Piece::Finish(finish) if finish.ending == Ending::Complete => {
                return whole.store(true, Ordering::Release);
            }
            Piece::Finish(finish) => {
                let problem = Problem { outcome: finish.outcome, ..flow.problem(finish) };
                event!(shared.logger, Event::StreamCut;
                    "outcome" => %problem.outcome, "detail" => &*problem.detail);
                return explain(&flow, &problem, sender, limit).await;
            }
        }
    }
}

/// Whether the caller took its place in the queue in time.
async fn deliver(bytes: Bytes, sender: &mpsc::Sender<Part>, limit: Duration) -> bool {
    sender.send_timeout(Ok(Frame::data(bytes)), limit).await.is_ok()
}

/// Tells the caller of a stream why it ends before it is whole.
async fn explain(flow: &Flow, problem: &Problem, sender: &mpsc::Sender<Part>, limit: Duration) {
    if flow.is_event_stream() {
        let mut event = ERROR_EVENT.to_vec();
        event.extend(problem.document());
        event.extend(b"\n\n");
        deliver(event.into(), sender, limit).await;
    }
}
