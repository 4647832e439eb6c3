//! The HTTP service for callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Poll, ready};
use std::time::Duration;

use agateflow::admission::answer;
use agateflow::event::Event;
use agateflow::outcome;
use agateflow::request::{Ending, Finish};
use agateflow::unit;
use bytes::Bytes;
use futures::stream;
use http::{Request, StatusCode, header};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::blocks::{self, Blocks};
use crate::connection::{self, Timeouts};
use crate::entry::driver::{Driver, Part};
use crate::entry::problem::Problem;
use crate::entry::{Shared, call, quota, tickets};
use crate::intake::{self, Charge, Connection, Full};
use crate::upstream::sender;
use crate::{event, listener};

/// Retry-After of a request that is rejected because the entry is at capacity.
const RETRY_AFTER: unit::Millis = unit::Millis::new(1_000);

/// Maximum number of chunks queued for a slow caller; a full queue slows the engine down.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Start of the server-sent event that ends an incomplete stream.
const ERROR_EVENT: &[u8] = b"event: error\ndata: ";

/// Memory of a request beside its body: its state, and the buffer that its header was read into.
const REQUEST_BYTES: u64 = 24 << 10;

/// Times that a large body takes its size: as received, joined, as a message of a link and encoded. The allocator keeps
/// what is freed of them for a while.
const BODY_COPIES: u64 = 4;

/// Size beyond the limit up to which a header is read and rejected.
const HEADER_MARGIN_BYTES: usize = 8 << 10;

/// What a request in progress holds of its caller's connection.
pub struct Account {
    /// The connection.
    pub connection: Arc<Connection>,
    _charge: Charge,
}

/// Accepts callers' connections until `stopped` turns true. Open ones then end after their current requests.
pub async fn accept(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
) {
    let closed = stopped.clone();
    while let Some((stream, caller)) =
        listener::accept(&listener, &mut stopped, &shared.logger).await
    {
        let Some(connection) = shared.intake.admit(caller.ip()).await else { continue };
        let (shared, closed, account) = (shared.clone(), closed.clone(), connection.clone());
        tokio::spawn(async move {
            let timeouts = Timeouts {
                idle: shared.limits.idle_timeout,
                head: shared.limits.header_timeout,
                write: shared.limits.write_timeout,
            };
            // A header that is a little too large is read, so that its caller gets the outcome.
            let max_head = shared.limits.max_header_bytes + HEADER_MARGIN_BYTES;
            let handle = move |request| handle(shared.clone(), account.clone(), request);
            connection::serve(stream, connection, max_head, move || timeouts, closed, handle).await;
        });
    }
}

async fn handle(
    shared: Arc<Shared>,
    connection: Arc<Connection>,
    request: Request<Incoming>,
) -> Response {
    let _guard = shared.track_request();
    let (parts, mut body) = request.into_parts();
    let served = serve(&shared, &connection, &parts, &mut body).await;
    if served.is_err() && !body.is_end_stream() {
        connection.leave_body_unread();
    }
    let mut response = served.unwrap_or_else(|problem| {
        event!(shared.logger, Event::RequestNotServed;
            "outcome" => %problem.outcome, "detail" => &*problem.detail);
        problem.into_response()
    });
    if shared.is_draining() || connection.is_evicted() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn serve(
    shared: &Arc<Shared>,
    connection: &Arc<Connection>,
    parts: &http::request::Parts,
    body: &mut Incoming,
) -> Result<Response, Problem> {
    let fleet = shared.fleet.load_full();
    let keyed = call::is_keyed(&parts.headers);
    check_capacity(shared).map_err(|problem| problem.with_unchecked_key(keyed))?;
    check_header(parts, shared.limits.max_header_bytes)?;
    let team = call::authenticate(&fleet, &parts.headers)?;
    connection.set_team(Some(team.name.clone()));
    let no_memory = |full| no_memory(full).with_unchecked_key(keyed);
    let charge = connection.charge(REQUEST_BYTES).await.map_err(no_memory)?;
    let account = Account { connection: connection.clone(), _charge: charge };
    let body = read_body(body, connection, shared.limits.max_body_bytes as u64);
    let timed_out = |_| Problem::not_run(StatusCode::REQUEST_TIMEOUT, "body: sent too slowly");
    let body = time::timeout(shared.limits.body_timeout, body).await.map_err(timed_out)?;
    let body = body.map_err(|problem| problem.with_unchecked_key(keyed))?;
    let body = body.join(connection, BODY_COPIES).await.map_err(no_memory)?;
    if parts.uri.path() == tickets::PATH && parts.method == http::Method::POST {
        return tickets::issue(shared, &fleet, team, &body).await;
    }
    let call = call::parse_request(&fleet, team, parts, body, shared.limits.request_timeout)?;
    let permit = quota::Permit::new(shared, &call.team);
    let permit = permit.map_err(|problem| problem.with_unchecked_key(keyed))?;
    let mut driver = Driver::new(shared.clone(), Arc::new(call), permit, account);
    match driver.next().await {
        Part::Head(head) => respond(shared, head, driver).await,
        Part::Finish(finish) => Err(driver.problem(finish)),
        Part::Data(_) => Err(Problem::unknown(StatusCode::BAD_GATEWAY, "body before head")),
    }
}

/// Problem of a request for which there is no memory.
fn no_memory(full: Full) -> Problem {
    let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, full.to_string());
    problem.with_retry_after(intake::RETRY_AFTER)
}

