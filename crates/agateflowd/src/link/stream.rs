//! Reads and writes frames on a TCP connection.

use std::net::SocketAddr;

use agateflow::wire;
use capnp::message::ReaderOptions;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp;
use tokio::sync::mpsc;
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt};

use crate::error::Error;

/// Size of the read buffer of a connection.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Maximum number of frames queued for a connection.
pub const QUEUE_FRAMES: usize = 1024;

/// Maximum number of frames encoded into one write.
const BATCH_FRAMES: usize = 64;

/// Encoded bytes that are written before further frames are encoded.
const BATCH_BYTES: usize = 256 << 10;

/// Reads frames from a connection.
pub struct Reader {
    inner: Compat<BufReader<tcp::OwnedReadHalf>>,
    peer: SocketAddr,
}

impl Reader {
    /// Wraps the read half of the connection to `peer`.
    pub fn new(half: tcp::OwnedReadHalf, peer: SocketAddr) -> Self {
        let inner = BufReader::with_capacity(READ_BUFFER_BYTES, half).compat();
        Self { inner, peer }
    }

    /// Reads the next frame; `None` if the peer closed the connection between frames.
    ///
    /// # Errors
    ///
    /// [`Error::Frame`] if reading or decoding fails.
    pub async fn next(&mut self) -> Result<Option<wire::Frame>, Error> {
        self.read(wire::decode::reader_options()).await
    }

    /// Reads the next frame of a peer that is not authenticated yet: a small one.
    ///
    /// # Errors
    ///
    /// Same as [`Reader::next`].
    pub async fn next_small(&mut self) -> Result<Option<wire::Frame>, Error> {
        self.read(wire::decode::small_reader_options()).await
    }

    async fn read(&mut self, options: ReaderOptions) -> Result<Option<wire::Frame>, Error> {
        let message = capnp_futures::serialize::try_read_message(&mut self.inner, options).await;
        let message = message.map_err(|e| self.error(e.into()))?;
        message.map(|m| wire::decode::frame(&m).map_err(|e| self.error(e))).transpose()
    }

    fn error(&self, source: wire::Error) -> Error {
        Error::Frame { step: "read frame from", peer: self.peer, source }
    }
}

/// Writes one frame.
///
/// # Errors
///
/// [`Error::Frame`] or [`Error::Socket`].
pub async fn write(
    half: &mut tcp::OwnedWriteHalf,
    peer: SocketAddr,
    frame: &wire::Frame,
) -> Result<(), Error> {
    let mut buffer = Vec::new();
    encode(&mut buffer, peer, frame)?;
    flush(half, peer, &buffer).await
}

fn encode(buffer: &mut Vec<u8>, peer: SocketAddr, frame: &wire::Frame) -> Result<(), Error> {
    let step = "write frame to";
    wire::encode::append(frame, buffer).map_err(|source| Error::Frame { step, peer, source })
}

async fn flush(
    half: &mut tcp::OwnedWriteHalf,
    peer: SocketAddr,
    buffer: &[u8],
) -> Result<(), Error> {
    let step = "write frame to";
    half.write_all(buffer).await.map_err(|source| Error::Socket { step, peer, source })
}

/// Writes frames from `queue` in batches until it is closed.
///
/// # Errors
///
/// Same as [`write`].
pub async fn write_all(
    mut half: tcp::OwnedWriteHalf,
    peer: SocketAddr,
    mut queue: mpsc::Receiver<wire::Frame>,
) -> Result<(), Error> {
    let mut buffer = Vec::new();
    let mut batch = Vec::with_capacity(BATCH_FRAMES);
    while queue.recv_many(&mut batch, BATCH_FRAMES).await > 0 {
        buffer.clear();
        for frame in batch.drain(..) {
            encode(&mut buffer, peer, &frame)?;
            drop(frame);
            if buffer.len() >= BATCH_BYTES {
                flush(&mut half, peer, &buffer).await?;
                buffer = Vec::new();
            }
        }
        flush(&mut half, peer, &buffer).await?;
    }
    Ok(())
}
