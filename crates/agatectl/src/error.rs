//! Errors of the tool, each with the step at which it arose.

use std::io;
use std::path::Path;

use crate::exit_codes::ExitCode;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file could not be read or written.
    #[error("{step} {path}: {source}")]
    File {
        /// What was being done.
        step: &'static str,
        /// The file.
        path: Box<str>,
        /// The cause.
        source: io::Error,
    },
    /// A step failed for the stated reason.
    #[error("{step}: {reason}")]
    Step {
        /// What was being done.
        step: &'static str,
        /// The cause.
        reason: Box<str>,
    },
}

impl Error {
    /// Creates the error of a file operation.
    pub fn file(step: &'static str, path: &Path, source: io::Error) -> Self {
        Error::File { step, path: path.display().to_string().into(), source }
    }

    /// Creates the error of a step that failed for `reason`.
    pub fn step(step: &'static str, reason: impl ToString) -> Self {
        Error::Step { step, reason: reason.to_string().into() }
    }

    /// The exit code that the error maps to.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Error::File { .. } | Error::Step { .. } => ExitCode::Failure,
        }
    }
}
