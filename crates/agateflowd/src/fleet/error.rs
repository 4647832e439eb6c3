//! Errors of the fleet service, each with the failed step and the peer.

use std::io;
use std::net;

use agateflow::wire::control;

/// A failed step of the fleet service.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket operation failed.
    #[error("{step} {peer}: {source}")]
    Io {
        /// The failed step.
        step: &'static str,
        /// Remote address, or the local one for `bind`.
        peer: net::SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
    /// A message could not be encoded or decoded.
    #[error("{step} {peer}: {source}")]
    Message {
        /// The failed step.
        step: &'static str,
        /// Address of the peer.
        peer: net::SocketAddr,
        /// The underlying error.
        source: control::Error,
    },
    /// A peer or the configuration service violated its protocol.
    #[error("{step} {peer}: {reason}")]
    Protocol {
        /// The failed step.
        step: &'static str,
        /// Address of the peer.
        peer: net::SocketAddr,
        /// What was wrong with the answer.
        reason: Box<str>,
    },
    /// A step timed out.
    #[error("{step} {peer}: timeout")]
    Timeout {
        /// The failed step.
        step: &'static str,
        /// Address of the peer.
        peer: net::SocketAddr,
    },
}

impl Error {
    pub(crate) fn io(step: &'static str, peer: net::SocketAddr, source: io::Error) -> Self {
        Error::Io { step, peer, source }
    }

    pub(crate) fn protocol(
        step: &'static str,
        peer: net::SocketAddr,
        reason: impl ToString,
    ) -> Self {
        Error::Protocol { step, peer, reason: reason.to_string().into() }
    }
}
