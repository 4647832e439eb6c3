//! Request rate limits that upstreams name in their responses.

use std::{fmt, str};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::directory::Incarnation;
use crate::unit;

/// Requests per second that an upstream accepts from all entries together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Limit(f64);

impl Limit {
    /// Creates a limit; `None` unless it is a number that is not negative.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Requests per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// A text that names no rate.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a rate: {0:?}")]
pub struct Error(Box<str>);

impl str::FromStr for Limit {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number = text.trim().strip_suffix("/s").unwrap_or(text).trim().parse().ok();
        number.and_then(Self::new).ok_or_else(|| Error(text.into()))
    }
}

/// Limits that upstreams named in their responses to this entry.
#[derive(Clone, Debug, Default)]
pub struct Register {
    limits: IndexMap<Incarnation, (Limit, unit::Millis)>,
}

impl Register {
    /// Creates an empty register.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the limit named in a response to a request sent at `sent_at`; a response without one
    /// lifts an earlier limit. Returns whether the limit changed.
    pub fn record_limit(
        &mut self,
        upstream: &Incarnation,
        limit: Option<Limit>,
        sent_at: unit::Millis,
        now: unit::Millis,
    ) -> bool {
        match limit {
            Some(limit) => {
                let before = self.limits.insert(upstream.clone(), (limit, now));
                before.is_none_or(|(before, _)| before != limit)
            }
            // A response to a request sent before the limit was named may be older than the limit.
            None => {
                let is_newer =
                    self.limits.get(upstream).is_some_and(|&(_, named)| sent_at >= named);
                is_newer && self.limits.swap_remove(upstream).is_some()
            }
        }
    }
}
