//! Internal HTTP endpoints: readiness, metrics, and snapshots for other entries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agateflow::direct::peer;
use agateflow::event::Event;
use agateflow::intake::Limits;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::{task, time};

use super::{Entry, socket};
use crate::connection::{self, Timeouts};
use crate::intake::{Connection, Full, Intake};
use crate::{blocks, event, meter};

/// Largest head of a request.
const HEAD_BYTES: usize = 8 << 10;

/// Time limits of connections.
const TIMEOUTS: Timeouts = Timeouts {
    idle: Duration::from_secs(60),
    head: Duration::from_secs(5),
    write: Duration::from_secs(5),
};

/// Timeout for fetching another entry's snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest snapshot accepted, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 16 << 20;

/// Endpoint that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// 200 while the entry accepts new connections, else 503.
    Ready,
    /// Metrics in text format.
    Metrics,
    /// A snapshot for another entry.
    Snapshot,
}

/// Why another entry's snapshot could not be fetched.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("fetch snapshot from {0}: {1}")]
    Connection(SocketAddr, Box<str>),
    /// The snapshot could not be decoded.
    #[error("decode snapshot from {0}: {1}")]
    Decode(SocketAddr, postcard::Error),
    /// There was no response in time.
    #[error("fetch snapshot from {0}: no response in time")]
    Timeout(SocketAddr),
}

/// Serves an endpoint of an entry on `listener`.
pub async fn serve(entry: Rc<Entry>, listener: TcpListener, endpoint: Endpoint) {
    let logger = entry.logger.clone();
    let intake = Intake::new(Limits::for_page(entry.options.machine), logger.clone());
    serve_with(&intake, &logger, listener, move || endpoint_page(&entry, endpoint)).await;
}

/// Serves the metrics of the process on `listener`.
pub async fn serve_metrics(intake: Arc<Intake>, logger: slog::Logger, listener: TcpListener) {
    serve_with(&intake, &logger, listener, metrics).await;
}

/// Status and text of a page.
type Page = (StatusCode, Bytes);

async fn serve_with(
    intake: &Arc<Intake>,
    logger: &slog::Logger,
    listener: TcpListener,
    make_page: impl Fn() -> Page + Clone + 'static,
) {
    let (_open, closed) = watch::channel(false);
    loop {
        let (stream, caller) = socket::accept(&listener, logger).await;
        let Some(connection) = intake.admit(caller.ip()).await else { continue };
        let make_page = make_page.clone();
        let account = connection.clone();
        let handle = move |request| respond(request, account.clone(), make_page());
        let closed = closed.clone();
        task::spawn_local(async move {
            connection::serve(stream, connection, HEAD_BYTES, || TIMEOUTS, closed, handle).await;
        });
    }
}

fn endpoint_page(entry: &Entry, endpoint: Endpoint) -> Page {
    match endpoint {
        Endpoint::Ready if entry.is_ready() => (StatusCode::OK, "ready\n".into()),
        Endpoint::Ready => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        Endpoint::Metrics => metrics(),
        Endpoint::Snapshot => match postcard::to_stdvec(&entry.snapshot()) {
            Ok(bytes) => (StatusCode::OK, bytes.into()),
            Err(error) => {
                event!(entry.logger, Event::PeerUnreadable; "reason" => %error);
                (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        },
    }
}

fn metrics() -> Page {
    (StatusCode::OK, meter::recorder().render().into())
}

/// Responds with `page`, charged to the connection. The body of the request is not read.
async fn respond(
    request: Request<Incoming>,
    connection: Arc<Connection>,
    (status, text): Page,
) -> Response<http_body_util::Full<Bytes>> {
    if !request.into_body().is_end_stream() {
        connection.leave_body_unread();
    }
    let (status, body) = match connection.charge(text.len() as u64).await {
        Ok(charge) => (status, blocks::charged(text, charge)),
        Err(Full) => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    };
    let mut response = Response::new(http_body_util::Full::new(body));
    *response.status_mut() = status;
    response
}

/// Fetches a snapshot from another entry.
///
/// # Errors
///
/// [`Error`].
pub async fn fetch_snapshot(peer: SocketAddr) -> Result<peer::Snapshot, Error> {
    match time::timeout(SNAPSHOT_TIMEOUT, request_snapshot(peer)).await {
        Err(_) => Err(Error::Timeout(peer)),
        Ok(Err(reason)) => Err(Error::Connection(peer, reason)),
        Ok(Ok(bytes)) => postcard::from_bytes(&bytes).map_err(|e| Error::Decode(peer, e)),
    }
}

async fn request_snapshot(peer: SocketAddr) -> Result<Bytes, Box<str>> {
    let (mut sender, task) = socket::open_http(peer, SNAPSHOT_TIMEOUT).await?;
    let response =
        sender.send_request(Request::new(http_body_util::Full::<Bytes>::default())).await;
    let body =
        Limited::new(response.map_err(error_text)?.into_body(), MAX_SNAPSHOT_BYTES).collect().await;
    task.abort();
    Ok(body.map_err(error_text)?.to_bytes())
}

fn error_text(error: impl std::fmt::Display) -> Box<str> {
    error.to_string().into()
}
