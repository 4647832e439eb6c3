//! Sends the response of one attempt to its entry, over the entry's current link.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use agateflow::admission::answer;
use agateflow::id;
use agateflow::unit;
use agateflow::wire;
use agateflow::wire::frame;
use bytes::Bytes;
use tokio::sync::{Notify, mpsc};

/// Flow-control window: response bytes sent ahead of what the entry has consumed.
pub const WINDOW_BYTES: u64 = 256 << 10;

/// Sends the frames of one attempt and stores unconsumed ones to resend them after a link loss.
pub struct Sender {
    id: id::Attempt,
    state: Mutex<State>,
    consumed: Notify,
}

struct State {
    queue: mpsc::Sender<wire::Frame>,
    head: Option<answer::Head>,
    unconsumed: VecDeque<frame::Data>,
    consumed: u64,
    end: Option<u64>,
}

impl Sender {
    /// Creates the sender of attempt `id`, whose response starts at byte `offset`.
    pub fn new(id: id::Attempt, offset: unit::Bytes, queue: mpsc::Sender<wire::Frame>) -> Self {
        let state = State {
            queue,
            head: None,
            unconsumed: VecDeque::new(),
            consumed: offset.get(),
            end: None,
        };
        Self { id, state: Mutex::new(state), consumed: Notify::new() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends status and headers.
    pub async fn send_head(&self, head: answer::Head) {
        self.state().head = Some(head.clone());
        self.send(wire::Frame::Head(frame::Head { id: self.id, head })).await;
    }

    /// Sends a part of the body once the window has room for it.
    pub async fn send_data(&self, offset: u64, bytes: Bytes) {
        while offset >= self.state().consumed + WINDOW_BYTES {
            self.consumed.notified().await;
        }
        let data = frame::Data { id: self.id, offset: unit::Bytes::new(offset), bytes };
        self.state().unconsumed.push_back(data.clone());
        self.send(wire::Frame::Data(data)).await;
    }

    /// Sends the end marker.
    pub async fn send_end(&self, length: u64) {
        self.state().end = Some(length);
        self.send(end_frame(self.id, length)).await;
    }

    /// Sends a final frame that is neither response nor end, such as a failure.
    pub async fn send_final(&self, frame: wire::Frame) {
        self.send(frame).await;
    }

    /// Ignores a lost link: the entry asks for the frame again over the next one.
    async fn send(&self, frame: wire::Frame) {
        let queue = self.state().queue.clone();
        let _ = queue.send(frame).await;
    }

    /// Records how far the entry has consumed the response. A lower offset changes nothing.
    pub fn acknowledge(&self, offset: unit::Bytes) {
        let mut state = self.state();
        state.consumed = state.consumed.max(offset.get());
        let consumed = state.consumed;
        let is_consumed =
            |data: &frame::Data| data.offset.get() + data.bytes.len() as u64 <= consumed;
        while state.unconsumed.front().is_some_and(is_consumed) {
            state.unconsumed.pop_front();
        }
        self.consumed.notify_one();
    }

    /// Switches to another link and resends what the entry has not consumed.
    pub async fn attach(&self, queue: mpsc::Sender<wire::Frame>, offset: unit::Bytes) {
        self.acknowledge(offset);
        let frames = {
            let mut state = self.state();
            state.queue = queue.clone();
            let head = state.head.clone();
            let head = head.map(|head| wire::Frame::Head(frame::Head { id: self.id, head }));
            let unconsumed = state.unconsumed.iter().cloned().map(wire::Frame::Data);
            let end = state.end.map(|length| end_frame(self.id, length));
            head.into_iter().chain(unconsumed).chain(end).collect::<Vec<_>>()
        };
        for frame in frames {
            let _ = queue.send(frame).await;
        }
    }
}

fn end_frame(id: id::Attempt, length: u64) -> wire::Frame {
    wire::Frame::End(frame::Position { id, offset: unit::Bytes::new(length) })
}
