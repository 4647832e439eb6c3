//! Requests that may crash the upstreams that run them, by what they hold: the same caller, method,
//! path and body come again under other ids and at other entries.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{admission, unit};

/// Upstreams that one request may take down before it is refused.
const MAX_CRASHES: usize = 3;

/// Time after its last crash for which a request is remembered.
const LIFE: unit::Millis = unit::Millis::new(60_000);

/// Most requests remembered.
const MAX_SUSPECTS: usize = 4_096;

/// What identifies a request that comes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Hashes a request.
    pub fn new(team: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let mut hash = xxh3::xxh3_64(body);
        for part in [team, method, target] {
            hash = xxh3::xxh3_64_with_seed(part.as_bytes(), hash);
        }
        Self(hash)
    }

    /// Shortens the digest of a request, where it is known.
    pub fn from_digest(digest: &admission::Digest) -> Self {
        Self(xxh3::xxh3_64(digest.as_bytes()))
    }
}

/// One lifetime of an upstream, hashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Lifetime(u64);

impl Lifetime {
    /// Hashes an upstream's identity and its start.
    pub fn new(vm: &str, born: u64) -> Self {
        Self(xxh3::xxh3_64_with_seed(vm.as_bytes(), born))
    }
}

/// A crash with a request that was in progress there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// The upstream that crashed.
    pub upstream: Lifetime,
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: Vec<Lifetime>,
    last: unit::Millis,
}

/// Requests that were in progress at crashes.
#[derive(Clone, Debug)]
pub struct Register {
    max_crashes: usize,
    suspects: IndexMap<Fingerprint, Suspect>,
}

impl Default for Register {
    fn default() -> Self {
        Self::new()
    }
}

impl Register {
    /// Creates an empty register.
    pub fn new() -> Self {
        Self { max_crashes: MAX_CRASHES, suspects: IndexMap::new() }
    }

    /// Changes how many upstreams one request may take down before it is refused.
    pub const fn with_max_crashes(mut self, max_crashes: usize) -> Self {
        self.max_crashes = max_crashes;
        self
    }

    /// Takes in a crash. Says whether it was news.
    pub fn crash(&mut self, crash: Crash, now: unit::Millis) -> bool {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.shift_remove_index(0);
        }
        let new = || Suspect { crashes: Vec::new(), last: now };
        let suspect = self.suspects.entry(crash.request).or_insert_with(new);
        let news = !suspect.crashes.contains(&crash.upstream);
        if news {
            suspect.crashes.push(crash.upstream);
            suspect.last = now;
        }
        news
    }

    /// The request ran to a good end: it does not crash upstreams.
    pub fn clear(&mut self, request: Fingerprint) {
        self.suspects.shift_remove(&request);
    }

    /// Whether the request is refused.
    pub fn is_poison(&self, request: Fingerprint, now: unit::Millis) -> bool {
        let suspect = self.suspects.get(&request).filter(|s| now < s.last + LIFE);
        suspect.is_some_and(|suspect| suspect.crashes.len() >= self.max_crashes)
    }
}
