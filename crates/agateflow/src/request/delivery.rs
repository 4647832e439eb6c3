//! The answer on its way to the caller: one source, exact offsets, no byte twice.

use bytes::{Bytes, BytesMut};

use super::Output;
use crate::admission::answer;
use crate::id;

/// What a frame of the answer led to.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress {
    /// It was taken, or it was old and dropped.
    Accepted,
    /// Bytes before it are missing.
    Gap,
    /// It contradicts what came before.
    Inconsistent,
    /// The answer is whole.
    Complete,
}

/// The state of an answer.
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
    /// Creates a delivery that holds back up to `limit` bytes, or passes a stream on.
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

    /// The attempt whose answer is taken.
    pub const fn source(&self) -> Option<id::Attempt> {
        self.source
    }

    /// First byte of the answer that is missing.
    pub const fn offset(&self) -> u64 {
        self.received
    }

    /// Whether the caller has seen part of the answer.
    pub const fn has_forwarded(&self) -> bool {
        self.head_forwarded
    }

    /// Forgets the source. What was held back goes, what was passed on stays.
    pub fn drop_source(&mut self) {
        self.source = None;
        if !self.head_forwarded {
            self.head = None;
            self.buffered.clear();
            self.received = 0;
        }
    }

    /// Whether frames of `id` are taken; the first attempt that answers becomes the source.
    pub fn select_source(&mut self, id: id::Attempt) -> bool {
        *self.source.get_or_insert(id) == id
    }

    /// Takes status and headers. A later head must have the same status.
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

    /// Takes bytes at an offset, less those that are there already.
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

    /// Takes the end marker.
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

    /// Passes on what was held back, and all that follows.
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
