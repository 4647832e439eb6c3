//! Gossip of small opaque items among the entries of all data centres.
//!
//! A process forwards each new item a fixed number of times, so that it reaches all entries in a few
//! rounds. The send rate is bounded however many items there are: under load, items arrive later.

use std::cmp;

use indexmap::IndexMap;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::unit;

/// Maximum length of a key.
pub const MAX_KEY_BYTES: usize = 24;
/// Maximum length of a value.
pub const MAX_VALUE_BYTES: usize = 64;
/// Maximum number of stored items; when full, the item that expires first is evicted.
pub const MAX_ITEMS: usize = 4_096;
/// Maximum time to live of an item.
pub const MAX_TTL: unit::Millis = unit::Millis::new(3_600_000);
/// Number of times that a process forwards a new item.
pub const SENDS_PER_ITEM: u8 = 6;
const REFRESH_ITEMS: usize = 8;
const BATCH_BYTES: usize = 900;
const ITEM_OVERHEAD_BYTES: usize = 24;

/// An item as encoded in a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Identifies the item, 1 to [`MAX_KEY_BYTES`] bytes.
    pub key: Box<[u8]>,
    /// The item with the highest version under a key replaces the others.
    pub version: u64,
    /// Remaining time until the item expires.
    #[serde(rename = "left")]
    pub ttl: unit::Millis,
    /// Opaque payload, up to [`MAX_VALUE_BYTES`] bytes.
    pub value: Box<[u8]>,
}

impl Item {
    /// Whether the key, value and TTL are within bounds.
    pub fn is_valid(&self) -> bool {
        let key = 1..=MAX_KEY_BYTES;
        key.contains(&self.key.len())
            && self.value.len() <= MAX_VALUE_BYTES
            && self.ttl <= MAX_TTL
            && self.ttl > unit::Millis::ZERO
    }
}

#[derive(Clone, Debug)]
struct Slot {
    version: u64,
    expires: unit::Millis,
    value: Box<[u8]>,
    sends_left: u8,
}

/// The items that a process knows.
#[derive(Clone, Debug, Default)]
pub struct Store {
    slots: IndexMap<Box<[u8]>, Slot>,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Inserts an item from this process or a peer. Returns whether it was valid and new.
    pub fn insert(&mut self, item: &Item, now: unit::Millis) -> bool {
        let known = self.slots.get(&item.key);
        if !item.is_valid() || known.is_some_and(|slot| slot.version >= item.version) {
            return false;
        }
        if known.is_none() && self.slots.len() >= MAX_ITEMS {
            self.evict();
        }
        let expires = now + item.ttl;
        let slot = Slot {
            version: item.version,
            expires,
            value: item.value.clone(),
            sends_left: SENDS_PER_ITEM,
        };
        self.slots.insert(item.key.clone(), slot);
        true
    }

    fn evict(&mut self) {
        let first = self.slots.values().enumerate().min_by_key(|(_, slot)| slot.expires);
        if let Some(index) = first.map(|(index, _)| index) {
            self.slots.swap_remove_index(index);
        }
    }

    /// Removes expired items.
    pub fn expire(&mut self, now: unit::Millis) {
        self.slots.retain(|_, slot| slot.expires > now);
    }

    /// Schedules a few random items for one more send, to repair losses.
    pub fn refresh(&mut self, rng: &mut impl Rng) {
        for _ in 0..REFRESH_ITEMS.min(self.slots.len()) {
            let index = rng.random_range(0..self.slots.len());
            if let Some((_, slot)) = self.slots.get_index_mut(index) {
                slot.sends_left = slot.sends_left.max(1);
            }
        }
    }

    /// Schedules every item for sending again, for peers that may have missed some.
    pub fn resend_all(&mut self) {
        for slot in self.slots.values_mut() {
            slot.sends_left = SENDS_PER_ITEM;
        }
    }

    /// Whether any item still has to be sent.
    pub fn has_pending(&self) -> bool {
        self.slots.values().any(|slot| slot.sends_left > 0)
    }

    /// Returns the next items to send, least sent first, as many as fit into a datagram.
    pub fn next_batch(&mut self, now: unit::Millis) -> Box<[Item]> {
        let pending = self.slots.iter_mut().filter(|(_, slot)| slot.sends_left > 0);
        let mut pending: Vec<_> = pending.collect();
        pending.sort_by_key(|(_, slot)| cmp::Reverse(slot.sends_left));
        let mut bytes_left = BATCH_BYTES;
        let mut items = Vec::new();
        for (key, slot) in pending {
            let size = key.len() + slot.value.len() + ITEM_OVERHEAD_BYTES;
            if size > bytes_left {
                break;
            }
            bytes_left -= size;
            slot.sends_left -= 1;
            let ttl = slot.expires.saturating_sub(now);
            items.push(Item {
                key: key.clone(),
                version: slot.version,
                ttl,
                value: slot.value.clone(),
            });
        }
        items.retain(Item::is_valid);
        items.into()
    }

    /// Version and value of the unexpired item under `key`.
    pub fn get(&self, key: &[u8], now: unit::Millis) -> Option<(u64, &[u8])> {
        let slot = self.slots.get(key).filter(|slot| slot.expires > now)?;
        Some((slot.version, &slot.value))
    }

    /// The number of stored items, including expired ones not yet removed.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no item is stored.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
