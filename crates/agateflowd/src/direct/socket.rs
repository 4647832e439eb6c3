//! TCP sockets that notice a silent peer.

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

/// Time without traffic before a peer is asked for a sign of life, and between two questions.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Questions without an answer before the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Longest time for which sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after an error of a listener.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Connections that wait to be accepted.
const BACKLOG: u32 = 512;

/// Sets the options of a connection.
///
/// # Errors
///
/// Those of the socket options.
pub fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Connects within `limit`.
///
/// # Errors
///
/// [`io::ErrorKind::TimedOut`] after the limit, and those of the connection.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = time::timeout(limit, TcpStream::connect(address)).await??;
    tune(&stream)?;
    // What is given up must not reach the peer later, behind a partition that ends.
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Opens an HTTP connection within `limit`. Its task ends with it, or earlier by the handle.
///
/// # Errors
///
/// Those of the connection.
pub async fn open(
    address: SocketAddr,
    limit: Duration,
) -> Result<(http1::SendRequest<Full<Bytes>>, task::AbortHandle), Box<str>> {
    let text = |error: &dyn std::fmt::Display| -> Box<str> { error.to_string().into() };
    let stream = connect(address, limit).await.map_err(|error| text(&error))?;
    let opened = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = opened.map_err(|error| text(&error))?;
    // The sender learns of the connection's errors.
    let task = task::spawn_local(async move { drop(connection.await) }).abort_handle();
    Ok((sender, task))
}

/// Accepts the next connection, however often that fails before.
pub async fn accept(listener: &TcpListener, logger: &slog::Logger) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                event!(logger, Event::AcceptFailed; "reason" => %error);
                time::sleep(ACCEPT_PAUSE).await;
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
