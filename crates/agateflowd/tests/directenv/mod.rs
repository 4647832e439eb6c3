//! An entry over real sockets on loopback, and scripted upstreams that send given bytes.

#![allow(clippy::unwrap_used, dead_code)]

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use agateflow::direct::budget;
use agateflow::direct::config::{Config, Kind, Limits, Route, Service, Target, Team};
use agateflow::direct::directory::{Change, Revision, State, Upstream};
use agateflow::direct::response::{Sender, Signs, Subject};
use agateflow::id;
use agateflow::intake::Machine;
use agateflow::unit::{Bytes, Millis};
use agateflowd::direct::adapter::{Dialect, Forward, Head};
use agateflowd::direct::entry::Options;
use agateflowd::direct::{Entry, run, server, socket};
use agateflowd::log;
use agateflowd::notice::Notice;
use http::{HeaderMap, HeaderValue, request, response};
use slog::Drain;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::{self, JoinSet, LocalSet};
use tokio::time;

/// Header format of these tests: `id` identifies a request, `sender` the upstream of a response,
/// `not-run` and `proof` classify it. An upstream says of itself `rate-limit`, `rest-ms` and `leaving`.
pub struct Headers;

pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

impl Dialect for Headers {
    fn parse_request(&self, head: &request::Parts) -> Head {
        Head {
            id: header_text(&head.headers, "id").unwrap_or_default().into(),
            key: header_text(&head.headers, "key").map(Into::into),
            caller_timeout: header_text(&head.headers, "time")
                .and_then(|t| t.parse().ok())
                .map(Millis::new),
            last_event: None,
            prompt_parts: header_text(&head.headers, "parts")
                .map(|parts| parts.split(' ').map(Into::into).collect())
                .unwrap_or_default(),
        }
    }

    fn write_forward(&self, headers: &mut HeaderMap, forward: &Forward<'_>) {
        headers.remove("key");
        let last = forward.last_event.map(|last| last.to_string()).unwrap_or_default();
        headers.insert("last", HeaderValue::from_str(&last).unwrap());
        headers
            .insert("left", HeaderValue::from_str(&forward.time_left.get().to_string()).unwrap());
    }

    fn read_signs(&self, head: &response::Parts, info: &Head, upstream: &id::Vm) -> Signs {
        Signs {
            status: head.status.as_u16(),
            subject: match header_text(&head.headers, "id") {
                Some(id) if id == &*info.id => Subject::Own,
                Some(_) => Subject::Other,
                None => Subject::Unnamed,
            },
            sender: match header_text(&head.headers, "sender") {
                Some(vm) if vm == upstream.as_str() => Sender::Expected,
                Some(_) => Sender::Other,
                None => Sender::Unnamed,
            },
            not_run: head.headers.contains_key("not-run"),
            proof: head.headers.contains_key("proof"),
        }
    }

    fn parse_notice(&self, head: &response::Parts) -> Notice {
        let rate_limit = header_text(&head.headers, "rate-limit");
        let rest = header_text(&head.headers, "rest-ms").and_then(|rest| rest.parse().ok());
        Notice {
            rate_limit: rate_limit.and_then(|limit| limit.parse().ok()),
            rest: rest.map(Millis::new),
            leaving: head.headers.contains_key("leaving"),
        }
    }
}

/// What an upstream does with a request.
#[derive(Clone)]
pub enum Action {
    /// Sends these bytes and keeps the connection.
    Send(String),
    /// Sends these bytes, then resets the connection.
    SendAndReset(String),
    /// Sends these bytes, then ends the connection.
    SendAndClose(String),
    /// Sends the first bytes, then the second ones repeatedly with a pause until the connection
    /// closes.
    Repeat(String, String, Duration),
    /// Sends these parts with a pause after each.
    SendParts(Vec<String>, Duration),
    /// Sends nothing.
    SendNothing,
}

pub struct Server {
    pub vm: id::Vm,
    pub address: SocketAddr,
    pub requests: Rc<RefCell<Vec<String>>>,
    pub closed_connections: Rc<Cell<usize>>,
}

impl Server {
    /// Starts an upstream that runs the actions in turn and repeats the last.
    pub async fn start(name: &str, actions: Vec<Action>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Rc::new(RefCell::new(Vec::new()));
        let closed_connections = Rc::new(Cell::new(0));
        let (received, finished) = (requests.clone(), closed_connections.clone());
        task::spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                task::spawn_local(serve_connection(
                    stream,
                    actions.clone(),
                    received.clone(),
                    finished.clone(),
                ));
            }
        });
        Self { vm: id::Vm::new(name).unwrap(), address, requests, closed_connections }
    }

    /// Starts an upstream that answers each request with what `respond` makes of its id.
    pub async fn start_echoing(name: &str, respond: fn(&str) -> String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = Self {
            vm: id::Vm::new(name).unwrap(),
            address,
            requests: Rc::default(),
            closed_connections: Rc::default(),
        };
        let requests = server.requests.clone();
        task::spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let requests = requests.clone();
                task::spawn_local(async move {
                    while let Some(request) = read_message(&mut stream).await {
                        requests.borrow_mut().push(request.clone());
                        let response = respond(request_id(&request));
                        stream.write_all(response.as_bytes()).await.unwrap_or_default();
                    }
                });
            }
        });
        server
    }

    pub fn request_count(&self) -> usize {
        self.requests.borrow().len()
    }
}

