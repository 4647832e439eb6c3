//! Decisions about one request at an entry: attempts, retries, resumption and the final outcome.
//!
//! [`Request`] takes [`Input`]s and returns [`Output`]s. It buffers the response to a unary call
//! until it is complete, up to [`Policy::max_buffered`], and forwards a stream as it arrives.

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

/// Limits and timeouts for all requests of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// How long to wait for the reply to a seal.
    pub seal_timeout: unit::Millis,
    /// How long a link may be down before its attempts count as lost.
    pub link_timeout: unit::Millis,
    /// Delay before a repeatable call without output is sent again; `None` turns hedging off.
    pub hedge_after: Option<unit::Millis>,
    /// Retry-After for a refusal that names none.
    pub retry_after: unit::Millis,
    /// Largest unary response to buffer until it is complete.
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

/// The properties of a call that decide how its request is handled.
#[derive(Clone, Debug)]
pub struct Call {
    /// The id of the first attempt.
    pub id: id::Attempt,
    /// The authenticated team.
    pub team: id::Team,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Whether the response is forwarded as it arrives.
    pub stream: bool,
    /// Whether another engine can continue the stream at an exact offset.
    pub resumable: bool,
    /// The only VM that may run a call with a key or ticket.
    pub home: Option<id::Vm>,
    /// The caller's deadline, on the entry's clock.
    pub deadline: unit::Millis,
}

/// An upstream process as the entry knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The VM it runs on.
    pub vm: id::Vm,
    /// Its current incarnation.
    pub incarnation: id::Incarnation,
    /// Expiry of a start sent now, on the target's clock.
    pub valid_until: unit::Millis,
}

/// A frame from an upstream process about one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// The attempt did not run and never will.
    Refused {
        /// Why it was refused.
        reason: reason::Reason,
        /// Delay before it may be sent again.
        retry_after: unit::Millis,
    },
    /// Status and headers of the response.
    Head(answer::Head),
    /// Bytes of the response body.
    Data {
        /// Offset of the first byte in the whole body.
        offset: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// The response is complete.
    End {
        /// Size of the body in bytes.
        length: u64,
    },
    /// The attempt gave no complete response and may have run.
    Failed {
        /// Whether the engine crashed.
        crashed: bool,
    },
    /// The reply to a seal.
    Sealed(admission::Progress),
}

/// An event for a request.
#[derive(Clone, Debug)]
pub enum Input {
    /// The reply to [`Output::Choose`].
    Chosen(Target),
    /// No upstream is available.
    NoUpstream {
        /// Delay until one may be available.
        retry_after: unit::Millis,
    },
    /// The start of an attempt never reached a socket.
    Unsent(id::Attempt),
    /// A frame arrived.
    Frame {
        /// The incarnation at the other end of the link.
        from: id::Incarnation,
        /// The attempt that the frame names.
        id: id::Attempt,
        /// The frame.
        frame: Frame,
    },
    /// The link to an incarnation broke.
    LinkLost(id::Incarnation),
    /// The link to the same incarnation is up again.
    LinkRestored(id::Incarnation),
    /// The incarnation has ended for good.
    TargetGone(id::Incarnation),
    /// The caller disconnected.
    CallerDisconnected,
    /// The instant of the last [`Output::Wake`] was reached.
    Timer,
}

/// An action that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Choose an upstream.
    Choose {
        /// The only VM allowed, for calls with a key or ticket.
        home: Option<id::Vm>,
        /// VMs that already had an attempt.
        exclude: Vec<id::Vm>,
        /// First byte of the response that the next attempt sends.
        offset: u64,
    },
    /// Send the start of an attempt.
    Start {
        /// The attempt.
        id: id::Attempt,
        /// The receiver.
        target: Target,
        /// First byte of the response that it sends.
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
        /// The receiver.
        target: id::Incarnation,
    },
    /// Request the response again from an offset.
    Resume {
        /// The attempt.
        id: id::Attempt,
        /// The receiver.
        target: id::Incarnation,
        /// The first missing byte.
        offset: u64,
    },
    /// Forward status and headers to the caller.
    Head(answer::Head),
    /// Forward bytes of the response to the caller.
    Deliver(Bytes),
    /// Send [`Input::Timer`] at this instant; replaces the previous one.
    Wake(unit::Millis),
    /// The request has ended.
    Finish(Finish),
}

/// How the response to the caller ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole response was forwarded: close it with its end marker.
    Complete,
    /// Part was forwarded or the caller disconnected: abort without an end marker.
    Truncated,
    /// Nothing was forwarded: send a problem document.
    Problem {
        /// The HTTP status.
        status: u16,
        /// Value of the Retry-After header.
        retry_after: unit::Millis,
        /// The refusal that caused it, if any.
        reason: Option<reason::Reason>,
    },
}

/// The result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    /// Whether the request ran.
    pub outcome: outcome::Outcome,
    /// How the response to the caller ends.
    pub ending: Ending,
}
