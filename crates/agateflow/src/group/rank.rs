//! State machine of a rank.

use std::collections::{BTreeMap, BTreeSet};

use super::instance;
use super::message;
use super::term;
use crate::unit;

/// Interval between repeats of a vote.
pub const RESEND_INTERVAL: unit::Millis = unit::Millis::new(100);
/// Time after which missing votes for a step are reported.
pub const STALL_TIMEOUT: unit::Millis = unit::Millis::new(1000);
/// Maximum number of loaded maps tracked; the lowest unused version is dropped first.
pub const MAX_LOADED: usize = 8;

/// An input of a rank.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Input {
    /// A coordinator's order.
    Order(message::Order),
    /// Another member's vote.
    Vote(message::Vote),
    /// All experts of a map have been loaded.
    Loaded(instance::Version),
    /// The engine has unloaded experts that this map needs.
    Unloaded(instance::Version),
    /// The engine has finished its last step.
    Ready,
    /// Timer tick.
    Tick,
}

/// An action of a rank.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Output {
    /// Answers the coordinator of a term.
    Answer(term::Term, message::Answer),
    /// Sends a vote to another member.
    Vote(instance::Peer, message::Vote),
    /// Loads a map's experts in the background. A repeat has no further effect.
    Load(instance::Version),
    /// Runs a step.
    Run(Step),
    /// Refuses to run a step because another member's vote differs.
    Mismatch(message::Vote),
    /// A step that the rank voted for never runs: its work resumes in a later step or elsewhere.
    Dropped(u64),
    /// A step lacks the votes of these members.
    Stalled(u64, Vec<instance::Peer>),
    /// The promised term has not started in time: the group must be formed again.
    Overdue(term::Term),
    /// The rank takes no further part in steps: a higher term excludes it.
    Excluded(term::Term),
}

/// A step to run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Step {
    /// The group instance.
    pub instance: instance::Instance,
    /// The term.
    pub term: term::Term,
    /// The step.
    pub step: u64,
    /// The map.
    pub version: instance::Version,
    /// The participating ranks.
    pub membership: instance::Membership,
}

/// The view in use and its current step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Active {
    view: message::View,
    version: instance::Version,
    /// Map that the leader's next vote announces.
    announce: Option<instance::Version>,
    /// This rank's vote for the current step.
    own_vote: Option<message::Vote>,
    /// This rank's vote for the previous step, which a member may still lack.
    last_vote: Option<message::Vote>,
    /// Other members' votes for the current step and the next one.
    received: BTreeMap<(u64, instance::Peer), message::Vote>,
    ready: bool,
    voted_at: unit::Millis,
    sent_at: unit::Millis,
    stalled: bool,
}

impl Active {
    /// Announces a map in the next vote, unless an equal or later one was announced before.
    fn announce(&mut self, version: instance::Version) {
        let sent = self.own_vote.as_ref().and_then(|own_vote| own_vote.next);
        let latest = [Some(self.version), sent, self.announce].into_iter().flatten();
        if latest.into_iter().all(|known| version.number > known.number) {
            self.announce = Some(version);
        }
    }
}

/// State of a rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rank {
    me: instance::Peer,
    promised: Option<term::Term>,
    promised_at: unit::Millis,
    overdue: bool,
    next: u64,
    accepted: Option<message::View>,
    /// The map to load before its term starts, and that term.
    preload: Option<(term::Term, instance::Version)>,
    requested: Option<instance::Version>,
    loaded: BTreeSet<instance::Version>,
    active: Option<Active>,
}

impl Rank {
    /// Creates a rank without promises, as after a process start.
    pub const fn new(me: instance::Peer) -> Self {
        Self {
            me,
            promised: None,
            promised_at: unit::Millis::ZERO,
            overdue: false,
            next: 0,
            accepted: None,
            preload: None,
            requested: None,
            loaded: BTreeSet::new(),
            active: None,
        }
    }

