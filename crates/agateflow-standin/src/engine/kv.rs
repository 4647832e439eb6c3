//! KV caches of sequences, exported from one engine and imported into another.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The KV cache of one sequence, without its tensors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kv {
    /// Hash of the request's body, in hexadecimal.
    pub request: Box<str>,
    /// Tokens that it covers, of prompt and output.
    pub tokens: u64,
}

/// Imported caches whose requests have not arrived yet.
#[derive(Clone, Debug, Default)]
pub struct Imports {
    tokens: IndexMap<Box<str>, u64>,
}

impl Imports {
    /// Maximum number of imports.
    const MAX: usize = 1024;

    /// Adds an imported cache. If the list is full, the oldest import is dropped.
    pub fn add(&mut self, kv: Kv) {
        if self.tokens.len() >= Self::MAX {
            self.tokens.shift_remove_index(0);
        }
        self.tokens.insert(kv.request, kv.tokens);
    }

    /// Removes the import for the request whose body has this hash and returns its tokens.
    pub fn take(&mut self, body: u64) -> u64 {
        self.tokens.shift_remove(name(body).as_ref()).unwrap_or(0)
    }
}

/// Formats the hash of a request body.
pub fn name(body: u64) -> Box<str> {
    format!("{body:016x}").into()
}
