//! A small fleet on loopback: fakes of the platform, upstream processes and entries.

#![allow(clippy::unwrap_used, dead_code)]

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use agateflow::{config, settings, unit};
use agateflow_standin::configuration::Configuration;
use agateflow_standin::engine::{self, Engine};
use agateflow_standin::service::Service;
use agateflowd::process::Process;
use agateflowd::{link, log};
use bytes::Bytes;
use futures::future;
use http_body_util::BodyExt;
use rustix::process::{Pid, Resource, Rlimit, Signal};
use serde_json::json;
use tokio::runtime::{self, Runtime};
use tokio::task::JoinHandle;
use volo_http::client::Client;
use volo_http::response::Response;

/// First port of the listeners; each has a loopback address of its own.
const PORT: u16 = 7400;

/// Bearer key of the one team.
pub const KEY: &str = "key-of-observers";

/// Longest wait for a state that a test needs.
const PATIENCE: Duration = Duration::from_secs(20);

/// An address that no other listener of this machine's tests uses.
pub fn fresh_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let octet = |number: u32| (number % 250) as u8 + 2;
    let ip = Ipv4Addr::new(127, octet(process), octet(process / 250), octet(next.into()));
    SocketAddr::new(IpAddr::V4(ip), PORT + 2 * (next / 250))
}

/// How many of each a fleet has.
pub struct Plan {
    pub entries: usize,
    pub engines: usize,
    pub services: usize,
    pub engine: engine::Options,
    pub requests_per_second: f64,
    pub burst: u32,
    pub children: bool,
    /// Address of the plain services in place of the stand-ins.
    pub service_address: Option<SocketAddr>,
    /// Descriptors that each child may open.
    pub max_descriptors: Option<u64>,
}

impl Plan {
    pub fn new() -> Self {
        Self {
            entries: 1,
            engines: 2,
            services: 1,
            engine: engine::Options::default(),
            requests_per_second: 10_000.0,
            burst: 10_000,
            children: false,
            service_address: None,
            max_descriptors: None,
        }
    }

    pub fn with_engine(mut self, engine: engine::Options) -> Self {
        self.engine = engine;
        self
    }

    /// Gives the engines steps long enough for a fault to hit a stream of some dozen tokens in the
    /// middle.
    pub fn with_slow_engines(self) -> Self {
        let step = unit::Micros::new(10_000);
        let speed = engine::Speed { prefill: 0, step, sequence: unit::Micros::ZERO };
        self.with_engine(engine::Options { speed, ..engine::Options::default() })
    }

    /// Runs the processes as children of the test.
    pub fn with_children(mut self) -> Self {
        self.children = true;
        self
    }

    /// Limits the descriptors of each child.
    pub fn with_max_descriptors(mut self, count: u64) -> Self {
        self.max_descriptors = Some(count);
        self
    }

    pub fn with_entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    pub fn with_engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Lets what listens at `address` answer in place of each plain service.
    pub fn with_service_address(mut self, address: SocketAddr) -> Self {
        self.service_address = Some(address);
        self
    }

    pub fn with_services(mut self, services: usize) -> Self {
        self.services = services;
        self
    }
}

/// A running fleet.
pub struct Fleet {
    pub configuration: Configuration,
    pub engines: Vec<Engine>,
    pub services: Vec<Service>,
    pub upstreams: Vec<Daemon>,
    pub entries: Vec<Daemon>,
    pub document: serde_json::Value,
    addresses: Addresses,
    children: bool,
    service_address: Option<SocketAddr>,
    max_descriptors: Option<u64>,
}

/// A process that can be killed with all it does: on a runtime of its own, or a child.
pub struct Daemon {
    pub process: Option<Process>,
    pub child: Option<Child>,
    listen: SocketAddr,
    operators: SocketAddr,
    callers: Option<SocketAddr>,
    runtime: Option<Runtime>,
}

