//! Simulates heavy load without a network: entries that see counts 0.1 s old, ranks that run their
//! passes together, and request content that shifts every three seconds, which loads experts
//! unevenly until a new expert map is in use. Compares this crate's decisions with common policies
//! on the same requests.

#![allow(clippy::unwrap_used)]

use agateflow::direct::config::Engine;
use agateflow::direct::directory::{State, Upstream};
use agateflow::direct::limiter::Limiter;
use agateflow::direct::load::{Candidate, Choice, Context, Load};
use agateflow::direct::queue::{Item, Queue, Ticket};
use agateflow::direct::share::Share;
use agateflow::id;
use agateflow::unit::{Micros, Millis};
use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const STEP_MS: f64 = 4.55;
const TOKENS_PER_MS: f64 = 61.4;
/// Prompt tokens that a rank processes per step.
const PROMPT_CHUNK: f64 = 512.0;
/// Share of the work done by experts, which are spread over all ranks.
const EXPERT_SHARE: f64 = 0.85;
const DURATION_MS: u64 = 36_000;
const OBJECTIVE_MS: u64 = 500;
const DEADLINE_MS: u64 = 8_000;
const GOSSIP_MS: u64 = 100;

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    entries: usize,
    ranks: usize,
    slots: usize,
    engine_queue: usize,
    stride: f64,
    request_ms: f64,
    pause_ms: f64,
}

const SMALL: Fleet = Fleet {
    entries: 9,
    ranks: 16,
    slots: 12,
    engine_queue: 24,
    stride: 4.0,
    request_ms: 0.905,
    pause_ms: 120.0,
};

const LARGE: Fleet = Fleet {
    entries: 36,
    ranks: 72,
    slots: 10,
    engine_queue: 20,
    stride: 5.0,
    request_ms: 1.09,
    pause_ms: 150.0,
};

/// How requests are assigned to ranks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// This crate's decisions.
    Product,
    /// At once, to the rank with the fewest requests.
    LeastInFlight,
    /// At once, to each rank in turn.
    RoundRobin,
    /// To any rank with a free slot, in order of arrival, however long the wait.
    FirstCome,
}

#[derive(Clone)]
struct Request {
    arrived: u64,
    entry: usize,
    prompt: f64,
    events: u32,
    refusals: u32,
}

struct Stream {
    request: Request,
    prompt_left: f64,
    events_left: u32,
    last_event_ms: Option<f64>,
    first_event_ms: Option<f64>,
    longest_pause_ms: f64,
}

#[derive(Default)]
struct Entry {
    load: Load,
    queue: Queue,
    waiting: IndexMap<Ticket, Request>,
    limiter: Option<Limiter>,
    share: Share,
}

/// Results of requests, by count.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    total: f64,
    on_time: f64,
    late: f64,
    refused: f64,
}

impl Outcomes {
    /// Share of requests answered, with late answers counted as half.
    fn score(self) -> f64 {
        (self.on_time + 0.5 * self.late) / self.total
    }
}

struct Simulation {
    fleet: Fleet,
    policy: Policy,
    rng: Pcg64Mcg,
    upstreams: Vec<Upstream>,
    names: Vec<id::Vm>,
    entries: Vec<Entry>,
    ranks: Vec<Vec<Stream>>,
    retries: Vec<(u64, Request)>,
    last_rank: usize,
    outcomes: Outcomes,
    /// Samples of the requests at the fullest rank, relative to its limit.
    fullest: Vec<f64>,
}

fn vm(rank: usize) -> id::Vm {
    id::Vm::new(&format!("r{rank}")).unwrap()
}

fn upstream(fleet: &Fleet, rank: usize) -> Upstream {
    Upstream {
        vm: vm(rank),
        address: "10.0.0.1:80".parse().unwrap(),
        service: id::Service::new("s").unwrap(),
        data_centre: id::DataCentre::new("a").unwrap(),
        slots: fleet.slots as u32,
        state: State::Ready,
        started_at: 1,
        open: true,
        rank: None,
    }
}

fn engine(fleet: &Fleet) -> Engine {
    Engine {
        slots: fleet.slots as u32,
        stride: fleet.stride as u32,
        step_ms: STEP_MS,
        request_ms: fleet.request_ms,
        reopen_time: Millis::new(600),
        shape: None,
    }
}

