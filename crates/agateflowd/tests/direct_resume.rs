//! Streams that break off and go on at an upstream that answers with an error.

#![allow(clippy::unwrap_used)]

mod directenv;

use std::time::Duration;

use agateflow::direct::directory::{Change, Revision, State};
use directenv::{
    Action, Fixture, Server, chunk, listing, refusal_response, run_local, stream_head,
    unframed_stream_head,
};
use rstest::rstest;
use tokio::time;

const ERROR_TEXT: &str = "no room: try again\n\n";

/// A response whose body is the error text, with these lines in its head.
fn error_response(status: u16, lines: &str) -> String {
    let length = ERROR_TEXT.len();
    format!("HTTP/1.1 {status} X\r\n{lines}content-length: {length}\r\n\r\n{ERROR_TEXT}")
}

/// An event without an id.
fn stream_of(text: &str) -> String {
    stream_head("1") + &chunk(text) + "0\r\n\r\n"
}

/// A whole response where the next part of an unframed stream is expected.
fn response_in_a_stream(head: &str) -> String {
    unframed_stream_head("1") + &format!("HTTP/1.1 500 X\r\n{head}\r\n\r\n{ERROR_TEXT}")
}

#[rstest]
#[case::error(error_response(500, "id: 1\r\nproof: p\r\n"))]
#[case::error_without_an_id(error_response(500, ""))]
#[case::error_as_a_stream(error_response(
    500,
    "id: 1\r\nproof: p\r\ncontent-type: text/event-stream\r\n"
))]
#[case::refusal(refusal_response())]
#[case::refusal_with_an_id(error_response(503, "id: 1\r\nnot-run: 1\r\n"))]
#[case::text_with_success(error_response(
    200,
    "id: 1\r\nproof: p\r\ncontent-type: text/plain\r\n"
))]
#[case::text_without_a_type(error_response(200, "id: 1\r\nproof: p\r\n"))]
#[case::empty_success("HTTP/1.1 200 X\r\nid: 1\r\nproof: p\r\ncontent-length: 0\r\n\r\n".into())]
#[case::no_content("HTTP/1.1 204 X\r\nid: 1\r\nproof: p\r\n\r\n".into())]
#[case::event_without_an_id(stream_of(ERROR_TEXT))]
#[case::data_without_an_id(stream_of("data: no room\n\n"))]
#[case::head_in_the_stream(response_in_a_stream("content-type: text/plain"))]
#[case::head_with_the_next_id(response_in_a_stream("id: 2"))]
fn error_of_the_next_upstream_reaches_no_stream(#[case] answer: String) {
    run_local(async {
        let cut = stream_head("1") + &chunk("id: 1\ndata: a\n\n") + &chunk("id: 2\nda");
        let first = Server::start("first", vec![Action::SendAndReset(cut)]).await;
        let second = Server::start("second", vec![Action::SendAndClose(answer)]).await;
        let fixture = Fixture::start(&[&first]);
        let list_second = async {
            time::sleep(Duration::from_millis(10)).await;
            let change = Change::Listed(listing(&second, State::Ready));
            fixture.entry.apply_change(change, Revision::new(0, 2));
        };

        let (got, ()) = tokio::join!(fixture.call("/stream/", "1"), list_second);

        assert_eq!(second.request_count(), 1);
        let events: String = got.split("\r\n").filter(|part| part.contains("\ndata: ")).collect();
        assert_eq!(events, "id: 1\ndata: a\n\n", "{got}");
        assert!(!got.contains("no room") && !got.contains("HTTP/1.1 500"), "{got}");
        assert!(!got.ends_with("0\r\n\r\n"), "looks complete: {got}");
    });
}

#[rstest]
#[case::text("HTTP/1.1 500 X\r\ncontent-type: text/plain\r\n\r\nno room\r\n\r\n")]
#[case::with_the_next_id("HTTP/1.1 500 X\r\nid: 2\r\n\r\n")]
#[case::without_an_id("data: no room\n\n")]
fn error_behind_the_events_of_an_unframed_stream_is_no_event(#[case] error: &str) {
    run_local(async {
        let bytes = unframed_stream_head("1") + "id: 1\ndata: a\n\n" + error;
        let upstream = Server::start("u", vec![Action::SendAndClose(bytes)]).await;
        let fixture = Fixture::start(&[&upstream]);

        let got = fixture.call("/stream/", "1").await;

        assert!(!got.contains("no room") && !got.contains("HTTP/1.1 500"), "{got}");
        assert!(!got.ends_with("0\r\n\r\n"), "looks complete: {got}");
    });
}

#[test]
fn comments_between_events_are_forwarded() {
    run_local(async {
        let events = ": wait\n\nid: 1\ndata: a\n\n: wait\n\nversion: 3\nid: 2\ndata: b\n\n";
        let upstream = Server::start("u", vec![Action::Send(stream_of(events))]).await;
        let fixture = Fixture::start(&[&upstream]);

        let got = fixture.call("/stream/", "1").await;

        assert!(got.contains("version: 3\nid: 2\ndata: b\n\n"), "{got}");
        assert!(got.ends_with("0\r\n\r\n"), "{got}");
    });
}
