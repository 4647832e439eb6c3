//! One size: all processes of some data centres on loopback addresses, each with its own sockets.

use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use agateflow::fleet::{gossip, message, node};
use agateflow::{config, id, unit};
use agateflow_standin::configuration::Configuration;
use agateflowd::fleet;
use serde::{Deserialize, Serialize};
use tokio::time;

use super::document;
use super::worker::Worker;
use crate::error::Error;

const PORT: u16 = 17_400;
const BACKGROUND_THREADS: usize = 8;
const SETTLING: Duration = Duration::from_secs(7);
const WINDOW_SECONDS: u32 = 10;
const CHANGES: u64 = 2;
const CHANGE_GAP: Duration = Duration::from_millis(1_500);
const PATIENCE: Duration = Duration::from_secs(30);
const SAMPLE: Duration = Duration::from_millis(100);
const POLL: Duration = Duration::from_millis(5);
const LOCAL_SEEDS: usize = 6;
const FOREIGN_SEEDS: usize = 2; // of each other data centre

/// How many processes there are.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Size {
    /// Data centres.
    pub data_centres: usize,
    /// Entries in each data centre.
    pub entries: usize,
    /// Upstream processes in each data centre.
    pub upstreams: usize,
    /// Upstream processes in each group.
    pub group: usize,
}

impl Size {
    /// All processes.
    pub fn members(&self) -> usize {
        self.data_centres * (self.entries + self.upstreams)
    }

    /// Groups in all data centres but one.
    pub fn foreign_groups(&self) -> usize {
        (self.data_centres - 1) * self.upstreams.div_ceil(self.group)
    }

    /// Sum over all processes of the number of members known to each.
    pub fn known(&self) -> usize {
        let entry = self.entries + self.upstreams;
        self.data_centres * (self.entries * entry + self.upstreams * self.entries)
    }
}

/// What one process of a role uses.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time of the observed process, in hundredths of a core.
    pub processor_percent: f64,
    /// Bytes a second sent, mean of the role.
    pub sent: f64,
    /// Bytes a second received, mean of the role.
    pub received: f64,
    /// Datagrams a second sent, mean of the role.
    pub datagrams_sent: f64,
    /// Datagrams a second received, mean of the role.
    pub datagrams_received: f64,
    /// Bytes a second sent and received by the process of the role that uses most.
    pub busiest: f64,
    /// Processor time of the observed process for one change of configuration, in milliseconds.
    pub change_processor_ms: f64,
    /// Bytes sent and received for one change of configuration, mean of the role.
    pub change_bytes: f64,
    /// The same for the process of the role that uses most: one that watches the service.
    pub change_busiest: f64,
}

/// What was measured at one size.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub size: Size,
    /// An entry.
    pub entry: Usage,
    /// An upstream process.
    pub upstream: Usage,
    /// Time from publication until a change was in force everywhere, for each change, in milliseconds.
    pub in_force_ms: Vec<u64>,
    /// Time from the start of all processes at once until all were ready, in milliseconds.
    pub ready_ms: u64,
    /// Calls to the service in the first seconds after the start of all processes at once.
    pub start_calls: u64,
    /// Most of these calls within one second.
    pub start_peak: u64,
    /// Calls to the service a second in normal running.
    pub calls: f64,
    /// Members suspected at the end of normal running although alive, over all entries.
    pub suspected: u64,
}

/// A fleet that still runs after its measurement.
pub struct Fleet {
    size: Size,
    entries: Vec<fleet::Handle>,
    upstreams: Vec<fleet::Handle>,
    configuration: Configuration,
    observed: [Worker; 2],
    _background: Vec<Worker>,
}

struct Sample {
    at: Instant,
    counters: Vec<fleet::Snapshot>,
    processor: [Duration; 2],
}

fn address(point: u8, data_centre: usize, index: usize) -> net::SocketAddr {
    net::SocketAddr::from(([127, 20 + point, data_centre as u8, 1 + index as u8], PORT))
}

fn name(error: id::Error) -> Error {
    Error::step("name a process", error)
}

fn settings(
    point: u8,
    size: &Size,
    place: (usize, usize),
    service: net::SocketAddr,
) -> Result<fleet::Settings, Error> {
    let (data_centre, index) = place;
    let (role, kind) = match index < size.entries {
        true => (message::Role::Entry, "entry"),
        false => (message::Role::Upstream, "upstream"),
    };
    let mut seeds = Vec::new();
    for other in 0..size.data_centres {
        let count = if other == data_centre { LOCAL_SEEDS } else { FOREIGN_SEEDS };
        for index in 0..count.min(size.entries) {
            let place = id::DataCentre::new(&format!("recife-{other}")).map_err(name)?;
            seeds.push(node::Seed {
                data_centre: Some(place),
                address: address(point, other, index),
            });
        }
    }
    let (first, group) = (size.entries, size.group);
    let group_of = move |vm: &id::Vm| -> Option<Box<str>> {
        let index: usize = vm.as_str().rsplit('-').next()?.parse().ok()?;
        Some(format!("model-{}/group-{}", index % 17, (index - first) / group).into())
    };
    let number = u128::from(point) << 96 | (data_centre as u128) << 64 | (index as u128 + 1) << 8;
    Ok(fleet::Settings {
        name: id::Vm::new(&format!("recife-{data_centre}-{kind}-{index:03}")).map_err(name)?,
        data_centre: id::DataCentre::new(&format!("recife-{data_centre}")).map_err(name)?,
        role,
        listen: address(point, data_centre, index),
        seeds,
        secret: b"measure".as_slice().into(),
        configuration: service,
        value: "fleet".into(),
        validate: if is_observed(size, place) { Arc::new(accept) } else { Arc::new(accept_once) },
        group_of: Arc::new(group_of),
        incarnation: id::Incarnation::new(
            number.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835),
        ),
    })
}