impl Daemon {
    fn new(settings: &settings::Settings) -> Self {
        let callers = match settings.role {
            settings::Role::Entry { callers } => Some(callers),
            settings::Role::Upstream { .. } => None,
        };
        let (listen, operators) = (settings.listen, settings.operators);
        Self { process: None, child: None, listen, operators, callers, runtime: None }
    }

    async fn start(settings: settings::Settings) -> Self {
        let mut daemon = Self::new(&settings);
        let runtime = runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.unwrap();
        let started = runtime.spawn(Process::start(settings, log::discard()));
        daemon.process = Some(started.await.unwrap().unwrap());
        daemon.runtime = Some(runtime);
        daemon
    }

    /// Starts the program with settings from a file.
    fn start_child(text: &str, max_descriptors: Option<u64>) -> Self {
        let mut daemon = Self::new(&settings::parse(text).unwrap());
        let name = format!("settings-{}.json", daemon.listen.ip());
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_agateflowd"));
        let child = command.arg(path).stderr(Stdio::null()).spawn().unwrap();
        daemon.child = Some(child);
        if let Some(count) = max_descriptors {
            let limit = Rlimit { current: Some(count), maximum: Some(count) };
            rustix::process::prlimit(Some(daemon.pid()), Resource::Nofile, limit).unwrap();
        }
        daemon
    }

    pub fn process(&self) -> &Process {
        self.process.as_ref().unwrap()
    }

    /// Drains the process; the handle ends with the drain.
    pub fn drain(&mut self) -> JoinHandle<()> {
        let process = self.process.take().unwrap();
        self.runtime.as_ref().unwrap().spawn(process.drain())
    }

    /// Id of the child.
    pub fn id(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(self.id().try_into().unwrap()).unwrap()
    }

    /// Sends a signal to the child.
    pub fn signal(&self, signal: Signal) {
        rustix::process::kill_process(self.pid(), signal).unwrap();
    }

    /// Address for other processes over TCP and UDP.
    pub const fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Address of the pages for operators.
    pub const fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Waits until the child has ended; whether it ended well.
    pub async fn ended(&mut self) -> bool {
        let mut child = self.child.take().unwrap();
        tokio::task::spawn_blocking(move || child.wait().unwrap().success()).await.unwrap()
    }

    /// Ends the process in the middle of what it does, and waits until its address is free.
    pub async fn kill(&mut self) {
        self.process = None;
        self.end();
        let (listen, link) = (self.listen, link::address(self.listen));
        wait_until(|| async move { is_free(listen) && is_free(link) }).await;
    }

