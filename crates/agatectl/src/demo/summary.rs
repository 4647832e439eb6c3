//! Result of the demo.

use std::fmt::Write;

use serde::Serialize;

use super::script::Happened;
use super::truth::Found;
use crate::load;

/// What the demo did and found.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// Processes of the fleet.
    pub processes: usize,
    /// What happened to them, in order.
    pub happened: Vec<Happened>,
    /// Answers and latencies.
    pub answers: load::Summary,
    /// Callers' outcomes compared with what ran.
    pub found: Found,
}

impl Summary {
    /// Whether every caller got its own complete response or the true outcome of its request.
    pub fn is_good(&self) -> bool {
        let told = |verdict: &load::Verdict| verdict.is_told();
        self.answers.verdicts.keys().all(told) && self.found.is_good()
    }
}

/// Renders the result for the terminal.
pub fn render(summary: &Summary) -> String {
    let mut text = format!("{} processes in 2 data centres, all on loopback\n", summary.processes);
    for happened in &summary.happened {
        let _ = writeln!(text, "{:>6.1} s  {}", happened.at, happened.what);
    }
    let _ = write!(text, "\n{}", load::render(&summary.answers));
    let found = &summary.found;
    let _ = writeln!(
        text,
        "\ntold \"not run\" but ran: {}\ncalls that may not be repeated: {}, ran more than once: \
         {}\nanswered but not run: {}",
        found.not_run_but_ran, found.not_repeatable, found.repeated, found.whole_but_not_run
    );
    let verdict = if summary.is_good() { "good" } else { "BROKEN" };
    let _ = writeln!(text, "result: {verdict}");
    text
}
