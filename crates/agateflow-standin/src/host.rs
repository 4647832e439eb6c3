//! Host of a stand-in: an HTTP server on a thread of its own, which can be paused and crashed.

use std::convert::Infallible;
use std::future::{self, Future};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, mpsc};
use std::thread;

use bytes::Bytes;
use futures::StreamExt;
use http::{Request, StatusCode};
use http_body_util::BodyStream;
use tokio::net::{TcpListener, TcpSocket};
use volo::net::incoming::DefaultIncoming;
use volo::service::Service;
use volo_http::body::{Body, BodyConversion};
use volo_http::context::ServerContext;
use volo_http::response::Response;
use volo_http::server::Server;

use crate::error::Error;
use crate::fault;
use crate::reply;

/// Length of the listen backlog.
const BACKLOG: u32 = 1024;

/// Request handler of a stand-in.
pub trait App: Send + Sync + 'static {
    /// Answers one request.
    fn call(&self, request: Request<Bytes>) -> impl Future<Output = Response> + Send;

    /// Whether faults of single requests (delay, refusal, marker, cut) apply to the request.
    fn is_work(&self, _request: &Request<Bytes>) -> bool {
        true
    }
}

type Start = dyn Fn(mpsc::Sender<io::Result<()>>) -> thread::JoinHandle<()> + Send + Sync;

/// A running stand-in. Dropping it shuts it down.
pub struct Host {
    address: SocketAddr,
    // Bound but never listening: keeps the port while the stand-in is down.
    _reservation: TcpSocket,
    faults: Arc<fault::Control>,
    start: Box<Start>,
    thread: Mutex<Option<thread::JoinHandle<()>>>,
}

impl Host {
    /// Starts a stand-in on `address`, whose port may be 0. `build` makes its application at each
    /// start, within the runtime of its thread.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] if the address cannot be used.
    pub fn start<A: App>(
        address: SocketAddr,
        build: impl Fn() -> A + Send + Sync + 'static,
    ) -> Result<Self, Error> {
        let reservation = bind(address).map_err(|e| Error::start("bind", address, e))?;
        let address = reservation.local_addr().map_err(|e| Error::start("bind", address, e))?;
        let faults = Arc::new(fault::Control::new());
        let start = spawner(address, Arc::clone(&faults), Arc::new(build));
        let host = Self {
            address,
            _reservation: reservation,
            faults,
            start: Box::new(start),
            thread: Mutex::new(None),
        };
        host.restart()?;
        Ok(host)
    }

    /// The address that the stand-in serves on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The faults of the stand-in.
    pub fn faults(&self) -> &fault::Control {
        &self.faults
    }

    /// Pauses the process like a suspended VM: connections stay open.
    pub fn pause(&self) {
        self.faults.switch(fault::Mode::Paused);
    }

    /// Ends a pause.
    pub fn unpause(&self) {
        if self.faults.mode() == fault::Mode::Paused {
            self.faults.switch(fault::Mode::Running);
        }
    }

    /// Ends the process: drops its connections and refuses new ones until [`Host::restart`].
    pub fn crash(&self) {
        self.faults.switch(fault::Mode::Crashed);
        if let Some(thread) = fault::lock(&self.thread).take() {
            let _ = thread.join();
        }
    }

    /// Starts the process again on the same address, after a crash or in place of a running one.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] if it cannot listen on its address.
    pub fn restart(&self) -> Result<(), Error> {
        self.crash();
        let (sender, receiver) = mpsc::channel();
        self.faults.switch(fault::Mode::Running);
        *fault::lock(&self.thread) = Some((self.start)(sender));
        let started = receiver.recv().unwrap_or_else(|e| Err(io::Error::other(e)));
        started.map_err(|e| Error::start("listen", self.address, e))
    }

    /// Ends the stand-in.
    pub fn shutdown(self) {
        self.crash();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.crash();
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn spawner<A: App>(
    address: SocketAddr,
    faults: Arc<fault::Control>,
    build: Arc<impl Fn() -> A + Send + Sync + 'static>,
) -> impl Fn(mpsc::Sender<io::Result<()>>) -> thread::JoinHandle<()> + Send + Sync + 'static {
    move |started| {
        let faults = Arc::clone(&faults);
        let build = Arc::clone(&build);
        thread::spawn(move || {
            if let Err(error) = run(address, faults, build.as_ref(), &started) {
                let _ = started.send(Err(error));
            }
        })
    }
}

/// Serves until the stand-in crashes. Dropping the runtime drops every connection.
fn run<A: App>(
    address: SocketAddr,
    faults: Arc<fault::Control>,
    build: &impl Fn() -> A,
    started: &mpsc::Sender<io::Result<()>>,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let listener: TcpListener = bind(address)?.listen(BACKLOG)?;
        let gate = Gate { app: build(), faults: Arc::clone(&faults) };
        let _ = started.send(Ok(()));
        let server = Server::new(gate).run(DefaultIncoming::from(listener));
        tokio::select! {
            result = server => result.map_err(io::Error::other),
            () = faults.crashed() => Ok(()),
        }
    })
}

/// Applies the faults to each request before the application handles it.
struct Gate<A> {
    app: A,
    faults: Arc<fault::Control>,
}

impl<A: App> Service<ServerContext, Request<Body>> for Gate<A> {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _context: &mut ServerContext,
        request: Request<Body>,
    ) -> Result<Response, Infallible> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.into_bytes().await else {
            return Ok(reply::empty(StatusCode::BAD_REQUEST));
        };
        Ok(self.answer(Request::from_parts(parts, body)).await)
    }
}

impl<A: App> Gate<A> {
    async fn answer(&self, request: Request<Bytes>) -> Response {
        if !self.app.is_work(&request) {
            return self.app.call(request).await;
        }
        let mut response = match self.faults.meet(request.body()).await {
            fault::Verdict::Refuse => reply::error(StatusCode::SERVICE_UNAVAILABLE, "refused"),
            fault::Verdict::Crash => {
                self.faults.switch(fault::Mode::Crashed);
                future::pending().await
            }
            fault::Verdict::Serve { cut_after } => {
                let response = self.app.call(request).await;
                cut(response, cut_after)
            }
        };
        response.headers_mut().extend(self.faults.notices());
        response
    }
}

fn cut(response: Response, after: Option<u64>) -> Response {
    let Some(after) = after else {
        return response;
    };
    response.map(|body| {
        let mut frames = BodyStream::new(body);
        Body::from_stream(async_stream::stream! {
            for _ in 0..after {
                match frames.next().await {
                    Some(frame) => yield frame,
                    None => return,
                }
            }
            yield Err(io::Error::other("cut").into());
        })
    })
}
