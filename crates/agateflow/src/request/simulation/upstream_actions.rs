//! Carries out the outputs of an upstream's admission table.

use super::Kind;
use super::call;
use super::driver::Simulation;
use super::event::{Event, Message};
use super::upstream::{self, Job, Origin};
use crate::admission::{self, answer};
use crate::id;
use crate::request::Frame;
use crate::unit;

impl Simulation {
    /// Handles a message from an entry.
    pub(super) fn receive(&mut self, upstream: usize, message: Message) {
        if self.upstreams[upstream].table.is_none() {
            self.receive_without_table(upstream, message);
            return;
        }
        let input = match message {
            Message::Start(start, origin) => {
                self.upstreams[upstream].origins.entry(start.id).or_insert(origin);
                admission::Input::Start(*start)
            }
            Message::Seal(seal) => admission::Input::Seal(seal),
            Message::Cancel(id) => admission::Input::Cancel(id),
            Message::Resume { id, offset } => admission::Input::Resume { id, offset },
        };
        self.table_input(upstream, input);
    }

    /// Runs every start, as an upstream of a baseline does.
    fn receive_without_table(&mut self, upstream: usize, message: Message) {
        match message {
            Message::Start(start, origin) => {
                self.upstreams[upstream].origins.insert(start.id, origin);
                self.run_attempt(upstream, start.id);
            }
            Message::Cancel(id) => {
                self.upstreams[upstream].jobs.swap_remove(&id);
            }
            Message::Seal(_) | Message::Resume { .. } => {}
        }
    }

    /// Passes an input to the admission table of an upstream.
    pub(super) fn table_input(&mut self, upstream: usize, input: admission::Input) {
        let node = &mut self.upstreams[upstream];
        let now = node.local_time(self.now);
        let Some(table) = &mut node.table else {
            return;
        };
        let outputs = table.handle(input, now);
        for output in outputs {
            self.apply_output(upstream, output);
        }
        self.start_queued(upstream);
    }

    fn apply_output(&mut self, upstream: usize, output: admission::Output) {
        match output {
            admission::Output::Admit(id) => self.upstreams[upstream].queue.push_back(id),
            admission::Output::Dequeue(id) => {
                self.upstreams[upstream].queue.retain(|&queued| queued != id);
            }
            admission::Output::Run(id) => self.run_attempt(upstream, id),
            admission::Output::Refuse { id, reason, retry_after } => {
                self.record_trace(|s| {
                    format!("u{upstream} refuse {} {reason}", s.attempt_label(id))
                });
                self.reply(upstream, id, Frame::Refused { reason, retry_after });
            }
            admission::Output::Sealed { id, state } => {
                self.record_trace(|s| {
                    format!("u{upstream} sealed {} {state:?}", s.attempt_label(id))
                });
                self.reply(upstream, id, Frame::Sealed(state));
            }
            admission::Output::Attach { id, offset } => self.attach(upstream, id, offset),
            admission::Output::Replay { id, offset, answer } => {
                self.record_trace(|s| {
                    format!("u{upstream} replay {} from {offset}", s.attempt_label(id))
                });
                let frames = upstream::frames(&answer.head, &answer.body, offset, true);
                self.reply_all(upstream, id, frames);
            }
            admission::Output::Failed { id, crashed } => {
                self.record_trace(|s| format!("u{upstream} failed {}", s.attempt_label(id)));
                self.reply(upstream, id, Frame::Failed { crashed });
            }
            admission::Output::CancelEngine(id) => self.cancel_run(upstream, id),
        }
    }

    fn cancel_run(&mut self, upstream: usize, id: id::Attempt) {
        self.record_trace(|s| format!("u{upstream} stop {}", s.attempt_label(id)));
        self.upstreams[upstream].jobs.swap_remove(&id);
        let ending = admission::Ending::Ambiguous;
        self.table_input(upstream, admission::Input::Finished { id, ending });
    }

    /// Requests the hand-over of queued attempts while the engine has free slots.
    fn start_queued(&mut self, upstream: usize) {
        while self.upstreams[upstream].has_slot() {
            let Some(id) = self.upstreams[upstream].queue.pop_front() else {
                return;
            };
            self.table_input(upstream, admission::Input::Dispatch(id));
        }
    }

