//! Detection of poison requests, which crash the upstreams that run them.
//!
//! A crash makes all requests in flight on that upstream suspects. A suspect is retried only in
//! isolation: alone, one at a time, on one selected upstream per data centre. It is poison if it
//! crashes that one too, and cleared otherwise. Being in flight at several crashes proves nothing,
//! since a popular request is in flight everywhere.

mod gate;
mod item;
mod register;
pub mod trial;

use std::fmt;

use xxhash_rust::xxh3;

use crate::admission;
use crate::id;
use crate::unit;

pub use gate::{Candidate, Decision, Gate};
pub use item::{Item, Kind};
pub use register::Register;

/// Short hash of a request's team, method, path and body.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Truncates the digest of a request.
    pub fn new(digest: &admission::Digest) -> Self {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest.as_bytes()[..16]);
        Self(bytes)
    }

    /// Creates a fingerprint from bytes received from another process.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Returns the raw hash.
    pub const fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fingerprint({self})")
    }
}

/// ID of an engine crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Crash(u64);

impl Crash {
    /// Hashes the ID of the `count`th crash seen by an upstream process.
    pub fn new(process: id::Incarnation, count: u64) -> Self {
        let mut bytes = process.get().to_le_bytes().to_vec();
        bytes.extend(count.to_le_bytes());
        Self(xxh3::xxh3_64(&bytes))
    }

    /// Creates an ID from a number received from another process.
    pub const fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Returns the ID as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Classification of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// There is no evidence against it.
    Clear,
    /// It was in flight during a crash: it may only run in isolation.
    Suspect,
    /// It crashed an upstream in isolation: it is refused.
    Poison,
}

/// Limits of a [`Register`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of fingerprints.
    pub fingerprints: usize,
    /// How long a crash counts against a request.
    pub lifetime: unit::Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self { fingerprints: 4096, lifetime: unit::Millis::new(600_000) }
    }
}

/// Selects the upstream that runs suspects from those of a data centre that could serve a request.
pub fn isolation_upstream<'a>(candidates: impl Iterator<Item = &'a id::Vm>) -> Option<&'a id::Vm> {
    candidates.min_by_key(|vm| (xxh3::xxh3_64(vm.as_str().as_bytes()), vm.as_str()))
}
