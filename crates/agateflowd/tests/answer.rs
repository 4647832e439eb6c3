//! Forwarding of a response from the engine: where it may be split, and when it is complete.

use agateflow::admission::answer::Head;
use agateflow::{id, unit, wire};
use agateflowd::upstream::relay;
use agateflowd::upstream::sender::Sender;
use bytes::Bytes;
use futures::stream;
use http_body::Frame;
use tokio::sync::mpsc;
use volo_http::body::Body;
use volo_http::response::Response;

const TOKEN: &str =
    "data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n";
const FINISH: &str = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";
const DONE: &str = "data: [DONE]\n\n";

fn response(parts: &[&str], is_complete: bool) -> Response {
    let mut frames: Vec<Result<Frame<Bytes>, volo_http::error::BoxError>> =
        parts.iter().map(|part| Ok(Frame::data(Bytes::copy_from_slice(part.as_bytes())))).collect();
    if !is_complete {
        frames.push(Err("connection reset".into()));
    }
    let mut response = Response::new(Body::from_stream(stream::iter(frames)));
    let content_type = http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// Head and body that the entry receives, and whether the response was complete.
async fn forward(response: Response) -> (Option<Head>, String, bool) {
    let id = id::Attempt::new(id::Incarnation::new(1), 1);
    let (queue, mut frames) = mpsc::channel(64);
    let sender = Sender::new(id, unit::Bytes::ZERO, queue);
    let is_complete = relay::forward(response, unit::Bytes::ZERO, &sender).await.is_ok();
    drop(sender);
    let (mut head, mut body) = (None, Vec::new());
    while let Some(frame) = frames.recv().await {
        match frame {
            wire::Frame::Head(frame) => head = Some(frame.head),
            wire::Frame::Data(data) => body.extend_from_slice(&data.bytes),
            _ => {}
        }
    }
    (head, String::from_utf8_lossy(&body).into_owned(), is_complete)
}

#[tokio::test]
async fn whole_stream_is_passed_whole() {
    let (head, body, is_complete) = forward(response(&[TOKEN, FINISH, DONE], true)).await;

    assert_eq!(head.map(|head| head.status), Some(200));
    assert_eq!(body, [TOKEN, FINISH, DONE].concat());
    assert!(is_complete);
}

#[tokio::test]
async fn half_an_event_is_not_passed() {
    let (_, body, is_complete) = forward(response(&[TOKEN, &TOKEN[..20]], false)).await;

    assert_eq!(body, TOKEN);
    assert!(!is_complete);
}

#[tokio::test]
async fn event_of_the_end_waits_for_the_end_marker() {
    let (_, body, is_complete) = forward(response(&[TOKEN, FINISH], false)).await;

    assert_eq!(body, TOKEN, "another engine would send the finish event again");
    assert!(!is_complete);
}

#[tokio::test]
async fn stream_without_end_marker_is_not_whole() {
    let (_, _, is_complete) = forward(response(&[TOKEN, FINISH], true)).await;

    assert!(!is_complete);
}
