//! Events of a simulation and faults of single messages.

use super::driver::Simulation;
use super::entry::View;
use super::upstream::Origin;
use crate::admission;
use crate::id;
use crate::request::Frame;
use crate::unit;

/// A message from an entry to an upstream.
#[derive(Clone, Debug)]
pub enum Message {
    Start(Box<admission::Start>, Origin),
    Seal(admission::Seal),
    Cancel(id::Attempt),
    /// A request for missing bytes.
    Resume {
        id: id::Attempt,
        /// The first missing byte.
        offset: u64,
    },
}

impl Message {
    pub const fn name(&self) -> &'static str {
        match self {
            Message::Start(..) => "start",
            Message::Seal(_) => "seal",
            Message::Cancel(_) => "cancel",
            Message::Resume { .. } => "resume",
        }
    }

    /// The message as text for the trace.
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

/// Something that happens at an instant of simulated time.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message reaches the current process of a VM.
    ToUpstream { entry: usize, upstream: usize, message: Message },
    /// A frame reaches an entry.
    ToEntry {
        upstream: usize,
        entry: usize,
        /// The sender's incarnation at the time of sending.
        from: id::Incarnation,
        id: id::Attempt,
        frame: Frame,
    },
    /// A heartbeat reaches an entry.
    Heartbeat { upstream: usize, entry: usize, view: View },
    /// A heartbeat reaches another upstream.
    PeerHeartbeat {
        upstream: usize,
        /// The receiver.
        to: usize,
        /// The receiver's clock when it asked for the heartbeat.
        asked: unit::Millis,
    },
    /// The timer of a request expires.
    RequestTimer {
        entry: usize,
        /// Its incarnation when the timer was set.
        incarnation: id::Incarnation,
        /// The number of the request.
        number: u64,
        /// The time, on the entry's clock.
        at: unit::Millis,
    },
    /// The engine produces a chunk.
    EngineStep { upstream: usize, incarnation: id::Incarnation, id: id::Attempt },
    /// A caller submits a call to an entry.
    Submit { entry: usize, call: usize },
    /// A caller disconnects.
    CallerDisconnect { call: usize },
    /// An entry detects that a link broke.
    LinkLost {
        entry: usize,
        /// The incarnation at the other end.
        target: id::Incarnation,
    },
    /// A link is restored.
    RestoreLink { entry: usize, upstream: usize },
    /// The pause of an upstream ends.
    UnpauseUpstream(usize),
    /// The pause of an entry ends.
    UnpauseEntry(usize),
    /// A drained upstream is replaced, if it is still the same incarnation.
    ReplaceUpstream(usize, id::Incarnation),
    /// Heartbeats are sent and random faults are drawn.
    Tick,
}

/// A fault of a single message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is dropped.
    Drop,
    /// A copy arrives this much later.
    Duplicate(unit::Millis),
    /// It arrives after this time.
    Delay(unit::Millis),
}
