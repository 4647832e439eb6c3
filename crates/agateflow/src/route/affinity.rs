//! Prefix cache affinity: hints on which upstreams have cached the beginning of a prompt. A hint
//! may be wrong: its confidence decays with age, and old hints are evicted.

use indexmap::IndexMap;
use xxhash_rust::xxh3;

use crate::{id, unit};

/// Size of a prompt chunk in bytes.
pub const CHUNK_BYTES: usize = 1_024;

/// Estimated number of tokens per chunk.
pub const CHUNK_TOKENS: u64 = 256;

/// Age after which the confidence in a hint has halved.
pub const HALF_LIFE: unit::Millis = unit::Millis::new(60_000);

/// Maximum number of hints per generation; a full generation replaces the previous one.
const MAX_HINTS: usize = 32_768;

/// Maximum number of chunks hashed per prompt.
const MAX_CHUNKS: usize = 128;

/// Maximum number of upstreams per hint.
const MAX_HOLDERS: usize = 3;

/// Hashes of a prompt's chunks, each of which covers all chunks before it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prefix(Box<[u64]>);

impl Prefix {
    /// Hashes the complete chunks of `prompt`; `scope` separates models.
    pub fn new(scope: &str, prompt: &[u8]) -> Self {
        let mut hash = xxh3::xxh3_64(scope.as_bytes());
        let chunks = prompt.chunks_exact(CHUNK_BYTES).take(MAX_CHUNKS);
        let hashes = chunks.map(|chunk| {
            hash = xxh3::xxh3_64_with_seed(chunk, hash);
            hash
        });
        Self(hashes.collect())
    }
}

#[derive(Clone, Debug)]
struct Holder {
    vm: id::Vm,
    sent_at: unit::Millis,
}

/// A bounded table of hints.
#[derive(Clone, Debug, Default)]
pub struct Table {
    current: IndexMap<u64, Vec<Holder>>,
    previous: IndexMap<u64, Vec<Holder>>,
}

impl Table {
    /// Records that a prompt with `prefix` was sent to `vm`.
    pub fn insert(&mut self, prefix: &Prefix, vm: &id::Vm, now: unit::Millis) {
        for hash in &prefix.0 {
            if self.current.len() >= MAX_HINTS {
                self.previous = std::mem::take(&mut self.current);
            }
            let known = self.previous.swap_remove(hash);
            let holders = self.current.entry(*hash).or_insert_with(|| known.unwrap_or_default());
            holders.retain(|holder| holder.vm != *vm);
            holders.insert(0, Holder { vm: vm.clone(), sent_at: now });
            holders.truncate(MAX_HOLDERS);
        }
    }

    /// Returns the upstreams that may have cached a beginning of `prefix`, with the expected number
    /// of cached tokens: the matched tokens times the hint's confidence.
    pub fn holders(&self, prefix: &Prefix, now: unit::Millis) -> IndexMap<id::Vm, unit::Tokens> {
        let mut found = IndexMap::new();
        for (index, hash) in prefix.0.iter().enumerate() {
            let hint = self.current.get(hash).or_else(|| self.previous.get(hash));
            let Some(holders) = hint else { break };
            let tokens = (index as u64 + 1) * CHUNK_TOKENS;
            for holder in holders {
                let age = now.saturating_sub(holder.sent_at).get() as f64 / HALF_LIFE.get() as f64;
                let expected = unit::Tokens::new((tokens as f64 * 0.5_f64.powf(age)) as u64);
                let best = found.entry(holder.vm.clone()).or_insert(expected);
                *best = (*best).max(expected);
            }
        }
        found
    }

    /// Returns the number of hints.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Returns whether there are no hints.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
