//! Authentication and parsing of a caller's HTTP request.

use agateflow::admission::{self, answer};
use agateflow::config;
use agateflow::direct::quarantine;
use agateflow::id;
use agateflow::unit;
use agateflow::wire::frame;
use bytes::Bytes;
use http::{StatusCode, header};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::entry::problem::Problem;
use crate::meter;
use crate::upstream::backend;

/// Terminator of a server-sent event.
pub const EVENT_END: &[u8] = b"\n\n";

/// Path of model requests.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// Request timeout in milliseconds.
const TIMEOUT_HEADER: &str = "agateflow-timeout-ms";

/// Ticket of a call that may not be repeated, in hexadecimal.
const TICKET_HEADER: &str = "agateflow-ticket";

/// Key that the caller chose for a call that may not be repeated.
const KEY_HEADER: &str = "idempotency-key";

/// Maximum length of an `Idempotency-Key`.
const MAX_KEY_BYTES: usize = 255;

/// Approximate size of a token of the prompt.
const BYTES_PER_TOKEN: usize = 4;

/// The model or service that a request addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model, served by engines.
    Model(id::Model),
    /// A service that is passed through unparsed.
    Service(id::Service),
}

impl Target {
    /// Name of the model or service.
    pub fn as_str(&self) -> &str {
        match self {
            Target::Model(model) => model.as_str(),
            Target::Service(service) => service.as_str(),
        }
    }
}

/// An authenticated request that can be forwarded.
#[derive(Clone, Debug)]
pub struct Call {
    /// The authenticated team.
    pub team: id::Team,
    /// Priority of the team.
    pub priority: config::Priority,
    /// The model or service that serves it.
    pub target: Target,
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Headers to forward.
    pub headers: Vec<answer::Header>,
    /// The complete body.
    pub body: Bytes,
    /// Whether the response is a stream of server-sent events.
    pub stream: bool,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Ticket or idempotency key.
    pub key: frame::Key,
    /// Digest of team, method, path and body.
    pub digest: admission::Digest,
    /// Messages of the prompt without the last, which other requests may share.
    pub parts: Box<[quarantine::Part]>,
    /// Estimated tokens of prompt and output.
    pub tokens: unit::Tokens,
    /// How long the caller waits for the response.
    pub timeout: unit::Millis,
}

impl Call {
    /// Class of the request in metrics.
    pub const fn class(&self) -> meter::Class {
        match (&self.target, self.stream) {
            (Target::Service(_), _) => meter::Class::Plain,
            (Target::Model(_), true) => meter::Class::Stream,
            (Target::Model(_), false) => meter::Class::Whole,
        }
    }
}

#[derive(Deserialize)]
struct Chat<'a> {
    model: Box<str>,
    #[serde(default, borrow)]
    messages: Option<&'a RawValue>,
    #[serde(default)]
    stream: bool,
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
}

/// Estimated output of a request without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// Estimates the tokens of the prompt from the size of the body.
pub fn prompt_tokens(body: &[u8]) -> unit::Tokens {
    unit::Tokens::new((body.len() / BYTES_PER_TOKEN) as u64)
}

/// Whether a request carries a ticket or an idempotency key.
pub fn is_keyed(headers: &http::HeaderMap) -> bool {
    headers.contains_key(TICKET_HEADER) || headers.contains_key(KEY_HEADER)
}

/// Finds the team that the bearer key of a request belongs to.
///
/// # Errors
///
/// A 401 problem if the key is missing, a 403 problem if it is unknown.
pub fn authenticate<'a>(
    fleet: &'a config::Fleet,
    headers: &http::HeaderMap,
) -> Result<&'a config::Team, Problem> {
    let missing_key =
        || Problem::not_run(StatusCode::UNAUTHORIZED, "authorization: bearer key missing");
    let value = headers.get(header::AUTHORIZATION).ok_or_else(missing_key)?;
    let key = value.as_bytes().strip_prefix(b"Bearer ").ok_or_else(missing_key)?;
    let digest = config::KeyDigest::of_key(key);
    let unknown_key = || Problem::not_run(StatusCode::FORBIDDEN, "authorization: unknown key");
    fleet.team_by_key(&digest).ok_or_else(unknown_key)
}

/// Parses a request of `team`; its timeout is at most `max_timeout`.
///
/// # Errors
///
/// A 4xx problem that names the invalid part.
pub fn parse_request(
    fleet: &config::Fleet,
    team: &config::Team,
    parts: &http::request::Parts,
    body: Bytes,
    max_timeout: unit::Millis,
) -> Result<Call, Problem> {
    let properties = match parts.uri.path() {
        CHAT_PATH => parse_chat(fleet, team, &parts.method, &body)?,
        path => match_route(fleet, team, &parts.method, path)?,
    };
    let path: Box<str> = parts.uri.path_and_query().map_or("/", |path| path.as_str()).into();
    Ok(Call {
        digest: admission::Digest::new(&team.name, parts.method.as_str(), &path, &body),
        team: team.name.clone(),
        priority: team.priority,
        target: properties.target,
        method: parts.method.as_str().into(),
        path,
        headers: forwarded_headers(&parts.headers),
        body,
        parts: properties.parts,
        stream: properties.stream,
        repeatable: properties.repeatable,
        key: parse_key(&parts.headers)?,
        tokens: properties.tokens,
        timeout: parse_timeout(&parts.headers, max_timeout)?,
    })
}

