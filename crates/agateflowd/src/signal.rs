//! Signals that end a process.

use tokio::signal::unix;

use crate::error::Error;

/// Takes SIGTERM and SIGINT from now on; what is returned waits for the first of them.
///
/// # Errors
///
/// [`Error::Signal`] if signals cannot be awaited.
pub fn end() -> Result<impl Future<Output = ()>, Error> {
    let mut terminate = unix::signal(unix::SignalKind::terminate()).map_err(Error::Signal)?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt()).map_err(Error::Signal)?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
