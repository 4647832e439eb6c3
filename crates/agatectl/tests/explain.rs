//! `agatectl explain` joins the lines of one request and marks the one that decided.

#![allow(clippy::unwrap_used)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

use rstest::rstest;

fn line(ts: &str, event: u16, msg: &str, rest: &str) -> String {
    format!(
        "  7.1 edge-1 {{\"msg\":\"{msg}\",\"level\":\"INFO\",\"ts\":\"{ts}\",\"vm\":\"edge-1\",\
         \"id\":\"9c\",{rest},\"event\":{event}}}\n"
    )
}

fn explain(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_agatectl"))
        .arg("explain")
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

fn sent(ts: &str) -> String {
    line(ts, 702, "request sent", "\"upstream\":\"u\",\"active\":3")
}

#[rstest]
#[case::refused(701, "request refused", "\"reason\":\"group of ranks closed\"")]
#[case::rejected(700, "request rejected", "\"reason\":\"unknown key\"")]
#[case::broke(710, "upstream broke off", "\"reason\":\"answer incomplete\"")]
#[case::garbled(713, "answer not taken", "\"answer\":\"Foreign\"")]
#[case::unreachable(711, "upstream not reached", "\"reason\":\"timed out\"")]
#[case::timed_out(705, "request timed out", "\"ran\":\"no\"")]
#[case::left(706, "caller left", "\"last_event\":4")]
#[case::silent(703, "attempt ended", "\"end\":\"Silent\"")]
fn deciding_line_is_marked(#[case] event: u16, #[case] msg: &str, #[case] rest: &str) {
    let end = line("t4", 704, "request ended", "\"outcome\":\"unknown\"");
    let input = end + &line("t3", event, msg, rest) + &sent("t1");

    let output = explain(&["9c", "-"], &input);

    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("t1 edge-1 request sent"), "{text}");
    assert!(lines[1].starts_with("* t3") && lines[1].contains(msg), "{text}");
    assert!(output.status.success());
}

#[test]
fn served_request_is_explained_by_its_last_sending() {
    let end = line("t4", 704, "request ended", "\"outcome\":\"ran\"");
    let broke = line("t2", 710, "upstream broke off", "\"reason\":\"reset\"");

    let output = explain(&["--json", "9c", "-"], &(sent("t1") + &broke + &sent("t3") + &end));

    let value: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(value["lines"][2]["deciding"], true);
    assert_eq!(value["lines"][1]["deciding"], false);
}

#[test]
fn unknown_id_and_unreadable_lines_are_told() {
    let output = explain(&["ff", "-"], &("no json\n".to_string() + &sent("t1")));

    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("no line carries the id ff"), "{error}");
    assert!(error.contains("1 lines are no log lines"), "{error}");
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn missing_file_is_told_in_one_line() {
    let output = explain(&["ff", "no-such-file"], "");

    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("no-such-file"), "{error}");
    assert_eq!(error.lines().count(), 1);
}
