//! Exit codes of the daemon.

use std::process;

/// How the process ended, as the shell sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// It drained after a signal.
    Success,
    /// It could not start or had to stop.
    Failure,
    /// The command line or the settings are wrong.
    Usage,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        match code {
            ExitCode::Success => process::ExitCode::SUCCESS,
            ExitCode::Failure => process::ExitCode::from(1),
            ExitCode::Usage => process::ExitCode::from(2),
        }
    }
}