fn entry(fleet: &Fleet) -> Entry {
    let pause = Millis::new(fleet.pause_ms as u64);
    let limiter = Limiter::new(&engine(fleet), pause, None, Millis::ZERO);
    Entry { limiter: Some(limiter), ..Entry::default() }
}

/// Load of the most loaded rank relative to the mean; jumps at each shift, every three seconds.
fn expert_imbalance(now: u64) -> f64 {
    match now % 3_000 {
        0..650 => 2.7,
        650..1_300 => 1.5,
        _ => 1.2,
    }
}

impl Simulation {
    fn new(fleet: Fleet, policy: Policy, seed: u64) -> Self {
        Self {
            fleet,
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            upstreams: (0..fleet.ranks).map(|rank| upstream(&fleet, rank)).collect(),
            names: (0..fleet.ranks).map(vm).collect(),
            entries: (0..fleet.entries).map(|_| entry(&fleet)).collect(),
            ranks: (0..fleet.ranks).map(|_| Vec::new()).collect(),
            retries: Vec::new(),
            last_rank: 0,
            outcomes: Outcomes::default(),
            fullest: Vec::new(),
        }
    }

    fn run(mut self, requests: &[Request]) -> Self {
        let mut arrivals = requests.iter().cloned().peekable();
        let mut pass_end = 0.0;
        let mut pass_started = false;
        for now in 0..DURATION_MS + DEADLINE_MS {
            while let Some(request) = arrivals.next_if(|request| request.arrived <= now) {
                self.outcomes.total += 1.0;
                self.dispatch(request, now);
            }
            let due: Vec<_> = self.retries.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, request) in due {
                self.dispatch(request, now);
            }
            if now % GOSSIP_MS == 0 {
                self.gossip(now);
            }
            if pass_started && now as f64 >= pass_end {
                self.end_pass(pass_end, now);
                pass_started = false;
            }
            if !pass_started && self.ranks.iter().any(|rank| !rank.is_empty()) {
                pass_end = now as f64 + self.begin_pass(now);
                pass_started = true;
            }
            if now % 10 == 0 {
                (0..self.fleet.entries).for_each(|entry| self.serve_queue(entry, now));
            }
            if now % GOSSIP_MS == 0 {
                self.sample_fullest();
            }
        }
        self
    }

    fn sample_fullest(&mut self) {
        let fullest = self.ranks.iter().map(Vec::len).max().unwrap_or(0) as f64;
        let limits =
            self.entries.iter().filter_map(|entry| entry.limiter.as_ref().map(Limiter::limit));
        self.fullest.push(fullest / limits.fold(0.0, f64::max));
    }

    fn dispatch(&mut self, request: Request, now: u64) {
        match self.policy {
            Policy::Product | Policy::FirstCome => self.enqueue(request, now),
            Policy::LeastInFlight => {
                let load = &self.entries[request.entry].load;
                let least =
                    (0..self.fleet.ranks).map(|rank| (load.active(&self.names[rank]), rank)).min();
                self.send(request, least.unwrap().1, now);
            }
            Policy::RoundRobin => {
                self.last_rank = (self.last_rank + 1) % self.fleet.ranks;
                self.send(request, self.last_rank, now);
            }
        }
    }

    fn enqueue(&mut self, request: Request, now: u64) {
        let late = match self.policy {
            Policy::FirstCome => request.arrived + DEADLINE_MS,
            _ => request.arrived + 2 * OBJECTIVE_MS,
        };
        let timely = match self.policy {
            Policy::FirstCome => late,
            _ => request.arrived + OBJECTIVE_MS * 6 / 10,
        };
        let item = Item {
            priority: 1,
            arrived: Millis::new(request.arrived),
            on_time_until: Millis::new(timely),
            latest_start: Millis::new(late),
            latest_start_if_closed: Millis::new(late),
        };
        let number = request.entry;
        let entry = &mut self.entries[number];
        match entry.queue.push(item, Millis::new(now)) {
            Some(ticket) => {
                entry.waiting.insert(ticket, request);
                self.serve_queue(number, now);
            }
            None => {
                let retry_delay = entry.queue.retry_after(1).get();
                self.refuse(request, retry_delay, now);
            }
        }
    }

    fn serve_queue(&mut self, number: usize, now: u64) {
        let at = Millis::new(now);
        let local_data_centre = id::DataCentre::new("a").unwrap();
        for ticket in self.entries[number].queue.expire(at) {
            let request = self.entries[number].waiting.swap_remove(&ticket).unwrap();
            let retry_delay = self.entries[number].queue.retry_after(1).get();
            self.refuse(request, retry_delay, now);
        }
        loop {
            let entry = &mut self.entries[number];
            let Some(ticket) = entry.queue.peek(at) else { return };
            let limit = match self.policy {
                Policy::Product => entry.limiter.as_ref().unwrap().limit(),
                _ => self.fleet.slots as f64,
            };
            let entries = self.fleet.entries;
            let context = Context { tried: &[], local_data_centre: &local_data_centre, entries };
            let candidate = |upstream| Candidate {
                upstream,
                limit,
                open: true,
                within_rate: true,
                rests_until: None,
            };
            let candidates = self.upstreams.iter().map(candidate);
            let choice = entry.load.choose(candidates.clone(), &context, &mut self.rng, at);
            let Choice::Send(chosen) = choice else { return };
            let free_capacity = entry.load.free_capacity(candidates);
            if self.policy == Policy::Product && !entry.share.try_take(free_capacity, entries, at) {
                return;
            }
            entry.queue.serve(ticket, at);
            let request = entry.waiting.swap_remove(&ticket).unwrap();
            let rank = self.names.iter().position(|name| *name == chosen).unwrap();
            self.send(request, rank, now);
        }
    }

    fn send(&mut self, request: Request, rank: usize, now: u64) {
        if self.ranks[rank].len() >= self.fleet.slots + self.fleet.engine_queue {
            self.refuse(request, 250, now);
            return;
        }
        self.entries[request.entry].load.start(&self.names[rank]);
        self.ranks[rank].push(Stream {
            prompt_left: request.prompt,
            events_left: request.events,
            last_event_ms: None,
            first_event_ms: None,
            longest_pause_ms: 0.0,
            request,
        });
    }

    /// Lets a refused caller retry once, if it has time left.
    fn refuse(&mut self, mut request: Request, retry_delay: u64, now: u64) {
        let left = (request.arrived + DEADLINE_MS).saturating_sub(now);
        request.refusals += 1;
        if request.refusals > 1 || left < 300 {
            self.outcomes.refused += 1.0;
            return;
        }
        self.retries.push((now + retry_delay.min(left / 3).max(1), request));
    }

    fn gossip(&mut self, now: u64) {
        let counts: Vec<_> = self.entries.iter().map(|entry| entry.load.counts()).collect();
        for (own, entry) in self.entries.iter_mut().enumerate() {
            for (other, counts) in counts.iter().enumerate().filter(|(other, _)| *other != own) {
                entry.load.report(&format!("e{other}"), counts.clone(), Millis::new(now));
            }
        }
    }

    /// Begins a pass and returns its duration in milliseconds.
    fn begin_pass(&mut self, now: u64) -> f64 {
        let mut own: f64 = 0.0;
        let mut sum = 0.0;
        for rank in &mut self.ranks {
            let mut room = PROMPT_CHUNK * self.fleet.stride;
            let mut work = 0.0;
            for stream in rank.iter_mut().take(self.fleet.slots) {
                if stream.prompt_left > 0.0 {
                    let read = stream.prompt_left.min(room);
                    stream.prompt_left -= read;
                    room -= read;
                    work += read / TOKENS_PER_MS;
                } else {
                    work += self.fleet.stride * self.fleet.request_ms;
                }
            }
            own = own.max(work);
            sum += work;
        }
        let even = sum / self.fleet.ranks as f64;
        let experts = EXPERT_SHARE * expert_imbalance(now) * even;
        self.fleet.stride * STEP_MS + (1.0 - EXPERT_SHARE) * own + experts
    }

    fn end_pass(&mut self, at: f64, now: u64) {
        for rank in 0..self.fleet.ranks {
            let mut streams = std::mem::take(&mut self.ranks[rank]);
            let mut place = 0;
            streams.retain_mut(|stream| {
                place += 1;
                place > self.fleet.slots || self.emit_event(stream, rank, at, now)
            });
            self.ranks[rank].extend(streams);
        }
    }

    /// Emits an event of a stream. Returns whether the stream continues.
    fn emit_event(&mut self, stream: &mut Stream, rank: usize, at: f64, now: u64) -> bool {
        if stream.prompt_left > 0.0 {
            return true;
        }
        if let Some(last) = stream.last_event_ms {
            let pause = at - last;
            stream.longest_pause_ms = stream.longest_pause_ms.max(pause);
            let entry = &mut self.entries[stream.request.entry];
            let active: u32 = self.names.iter().map(|name| entry.load.active(name)).sum();
            let pause = Micros::new((pause * 1_000.0) as u64);
            let mean = f64::from(active) / self.fleet.ranks as f64;
            entry.limiter.as_mut().unwrap().record_pause(pause, mean, Millis::new(now));
        }
        stream.first_event_ms.get_or_insert(at);
        stream.last_event_ms = Some(at);
        stream.events_left -= 1;
        let over = now > stream.request.arrived + DEADLINE_MS;
        if stream.events_left > 0 && !over {
            return true;
        }
        self.entries[stream.request.entry].load.end(&self.names[rank]);
        let first = stream.first_event_ms.unwrap_or(at) - stream.request.arrived as f64;
        match (over, first <= OBJECTIVE_MS as f64 && stream.longest_pause_ms <= self.fleet.pause_ms)
        {
            (true, _) => {}
            (false, true) => self.outcomes.on_time += 1.0,
            (false, false) => self.outcomes.late += 1.0,
        }
        false
    }
}

