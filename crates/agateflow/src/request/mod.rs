//! The entry's decisions about one request: attempts, retries, resumption and the final outcome.
//!
//! [`Request`] is driven by [`Input`]s and answers with [`Output`]s. It holds the answer of a unary
//! call back until it is whole, up to [`Policy::buffer`], and passes a stream on as it comes.

mod attempt;
pub mod budget;
mod delivery;
mod machine;
pub mod simulation;
mod timers;

use bytes::Bytes;

use crate::admission;
use crate::admission::{answer, reason};
use crate::id;
use crate::outcome;
use crate::unit;

pub use machine::Request;

/// Rules for all requests of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// How long the reply to a seal is awaited.
    pub seal_timeout: unit::Millis,
    /// How long a lost link may be away before its attempts are in doubt.
    pub link_timeout: unit::Millis,
    /// When a repeatable call without output is sent a second time; none for never.
    pub hedge_after: Option<unit::Millis>,
    /// Retry-After where a refusal names none.
    pub retry_after: unit::Millis,
    /// Largest unary answer held back until it is whole.
    pub max_buffered: unit::Bytes,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            seal_timeout: unit::Millis::new(250),
            link_timeout: unit::Millis::new(500),
            hedge_after: Some(unit::Millis::new(1_000)),
            retry_after: unit::Millis::new(1_000),
            max_buffered: unit::Bytes::new(1 << 20),
        }
    }
}

/// What kind of call a request is.
#[derive(Clone, Debug)]
pub struct Call {
    /// The id of the first attempt.
    pub id: id::Attempt,
    /// The verified team.
    pub team: id::Team,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Whether the answer is passed on as it comes.
    pub stream: bool,
    /// Whether another engine can continue the stream at an exact offset.
    pub resumable: bool,
    /// The one VM that may decide over a call with a key or ticket.
    pub home: Option<id::Vm>,
    /// The caller's deadline, on the entry's clock.
    pub deadline: unit::Millis,
}

/// One upstream process as the entry knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its VM.
    pub vm: id::Vm,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// The validity of a start sent now, on the target's clock.
    pub valid_until: unit::Millis,
}

/// A frame from an upstream process about one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// The attempt did not run and never will.
    Refused {
        /// Why.
        reason: reason::Reason,
        /// When it may be sent again.
        retry_after: unit::Millis,
    },
    /// Status and headers of the answer.
    Head(answer::Head),
    /// Bytes of the answer.
    Data {
        /// Position of the first byte in the whole answer.
        offset: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// The answer is whole.
    End {
        /// Its size in bytes.
        length: u64,
    },
    /// The attempt gave no whole answer and may have run.
    Failed {
        /// Whether the engine died.
        crashed: bool,
    },
    /// The reply to a seal.
    Sealed(admission::Sealed),
}

/// What a request is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// The reply to [`Output::Choose`].
    Chosen(Target),
    /// No upstream can be chosen.
    NoUpstream {
        /// When one may be available.
        retry_after: unit::Millis,
    },
    /// The start of an attempt was never handed to a socket.
    Unsent(id::Attempt),
    /// A frame arrived.
    Frame {
        /// The incarnation that the frame's link leads to.
        from: id::Incarnation,
        /// The attempt that the frame names.
        id: id::Attempt,
        /// The frame.
        frame: Frame,
    },
    /// The link to an incarnation broke.
    LinkLost(id::Incarnation),
    /// A link to the same incarnation is up again.
    LinkRestored(id::Incarnation),
    /// The incarnation is gone for good.
    TargetGone(id::Incarnation),
    /// The caller went away.
    CallerDisconnected,
    /// The time of the last [`Output::Wake`] came.
    Timer,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Choose an upstream.
    Choose {
        /// The only VM allowed, for calls with a key or ticket.
        home: Option<id::Vm>,
        /// VMs that had an attempt already.
        exclude: Vec<id::Vm>,
        /// First byte of the answer that the next attempt gives.
        offset: u64,
    },
    /// Send the start of an attempt.
    Start {
        /// The attempt.
        id: id::Attempt,
        /// Where to.
        target: Target,
        /// First byte of the answer that it gives.
        offset: u64,
        /// Time left until the caller's deadline.
        left: unit::Millis,
    },
    /// Send a seal.
    Seal(admission::Seal),
    /// Send a cancel.
    Cancel {
        /// The attempt.
        id: id::Attempt,
        /// Where to.
        target: id::Incarnation,
    },
    /// Ask for the answer from an offset.
    Resume {
        /// The attempt.
        id: id::Attempt,
        /// Where to.
        target: id::Incarnation,
        /// First byte that is missing.
        offset: u64,
    },
    /// Pass status and headers on to the caller.
    Head(answer::Head),
    /// Pass bytes of the answer on to the caller.
    Deliver(Bytes),
    /// Call [`Input::Timer`] at an instant; replaces the last one.
    Wake(unit::Millis),
    /// The request is over.
    Finish(Finish),
}

/// What the caller sees at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer was passed on: close it with its end marker.
    Complete,
    /// Part of the answer was passed on: break it off without an end marker.
    Truncated,
    /// Nothing was passed on: send a problem document.
    Problem {
        /// The HTTP status.
        status: u16,
        /// Retry-After.
        retry_after: unit::Millis,
        /// The refusal that decided, if any.
        reason: Option<reason::Reason>,
    },
}

/// The end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    /// What became of it.
    pub outcome: outcome::Outcome,
    /// What the caller sees.
    pub ending: Ending,
}
