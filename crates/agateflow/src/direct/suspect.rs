//! Detects requests that crash upstreams by their content: the same caller, method, path and body
//! return under other ids and at other entries.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{admission, unit};

/// Upstreams that one request may crash before it is refused.
const MAX_CRASHES: usize = 3;

/// Time after its last crash until a request is forgotten.
const SUSPECT_TTL: unit::Millis = unit::Millis::new(60_000);

/// Maximum number of requests to track.
const MAX_SUSPECTS: usize = 4_096;

/// Identifies a request by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Hashes a request.
    pub fn new(team: &str, method: &str, target: &str, body: &[u8]) -> Self {
        Self::with_body_hash(team, method, target, xxh3::xxh3_64(body))
    }

    /// Hashes a request whose body is in parts, as if they were joined.
    pub fn with_parts<'a>(
        team: &str,
        method: &str,
        target: &str,
        body: impl Iterator<Item = &'a [u8]>,
    ) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        body.for_each(|part| hasher.update(part));
        Self::with_body_hash(team, method, target, hasher.digest())
    }

    fn with_body_hash(team: &str, method: &str, target: &str, body: u64) -> Self {
        let mut hash = body;
        for part in [team, method, target] {
            hash = xxh3::xxh3_64_with_seed(part.as_bytes(), hash);
        }
        Self(hash)
    }

    /// Shortens a request's digest, if the caller has one.
    pub fn from_digest(digest: &admission::Digest) -> Self {
        Self(xxh3::xxh3_64(digest.as_bytes()))
    }
}

/// Hash of an upstream's identity and start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Hashes an upstream's identity and start time.
    pub fn new(vm: &str, started_at: u64) -> Self {
        Self(xxh3::xxh3_64_with_seed(vm.as_bytes(), started_at))
    }
}

/// A crash of an upstream with a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// The upstream that crashed.
    pub upstream: Incarnation,
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: Vec<Incarnation>,
    last_crash: unit::Millis,
}

/// Requests that were in flight at crashes.
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

    /// Sets how many upstreams one request may crash before it is refused.
    pub const fn with_max_crashes(mut self, max_crashes: usize) -> Self {
        self.max_crashes = max_crashes;
        self
    }

    /// Records a crash. Returns whether it was unknown before.
    pub fn record_crash(&mut self, crash: Crash, now: unit::Millis) -> bool {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.shift_remove_index(0);
        }
        let new_suspect = || Suspect { crashes: Vec::new(), last_crash: now };
        let suspect = self.suspects.entry(crash.request).or_insert_with(new_suspect);
        let is_new = !suspect.crashes.contains(&crash.upstream);
        if is_new {
            suspect.crashes.push(crash.upstream);
            suspect.last_crash = now;
        }
        is_new
    }

    /// Forgets a request that completed successfully, so it does not crash upstreams.
    pub fn clear(&mut self, request: Fingerprint) {
        self.suspects.shift_remove(&request);
    }

    /// Number of crashes recorded against a request.
    pub fn crashes(&self, request: Fingerprint) -> usize {
        self.suspects.get(&request).map_or(0, |suspect| suspect.crashes.len())
    }

    /// Whether the request must be refused.
    pub fn is_poison(&self, request: Fingerprint, now: unit::Millis) -> bool {
        let suspect = self.suspects.get(&request).filter(|s| now < s.last_crash + SUSPECT_TTL);
        suspect.is_some_and(|suspect| suspect.crashes.len() >= self.max_crashes)
    }
}
