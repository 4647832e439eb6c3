//! Events of a stream: where they end, and their ids.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes; a stream with a longer one is not followed.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// What is wrong with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    #[error("event of more than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// An event's id does not follow the one before.
    #[error("event {found} after event {last}")]
    Gap {
        /// Id of the event before.
        last: u64,
        /// Id found.
        found: u64,
    },
}

/// Cuts a stream between events and follows their ids.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last: Option<u64>,
}

impl Splitter {
    /// Starts a stream whose events up to `last` are known already.
    pub fn new(last: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last }
    }

    /// Id of the last whole event.
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether bytes of an unfinished event are held.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Forgets the bytes of an unfinished event, before another upstream goes on.
    pub fn restart(&mut self) {
        self.partial.clear();
    }

    /// Takes bytes and returns the whole events.
    ///
    /// # Errors
    ///
    /// [`Error`], after which the stream is not to be trusted.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        let scan_from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_end(&self.partial, scan_from) else {
            return match self.partial.len() {
                0..=MAX_EVENT_BYTES => Ok(Bytes::new()),
                _ => Err(Error::TooLong),
            };
        };
        let whole = self.partial.split_to(end).freeze();
        self.follow(&whole)?;
        Ok(whole)
    }

    fn follow(&mut self, whole: &[u8]) -> Result<(), Error> {
        for line in whole.split(|&byte| byte == b'\n') {
            let Some(found) = event_id(line) else { continue };
            if let Some(last) = self.last.filter(|last| found != last + 1) {
                return Err(Error::Gap { last, found });
            }
            self.last = Some(found);
        }
        Ok(())
    }
}

/// Position behind the last blank line, searched from `from` on.
fn last_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let plain = tail.windows(2).rposition(|pair| pair == b"\n\n").map(|at| from + at + 2);
    let crlf = tail.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| from + at + 4);
    plain.max(crlf)
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
