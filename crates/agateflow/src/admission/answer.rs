//! Complete HTTP responses kept for replay.

use bytes::Bytes;

use crate::unit;

/// A response header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Lower-case name.
    pub name: Box<str>,
    /// Value, not necessarily UTF-8.
    pub value: Bytes,
}

/// Status and headers of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// Headers in the order received.
    pub headers: Vec<Header>,
}

impl Head {
    /// Creates a head without headers.
    pub const fn new(status: u16) -> Self {
        Self { status, headers: Vec::new() }
    }
}

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Status and headers.
    pub head: Head,
    /// The complete body.
    pub body: Bytes,
}

impl Answer {
    /// Size of the body and of all header names and values, for the memory limits.
    pub fn size(&self) -> unit::Bytes {
        let headers = self.head.headers.iter().map(|h| h.name.len() + h.value.len());
        unit::Bytes::new((headers.sum::<usize>() + self.body.len()) as u64)
    }
}
