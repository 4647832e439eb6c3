//! The HTTP service for callers.

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

use crate::entry::driver::{Driver, Part};
use crate::entry::problem::Problem;
use crate::entry::{Shared, call, quota, tickets};
use crate::event;

/// Retry-After of a request that is rejected because the entry is at capacity.
const RETRY_AFTER: unit::Millis = unit::Millis::new(1_000);

/// Maximum number of chunks queued for a slow caller; a full queue slows the engine down.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Start of the server-sent event that ends an incomplete stream.
const ERROR_EVENT: &[u8] = b"event: error\ndata: ";

/// Handles the requests of callers.
#[derive(Clone)]
pub struct Handler {
    shared: Arc<Shared>,
}

impl Handler {
    /// Creates the handler of one listener.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl Service<ServerContext, Request> for Handler {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        let _guard = self.shared.track_request();
        let mut response = serve(&self.shared, request).await.unwrap_or_else(|problem| {
            event!(self.shared.logger, Event::RequestNotServed;
                "outcome" => %problem.outcome, "detail" => &*problem.detail);
            problem.into_response()
        });
        if self.shared.is_draining() {
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
    check_capacity(shared).map_err(|problem| problem.with_unchecked_key(keyed))?;
    check_header(&parts, shared.limits.max_header_bytes)?;
    let team = call::authenticate(&fleet, &parts.headers)?;
    let body = read_body(body, shared.limits.max_body_bytes, shared.limits.body_timeout).await?;
    if parts.uri.path() == tickets::PATH && parts.method == http::Method::POST {
        return tickets::issue(shared, &fleet, team, &body).await;
    }
    let call = call::parse_request(&fleet, team, &parts, body, shared.limits.request_timeout)?;
    let permit = quota::Permit::new(shared, &call.team);
    let permit = permit.map_err(|problem| problem.with_unchecked_key(keyed))?;
    let mut driver = Driver::new(shared.clone(), Arc::new(call), permit);
    match driver.next().await {
        Part::Head(head) => respond(shared, head, driver).await,
        Part::Finish(finish) => Err(driver.problem(finish)),
        Part::Data(_) => Err(Problem::unknown(StatusCode::BAD_GATEWAY, "body before head")),
    }
}

/// Each connection carries one request at a time, so this bounds the connections that cost memory.
fn check_capacity(shared: &Shared) -> Result<(), Problem> {
    if shared.requests_in_progress() <= shared.limits.max_requests {
        return Ok(());
    }
    let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "too many connections");
    Err(problem.with_retry_after(RETRY_AFTER))
}

fn check_header(parts: &http::request::Parts, limit: usize) -> Result<(), Problem> {
    let field_size =
        |(name, value): (&http::HeaderName, &http::HeaderValue)| name.as_str().len() + value.len();
    let size = parts.headers.iter().map(field_size).sum::<usize>();
    if size + parts.uri.path_and_query().map_or(0, |path| path.as_str().len()) <= limit {
        return Ok(());
    }
    let detail = format!("header: larger than {limit} bytes");
    Err(Problem::not_run(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, detail))
}

async fn read_body(mut body: Body, limit: usize, max_time: Duration) -> Result<Bytes, Problem> {
    let read = async {
        let mut buffer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame
                .map_err(|e| Problem::not_run(StatusCode::BAD_REQUEST, format!("body: {e}")))?;
            let Ok(bytes) = frame.into_data() else { continue };
            if buffer.len() + bytes.len() > limit {
                let detail = format!("body: larger than {limit} bytes");
                return Err(Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, detail));
            }
            buffer.extend_from_slice(&bytes);
        }
        Ok(buffer.freeze())
    };
    let timed_out = |_| Problem::not_run(StatusCode::REQUEST_TIMEOUT, "body: sent too slowly");
    time::timeout(max_time, read).await.map_err(timed_out)?
}

/// Starts the response. If it is already complete, its body is sent with a Content-Length.
async fn respond(
    shared: &Arc<Shared>,
    head: answer::Head,
    mut driver: Driver,
) -> Result<Response, Problem> {
    if driver.is_event_stream() {
        return Ok(build_response(head, stream_body(shared, Bytes::new(), driver)));
    }
    let first = match driver.next().await {
        Part::Data(bytes) => bytes,
        Part::Finish(finish) => {
            return Ok(with_outcome(build_response(head, Body::empty()), finish));
        }
        Part::Head(_) => Bytes::new(),
    };
    // The state machine buffers a unary response until it is complete, unless it is large.
    match driver.try_finish() {
        Some(finish) => Ok(with_outcome(build_response(head, Body::from(first)), finish)),
        None => Ok(build_response(head, stream_body(shared, first, driver))),
    }
}

fn build_response(head: answer::Head, body: Body) -> Response {
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

type Chunk = Result<Frame<Bytes>, volo_http::error::BoxError>;

/// Builds a body that forwards the response as it arrives. The request is cancelled if the caller
/// disconnects. An incomplete response aborts the connection, so that it never looks complete.
fn stream_body(shared: &Arc<Shared>, first: Bytes, driver: Driver) -> Body {
    let (sender, mut chunks) = mpsc::channel::<Chunk>(MAX_QUEUED_CHUNKS);
    let shared = shared.clone();
    let complete = Arc::new(AtomicBool::new(false));
    let completed = complete.clone();
    tokio::spawn(async move {
        let _guard = shared.track_request();
        tokio::select! {
            () = forward(&shared, first, driver, &sender, &completed) => {}
            () = sender.closed() => {}
        }
    });
    let mut aborted = false;
    Body::from_stream(stream::poll_fn(move |cx| match ready!(chunks.poll_recv(cx)) {
        Some(chunk) => Poll::Ready(Some(chunk)),
        None if aborted || complete.load(Ordering::Acquire) => Poll::Ready(None),
        None => {
            aborted = true;
            Poll::Ready(Some(Err("response is incomplete".into())))
        }
    }))
}

async fn forward(
    shared: &Shared,
    first: Bytes,
    mut driver: Driver,
    sender: &mpsc::Sender<Chunk>,
    complete: &AtomicBool,
) {
    let limit = shared.limits.write_timeout;
    if !first.is_empty() && !send_chunk(first, sender, limit).await {
        return;
    }
    loop {
        match driver.next().await {
            Part::Head(_) => {}
            Part::Data(bytes) => {
                if !send_chunk(bytes, sender, limit).await {
                    return;
                }
            }
            Part::Finish(finish) if finish.ending == Ending::Complete => {
                return complete.store(true, Ordering::Release);
            }
            Part::Finish(finish) => {
                let problem = Problem { outcome: finish.outcome, ..driver.problem(finish) };
                event!(shared.logger, Event::StreamCut;
                    "outcome" => %problem.outcome, "detail" => &*problem.detail);
                return send_error_event(&driver, &problem, sender, limit).await;
            }
        }
    }
}

/// Queues bytes for the caller; false if the queue stayed full or the caller disconnected.
async fn send_chunk(bytes: Bytes, sender: &mpsc::Sender<Chunk>, limit: Duration) -> bool {
    sender.send_timeout(Ok(Frame::data(bytes)), limit).await.is_ok()
}

/// Sends the problem as the last event of an incomplete stream.
async fn send_error_event(
    driver: &Driver,
    problem: &Problem,
    sender: &mpsc::Sender<Chunk>,
    limit: Duration,
) {
    if driver.is_event_stream() {
        let mut event = ERROR_EVENT.to_vec();
        event.extend(problem.to_json());
        event.extend(b"\n\n");
        send_chunk(event.into(), sender, limit).await;
    }
}
