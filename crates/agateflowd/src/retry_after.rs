//! The `retry-after` header of responses.

use agateflow::unit;
use http::HeaderMap;
use http::header::RETRY_AFTER;

/// Reads a delay in seconds, which may have a fraction. Dates are not read.
pub fn parse(headers: &HeaderMap) -> Option<unit::Millis> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    let is_valid = seconds.is_finite() && seconds >= 0.0;
    is_valid.then(|| unit::Millis::new((seconds * 1_000.0).ceil() as u64))
}