    fn end(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Whether nothing listens at `address`, over UDP or TCP.
fn is_free(address: SocketAddr) -> bool {
    std::net::UdpSocket::bind(address).is_ok() && std::net::TcpListener::bind(address).is_ok()
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.end();
    }
}

/// Control addresses of the processes.
struct Addresses {
    entries: Vec<SocketAddr>,
    upstreams: Vec<SocketAddr>,
}

fn settings_text(
    (vm, listen): (&str, SocketAddr),
    role: serde_json::Value,
    configuration: SocketAddr,
    seeds: &[SocketAddr],
) -> String {
    json!({
        "vm": vm, "data_centre": "dc1", "role": role,
        "listen": listen, "operators": fresh_address(),
        "configuration": configuration, "seeds": seeds,
        "secret": { "key": "07".repeat(32) },
        "limits": { "key_window": "1ms" },
    })
    .to_string()
}

/// The configuration of a fleet whose processes have `addresses`; engines come first.
fn document(plan: &Plan, addresses: &Addresses) -> serde_json::Value {
    let mut vms = Vec::new();
    for (index, address) in addresses.entries.iter().enumerate() {
        vms.push(json!({ "name": format!("entry-{index}"), "data_centre": "dc1",
            "address": address, "role": { "kind": "entry" } }));
    }
    for (index, address) in addresses.upstreams.iter().enumerate() {
        let role = match index < plan.engines {
            true => json!({ "kind": "engine", "class": "newer", "fencing": "checked",
                "models": ["summary"] }),
            false => json!({ "kind": "service", "service": "stations" }),
        };
        vms.push(json!({ "name": format!("upstream-{index}"), "data_centre": "dc1",
            "address": address, "role": role }));
    }
    json!({
        "revision": 1,
        "weights": { "skew": 1.0, "moves": 0.1 },
        "data_centres": [{ "name": "dc1", "region": "south" }],
        "classes": [{ "name": "newer", "speed": 1.0, "prefill": "20000tok/s", "step": "20ms",
            "cache": "100000tok", "batch": 64 }],
        "vms": vms,
        "models": [{ "name": "summary", "expert_size": "20MiB" }],
        "services": [{ "name": "stations" }],
        "routes": [
            { "name": "lookup", "service": "stations", "method": "GET", "path": "/stations/*",
                "repeatable": true },
            { "name": "calibrate", "service": "stations", "method": "POST",
                "path": "/calibrations", "repeatable": false },
        ],
        "teams": [{ "name": "observers",
            "keys": [config::KeyDigest::of_key(KEY.as_bytes()).to_string()],
            "priority": "normal", "weight": 1.0,
            "limits": { "requests_per_second": plan.requests_per_second, "burst": plan.burst,
                "concurrency": 10000 },
            "models": ["summary"], "routes": ["lookup", "calibrate"] }],
    })
}

impl Fleet {
    /// Starts a fleet and waits until each entry has a link to each upstream process.
    pub async fn start(plan: Plan) -> Self {
        tokio::time::timeout(PATIENCE, Self::start_all(plan)).await.expect("fleet not started")
    }

    async fn start_all(plan: Plan) -> Self {
        let any = "127.0.0.1:0".parse().unwrap();
        let engines: Vec<Engine> =
            (0..plan.engines).map(|_| Engine::start(any, plan.engine.clone()).unwrap()).collect();
        let services: Vec<Service> =
            (0..plan.services).map(|_| Service::start(any).unwrap()).collect();
        let fresh = |count| (0..count).map(|_| fresh_address()).collect();
        let addresses = Addresses {
            entries: fresh(plan.entries),
            upstreams: fresh(plan.engines + plan.services),
        };
        let configuration = Configuration::start(any).unwrap();
        let document = document(&plan, &addresses);
        config::parse(&document.to_string()).unwrap();
        configuration.publish("fleet", document.to_string());
        let mut fleet = Self {
            configuration,
            engines,
            services,
            upstreams: Vec::new(),
            entries: Vec::new(),
            document,
            addresses,
            children: plan.children,
            service_address: plan.service_address,
            max_descriptors: plan.max_descriptors,
        };
        let upstreams = (0..plan.engines + plan.services).map(|index| fleet.start_upstream(index));
        let entries = (0..plan.entries).map(|index| fleet.start_entry(index));
        let (upstreams, entries) =
            futures::join!(future::join_all(upstreams), future::join_all(entries));
        fleet.upstreams = upstreams;
        fleet.entries = entries;
        for index in 0..plan.entries {
            fleet.wait_for_links(index, plan.engines + plan.services).await;
        }
        fleet
    }

    /// Starts the process of an upstream VM, under the name and address it always has.
    pub async fn start_upstream(&self, index: usize) -> Daemon {
        let backend = match self.engines.get(index) {
            Some(engine) => engine.host().address(),
            None => {
                let service = &self.services[index - self.engines.len()];
                self.service_address.unwrap_or_else(|| service.host().address())
            }
        };
        let role = json!({ "kind": "upstream", "backend": backend });
        let name = format!("upstream-{index}");
        self.start_process((&name, self.addresses.upstreams[index]), role).await
    }

    async fn start_entry(&self, index: usize) -> Daemon {
        let role = json!({ "kind": "entry", "callers": fresh_address() });
        let name = format!("entry-{index}");
        self.start_process((&name, self.addresses.entries[index]), role).await
    }

