//! Admission control at the upstream process: each attempt runs at most once, or is refused.
//!
//! [`Table`] tracks attempts, and [`call_store::Store`] the calls that must not run twice. Such a
//! call names the one process that may run it by a [`ticket`] or an [`idempotency`] key.

pub mod answer;
mod authority;
pub mod call_store;
pub mod idempotency;
pub mod reason;
pub mod record;
mod sweep;
mod table;
pub mod ticket;

use crate::id;
use crate::unit;

pub use table::{Owner, Table};

/// Hash of a request's content: team, method, path and body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Hashes a request of `team`; each part is prefixed with its length.
    pub fn new(team: &id::Team, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [team.as_str().as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }

    /// Creates a digest from bytes computed by another process.
    pub const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the raw hash.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

/// Limits of a [`Table`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of queued and running attempts.
    pub in_flight: usize,
    /// Maximum number of records, including tombstones and finished attempts.
    pub records: usize,
    /// Longest validity that a start may request, counted from its arrival.
    pub validity: unit::Millis,
    /// How long the record of a finished attempt is kept after its validity has ended.
    pub retention: unit::Millis,
    /// How long an attempt is kept after the link to its entry is lost.
    pub orphan_grace: unit::Millis,
    /// Largest response kept for replay.
    pub max_answer: unit::Bytes,
    /// Total size of the responses kept for replay to the same attempt.
    pub answer_cache: unit::Bytes,
    /// Limits of the records of calls that must not run twice.
    pub call_store: call_store::Limits,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            in_flight: 4096,
            records: 16_384,
            validity: unit::Millis::new(30_000),
            retention: unit::Millis::new(30_000),
            orphan_grace: unit::Millis::new(2_000),
            max_answer: unit::Bytes::new(32 << 10),
            answer_cache: unit::Bytes::new(4 << 20),
            call_store: call_store::Limits::default(),
        }
    }
}

/// What protects a call against running twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// Only the attempt ID.
    None,
    /// The caller's `Idempotency-Key`; the sender's revision determines its home VM.
    Idempotency(Box<str>),
    /// An encoded [`ticket::Ticket`].
    Ticket(Box<[u8]>),
}

/// A request to run an attempt, as received from an entry.
#[derive(Clone, Debug)]
pub struct Start {
    /// The attempt.
    pub id: id::Attempt,
    /// The process that it is addressed to.
    pub target: id::Incarnation,
    /// Last instant, on the target's clock, at which the attempt may be admitted or dispatched.
    pub valid_until: unit::Millis,
    /// Time remaining until the caller's deadline.
    pub time_left: unit::Millis,
    /// The authenticated team.
    pub team: id::Team,
    /// The service; idempotency keys are unique within it.
    pub service: id::Service,
    /// Whether the call is safe to run more than once.
    pub repeatable: bool,
    /// What protects the call against running twice.
    pub key: Key,
    /// Hash of the request's content.
    pub digest: Digest,
    /// Configuration revision in force at the sender.
    pub revision: unit::Revision,
}

/// Asks whether an attempt ran, and prevents it from starting later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seal {
    /// The attempt.
    pub id: id::Attempt,
    /// The target of its start.
    pub target: id::Incarnation,
    /// The validity of its start.
    pub valid_until: unit::Millis,
}

/// Result of a [`Seal`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The attempt did not run and never will.
    NotRun,
    /// The attempt is running or may have run.
    Running,
    /// The attempt ran to completion.
    Ran,
}

/// How an admitted attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The engine sent a complete response; a small non-streamed one is included for replay.
    Complete(Option<answer::Answer>),
    /// No byte of the request was written to the engine's socket.
    NotDispatched,
    /// The engine received the request but sent no complete response.
    Ambiguous,
    /// Like `Ambiguous`, and the engine process died.
    Crashed,
}

/// Input of a [`Table`].
#[derive(Clone, Debug)]
pub enum Input {
    /// An entry sent an attempt.
    Start(Start),
    /// An entry asks to seal an attempt.
    Seal(Seal),
    /// The entry no longer needs the attempt.
    Cancel(id::Attempt),
    /// The entry asks for the response from `offset` on after it lost its link.
    Resume {
        /// The attempt.
        id: id::Attempt,
        /// First byte that the entry has not received.
        offset: u64,
    },
    /// The attempt is next in the queue; sent immediately before its bytes go to the engine.
    Dispatch(id::Attempt),
    /// A queue, limit or poison check refuses an admitted attempt before its dispatch.
    Reject {
        /// The attempt.
        id: id::Attempt,
        /// Why it is refused.
        reason: reason::Reason,
        /// Delay before it may be sent again.
        retry_after: unit::Millis,
    },
    /// An attempt ended.
    Finished {
        /// The attempt.
        id: id::Attempt,
        /// How it ended.
        ending: Ending,
    },
    /// The last link from an entry was lost.
    LinkLost(id::Incarnation),
    /// Periodic call that expires records and ends abandoned attempts.
    Tick,
    /// The process is shutting down: no new attempt is admitted.
    Drain,
}

/// Action requested by a [`Table`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Queue the attempt, and send [`Input::Dispatch`] when it is next.
    Admit(id::Attempt),
    /// Send the attempt to the engine now.
    Run(id::Attempt),
    /// Remove the attempt from the queue.
    Dequeue(id::Attempt),
    /// Tell the entry that the attempt did not run and never will.
    Refuse {
        /// The attempt.
        id: id::Attempt,
        /// Why it is refused.
        reason: reason::Reason,
        /// Delay before it may be sent again.
        retry_after: unit::Millis,
    },
    /// Reply to a seal.
    Sealed {
        /// The attempt.
        id: id::Attempt,
        /// The result.
        state: Progress,
    },
    /// Send the response of the running attempt from `offset` on.
    Attach {
        /// The attempt.
        id: id::Attempt,
        /// First byte to send.
        offset: u64,
    },
    /// Send a stored response from `offset` on.
    Replay {
        /// The attempt that receives it.
        id: id::Attempt,
        /// First byte to send.
        offset: u64,
        /// The complete response.
        answer: answer::Answer,
    },
    /// Tell the entry that the attempt has no complete response and may have run.
    Failed {
        /// The attempt.
        id: id::Attempt,
        /// Whether the engine process died.
        crashed: bool,
    },
    /// Cancel the attempt at the engine.
    CancelEngine(id::Attempt),
}