/// Requests of a run at `requests_per_s`, spread unevenly over the entries.
fn requests(fleet: &Fleet, seed: u64, requests_per_s: f64) -> Vec<Request> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut at = 0.0;
    let mut requests = Vec::new();
    while at < DURATION_MS as f64 {
        at += -rng.random::<f64>().ln() * 1_000.0 / requests_per_s;
        let spread = |rng: &mut Pcg64Mcg| -rng.random::<f64>().ln();
        let prompt = (spread(&mut rng) * 800.0).clamp(40.0, 2_800.0);
        let events = (spread(&mut rng) * 20.0 + 5.0).min(60.0) as u32;
        let entry = rng.random_range(0..fleet.entries * 2) % (fleet.entries + 3) % fleet.entries;
        requests.push(Request { arrived: at as u64, entry, prompt, events, refusals: 0 });
    }
    requests
}

fn run_seeds(fleet: Fleet, policy: Policy, requests_per_s: f64) -> Outcomes {
    // A large fleet has enough requests in one run.
    let seeds = if fleet.ranks > SMALL.ranks { 1 } else { 2 };
    let mut sum = Outcomes::default();
    for seed in 0..seeds {
        let outcomes = Simulation::new(fleet, policy, seed)
            .run(&requests(&fleet, seed, requests_per_s))
            .outcomes;
        sum.total += outcomes.total;
        sum.on_time += outcomes.on_time;
        sum.late += outcomes.late;
        sum.refused += outcomes.refused;
    }
    sum
}