    /// The rank's identity.
    pub const fn me(&self) -> instance::Peer {
        self.me
    }

    /// The highest term promised.
    pub const fn promised(&self) -> Option<term::Term> {
        self.promised
    }

    /// The next step that the rank may vote for.
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// The map in use, if the rank takes part in steps.
    pub fn version(&self) -> Option<instance::Version> {
        self.active.as_ref().map(|active| active.version)
    }

    /// The view in use, if the rank takes part in steps.
    pub fn view(&self) -> Option<&message::View> {
        self.active.as_ref().map(|active| &active.view)
    }

    /// Whether all experts of a map are loaded.
    pub fn has_loaded(&self, version: instance::Version) -> bool {
        self.loaded.contains(&version)
    }

    /// Handles an input; `now` is read from the process's own clock.
    pub fn handle(&mut self, input: Input, now: unit::Millis) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Order(order) => self.handle_order(order, now, &mut outputs),
            Input::Vote(vote) => self.handle_vote(vote, now, &mut outputs),
            Input::Loaded(version) => self.loaded(version, &mut outputs),
            Input::Unloaded(version) => {
                self.loaded.remove(&version);
            }
            Input::Ready => {
                if let Some(active) = &mut self.active {
                    active.ready = true;
                }
            }
            Input::Tick => self.tick(now, &mut outputs),
        }
        self.advance(now, &mut outputs);
        outputs
    }

    fn handle_order(
        &mut self,
        order: message::Order,
        now: unit::Millis,
        outputs: &mut Vec<Output>,
    ) {
        let term = order.term();
        if let Some(promised) = self.promised.filter(|promised| *promised > term) {
            let refusal = message::Answer::Refused(self.me, promised);
            outputs.push(Output::Answer(term, refusal));
            return;
        }
        match order {
            message::Order::Load(term, version) => self.load(term, version, outputs),
            message::Order::Collect(term) => self.promise(term, now, outputs),
            _ if self.promised != Some(term) => {}
            message::Order::Prepare(view, version) => self.prepare(view, version, outputs),
            message::Order::Commit(_, version) => self.commit(version, now, outputs),
        }
    }

    fn load(&mut self, term: term::Term, version: instance::Version, outputs: &mut Vec<Output>) {
        if self.loaded.contains(&version) {
            let loaded = message::Answer::Loaded(term, version, self.me);
            outputs.push(Output::Answer(term, loaded));
        } else if self.preload.is_none_or(|(known, _)| known <= term) {
            self.preload = Some((term, version));
            outputs.push(Output::Load(version));
        }
    }

    fn promise(&mut self, term: term::Term, now: unit::Millis, outputs: &mut Vec<Output>) {
        if self.promised != Some(term) {
            self.promised = Some(term);
            self.promised_at = now;
            self.overdue = false;
        }
        let promise = message::Promise {
            term,
            from: self.me,
            next: self.next,
            accepted: self.accepted.clone(),
        };
        outputs.push(Output::Answer(term, message::Answer::Promise(promise)));
    }

    fn prepare(
        &mut self,
        view: message::View,
        version: instance::Version,
        outputs: &mut Vec<Output>,
    ) {
        let term = view.term;
        if !view.membership.includes(self.me) {
            self.accepted = Some(view);
            self.deactivate(outputs);
            outputs.push(Output::Excluded(term));
            return;
        }
        if self.accepted.as_ref().is_none_or(|accepted| accepted.term < term) {
            self.accepted = Some(view);
            self.requested = None;
        }
        if self.requested.is_some_and(|requested| requested.number > version.number) {
            return;
        }
        self.requested = Some(version);
        if self.loaded.contains(&version) {
            let prepared = message::Answer::Prepared(term, version, self.me);
            outputs.push(Output::Answer(term, prepared));
        } else {
            outputs.push(Output::Load(version));
        }
    }

    fn loaded(&mut self, version: instance::Version, outputs: &mut Vec<Output>) {
        self.loaded.insert(version);
        let used = self.version();
        while self.loaded.len() > MAX_LOADED {
            let Some(&lowest) = self.loaded.iter().find(|v| Some(**v) != used) else { break };
            self.loaded.remove(&lowest);
        }
        if let Some((term, _)) = self.preload.take_if(|(_, preload)| *preload == version) {
            let loaded = message::Answer::Loaded(term, version, self.me);
            outputs.push(Output::Answer(term, loaded));
        }
        let accepted = self.accepted.as_ref().map(|accepted| accepted.term);
        if let Some(term) = accepted.filter(|t| self.promised == Some(*t))
            && self.requested == Some(version)
        {
            let prepared = message::Answer::Prepared(term, version, self.me);
            outputs.push(Output::Answer(term, prepared));
        }
    }

    /// On the leader, starts the term or announces a later map in the next vote.
    fn commit(&mut self, version: instance::Version, now: unit::Millis, outputs: &mut Vec<Output>) {
        let Some(accepted) = self.accepted.as_ref() else { return };
        let leads = accepted.membership.leader() == Some(self.me);
        if !leads || Some(accepted.term) != self.promised || !self.loaded.contains(&version) {
            return;
        }
        let term = accepted.term;
        match self.active.as_mut().filter(|active| active.view.term == term) {
            Some(active) => active.announce(version),
            None => self.enter_term(version, now, outputs),
        }
    }

    /// Starts to take part in the steps of the accepted view.
    fn enter_term(
        &mut self,
        version: instance::Version,
        now: unit::Millis,
        outputs: &mut Vec<Output>,
    ) {
        let Some(view) = self.accepted.clone() else { return };
        let ready =
            self.active.as_ref().is_none_or(|active| active.ready || active.own_vote.is_some());
        self.deactivate(outputs);
        self.next = self.next.max(view.first_step);
        self.active = Some(Active {
            view,
            version,
            announce: None,
            own_vote: None,
            last_vote: None,
            received: BTreeMap::new(),
            ready,
            voted_at: now,
            sent_at: now,
            stalled: false,
        });
    }

    /// Leaves the view and reports a step voted for but never run.
    fn deactivate(&mut self, outputs: &mut Vec<Output>) {
        let own_vote = self.active.take().and_then(|active| active.own_vote);
        outputs.extend(own_vote.map(|own_vote| Output::Dropped(own_vote.step)));
    }

    fn handle_vote(&mut self, vote: message::Vote, now: unit::Millis, outputs: &mut Vec<Output>) {
        if self.starts_term(&vote) {
            self.enter_term(vote.version, now, outputs);
        }
        let Some(active) = &mut self.active else { return };
        let view = &active.view;
        if !view.membership.includes(vote.from) || vote.from == self.me {
            return;
        }
        let step = active.own_vote.as_ref().map_or(self.next, |own_vote| own_vote.step);
        if vote.step < step || vote.step > step + 1 {
            return;
        }
        if vote.term != view.term || vote.membership != view.membership.digest() {
            if vote.term > view.term {
                return;
            }
            outputs.push(Output::Mismatch(vote));
            return;
        }
        active.received.insert((vote.step, vote.from), vote);
    }

    /// Whether the vote is the leader's first in the term that the rank has prepared.
    fn starts_term(&self, vote: &message::Vote) -> bool {
        let Some(accepted) = &self.accepted else { return false };
        let known = self.active.as_ref().is_some_and(|a| a.view.term == accepted.term);
        !known
            && self.promised == Some(accepted.term)
            && vote.term == accepted.term
            && vote.step == accepted.first_step
            && vote.membership == accepted.membership.digest()
            && accepted.membership.leader() == Some(vote.from)
            && self.loaded.contains(&vote.version)
    }

    /// Votes for the next step and runs the current one, as far as possible.
    fn advance(&mut self, now: unit::Millis, outputs: &mut Vec<Output>) {
        self.vote(now, outputs);
        if self.run(outputs) {
            self.vote(now, outputs);
        }
    }

    fn vote(&mut self, now: unit::Millis, outputs: &mut Vec<Output>) {
        let Some(active) = &mut self.active else { return };
        let is_current = self.promised == Some(active.view.term);
        if !is_current || !active.ready || active.own_vote.is_some() {
            return;
        }
        if !self.loaded.contains(&active.version) {
            return;
        }
        let vote = message::Vote {
            from: self.me,
            term: active.view.term,
            step: self.next,
            version: active.version,
            membership: active.view.membership.digest(),
            next: active.announce.take(),
        };
        self.next += 1;
        active.ready = false;
        active.stalled = false;
        active.voted_at = now;
        active.sent_at = now;
        active.own_vote = Some(vote.clone());
        let others = active.view.membership.peers().filter(|peer| *peer != self.me);
        outputs.extend(others.map(|peer| Output::Vote(peer, vote.clone())));
    }

    /// Runs the current step if the votes of all members agree.
    fn run(&mut self, outputs: &mut Vec<Output>) -> bool {
        let Some(active) = &mut self.active else { return false };
        let Some(own_vote) = active.own_vote.clone() else { return false };
        let mut next = own_vote.next;
        let leader = active.view.membership.leader();
        for peer in active.view.membership.peers().filter(|peer| *peer != self.me) {
            let Some(vote) = active.received.get(&(own_vote.step, peer)) else { return false };
            if !vote.agrees(&own_vote) {
                outputs.push(Output::Mismatch(vote.clone()));
                return false;
            }
            if Some(peer) == leader {
                next = vote.next;
            }
        }
        outputs.push(Output::Run(Step {
            instance: active.view.instance,
            term: own_vote.term,
            step: own_vote.step,
            version: own_vote.version,
            membership: active.view.membership.clone(),
        }));
        active.received.retain(|(step, _), _| *step > own_vote.step);
        active.version = next.unwrap_or(active.version);
        active.last_vote = active.own_vote.take();
        true
    }

    /// Reports a promised term that has not started in time, once per term.
    fn check_overdue(&mut self, now: unit::Millis, outputs: &mut Vec<Output>) {
        let Some(promised) = self.promised else { return };
        let excluded = self.accepted.as_ref().is_some_and(|accepted| {
            accepted.term == promised && !accepted.membership.includes(self.me)
        });
        let started = self.view().is_some_and(|view| view.term == promised);
        let timed_out = now.saturating_sub(self.promised_at) >= STALL_TIMEOUT;
        if timed_out && !excluded && !started && !self.overdue {
            self.overdue = true;
            outputs.push(Output::Overdue(promised));
        }
    }

    fn tick(&mut self, now: unit::Millis, outputs: &mut Vec<Output>) {
        self.check_overdue(now, outputs);
        let Some(active) = &mut self.active else { return };
        let others: Vec<_> =
            active.view.membership.peers().filter(|peer| *peer != self.me).collect();
        if now.saturating_sub(active.sent_at) >= RESEND_INTERVAL {
            active.sent_at = now;
            let votes: Vec<_> = active.last_vote.iter().chain(&active.own_vote).collect();
            for peer in &others {
                outputs.extend(votes.iter().map(|o| Output::Vote(*peer, (*o).clone())));
            }
        }
        let Some(own_vote) = &active.own_vote else { return };
        if active.stalled || now.saturating_sub(active.voted_at) < STALL_TIMEOUT {
            return;
        }
        active.stalled = true;
        let received =
            |peer: &instance::Peer| active.received.contains_key(&(own_vote.step, *peer));
        let missing = others.into_iter().filter(|peer| !received(peer)).collect();
        outputs.push(Output::Stalled(own_vote.step, missing));
    }
}
