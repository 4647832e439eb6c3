//! Published configuration of an entry: routes, services, teams and request limits.

use indexmap::IndexMap;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::lockstep::agent;
use crate::{id, unit};

/// Whether a request may be retried after an attempt of unknown outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Responds with an event stream that another upstream can resume.
    ResumableStream,
    /// Responds with an event stream that cannot be resumed.
    Stream,
}

impl Kind {
    /// Whether the request may run more than once.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::ResumableStream)
    }

    /// Whether the response is an event stream.
    pub const fn is_stream(self) -> bool {
        matches!(self, Kind::ResumableStream | Kind::Stream)
    }
}

/// A service and its weight in a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Weight relative to the route's other targets.
    pub weight: f64,
}

/// A rule for requests that match a host and a path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: Box<str>,
    /// Host to match, ignoring case.
    pub host: Box<str>,
    /// Path prefix to match; starts and ends with a slash.
    pub prefix: Box<str>,
    /// Whether requests may be retried.
    pub kind: Kind,
    /// Longest time from arrival to the end of the response.
    pub timeout: unit::Millis,
    /// Latency objective for the response, or for its first event.
    pub objective: unit::Millis,
    /// Longest pause between two events that callers tolerate.
    pub pause: Option<unit::Millis>,
    /// Maximum number of upstreams that one request is sent to.
    pub attempts: u32,
    /// Priority in the queue; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no API key.
    pub public: bool,
    /// Services that requests are distributed over.
    pub targets: Box<[Target]>,
}

/// Shortest time without an event after which callers leave a stream.
const MIN_PATIENCE: unit::Millis = unit::Millis::new(2_000);

/// The same as multiples of the route's objective and of its longest pause.
const PATIENCE_OBJECTIVES: u64 = 4;
const PATIENCE_PAUSES: u64 = 8;

impl Route {
    /// How long callers wait for the next event of a stream before they leave it.
    pub fn patience(&self) -> unit::Millis {
        let objectives = unit::Millis::new(self.objective.get() * PATIENCE_OBJECTIVES);
        let pause = self.pause.unwrap_or_default();
        MIN_PATIENCE.max(objectives).max(unit::Millis::new(pause.get() * PATIENCE_PAUSES))
    }

    /// Picks a service at random by weight.
    pub fn pick_service(&self, rng: &mut impl Rng) -> Option<&id::Service> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = rng.random::<f64>() * total;
        for target in &self.targets {
            remaining -= target.weight;
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

/// Published cost model of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Decode steps per pass, and so tokens per event.
    pub stride: u32,
    /// Base time of a step, in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding request adds to a step, in milliseconds.
    pub request_ms: f64,
    /// Time that a closed group of ranks takes to reopen.
    #[serde(rename = "form")]
    pub reopen_time: unit::Millis,
    /// Expert placement of a lock-step group of ranks.
    pub shape: Option<agent::Shape>,
}

/// A service backed by upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Cost model, if its upstreams are engines.
    pub engine: Option<Engine>,
}

/// A team and its API keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub name: id::Team,
    /// API keys, each of which is accepted.
    pub keys: Box<[Box<str>]>,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
}

/// Limits on the size of requests and the time to receive them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of the request head.
    pub header: unit::Bytes,
    /// Maximum size of the request body.
    pub body: unit::Bytes,
    /// Maximum time to receive the request head.
    pub header_time: unit::Millis,
    /// Maximum idle time between two requests on a connection.
    pub idle_time: unit::Millis,
}

/// One version of the published configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version number; newer versions are greater.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Request limits.
    pub limits: Limits,
}

/// A configuration with lookup indexes.
#[derive(Clone, Debug)]
pub struct Table {
    config: Config,
    hosts: IndexMap<Box<str>, Vec<usize>>,
    services: IndexMap<id::Service, usize>,
    keys: IndexMap<Box<str>, usize>,
}

impl Table {
    /// Builds the indexes.
    pub fn new(config: Config) -> Self {
        let mut hosts: IndexMap<Box<str>, Vec<usize>> = IndexMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase().into()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|&index| std::cmp::Reverse(config.routes[index].prefix.len()));
        }
        let services = config.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.name.clone(), index)).collect();
        let mut keys = IndexMap::new();
        for (index, team) in config.teams.iter().enumerate() {
            keys.extend(team.keys.iter().map(|key| (key.clone(), index)));
        }
        Self { config, hosts, services, keys }
    }

    /// The configuration itself.
    pub const fn config(&self) -> &Config {
        &self.config
    }

    /// The configuration's version.
    pub const fn version(&self) -> u64 {
        self.config.version
    }

    /// Request limits.
    pub const fn limits(&self) -> Limits {
        self.config.limits
    }

    /// The route at `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let routes = self.hosts.get(host.as_str())?.iter().map(|&index| &self.config.routes[index]);
        routes.into_iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Finds a service by name.
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        self.services.get(name).map(|&index| &self.config.services[index])
    }

    /// The shortest pause limit among the routes that target `service`.
    pub fn max_pause(&self, service: &id::Service) -> Option<unit::Millis> {
        let serves = |route: &&Route| route.targets.iter().any(|t| t.service == *service);
        self.config.routes.iter().filter(serves).filter_map(|route| route.pause).min()
    }

    /// The team that owns the API key `key`.
    pub fn team(&self, key: &str) -> Option<&Team> {
        self.keys.get(key).map(|&index| &self.config.teams[index])
    }

    /// Whether any team is configured.
    pub fn has_teams(&self) -> bool {
        !self.config.teams.is_empty()
    }
}