/// Each connection carries one request at a time, so this bounds the connections that cost memory.
fn check_capacity(shared: &Shared) -> Result<(), Problem> {
    if shared.requests_in_progress() <= shared.limits.max_connections {
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

/// Reads a body of at most `limit` bytes, charged to the connection.
async fn read_body(
    body: &mut Incoming,
    connection: &Arc<Connection>,
    limit: u64,
) -> Result<Blocks, Problem> {
    let too_long = || {
        let detail = format!("body: larger than {limit} bytes");
        Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, detail)
    };
    if body.size_hint().lower() > limit {
        return Err(too_long());
    }
    let announced = body.size_hint().exact();
    let mut builder = blocks::Builder::new(connection, announced).await.map_err(no_memory)?;
    let evicted = connection.evicted();
    tokio::pin!(evicted);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut evicted => return Err(no_memory(Full)),
        };
        let Some(frame) = frame else { return Ok(builder.finish()) };
        let frame =
            frame.map_err(|e| Problem::not_run(StatusCode::BAD_REQUEST, format!("body: {e}")))?;
        let Ok(bytes) = frame.into_data() else { continue };
        if builder.length() + bytes.len() as u64 > limit {
            return Err(too_long());
        }
        builder.record(&bytes);
        builder.push(&bytes).await.map_err(no_memory)?;
    }
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
        Some(finish) => {
            let connection = &driver.account().connection;
            let no_memory =
                |full: Full| Problem::unknown(StatusCode::BAD_GATEWAY, full.to_string());
            let charge = connection.charge(first.len() as u64).await.map_err(no_memory)?;
            let body = Body::from(blocks::charged(first, charge));
            Ok(with_outcome(build_response(head, body), finish))
        }
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
    let connection = driver.account().connection.clone();
    let caller = Caller { connection, sender, limit: shared.limits.write_timeout };
    if !first.is_empty() && !caller.send(first).await {
        return;
    }
    loop {
        match driver.next().await {
            Part::Head(_) => {}
            Part::Data(bytes) => {
                if !caller.send(bytes).await {
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
                return send_error_event(&driver, &problem, &caller).await;
            }
        }
    }
}

/// Queue of a caller that reads a response.
struct Caller<'a> {
    connection: Arc<Connection>,
    sender: &'a mpsc::Sender<Chunk>,
    /// How long the queue may stay full.
    limit: Duration,
}

impl Caller<'_> {
    /// Queues bytes; false if the queue stayed full, the caller disconnected or there is no memory.
    async fn send(&self, bytes: Bytes) -> bool {
        let Ok(charge) = self.connection.charge(bytes.len() as u64).await else { return false };
        let chunk = Ok(Frame::data(blocks::charged(bytes, charge)));
        let chunk = match self.sender.try_send(chunk) {
            Ok(()) => return true,
            Err(mpsc::error::TrySendError::Closed(_)) => return false,
            Err(mpsc::error::TrySendError::Full(chunk)) => chunk,
        };
        // Meanwhile the upstream process fills its window.
        let Ok(_window) = self.connection.charge(sender::WINDOW_BYTES).await else { return false };
        self.sender.send_timeout(chunk, self.limit).await.is_ok()
    }
}

/// Sends the problem as the last event of an incomplete stream.
async fn send_error_event(driver: &Driver, problem: &Problem, caller: &Caller<'_>) {
    if driver.is_event_stream() {
        let mut event = ERROR_EVENT.to_vec();
        event.extend(problem.to_json());
        event.extend(b"\n\n");
        caller.send(event.into()).await;
    }
}
