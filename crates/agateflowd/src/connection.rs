//! Serves HTTP on a caller's connection: its time limits, its account of what it holds, and its end.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use agateflow::intake::Stage;
use bytes::Bytes;
use http::{Request, Response};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{self, Instant};

use crate::intake::{Charge, Connection};

/// Smallest head buffer that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8_192;

/// Time after accepting a connection for which its first request is awaited even during shutdown.
pub const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);

/// Time in which a connection that has to go gets its response out.
const EVICTION_TIME: Duration = Duration::from_millis(500);

/// Time for which the rest of a body is read and dropped, so that its caller sees the response.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Most bytes that are read so.
const LINGER_BYTES: usize = 4 << 20;

/// Buffer for them.
const LINGER_BUFFER_BYTES: usize = 8 << 10;

/// Bytes of a response that wait at the upstream's connection while the caller does not read.
const BACKLOG_BYTES: u64 = 128 << 10;

/// Time limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Between two requests.
    pub idle: Duration,
    /// For the head of a request.
    pub head: Duration,
    /// For the caller to read some of a response.
    pub write: Duration,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The first byte of a request, since this instant.
    Idle(Instant),
    /// The rest of a request's head, since this instant.
    Head(Instant),
    /// The response.
    Busy,
    /// The rest of the response.
    Responding,
}

/// Progress of a connection, shared by its reads, its writes and its requests.
struct Progress {
    phase: Phase,
    /// Since when the caller has read nothing of what waits to be written.
    blocked: Option<Instant>,
}

type Shared = Arc<Mutex<Progress>>;

fn lock(progress: &Shared) -> MutexGuard<'_, Progress> {
    progress.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves the requests of a connection with `handle` until it ends, expires or has to go. After `closed` has turned
/// true it ends with the request in progress.
pub async fn serve<F, R, B>(
    stream: TcpStream,
    connection: Arc<Connection>,
    max_head_bytes: usize,
    timeouts: impl Fn() -> Timeouts,
    mut closed: watch::Receiver<bool>,
    handle: F,
) where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<B>>,
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let accepted = Instant::now();
    let progress = Progress { phase: Phase::Idle(accepted), blocked: None };
    let progress = Arc::new(Mutex::new(progress));
    let tracked = Stream {
        stream,
        progress: progress.clone(),
        connection: connection.clone(),
        backlog: None,
    };
    let service = service_fn(|request| {
        lock(&progress).phase = Phase::Busy;
        connection.enter(Stage::Receiving);
        let response = handle(request);
        let (progress, connection) = (progress.clone(), connection.clone());
        Box::pin(async move {
            let response = response.await;
            lock(&progress).phase = Phase::Responding;
            connection.enter(Stage::Sending);
            Ok::<_, Infallible>(response.map(|body| Tracked { body, progress, connection }))
        })
    });
    let mut http = http1::Builder::new()
        .max_buf_size(max_head_bytes.max(MIN_HEAD_BYTES))
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(tracked), service);
    let mut closing = false;
    let mut leave_by = None;
    let is_answered = loop {
        let expires_at = leave_by.unwrap_or_else(|| expiry(&progress, &timeouts()));
        tokio::select! {
            // Errors are the caller's: it left or sent an invalid request.
            result = poll_fn(|context| http.poll_without_shutdown(context)) => break result.is_ok(),
            () = time::sleep_until(expires_at) => {
                if leave_by.is_some() || expiry(&progress, &timeouts()) <= Instant::now() {
                    break false;
                }
            }
            () = wait_for_close(&mut closed, accepted), if !closing => {
                closing = true;
                Pin::new(&mut http).graceful_shutdown();
            }
            () = connection.evicted(), if leave_by.is_none() => {
                if lock(&progress).phase != Phase::Busy {
                    break false;
                }
                leave_by = Some(Instant::now() + EVICTION_TIME);
            }
        }
    };
    let mut stream = http.into_parts().io.into_inner().stream;
    if !is_answered {
        if connection.is_evicted() {
            // What waits in the socket's buffers goes too.
            drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
        }
    } else if connection.has_unread_body() {
        linger(&mut stream, &connection).await;
    } else {
        // The caller may have left.
        drop(stream.shutdown().await);
    }
}

/// Reads and drops what a caller still sends, as closing a socket with unread bytes takes back the response.
async fn linger(stream: &mut TcpStream, connection: &Connection) {
    connection.enter(Stage::Idle);
    // One that had to go before has given up what it held but for the connection itself.
    let had_to_go = connection.is_evicted();
    let mut buffer = vec![0; LINGER_BUFFER_BYTES];
    let drained = async {
        stream.shutdown().await?;
        let mut left = LINGER_BYTES;
        while left > 0 {
            match stream.read(&mut buffer).await? {
                0 => break,
                size => left = left.saturating_sub(size),
            }
        }
        io::Result::Ok(())
    };
    tokio::select! {
        // However it ends, the connection is closed.
        _ = time::timeout(LINGER_TIME, drained) => {}
        () = connection.evicted(), if !had_to_go => {}
    }
}

/// Waits until connections should close. A newly accepted one first gets time to send its request.
async fn wait_for_close(closed: &mut watch::Receiver<bool>, accepted: Instant) {
    let _ = closed.wait_for(|&closed| closed).await;
    time::sleep_until(accepted + FIRST_REQUEST_GRACE).await;
}

/// Instant at which a connection expires.
fn expiry(progress: &Shared, timeouts: &Timeouts) -> Instant {
    let progress = lock(progress);
    if let Some(since) = progress.blocked {
        return since + timeouts.write;
    }
    match progress.phase {
        Phase::Idle(since) => since + timeouts.idle,
        Phase::Head(since) => since + timeouts.head,
        // What is written may block meanwhile.
        Phase::Busy | Phase::Responding => Instant::now() + timeouts.write,
    }
}

/// A body that marks its connection as idle when it ends. Its last bytes may still be written then.
struct Tracked<B> {
    body: B,
    progress: Shared,
    connection: Arc<Connection>,
}

impl<B: Body + Unpin> Body for Tracked<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for Tracked<B> {
    fn drop(&mut self) {
        lock(&self.progress).phase = Phase::Idle(Instant::now());
        self.connection.enter(Stage::Idle);
    }
}

/// A socket that records when a request begins to arrive, and whether the caller reads.
struct Stream {
    stream: TcpStream,
    progress: Shared,
    connection: Arc<Connection>,
    /// Charge for what waits upstream while the caller does not read.
    backlog: Option<Charge>,
}

impl Stream {
    fn record_write(&mut self, result: &Poll<io::Result<usize>>) -> io::Result<()> {
        let mut progress = lock(&self.progress);
        match result {
            Poll::Ready(Ok(written)) => {
                progress.blocked = None;
                if let Phase::Idle(since) = &mut progress.phase {
                    *since = Instant::now();
                }
                drop(progress);
                self.backlog = None;
                self.connection.record_movement(*written);
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                progress.blocked.get_or_insert_with(Instant::now);
                let is_streaming = progress.phase == Phase::Responding;
                drop(progress);
                if is_streaming && self.backlog.is_none() {
                    let charge = self.connection.charge_now(BACKLOG_BYTES);
                    self.backlog = Some(charge.map_err(io::Error::other)?);
                }
            }
        }
        Ok(())
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
        if buffer.filled().len() > before {
            let mut progress = lock(&self.progress);
            if let Phase::Idle(_) = progress.phase {
                progress.phase = Phase::Head(Instant::now());
            }
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
        self.record_write(&result)?;
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&result)?;
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
