//! The coordinator of a group instance: the live rank with the lowest number.

use std::collections::{BTreeMap, BTreeSet};

use super::instance;
use super::message;
use super::term;
use crate::unit;

/// Interval between repeats of an unanswered order.
pub const RESEND_INTERVAL: unit::Millis = unit::Millis::new(100);
/// Time after which ranks that have not answered an order are reported.
pub const ANSWER_TIMEOUT: unit::Millis = unit::Millis::new(1000);

/// A map that may be used, and the ranks that it requires.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    /// The map.
    pub version: instance::Version,
    /// Numbers of the ranks without which an expert is not covered.
    pub required: BTreeSet<u16>,
}

/// An input of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Forms the group. A leaving rank must promise the term but does not take part.
    Formation(Formation),
    /// Switches to a later map.
    ChangeMap(instance::Version),
    /// A rank's answer.
    Answer(message::Answer),
    /// Timer tick.
    Tick,
}

/// The first membership of a group, or a change of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Formation {
    /// Revision of the configuration in force.
    pub revision: unit::Revision,
    /// The live ranks that take part.
    pub membership: instance::Membership,
    /// The live ranks that leave.
    pub leaving: Vec<instance::Peer>,
    /// Maps that may be used, in order of preference.
    pub candidates: Vec<Candidate>,
}

/// An action of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Output {
    /// Sends an order to a rank.
    Order(instance::Peer, message::Order),
    /// Another rank has the lowest number and is the coordinator.
    NotLowest(instance::Peer),
    /// No map covers every expert: stop admission and resume or move the streams elsewhere.
    Uncovered(Vec<u16>),
    /// A term of this later configuration is known: the older one forms no group.
    Outdated(unit::Revision),
    /// A rank has promised a higher term: this coordinator stops.
    Superseded(term::Term),
    /// These ranks have not answered in time: form the group again without the dead ones.
    Unresponsive(Vec<instance::Peer>),
    /// All ranks have promised and prepared; the leader's next vote puts the map into use.
    Committed(term::Term, instance::Version),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Loading(BTreeSet<instance::Peer>),
    Collecting(BTreeMap<instance::Peer, message::Promise>),
    Preparing(BTreeSet<instance::Peer>),
    Committed,
}

/// State of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    me: instance::Peer,
    /// The highest term known, of this coordinator or another.
    highest: Option<term::Term>,
    term: Option<term::Term>,
    participants: BTreeSet<instance::Peer>,
    membership: instance::Membership,
    view: Option<message::View>,
    version: Option<instance::Version>,
    phase: Phase,
    phase_started_at: unit::Millis,
    sent_at: unit::Millis,
    timeout_reported: bool,
}

impl Coordinator {
    /// Creates an idle coordinator.
    pub fn new(me: instance::Peer) -> Self {
        Self {
            me,
            highest: None,
            term: None,
            participants: BTreeSet::new(),
            membership: instance::Membership::new(Vec::new()),
            view: None,
            version: None,
            phase: Phase::Idle,
            phase_started_at: unit::Millis::ZERO,
            sent_at: unit::Millis::ZERO,
            timeout_reported: false,
        }
    }

    /// The term, once all ranks have promised.
    pub fn term(&self) -> Option<term::Term> {
        self.view.as_ref().map(|view| view.term)
    }

    /// The view, once all ranks have promised.
    pub const fn view(&self) -> Option<&message::View> {
        self.view.as_ref()
    }

    /// Records a term seen elsewhere, so that this coordinator's next one is higher.
    pub fn note(&mut self, term: term::Term) {
        self.highest = self.highest.max(Some(term));
    }

    /// Handles an input; `now` is read from the process's own clock.
    pub fn handle(&mut self, input: Input, now: unit::Millis) -> Vec<Output> {
        match input {
            Input::Formation(form) => self.form(form, now),
            Input::ChangeMap(version) => self.change_map(version, now),
            Input::Answer(answer) => self.handle_answer(answer, now),
            Input::Tick => self.tick(now),
        }
    }

    fn form(&mut self, form: Formation, now: unit::Millis) -> Vec<Output> {
        let members: Vec<_> = form.membership.peers().collect();
        match members.first() {
            Some(lowest) if *lowest == self.me => {}
            Some(lowest) => return vec![Output::NotLowest(*lowest)],
            None => return Vec::new(),
        }
        if let Some(known) = self.highest.filter(|term| term.revision > form.revision) {
            return vec![Output::Outdated(known.revision)];
        }
        let live: BTreeSet<_> = members.iter().map(|peer| peer.number).collect();
        let Some(candidate) =
            form.candidates.iter().find(|candidate| candidate.required.is_subset(&live))
        else {
            self.phase = Phase::Idle;
            self.term = None;
            self.view = None;
            let required = form.candidates.first().map(|candidate| &candidate.required - &live);
            return vec![Output::Uncovered(required.unwrap_or_default().into_iter().collect())];
        };
        let counter = self.highest.map_or(0, |term| term.counter) + 1;
        let term = term::Term::new(form.revision, counter, self.me.incarnation);
        self.note(term);
        self.term = Some(term);
        self.view = None;
        self.version = Some(candidate.version);
        self.participants = members.into_iter().chain(form.leaving).collect();
        self.membership = form.membership;
        self.enter_phase(Phase::Loading(BTreeSet::new()), now)
    }

    fn change_map(&mut self, version: instance::Version, now: unit::Millis) -> Vec<Output> {
        let later = self.version.is_none_or(|known| version.number > known.number);
        if !later || !matches!(self.phase, Phase::Committed) {
            return Vec::new();
        }
        self.version = Some(version);
        self.enter_phase(Phase::Preparing(BTreeSet::new()), now)
    }

