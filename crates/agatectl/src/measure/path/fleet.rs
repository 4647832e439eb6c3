//! The smallest fleet: one entry and one upstream process before one engine and one service.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use agateflow::config;
use agateflow::settings;
use agateflow_standin::configuration::Configuration;
use agateflow_standin::engine::{self, Engine};
use agateflow_standin::service::Service;
use agateflowd::log;
use agateflowd::process::Process;
use serde_json::{Value, json};
use tokio::runtime;
use tokio::sync::oneshot;

use crate::demo::ports::Port;
use crate::error::Error;

/// Bearer key of the one team.
pub const KEY: &str = "measure";

/// Names of the roles' threads.
pub const ENTRY: &str = "entry";
pub const UPSTREAM: &str = "upstream";

/// Longest wait for the fleet to serve.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A running fleet.
pub struct Fleet {
    /// The engine.
    pub engine: Engine,
    /// The plain service.
    pub service: Service,
    /// Where the entry takes requests.
    pub callers: SocketAddr,
    _configuration: Configuration,
    _ends: Vec<oneshot::Sender<()>>,
    _ports: Vec<Port>,
}

struct Place<'a> {
    vm: &'a str,
    listen: &'a Port,
    operators: &'a Port,
    seeds: Vec<SocketAddr>,
    configuration: SocketAddr,
}

impl Fleet {
    /// Starts the fleet, each process on `workers` threads of its own.
    ///
    /// # Errors
    ///
    /// [`Error::Step`] if a part cannot be started.
    pub async fn start(workers: usize) -> Result<Self, Error> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let failed = |e: agateflow_standin::error::Error| Error::step("start stand-in", e);
        let options = engine::Options { batch: 1024, ..engine::Options::default() };
        let engine = Engine::start(any, options).map_err(failed)?;
        let service = Service::start(any).map_err(failed)?;
        let configuration = Configuration::start(any).map_err(failed)?;
        let ports: Vec<Port> = (0..7).map(|_| Port::reserve()).collect::<Result<_, _>>()?;
        let text = document(&ports).to_string();
        config::parse(&text).map_err(|e| Error::step("build configuration", e))?;
        configuration.publish("fleet", text);

        let seeds = vec![ports[0].address()];
        let place = |vm, index: usize| Place {
            vm,
            listen: &ports[index],
            operators: &ports[index + 1],
            seeds: seeds.clone(),
            configuration: configuration.host().address(),
        };
        let callers = ports[6].address();
        let backend = |address: SocketAddr| json!({ "kind": "upstream", "backend": address });
        let entry = json!({ "kind": "entry", "callers": callers });
        let starting = [
            (place("entry-1", 0), entry, ENTRY),
            (place("engine-1", 2), backend(engine.host().address()), UPSTREAM),
            (place("service-1", 4), backend(service.host().address()), UPSTREAM),
        ];
        let starting =
            starting.map(|(place, role, threads)| spawn(&place, &role, threads, workers));
        let mut ends = Vec::new();
        for started in starting {
            let (ready, end) = started?;
            let ready = tokio::time::timeout(READY_TIMEOUT, ready).await;
            let ready = ready.map_err(|e| Error::step("start process", e))?;
            ready.map_err(|e| Error::step("start process", e))?;
            ends.push(end);
        }
        Ok(Self {
            engine,
            service,
            callers,
            _configuration: configuration,
            _ends: ends,
            _ports: ports,
        })
    }
}

type Started = (oneshot::Receiver<()>, oneshot::Sender<()>);

fn spawn(
    place: &Place<'_>,
    role: &Value,
    threads: &'static str,
    workers: usize,
) -> Result<Started, Error> {
    let text = json!({
        "vm": place.vm, "data_centre": "dc1", "role": role,
        "listen": place.listen.address(), "operators": place.operators.address(),
        "configuration": place.configuration, "seeds": place.seeds,
        "secret": { "key": "07".repeat(32) },
    });
    let settings = settings::parse(&text.to_string());
    let settings = settings.map_err(|e| Error::step("build settings", e))?;
    let (started, ready) = oneshot::channel();
    let (end, ending) = oneshot::channel();
    thread::spawn(move || {
        let mut builder = runtime::Builder::new_multi_thread();
        builder.worker_threads(workers).thread_name(threads).enable_all();
        let Ok(runtime) = builder.build() else { return };
        runtime.block_on(async {
            let process = tokio::spawn(Process::start(settings, log::discard())).await;
            if let Ok(Ok(_process)) = process {
                let _ = started.send(());
                let _: Result<(), _> = ending.await;
            }
        });
    });
    Ok((ready, end))
}

fn document(ports: &[Port]) -> Value {
    let vm = |name: &str, port: usize, role: Value| json!({ "name": name, "data_centre": "dc1", "address": ports[port].address(), "role": role });
    let engine = json!({ "kind": "engine", "class": "newer", "fencing": "checked",
        "models": ["m"] });
    json!({
        "revision": 1,
        "weights": { "skew": 1, "moves": 1 },
        "data_centres": [{ "name": "dc1", "region": "south" }],
        "classes": [{ "name": "newer", "speed": 1, "prefill": "20000tok/s", "step": "20ms",
            "cache": "262144tok", "batch": 1024 }],
        "vms": [
            vm("entry-1", 0, json!({ "kind": "entry" })),
            vm("engine-1", 2, engine),
            vm("service-1", 4, json!({ "kind": "service", "service": "s" })),
        ],
        "models": [{ "name": "m", "expert_size": "8MiB" }],
        "services": [{ "name": "s" }],
        "routes": [{ "name": "lookup", "service": "s", "method": "GET", "path": "/s/*",
            "repeatable": true }],
        "teams": [{ "name": "t", "keys": [config::KeyDigest::of_key(KEY.as_bytes()).to_string()],
            "priority": "normal", "weight": 1,
            "limits": { "requests_per_second": 1000000, "burst": 1000000, "concurrency": 100000 },
            "models": ["m"], "routes": ["lookup"] }],
    })
}
