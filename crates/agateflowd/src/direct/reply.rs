//! Responses of the entry itself. None carries the proof that marks an upstream's response.

use std::convert::Infallible;
use std::pin::Pin;

use agateflow::unit;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};

use crate::blocks::Blocks;

/// Error of a body that ends early.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// Body of a response.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = Error>>>;

/// A complete body.
pub fn full(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never: Infallible| match never {}))
}

/// A body in blocks.
pub fn whole(blocks: Blocks) -> Body {
    Box::pin(blocks.map_err(|never: Infallible| match never {}))
}

/// Response with a problem document.
pub fn problem(status: StatusCode, reason: &str) -> Response<Body> {
    let text = serde_json::json!({ "status": status.as_u16(), "title": reason }).to_string();
    let mut response = Response::new(full(text.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    response
}

/// Refuses a request that did not run, with `retry-after`.
pub fn refusal(reason: &str, retry_after: unit::Millis) -> Response<Body> {
    let mut response = problem(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.3}", retry_after.get() as f64 / 1_000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
