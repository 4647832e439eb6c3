//! Frames of the link between an entry and an upstream process.

use bytes::Bytes;

use crate::admission::{self, answer, reason};
use crate::id;
use crate::unit;

/// One frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Introduces and authenticates the sender.
    Hello(Hello),
    /// Starts an attempt.
    Start(Box<Start>),
    /// Cancels an attempt whose answer is no longer wanted.
    Cancel(id::Attempt),
    /// Asks that an attempt never run, unless it has started.
    Seal(admission::Seal),
    /// Asks for the answer of a running attempt from an offset on.
    Resume(Position),
    /// Reports how much of an answer the entry has consumed.
    Window(Position),
    /// The attempt did not run and will not.
    Refused(Refused),
    /// Status and headers of an answer.
    Head(Head),
    /// A part of an answer.
    Data(Data),
    /// The answer is complete.
    End(Position),
    /// The attempt ran, or may have, and gives no complete answer.
    Failed(Failed),
    /// Answers [`Frame::Seal`].
    Sealed(Sealed),
    /// Asks for tickets.
    TicketCall(TicketCall),
    /// Answers [`Frame::TicketCall`].
    TicketReply(TicketReply),
}

/// First frames of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Incarnation of the sender.
    pub sender: id::Incarnation,
    /// VM of the sender.
    pub vm: id::Vm,
    /// Configuration revision in force at the sender.
    pub revision: unit::Revision,
    /// Random number of this link.
    pub nonce: u128,
    /// The sender's clock when it sent this.
    pub clock: unit::Millis,
    /// Authentication code over the other side's nonce; empty in the opening frame.
    pub code: Bytes,
}

/// Deduplication key of a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// None was given.
    None,
    /// The caller's `Idempotency-Key`.
    Idempotency(Bytes),
    /// A ticket issued by an upstream process.
    Ticket(Bytes),
}

/// Starts one attempt; carries the whole request.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The attempt.
    pub id: id::Attempt,
    /// The upstream process's incarnation that may run it.
    pub target: id::Incarnation,
    /// Team of the caller.
    pub team: id::Team,
    /// Time left until the caller's deadline.
    pub deadline: unit::Millis,
    /// HTTP method.
    pub method: Box<str>,
    /// Path with its query.
    pub path: Box<str>,
    /// Headers to forward.
    pub headers: Vec<answer::Header>,
    /// Whole body.
    pub body: Bytes,
    /// Model or plain service.
    pub service: Box<str>,
    /// The answer is a stream of events.
    pub stream: bool,
    /// The call may be repeated.
    pub repeatable: bool,
    /// Offset of the first byte wanted in the answer.
    pub offset: unit::Bytes,
    /// Tokens of the answer that were already delivered.
    pub skip: unit::Tokens,
    /// Deduplication key, for a call that may not be repeated.
    pub key: Key,
    /// Hash of the request.
    pub digest: Bytes,
    /// Priority class; 0 is served first.
    pub priority: u8,
    /// Estimated work.
    pub tokens: unit::Tokens,
    /// Last instant, on the target's clock, at which the attempt may start.
    pub valid_until: unit::Millis,
    /// Configuration revision of the entry's decision.
    pub revision: unit::Revision,
}

/// A position in the answer of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The attempt.
    pub id: id::Attempt,
    /// Offset in the answer.
    pub offset: unit::Bytes,
}

/// An attempt did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The attempt.
    pub id: id::Attempt,
    /// Why.
    pub reason: reason::Reason,
    /// Time to wait before the next try.
    pub retry_after: unit::Millis,
    /// One line for the caller.
    pub detail: Box<str>,
}

/// Status and headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The attempt.
    pub id: id::Attempt,
    /// Status and headers.
    pub head: answer::Head,
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Data {
    /// The attempt.
    pub id: id::Attempt,
    /// Offset of the first byte in the answer.
    pub offset: unit::Bytes,
    /// The bytes.
    pub bytes: Bytes,
}

/// An attempt gives no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failed {
    /// The attempt.
    pub id: id::Attempt,
    /// One line for the caller.
    pub detail: Box<str>,
    /// The engine crashed while it ran.
    pub crashed: bool,
}

/// Answer to [`Frame::Seal`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sealed {
    /// The attempt.
    pub id: id::Attempt,
    /// State in which the seal found the attempt.
    pub state: admission::Progress,
}

/// Requests tickets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketCall {
    /// Id of this call.
    pub id: id::Attempt,
    /// The team that may use them.
    pub team: id::Team,
    /// How many.
    pub count: u16,
}

/// Issued tickets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketReply {
    /// Id of the call.
    pub id: id::Attempt,
    /// The tickets.
    pub tickets: Vec<Bytes>,
    /// How long they are valid.
    pub lifetime: unit::Millis,
}

impl Frame {
    /// The attempt or call that the frame is about; `None` for [`Frame::Hello`].
    pub fn id(&self) -> Option<id::Attempt> {
        match self {
            Frame::Hello(_) => None,
            Frame::Start(start) => Some(start.id),
            Frame::Cancel(id) => Some(*id),
            Frame::Seal(seal) => Some(seal.id),
            Frame::Resume(position) | Frame::Window(position) | Frame::End(position) => {
                Some(position.id)
            }
            Frame::Refused(refused) => Some(refused.id),
            Frame::Head(head) => Some(head.id),
            Frame::Data(data) => Some(data.id),
            Frame::Failed(failed) => Some(failed.id),
            Frame::Sealed(sealed) => Some(sealed.id),
            Frame::TicketCall(call) => Some(call.id),
            Frame::TicketReply(reply) => Some(reply.id),
        }
    }
}
