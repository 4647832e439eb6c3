//! Teams: keys, priorities, limits and what they may use.

use std::fmt;
use std::str;

use jsonc_parser::ast;
use serde::Serialize;
use sha2::Digest;

use super::quantity;
use super::read;
use crate::id;

/// A customer that limits and priorities apply to.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub name: id::Team,
    /// Digests of the bearer keys that callers of the team send.
    pub keys: Vec<KeyDigest>,
    /// Its class of priority.
    pub priority: Priority,
    /// Its share among teams of the same priority.
    pub weight: quantity::Weight,
    /// Its limits over the whole fleet.
    pub limits: Limits,
    /// The models that it may use.
    #[serde(default)]
    pub models: Vec<id::Model>,
    /// The routes to plain services that it may use.
    #[serde(default)]
    pub routes: Vec<id::Route>,
}

read::read_object!(Team {
    name,
    keys,
    priority,
    weight,
    limits,
    models = Vec::new(),
    routes = Vec::new(),
});

/// Class of priority of a team's requests, from the first to be shed to the last.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Work that may wait, such as nightly jobs.
    Low,
    /// Ordinary work.
    Normal,
    /// Interactive work.
    High,
}

impl Priority {
    /// The priority's name in the configuration.
    pub const fn as_str(self) -> &'static str {
        match self {
            Priority::Low => "low",
            Priority::Normal => "normal",
            Priority::High => "high",
        }
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Priority {
    type Err = read::Unrecognized;

    fn from_str(text: &str) -> Result<Self, read::Unrecognized> {
        match text {
            "low" => Ok(Priority::Low),
            "normal" => Ok(Priority::Normal),
            "high" => Ok(Priority::High),
            _ => Err(read::Unrecognized::new(text, "low, normal, high")),
        }
    }
}

/// Limits of a team over the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests started per second.
    pub requests_per_second: quantity::Rate,
    /// Requests that may start at once after a quiet time.
    pub burst: Burst,
    /// Requests in progress at once.
    pub concurrency: Concurrency,
}

read::read_object!(Limits { requests_per_second, burst, concurrency });

quantity::count! {
    /// A count of requests that may start at once.
    Burst, 1000000
}
quantity::count! {
    /// A count of requests in progress at once.
    Concurrency, 1000000
}

/// The SHA-256 digest of a bearer key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(into = "Box<str>")]
pub struct KeyDigest([u8; 32]);

/// The text is not a SHA-256 digest in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected the SHA-256 digest of a key in 64 hexadecimal digits")]
pub struct Malformed;

impl KeyDigest {
    /// Wraps a digest that is already known.
    pub const fn new(digest: [u8; 32]) -> Self {
        Self(digest)
    }

    /// Digests the key that a caller sent.
    pub fn of_key(key: &[u8]) -> Self {
        Self(sha2::Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl str::FromStr for KeyDigest {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut digest = [0; 32];
        match hex::decode_to_slice(text, &mut digest) {
            Ok(()) => Ok(Self(digest)),
            Err(_) => Err(Malformed),
        }
    }
}

impl From<KeyDigest> for Box<str> {
    fn from(digest: KeyDigest) -> Box<str> {
        digest.to_string().into()
    }
}

impl schemars::JsonSchema for KeyDigest {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        "KeyDigest".into()
    }

    fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
        schemars::json_schema!({ "type": "string", "pattern": "^[0-9a-fA-F]{64}$" })
    }
}

impl read::Read for Priority {
    fn read(value: &ast::Value<'_>, reader: &mut read::Reader) -> Option<Self> {
        reader.parse(value, "a priority: low, normal or high", str::parse)
    }
}

read::read_text!(KeyDigest: "the SHA-256 digest of a key in 64 hexadecimal digits");
