//! How an upstream of a trial carries out what its table asks for.

use super::Kind;
use super::call;
use super::event::{Event, Message};
use super::upstream::{self, Job, Origin};
use super::world::World;
use crate::admission::{self, answer};
use crate::id;
use crate::request::Frame;
use crate::unit;

impl World {
    /// A message arrives at an upstream.
    pub(super) fn take(&mut self, upstream: usize, message: Message) {
        if self.upstreams[upstream].table.is_none() {
            self.take_ungated(upstream, message);
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
        self.admit(upstream, input);
    }

    /// A baseline's upstream runs what arrives.
    fn take_ungated(&mut self, upstream: usize, message: Message) {
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

    /// Gives an input to the table of an upstream.
    pub(super) fn admit(&mut self, upstream: usize, input: admission::Input) {
        let side = &mut self.upstreams[upstream];
        let now = side.time(self.now);
        let Some(table) = &mut side.table else {
            return;
        };
        let outputs = table.handle(input, now);
        for output in outputs {
            self.obey(upstream, output);
        }
        self.serve(upstream);
    }

    fn obey(&mut self, upstream: usize, output: admission::Output) {
        match output {
            admission::Output::Admit(id) => self.upstreams[upstream].queue.push_back(id),
            admission::Output::Dequeue(id) => {
                self.upstreams[upstream].queue.retain(|&queued| queued != id);
            }
            admission::Output::Run(id) => self.run_attempt(upstream, id),
            admission::Output::Refuse { id, reason, retry_after } => {
                self.note(|w| format!("u{upstream} refuse {} {reason}", w.label(id)));
                self.reply(upstream, id, Frame::Refused { reason, retry_after });
            }
            admission::Output::Sealed { id, state } => {
                self.note(|w| format!("u{upstream} sealed {} {state:?}", w.label(id)));
                self.reply(upstream, id, Frame::Sealed(state));
            }
            admission::Output::Attach { id, offset } => self.attach(upstream, id, offset),
            admission::Output::Replay { id, offset, answer } => {
                self.note(|w| format!("u{upstream} replay {} from {offset}", w.label(id)));
                let frames = upstream::frames(&answer.head, &answer.body, offset, true);
                self.reply_all(upstream, id, frames);
            }
            admission::Output::Failed { id, crashed } => {
                self.note(|w| format!("u{upstream} failed {}", w.label(id)));
                self.reply(upstream, id, Frame::Failed { crashed });
            }
            admission::Output::CancelEngine(id) => self.stop(upstream, id),
        }
    }

    fn stop(&mut self, upstream: usize, id: id::Attempt) {
        self.note(|w| format!("u{upstream} stop {}", w.label(id)));
        self.upstreams[upstream].jobs.swap_remove(&id);
        let ending = admission::Ending::Ambiguous;
        self.admit(upstream, admission::Input::Finished { id, ending });
    }

    /// Asks for the hand-over of waiting attempts while the engine has room.
    fn serve(&mut self, upstream: usize) {
        while self.upstreams[upstream].has_slot() {
            let Some(id) = self.upstreams[upstream].queue.pop_front() else {
                return;
            };
            self.admit(upstream, admission::Input::Dispatch(id));
        }
    }

    fn run_attempt(&mut self, upstream: usize, id: id::Attempt) {
        let Some(origin) = self.upstreams[upstream].origins.get(&id).cloned() else {
            return;
        };
        if self.roll(self.settings.faults.unreachable) {
            self.note(|w| format!("u{upstream} engine unreachable {}", w.label(id)));
            self.not_dispatched(upstream, id);
            return;
        }
        let Origin { call, send, kind, .. } = origin;
        let run = self.calls[call].runs.len();
        self.calls[call].runs.push(send);
        self.ledger.runs += 1;
        self.note(|w| format!("u{upstream} run {} c{call}", w.label(id)));
        let breaks = self.roll(self.settings.faults.broken);
        let breaks = breaks.then(|| self.below(kind.parts()));
        let parts = if kind == Kind::Stream { skipped(&origin, run) } else { 0 };
        self.upstreams[upstream].jobs.insert(id, Job { origin, run, parts, breaks });
        self.reply(upstream, id, Frame::Head(answer::Head::new(200)));
        self.plan_step(upstream, id);
    }

    fn not_dispatched(&mut self, upstream: usize, id: id::Attempt) {
        if self.upstreams[upstream].table.is_none() {
            self.reply(upstream, id, Frame::Failed { crashed: false });
            return;
        }
        let ending = admission::Ending::NotDispatched;
        self.admit(upstream, admission::Input::Finished { id, ending });
    }

    fn plan_step(&mut self, upstream: usize, id: id::Attempt) {
        let incarnation = self.upstreams[upstream].incarnation;
        let step = Event::Step { upstream, incarnation, id };
        let after = unit::Millis::new(self.settings.part.get() + self.below(3));
        self.at(self.now + after, step);
    }

    /// The engine produces the next part of an answer.
    pub(super) fn step(&mut self, upstream: usize, id: id::Attempt) {
        let Some(job) = self.upstreams[upstream].jobs.get_mut(&id) else {
            return;
        };
        if job.breaks == Some(job.parts) {
            self.upstreams[upstream].jobs.swap_remove(&id);
            self.end(upstream, id, admission::Ending::Ambiguous);
            return;
        }
        let Origin { call, kind, .. } = job.origin;
        let offset = job.produced().len() as u64;
        if job.parts == kind.parts() {
            self.complete(upstream, id, offset);
            return;
        }
        let bytes = call::part(kind, call, job.run, job.parts);
        job.parts += 1;
        let whole = job.parts == kind.parts();
        let length = offset + bytes.len() as u64;
        self.reply(upstream, id, Frame::Data { offset, bytes: bytes.into() });
        if whole {
            self.complete(upstream, id, length);
        } else {
            self.plan_step(upstream, id);
        }
    }

    fn complete(&mut self, upstream: usize, id: id::Attempt, length: u64) {
        self.reply(upstream, id, Frame::End { length });
        let Some(job) = self.upstreams[upstream].jobs.swap_remove(&id) else {
            return;
        };
        let head = answer::Head::new(200);
        let kept = answer::Answer { head, body: job.produced().into() };
        self.end(upstream, id, admission::Ending::Complete(Some(kept)));
    }

    /// An attempt ended at the engine.
    pub(super) fn end(&mut self, upstream: usize, id: id::Attempt, ending: admission::Ending) {
        if self.upstreams[upstream].table.is_some() {
            self.admit(upstream, admission::Input::Finished { id, ending });
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
        self.note(|w| format!("u{upstream} attach {} from {offset}", w.label(id)));
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
        self.send(Event::Down { upstream, entry, from, id, frame });
    }
}

/// Parts of a stream before the offset at which an attempt starts.
fn skipped(origin: &Origin, run: usize) -> u64 {
    let mut length = 0;
    let before = (0..origin.kind.parts()).take_while(|&p| {
        length += call::part(origin.kind, origin.call, run, p).len() as u64;
        length <= origin.offset
    });
    before.count() as u64
}