pub async fn serve_connection(
    mut stream: TcpStream,
    actions: Vec<Action>,
    requests: Rc<RefCell<Vec<String>>>,
    closed_connections: Rc<Cell<usize>>,
) {
    while let Some(request) = read_message(&mut stream).await {
        let number = requests.borrow().len();
        requests.borrow_mut().push(request);
        let action = actions.get(number).or(actions.last()).cloned().unwrap_or(Action::SendNothing);
        match action {
            Action::Send(bytes) => stream.write_all(bytes.as_bytes()).await.unwrap_or_default(),
            Action::SendAndReset(bytes) => {
                stream.write_all(bytes.as_bytes()).await.unwrap_or_default();
                time::sleep(Duration::from_millis(30)).await;
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                return;
            }
            Action::SendAndClose(bytes) => {
                stream.write_all(bytes.as_bytes()).await.unwrap_or_default();
                time::sleep(Duration::from_millis(30)).await;
                return;
            }
            Action::Repeat(first, again, pause) => {
                let mut bytes = first;
                while stream.write_all(bytes.as_bytes()).await.is_ok() {
                    bytes.clone_from(&again);
                    time::sleep(pause).await;
                }
            }
            Action::SendParts(parts, pause) => {
                for part in parts {
                    stream.write_all(part.as_bytes()).await.unwrap_or_default();
                    time::sleep(pause).await;
                }
            }
            Action::SendNothing => {}
        }
    }
    closed_connections.set(closed_connections.get() + 1);
}

/// An upstream that answers requests, ends when one contains a marker, and listens again later.
pub struct CrashingServer {
    pub server: Server,
    pub crashes: Rc<Cell<usize>>,
}

impl CrashingServer {
    pub async fn start(name: &str, marker: &'static str, downtime: Duration) -> Self {
        let listener = socket::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let crashes = Rc::new(Cell::new(0));
        let server = Server {
            vm: id::Vm::new(name).unwrap(),
            address,
            requests: Rc::default(),
            closed_connections: Rc::default(),
        };
        let (requests, count) = (server.requests.clone(), crashes.clone());
        task::spawn_local(async move {
            let mut listener = listener;
            loop {
                accept_until_crash(listener, marker, &requests).await;
                count.set(count.get() + 1);
                time::sleep(downtime).await;
                listener = socket::listen(address).unwrap();
            }
        });
        Self { server, crashes }
    }
}

async fn accept_until_crash(
    listener: TcpListener,
    marker: &'static str,
    requests: &Rc<RefCell<Vec<String>>>,
) {
    let crashed = Rc::new(Notify::new());
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            stream = listener.accept() => {
                let (mut stream, _) = stream.unwrap();
                let (requests, crashed) = (requests.clone(), crashed.clone());
                connections.spawn_local(async move {
                    while let Some(request) = read_message(&mut stream).await {
                        requests.borrow_mut().push(request.clone());
                        if request.contains(marker) {
                            return crashed.notify_one();
                        }
                        let response = ok_response(request_id(&request), "ok");
                        stream.write_all(response.as_bytes()).await.unwrap_or_default();
                    }
                });
            }
            () = crashed.notified() => return,
        }
    }
}

fn request_id(request: &str) -> &str {
    request.lines().find_map(|line| line.strip_prefix("id: ")).unwrap()
}

/// Reads a message with `content-length`.
pub async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let mut part = [0; 4_096];
        let size = stream.read(&mut part).await.ok().filter(|&size| size > 0)?;
        bytes.extend_from_slice(&part[..size]);
        let text = String::from_utf8_lossy(&bytes).to_string();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| {
            line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse::<usize>().ok()
        });
        if body.len() >= length.unwrap_or(0) {
            return Some(text);
        }
    }
}

pub struct Fixture {
    pub entry: Rc<Entry>,
    pub callers: SocketAddr,
    pub closed: watch::Sender<bool>,
    pub server: RefCell<Option<task::JoinHandle<()>>>,
}

pub fn route(prefix: &str, kind: Kind) -> Route {
    Route {
        name: prefix.into(),
        host: "h".into(),
        prefix: prefix.into(),
        kind,
        timeout: Millis::new(2_000),
        objective: Millis::new(100),
        pause: kind.is_stream().then_some(Millis::new(120)),
        attempts: 2,
        priority: 1,
        public: prefix == "/open/",
        targets: [Target { service: id::Service::new("s").unwrap(), weight: 1.0 }].into(),
    }
}

