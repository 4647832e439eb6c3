//! TCP sockets that detect an unresponsive peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use agateflow::event::Event;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::{task, time};

use crate::event;

/// Idle time before the first keepalive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes before the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Longest time for which sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Length of the listen backlog.
const BACKLOG: u32 = 512;

/// Sets no-delay, keepalive and user timeout.
///
/// # Errors
///
/// Those of the socket options.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Connects within `time_limit`.
///
/// # Errors
///
/// [`io::ErrorKind::TimedOut`] after the time limit, and those of the connection.
pub async fn connect(address: SocketAddr, time_limit: Duration) -> io::Result<TcpStream> {
    let stream = time::timeout(time_limit, TcpStream::connect(address)).await??;
    set_options(&stream)?;
    // Abandoned bytes must not reach the peer later, when a partition ends.
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Whether `address` refuses connections, as the process there has ended. One that cannot be reached
/// within `time_limit` may be cut off.
pub async fn is_refused(address: SocketAddr, time_limit: Duration) -> bool {
    let connected = connect(address, time_limit).await;
    connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Opens an HTTP connection within `time_limit`. Its task ends with it or when aborted.
///
/// # Errors
///
/// Those of the connection.
pub async fn open_http(
    address: SocketAddr,
    time_limit: Duration,
) -> Result<(http1::SendRequest<Full<Bytes>>, task::AbortHandle), Box<str>> {
    let text = |error: &dyn std::fmt::Display| -> Box<str> { error.to_string().into() };
    let stream = connect(address, time_limit).await.map_err(|error| text(&error))?;
    let opened = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = opened.map_err(|error| text(&error))?;
    // The sender reports the connection's errors.
    let task = task::spawn_local(async move { drop(connection.await) }).abort_handle();
    Ok((sender, task))
}

/// Accepts the next connection, with retries after errors.
pub async fn accept(listener: &TcpListener, logger: &slog::Logger) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                event!(logger, Event::AcceptFailed; "reason" => %error);
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Listens at `address`.
///
/// # Errors
///
/// Those of the socket.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
