//! Requests queued at an entry for capacity at a service's upstreams.
//!
//! Requests go by priority; within a priority, those that can still meet their objective go first,
//! in order of arrival. A request is dropped once it has waited as long as callers do, and is
//! refused at once if the expected wait is that long.

use indexmap::IndexMap;

use crate::unit;

/// Shortest retry delay given to a refused caller.
const MIN_RETRY_AFTER: unit::Millis = unit::Millis::new(250);

/// Longest retry delay given to a refused caller.
const MAX_RETRY_AFTER: unit::Millis = unit::Millis::new(2_000);

/// Weight of the newest sample in the mean time between departures.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Cap on the time between departures: longer gaps are idle times.
const MAX_GAP_MS: f64 = 400.0;

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request to queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time of arrival.
    pub arrived: unit::Millis,
    /// Latest start that meets the objective.
    pub on_time_until: unit::Millis,
    /// Latest useful start.
    pub latest_start: unit::Millis,
    /// Latest useful start while a group of ranks is closed and due to reopen.
    pub latest_start_if_closed: unit::Millis,
}

/// The queue of one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    items: IndexMap<Ticket, Item>,
    next_ticket: u64,
    departure_gap_ms: Option<f64>,
    last_departure: Option<unit::Millis>,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Expected wait of a new request of `priority`, behind those of the same or higher priority.
    pub fn expected_wait(&self, priority: u8) -> unit::Millis {
        let ahead = self.items.values().filter(|item| item.priority <= priority).count();
        unit::Millis::new((ahead as f64 * self.departure_gap_ms.unwrap_or(0.0)) as u64)
    }

    /// Delay after which a refused caller of `priority` should retry, given the present queue.
    pub fn retry_after(&self, priority: u8) -> unit::Millis {
        self.expected_wait(priority).max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER)
    }

    /// Queues a request. Returns `None` if it would wait beyond its latest start.
    pub fn push(&mut self, item: Item, now: unit::Millis) -> Option<Ticket> {
        if now + self.expected_wait(item.priority) > item.latest_start {
            return None;
        }
        Some(self.insert(item))
    }

    /// Queues a request until a closed group reopens. Returns `None` if `places` requests are
    /// queued already, as no more can start then.
    pub fn push_while_closed(&mut self, item: Item, places: usize) -> Option<Ticket> {
        if self.items.len() >= places {
            return None;
        }
        Some(self.insert(item))
    }

    /// Extends the latest start of all queued requests, which now wait for a closed group to
    /// reopen.
    pub fn extend_for_opening(&mut self) {
        for item in self.items.values_mut() {
            item.latest_start = item.latest_start.max(item.latest_start_if_closed);
        }
    }

    fn insert(&mut self, item: Item) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.items.insert(ticket, item);
        ticket
    }

    /// The request to serve next.
    pub fn peek(&self, now: unit::Millis) -> Option<Ticket> {
        let order_key = |item: &Item| (item.priority, now > item.on_time_until, item.arrived);
        let first = self.items.iter().min_by_key(|(ticket, item)| (order_key(item), **ticket));
        first.map(|(&ticket, _)| ticket)
    }

    /// Removes a request that got capacity, and updates the mean time between departures.
    pub fn serve(&mut self, ticket: Ticket, now: unit::Millis) {
        self.remove(ticket);
        if let Some(last_departure) = self.last_departure {
            let gap = (now.saturating_sub(last_departure).get() as f64).min(MAX_GAP_MS);
            let mean = self.departure_gap_ms.unwrap_or(gap);
            self.departure_gap_ms = Some(mean + (gap - mean) * SAMPLE_WEIGHT);
        }
        self.last_departure = Some(now);
    }

    /// Removes a request that was not served.
    pub fn remove(&mut self, ticket: Ticket) {
        self.items.shift_remove(&ticket);
    }

    /// Removes and returns the requests whose latest start has passed.
    pub fn expire(&mut self, now: unit::Millis) -> Vec<Ticket> {
        let expired = self.items.iter().filter(|(_, item)| now > item.latest_start);
        let expired: Vec<Ticket> = expired.map(|(&ticket, _)| ticket).collect();
        for ticket in &expired {
            self.items.shift_remove(ticket);
        }
        expired
    }
}
