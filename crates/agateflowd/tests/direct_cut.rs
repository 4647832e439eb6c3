//! Answers of upstreams that stop at any byte: none looks complete.

#![allow(clippy::unwrap_used)]

mod directenv;

use directenv::{
    Action, Fixture, Server, chunk, ok_response, run_local, stream_head, unframed_stream_head,
};
use futures::future;
use rstest::rstest;

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// What the caller gets if the upstream sends `answer` up to `length` and then `end`s.
async fn call_cut(path: &str, answer: &str, length: usize, end: fn(String) -> Action) -> String {
    let upstream = Server::start("u", vec![end(answer[..length].into())]).await;
    let fixture = Fixture::start(&[&upstream]);
    fixture.call(path, "1").await
}

/// Whether a response is a success whose framing says that it is complete.
fn looks_complete(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let is_whole = match length {
        Some(length) => length.parse() == Ok(body.len()),
        None => body.ends_with("0\r\n\r\n"),
    };
    head.starts_with("HTTP/1.1 200") && is_whole
}

fn chunked_response() -> String {
    let head = ok_response("1", "").replace("content-length: 0", "transfer-encoding: chunked");
    head + &chunk("hello ") + &chunk("world") + "0\r\n\r\n"
}

#[rstest]
#[case::with_a_length("/once/", ok_response("1", "hello world"))]
#[case::in_chunks("/once/", chunked_response())]
#[case::stream_in_chunks("/stream/", stream_head("1") + &chunk(EVENTS) + "0\r\n\r\n")]
fn framed_answer_that_stops_at_any_byte_does_not_look_complete(
    #[case] path: &str,
    #[case] answer: String,
    #[values(Action::SendAndClose, Action::SendAndReset)] end: fn(String) -> Action,
) {
    run_local(async {
        let calls = (0..answer.len()).map(|length| call_cut(path, &answer, length, end));

        let responses = future::join_all(calls).await;

        for (length, response) in responses.iter().enumerate() {
            assert!(!looks_complete(response), "{length} bytes of {answer}: {response}");
        }
    });
}

#[rstest]
#[case::answer("/once/", ok_response("1", "hello").replace("content-length: 5\r\n", ""))]
#[case::stream("/stream/", unframed_stream_head("1") + EVENTS)]
fn unframed_answer_whose_head_stops_at_any_byte_does_not_look_complete(
    #[case] path: &str,
    #[case] answer: String,
    #[values(Action::SendAndClose, Action::SendAndReset)] end: fn(String) -> Action,
) {
    run_local(async {
        let head = answer.find("\r\n\r\n").unwrap() + 4;
        let calls = (0..head).map(|length| call_cut(path, &answer, length, end));

        let responses = future::join_all(calls).await;

        for (length, response) in responses.iter().enumerate() {
            assert!(!looks_complete(response), "{length} bytes of {answer}: {response}");
        }
    });
}

#[rstest]
#[case::with_a_length("/once/", ok_response("1", "hello world"))]
#[case::in_chunks("/once/", chunked_response())]
#[case::stream_in_chunks("/stream/", stream_head("1") + &chunk(EVENTS) + "0\r\n\r\n")]
fn whole_answer_looks_complete(#[case] path: &str, #[case] answer: String) {
    run_local(async {
        let response = call_cut(path, &answer, answer.len(), Action::SendAndClose).await;

        assert!(looks_complete(&response), "{response}");
    });
}
