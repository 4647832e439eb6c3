//! Responses of the stand-ins, and numbers in queries.

use bytes::Bytes;
use http::{HeaderValue, StatusCode, Uri, header};
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

/// A response with `status` and no body.
pub fn empty(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// A response with a whole body of the given type.
pub fn whole(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Response {
    typed(status, content_type, Body::from(body.into()))
}

/// A response with any body of the given type.
pub fn typed(status: StatusCode, content_type: &'static str, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// A response with `value` as JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => whole(status, "application/json", body),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// A response that states an error as JSON.
pub fn error(status: StatusCode, reason: impl ToString) -> Response {
    json(status, &serde_json::json!({ "error": reason.to_string() }))
}

/// The number that a query gives under `name`.
pub fn query(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