    async fn start_process(&self, vm: (&str, SocketAddr), role: serde_json::Value) -> Daemon {
        let service = self.configuration.host().address();
        let text = settings_text(vm, role, service, &self.addresses.entries);
        match self.children {
            true => Daemon::start_child(&text, self.max_descriptors),
            false => Daemon::start(settings::parse(&text).unwrap()).await,
        }
    }

    /// Starts a stream through the first entry and waits until it is in its middle. The answer is
    /// what the caller gets, nothing if it is cut; the index is the engine's that runs it.
    pub async fn stream(&self, call: Call) -> (JoinHandle<Option<Bytes>>, usize) {
        let body = tokio::spawn(whole(self.send(0, call).await));
        let busy = || self.engines.iter().position(|engine| engine.counters().tokens >= 5);
        wait_until(|| async { busy().is_some() }).await;
        (body, busy().unwrap())
    }

    /// Waits until an entry has `count` links.
    pub async fn wait_for_links(&self, entry: usize, count: usize) {
        let links = || async { self.status(entry).await?["links"].as_u64() };
        wait_until(|| async { links().await == Some(count as u64) }).await;
    }

    /// The status page of an entry, once it answers.
    pub async fn status(&self, entry: usize) -> Option<serde_json::Value> {
        let uri = format!("http://{}/status", self.entries[entry].operators);
        let response = client().get(uri).send().await.ok()?;
        serde_json::from_slice(&whole(response).await?).ok()
    }

    /// Address of an entry for callers.
    pub fn callers(&self, entry: usize) -> SocketAddr {
        self.entries[entry].callers.unwrap()
    }

    /// Sends a request with the team's key through an entry.
    pub async fn send(&self, entry: usize, call: Call) -> Response {
        let uri = format!("http://{}{}", self.callers(entry), call.path);
        let mut request = client().request(call.method.parse().unwrap(), uri);
        request = request.header("authorization", format!("Bearer {KEY}"));
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        request.body(volo_http::body::Body::from(call.body)).send().await.unwrap()
    }
}

/// Polls until `done` holds.
pub async fn wait_until<F: Future<Output = bool>>(done: impl Fn() -> F) {
    let polled = async {
        while !done().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, polled).await.expect("state not reached");
}

pub fn client() -> Client {
    Client::builder().build().unwrap()
}

/// A request of the team.
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub body: Bytes,
    pub headers: Vec<(&'static str, String)>,
}

impl Call {
    pub fn new(method: &'static str, path: &str, body: &str) -> Self {
        let body = Bytes::copy_from_slice(body.as_bytes());
        Self { method, path: path.into(), body, headers: Vec::new() }
    }

    /// A model request.
    pub fn chat(prompt: &str, tokens: u64, stream: bool) -> Self {
        Self::messages(&[prompt], tokens, stream)
    }

    /// A request whose prompt has several messages.
    pub fn conversation(messages: &[&str]) -> Self {
        Self::messages(messages, 5, false)
    }

    fn messages(texts: &[&str], tokens: u64, stream: bool) -> Self {
        let message = |text: &&str| json!({ "role": "user", "content": text });
        let messages: Vec<_> = texts.iter().map(message).collect();
        let body = json!({ "model": "summary", "stream": stream, "max_tokens": tokens,
            "messages": messages });
        Self::new("POST", "/v1/chat/completions", &body.to_string())
    }

    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// The body of an answer, or nothing if it was cut.
pub async fn whole(response: Response) -> Option<Bytes> {
    response.into_body().collect().await.ok().map(http_body_util::Collected::to_bytes)
}

/// The outcome that an answer states.
pub fn outcome(response: &Response) -> Option<String> {
    let value = response.headers().get(agateflow::outcome::HEADER)?;
    Some(value.to_str().unwrap().into())
}
