//! Errors of the stand-ins.

use std::io;
use std::net::SocketAddr;

/// Why a stand-in could not be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A step of the start failed on `address`.
    #[error("{step} at {address}: {source}")]
    Start {
        /// The step that failed.
        step: &'static str,
        /// The address of the stand-in.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

impl Error {
    pub(crate) fn start(step: &'static str, address: SocketAddr, source: io::Error) -> Self {
        Error::Start { step, address, source }
    }
}
