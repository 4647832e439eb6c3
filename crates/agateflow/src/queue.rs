//! Request queue of an upstream process: weighted fair queueing with priorities and deadlines.
//!
//! Start-time fair queueing by tokens: within a priority class the team with the lowest start tag
//! is served next, and its tag grows by the item's tokens divided by the team's weight. Within a
//! team, the earliest deadline goes first. Higher classes go first, but a class that was bypassed
//! [`MAX_BYPASSES`] times in a row is served once.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use crate::config;
use crate::id;
use crate::unit;

/// Times in a row that a class with waiting items may be bypassed.
pub const MAX_BYPASSES: u32 = 16;

/// Shortest `Retry-After` of a refusal.
pub const MIN_RETRY_AFTER: unit::Millis = unit::Millis::new(1_000);

/// Longest `Retry-After` of a refusal.
pub const MAX_RETRY_AFTER: unit::Millis = unit::Millis::new(30_000);

/// Weight of the newest sample in the moving average of the service rate.
const SAMPLE_WEIGHT: f64 = 0.125;

/// Number of priority classes.
const CLASS_COUNT: usize = 3;

/// A queued attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// The attempt.
    pub id: id::Attempt,
    /// The team that sent it.
    pub team: id::Team,
    /// Priority class.
    pub priority: config::Priority,
    /// The team's weight within the class.
    pub weight: f64,
    /// Estimated work.
    pub tokens: unit::Tokens,
    /// Instant by which it must be complete.
    pub deadline: unit::Millis,
}

impl Item {
    /// Work in tokens, at least one: a call to a plain service has none.
    fn cost(&self) -> f64 {
        self.tokens.get().max(1) as f64
    }
}

/// Why an item was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The team holds as many items as there are free places in the queue.
    #[error("queue is full for the team, retry after {retry_after}")]
    Full {
        /// Time to wait before the next try.
        retry_after: unit::Millis,
    },
    /// By the estimate, the item would not complete before its deadline.
    #[error("deadline cannot be met, retry after {retry_after}")]
    Late {
        /// Time to wait before the next try.
        retry_after: unit::Millis,
    },
}

/// Items of one team in one class, ordered by deadline, then by arrival.
#[derive(Clone, Debug)]
struct Flow {
    items: BTreeMap<(unit::Millis, u64), Item>,
    start_tag: f64,
    weight: f64,
}

#[derive(Clone, Debug, Default)]
struct Class {
    flows: IndexMap<id::Team, Flow>,
    virtual_time: f64,
    bypasses: u32,
    waiting: usize,
}

/// Attempts waiting for the engine.
#[derive(Clone, Debug)]
pub struct Queue {
    capacity: usize,
    classes: [Class; CLASS_COUNT],
    locations: IndexMap<id::Attempt, (usize, id::Team, (unit::Millis, u64))>,
    arrivals: u64,
    rate: Option<f64>,
}

impl Queue {
    /// Creates an empty queue. A team may hold as many items as there are free places.
    pub fn new(capacity: usize) -> Self {
        let classes = Default::default();
        Self { capacity, classes, locations: IndexMap::new(), arrivals: 0, rate: None }
    }

    /// Number of queued items.
    pub fn waiting(&self) -> usize {
        self.locations.len()
    }

    /// Whether the attempt is queued.
    pub fn contains(&self, id: id::Attempt) -> bool {
        self.locations.contains_key(&id)
    }

    /// Updates the service rate: `tokens` took `time` while `slots` attempts ran in parallel.
    pub fn record_completion(&mut self, tokens: unit::Tokens, time: unit::Millis, slots: usize) {
        let sample = tokens.get().max(1) as f64 * slots as f64 / time.get().max(1) as f64;
        self.rate = Some(match self.rate {
            Some(rate) => rate + (sample - rate) * SAMPLE_WEIGHT,
            None => sample,
        });
    }

    /// Estimated time to serve all queued items; zero before the first completion.
    pub fn backlog(&self) -> unit::Millis {
        self.service_time(self.classes.iter().map(Class::work).sum())
    }

    fn service_time(&self, tokens: f64) -> unit::Millis {
        match self.rate {
            Some(rate) if rate > 0.0 => unit::Millis::new((tokens / rate) as u64),
            _ => unit::Millis::ZERO,
        }
    }

    /// Queues an item, unless the queue is full for its team or its deadline cannot be met.
    ///
    /// # Errors
    ///
    /// See [`Refusal`].
    pub fn push(&mut self, item: Item, now: unit::Millis) -> Result<(), Refusal> {
        let class = class_index(item.priority);
        let completion_time = self.completion_time(class, &item);
        let team_items = self.classes[class].flows.get(&item.team).map_or(0, |f| f.items.len());
        if team_items >= self.capacity.saturating_sub(self.locations.len()) {
            return Err(Refusal::Full { retry_after: clamp_retry_after(completion_time) });
        }
        if now >= item.deadline || now + completion_time > item.deadline {
            let excess = (now + completion_time).saturating_sub(item.deadline);
            return Err(Refusal::Late { retry_after: clamp_retry_after(excess) });
        }
        self.arrivals += 1;
        let key = (item.deadline, self.arrivals);
        self.remove(item.id);
        self.locations.insert(item.id, (class, item.team.clone(), key));
        self.classes[class].insert(key, item);
        Ok(())
    }

