//! Connections to upstreams: kept between requests, and closed where what comes next on one could
//! belong to an earlier request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use indexmap::IndexMap;
use tokio::task;

use super::socket;

/// Longest time for a connection to open.
const CONNECT_TIME: Duration = Duration::from_millis(350);

/// Idle time after which a connection is not used again where the upstream names no limit.
const IDLE_TIME: Duration = Duration::from_millis(900);

/// Time before the upstream's own limit at which a connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Idle time after which a connection is not used for a request that may run only once: if the
/// upstream closes it meanwhile, the request's fate would be unknown.
const FRESH_TIME: Duration = Duration::from_millis(150);

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No byte of it was sent.
    #[error("not sent to {peer}: {reason}")]
    Unsent {
        /// The upstream.
        peer: SocketAddr,
        /// What went wrong.
        reason: Box<str>,
    },
    /// It was sent, and the connection broke or carried something else.
    #[error("no answer from {peer}: {reason}")]
    Broken {
        /// The upstream.
        peer: SocketAddr,
        /// What went wrong.
        reason: Box<str>,
    },
}

struct Idle {
    sender: http1::SendRequest<Full<Bytes>>,
    task: task::AbortHandle,
    since: Instant,
    limit: Duration,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed() && now < self.since + self.limit
    }

    /// Closes the connection. It is not to be kept: false.
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
pub struct Channel {
    sender: Option<http1::SendRequest<Full<Bytes>>>,
    task: task::AbortHandle,
    address: SocketAddr,
    reused: bool,
    limit: Duration,
    pool: Rc<Pool>,
}

impl Pool {
    /// Takes an idle connection, or opens one. `once` asks for one that was used a moment ago.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`].
    pub async fn take(self: &Rc<Self>, address: SocketAddr, once: bool) -> Result<Channel, Error> {
        if let Some(idle) = self.pop(address, once) {
            return Ok(Channel {
                sender: Some(idle.sender),
                task: idle.task,
                address,
                reused: true,
                limit: idle.limit,
                pool: self.clone(),
            });
        }
        self.open(address).await
    }

    fn pop(&self, address: SocketAddr, once: bool) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let channels = idle.get_mut(&address)?;
        let now = Instant::now();
        channels.retain(|idle| idle.is_usable(now) || idle.close());
        let fits = |idle: &Idle| idle.sender.is_ready() && (!once || now < idle.since + FRESH_TIME);
        let index = channels.iter().rposition(fits)?;
        Some(channels.swap_remove(index))
    }

    async fn open(self: &Rc<Self>, address: SocketAddr) -> Result<Channel, Error> {
        let opened = socket::open(address, CONNECT_TIME).await;
        let (sender, task) = opened.map_err(|reason| Error::Unsent { peer: address, reason })?;
        Ok(Channel {
            sender: Some(sender),
            task,
            address,
            reused: false,
            limit: IDLE_TIME,
            pool: self.clone(),
        })
    }

    /// Closes idle connections that are closed, too old, or lead to addresses that `keep` does
    /// not hold for.
    pub fn sweep(&self, keep: impl Fn(SocketAddr) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|&address, channels| {
            let keeps = keep(address);
            channels.retain(|idle| (keeps && idle.is_usable(now)) || idle.close());
            !channels.is_empty()
        });
    }
}

impl Channel {
    /// Whether the connection carried a request before.
    pub const fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends a request and awaits the head of its answer.
    ///
    /// # Errors
    ///
    /// [`Error`].
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let peer = self.address;
        let Some(sender) = self.sender.as_mut() else {
            return Err(Error::Unsent { peer, reason: "closed".into() });
        };
        match sender.try_send_request(request).await {
            Ok(response) => {
                self.limit = idle_limit(response.headers());
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

    /// Keeps the connection for another request; its answer was read to the end.
    pub fn keep(mut self) {
        let Some(sender) = self.sender.take() else { return };
        if sender.is_closed() {
            return;
        }
        let idle =
            Idle { sender, task: self.task.clone(), since: Instant::now(), limit: self.limit };
        self.pool.idle.borrow_mut().entry(self.address).or_default().push(idle);
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

/// Idle time that the upstream allows, by its `keep-alive` header.
fn idle_limit(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = value.and_then(|text| {
        let mut parts = text.split(',').map(str::trim);
        parts.find_map(|part| part.strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    match seconds {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN),
        None => IDLE_TIME,
    }
}
