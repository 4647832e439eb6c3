//! HTTP connections to upstreams: reused between requests, and closed where later bytes could
//! belong to an earlier request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use indexmap::IndexMap;
use tokio::task;

use super::socket;
use crate::blocks::Blocks;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Idle timeout of a connection whose upstream announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest idle timeout that an upstream is taken to have.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Margin before the upstream's own idle timeout at which reuse ends.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Longest idle time of a connection for a request that may run only once: if the upstream closes
/// it meanwhile, it is unknown whether the request ran.
const RUN_ONCE_MAX_IDLE: Duration = Duration::from_millis(150);

/// Requests refused on a connection after which it is closed.
const MAX_REFUSED: usize = 16;

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No byte of the request was sent.
    #[error("not sent to {peer}: {reason}")]
    Unsent {
        /// The upstream.
        peer: SocketAddr,
        /// Cause of the failure.
        reason: Box<str>,
    },
    /// It was sent, but the connection broke or carried invalid bytes.
    #[error("no answer from {peer}: {reason}")]
    Broken {
        /// The upstream.
        peer: SocketAddr,
        /// Cause of the failure.
        reason: Box<str>,
    },
}

struct Idle {
    sender: http1::SendRequest<Blocks>,
    task: task::AbortHandle,
    idle_since: Instant,
    idle_timeout: Duration,
    refused: Vec<Box<str>>,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed() && now < self.idle_since + self.idle_timeout
    }

    /// Closes the connection; false drops it in `retain`.
    fn close(&self) -> bool {
        self.task.abort();
        false
    }
}

/// Idle connections to all upstreams.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<IndexMap<SocketAddr, Vec<Idle>>>,
}

/// A connection in use. Dropping it closes the connection.
pub struct Connection {
    sender: Option<http1::SendRequest<Blocks>>,
    task: task::AbortHandle,
    address: SocketAddr,
    reused: bool,
    idle_timeout: Duration,
    /// Ids of requests that were refused on the connection.
    refused: Vec<Box<str>>,
    pool: Rc<Pool>,
}

impl Pool {
    /// Takes an idle connection or opens one for the request `id`. With `run_once`, an idle one must
    /// be recently used. The request was refused on none: a copy of the refusal could answer it.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`].
    pub async fn acquire(
        self: &Rc<Self>,
        address: SocketAddr,
        run_once: bool,
        id: &str,
    ) -> Result<Connection, Error> {
        if let Some(idle) = self.take_idle(address, run_once, id) {
            return Ok(Connection {
                sender: Some(idle.sender),
                task: idle.task,
                address,
                reused: true,
                idle_timeout: idle.idle_timeout,
                refused: idle.refused,
                pool: self.clone(),
            });
        }
        self.connect(address).await
    }

    fn take_idle(&self, address: SocketAddr, run_once: bool, id: &str) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|idle| idle.is_usable(now) || idle.close());
        let is_eligible = |idle: &Idle| {
            idle.sender.is_ready()
                && (!run_once || now < idle.idle_since + RUN_ONCE_MAX_IDLE)
                && !idle.refused.iter().any(|refused| **refused == *id)
        };
        let index = connections.iter().rposition(is_eligible)?;
        Some(connections.swap_remove(index))
    }

    async fn connect(self: &Rc<Self>, address: SocketAddr) -> Result<Connection, Error> {
        let opened = socket::open_http(address, CONNECT_TIMEOUT).await;
        let (sender, task) = opened.map_err(|reason| Error::Unsent { peer: address, reason })?;
        Ok(Connection {
            sender: Some(sender),
            task,
            address,
            reused: false,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            refused: Vec::new(),
            pool: self.clone(),
        })
    }

    /// Drops idle connections that are closed, expired, or lead to addresses for which `is_listed`
    /// is false.
    pub fn close_unusable(&self, is_listed: impl Fn(SocketAddr) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|&address, connections| {
            let listed = is_listed(address);
            connections.retain(|idle| (listed && idle.is_usable(now)) || idle.close());
            !connections.is_empty()
        });
    }
}

impl Connection {
    /// Whether the connection carried a request before.
    pub const fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends a request and awaits the head of its response.
    ///
    /// # Errors
    ///
    /// [`Error`].
    pub async fn send(&mut self, request: Request<Blocks>) -> Result<Response<Incoming>, Error> {
        let peer = self.address;
        let Some(sender) = self.sender.as_mut() else {
            return Err(Error::Unsent { peer, reason: "closed".into() });
        };
        match sender.try_send_request(request).await {
            Ok(response) => {
                self.idle_timeout = parse_idle_timeout(response.headers());
                Ok(response)
            }
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let reason = error.into_error().to_string().into();
                Err(if unsent {
                    Error::Unsent { peer, reason }
                } else {
                    Error::Broken { peer, reason }
                })
            }
        }
    }

    /// Returns the connection to the pool after it carried a refusal of the request `id`.
    pub fn release_after_refusal(mut self, id: Box<str>) {
        if self.refused.len() < MAX_REFUSED {
            self.refused.push(id);
            self.release();
        }
    }

    /// Returns the connection to the pool. Its response must have been read to the end.
    pub fn release(mut self) {
        let Some(sender) = self.sender.take() else { return };
        if sender.is_closed() {
            return;
        }
        let idle = Idle {
            sender,
            task: self.task.clone(),
            idle_since: Instant::now(),
            idle_timeout: self.idle_timeout,
            refused: std::mem::take(&mut self.refused),
        };
        self.pool.idle.borrow_mut().entry(self.address).or_default().push(idle);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

/// Idle timeout from the upstream's `keep-alive` header, less [`IDLE_MARGIN`].
fn parse_idle_timeout(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|text| {
        let mut parts = text.split(',').map(str::trim);
        parts.find_map(|part| part.strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    match seconds {
        Some(seconds) => {
            Duration::from_secs(seconds).min(MAX_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN)
        }
        None => DEFAULT_IDLE_TIMEOUT,
    }
}
