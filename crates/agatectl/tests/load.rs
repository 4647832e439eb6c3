//! The load tool checks every answer and exits with 1 on one that breaks a promise.

#![allow(clippy::unwrap_used)]

mod support;

use agateflow::unit;
use agateflow_standin::answer::{Answer, DONE};
use agateflow_standin::engine::{Engine, Options, Speed};
use agateflow_standin::service::Service;
use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};
use support::{Reply, response};
use volo_http::response::Response;

fn mix(streamed: bool) -> String {
    let call = json!({
        "to": "model", "model": "noite", "streamed": streamed,
        "prompt_bytes": { "min": 10, "max": 50 }, "output_tokens": { "min": 4, "max": 9 },
    });
    json!({ "kinds": [{ "name": "only", "weight": 1, "call": call }] }).to_string()
}

/// Runs a few requests against a scripted server.
fn run(name: &str, streamed: bool, reply: Reply) -> (Option<i32>, Value) {
    let server = support::server(reply);
    let mix = support::file(name, &mix(streamed));
    let target = support::url(server.address());

    let output = support::agatectl(&[
        "load",
        "--target",
        &target,
        "--mix",
        mix.to_str().unwrap(),
        "--json",
        "--rate",
        "200",
        "--count",
        "5",
        "--seconds",
        "1",
    ]);

    (output.status.code(), support::json(&output)["verdicts"].take())
}

fn ok(body: impl Into<bytes::Bytes>) -> Response {
    response(StatusCode::OK, "ran", body)
}

fn problem(header: &str, body: &str) -> Response {
    let body = json!({ "title": "refused", "status": 503, "outcome": body }).to_string();
    response(StatusCode::SERVICE_UNAVAILABLE, header, body)
}

fn other(answer: &Answer) -> Answer {
    let body = json!({
        "model": "other", "messages": [], "stream": answer.is_stream(), "max_tokens": answer.tokens(),
    });
    Answer::new(body.to_string().as_bytes()).unwrap()
}

fn head(answer: &Answer, events: u64) -> Vec<u8> {
    (0..events).flat_map(|index| answer.event(index)).collect()
}

#[test]
fn default_mix_runs_against_engine_and_service() {
    let step = unit::Micros::new(1_000);
    let options = Options { speed: Speed { step, ..Speed::default() }, ..Options::default() };
    let engine = Engine::start(support::any_port(), options).unwrap();
    let service = Service::start(support::any_port()).unwrap();

    let output = support::agatectl(&[
        "load",
        "--direct",
        "--target",
        &support::url(engine.host().address()),
        "--service",
        &support::url(service.host().address()),
        "--rate",
        "200",
        "--count",
        "100",
        "--json",
    ]);

    let summary = support::json(&output);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(summary["verdicts"], json!({ "whole": 100 }));
    assert_eq!(engine.counters().completed + service.total(), 100);
    assert_eq!(service.repeated(), []);
    let tokens = engine.counters().tokens;
    assert!(summary["kinds"][0]["between_tokens"]["count"].as_u64().unwrap() < tokens);
}

#[test]
fn latencies_hold_the_time_that_the_engine_took() {
    let step = unit::Micros::new(10_000);
    let options = Options { speed: Speed { step, ..Speed::default() }, ..Options::default() };
    let engine = Engine::start(support::any_port(), options).unwrap();
    let mix = support::file("latencies.json", &mix(true));

    let output = support::agatectl(&[
        "load",
        "--direct",
        "--target",
        &support::url(engine.host().address()),
        "--mix",
        mix.to_str().unwrap(),
        "--count",
        "5",
        "--json",
    ]);

    let kind = &support::json(&output)["kinds"][0];
    let max = |latency: &str| kind[latency]["max"].as_f64().unwrap();
    assert!(max("first_token") >= 10.0);
    assert!(max("whole") >= 40.0);
}

#[rstest]
#[case::own("own", |a: &Answer| ok(a.stream(0)), "whole", 0)]
#[case::foreign("foreign", |a: &Answer| ok(other(a).stream(0)), "foreign", 1)]
#[case::without_end("without-end", |a: &Answer| ok(head(a, 3)), "truncated", 1)]
#[case::without_first("without-first", |a: &Answer| ok(a.stream(1)), "foreign", 1)]
#[case::event_twice("event-twice", |a: &Answer| ok([head(a, 2), a.stream(1).into()].concat()), "doubled", 1)]
#[case::end_twice("end-twice", |a: &Answer| ok([&a.stream(0)[..], DONE.as_bytes()].concat()), "doubled", 1)]
#[case::told("told", |a: &Answer| ok([&head(a, 2)[..], b"data: {\"outcome\":\"unknown\"}\n\n"].concat()), "unknown", 0)]
fn stream_is_judged(
    #[case] name: &str,
    #[case] reply: Reply,
    #[case] verdict: &str,
    #[case] code: i32,
) {
    let result = run(&format!("stream-{name}.json"), true, reply);

    assert_eq!(result, (Some(code), json!({ verdict: 5 })));
}

