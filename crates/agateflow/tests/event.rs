//! `docs/LOGS.md` lists every log event and no others.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::Path;

use agateflow::event;

fn catalogue() -> String {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/LOGS.md");
    fs::read_to_string(page).unwrap()
}

#[test]
fn catalogue_lists_every_event() {
    let page = catalogue();

    let missing: Vec<_> = event::Event::ALL
        .iter()
        .filter(|e| {
            let level = format!("{:?}", e.level()).to_lowercase();
            !page.contains(&format!("| {} | {level} | {} |", e.number(), e.text()))
        })
        .collect();

    assert!(missing.is_empty(), "not in docs/LOGS.md: {missing:?}");
}

#[test]
fn catalogue_lists_nothing_else() {
    let page = catalogue();

    let rows = page.lines().filter(|line| line.starts_with("| ") && !line.contains("---"));

    assert_eq!(rows.count(), event::Event::ALL.len() + 1);
}
