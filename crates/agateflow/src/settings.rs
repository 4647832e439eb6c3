//! Settings of one process: VM, addresses and limits.

use std::fmt;
use std::net;
use std::str;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde::Serialize;

use crate::config;
use crate::config::check;
use crate::config::quantity;
use crate::config::read;
use crate::config::select;
use crate::id;
use crate::unit;

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM, as in the fleet's configuration.
    pub vm: id::Vm,
    /// The data centre that the VM is in.
    pub data_centre: id::DataCentre,
    /// Role of the process.
    pub role: Role,
    /// Listen address for other processes of the system.
    pub listen: net::SocketAddr,
    /// Listen address for operators.
    pub operators: net::SocketAddr,
    /// Addresses of processes to fetch the fleet's state from at the start.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// Address of the configuration service.
    pub configuration: net::SocketAddr,
    /// Key that authenticates messages between the system's processes.
    pub secret: Secret,
    /// Limits on connections and requests.
    #[serde(default)]
    pub limits: Limits,
}

read::read_object!(Settings {
    vm,
    data_centre,
    role,
    listen,
    operators,
    seeds = Vec::new(),
    configuration,
    secret,
    limits = Limits::default(),
});

/// Role of a process.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Role {
    /// Accepts requests of callers.
    Entry {
        /// Listen address for callers.
        callers: net::SocketAddr,
    },
    /// Proxies an engine or plain service on the same VM.
    Upstream {
        /// Address of the engine or plain service.
        backend: net::SocketAddr,
    },
}

impl read::Read for Role {
    fn read(value: &ast::Value<'_>, reader: &mut read::Reader) -> Option<Self> {
        let ast::Value::Object(object) = value else {
            return reader.wrong_type("an object", value);
        };
        match reader.field(object, "kind")? {
            Kind::Entry => {
                reader.object(value, &["kind", "callers"])?;
                Some(Role::Entry { callers: reader.field(object, "callers")? })
            }
            Kind::Upstream => {
                reader.object(value, &["kind", "backend"])?;
                Some(Role::Upstream { backend: reader.field(object, "backend")? })
            }
        }
    }
}

enum Kind {
    Entry,
    Upstream,
}

impl str::FromStr for Kind {
    type Err = config::Unrecognized;

    fn from_str(text: &str) -> Result<Self, config::Unrecognized> {
        match text {
            "entry" => Ok(Kind::Entry),
            "upstream" => Ok(Kind::Upstream),
            _ => Err(config::Unrecognized::new(text, "entry, upstream")),
        }
    }
}

read::read_text!(Kind: "a kind of role: entry or upstream");

/// Source of the key that authenticates messages between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, schemars::JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Secret {
    /// The key itself.
    Key(Key),
    /// Path of a file with the key in 64 hexadecimal digits.
    File(Box<str>),
}

impl read::Read for Secret {
    fn read(value: &ast::Value<'_>, reader: &mut read::Reader) -> Option<Self> {
        let object = reader.object(value, &["key", "file"])?;
        match (object.get("key"), object.get("file")) {
            (Some(_), None) => reader.field(object, "key").map(Secret::Key),
            (None, Some(_)) => reader.field(object, "file").map(Secret::File),
            _ => {
                reader.report(object.start(), "expected one of the fields key and file");
                None
            }
        }
    }
}

impl read::Read for Box<str> {
    fn read(value: &ast::Value<'_>, reader: &mut read::Reader) -> Option<Self> {
        match reader.text(value, "a path")? {
            "" => reader.expected("a path", value),
            path => Some(path.into()),
        }
    }
}

/// A key of 32 bytes. It is printed as `[redacted]`.
#[derive(Clone, PartialEq, Eq, Serialize)]
#[serde(into = "Box<str>")]
pub struct Key([u8; 32]);

/// The text is not a key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected a key of 64 hexadecimal digits")]
pub struct Malformed;

impl Key {
    /// Wraps the bytes of a key.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// The bytes of the key.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({self})")
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[redacted]")
    }
}

impl str::FromStr for Key {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut bytes = [0; 32];
        match hex::decode_to_slice(text.trim_end(), &mut bytes) {
            Ok(()) => Ok(Self(bytes)),
            Err(_) => Err(Malformed),
        }
    }
}

impl From<Key> for Box<str> {
    fn from(key: Key) -> Box<str> {
        key.to_string().into()
    }
}

