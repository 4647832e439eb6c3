//! The way of one answer from the engine to the entry, over whichever link the entry has now.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use agateflow::admission::answer;
use agateflow::id;
use agateflow::unit;
use agateflow::wire;
use agateflow::wire::frame;
use bytes::Bytes;
use tokio::sync::{Notify, mpsc};

/// Bytes of an answer that the entry may not have consumed yet.
pub const WINDOW_BYTES: u64 = 256 << 10;

/// Sends the frames of one attempt and keeps those that a link loss could lose.
pub struct Outlet {
    id: id::Attempt,
    state: Mutex<State>,
    consumed: Notify,
}

struct State {
    queue: mpsc::Sender<wire::Frame>,
    head: Option<answer::Head>,
    kept: VecDeque<frame::Data>,
    consumed: u64,
    end: Option<u64>,
}

impl Outlet {
    /// Creates the outlet of attempt `id`, whose answer is wanted from `offset`.
    pub fn new(id: id::Attempt, offset: unit::Bytes, queue: mpsc::Sender<wire::Frame>) -> Self {
        let state =
            State { queue, head: None, kept: VecDeque::new(), consumed: offset.get(), end: None };
        Self { id, state: Mutex::new(state), consumed: Notify::new() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends status and headers.
    pub async fn head(&self, head: answer::Head) {
        self.state().head = Some(head.clone());
        self.send(wire::Frame::Head(frame::Head { id: self.id, head })).await;
    }

    /// Sends a part of the body once the entry has consumed enough of what came before.
    pub async fn data(&self, offset: u64, bytes: Bytes) {
        while offset >= self.state().consumed + WINDOW_BYTES {
            self.consumed.notified().await;
        }
        let data = frame::Data { id: self.id, offset: unit::Bytes::new(offset), bytes };
        self.state().kept.push_back(data.clone());
        self.send(wire::Frame::Data(data)).await;
    }

    /// Sends the end marker.
    pub async fn end(&self, length: u64) {
        self.state().end = Some(length);
        self.send(end(self.id, length)).await;
    }

    /// Sends a last frame that is neither answer nor end.
    pub async fn conclude(&self, frame: wire::Frame) {
        self.send(frame).await;
    }

    /// A lost link loses the frame; the entry asks for it over the next one.
    async fn send(&self, frame: wire::Frame) {
        let queue = self.state().queue.clone();
        let _ = queue.send(frame).await;
    }

    /// Records how far the entry has consumed the answer. Late reports change nothing.
    pub fn advance(&self, offset: unit::Bytes) {
        let mut state = self.state();
        state.consumed = state.consumed.max(offset.get());
        let consumed = state.consumed;
        let done = |data: &frame::Data| data.offset.get() + data.bytes.len() as u64 <= consumed;
        while state.kept.front().is_some_and(done) {
            state.kept.pop_front();
        }
        self.consumed.notify_one();
    }

    /// Goes on over another link: what the entry has not consumed is sent again.
    pub async fn attach(&self, queue: mpsc::Sender<wire::Frame>, offset: unit::Bytes) {
        self.advance(offset);
        let frames = {
            let mut state = self.state();
            state.queue = queue.clone();
            let head = state.head.clone();
            let head = head.map(|head| wire::Frame::Head(frame::Head { id: self.id, head }));
            let kept = state.kept.iter().cloned().map(wire::Frame::Data);
            let end = state.end.map(|length| end(self.id, length));
            head.into_iter().chain(kept).chain(end).collect::<Vec<_>>()
        };
        for frame in frames {
            let _ = queue.send(frame).await;
        }
    }
}

fn end(id: id::Attempt, length: u64) -> wire::Frame {
    wire::Frame::End(frame::Position { id, offset: unit::Bytes::new(length) })
}
