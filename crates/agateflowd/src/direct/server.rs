//! HTTP server for callers.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agateflow::event::Event;
use http::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::{task, time};

use super::{Entry, call, reply, socket};
use crate::connection::{self, FIRST_REQUEST_GRACE, Timeouts};
use crate::{event, intake};

/// Size of the head buffer before a configuration is known.
const DEFAULT_HEAD_BYTES: usize = 16_384;

/// Timeouts before a configuration is known.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Time in which a caller must read some of its response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts connections until `closed` is true. Open ones then end after their current requests.
pub async fn run(entry: Rc<Entry>, listener: TcpListener, mut closed: watch::Receiver<bool>) {
    let connection_closed = closed.clone();
    loop {
        tokio::select! {
            accepted = socket::accept(&listener, &entry.logger) => {
                admit(&entry, accepted, connection_closed.clone()).await;
            }
            _ = closed.wait_for(|&closed| closed) => break,
        }
    }
    if let Err(error) = accept_backlog(&entry, listener, &connection_closed).await {
        event!(entry.logger, Event::AcceptFailed; "reason" => %error);
    }
}

/// Accepts the backlog of a listener that is about to close: the callers may have sent their
/// requests.
async fn accept_backlog(
    entry: &Rc<Entry>,
    listener: TcpListener,
    closed: &watch::Receiver<bool>,
) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, caller)) => {
                stream.set_nonblocking(true)?;
                admit(entry, (TcpStream::from_std(stream)?, caller), closed.clone()).await;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

/// Serves a connection, if there is room for it.
async fn admit(
    entry: &Rc<Entry>,
    (stream, caller): (TcpStream, SocketAddr),
    closed: watch::Receiver<bool>,
) {
    if let Err(error) = socket::set_options(&stream) {
        event!(entry.logger, Event::AcceptFailed; "reason" => %error);
        return;
    }
    if entry.is_shutting_down() {
        task::spawn_local(delay_shutdown(entry.clone()));
    }
    let Some(connection) = entry.intake.admit(caller.ip()).await else { return };
    let connection_guard = entry.track_connection();
    let served = serve(entry.clone(), stream, connection, closed);
    task::spawn_local(async move {
        let _connection_guard = connection_guard;
        served.await;
    });
}

/// Delays the end of the entry until a new connection had time to send its first request.
async fn delay_shutdown(entry: Rc<Entry>) {
    let _request_guard = entry.track_request();
    time::sleep(FIRST_REQUEST_GRACE).await;
}

async fn serve(
    entry: Rc<Entry>,
    stream: TcpStream,
    connection: Arc<intake::Connection>,
    closed: watch::Receiver<bool>,
) {
    let head_limit = entry.table().map_or(DEFAULT_HEAD_BYTES, |t| t.limits().header.get() as usize);
    let account = connection.clone();
    let handler = entry.clone();
    let handle = move |request| handle_request(handler.clone(), account.clone(), request);
    let timeouts = move || timeouts(&entry);
    connection::serve(stream, connection, head_limit, timeouts, closed, handle).await;
}

fn timeouts(entry: &Entry) -> Timeouts {
    let limits = entry.table().map(|table| table.limits());
    Timeouts {
        idle: limits.map_or(DEFAULT_TIMEOUT, |limits| limits.idle_time.duration()),
        head: limits.map_or(DEFAULT_TIMEOUT, |limits| limits.header_time.duration()),
        write: WRITE_TIMEOUT,
    }
}

async fn handle_request(
    entry: Rc<Entry>,
    connection: Arc<intake::Connection>,
    request: Request<Incoming>,
) -> Response<reply::Body> {
    let (head, body) = request.into_parts();
    // No further request is read after a chunked body: another parser may see its end elsewhere.
    let chunked = head.headers.contains_key(TRANSFER_ENCODING);
    let mut response = call::serve(entry.clone(), connection.clone(), head, body).await;
    if chunked || connection.is_evicted() || entry.is_shutting_down() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
