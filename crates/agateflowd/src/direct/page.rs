//! Pages without a caller: readiness, metrics, and what other entries take to start.

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

/// Longest time to take another entry's snapshot.
const SNAPSHOT_TIME: Duration = Duration::from_millis(800);

/// Most bytes of a snapshot.
const SNAPSHOT_BYTES: usize = 16 << 20;

/// Which page a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Page {
    /// 200 while the entry takes new connections.
    Ready,
    /// Metrics as text.
    Metrics,
    /// A snapshot for another entry.
    Snapshot,
}

/// Why another entry's snapshot could not be taken.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("snapshot from {0}: {1}")]
    Connection(SocketAddr, Box<str>),
    /// The answer could not be read.
    #[error("snapshot from {0}: not readable: {1}")]
    Content(SocketAddr, postcard::Error),
    /// There was no answer in time.
    #[error("snapshot from {0}: no answer in time")]
    Time(SocketAddr),
}

/// Serves a page of an entry to all that connect.
pub async fn serve(entry: Rc<Entry>, listener: TcpListener, page: Page) {
    let logger = entry.logger.clone();
    serve_with(&logger, listener, move || answer(&entry, page)).await;
}

/// Serves the metrics of the process to all that connect.
pub async fn serve_metrics(logger: slog::Logger, listener: TcpListener) {
    serve_with(&logger, listener, metrics).await;
}

async fn serve_with(
    logger: &slog::Logger,
    listener: TcpListener,
    answer: impl Fn() -> Response<Full<Bytes>> + Clone + 'static,
) {
    loop {
        let stream = socket::accept(&listener, logger).await;
        let answer = answer.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let answer = answer();
            async move { Ok::<_, Infallible>(answer) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // Errors are those of whoever asked.
        task::spawn_local(async move { drop(connection.await) });
    }
}

fn answer(entry: &Entry, page: Page) -> Response<Full<Bytes>> {
    match page {
        Page::Ready if entry.is_ready() => respond(StatusCode::OK, "ready\n"),
        Page::Ready => respond(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        Page::Metrics => metrics(),
        Page::Snapshot => match postcard::to_stdvec(&entry.snapshot()) {
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

/// Takes a snapshot from another entry.
///
/// # Errors
///
/// [`Error`].
pub async fn fetch(peer: SocketAddr) -> Result<peer::Snapshot, Error> {
    match time::timeout(SNAPSHOT_TIME, request(peer)).await {
        Err(_) => Err(Error::Time(peer)),
        Ok(Err(reason)) => Err(Error::Connection(peer, reason)),
        Ok(Ok(bytes)) => postcard::from_bytes(&bytes).map_err(|e| Error::Content(peer, e)),
    }
}

async fn request(peer: SocketAddr) -> Result<Bytes, Box<str>> {
    let (mut sender, task) = socket::open(peer, SNAPSHOT_TIME).await?;
    let response = sender.send_request(Request::new(Full::<Bytes>::default())).await;
    let body = Limited::new(response.map_err(reason)?.into_body(), SNAPSHOT_BYTES).collect().await;
    task.abort();
    Ok(body.map_err(reason)?.to_bytes())
}

fn reason(error: impl std::fmt::Display) -> Box<str> {
    error.to_string().into()
}
