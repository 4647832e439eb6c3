//! Hints on which upstreams hold the state of a prompt's beginning. A hint is never a fact: its
//! confidence halves with age, and the tables forget.

use indexmap::IndexMap;
use xxhash_rust::xxh3;

use crate::{id, unit};

/// Bytes of one chunk of a prompt.
pub const CHUNK_BYTES: usize = 1_024;

/// Tokens that a chunk counts for.
pub const CHUNK_TOKENS: u64 = 256;

/// Age at which a hint's confidence is one half.
pub const HALF_LIFE: unit::Millis = unit::Millis::new(60_000);

/// Hints of one generation; a full generation replaces the one before.
const MAX_HINTS: usize = 32_768;

/// Chunks of one prompt that are looked at.
const MAX_CHUNKS: usize = 128;

/// Upstreams of one hint.
const MAX_HOLDERS: usize = 3;

/// The chunks of a prompt, each hashed with all that come before it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prefix(Box<[u64]>);

impl Prefix {
    /// Hashes the whole chunks of `prompt`; `scope` keeps models apart.
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
    /// Notes that `vm` was sent a prompt with `prefix`.
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

    /// Upstreams that may hold a beginning of `prefix`, with the tokens that each is expected to
    /// hold: the matched ones times the hint's confidence.
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

    /// Hints held.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether no hint is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