impl read::Read for Key {
    fn read(value: &ast::Value<'_>, reader: &mut read::Reader) -> Option<Self> {
        // Never shows what was found: it may be a key with a slip in it.
        let text = value.as_string_lit().map(|text| &*text.value);
        match text.unwrap_or_default().parse() {
            Ok(key) => Some(key),
            Err(Malformed) => {
                reader.report(value.start(), Malformed);
                None
            }
        }
    }
}

impl schemars::JsonSchema for Key {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        "Key".into()
    }

    fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
        schemars::json_schema!({ "type": "string", "pattern": "^[0-9a-fA-F]{64}$" })
    }
}

/// Limits of a process's connections and requests.
#[derive(Clone, Debug, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Memory that the process may take.
    #[serde(serialize_with = "quantity::text")]
    #[schemars(schema_with = "quantity::size_schema")]
    pub memory: unit::Bytes,
    /// Maximum number of concurrent connections of callers.
    pub connections: Connections,
    /// Maximum size of a request's head.
    #[serde(serialize_with = "quantity::text")]
    #[schemars(schema_with = "quantity::size_schema")]
    pub header: unit::Bytes,
    /// Maximum size of a request's body.
    #[serde(serialize_with = "quantity::text")]
    #[schemars(schema_with = "quantity::size_schema")]
    pub body: unit::Bytes,
    /// Maximum size of the part of a response that is buffered for a slow caller.
    #[serde(serialize_with = "quantity::text")]
    #[schemars(schema_with = "quantity::size_schema")]
    pub answer_buffer: unit::Bytes,
    /// Timeout for a connection between two requests.
    #[serde(serialize_with = "quantity::text")]
    #[schemars(schema_with = "quantity::millis_schema")]
    pub idle_time: unit::Millis,
    /// Timeout for receiving a request's head.
    #[serde(serialize_with = "quantity::text")]
    #[schemars(schema_with = "quantity::millis_schema")]
    pub header_time: unit::Millis,
    /// Timeout for a caller to read part of a buffered response.
    #[serde(serialize_with = "quantity::text")]
    #[schemars(schema_with = "quantity::millis_schema")]
    pub write_time: unit::Millis,
    /// Timeout for the response to a request.
    #[serde(serialize_with = "quantity::text")]
    #[schemars(schema_with = "quantity::millis_schema")]
    pub request_time: unit::Millis,
    /// Time for which a shutdown waits for requests in progress.
    #[serde(serialize_with = "quantity::text")]
    #[schemars(schema_with = "quantity::millis_schema")]
    pub drain_time: unit::Millis,
    /// Time for which callers may retry a call with the same idempotency key.
    #[serde(serialize_with = "quantity::text")]
    pub key_window: unit::Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory: unit::Bytes::new(256 << 20),
            connections: Connections::DEFAULT,
            header: unit::Bytes::new(16 << 10),
            body: unit::Bytes::new(4 << 20),
            answer_buffer: unit::Bytes::new(256 << 10),
            idle_time: unit::Millis::new(60_000),
            header_time: unit::Millis::new(10_000),
            write_time: unit::Millis::new(30_000),
            request_time: unit::Millis::new(300_000),
            drain_time: unit::Millis::new(600_000),
            key_window: unit::Millis::new(600_000),
        }
    }
}

read::read_object!(Limits {
    memory = Limits::default().memory,
    connections = Limits::default().connections,
    header = Limits::default().header,
    body = Limits::default().body,
    answer_buffer = Limits::default().answer_buffer,
    idle_time = Limits::default().idle_time,
    header_time = Limits::default().header_time,
    write_time = Limits::default().write_time,
    request_time = Limits::default().request_time,
    drain_time = Limits::default().drain_time,
    key_window = Limits::default().key_window,
});

quantity::count! {
    /// A count of connections.
    Connections, 1000000
}

impl Connections {
    const DEFAULT: Self = Self(4096);
}

/// Reads settings: JSON with comments.
///
/// # Errors
///
/// All errors of the text, up to [`config::MAX_PROBLEMS`]. Invalid syntax is one error.
pub fn parse(text: &str) -> Result<Settings, config::Problems> {
    read::document(text, addresses)
}

/// Checks that the addresses are consistent.
fn addresses(document: &ast::Value<'_>, reader: &mut read::Reader) {
    let root = select::Place::root(document);
    let select = |patterns: &[&str]| {
        patterns.iter().flat_map(|pattern| root.select(pattern)).collect::<Vec<_>>()
    };
    check::reachable(reader, &select(&["seeds/*", "configuration", "role/backend"]));
    check::addresses(reader, select(&["seeds/*"]));
    check::addresses(reader, select(&["listen", "operators", "role/callers", "role/backend"]));
}

/// The JSON Schema of settings.
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(Settings)
}