pub fn config(version: u64) -> Config {
    Config {
        version,
        routes: vec![
            route("/safe/", Kind::Idempotent),
            route("/open/", Kind::Idempotent),
            Route { attempts: 1, ..route("/once/", Kind::Once) },
            route("/stream/", Kind::ResumableStream),
        ],
        services: vec![Service { name: id::Service::new("s").unwrap(), engine: None }],
        teams: vec![Team {
            name: id::Team::new("t").unwrap(),
            keys: ["k".into()].into(),
            priority: None,
        }],
        limits: Limits {
            header: Bytes::new(16_384),
            body: Bytes::new(100),
            header_time: Millis::new(300),
            idle_time: Millis::new(600),
        },
    }
}

pub fn options() -> Options {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    Options {
        vm: id::Vm::new("e").unwrap(),
        data_centre: id::DataCentre::new("a").unwrap(),
        caller_address: any,
        ready_address: any,
        peer_address: any,
        metrics_address: None,
        seeds: Vec::new(),
        // A newly started entry has only the part of the budget that its own requests earn.
        retry_limits: budget::Limits {
            ratio: 5.0,
            window: Millis::new(10_000),
            fixed_allowance: 94.0,
        },
        grace_period: Millis::new(8_000),
        renewal_interval: Millis::new(1_200),
        machine: Machine { memory: Bytes::new(260 << 20), sockets: 3_900 },
    }
}

pub fn listing(scripted: &Server, state: State) -> Upstream {
    Upstream {
        vm: scripted.vm.clone(),
        address: scripted.address,
        service: id::Service::new("s").unwrap(),
        data_centre: id::DataCentre::new("a").unwrap(),
        slots: 6,
        state,
        started_at: 1,
        open: true,
        rank: None,
    }
}

/// Captured log lines.
#[derive(Clone, Default)]
pub struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().unwrap()).to_string()
    }

    pub fn logger(&self) -> slog::Logger {
        let drain = slog_json::Json::default(self.clone());
        slog::Logger::root(Mutex::new(drain).fuse(), slog::o!())
    }
}

impl std::io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Fixture {
    pub fn start(upstreams: &[&Server]) -> Self {
        Self::start_with(upstreams, log::discard())
    }

    pub fn start_with(upstreams: &[&Server], logger: slog::Logger) -> Self {
        Self::start_entry(upstreams, options(), logger)
    }

    pub fn start_entry(upstreams: &[&Server], options: Options, logger: slog::Logger) -> Self {
        let entry = Entry::new(options, Box::new(Headers), logger);
        let listener = socket::listen(entry.options.caller_address).unwrap();
        let callers = listener.local_addr().unwrap();
        let (closed, watch) = watch::channel(false);
        let server = task::spawn_local(server::run(entry.clone(), listener, watch));
        for scripted in upstreams {
            entry
                .apply_change(Change::Listed(listing(scripted, State::Ready)), Revision::new(0, 1));
        }
        entry.apply_config(config(1), "test");
        Self { entry, callers, closed, server: RefCell::new(Some(server)) }
    }

    /// Shuts the entry down, as after SIGTERM. Its process would end when this does.
    pub async fn shut_down(&self) {
        let server = self.server.take().unwrap();
        run::shut_down(&self.entry, server, &self.closed).await;
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.callers).await.unwrap()
    }

    /// Sends a request on a new connection and returns all bytes until it closes.
    pub async fn call(&self, path: &str, id: &str) -> String {
        self.exchange(&get(path, id)).await
    }

    /// Sends a request whose prompt has `parts`.
    pub async fn call_with_parts(&self, path: &str, id: &str, parts: &str) -> String {
        self.exchange(&get(path, id).replace("key: k", &format!("key: k\r\nparts: {parts}"))).await
    }

    async fn exchange(&self, request: &str) -> String {
        let mut stream = self.connect().await;
        stream.write_all(request.as_bytes()).await.unwrap();
        read_all(&mut stream).await
    }
}

pub fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\nid: {id}\r\nkey: k\r\nconnection: close\r\n\r\n")
}

pub async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    // A cut response ends with an error; the bytes before it count.
    let _ = time::timeout(Duration::from_secs(10), read).await.expect("response does not end");
    String::from_utf8_lossy(&bytes).to_string()
}

pub fn ok_response(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nid: {id}\r\nproof: p\r\ncontent-length: {length}\r\n\r\n{body}")
}

pub fn refusal_response() -> String {
    "HTTP/1.1 503 No\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n".into()
}

pub fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nid: {id}\r\nproof: p\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    )
}

/// Head of a stream with neither length nor chunks, which ends with its connection.
pub fn unframed_stream_head(id: &str) -> String {
    stream_head(id).replace("transfer-encoding: chunked\r\n", "")
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}