/// The properties of a call that follow from its path and body.
struct Properties {
    target: Target,
    stream: bool,
    repeatable: bool,
    tokens: unit::Tokens,
    parts: Box<[quarantine::Part]>,
}

fn parse_chat(
    fleet: &config::Fleet,
    team: &config::Team,
    method: &http::Method,
    body: &Bytes,
) -> Result<Properties, Problem> {
    if *method != http::Method::POST {
        return Err(Problem::not_run(StatusCode::METHOD_NOT_ALLOWED, "model requests use POST"));
    }
    let chat: Chat = serde_json::from_slice(body)
        .map_err(|e| Problem::not_run(StatusCode::BAD_REQUEST, format!("body: {e}")))?;
    let model = chat
        .model
        .parse::<id::Model>()
        .map_err(|e| Problem::not_run(StatusCode::BAD_REQUEST, format!("model: {e}")))?;
    if fleet.model(&model).is_none() {
        return Err(Problem::not_run(StatusCode::NOT_FOUND, format!("no model {model}")));
    }
    if !team.models.contains(&model) {
        let detail = format!("team {} may not use model {model}", team.name);
        return Err(Problem::not_run(StatusCode::FORBIDDEN, detail));
    }
    let output = unit::Tokens::new(chat.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS));
    let tokens = prompt_tokens(body) + output;
    let parts = shared_parts(&model, chat.messages);
    let target = Target::Model(model);
    Ok(Properties { target, stream: chat.stream, repeatable: true, tokens, parts })
}

/// Hashes all messages but the last. What is no list of messages is left to the engine.
fn shared_parts(model: &id::Model, messages: Option<&RawValue>) -> Box<[quarantine::Part]> {
    let list = messages.map(RawValue::get).unwrap_or_default();
    let mut messages: Vec<&RawValue> = serde_json::from_str(list).unwrap_or_default();
    messages.pop();
    let part =
        |message: &&RawValue| quarantine::Part::new(model.as_str(), message.get().as_bytes());
    messages.iter().map(part).collect()
}

fn match_route(
    fleet: &config::Fleet,
    team: &config::Team,
    method: &http::Method,
    path: &str,
) -> Result<Properties, Problem> {
    let no_route = || Problem::not_run(StatusCode::NOT_FOUND, format!("no route for {path}"));
    let method = method.as_str().parse().map_err(|_| no_route())?;
    let route = fleet.route(method, path).ok_or_else(no_route)?;
    if !team.routes.contains(&route.name) {
        let detail = format!("team {} may not use route {}", team.name, route.name);
        return Err(Problem::not_run(StatusCode::FORBIDDEN, detail));
    }
    let target = Target::Service(route.service.clone());
    let repeatable = route.repeatable;
    let tokens = unit::Tokens::ZERO;
    Ok(Properties { target, stream: false, repeatable, tokens, parts: Box::default() })
}

fn parse_key(headers: &http::HeaderMap) -> Result<frame::Key, Problem> {
    let invalid = |detail: &str| Problem::not_run(StatusCode::BAD_REQUEST, detail);
    if let Some(ticket) = headers.get(TICKET_HEADER) {
        let ticket =
            hex::decode(ticket.as_bytes()).map_err(|_| invalid("ticket: not hexadecimal"))?;
        return Ok(frame::Key::Ticket(ticket.into()));
    }
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(frame::Key::None);
    };
    let bytes = value.as_bytes();
    let visible = bytes.iter().all(u8::is_ascii_graphic);
    if values.next().is_some() || bytes.is_empty() || bytes.len() > MAX_KEY_BYTES || !visible {
        return Err(invalid("idempotency-key: expected one value of 1 to 255 visible characters"));
    }
    Ok(frame::Key::Idempotency(Bytes::copy_from_slice(bytes)))
}

fn parse_timeout(
    headers: &http::HeaderMap,
    max_timeout: unit::Millis,
) -> Result<unit::Millis, Problem> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(max_timeout);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse::<unit::Millis>().ok());
    let invalid =
        || Problem::not_run(StatusCode::BAD_REQUEST, "agateflow-timeout-ms: not a number");
    Ok(parsed.ok_or_else(invalid)?.min(max_timeout))
}

/// The headers without those of the caller's connection, its key and this system.
fn forwarded_headers(headers: &http::HeaderMap) -> Vec<answer::Header> {
    let is_dropped = |name: &http::HeaderName| {
        backend::is_hop_by_hop(name)
            || matches!(*name, header::AUTHORIZATION | header::HOST | header::CONTENT_LENGTH)
            || matches!(*name, header::EXPECT)
            || name.as_str().starts_with("agateflow-")
    };
    headers
        .iter()
        .filter(|(name, _)| !is_dropped(name))
        .map(|(name, value)| answer::Header {
            name: name.as_str().into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
