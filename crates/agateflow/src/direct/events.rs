//! Splits a server-sent event stream into events and checks their ids.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event; a stream with a longer one is rejected.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// A malformed event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    #[error("event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// Event ids are not consecutive.
    #[error("event id {found} does not follow id {last}")]
    Gap {
        /// Id of the previous event.
        last: u64,
        /// Id found.
        found: u64,
    },
    /// An event without an id: a position to resume after could not be told.
    #[error("event without an id after id {last:?}")]
    NoId {
        /// Id of the previous event.
        last: Option<u64>,
    },
    /// A line that is neither a field nor a comment, such as the first line of a response.
    #[error("line that is no field after id {last:?}")]
    NoField {
        /// Id of the previous event.
        last: Option<u64>,
    },
}

/// Splits a stream at event boundaries and checks that all parts are events with consecutive ids.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Starts after the event `last_id`, or with any id if there is none.
    pub fn new(last_id: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last_id }
    }

    /// Id of the last complete event.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops a buffered incomplete event, before another upstream resumes the stream.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Adds received bytes and returns the events completed by them.
    ///
    /// # Errors
    ///
    /// [`Error`]; the rest of the stream must not be used after it.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        let scan_from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial, scan_from) else {
            return match self.partial.len() {
                0..=MAX_EVENT_BYTES => Ok(Bytes::new()),
                _ => Err(Error::TooLong),
            };
        };
        let complete = self.partial.split_to(end).freeze();
        self.last_id = check_events(&complete, self.last_id)?;
        Ok(complete)
    }
}

/// Checks complete events that follow the event `last`; returns the id of the last one.
fn check_events(complete: &[u8], mut last: Option<u64>) -> Result<Option<u64>, Error> {
    let mut has_field = false;
    let mut has_id = false;
    for line in complete.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            if has_field && !has_id {
                return Err(Error::NoId { last });
            }
            (has_field, has_id) = (false, false);
            continue;
        }
        let colon = line.iter().position(|&byte| byte == b':').ok_or(Error::NoField { last })?;
        has_field |= colon > 0;
        if let Some(found) = event_id(line) {
            if let Some(last) = last.filter(|last| last.checked_add(1) != Some(found)) {
                return Err(Error::Gap { last, found });
            }
            last = Some(found);
            has_id = true;
        }
    }
    Ok(last)
}

/// Offset behind the last blank line, searching from `from`.
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let lf = tail.windows(2).rposition(|pair| pair == b"\n\n").map(|at| from + at + 2);
    let crlf = tail.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| from + at + 4);
    lf.max(crlf)
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
