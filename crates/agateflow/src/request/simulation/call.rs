//! Calls of a trial and the answers that they should get.

use std::fmt;
use std::str;

use crate::unit;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// A repeatable call with a short answer.
    Unary,
    /// A repeatable call with a stream that any engine continues at an exact offset.
    Stream,
    /// A call that may not be repeated, without key and ticket.
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

    /// Whether all sendings of the call count as one.
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

    /// Parts of the answer.
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
        kind.ok_or_else(|| format!("{text:?} is not a kind of call").into())
    }
}

/// One call of a caller, sent once or more.
#[derive(Clone, Debug)]
pub struct Call {
    /// The kind.
    pub kind: Kind,
    /// The ticket, encoded, with the upstream that it names.
    pub ticket: Option<(Box<[u8]>, usize)>,
    /// Each sending, in order.
    pub submissions: Vec<Submission>,
    /// The sending that led to each run, in order.
    pub runs: Vec<usize>,
}

/// One sending of a call.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The caller's deadline.
    pub deadline: unit::Millis,
    /// What the caller was told, and when.
    pub reported: Option<(crate::outcome::Outcome, unit::Millis)>,
    /// Whether its entry was killed or paused, or the caller went away.
    pub disturbed: bool,
    /// Whether the caller went away.
    pub caller_disconnected: bool,
}

/// One part of the answer of a run. The answers of two runs differ, but for streams.
pub fn chunk(kind: Kind, call: usize, run: usize, index: u64) -> Box<[u8]> {
    let text = match kind {
        Kind::Stream => format!("c{call}.{index};"),
        _ => format!("c{call}#{run}.{index};"),
    };
    text.into_bytes().into()
}

/// The whole answer of a run.
pub fn expected_response(kind: Kind, call: usize, run: usize) -> Vec<u8> {
    (0..kind.chunks()).flat_map(|p| chunk(kind, call, run, p)).collect()
}