    fn run_attempt(&mut self, upstream: usize, id: id::Attempt) {
        let Some(origin) = self.upstreams[upstream].origins.get(&id).cloned() else {
            return;
        };
        if self.occurs(self.settings.faults.engine_unreachable) {
            self.record_trace(|s| {
                format!("u{upstream} engine unreachable {}", s.attempt_label(id))
            });
            self.not_dispatched(upstream, id);
            return;
        }
        let Origin { call, submission, kind, .. } = origin;
        let run = self.calls[call].runs.len();
        self.calls[call].runs.push(submission);
        self.stats.runs += 1;
        self.record_trace(|s| format!("u{upstream} run {} c{call}", s.attempt_label(id)));
        let fails_at = self.occurs(self.settings.faults.engine_abort);
        let fails_at = fails_at.then(|| self.random_below(kind.chunks()));
        let chunks = if kind == Kind::Stream { skipped_chunks(&origin, run) } else { 0 };
        self.upstreams[upstream].jobs.insert(id, Job { origin, run, chunks, fails_at });
        self.reply(upstream, id, Frame::Head(answer::Head::new(200)));
        self.schedule_step(upstream, id);
    }

    fn not_dispatched(&mut self, upstream: usize, id: id::Attempt) {
        if self.upstreams[upstream].table.is_none() {
            self.reply(upstream, id, Frame::Failed { crashed: false });
            return;
        }
        let ending = admission::Ending::NotDispatched;
        self.table_input(upstream, admission::Input::Finished { id, ending });
    }

    fn schedule_step(&mut self, upstream: usize, id: id::Attempt) {
        let incarnation = self.upstreams[upstream].incarnation;
        let step = Event::EngineStep { upstream, incarnation, id };
        let after = unit::Millis::new(self.settings.chunk_interval.get() + self.random_below(3));
        self.schedule(self.now + after, step);
    }

    /// Produces the next chunk of a response.
    pub(super) fn engine_step(&mut self, upstream: usize, id: id::Attempt) {
        let Some(job) = self.upstreams[upstream].jobs.get_mut(&id) else {
            return;
        };
        if job.fails_at == Some(job.chunks) {
            self.upstreams[upstream].jobs.swap_remove(&id);
            self.finish_attempt(upstream, id, admission::Ending::Ambiguous);
            return;
        }
        let Origin { call, kind, .. } = job.origin;
        let offset = job.produced().len() as u64;
        if job.chunks == kind.chunks() {
            self.complete(upstream, id, offset);
            return;
        }
        let bytes = call::chunk(kind, call, job.run, job.chunks);
        job.chunks += 1;
        let is_complete = job.chunks == kind.chunks();
        let length = offset + bytes.len() as u64;
        self.reply(upstream, id, Frame::Data { offset, bytes: bytes.into() });
        if is_complete {
            self.complete(upstream, id, length);
        } else {
            self.schedule_step(upstream, id);
        }
    }

    fn complete(&mut self, upstream: usize, id: id::Attempt, length: u64) {
        self.reply(upstream, id, Frame::End { length });
        let Some(job) = self.upstreams[upstream].jobs.swap_remove(&id) else {
            return;
        };
        let head = answer::Head::new(200);
        let kept = answer::Answer { head, body: job.produced().into() };
        self.finish_attempt(upstream, id, admission::Ending::Complete(Some(kept)));
    }

    /// Handles the end of an attempt at the engine.
    pub(super) fn finish_attempt(
        &mut self,
        upstream: usize,
        id: id::Attempt,
        ending: admission::Ending,
    ) {
        if self.upstreams[upstream].table.is_some() {
            self.table_input(upstream, admission::Input::Finished { id, ending });
        } else if !matches!(ending, admission::Ending::Complete(_)) {
            self.reply(upstream, id, Frame::Failed { crashed: false });
        }
    }

    fn attach(&mut self, upstream: usize, id: id::Attempt, offset: u64) {
        let Some(job) = self.upstreams[upstream].jobs.get(&id) else {
            return;
        };
        let head = answer::Head::new(200);
        let frames = upstream::frames(&head, &job.produced(), offset, false);
        self.record_trace(|s| format!("u{upstream} attach {} from {offset}", s.attempt_label(id)));
        self.reply_all(upstream, id, frames);
    }

    fn reply_all(&mut self, upstream: usize, id: id::Attempt, frames: Vec<Frame>) {
        for frame in frames {
            self.reply(upstream, id, frame);
        }
    }

    fn reply(&mut self, upstream: usize, id: id::Attempt, frame: Frame) {
        let entry = self.entries.iter().position(|e| e.incarnation == id.entry);
        let Some(entry) = entry else {
            return;
        };
        let from = self.upstreams[upstream].incarnation;
        self.send_message(Event::ToEntry { upstream, entry, from, id, frame });
    }
}

/// Number of whole chunks before the offset at which an attempt starts.
fn skipped_chunks(origin: &Origin, run: usize) -> u64 {
    let mut length = 0;
    let before = (0..origin.kind.chunks()).take_while(|&p| {
        length += call::chunk(origin.kind, origin.call, run, p).len() as u64;
        length <= origin.offset
    });
    before.count() as u64
}