    fn enter_phase(&mut self, phase: Phase, now: unit::Millis) -> Vec<Output> {
        self.phase = phase;
        self.phase_started_at = now;
        self.sent_at = now;
        self.timeout_reported = false;
        self.orders()
    }

    /// The phase's orders to the ranks that have not answered.
    fn orders(&self) -> Vec<Output> {
        let (Some(term), Some(version)) = (self.term, self.version) else { return Vec::new() };
        let order = match (&self.phase, &self.view) {
            (Phase::Loading(_), _) => message::Order::Load(term, version),
            (Phase::Collecting(_), _) => message::Order::Collect(term),
            (Phase::Preparing(_), Some(view)) => message::Order::Prepare(view.clone(), version),
            (Phase::Committed, _) => message::Order::Commit(term, version),
            _ => return Vec::new(),
        };
        let mut peers = self.unanswered();
        if matches!(self.phase, Phase::Preparing(_)) {
            peers.extend(self.participants.iter().filter(|peer| !self.membership.includes(**peer)));
        }
        if matches!(self.phase, Phase::Committed) {
            peers.extend(self.membership.leader());
        }
        peers.into_iter().map(|peer| Output::Order(peer, order.clone())).collect()
    }

    /// The ranks that have not answered in this phase.
    fn unanswered(&self) -> Vec<instance::Peer> {
        match &self.phase {
            Phase::Idle | Phase::Committed => Vec::new(),
            Phase::Collecting(promises) => self
                .participants
                .iter()
                .copied()
                .filter(|peer| !promises.contains_key(peer))
                .collect(),
            Phase::Loading(completed) | Phase::Preparing(completed) => {
                self.membership.peers().filter(|peer| !completed.contains(peer)).collect()
            }
        }
    }

    fn handle_answer(&mut self, answer: message::Answer, now: unit::Millis) -> Vec<Output> {
        match answer {
            message::Answer::Refused(_, promised) => self.refused(promised),
            message::Answer::Promise(promise) => self.promised(promise, now),
            message::Answer::Loaded(term, version, from)
                if matches!(self.phase, Phase::Loading(_)) =>
            {
                self.completed(term, version, from, now)
            }
            message::Answer::Prepared(term, version, from)
                if matches!(self.phase, Phase::Preparing(_)) =>
            {
                self.completed(term, version, from, now)
            }
            message::Answer::Loaded(..) | message::Answer::Prepared(..) => Vec::new(),
        }
    }

    fn refused(&mut self, promised: term::Term) -> Vec<Output> {
        self.note(promised);
        if self.term.is_none_or(|term| promised <= term) {
            return Vec::new();
        }
        self.term = None;
        self.view = None;
        self.phase = Phase::Idle;
        vec![Output::Superseded(promised)]
    }

    fn promised(&mut self, promise: message::Promise, now: unit::Millis) -> Vec<Output> {
        let Phase::Collecting(promises) = &mut self.phase else { return Vec::new() };
        if Some(promise.term) != self.term || !self.participants.contains(&promise.from) {
            return Vec::new();
        }
        promises.entry(promise.from).or_insert(promise);
        if promises.len() < self.participants.len() {
            return Vec::new();
        }
        let promises = std::mem::take(promises);
        self.view = self.term.map(|term| view(term, &self.membership, &promises));
        self.enter_phase(Phase::Preparing(BTreeSet::new()), now)
    }

    /// Records that a member has loaded or prepared the map; starts the next phase once all have.
    fn completed(
        &mut self,
        term: term::Term,
        version: instance::Version,
        from: instance::Peer,
        now: unit::Millis,
    ) -> Vec<Output> {
        let current = Some(term) == self.term && Some(version) == self.version;
        let (Phase::Loading(completed) | Phase::Preparing(completed)) = &mut self.phase else {
            return Vec::new();
        };
        if !current || !self.membership.includes(from) {
            return Vec::new();
        }
        completed.insert(from);
        if completed.len() < self.membership.members().len() {
            return Vec::new();
        }
        if matches!(self.phase, Phase::Loading(_)) {
            return self.enter_phase(Phase::Collecting(BTreeMap::new()), now);
        }
        let mut outputs = self.enter_phase(Phase::Committed, now);
        outputs.push(Output::Committed(term, version));
        outputs
    }

    fn tick(&mut self, now: unit::Millis) -> Vec<Output> {
        let mut outputs = Vec::new();
        if now.saturating_sub(self.sent_at) >= RESEND_INTERVAL {
            self.sent_at = now;
            outputs = self.orders();
        }
        let unanswered = self.unanswered();
        if !unanswered.is_empty()
            && !self.timeout_reported
            && now.saturating_sub(self.phase_started_at) >= ANSWER_TIMEOUT
        {
            self.timeout_reported = true;
            outputs.push(Output::Unresponsive(unanswered));
        }
        outputs
    }
}

/// The view of a term, from the promises of all participants.
///
/// It continues the latest instance that they know of if all its members promised, so that none of
/// them can run steps in a lower term, and one of them stays. Otherwise it creates an instance.
fn view(
    term: term::Term,
    membership: &instance::Membership,
    promises: &BTreeMap<instance::Peer, message::Promise>,
) -> message::View {
    let accepted_views = promises.values().filter_map(|promise| promise.accepted.as_ref());
    let latest = accepted_views.max_by_key(|accepted| accepted.term).filter(|accepted| {
        let previous = &accepted.membership;
        previous.overlaps(membership) && previous.peers().all(|peer| promises.contains_key(&peer))
    });
    message::View {
        term,
        instance: latest.map_or(instance::Instance(term), |accepted| accepted.instance),
        membership: membership.clone(),
        first_step: promises.values().map(|promise| promise.next).max().unwrap_or(0),
    }
}
