//! Listening sockets.

use std::net::SocketAddr;
use std::time::Duration;

use agateflow::event::Event;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

use crate::direct::socket;
use crate::error::Error;
use crate::event;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds `address`.
///
/// # Errors
///
/// [`Error::Socket`] if the address cannot be bound.
pub fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let step = "listen on";
    socket::listen(address).map_err(|source| Error::Socket { step, peer: address, source })
}

/// Binds `address` for links from entries, which carry large frames.
///
/// # Errors
///
/// [`Error::Socket`] if the address cannot be bound.
pub fn bind_links(address: SocketAddr) -> Result<TcpListener, Error> {
    let step = "listen on";
    socket::listen_links(address).map_err(|source| Error::Socket { step, peer: address, source })
}

/// The address that `listener` is bound to.
///
/// # Errors
///
/// [`Error::Socket`] if the system does not tell.
pub fn local_address(listener: &TcpListener, asked: SocketAddr) -> Result<SocketAddr, Error> {
    let step = "listen on";
    listener.local_addr().map_err(|source| Error::Socket { step, peer: asked, source })
}

/// Accepts the next connection, with retries after errors; `None` once `stopped` has turned true.
pub async fn accept(
    listener: &TcpListener,
    stopped: &mut watch::Receiver<bool>,
    logger: &slog::Logger,
) -> Option<(TcpStream, SocketAddr)> {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|&stopped| stopped) => return None,
        };
        match accepted {
            Ok((stream, peer)) => match stream.set_nodelay(true) {
                Ok(()) => return Some((stream, peer)),
                Err(error) => event!(logger, Event::AcceptFailed; "reason" => %error),
            },
            Err(error) => {
                event!(logger, Event::AcceptFailed; "reason" => %error);
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
