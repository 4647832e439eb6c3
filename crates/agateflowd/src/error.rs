//! Errors of the daemon, each with the step and the peer at which it arose.

use std::io;
use std::net::SocketAddr;

use agateflow::kernel;
use agateflow::wire;

use crate::exit_codes::ExitCode;
use crate::fleet;

/// Why a step failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket operation failed.
    #[error("{step} {peer}: {source}")]
    Socket {
        /// What was being done.
        step: &'static str,
        /// The other side, or the own address for a listener.
        peer: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A frame could not be read or written.
    #[error("{step} {peer}: {source}")]
    Frame {
        /// What was being done.
        step: &'static str,
        /// The other side.
        peer: SocketAddr,
        /// The cause.
        source: wire::Error,
    },
    /// An address could not be listened at.
    #[error("listen at {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// The other side closed the link.
    #[error("{step} {peer}: closed by the peer")]
    Closed {
        /// What was being done.
        step: &'static str,
        /// The other side.
        peer: SocketAddr,
    },
    /// The peer lacks the secret or has another identity than expected.
    #[error("authenticate {peer}: {reason}")]
    Peer {
        /// The other side.
        peer: SocketAddr,
        /// What was wrong.
        reason: &'static str,
    },
    /// A step took longer than its limit.
    #[error("{step} {peer}: timed out")]
    Timeout {
        /// What was being done.
        step: &'static str,
        /// The other side.
        peer: SocketAddr,
    },
    /// An HTTP call failed.
    #[error("{step} {peer}: {reason}")]
    Http {
        /// What was being done.
        step: &'static str,
        /// The other side.
        peer: SocketAddr,
        /// The cause.
        reason: Box<str>,
    },
    /// The settings are wrong.
    #[error("{0}")]
    Settings(Box<str>),
    /// Signals cannot be awaited.
    #[error("await signals: {0}")]
    Signal(io::Error),
    /// The runtime cannot start.
    #[error("start runtime: {0}")]
    Runtime(io::Error),
    /// The fleet service cannot start.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// A service is missing.
    #[error(transparent)]
    Kernel(#[from] kernel::Error),
}

impl Error {
    /// The exit code that the error maps to.
    pub const fn exit_code(&self) -> ExitCode {
        match self {
            Error::Settings(_) => ExitCode::Usage,
            _ => ExitCode::Failure,
        }
    }
}
