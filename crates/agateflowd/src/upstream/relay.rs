//! Forwards the response of one attempt from the engine to its entry.

use agateflow::admission::answer;
use agateflow::unit;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use volo_http::response::Response;

use crate::upstream::backend;
use crate::upstream::sender::Sender;

/// Largest response stored for replay, in bytes.
const MAX_STORED_BYTES: usize = 32 << 10;

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Found only in the event with the finish reason; in all others the reason is null.
const FINISH_REASON: &[u8] = b"\"finish_reason\":\"";

/// Last event of a complete stream.
const END_MARKER: &[u8] = b"data: [DONE]\n\n";

/// Why a response is incomplete.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The engine ended the response early.
    #[error("read response: {0}")]
    Engine(Box<str>),
    /// The stream ended without its end marker.
    #[error("read response: stream ended without its end marker")]
    Unterminated,
}

/// A complete response.
pub struct Completion {
    /// Length in bytes, counted from the start of the response.
    pub length: u64,
    /// The response itself, if it is small and was read from its start.
    pub stored: Option<answer::Answer>,
}

/// Sends head and body of `response` through `sender`; its body starts at offset `from`. An event
/// stream is split between events.
///
/// # Errors
///
/// See [`Error`].
pub async fn forward(
    response: Response,
    from: unit::Bytes,
    sender: &Sender,
) -> Result<Completion, Error> {
    let (parts, mut body) = response.into_parts();
    let head = answer::Head {
        status: parts.status.as_u16(),
        headers: backend::end_to_end_headers(&parts.headers),
    };
    sender.send_head(head.clone()).await;
    let mut splitter = Splitter::new(backend::is_event_stream(&parts.headers));
    let mut offset = from.get();
    let mut stored = Some(BytesMut::new()).filter(|_| offset == 0);
    while let Some(part) = body.frame().await {
        let part = part.map_err(|e| Error::Engine(e.to_string().into()))?;
        let Ok(bytes) = part.into_data() else { continue };
        let Some(bytes) = splitter.split(bytes) else { continue };
        store(&mut stored, &bytes);
        let length = bytes.len() as u64;
        sender.send_data(offset, bytes).await;
        offset += length;
    }
    if !splitter.is_done() {
        return Err(Error::Unterminated);
    }
    let stored = stored.map(|body| answer::Answer { head, body: body.freeze() });
    Ok(Completion { length: offset, stored })
}

fn store(stored: &mut Option<BytesMut>, bytes: &[u8]) {
    match stored {
        Some(body) if body.len() + bytes.len() <= MAX_STORED_BYTES => body.extend_from_slice(bytes),
        _ => *stored = None,
    }
}

/// Splits a stream between events, so that another engine can continue after any part.
struct Splitter {
    is_event_stream: bool,
    partial: BytesMut,
    done: bool,
}

impl Splitter {
    fn new(is_event_stream: bool) -> Self {
        Self { is_event_stream, partial: BytesMut::new(), done: !is_event_stream }
    }

    /// The bytes up to the end of the last complete event. The event with the finish reason is
    /// held back until the end marker: it is no token, so another engine would send it again.
    fn split(&mut self, bytes: Bytes) -> Option<Bytes> {
        if !self.is_event_stream {
            return Some(bytes);
        }
        self.partial.extend_from_slice(&bytes);
        let end = find_last(&self.partial, EVENT_END)? + EVENT_END.len();
        self.done = self.partial[..end].ends_with(END_MARKER);
        let end = if self.done { end } else { finish_event_start(&self.partial[..end]) };
        Some(self.partial.split_to(end).freeze()).filter(|part| !part.is_empty())
    }

    /// Whether the body may end here.
    fn is_done(&self) -> bool {
        self.done && self.partial.is_empty()
    }
}

fn find_last(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).rposition(|window| window == part)
}

/// Start of the event with the finish reason, or the length of `events` without one.
fn finish_event_start(events: &[u8]) -> usize {
    let Some(reason) = find_last(events, FINISH_REASON) else {
        return events.len();
    };
    find_last(&events[..reason], EVENT_END).map_or(0, |blank| blank + EVENT_END.len())
}
