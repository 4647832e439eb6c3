//! The three final outcomes of a request, as reported to callers.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};

/// Response header with the outcome of a request.
pub const HEADER: &str = "agateflow-outcome";

/// Final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran and its complete answer was delivered.
    Ran,
    /// The request provably did not run.
    NotRun,
    /// Neither of the two can be proven.
    Unknown,
}

impl Outcome {
    /// Name of the outcome in headers and problem documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Whether an HTTP status ends a request: others belong to no answer, or to one that is not complete.
pub const fn is_final(status: u16) -> bool {
    200 <= status && status <= 599
}

/// Whether an HTTP status tells callers that the request did not run and will not: they may send it
/// again even if it must not run twice.
pub const fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// A string that is not the name of an outcome.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not one of ran, not-run, unknown")]
pub struct Unrecognized(Box<str>);

impl str::FromStr for Outcome {
    type Err = Unrecognized;

    fn from_str(text: &str) -> Result<Self, Unrecognized> {
        match text {
            "ran" => Ok(Outcome::Ran),
            "not-run" => Ok(Outcome::NotRun),
            "unknown" => Ok(Outcome::Unknown),
            _ => Err(Unrecognized(text.into())),
        }
    }
}
