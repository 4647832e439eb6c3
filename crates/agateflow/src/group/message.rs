//! Messages between a coordinator and the ranks, and among the ranks.

use super::instance;
use super::term;

/// Instance, membership and first step of a term.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct View {
    /// The term.
    pub term: term::Term,
    /// The group instance that the term creates or continues.
    pub instance: instance::Instance,
    /// The participating ranks.
    pub membership: instance::Membership,
    /// The term's first step.
    pub first_step: u64,
}

/// A coordinator's message to a rank.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Order {
    /// Asks to load a map's experts while steps continue, before promises are collected.
    Load(term::Term, instance::Version),
    /// Asks for a promise to refuse lower terms.
    Collect(term::Term),
    /// Sends the view and asks to load the map's experts, once all participants have promised.
    Prepare(View, instance::Version),
    /// Lets the leader announce the map in its next vote.
    Commit(term::Term, instance::Version),
}

/// A rank's promise and its state at that time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Promise {
    /// The term.
    pub term: term::Term,
    /// The rank.
    pub from: instance::Peer,
    /// The next step that the rank may vote for.
    pub next: u64,
    /// The last view that it accepted.
    pub accepted: Option<View>,
}

impl Order {
    /// The term that the order belongs to.
    pub const fn term(&self) -> term::Term {
        match self {
            Order::Load(term, _) | Order::Collect(term) | Order::Commit(term, _) => *term,
            Order::Prepare(view, _) => view.term,
        }
    }
}

/// A rank's answer to a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Answer {
    /// The rank has loaded the map's experts.
    Loaded(term::Term, instance::Version, instance::Peer),
    /// The rank has promised the term.
    Promise(Promise),
    /// The rank has promised this higher term.
    Refused(instance::Peer, term::Term),
    /// The rank has accepted the view and loaded the map's experts.
    Prepared(term::Term, instance::Version, instance::Peer),
}

/// A rank's barrier message for one step, sent to each other member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Vote {
    /// The rank.
    pub from: instance::Peer,
    /// The term.
    pub term: term::Term,
    /// The step.
    pub step: u64,
    /// The map used in the step.
    pub version: instance::Version,
    /// Digest of the membership.
    pub membership: instance::Digest,
    /// From the leader only: the map to use from the next step on.
    pub next: Option<instance::Version>,
}

impl Vote {
    /// Whether both are for the same term, step, map and membership.
    pub fn agrees(&self, other: &Self) -> bool {
        let key = |o: &Self| (o.term, o.step, o.version, o.membership);
        key(self) == key(other)
    }
}
