//! Pages for operators: health, readiness, metrics and status.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agateflow::unit;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::connection::{self, Timeouts};
use crate::error::Error;
use crate::intake::{Connection, Intake};
use crate::{blocks, listener};

/// Largest head of a request.
const HEAD_BYTES: usize = 8 << 10;

/// Time limits of connections.
const TIMEOUTS: Timeouts = Timeouts {
    idle: Duration::from_secs(60),
    head: Duration::from_secs(5),
    write: Duration::from_secs(5),
};

/// State of a process as `/status` shows it.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of its VM.
    pub vm: Box<str>,
    /// Its role.
    pub role: &'static str,
    /// Its incarnation.
    pub incarnation: Box<str>,
    /// Version of the daemon.
    pub version: &'static str,
    /// Configuration revision in force.
    pub revision: unit::Revision,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Requests in progress.
    pub running: usize,
    /// Open links.
    pub links: usize,
}

/// Reads the state of the process.
pub type Probe = Arc<dyn Fn() -> Status + Send + Sync>;

/// A page before it is charged.
type Page = Response<Bytes>;

/// Serves the pages.
#[derive(Clone)]
pub struct Pages {
    probe: Probe,
    metrics: PrometheusHandle,
    intake: Arc<Intake>,
    logger: slog::Logger,
}

impl Pages {
    /// Creates the pages of the process that `probe` reads. `intake` takes their connections.
    pub fn new(
        probe: Probe,
        metrics: PrometheusHandle,
        intake: Arc<Intake>,
        logger: slog::Logger,
    ) -> Self {
        Self { probe, metrics, intake, logger }
    }

    /// Starts to serve on `address`; the address bound is returned.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the address cannot be bound.
    pub async fn start(
        self,
        address: SocketAddr,
        drain: watch::Receiver<bool>,
    ) -> Result<SocketAddr, Error> {
        let listener = listener::bind(address)?;
        let bound = listener::local_address(&listener, address)?;
        tokio::spawn(self.accept(listener, drain));
        Ok(bound)
    }

    async fn accept(self, listener: TcpListener, mut drain: watch::Receiver<bool>) {
        let closed = drain.clone();
        while let Some((stream, caller)) =
            listener::accept(&listener, &mut drain, &self.logger).await
        {
            let Some(connection) = self.intake.admit(caller.ip()).await else { continue };
            let (pages, account, closed) = (self.clone(), connection.clone(), closed.clone());
            let handle = move |request| pages.clone().respond(account.clone(), request);
            tokio::spawn(async move {
                connection::serve(stream, connection, HEAD_BYTES, || TIMEOUTS, closed, handle)
                    .await;
            });
        }
    }

    /// Responds with a page, charged to the connection. The body of the request is not read.
    async fn respond(
        self,
        connection: Arc<Connection>,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        if !body.is_end_stream() {
            connection.leave_body_unread();
        }
        let page = self.page(parts.uri.path());
        match connection.charge(page.body().len() as u64).await {
            Ok(charge) => page.map(|text| Full::new(blocks::charged(text, charge))),
            Err(full) => {
                let full = full.to_string();
                text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", full).map(Full::new)
            }
        }
    }

    fn page(&self, path: &str) -> Page {
        match path {
            "/healthz" => self.health(),
            "/readyz" => self.readiness(),
            "/metrics" => text(StatusCode::OK, "text/plain; version=0.0.4", self.metrics.render()),
            "/status" => self.status(),
            _ => text(StatusCode::NOT_FOUND, "text/plain", "no such page\n"),
        }
    }

    /// Fails while the process is leaving, so that the balancer stops sending.
    fn health(&self) -> Page {
        match (self.probe)().leaving {
            true => text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "leaving\n"),
            false => text(StatusCode::OK, "text/plain", "ok\n"),
        }
    }

    fn readiness(&self) -> Page {
        let status = (self.probe)();
        let ready = !status.leaving && (status.links > 0 || status.role == "upstream");
        match ready {
            true => text(StatusCode::OK, "text/plain", "ready\n"),
            false => text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n"),
        }
    }

    fn status(&self) -> Page {
        match serde_json::to_string(&(self.probe)()) {
            Ok(json) => text(StatusCode::OK, "application/json", json),
            Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", e.to_string()),
        }
    }
}

fn text(status: StatusCode, content_type: &'static str, text: impl Into<Bytes>) -> Page {
    let mut page = Response::new(text.into());
    *page.status_mut() = status;
    let content_type = http::HeaderValue::from_static(content_type);
    page.headers_mut().insert(header::CONTENT_TYPE, content_type);
    page
}
