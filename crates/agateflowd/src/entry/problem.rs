//! Problem documents (RFC 9457) with the request's outcome.

use agateflow::outcome;
use agateflow::unit;
use http::{StatusCode, header};
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request ran.
    pub outcome: outcome::Outcome,
    /// The cause, in one line.
    pub detail: Box<str>,
    /// Delay before the caller may retry.
    pub retry_after: Option<unit::Millis>,
}

#[derive(Serialize)]
struct Document<'a> {
    r#type: &'static str,
    title: &'static str,
    status: u16,
    detail: &'a str,
    outcome: outcome::Outcome,
}

impl Problem {
    /// Creates the problem of a request that did not run.
    pub fn not_run(status: StatusCode, detail: impl Into<Box<str>>) -> Self {
        Self { status, outcome: outcome::Outcome::NotRun, detail: detail.into(), retry_after: None }
    }

    /// Creates the problem of a request that may have run.
    pub fn unknown(status: StatusCode, detail: impl Into<Box<str>>) -> Self {
        let outcome = outcome::Outcome::Unknown;
        Self { status, outcome, detail: detail.into(), retry_after: None }
    }

    /// Sets the delay before the caller may retry.
    pub fn with_retry_after(mut self, after: unit::Millis) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets the outcome to unknown if the call is keyed: it was rejected before its key was looked
    /// up, and may have run through an earlier request.
    pub fn with_unchecked_key(mut self, keyed: bool) -> Self {
        if keyed {
            self.outcome = outcome::Outcome::Unknown;
        }
        self
    }

    /// Serializes the problem document.
    pub fn to_json(&self) -> Vec<u8> {
        let document = Document {
            r#type: "about:blank",
            title: self.status.canonical_reason().unwrap_or("Error"),
            status: self.status.as_u16(),
            detail: &self.detail,
            outcome: self.outcome,
        };
        serde_json::to_vec(&document).unwrap_or_default()
    }

    /// Builds the HTTP response, with the Retry-After header in whole seconds.
    pub fn into_response(self) -> Response {
        let mut response = Response::new(Body::from(self.to_json()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let content_type = http::HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, content_type);
        headers.insert(outcome::HEADER, http::HeaderValue::from_static(self.outcome.as_str()));
        if let Some(after) = self.retry_after {
            let seconds = after.get().div_ceil(1000).max(1);
            headers.insert(header::RETRY_AFTER, http::HeaderValue::from(seconds));
        }
        response
    }
}
