//! Bodies in blocks that are charged to a caller's connection until the last copy of them is dropped.
//!
//! The bytes are copied out of the frames that the HTTP library hands over: a frame keeps the whole buffer alive that
//! it was read into, however small it is.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use memmap2::MmapMut;

use crate::intake::{Charge, Connection, Full};

/// Size of a block.
const BLOCK_BYTES: usize = 64 << 10;

/// Least capacity of a block whose length is not known.
const MIN_BLOCK_BYTES: usize = 512;

/// Received bytes after which movement is recorded: a chunk may be a single byte.
const MOVEMENT_BYTES: usize = 1 << 10;

/// A whole body.
#[derive(Clone, Debug, Default)]
pub struct Blocks {
    blocks: VecDeque<Bytes>,
    length: u64,
}

impl Blocks {
    /// Length in bytes.
    pub const fn length(&self) -> u64 {
        self.length
    }

    /// The blocks, in order.
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.iter().map(AsRef::as_ref)
    }

    /// Joins the blocks. `copies` is how often the body is held later on, this time included; a body of one block is
    /// neither copied nor charged again.
    ///
    /// # Errors
    ///
    /// [`Full`].
    pub async fn join(mut self, connection: &Arc<Connection>, copies: u64) -> Result<Bytes, Full> {
        if self.blocks.len() <= 1 {
            return Ok(self.blocks.pop_front().unwrap_or_default());
        }
        let mut charge = connection.charge(self.length).await?;
        let mut bytes = Buffer::map(self.length as usize)?;
        while let Some(block) = self.blocks.pop_front() {
            bytes.append(&block);
        }
        charge.grow(self.length * (copies - 1)).await?;
        Ok(charged(bytes, charge))
    }
}

impl http_body::Body for Blocks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let block = self.blocks.pop_front();
        self.length -= block.as_ref().map_or(0, |block| block.len() as u64);
        Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}

/// Memory that bytes are appended to. A large one is mapped, so that it goes back to the system at once when it is
/// dropped: the allocator would keep it for the thread that it was allocated by.
enum Buffer {
    Heap(Vec<u8>),
    Mapped(MmapMut, usize),
}

impl Buffer {
    const fn new() -> Self {
        Self::Heap(Vec::new())
    }

    /// A mapped buffer of this capacity.
    fn map(capacity: usize) -> Result<Self, Full> {
        Ok(Self::Mapped(MmapMut::map_anon(capacity).map_err(|_| Full)?, 0))
    }

    const fn len(&self) -> usize {
        match self {
            Buffer::Heap(bytes) => bytes.len(),
            Buffer::Mapped(_, length) => *length,
        }
    }

    fn capacity(&self) -> usize {
        match self {
            Buffer::Heap(bytes) => bytes.capacity(),
            Buffer::Mapped(memory, _) => memory.len(),
        }
    }

    /// Raises the capacity to `capacity`.
    fn grow(&mut self, capacity: usize) -> Result<(), Full> {
        match self {
            Buffer::Heap(bytes) if capacity < BLOCK_BYTES => {
                bytes.reserve_exact(capacity - bytes.len());
            }
            Buffer::Heap(_) | Buffer::Mapped(..) => {
                let mut larger = Self::map(capacity)?;
                larger.append(self.as_ref());
                *self = larger;
            }
        }
        Ok(())
    }

    /// Appends bytes for which there is capacity.
    fn append(&mut self, part: &[u8]) {
        match self {
            Buffer::Heap(bytes) => bytes.extend_from_slice(part),
            Buffer::Mapped(memory, length) => {
                memory[*length..*length + part.len()].copy_from_slice(part);
                *length += part.len();
            }
        }
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        match self {
            Buffer::Heap(bytes) => bytes,
            Buffer::Mapped(memory, length) => &memory[..*length],
        }
    }
}

/// Copies `bytes` out of the allocator's memory if they are many.
///
/// # Errors
///
/// [`Full`] if the system has no memory.
pub fn unpooled(bytes: Bytes) -> Result<Bytes, Full> {
    if bytes.len() < BLOCK_BYTES {
        return Ok(bytes);
    }
    let mut buffer = Buffer::map(bytes.len())?;
    buffer.append(&bytes);
    Ok(Bytes::from_owner(buffer))
}

/// Bytes with their charge.
struct Charged<T> {
    bytes: T,
    _charge: Charge,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Charged<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Keeps `charge` until the last copy of `bytes` is dropped.
pub fn charged(bytes: impl AsRef<[u8]> + Send + 'static, charge: Charge) -> Bytes {
    Bytes::from_owner(Charged { bytes, _charge: charge })
}

/// Collects a body.
pub struct Builder {
    whole: Blocks,
    open: Buffer,
    charge: Charge,
    /// Bytes that are still to come, where the length was announced.
    left: Option<u64>,
    /// Bytes that were received and not recorded as movement.
    moved: usize,
}

impl Builder {
    /// Begins a body that is charged to `connection`. `announced` is its length if known; nothing is held for
    /// bytes that have not arrived.
    ///
    /// # Errors
    ///
    /// [`Full`].
    pub async fn new(connection: &Arc<Connection>, announced: Option<u64>) -> Result<Self, Full> {
        let charge = connection.charge(0).await?;
        let (whole, open) = (Blocks::default(), Buffer::new());
        Ok(Self { whole, open, charge, left: announced, moved: 0 })
    }

    /// Length of what has arrived.
    pub fn length(&self) -> u64 {
        self.whole.length + self.open.len() as u64
    }

    /// Records that the caller sent bytes.
    pub fn record(&mut self, bytes: &[u8]) {
        self.moved += bytes.len();
        if self.moved >= MOVEMENT_BYTES {
            self.charge.connection().record_movement(std::mem::take(&mut self.moved));
        }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// [`Full`].
    pub async fn push(&mut self, mut bytes: &[u8]) -> Result<(), Full> {
        while !bytes.is_empty() {
            if self.open.len() == self.open.capacity() {
                self.grow(bytes.len()).await?;
            }
            let room = self.open.capacity() - self.open.len();
            let (part, rest) = bytes.split_at(room.min(bytes.len()));
            self.open.append(part);
            self.left = self.left.map(|left| left.saturating_sub(part.len() as u64));
            bytes = rest;
        }
        Ok(())
    }

    /// Makes room in the open block, or opens another one.
    async fn grow(&mut self, wanted: usize) -> Result<(), Full> {
        if self.open.len() >= BLOCK_BYTES {
            self.close_block();
        }
        let capacity = self.open.capacity();
        let least = self.open.len() + wanted;
        let target = match self.left {
            // The rest of an announced body needs no more.
            Some(left) if left <= wanted as u64 => least,
            _ => least.max(capacity * 2).max(MIN_BLOCK_BYTES),
        };
        let target = target.min(BLOCK_BYTES);
        self.charge.grow((target - capacity) as u64).await?;
        self.open.grow(target)
    }

    fn close_block(&mut self) {
        let bytes = std::mem::replace(&mut self.open, Buffer::new());
        self.whole.length += bytes.len() as u64;
        self.whole.blocks.push_back(charged(bytes, self.charge.take()));
    }

    /// The body.
    pub fn finish(mut self) -> Blocks {
        if self.open.len() > 0 {
            self.close_block();
        }
        self.whole
    }
}