/// Judges each document once for all processes that share the machine: on VMs of their own they
/// would judge it at the same time.
fn accept_once(bytes: &[u8]) -> Result<unit::Revision, Box<str>> {
    type Judged = (Box<[u8]>, Result<unit::Revision, Box<str>>);
    static LAST: Mutex<Vec<Judged>> = Mutex::new(Vec::new());
    const KEPT: usize = 4;

    let mut last = LAST.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some((_, judged)) = last.iter().find(|(known, _)| **known == *bytes) {
        return judged.clone();
    }
    let judged = accept(bytes);
    last.insert(0, (bytes.into(), judged.clone()));
    last.truncate(KEPT);
    judged
}

/// Whether this is one of the two processes whose processor time is read.
fn is_observed(size: &Size, (data_centre, index): (usize, usize)) -> bool {
    data_centre == 0 && (index == 0 || index == size.entries)
}

fn accept(bytes: &[u8]) -> Result<unit::Revision, Box<str>> {
    let text = std::str::from_utf8(bytes).map_err(|e| e.to_string())?;
    let fleet = config::parse(text).map_err(|problems| problems.to_string())?;
    Ok(fleet.revision)
}

fn load(index: usize) -> message::Load {
    let waiting = (index % 40) as u16;
    message::Load {
        waiting,
        running: 64,
        queued_ms: 50 * u32::from(waiting),
        step_us: 48_000,
        cache_free: 250,
        rate: 1_800,
    }
}

/// Measures one size. `point` selects distinct addresses for sizes that run concurrently.
///
/// # Errors
///
/// [`Error::Step`] if a process cannot start or a change does not come into force.
pub async fn measure(point: u8, size: Size) -> Result<(Point, Fleet), Error> {
    let fleet = Fleet::new(size)?;
    let (fleet, start) = fleet.start(point).await?;
    let before = fleet.sample()?;
    let calls = fleet.configuration.counters().calls;
    for second in 0..WINDOW_SECONDS {
        fleet.publish_items(second);
        time::sleep(Duration::from_secs(1)).await;
    }
    let after = fleet.sample()?;
    let calls = fleet.configuration.counters().calls - calls;
    let suspected = fleet.suspected();
    let in_force_ms = fleet.change().await?;
    let changed = fleet.sample()?;
    let [entry, upstream] = fleet.usage(&before, &after, &changed);
    let point = Point {
        size,
        entry,
        upstream,
        in_force_ms,
        ready_ms: start.ready_ms,
        start_calls: start.calls,
        start_peak: start.peak,
        calls: calls as f64 / (after.at - before.at).as_secs_f64(),
        suspected,
    };
    Ok((point, fleet))
}

struct Start {
    ready_ms: u64,
    calls: u64,
    peak: u64,
}

impl Fleet {
    fn new(size: Size) -> Result<Self, Error> {
        let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let configuration =
            Configuration::start(any).map_err(|e| Error::step("start service", e))?;
        configuration.publish("fleet", document::text(1));
        let observed = [Worker::start()?, Worker::start()?];
        let background: Result<Vec<_>, _> =
            (0..BACKGROUND_THREADS).map(|_| Worker::start()).collect();
        let (entries, upstreams) = (Vec::new(), Vec::new());
        Ok(Self { size, entries, upstreams, configuration, observed, _background: background? })
    }

    async fn start(mut self, point: u8) -> Result<(Self, Start), Error> {
        let begin = Instant::now();
        let service = self.configuration.host().address();
        for data_centre in 0..self.size.data_centres {
            for index in 0..self.size.entries + self.size.upstreams {
                let settings = settings(point, &self.size, (data_centre, index), service)?;
                let worker = self.worker(data_centre, index);
                let started = worker.runtime.spawn(fleet::start(settings)).await;
                let started = started.map_err(|e| Error::step("start process", e))?;
                let handle = started.map_err(|e| Error::step("start process", e))?;
                handle.set_state(message::State::Serving);
                handle.set_load(load(index));
                match index < self.size.entries {
                    true => self.entries.push(handle),
                    false => self.upstreams.push(handle),
                }
            }
        }
        let start = self.settle(begin).await?;
        Ok((self, start))
    }

