//! `agatectl check` is silent on good files and places each problem of bad ones.

use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use rstest::rstest;
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Edit {
    name: String,
    file: String,
    find: String,
    replace: String,
    problems: Vec<String>,
}

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).expect("the file is in the repository")
}

fn good(name: &str) -> String {
    read(&format!("crates/agateflow/tests/configs/{name}.jsonc"))
}

fn edits() -> Vec<Edit> {
    serde_json::from_str(&read("crates/agateflow/tests/configs/broken.json"))
        .expect("the table is a list of edits")
}

fn check(args: &[&str], input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_agatectl"))
        .arg("check")
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("agatectl starts");
    // A process that has seen enough may close its input early.
    let _ = child.stdin.take().expect("standard input is a pipe").write_all(input);
    child.wait_with_output().expect("agatectl ends")
}

fn lines(output: &Output) -> Vec<String> {
    String::from_utf8_lossy(&output.stderr).lines().map(str::to_owned).collect()
}

#[rstest]
#[case("fleet", "configuration")]
#[case("entry", "settings")]
#[case("upstream", "settings")]
fn good_file_is_silent(#[case] name: &str, #[case] kind: &str) {
    for args in [&["-"][..], &["--kind", kind, "-"]] {
        let output = check(args, good(name).as_bytes());

        assert_eq!(output.status.code(), Some(0));
        assert!(output.stdout.is_empty() && output.stderr.is_empty());
    }
}

#[test]
fn examples_are_good() {
    let names = ["ceu_escuro.json", "companhia.json", "entry.jsonc", "upstream.jsonc"];
    let files = names.map(|name| root().join("examples").join(name).display().to_string());

    let output = check(&files.each_ref().map(String::as_str), b"");

    assert_eq!(lines(&output), [""; 0]);
    assert_eq!(output.status.code(), Some(0));
}

/// The indented blocks of the page that begin with `first`, without their indent.
fn blocks(page: &str, first: &str) -> Vec<String> {
    let paragraphs = page.split("\n\n").filter(|p| p.starts_with(&format!("    {first}")));
    paragraphs.map(|p| p.replace("\n    ", "\n").trim_start().to_owned()).collect()
}

#[test]
fn documents_of_the_page_are_good() {
    let documents = blocks(&read("docs/CONFIGURATION.md"), "{");

    assert_eq!(documents.len(), 2);
    for document in documents {
        let output = check(&["-"], document.as_bytes());

        assert_eq!(lines(&output), [""; 0], "{document}");
    }
}

/// The names of all fields in a JSON Schema.
fn fields(schema: &Value) -> Vec<String> {
    let definitions = schema["$defs"].as_object().into_iter().flat_map(|d| d.values());
    let types = definitions.chain([schema]);
    let variants = types.flat_map(|t| {
        let variants = t["oneOf"].as_array().into_iter().flatten();
        variants.chain([t])
    });
    let properties = variants.filter_map(|v| v["properties"].as_object());
    properties.flat_map(|p| p.keys().cloned()).collect()
}

#[rstest]
#[case("configuration")]
#[case("settings")]
fn page_names_every_field(#[case] kind: &str) {
    let page = read("docs/CONFIGURATION.md");
    let schema = serde_json::from_str(&read(&format!("schema/{kind}.json"))).unwrap();

    let fields = fields(&schema);

    assert!(fields.len() > 15);
    for field in fields {
        assert!(page.contains(&format!("`{field}`")), "{field}");
    }
}

#[test]
fn every_problem_of_a_broken_file_is_placed() {
    let edits = edits();

    for edit in &edits {
        let text = good(&edit.file);
        assert_eq!(text.matches(&edit.find).count(), 1, "{}", edit.name);

        let output = check(&["-"], text.replace(&edit.find, &edit.replace).as_bytes());

        let expected = edit.problems.iter().map(|p| format!("-:{p}")).collect::<Vec<_>>();
        assert_eq!(lines(&output), expected, "{}", edit.name);
        assert_eq!(output.status.code(), Some(1), "{}", edit.name);
        assert!(output.stdout.is_empty(), "{}", edit.name);
        assert!(!expected.is_empty(), "{}", edit.name);
    }
    assert!(edits.len() >= 30);
}

#[rstest]
#[case::empty(b"", "-:1:1: .: the file is empty")]
#[case::not_text(b"{\n \xff}", "-:2:2: .: the file is not UTF-8 text")]
#[case::large(&[b' '; 1 << 21], "-:1:1: .: the file is larger than 1048576 bytes")]
#[case::deep(&[b'['; 100_000], "-:1:513: .: maximum nesting depth exceeded")]
#[case::number(b"1e999", "-:1:1: .: expected an object, found a number")]
fn odd_file_is_one_problem(#[case] input: &[u8], #[case] expected: &str) {
    let output = check(&["-"], input);

    assert_eq!(lines(&output), [expected]);
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn other_files_are_checked_after_a_bad_one() {
    let bad = good("fleet").replace(r#""class": "older""#, r#""class": "oldest""#);

    let output = check(&["no-such-file", "-"], bad.as_bytes());

    let lines = lines(&output);
    assert_eq!(output.status.code(), Some(1));
    assert!(lines[0].starts_with("agatectl: read no-such-file: "));
    assert_eq!(lines[1..], ["-:22:44: vms[3].role.class: there is no class oldest"]);
}

#[test]
fn kind_overrides_the_guess() {
    let output = check(&["--kind", "settings", "-"], good("fleet").as_bytes());

    assert_eq!(output.status.code(), Some(1));
    assert!(lines(&output)[0].starts_with("-:2:1: vm: field is missing"));
}

#[test]
fn no_file_is_a_usage_error() {
    let output = check(&[], b"");

    assert_eq!(output.status.code(), Some(2));
}

/// Rewrite with `agatectl check --schema KIND > schema/KIND.json`.
#[rstest]
#[case("configuration")]
#[case("settings")]
fn committed_schema_is_current(#[case] kind: &str) {
    let output = check(&["--schema", kind], b"");

    assert_eq!(String::from_utf8(output.stdout).unwrap(), read(&format!("schema/{kind}.json")));
}
