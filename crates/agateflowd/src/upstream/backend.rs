//! HTTP calls to the engine or plain service on this VM.

use std::error::Error as _;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use agateflow::admission::answer;
use agateflow::outcome;
use agateflow::wire::frame;
use bytes::Bytes;
use http::header;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::error::ClientError;
use volo_http::response::Response;

use crate::direct::socket;
use crate::notice::Notice;
use crate::retry_after;

/// Request header with the attempt ID.
const ATTEMPT_HEADER: &str = "agateflow-attempt";

/// Request header with the number of tokens that the caller already has.
const SKIP_HEADER: &str = "agateflow-resume-tokens";

/// Request header with the priority class.
const PRIORITY_HEADER: &str = "agateflow-priority";

/// Response header with the requests per second that the engine accepts, if limited.
const RATE_LIMIT_HEADER: &str = "agateflow-rate-limit";

/// Response header, `1` if the engine is shutting down.
const LEAVING_HEADER: &str = "agateflow-leaving";

/// Shorter than the idle timeout of common servers.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout for connecting to the engine or service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call returned no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Connecting failed, so the call did not run.
    #[error("connect to {peer}: {reason}")]
    Unreachable {
        /// The engine or service.
        peer: SocketAddr,
        /// The cause.
        reason: Box<str>,
    },
    /// The request is not valid HTTP, so the call did not run.
    #[error("build request: {0}")]
    Invalid(Box<str>),
    /// The connection closed before a response, so the call may have run.
    #[error("call {peer}: {reason}")]
    Ambiguous {
        /// The engine or service.
        peer: SocketAddr,
        /// The cause.
        reason: Box<str>,
    },
}

/// HTTP client of the engine or plain service.
#[derive(Clone)]
pub struct Backend {
    client: Client,
    address: SocketAddr,
}

impl Backend {
    /// Creates a client of the engine or service at `address`.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] if the HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> Result<Self, Error> {
        let mut builder = Client::builder();
        builder.set_pool_idle_timeout(POOL_IDLE_TIMEOUT);
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        let client = builder.build().map_err(|e| Error::Invalid(e.to_string().into()))?;
        Ok(Self { client, address })
    }

    /// Address of the engine or service.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the engine or service refuses connections.
    pub async fn has_ended(&self) -> bool {
        socket::is_refused(self.address, CONNECT_TIMEOUT).await
    }

    /// Sends the request of `start` and awaits the response head.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn call(&self, start: &frame::Start) -> Result<Response, Error> {
        let method = http::Method::from_bytes(start.method.as_bytes())
            .map_err(|e| Error::Invalid(e.to_string().into()))?;
        let uri = format!("http://{}{}", self.address, start.path);
        let mut request = self.client.request(method, uri);
        add_headers(request.headers_mut(), start)?;
        let response = request.body(Body::from(start.body.clone())).send().await;
        let response = response.map_err(|error| self.classify(&error))?;
        let status = response.status().as_u16();
        if !outcome::is_final(status) {
            let reason = format!("status {status} is not final").into();
            return Err(Error::Ambiguous { peer: self.address, reason });
        }
        Ok(response)
    }

    fn classify(&self, error: &ClientError) -> Error {
        let peer = self.address;
        let reason = match error.source() {
            Some(source) => format!("{error}: {source}").into(),
            None => error.to_string().into(),
        };
        // Only the connector returns a bare I/O error; the HTTP layer wraps later ones.
        match error.source().and_then(|source| source.downcast_ref::<io::Error>()) {
            Some(_) => Error::Unreachable { peer, reason },
            None => Error::Ambiguous { peer, reason },
        }
    }
}

fn add_headers(headers: &mut http::HeaderMap, start: &frame::Start) -> Result<(), Error> {
    let invalid = |e: &dyn std::error::Error| Error::Invalid(e.to_string().into());
    for header in &start.headers {
        let name = http::HeaderName::from_bytes(header.name.as_bytes()).map_err(|e| invalid(&e))?;
        let value =
            http::HeaderValue::from_maybe_shared(header.value.clone()).map_err(|e| invalid(&e))?;
        headers.append(name, value);
    }
    let attempt = http::HeaderValue::from_str(&start.id.to_string()).map_err(|e| invalid(&e))?;
    headers.insert(ATTEMPT_HEADER, attempt);
    headers.insert(PRIORITY_HEADER, http::HeaderValue::from(u16::from(start.priority)));
    if start.skip.get() > 0 {
        headers.insert(SKIP_HEADER, http::HeaderValue::from(start.skip.get()));
    }
    Ok(())
}

/// What the engine says of itself in a response.
pub fn parse_notice(status: http::StatusCode, headers: &http::HeaderMap) -> Notice {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let is_refusal = status == http::StatusCode::SERVICE_UNAVAILABLE;
    Notice {
        rate_limit: text(RATE_LIMIT_HEADER).and_then(|limit| limit.parse().ok()),
        rest: retry_after::parse(headers).filter(|_| is_refusal),
        leaving: text(LEAVING_HEADER) == Some("1"),
    }
}

/// Response headers that are forwarded to the caller.
pub fn end_to_end_headers(headers: &http::HeaderMap) -> Vec<answer::Header> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && !is_notice(name))
        .map(|(name, value)| answer::Header {
            name: name.as_str().into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Whether the header is addressed to the upstream process.
fn is_notice(name: &http::HeaderName) -> bool {
    [RATE_LIMIT_HEADER, LEAVING_HEADER].contains(&name.as_str())
}

/// Whether the header applies to a single connection (RFC 9110, section 7.6.1).
pub fn is_hop_by_hop(name: &http::HeaderName) -> bool {
    const NAMES: [header::HeaderName; 6] = [
        header::CONNECTION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::PROXY_AUTHORIZATION,
    ];
    NAMES.contains(name) || matches!(name.as_str(), "keep-alive" | "proxy-connection")
}

/// Whether the response is a stream of server-sent events.
pub fn is_event_stream(headers: &http::HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}
