//! Passes a response to the caller: from one attempt at a time, in order, and no byte twice.

use bytes::{Bytes, BytesMut};

use super::Output;
use crate::admission::answer;
use crate::id;

/// Result of a frame of the response.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress {
    /// It was accepted, or dropped as a duplicate.
    Accepted,
    /// Bytes before it are missing.
    Gap,
    /// It contradicts earlier frames.
    Inconsistent,
    /// The response is complete.
    Complete,
}

/// The state of a response.
#[derive(Debug)]
pub struct Delivery {
    source: Option<id::Attempt>,
    head: Option<answer::Head>,
    head_forwarded: bool,
    forwarding: bool,
    buffered: BytesMut,
    received: u64,
    max_buffered: u64,
}

impl Delivery {
    /// Creates a delivery that buffers up to `max_buffered` bytes, or forwards a stream.
    pub fn new(stream: bool, max_buffered: u64) -> Self {
        Self {
            source: None,
            head: None,
            head_forwarded: false,
            forwarding: stream,
            buffered: BytesMut::new(),
            received: 0,
            max_buffered,
        }
    }

    /// The attempt whose response is being received.
    pub const fn source(&self) -> Option<id::Attempt> {
        self.source
    }

    /// The first missing byte of the response.
    pub const fn offset(&self) -> u64 {
        self.received
    }

    /// Whether the caller has received part of the response.
    pub const fn has_forwarded(&self) -> bool {
        self.head_forwarded
    }

    /// Clears the source and what is buffered. The offset of forwarded bytes stays.
    pub fn drop_source(&mut self) {
        self.source = None;
        if !self.head_forwarded {
            self.head = None;
            self.buffered.clear();
            self.received = 0;
        }
    }

    /// Whether `id` is the source; the first attempt to respond becomes it.
    pub fn select_source(&mut self, id: id::Attempt) -> bool {
        *self.source.get_or_insert(id) == id
    }

    /// Accepts status and headers. A later head must have the same status.
    pub fn receive_head(&mut self, head: answer::Head, out: &mut Vec<Output>) -> Progress {
        if let Some(first) = &self.head {
            return if first.status == head.status {
                Progress::Accepted
            } else {
                Progress::Inconsistent
            };
        }
        if self.forwarding {
            out.push(Output::Head(head.clone()));
            self.head_forwarded = true;
        }
        self.head = Some(head);
        Progress::Accepted
    }

    /// Accepts bytes at an offset and drops those that were received before.
    pub fn receive_data(&mut self, offset: u64, bytes: &Bytes, out: &mut Vec<Output>) -> Progress {
        let end = offset.saturating_add(bytes.len() as u64);
        if end <= self.received {
            return Progress::Accepted;
        }
        if offset > self.received || self.head.is_none() {
            return Progress::Gap;
        }
        let new_bytes = bytes.slice((self.received - offset) as usize..);
        self.received = end;
        if self.forwarding {
            out.push(Output::Deliver(new_bytes));
            return Progress::Accepted;
        }
        self.buffered.extend_from_slice(&new_bytes);
        if self.buffered.len() as u64 > self.max_buffered {
            self.flush(out);
        }
        Progress::Accepted
    }

    /// Accepts the end marker.
    pub fn receive_end(&mut self, length: u64, out: &mut Vec<Output>) -> Progress {
        if length > self.received || self.head.is_none() {
            return Progress::Gap;
        }
        if length < self.received {
            return Progress::Inconsistent;
        }
        self.flush(out);
        Progress::Complete
    }

    /// Forwards what is buffered, and from now on all that follows.
    fn flush(&mut self, out: &mut Vec<Output>) {
        if self.forwarding {
            return;
        }
        self.forwarding = true;
        self.head_forwarded = true;
        out.extend(self.head.clone().map(Output::Head));
        if !self.buffered.is_empty() {
            out.push(Output::Deliver(self.buffered.split().freeze()));
        }
    }
}
