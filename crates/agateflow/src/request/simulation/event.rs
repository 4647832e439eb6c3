//! What happens in a trial, and the faults of single messages.

use super::driver::Simulation;
use super::entry::UpstreamView;
use super::upstream::Origin;
use crate::admission;
use crate::id;
use crate::request::Frame;
use crate::unit;

/// A message from an entry to an upstream.
#[derive(Clone, Debug)]
pub enum Message {
    /// An attempt.
    Start(Box<admission::Start>, Origin),
    /// A seal.
    Seal(admission::Seal),
    /// A cancel.
    Cancel(id::Attempt),
    /// A request for missing bytes.
    Resume {
        /// The attempt.
        id: id::Attempt,
        /// First byte that is missing.
        offset: u64,
    },
}

impl Message {
    /// The message's name.
    pub const fn name(&self) -> &'static str {
        match self {
            Message::Start(..) => "start",
            Message::Seal(_) => "seal",
            Message::Cancel(_) => "cancel",
            Message::Resume { .. } => "resume",
        }
    }

    /// The message in a trace.
    pub fn describe(&self, simulation: &Simulation) -> String {
        match self {
            Message::Start(start, _) => format!("start {}", simulation.attempt_label(start.id)),
            Message::Seal(seal) => format!("seal {}", simulation.attempt_label(seal.id)),
            Message::Cancel(id) => format!("cancel {}", simulation.attempt_label(*id)),
            Message::Resume { id, offset } => {
                format!("resume {} from {offset}", simulation.attempt_label(*id))
            }
        }
    }
}

/// A frame's name.
pub const fn frame_name(frame: &Frame) -> &'static str {
    match frame {
        Frame::Refused { .. } => "refused",
        Frame::Head(_) => "head",
        Frame::Data { .. } => "data",
        Frame::End { .. } => "end",
        Frame::Failed { .. } => "failed",
        Frame::Sealed(_) => "sealed",
    }
}

/// Something that happens at an instant.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message reaches the process of a VM, whichever that is then.
    ToUpstream {
        /// The sender.
        entry: usize,
        /// The receiver.
        upstream: usize,
        /// The message.
        message: Message,
    },
    /// A frame reaches an entry.
    ToEntry {
        /// The sender.
        upstream: usize,
        /// The receiver.
        entry: usize,
        /// The sender's incarnation when it was sent.
        from: id::Incarnation,
        /// The attempt.
        id: id::Attempt,
        /// The frame.
        frame: Frame,
    },
    /// A heartbeat reaches an entry.
    Heartbeat {
        /// The sender.
        upstream: usize,
        /// The receiver.
        entry: usize,
        /// What it says.
        view: UpstreamView,
    },
    /// A heartbeat reaches another upstream.
    PeerHeartbeat {
        /// The sender.
        upstream: usize,
        /// The receiver.
        to: usize,
        /// The receiver's clock when it asked for the heartbeat.
        asked: unit::Millis,
    },
    /// A request's time comes.
    RequestTimer {
        /// The entry.
        entry: usize,
        /// Its incarnation.
        incarnation: id::Incarnation,
        /// The request.
        number: u64,
        /// The time, on the entry's clock.
        at: unit::Millis,
    },
    /// The engine produces a part.
    EngineStep {
        /// The upstream.
        upstream: usize,
        /// Its incarnation.
        incarnation: id::Incarnation,
        /// The attempt.
        id: id::Attempt,
    },
    /// A caller sends a call to an entry.
    Submit {
        /// The entry.
        entry: usize,
        /// The call.
        call: usize,
    },
    /// A caller goes away.
    CallerDisconnect {
        /// The call.
        call: usize,
    },
    /// An entry sees that a link broke.
    LinkLost {
        /// The entry.
        entry: usize,
        /// The incarnation at the other end.
        target: id::Incarnation,
    },
    /// A link is whole again.
    RestoreLink {
        /// The entry.
        entry: usize,
        /// The upstream.
        upstream: usize,
    },
    /// An upstream's pause ends.
    UnpauseUpstream(usize),
    /// An entry's pause ends.
    UnpauseEntry(usize),
    /// A drained upstream is replaced.
    ReplaceUpstream(usize, id::Incarnation),
    /// Heartbeats are sent.
    Tick,
}

/// A fault for the next message of a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageFault {
    /// It is lost.
    Drop,
    /// It arrives again after a span.
    Duplicate(unit::Millis),
    /// It arrives after a span.
    Delay(unit::Millis),
}
