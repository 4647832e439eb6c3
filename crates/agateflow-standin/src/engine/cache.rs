//! Prefix cache: chunks of prompts in bounded memory, with LRU eviction.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Bytes of prompt text in one chunk.
pub const CHUNK_BYTES: usize = 256;

/// Tokens of one chunk.
pub const CHUNK_TOKENS: u64 = 64;

/// What happened to a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
}

/// A published change of the cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Sequence number of the event, from 1 without gaps.
    pub number: u64,
    /// The change.
    pub change: Change,
    /// Hash of the chunk, in hexadecimal.
    pub chunk: Box<str>,
}

/// Computes the hashes of the whole chunks of a prompt. Each covers all text before it.
pub fn chunks(model: &str, prompt: &str) -> Vec<u64> {
    let mut hash = xxh3::xxh3_64(model.as_bytes());
    let whole = prompt.as_bytes().chunks_exact(CHUNK_BYTES);
    whole
        .map(|chunk| {
            hash = xxh3::xxh3_64_with_seed(chunk, hash);
            hash
        })
        .collect()
}

/// The chunks in memory, the least recently used one first.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    chunks: IndexSet<u64>,
    limit: usize,
    number: u64,
}

impl Cache {
    /// Creates a cache of at most `limit` chunks.
    pub fn new(limit: usize) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Chunks in memory.
    pub fn len(&self) -> usize {
        self.chunks.len()
    }

    /// Uses the chunks of a prompt: counts those of its longest cached prefix, and stores the rest.
    pub fn use_prefix(&mut self, chunks: &[u64]) -> (u64, Vec<Event>) {
        let cached = chunks.iter().take_while(|chunk| self.chunks.contains(*chunk)).count();
        let mut events = Vec::new();
        for &chunk in chunks {
            self.store(chunk, &mut events);
        }
        (cached as u64, events)
    }

    fn store(&mut self, chunk: u64, events: &mut Vec<Event>) {
        if self.limit == 0 {
            return;
        }
        if self.chunks.shift_remove(&chunk) {
            self.chunks.insert(chunk);
            return;
        }
        if self.chunks.len() >= self.limit
            && let Some(oldest) = self.chunks.shift_remove_index(0)
        {
            events.push(self.event(Change::Evicted, oldest));
        }
        self.chunks.insert(chunk);
        events.push(self.event(Change::Stored, chunk));
    }

    fn event(&mut self, change: Change, chunk: u64) -> Event {
        self.number += 1;
        Event { number: self.number, change, chunk: format!("{chunk:016x}").into() }
    }
}
