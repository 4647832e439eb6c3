//! TCP sockets that detect an unresponsive peer.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use agateflow::event::Event;
use bytes::Bytes;
use http_body::Body;
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

/// The same for other processes of the system.
const LINK_BACKLOG: u32 = 64;

/// Receive buffer of sockets to other processes of the system.
const LINK_BUFFER_BYTES: u32 = 512 << 10;

/// Receive buffer of callers' sockets: what they send while nothing is read stays in the kernel up to about twice
/// this size.
const CALLER_BUFFER_BYTES: u32 = 16 << 10;

/// Receive buffer of sockets to upstreams: as much of a response waits there while its caller does not read.
const UPSTREAM_BUFFER_BYTES: usize = 64 << 10;

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
pub async fn open_http<B>(
    address: SocketAddr,
    time_limit: Duration,
) -> Result<(http1::SendRequest<B>, task::AbortHandle), Box<str>>
where
    B: Body<Data = Bytes, Error = Infallible> + 'static,
{
    let text = |error: &dyn std::fmt::Display| -> Box<str> { error.to_string().into() };
    let stream = connect(address, time_limit).await.map_err(|error| text(&error))?;
    // A platform without such buffers bounds what it holds by itself.
    drop(SockRef::from(&stream).set_recv_buffer_size(UPSTREAM_BUFFER_BYTES));
    let opened = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = opened.map_err(|error| text(&error))?;
    // The sender reports the connection's errors.
    let task = task::spawn_local(async move { drop(connection.await) }).abort_handle();
    Ok((sender, task))
}

/// Accepts the next connection, with retries after errors.
pub async fn accept(listener: &TcpListener, logger: &slog::Logger) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
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
    let socket = new_socket(address)?;
    // A platform without such buffers bounds what it holds by itself.
    drop(socket.set_recv_buffer_size(CALLER_BUFFER_BYTES));
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Listens at `address` for other processes of the system.
///
/// # Errors
///
/// Those of the socket.
pub fn listen_links(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = new_socket(address)?;
    // A platform without such buffers bounds what it holds by itself.
    drop(socket.set_recv_buffer_size(LINK_BUFFER_BYTES));
    socket.bind(address)?;
    socket.listen(LINK_BACKLOG)
}

fn new_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    Ok(socket)
}
