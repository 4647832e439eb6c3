//! Calls in a simulation and the responses expected for them.

use std::fmt;
use std::str;

use crate::unit;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// A repeatable call with a short response.
    Unary,
    /// A repeatable call with a stream that any engine can continue at an exact offset.
    Stream,
    /// A call that must not run twice, without key or ticket.
    Once,
    /// A call with an `Idempotency-Key`.
    Keyed,
    /// A call with a ticket.
    Ticketed,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 5] = [Kind::Unary, Kind::Stream, Kind::Once, Kind::Keyed, Kind::Ticketed];

    /// Whether the call may run more than once.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Kind::Unary | Kind::Stream)
    }

    /// Whether all submissions of the call may run only once in total.
    pub const fn is_keyed(self) -> bool {
        matches!(self, Kind::Keyed | Kind::Ticketed)
    }

    /// The kind's name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Unary => "unary",
            Kind::Stream => "stream",
            Kind::Once => "once",
            Kind::Keyed => "keyed",
            Kind::Ticketed => "ticketed",
        }
    }

    /// Number of chunks in the response.
    pub const fn chunks(self) -> u64 {
        match self {
            Kind::Stream => 8,
            _ => 3,
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Kind {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Box<str>> {
        let kind = Self::ALL.into_iter().find(|k| k.as_str() == text);
        kind.ok_or_else(|| format!("unknown kind of call {text:?}").into())
    }
}

/// A call, submitted once or more.
#[derive(Clone, Debug)]
pub struct Call {
    /// The kind.
    pub kind: Kind,
    /// The encoded ticket and the index of its upstream.
    pub ticket: Option<(Box<[u8]>, usize)>,
    /// The submissions, in order.
    pub submissions: Vec<Submission>,
    /// For each run, in order, the index of the submission that led to it.
    pub runs: Vec<usize>,
}

/// One submission of a call.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The caller's deadline.
    pub deadline: unit::Millis,
    /// The outcome that the caller received, and when.
    pub reported: Option<(crate::outcome::Outcome, unit::Millis)>,
    /// Whether its entry was killed or paused, or the caller disconnected.
    pub disturbed: bool,
    /// Whether the caller disconnected.
    pub caller_disconnected: bool,
}

/// One chunk of a response. Except for streams it differs between runs.
pub fn chunk(kind: Kind, call: usize, run: usize, index: u64) -> Box<[u8]> {
    let text = match kind {
        Kind::Stream => format!("c{call}.{index};"),
        _ => format!("c{call}#{run}.{index};"),
    };
    text.into_bytes().into()
}

/// The complete response of a run.
pub fn expected_response(kind: Kind, call: usize, run: usize) -> Vec<u8> {
    (0..kind.chunks()).flat_map(|p| chunk(kind, call, run, p)).collect()
}