    /// The first entry and the first upstream process of all run on threads of their own.
    fn worker(&self, data_centre: usize, index: usize) -> &Worker {
        let place = data_centre * (self.size.entries + self.size.upstreams) + index;
        match place {
            0 => &self.observed[0],
            _ if place == self.size.entries => &self.observed[1],
            _ => &self._background[place % BACKGROUND_THREADS],
        }
    }

    fn handles(&self) -> impl Iterator<Item = &fleet::Handle> {
        self.entries.iter().chain(&self.upstreams)
    }

    async fn settle(&self, begin: Instant) -> Result<Start, Error> {
        const PER_SECOND: usize = 10; // samples
        let mut calls = vec![0];
        let mut ready = None;
        while begin.elapsed() < SETTLING || ready.is_none() {
            time::sleep(SAMPLE).await;
            calls.push(self.configuration.counters().calls);
            if ready.is_none() && self.handles().all(fleet::Handle::is_ready) {
                ready = Some(begin.elapsed());
            }
            if begin.elapsed() > PATIENCE {
                return Err(Error::step("start all processes", "not ready in time"));
            }
        }
        let within = |window: &[u64]| window[window.len() - 1] - window[0];
        let peak = calls.windows((PER_SECOND + 1).min(calls.len())).map(within).max();
        let ready_ms = ready.unwrap_or_default().as_millis() as u64;
        let calls = calls.last().copied().unwrap_or(0);
        Ok(Start { ready_ms, calls, peak: peak.unwrap_or(0) })
    }

    /// Every entry publishes one item a second, more than the channel carries.
    fn publish_items(&self, second: u32) {
        for entry in &self.entries {
            let mut key = entry.sender().name.as_str().as_bytes().to_vec();
            key.truncate(gossip::MAX_KEY_BYTES);
            let left = unit::Millis::new(60_000);
            let value = vec![7; 40].into();
            entry.publish(gossip::Item {
                key: key.into(),
                version: 1 + u64::from(second),
                ttl: left,
                value,
            });
        }
    }

    fn suspected(&self) -> u64 {
        let count = |entry: &fleet::Handle| {
            let now = entry.now();
            entry.view().members.iter().filter(|member| !member.is_live(now)).count() as u64
        };
        self.entries.iter().map(count).sum()
    }

    /// Publishes changes, each once the last one is in force, and returns how long each one took.
    async fn change(&self) -> Result<Vec<u64>, Error> {
        let mut times = Vec::new();
        for revision in 2..2 + CHANGES {
            let text = document::text(revision);
            let begin = Instant::now();
            self.configuration.publish("fleet", text);
            let behind = |handle: &fleet::Handle| {
                handle.document().is_none_or(|document| document.revision.get() < revision)
            };
            while self.handles().any(behind) {
                if begin.elapsed() > PATIENCE {
                    return Err(Error::step("change configuration", "not in force in time"));
                }
                time::sleep(POLL).await;
            }
            times.push(begin.elapsed().as_millis() as u64);
            time::sleep(CHANGE_GAP).await;
        }
        Ok(times)
    }

    fn sample(&self) -> Result<Sample, Error> {
        let counters = self.handles().map(fleet::Handle::counters).collect();
        let processor = [self.observed[0].processor_time()?, self.observed[1].processor_time()?];
        Ok(Sample { at: Instant::now(), counters, processor })
    }

    fn usage(&self, before: &Sample, after: &Sample, changed: &Sample) -> [Usage; 2] {
        let entries = self.entries.len();
        let all = entries + self.upstreams.len();
        let ranges = [0..entries, entries..all];
        [0, 1].map(|role| role_usage(role, ranges[role].clone(), [before, after, changed]))
    }
}

fn role_usage(role: usize, range: std::ops::Range<usize>, samples: [&Sample; 3]) -> Usage {
    let [before, after, changed] = samples;
    let steady = (after.at - before.at).as_secs_f64();
    let changing = (changed.at - after.at).as_secs_f64();
    let processor =
        |from: &Sample, to: &Sample| (to.processor[role] - from.processor[role]).as_secs_f64();
    let rate = processor(before, after) / steady;
    let mut usage = Usage {
        processor_percent: 100.0 * rate,
        change_processor_ms: 1_000.0 * (processor(after, changed) - rate * changing)
            / CHANGES as f64,
        ..Usage::default()
    };
    let count = range.len() as f64;
    for index in range {
        let normal = after.counters[index].since(&before.counters[index]);
        let change = changed.counters[index].since(&after.counters[index]);
        let bytes = |s: &fleet::Snapshot| (s.bytes_sent + s.bytes_received) as f64;
        let extra = (bytes(&change) - bytes(&normal) / steady * changing) / CHANGES as f64;
        usage.sent += normal.bytes_sent as f64 / steady / count;
        usage.received += normal.bytes_received as f64 / steady / count;
        usage.datagrams_sent += normal.datagrams_sent as f64 / steady / count;
        usage.datagrams_received += normal.datagrams_received as f64 / steady / count;
        usage.busiest = usage.busiest.max(bytes(&normal) / steady);
        usage.change_bytes += extra / count;
        usage.change_busiest = usage.change_busiest.max(extra);
    }
    usage
}
