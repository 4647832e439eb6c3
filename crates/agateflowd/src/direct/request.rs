//! A caller's request: read whole, matched with a route and a team.

use std::rc::Rc;
use std::time::Duration;

use agateflow::direct::{config, suspect};
use agateflow::{id, unit};
use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{Method, StatusCode, Uri, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time;

use super::Entry;
use super::edge::Ask;

/// Longest time for the body of a request.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// A request that an upstream is to answer.
#[derive(Debug)]
pub struct Request {
    /// The configuration that it is handled by.
    pub table: Rc<config::Table>,
    /// Its route.
    pub route: config::Route,
    /// Service that serves it.
    pub service: id::Service,
    /// The caller's team, where the route asks for one.
    pub team: Option<id::Team>,
    /// Rank among requests, 0 first.
    pub priority: u8,
    /// What it says of itself.
    pub ask: Ask,
    /// Its method.
    pub method: Method,
    /// Its target, as the caller wrote it.
    pub target: Uri,
    /// Its headers without those of the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When its head had arrived.
    pub arrived: unit::Millis,
    /// Instant at which the caller gets its final answer.
    pub deadline: unit::Millis,
    /// What identifies it if it comes again.
    pub fingerprint: suspect::Fingerprint,
}

/// Why a request is not sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Two parsers could read its length differently.
    #[error("ambiguous length")]
    Ambiguous,
    /// No configuration is known yet.
    #[error("no configuration yet")]
    NoConfig,
    /// No route matches.
    #[error("no such route")]
    NoRoute,
    /// The key is missing or unknown.
    #[error("unknown key")]
    NoTeam,
    /// The body is longer than allowed.
    #[error("body too long")]
    TooLong,
    /// The body did not arrive in time.
    #[error("body too slow")]
    TooSlow,
    /// The body ended early.
    #[error("body incomplete")]
    Incomplete,
    /// The route has no service.
    #[error("route without service")]
    NoService,
}

impl Error {
    /// The status that tells the caller.
    pub const fn status(self) -> StatusCode {
        match self {
            Error::Ambiguous | Error::Incomplete => StatusCode::BAD_REQUEST,
            Error::NoConfig | Error::NoService => StatusCode::SERVICE_UNAVAILABLE,
            Error::NoRoute => StatusCode::NOT_FOUND,
            Error::NoTeam => StatusCode::UNAUTHORIZED,
            Error::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Error::TooSlow => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// Reads a request and matches it with one configuration.
///
/// # Errors
///
/// [`Error`], before anything was sent anywhere.
pub async fn read(
    entry: &Rc<Entry>,
    head: request::Parts,
    body: Incoming,
    arrived: unit::Millis,
) -> Result<Request, Error> {
    if head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(Error::Ambiguous);
    }
    let table = entry.table().ok_or(Error::NoConfig)?;
    let ask = entry.dialect.request(&head);
    let host = host(&head);
    let route = table.route(host, head.uri.path()).ok_or(Error::NoRoute)?.clone();
    let team = team(&table, &route, &ask)?;
    let service = route.pick_service(&mut *entry.rng.borrow_mut()).ok_or(Error::NoService)?.clone();
    let body = read_body(body, table.limits().body).await?;
    let waits = ask.time.unwrap_or(route.timeout).min(route.timeout);
    let name = team.as_ref().map_or("", |team| team.name.as_str());
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    Ok(Request {
        fingerprint: suspect::Fingerprint::new(name, head.method.as_str(), target, &body),
        priority: team.as_ref().and_then(|team| team.priority).unwrap_or(route.priority),
        team: team.map(|team| team.name),
        route,
        service,
        ask,
        method: head.method,
        headers: forwarded(head.headers),
        target: head.uri,
        body,
        arrived,
        deadline: arrived + waits,
        table,
    })
}

fn host(head: &request::Parts) -> &str {
    let header = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = head.uri.authority().map(http::uri::Authority::as_str).or(header).unwrap_or("");
    host.split(':').next().unwrap_or("")
}

fn team(
    table: &config::Table,
    route: &config::Route,
    ask: &Ask,
) -> Result<Option<config::Team>, Error> {
    if route.public || !table.has_teams() {
        return Ok(None);
    }
    let key = ask.key.as_deref().ok_or(Error::NoTeam)?;
    table.team(key).cloned().map(Some).ok_or(Error::NoTeam)
}

async fn read_body(body: Incoming, limit: unit::Bytes) -> Result<Bytes, Error> {
    let limited = Limited::new(body, limit.get() as usize);
    match time::timeout(BODY_TIME, limited.collect()).await {
        Err(_) => Err(Error::TooSlow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Error::TooLong),
        Ok(Err(_)) => Err(Error::Incomplete),
    }
}

/// Headers without those that concern one connection, whether by their meaning or because
/// `connection` names them. The length is written anew.
pub fn forwarded(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers
}
