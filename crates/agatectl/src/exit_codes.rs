//! Exit codes of the tool.

use std::process;

/// How a run ended, as the shell sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Everything asked for was done and found good.
    Success,
    /// The input is wrong, a check failed or a goal was missed.
    Failure,
    /// The command line is wrong.
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
