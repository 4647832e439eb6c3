//! Answers of the entry itself. None of them bears what proves an upstream's answer.

use std::convert::Infallible;
use std::pin::Pin;

use agateflow::unit;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};

/// Error of a body that ends early.
pub type Cut = Box<dyn std::error::Error + Send + Sync>;

/// Body of an answer.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = Cut>>>;

/// A whole body.
pub fn full(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never: Infallible| match never {}))
}

/// A problem document with a status and a reason.
pub fn problem(status: StatusCode, reason: &str) -> Response<Body> {
    let text = serde_json::json!({ "status": status.as_u16(), "title": reason }).to_string();
    let mut response = Response::new(full(text.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    response
}

/// Says that the request has not run and when to come back.
pub fn refusal(reason: &str, retry_after: unit::Millis) -> Response<Body> {
    let mut response = problem(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.3}", retry_after.get() as f64 / 1_000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