#[rstest]
#[case::light(SMALL, 40.0)]
#[case::heavy(SMALL, 80.0)]
#[case::overload(SMALL, 95.0)]
#[case::heavy_overload(SMALL, 110.0)]
#[case::large_heavy(LARGE, 300.0)]
#[case::large_overload(LARGE, 400.0)]
fn score_is_no_worse_than_common_policies(#[case] fleet: Fleet, #[case] requests_per_s: f64) {
    let product = run_seeds(fleet, Policy::Product, requests_per_s);
    println!("{requests_per_s}/s Product {:.3} {product:?}", product.score());

    for policy in [Policy::LeastInFlight, Policy::RoundRobin, Policy::FirstCome] {
        let other = run_seeds(fleet, policy, requests_per_s);
        println!("{requests_per_s}/s {policy:?} {:.3} {other:?}", other.score());
        assert!(
            product.score() >= other.score() - 0.005,
            "{:.3} by this crate, {:.3} by {policy:?} at {requests_per_s}/s",
            product.score(),
            other.score()
        );
    }
}

#[rstest]
#[case::small(SMALL, 95.0)]
#[case::large(LARGE, 400.0)]
fn concurrent_choices_rarely_exceed_the_limit_of_a_rank_by_half(
    #[case] fleet: Fleet,
    #[case] requests_per_s: f64,
) {
    let simulation =
        Simulation::new(fleet, Policy::Product, 1).run(&requests(&fleet, 1, requests_per_s));

    let mut fullest = simulation.fullest;
    fullest.sort_by(f64::total_cmp);
    let p90 = fullest[fullest.len() * 9 / 10];
    println!("p90 of the fullest rank relative to its limit: {p90:.2}");
    assert!(p90 < 1.5, "p90 of the fullest rank is {p90:.2} times its limit");
}
