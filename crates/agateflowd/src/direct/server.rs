//! HTTP server for callers.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use agateflow::event::Event;
use http::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::{task, time};

use super::{Entry, call, reply, socket};
use crate::event;

/// Smallest head buffer that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8_192;

/// Size of the head buffer before a configuration is known.
const DEFAULT_HEAD_BYTES: usize = 16_384;

/// Timeouts before a configuration is known.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Time after accepting a connection for which its first request is awaited even during shutdown.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The first byte of a request, since this instant.
    Idle(Instant),
    /// The rest of a request's head, since this instant.
    Head(Instant),
    /// The response.
    Busy,
    /// The caller, to read the rest of the response.
    Sending,
}

/// Accepts connections until `closed` is true. Open ones then end after their current requests.
pub async fn run(entry: Rc<Entry>, listener: TcpListener, mut closed: watch::Receiver<bool>) {
    let connection_closed = closed.clone();
    loop {
        tokio::select! {
            stream = socket::accept(&listener, &entry.logger) => {
                spawn(&entry, stream, connection_closed.clone());
            }
            _ = closed.wait_for(|&closed| closed) => break,
        }
    }
    if let Err(error) = accept_backlog(&entry, listener, &connection_closed) {
        event!(entry.logger, Event::AcceptFailed; "reason" => %error);
    }
}

/// Accepts the backlog of a listener that is about to close: the callers may have sent their
/// requests.
fn accept_backlog(
    entry: &Rc<Entry>,
    listener: TcpListener,
    closed: &watch::Receiver<bool>,
) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                spawn(entry, TcpStream::from_std(stream)?, closed.clone());
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

fn spawn(entry: &Rc<Entry>, stream: TcpStream, closed: watch::Receiver<bool>) {
    if let Err(error) = socket::set_options(&stream) {
        event!(entry.logger, Event::AcceptFailed; "reason" => %error);
        return;
    }
    if entry.is_shutting_down() {
        task::spawn_local(delay_shutdown(entry.clone()));
    }
    let connection_guard = entry.track_connection();
    let connection = serve(entry.clone(), stream, closed);
    task::spawn_local(async move {
        let _connection_guard = connection_guard;
        connection.await;
    });
}

/// Delays the end of the entry until a new connection had time to send its first request.
async fn delay_shutdown(entry: Rc<Entry>) {
    let _request_guard = entry.track_request();
    time::sleep(FIRST_REQUEST_GRACE).await;
}

async fn serve(entry: Rc<Entry>, stream: TcpStream, mut closed: watch::Receiver<bool>) {
    let phase = Rc::new(Cell::new(Phase::Idle(Instant::now())));
    let tracked = Stream { stream, phase: phase.clone() };
    let head_limit = entry.table().map_or(DEFAULT_HEAD_BYTES, |t| t.limits().header.get() as usize);
    let service_entry = entry.clone();
    let service_phase = phase.clone();
    let service = service_fn(move |request| {
        handle_request(service_entry.clone(), service_phase.clone(), request)
    });
    let connection = http1::Builder::new()
        .max_buf_size(head_limit.max(MIN_HEAD_BYTES))
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(tracked), service);
    let mut connection = pin!(connection);
    let accepted = time::Instant::now();
    let mut closing = false;
    loop {
        let expires_at = expiry(&entry, phase.get());
        tokio::select! {
            // Errors are the caller's: it left or sent an invalid request.
            _ = connection.as_mut() => return,
            () = time::sleep_until(expires_at.into()) => {
                if expiry(&entry, phase.get()) <= Instant::now() {
                    return;
                }
            }
            () = wait_for_close(&mut closed, accepted), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Waits until connections should close. A newly accepted one first gets time to send its request.
async fn wait_for_close(closed: &mut watch::Receiver<bool>, accepted: time::Instant) {
    let _ = closed.wait_for(|&closed| closed).await;
    time::sleep_until(accepted + FIRST_REQUEST_GRACE).await;
}

/// Instant at which a connection in `phase` times out.
fn expiry(entry: &Entry, phase: Phase) -> Instant {
    let limits = entry.table().map(|table| table.limits());
    match phase {
        Phase::Idle(since) => since + limits.map_or(DEFAULT_TIMEOUT, |l| l.idle_time.duration()),
        Phase::Head(since) => since + limits.map_or(DEFAULT_TIMEOUT, |l| l.header_time.duration()),
        Phase::Busy | Phase::Sending => Instant::now() + DEFAULT_TIMEOUT,
    }
}

async fn handle_request(
    entry: Rc<Entry>,
    phase: Rc<Cell<Phase>>,
    request: Request<Incoming>,
) -> Result<Response<reply::Body>, Infallible> {
    phase.set(Phase::Busy);
    let (head, body) = request.into_parts();
    // No further request is read after a chunked body: another parser may see its end elsewhere.
    let chunked = head.headers.contains_key(TRANSFER_ENCODING);
    let mut response = call::serve(entry.clone(), head, body).await;
    if chunked || entry.is_shutting_down() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let body = response.body_mut();
    let inner = std::mem::replace(body, reply::full(bytes::Bytes::new()));
    *body = Box::pin(Body { inner, phase });
    Ok(response)
}

/// A body that marks its connection as idle when it ends. Its last bytes may still be written then.
struct Body {
    inner: reply::Body,
    phase: Rc<Cell<Phase>>,
}

impl http_body::Body for Body {
    type Data = bytes::Bytes;
    type Error = reply::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Self::Data>, Self::Error>>> {
        self.inner.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.phase.set(Phase::Idle(Instant::now()));
    }
}

/// A connection that records when a request begins to arrive, and whether a response waits to be
/// written.
struct Stream {
    stream: TcpStream,
    phase: Rc<Cell<Phase>>,
}

impl Stream {
    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        if matches!(self.phase.get(), Phase::Idle(_) | Phase::Sending) {
            self.phase.set(match result {
                Poll::Pending => Phase::Sending,
                Poll::Ready(_) => Phase::Idle(Instant::now()),
            });
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let (Phase::Idle(_), true) = (self.phase.get(), buffer.filled().len() > before) {
            self.phase.set(Phase::Head(Instant::now()));
        }
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
