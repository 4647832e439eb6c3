//! Finds parts of prompts that crash the upstreams that begin to answer them.
//!
//! Requests with such a part are alike in nothing else, and sound requests share their other parts.
//! So each crash names the parts of all requests that the upstream had not begun to answer, and a
//! part is quarantined once it alone explains several crashes. Parts that were answered since a crash
//! did not cause it. Entries exchange what they see as [`Item`]s.

mod answers;
mod attribution;
mod register;

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use super::suspect;
use crate::unit;

pub use register::Register;

/// How long a crash is remembered.
pub const LIFETIME: unit::Millis = unit::Millis::new(600_000);

/// Identifies a part of prompts at one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Part(u64);

impl Part {
    /// Hashes the name of a service or model, and the part's id or content.
    pub fn new(service: &str, part: &[u8]) -> Self {
        Self(xxh3::xxh3_64_with_seed(part, xxh3::xxh3_64(service.as_bytes())))
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What is known of a part with regard to one crash. Later variants replace earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// No request with the part is known to have been answered.
    Unanswered,
    /// Requests with it were answered before the crash.
    AnsweredBefore,
    /// A request with it was answered after the crash, so it did not cause the crash.
    AnsweredSince,
}

/// Evidence on one part in one crash, as sent to other entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// The part.
    pub part: Part,
    /// The upstream that crashed.
    pub crash: suspect::Incarnation,
    /// The evidence.
    pub evidence: Evidence,
    /// Time from the sending of the last request with the part to the crash.
    pub run_time: unit::Millis,
    /// An earlier crash with the part, after which the entry sent that request.
    pub after: Option<suspect::Incarnation>,
    /// Time until the crash is forgotten.
    pub ttl: unit::Millis,
}

/// Parts whose requests are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exclusion {
    /// The parts. Where the crashes do not tell several of them apart, only requests with all of
    /// them are refused.
    pub parts: Box<[Part]>,
    /// Number of separate times at which they crashed upstreams.
    pub crashes: usize,
    /// When their requests are admitted again.
    pub until: unit::Millis,
}

impl Exclusion {
    /// Whether it applies to a request with `parts`.
    pub fn applies_to(&self, parts: &[Part]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }
}

impl fmt::Display for Exclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts: Vec<String> = self.parts.iter().map(ToString::to_string).collect();
        f.write_str(&parts.join(" "))
    }
}
