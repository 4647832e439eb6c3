//! Multiplexed connections between entries and upstream processes.

pub mod client;
pub mod handshake;
pub mod stream;

use std::net::SocketAddr;

use agateflow::id;
use agateflow::unit;

/// Offset of the link port from the control port of the same process.
const PORT_OFFSET: u16 = 1;

/// The link address of the process whose control address is `control`.
pub fn address(control: SocketAddr) -> SocketAddr {
    SocketAddr::new(control.ip(), control.port().saturating_add(PORT_OFFSET))
}

/// Identity of a process towards its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of its VM.
    pub vm: id::Vm,
    /// Identifies this run of the process.
    pub incarnation: id::Incarnation,
    /// Key that authenticates messages between processes.
    pub secret: [u8; 32],
}

/// An authenticated peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of its VM.
    pub vm: id::Vm,
    /// Identifies this run of the peer.
    pub incarnation: id::Incarnation,
    /// Configuration revision in force at the peer when the link was opened.
    pub revision: unit::Revision,
    /// The peer's clock when it sent its hello.
    pub clock: unit::Millis,
    /// The local clock when the hello arrived.
    pub received_at: unit::Millis,
    /// Remote address of the connection.
    pub address: SocketAddr,
}

impl Peer {
    /// Estimates the peer's clock at local time `now`. The estimate is late by the hello's network
    /// delay and never ahead.
    pub fn clock_at(&self, now: unit::Millis) -> unit::Millis {
        self.clock + now.saturating_sub(self.received_at)
    }
}
