//! Loopback ports that stay reserved while their process is down.

use std::net::SocketAddr;

use agateflowd::link;
use tokio::net::TcpSocket;

use crate::error::Error;

/// Pairs of ports tried before the tool gives up.
const TRIES: usize = 100;

/// A reserved port and the one for links that follows it. The sockets are bound but never listen,
/// so that others can.
pub struct Port {
    address: SocketAddr,
    _sockets: [TcpSocket; 2],
}

impl Port {
    /// Reserves a free port.
    ///
    /// # Errors
    ///
    /// [`Error::Step`] if there is none.
    pub fn reserve() -> Result<Self, Error> {
        let pair = || {
            let first = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            let address = first.local_addr()?;
            let second = bind(link::address(address))?;
            Ok(Self { address, _sockets: [first, second] })
        };
        let mut last = None;
        for _ in 0..TRIES {
            match pair() {
                Ok(port) => return Ok(port),
                Err(e) => last = Some(e),
            }
        }
        let last: Option<std::io::Error> = last;
        Err(Error::step("reserve port", last.map_or_else(String::new, |e| e.to_string())))
    }

    /// The address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
