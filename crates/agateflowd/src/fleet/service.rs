//! HTTP client of the configuration service.

use std::net;

use agateflow::fleet::{parts, watch};
use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use volo_http::client::Client as Http;
use volo_http::response::Response;

use super::counters::Counters;
use super::error::Error;

/// Header that carries the version of a value.
pub(super) const VERSION_HEADER: &str = "agateflow-version";
const CALL_HEADERS_BYTES: usize = 200; // estimate for a request or a response

/// Reads and long-polls one value.
pub(super) struct Client {
    http: Http,
    address: net::SocketAddr,
    path: Box<str>,
}

impl Client {
    pub(super) fn new(address: net::SocketAddr, value: &str) -> Result<Self, Error> {
        let http = Http::builder().build();
        let http = http.map_err(|e| Error::protocol("build client for", address, e))?;
        Ok(Self { http, address, path: format!("/v1/values/{value}").into() })
    }

    pub(super) fn address(&self) -> net::SocketAddr {
        self.address
    }

    pub(super) async fn call(
        &self,
        call: watch::Call,
        counters: &Counters,
    ) -> Result<watch::Answer, Error> {
        let path = &self.path;
        let uri = match call {
            watch::Call::Get => format!("http://{}{path}", self.address),
            watch::Call::Poll(after) => {
                let wait = watch::POLL_TIMEOUT.get();
                format!("http://{}{path}?after={after}&wait_ms={wait}", self.address)
            }
        };
        counters.sent_stream(CALL_HEADERS_BYTES);
        let response: Response = self.http.get(uri).send().await.map_err(|e| self.error(e))?;
        counters.received_stream(CALL_HEADERS_BYTES);
        match response.status() {
            StatusCode::OK => self.read_value(response, counters).await,
            StatusCode::NO_CONTENT => Ok(watch::Answer::Unchanged),
            status => Err(self.error(status)),
        }
    }

    async fn read_value(
        &self,
        response: Response,
        counters: &Counters,
    ) -> Result<watch::Answer, Error> {
        let version = response.headers().get(VERSION_HEADER);
        let version = version.and_then(|text| text.to_str().ok()?.parse().ok());
        let version = version.ok_or_else(|| self.error("missing or invalid version header"))?;
        let body = Limited::new(response.into_body(), parts::MAX_DOCUMENT_BYTES).collect().await;
        let bytes = body.map_err(|e| self.error(e))?.to_bytes();
        counters.received_stream(bytes.len());
        Ok(watch::Answer::Value(version, bytes.as_ref().into()))
    }

    fn error(&self, reason: impl ToString) -> Error {
        Error::protocol("call", self.address, reason)
    }
}
