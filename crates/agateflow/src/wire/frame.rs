//! Typed frames of the link between an entry and an upstream process.

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
    /// Stops an attempt whose answer nobody waits for.
    Cancel(id::Attempt),
    /// Asks that an attempt not run if it has not started.
    Seal(admission::Seal),
    /// Asks for a running attempt's answer from an offset.
    Resume(Mark),
    /// Says how much of an answer the entry has consumed.
    Window(Mark),
    /// The attempt did not run and will not.
    Refused(Refused),
    /// Status and headers of an answer.
    Head(Head),
    /// A part of an answer.
    Data(Data),
    /// The answer is whole.
    End(Mark),
    /// The attempt ran, or may have, and gives no whole answer.
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
    /// Number drawn at random for this link.
    pub nonce: u128,
    /// The sender's clock when it sent this.
    pub clock: unit::Millis,
    /// Authentication code over the other side's nonce; empty in the opening frame.
    pub code: Bytes,
}

/// What identifies a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// None was given.
    None,
    /// The caller's `Idempotency-Key`.
    Idempotency(Bytes),
    /// A ticket issued by an upstream process.
    Ticket(Bytes),
}

/// One attempt with the whole request.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The attempt.
    pub id: id::Attempt,
    /// The upstream process's incarnation that may run it.
    pub target: id::Incarnation,
    /// The caller's team.
    pub team: id::Team,
    /// Time left until the caller's deadline.
    pub deadline: unit::Millis,
    /// HTTP method.
    pub method: Box<str>,
    /// Path with its query.
    pub path: Box<str>,
    /// Headers to pass on.
    pub headers: Vec<answer::Header>,
    /// Whole body.
    pub body: Bytes,
    /// Model or plain service.
    pub service: Box<str>,
    /// The answer is a stream of events.
    pub stream: bool,
    /// The call may be repeated.
    pub repeatable: bool,
    /// Offset in the answer of the first byte wanted.
    pub offset: unit::Bytes,
    /// Tokens of the answer that were already delivered.
    pub skip: unit::Tokens,
    /// Key of a call that may not be repeated.
    pub key: Key,
    /// Hash of the request.
    pub digest: Bytes,
    /// Priority class, 0 first.
    pub priority: u8,
    /// Estimated work.
    pub tokens: unit::Tokens,
    /// Last instant, on the target's clock, at which the attempt may start.
    pub valid_until: unit::Millis,
    /// Configuration revision that the entry decided under.
    pub revision: unit::Revision,
}

/// A position in the answer of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
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
    /// Earliest time for another try.
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

/// An attempt gives no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failed {
    /// The attempt.
    pub id: id::Attempt,
    /// One line for the caller.
    pub detail: Box<str>,
    /// The engine crashed while it ran.
    pub crashed: bool,
}

/// Answer to a seal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sealed {
    /// The attempt.
    pub id: id::Attempt,
    /// What the seal found.
    pub state: admission::Progress,
}

/// Asks for tickets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketCall {
    /// Id of this call.
    pub id: id::Attempt,
    /// The team that may use them.
    pub team: id::Team,
    /// How many.
    pub count: u16,
}

/// Tickets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketReply {
    /// Id of the call.
    pub id: id::Attempt,
    /// The tickets.
    pub tickets: Vec<Bytes>,
    /// How long they are valid.
    pub life: unit::Millis,
}

impl Frame {
    /// The attempt or call that the frame is about; `None` for [`Frame::Hello`].
    pub fn id(&self) -> Option<id::Attempt> {
        match self {
            Frame::Hello(_) => None,
            Frame::Start(start) => Some(start.id),
            Frame::Cancel(id) => Some(*id),
            Frame::Seal(seal) => Some(seal.id),
            Frame::Resume(mark) | Frame::Window(mark) | Frame::End(mark) => Some(mark.id),
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
