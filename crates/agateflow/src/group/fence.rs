//! Orders to an engine, and the queue that checks their terms just before dispatch.

use std::collections::VecDeque;

use super::instance;
use super::term;
use crate::config;
use crate::id;

/// Number of low bits of a fencing number that hold the term's counter.
const COUNTER_BITS: u32 = 24;
/// Maximum number of orders queued for the engine.
pub const MAX_QUEUED: usize = 64;

/// The term does not fit into a fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("term {0} is too large for a fencing number")]
pub struct Overflow(pub term::Term);

/// The fencing number (token) of a term, as engines check it. A higher term has no lower number.
///
/// # Errors
///
/// The revision has more than 40 bits or the counter more than 24.
pub const fn number(term: term::Term) -> Result<u64, Overflow> {
    let revision = term.revision.get();
    if revision >> (u64::BITS - COUNTER_BITS) != 0 || term.counter >> COUNTER_BITS != 0 {
        return Err(Overflow(term));
    }
    Ok((revision << COUNTER_BITS) | term.counter)
}

/// A command to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Loads a model.
    Model(id::Model),
    /// Loads an adapter of a model.
    Adapter(id::Model, id::Adapter),
    /// Switches to a version of a model.
    Version(id::Model, Box<str>),
    /// Loads an expert of a layer, both numbered from 0.
    Expert(u32, u32),
    /// Changes the role.
    Role(instance::Role),
}

/// A command issued in a term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// The term.
    pub term: term::Term,
    /// Target rank. An order to an earlier run of it is refused.
    pub to: instance::Peer,
    /// Sequence number within the term. A repeat has the same.
    pub number: u64,
    /// The command.
    pub command: Command,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// A higher term is known.
    #[error("order of term {0} is older than term {1}")]
    Stale(term::Term, term::Term),
    /// An order with this number or a higher one was already queued.
    #[error("order {0} or a later one of the term was already queued")]
    Duplicate(u64),
    /// The order is for an earlier run of the rank, or for another rank.
    #[error("order is addressed to incarnation {0}")]
    WrongRank(id::Incarnation),
    /// The queue is full.
    #[error("order queue is full ({MAX_QUEUED} orders)")]
    Full,
    /// The term does not fit into a fencing number.
    #[error(transparent)]
    Number(#[from] Overflow),
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The order was carried out.
    Done,
    /// The engine has seen a higher fencing number.
    Fenced(u64),
}

/// An event of the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// First contact with this run of the engine, with the fencing support of its class.
    Attached(id::Incarnation, config::Fencing),
    /// An order was refused at dispatch.
    Refused(Order, Refusal),
    /// The engine refused an order because it has seen a higher fencing number.
    Fenced(Order, u64),
}

/// An order to be sent to the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The order.
    pub order: Order,
    /// The fencing number sent with it.
    pub fence: u64,
}

/// Order queue of one engine.
///
/// An engine that ignores fencing gets one order at a time, so that an order still in flight cannot
/// overtake one of a higher term.
#[derive(Clone, Debug)]
pub struct Queue {
    me: instance::Peer,
    fencing: config::Fencing,
    engine: Option<id::Incarnation>,
    highest: Option<term::Term>,
    last_taken: Option<(term::Term, u64)>,
    queued: VecDeque<Order>,
    dispatched: Vec<Order>,
}

impl Queue {
    /// Creates the queue of a rank for an engine with this fencing support.
    pub const fn new(me: instance::Peer, fencing: config::Fencing) -> Self {
        Self {
            me,
            fencing,
            engine: None,
            highest: None,
            last_taken: None,
            queued: VecDeque::new(),
            dispatched: Vec::new(),
        }
    }

    /// Records the engine's run, and reports its fencing support if the run is new.
    ///
    /// Orders in flight to an earlier run have ended with it.
    pub fn attach(&mut self, engine: id::Incarnation) -> Option<Event> {
        if self.engine == Some(engine) {
            return None;
        }
        self.engine = Some(engine);
        self.dispatched.clear();
        Some(Event::Attached(engine, self.fencing))
    }

    /// Records a term that the rank has promised.
    pub fn promise(&mut self, term: term::Term) {
        self.highest = self.highest.max(Some(term));
    }

    /// Queues an order.
    ///
    /// # Errors
    ///
    /// Any [`Refusal`].
    pub fn take(&mut self, order: Order) -> Result<(), Refusal> {
        number(order.term)?;
        self.check(&order)?;
        if self.last_taken.is_some_and(|last_taken| last_taken >= (order.term, order.number)) {
            return Err(Refusal::Duplicate(order.number));
        }
        if self.queued.len() >= MAX_QUEUED {
            return Err(Refusal::Full);
        }
        self.promise(order.term);
        self.last_taken = Some((order.term, order.number));
        self.queued.push_back(order);
        Ok(())
    }

    /// Checks the next order again and returns it, if the engine may have it now.
    ///
    /// Must be called right before the order is sent, after any wait.
    pub fn dispatch(&mut self) -> (Option<Dispatch>, Vec<Event>) {
        let mut events = Vec::new();
        let busy = self.fencing == config::Fencing::Ignored && !self.dispatched.is_empty();
        if busy || self.engine.is_none() {
            return (None, events);
        }
        while let Some(order) = self.queued.pop_front() {
            match self.check(&order).and_then(|()| Ok(number(order.term)?)) {
                Err(refusal) => events.push(Event::Refused(order, refusal)),
                Ok(fence) => {
                    self.dispatched.push(order.clone());
                    return (Some(Dispatch { order, fence }), events);
                }
            }
        }
        (None, events)
    }

    /// Records the engine's answer to a dispatched order.
    pub fn answered(&mut self, order: &Order, answer: Answer) -> Option<Event> {
        let index = self.dispatched.iter().position(|dispatched| dispatched == order)?;
        let order = self.dispatched.remove(index);
        match answer {
            Answer::Fenced(fence) => Some(Event::Fenced(order, fence)),
            Answer::Done => None,
        }
    }

    fn check(&self, order: &Order) -> Result<(), Refusal> {
        if order.to != self.me {
            return Err(Refusal::WrongRank(order.to.incarnation));
        }
        match self.highest {
            Some(highest) if highest > order.term => Err(Refusal::Stale(order.term, highest)),
            _ => Ok(()),
        }
    }
}