#[rstest]
#[case::own("own", |a: &Answer| ok(a.whole()), "whole", 0)]
#[case::foreign("foreign", |a: &Answer| ok(other(a).whole()), "foreign", 1)]
#[case::cut("cut", |a: &Answer| ok(a.whole().slice(..20)), "truncated", 1)]
#[case::empty("empty", |_: &Answer| ok(""), "truncated", 1)]
#[case::twice("twice", |a: &Answer| ok([a.whole(), a.whole()].concat()), "doubled", 1)]
#[case::wrong_header("header", |a: &Answer| response(StatusCode::OK, "unknown", a.whole()), "contradictory", 1)]
#[case::not_run("not-run", |_: &Answer| problem("not-run", "not-run"), "not-run", 0)]
#[case::unknown("unknown", |_: &Answer| problem("unknown", "unknown"), "unknown", 0)]
#[case::two_outcomes("two", |_: &Answer| problem("not-run", "unknown"), "contradictory", 1)]
fn whole_answer_is_judged(
    #[case] name: &str,
    #[case] reply: Reply,
    #[case] verdict: &str,
    #[case] code: i32,
) {
    let result = run(&format!("whole-{name}.json"), false, reply);

    assert_eq!(result, (Some(code), json!({ verdict: 5 })));
}

#[test]
fn visible_cut_is_counted_and_allowed() {
    let engine = Engine::start(support::any_port(), Options::default()).unwrap();
    engine.host().faults().cut(2, u64::MAX);
    let mix = support::file("visible-cut.json", &mix(true));

    let output = support::agatectl(&[
        "load",
        "--direct",
        "--target",
        &support::url(engine.host().address()),
        "--mix",
        mix.to_str().unwrap(),
        "--count",
        "3",
        "--json",
    ]);

    assert_eq!(output.status.code(), Some(0));
    assert_eq!(support::json(&output)["verdicts"], json!({ "cut": 3 }));
}

#[rstest]
#[case::syntax("syntax", "{")]
#[case::unknown_field("field", r#"{ "kinds": [], "speed": 3 }"#)]
#[case::no_kinds("kinds", r#"{ "kinds": [] }"#)]
#[case::range("range", r#"{ "kinds": [{ "name": "a", "weight": 1, "call": { "to": "model", "model": "m",
    "streamed": true, "prompt_bytes": { "min": 2, "max": 1 }, "output_tokens": { "min": 1, "max": 1 } } }] }"#)]
#[case::path(
    "path",
    r#"{ "kinds": [{ "name": "a", "weight": 1, "call": { "to": "service", "method": "GET",
    "path": "stations", "repeatable": true, "body_bytes": { "min": 0, "max": 0 } } }] }"#
)]
fn bad_mix_is_refused(#[case] name: &str, #[case] text: &str) {
    let mix = support::file(&format!("bad-{name}.json"), text);

    let output = support::agatectl(&[
        "load",
        "--target",
        "http://127.0.0.1:1",
        "--mix",
        mix.to_str().unwrap(),
    ]);

    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8(output.stderr).unwrap().starts_with("agatectl: read mix: "));
}

#[rstest]
#[case::no_target(&["load"])]
#[case::no_url(&["load", "--target", "127.0.0.1:80"])]
#[case::path(&["load", "--target", "http://127.0.0.1/v1"])]
#[case::rate(&["load", "--target", "http://127.0.0.1", "--rate", "0"])]
fn wrong_command_line_is_refused(#[case] arguments: &[&str]) {
    let output = support::agatectl(arguments);

    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn printed_mix_can_be_read_again() {
    let printed = support::agatectl(&["load", "--print-mix"]);
    let mix = support::file("printed-mix.json", &String::from_utf8(printed.stdout).unwrap());

    let again = support::agatectl(&["load", "--print-mix", "--mix", mix.to_str().unwrap()]);

    assert_eq!(again.status.code(), Some(0));
    assert_eq!(again.stdout, std::fs::read(mix).unwrap());
}
