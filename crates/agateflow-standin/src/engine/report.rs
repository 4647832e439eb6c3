//! Load report of an engine.

use serde::{Deserialize, Serialize};

/// Load of an engine at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Number of the report. It grows with each change.
    pub version: u64,
    /// Sequences in the batch.
    pub running: u64,
    /// Sequences in the queue.
    pub waiting: u64,
    /// Prompt and output tokens of the sequences in the queue.
    pub queued_tokens: u64,
    /// Chunks in the prefix cache.
    pub cached_chunks: u64,
    /// Time of the last step, in milliseconds.
    pub step_ms: f64,
}