    /// Estimated time until the item completes: after all work in its class and above, or earlier
    /// if the team's fair share of its class gets there first.
    fn completion_time(&self, class: usize, item: &Item) -> unit::Millis {
        let own = item.cost();
        let higher: f64 = self.classes[..class].iter().map(Class::work).sum();
        let all = self.classes[class].work() + own;
        let fair = self.classes[class].fair_work(item) + own;
        self.service_time(higher + all.min(fair))
    }

    /// Removes and returns the next item to serve.
    pub fn pop(&mut self) -> Option<Item> {
        let class = self.next_class()?;
        for (index, other) in self.classes.iter_mut().enumerate() {
            match index == class {
                true => other.bypasses = 0,
                false if other.waiting > 0 => other.bypasses += 1,
                false => other.bypasses = 0,
            }
        }
        let item = self.classes[class].pop()?;
        self.locations.swap_remove(&item.id);
        Some(item)
    }

    fn next_class(&self) -> Option<usize> {
        let waiting = || (0..CLASS_COUNT).filter(|&c| self.classes[c].waiting > 0);
        let starved = waiting().find(|&class| self.classes[class].bypasses >= MAX_BYPASSES);
        starved.or_else(|| waiting().next())
    }

    /// Removes an item that is no longer wanted; returns whether it was queued.
    pub fn remove(&mut self, id: id::Attempt) -> bool {
        let Some((class, team, key)) = self.locations.swap_remove(&id) else {
            return false;
        };
        self.classes[class].remove(&team, key);
        true
    }
}

impl Class {
    fn work(&self) -> f64 {
        self.flows.values().map(Flow::work).sum()
    }

    /// Work that the class serves before `item`, if all its teams get their fair shares.
    fn fair_work(&self, item: &Item) -> f64 {
        let others = self.flows.iter().filter(|(t, f)| **t != item.team && !f.items.is_empty());
        let others: f64 = others.map(|(_, flow)| flow.weight).sum();
        let before = self.flows.get(&item.team).map_or(0.0, |flow| flow.work_until(item.deadline));
        let own = item.cost();
        (before + own) * (others + item.weight) / item.weight - own
    }

    fn insert(&mut self, key: (unit::Millis, u64), item: Item) {
        let start_tag = self.virtual_time;
        let weight = item.weight;
        let new_flow = || Flow { items: BTreeMap::new(), start_tag, weight };
        let flow = self.flows.entry(item.team.clone()).or_insert_with(new_flow);
        if flow.items.is_empty() {
            flow.start_tag = flow.start_tag.max(start_tag);
        }
        flow.weight = weight;
        flow.items.insert(key, item);
        self.waiting += 1;
    }

    fn pop(&mut self) -> Option<Item> {
        let flows = self.flows.values_mut().filter(|flow| !flow.items.is_empty());
        let flow = flows.min_by(|a, b| a.start_tag.total_cmp(&b.start_tag))?;
        let (_, item) = flow.items.pop_first()?;
        self.virtual_time = flow.start_tag;
        flow.start_tag += item.cost() / flow.weight;
        self.waiting -= 1;
        self.prune();
        Some(item)
    }

    fn remove(&mut self, team: &id::Team, key: (unit::Millis, u64)) {
        let Some(flow) = self.flows.get_mut(team) else { return };
        if flow.items.remove(&key).is_some() {
            self.waiting -= 1;
        }
        self.prune();
    }

    /// Drops teams without items, once their start tag is not ahead of the virtual time.
    fn prune(&mut self) {
        let now = self.virtual_time;
        self.flows.retain(|_, flow| !flow.items.is_empty() || flow.start_tag > now);
        if self.waiting == 0 {
            self.flows.clear();
            self.virtual_time = 0.0;
        }
    }
}

impl Flow {
    fn work(&self) -> f64 {
        self.items.values().map(Item::cost).sum()
    }

    fn work_until(&self, deadline: unit::Millis) -> f64 {
        let before = self.items.range(..=(deadline, u64::MAX));
        before.map(|(_, item)| item.cost()).sum()
    }
}

const fn class_index(priority: config::Priority) -> usize {
    match priority {
        config::Priority::High => 0,
        config::Priority::Normal => 1,
        config::Priority::Low => 2,
    }
}

fn clamp_retry_after(wait: unit::Millis) -> unit::Millis {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
