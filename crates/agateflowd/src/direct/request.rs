//! Reads a caller's request whole and matches it with a route and a team.

use std::rc::Rc;
use std::sync::Arc;

use agateflow::direct::{config, quarantine, suspect};
use agateflow::{id, unit};
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{Method, StatusCode, Uri, request};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time;

use super::Entry;
use super::adapter::Head;
use crate::blocks::{self, Blocks};
use crate::intake::{self, Charge, Connection};

/// Timeout for reading the body of a request.
const BODY_TIMEOUT: unit::Millis = unit::Millis::new(10_000);

/// Memory of a request beside its body: its state, and the buffer that its head was read into.
const REQUEST_BYTES: u64 = 24 << 10;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// A request to be forwarded to an upstream.
pub struct Request {
    /// Configuration under which it is handled.
    pub table: Rc<config::Table>,
    /// Route that it matches.
    pub route: config::Route,
    /// Service that it goes to.
    pub service: id::Service,
    /// The caller's team, where the route requires one.
    pub team: Option<id::Team>,
    /// Priority; 0 goes first.
    pub priority: u8,
    /// What its headers say.
    pub info: Head,
    /// Its method.
    pub method: Method,
    /// Target as sent by the caller.
    pub target: Uri,
    /// Headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Blocks,
    /// When the head had arrived.
    pub arrived: unit::Millis,
    /// Instant by which the caller gets the final response.
    pub deadline: unit::Millis,
    /// Identifies repetitions of the request.
    pub fingerprint: suspect::Fingerprint,
    /// Parts of its prompt that other requests may share.
    pub parts: Box<[quarantine::Part]>,
    /// What it holds beside its body.
    _charge: Charge,
}

impl Request {
    /// Hashes of the shared parts of its prompt, as the log names them.
    pub fn part_hashes(&self) -> String {
        let hashes: Vec<String> = self.parts.iter().map(ToString::to_string).collect();
        hashes.join(" ")
    }
}

/// Why a request is not forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Parsers could disagree on its length.
    #[error("ambiguous length")]
    AmbiguousLength,
    /// No configuration is known yet.
    #[error("no configuration yet")]
    NoConfig,
    /// No route matches.
    #[error("no such route")]
    NoRoute,
    /// The key is missing or unknown.
    #[error("unknown key")]
    UnknownKey,
    /// The body is longer than allowed.
    #[error("body too long")]
    BodyTooLong,
    /// The body did not arrive in time.
    #[error("body too slow")]
    BodyTooSlow,
    /// The body ended early.
    #[error("body incomplete")]
    BodyIncomplete,
    /// The route has no service.
    #[error("route without service")]
    NoService,
    /// There is no memory for it.
    #[error("{0}")]
    Full(#[from] intake::Full),
}

impl Error {
    /// Status of the response.
    pub const fn status(self) -> StatusCode {
        match self {
            Error::AmbiguousLength | Error::BodyIncomplete => StatusCode::BAD_REQUEST,
            Error::NoConfig | Error::NoService | Error::Full(_) => StatusCode::SERVICE_UNAVAILABLE,
            Error::NoRoute => StatusCode::NOT_FOUND,
            Error::UnknownKey => StatusCode::UNAUTHORIZED,
            Error::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Error::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// Reads a request and matches it with one configuration, the active one.
///
/// # Errors
///
/// [`Error`]; nothing was forwarded then.
pub async fn read(
    entry: &Rc<Entry>,
    connection: &Arc<Connection>,
    head: request::Parts,
    mut body: Incoming,
    arrived: unit::Millis,
) -> Result<Request, Error> {
    let request = read_whole(entry, connection, head, &mut body, arrived).await;
    if request.is_err() && !body.is_end_stream() {
        connection.leave_body_unread();
    }
    request
}

async fn read_whole(
    entry: &Rc<Entry>,
    connection: &Arc<Connection>,
    head: request::Parts,
    body: &mut Incoming,
    arrived: unit::Millis,
) -> Result<Request, Error> {
    if head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(Error::AmbiguousLength);
    }
    let table = entry.table().ok_or(Error::NoConfig)?;
    let info = entry.dialect.parse_request(&head);
    let host = host_name(&head);
    let route = table.route(host, head.uri.path()).ok_or(Error::NoRoute)?.clone();
    let team = find_team(&table, &route, &info)?;
    let service = route.pick_service(&mut *entry.rng.borrow_mut()).ok_or(Error::NoService)?.clone();
    connection.set_team(team.as_ref().map(|team| team.name.clone()));
    let charge = connection.charge(REQUEST_BYTES).await?;
    let time_limit = info.caller_timeout.unwrap_or(route.timeout).min(route.timeout);
    let body_due = entry.instant_at(arrived + time_limit.min(BODY_TIMEOUT));
    let reading = read_body(body, table.limits().body, connection);
    let body = time::timeout_at(body_due, reading).await.map_err(|_| Error::BodyTooSlow)??;
    let name = team.as_ref().map_or("", |team| team.name.as_str());
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    let parts = info.prompt_parts.iter();
    Ok(Request {
        parts: parts.map(|id| quarantine::Part::new(service.as_str(), id.as_bytes())).collect(),
        fingerprint: fingerprint(name, &head.method, target, &body),
        priority: team.as_ref().and_then(|team| team.priority).unwrap_or(route.priority),
        team: team.map(|team| team.name),
        route,
        service,
        info,
        method: head.method,
        headers: strip_hop_by_hop(head.headers),
        target: head.uri,
        body,
        arrived,
        deadline: arrived + time_limit,
        table,
        _charge: charge,
    })
}

fn fingerprint(team: &str, method: &Method, target: &str, body: &Blocks) -> suspect::Fingerprint {
    suspect::Fingerprint::with_parts(team, method.as_str(), target, body.parts())
}

fn host_name(head: &request::Parts) -> &str {
    let header = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = head.uri.authority().map(http::uri::Authority::as_str).or(header).unwrap_or("");
    host.split(':').next().unwrap_or("")
}

fn find_team(
    table: &config::Table,
    route: &config::Route,
    info: &Head,
) -> Result<Option<config::Team>, Error> {
    if route.public || !table.has_teams() {
        return Ok(None);
    }
    let key = info.key.as_deref().ok_or(Error::UnknownKey)?;
    table.team(key).cloned().map(Some).ok_or(Error::UnknownKey)
}

/// Reads a body of at most `limit`, charged to the connection.
async fn read_body(
    body: &mut Incoming,
    limit: unit::Bytes,
    connection: &Arc<Connection>,
) -> Result<Blocks, Error> {
    if body.size_hint().lower() > limit.get() {
        return Err(Error::BodyTooLong);
    }
    let mut builder = blocks::Builder::new(connection, body.size_hint().exact()).await?;
    let evicted = connection.evicted();
    tokio::pin!(evicted);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut evicted => return Err(intake::Full.into()),
        };
        let Some(frame) = frame else { return Ok(builder.finish()) };
        let Ok(bytes) = frame.map_err(|_| Error::BodyIncomplete)?.into_data() else { continue };
        if builder.length() + bytes.len() as u64 > limit.get() {
            return Err(Error::BodyTooLong);
        }
        builder.record(&bytes);
        builder.push(&bytes).await?;
    }
}

/// Removes hop-by-hop headers, including those named by `connection`, and `content-length`, which
/// is set anew.
pub fn strip_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers
}
