//! Results of a load as text.

use std::fmt::Write;

use indexmap::IndexMap;

use super::check::Verdict;
use super::summary::{Latency, Summary};

/// Renders a summary for the terminal.
pub fn render(summary: &Summary) -> String {
    let mut text = String::new();
    let rate = summary.requests as f64 / summary.seconds.max(f64::MIN_POSITIVE);
    let _ = writeln!(
        text,
        "{} requests in {:.1} s ({rate:.1} a second): {}",
        summary.requests,
        summary.seconds,
        verdicts(&summary.verdicts)
    );
    let _ = writeln!(
        text,
        "\n{:<18}{:<16}{:>8}{:>10}{:>10}{:>10}{:>10}",
        "kind", "latency in ms", "count", "p50", "p95", "p99", "max"
    );
    for kind in &summary.kinds {
        let _ = writeln!(text, "{}: {}", kind.name, verdicts(&kind.verdicts));
        row(&mut text, "first token", &kind.first_token);
        row(&mut text, "between tokens", &kind.between_tokens);
        row(&mut text, "whole", &kind.whole);
    }
    let _ = writeln!(text, "load");
    row(&mut text, "lateness", &summary.lateness);
    for note in &summary.notes {
        let _ = writeln!(text, "note: {}", note.trim_end());
    }
    text
}

fn verdicts(verdicts: &IndexMap<Verdict, u64>) -> String {
    let count = |verdict| verdicts.get(&verdict).map(|count| (verdict, *count));
    let parts = Verdict::ALL.into_iter().filter_map(count);
    let parts = parts.map(|(verdict, count)| format!("{count} {}", verdict.name()));
    parts.collect::<Vec<_>>().join(", ")
}

fn row(text: &mut String, name: &str, latency: &Latency) {
    if let Some(at) = latency.percentiles() {
        let _ = writeln!(
            text,
            "{:<18}{name:<16}{:>8}{:>10.2}{:>10.2}{:>10.2}{:>10.2}",
            "", at.count, at.p50, at.p95, at.p99, at.max
        );
    }
}
