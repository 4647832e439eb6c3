//! Internal HTTP endpoints: readiness, metrics, and snapshots for other entries.

use std::convert::Infallible;
use std::rc::Rc;

use agateflow::direct::peer;
use agateflow::event::Event;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::{task, time};

use super::{Entry, socket};
use crate::{event, meter};

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
    serve_with(&logger, listener, move || endpoint_response(&entry, endpoint)).await;
}

/// Serves the metrics of the process on `listener`.
pub async fn serve_metrics(logger: slog::Logger, listener: TcpListener) {
    serve_with(&logger, listener, metrics).await;
}

async fn serve_with(
    logger: &slog::Logger,
    listener: TcpListener,
    make_response: impl Fn() -> Response<Full<Bytes>> + Clone + 'static,
) {
    loop {
        let stream = socket::accept(&listener, logger).await;
        let make_response = make_response.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let reply = make_response();
            async move { Ok::<_, Infallible>(reply) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // Connection errors concern only the client.
        task::spawn_local(async move { drop(connection.await) });
    }
}

fn endpoint_response(entry: &Entry, endpoint: Endpoint) -> Response<Full<Bytes>> {
    match endpoint {
        Endpoint::Ready if entry.is_ready() => respond(StatusCode::OK, "ready\n"),
        Endpoint::Ready => respond(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        Endpoint::Metrics => metrics(),
        Endpoint::Snapshot => match postcard::to_stdvec(&entry.snapshot()) {
            Ok(bytes) => respond(StatusCode::OK, bytes),
            Err(error) => {
                event!(entry.logger, Event::PeerUnreadable; "reason" => %error);
                respond(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        },
    }
}

fn metrics() -> Response<Full<Bytes>> {
    respond(StatusCode::OK, meter::recorder().render())
}

fn respond(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
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
    let response = sender.send_request(Request::new(Full::<Bytes>::default())).await;
    let body =
        Limited::new(response.map_err(error_text)?.into_body(), MAX_SNAPSHOT_BYTES).collect().await;
    task.abort();
    Ok(body.map_err(error_text)?.to_bytes())
}

fn error_text(error: impl std::fmt::Display) -> Box<str> {
    error.to_string().into()
}
