//! Plays entries before lock-step groups whose ranks crash on a part of prompts, by accident, or a
//! few at once, and checks what engines and sound callers see.

#![allow(clippy::unwrap_used)]

use agateflow::direct::quarantine::{Part, Register};
use agateflow::direct::suspect::Incarnation;
use agateflow::unit::Millis;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const ENTRIES: usize = 9;
const RANKS: usize = 8;
const DAY_MS: u64 = 40_000;
const REQUESTS_PER_MS: f64 = 0.075;
const FIRST_PARTS: usize = 60;

/// Time from a crash until the group serves again.
const OUTAGE_MS: u64 = 4_100;

/// Time from a first event to a second one.
const PASS_MS: u64 = 60;

/// Time after the fifth crash from which requests with a deadly part are counted.
const CONTACT_MS: u64 = 3_000;

/// Trouble of a day.
#[derive(Clone, Copy, Default)]
struct Trouble {
    /// Share of the requests that have one of the deadly parts.
    share: f64,
    /// Number of deadly parts.
    deadly: usize,
    /// Time between accidents, each at as many ranks as `rack` says; none if zero.
    accident_ms: u64,
    rack: usize,
    /// Time between restarts of entries; none if zero.
    restart_ms: u64,
    /// Share of the messages between entries that are lost.
    loss: f64,
}

#[derive(Clone)]
struct Request {
    entry: usize,
    rank: usize,
    parts: Vec<Part>,
    deadly: Option<usize>,
    sent: u64,
    begins: u64,
    is_repeat: bool,
}

#[derive(Default)]
struct Outcome {
    /// Requests sent with each deadly part, and crashes by it.
    sent: Vec<Vec<u64>>,
    crashes: Vec<Vec<u64>>,
    sound: usize,
    sound_quarantined: usize,
}

struct Entry {
    register: Register,
    started: u64,
}

impl Entry {
    fn now(&self, now: u64) -> Millis {
        Millis::new(now - self.started)
    }
}

struct Day {
    rng: Pcg64Mcg,
    trouble: Trouble,
    groups: usize,
    entries: Vec<Entry>,
    open_from: Vec<u64>,
    lifetimes: Vec<u64>,
    running: Vec<Request>,
    returning: Vec<(u64, Request)>,
    outcome: Outcome,
}

impl Day {
    fn new(seed: u64, groups: usize, trouble: Trouble) -> Self {
        let entries = (0..ENTRIES).map(|_| Entry { register: Register::new(), started: 0 });
        let outcome = Outcome {
            sent: vec![Vec::new(); trouble.deadly],
            crashes: vec![Vec::new(); trouble.deadly],
            ..Outcome::default()
        };
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            trouble,
            groups,
            entries: entries.collect(),
            open_from: vec![0; groups],
            lifetimes: vec![0; groups * RANKS],
            running: Vec::new(),
            returning: Vec::new(),
            outcome,
        }
    }

    fn play(mut self) -> Outcome {
        for now in 1..DAY_MS {
            self.admit_arrivals(now);
            self.answer(now);
            self.strike(now);
            if now.is_multiple_of(20) {
                self.gossip(now);
            }
        }
        self.outcome
    }

    fn admit_arrivals(&mut self, now: u64) {
        if self.rng.random_bool(REQUESTS_PER_MS) {
            let request = self.draw_request();
            self.admit(request, now);
        }
        let due: Vec<(u64, Request)> =
            self.returning.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, request) in due {
            self.admit(request, now);
        }
    }

    fn draw_request(&mut self) -> Request {
        let is_deadly = self.trouble.deadly > 0 && self.rng.random_bool(self.trouble.share);
        let rank = FIRST_PARTS as f64 * self.rng.random::<f64>().powi(2);
        let first = Part::new("s", format!("first{}", rank as usize).as_bytes());
        let deadly = is_deadly.then(|| self.rng.random_range(0..self.trouble.deadly));
        let part = |n: usize| Part::new("s", format!("deadly{n}").as_bytes());
        Request {
            entry: self.rng.random_range(0..ENTRIES),
            rank: 0,
            parts: [first].into_iter().chain(deadly.map(part)).collect(),
            deadly,
            sent: 0,
            begins: 0,
            is_repeat: false,
        }
    }

    fn admit(&mut self, mut request: Request, now: u64) {
        let entry = &self.entries[request.entry];
        let is_quarantined = entry.register.exclusion(&request.parts, entry.now(now)).is_some();
        self.outcome.sound += usize::from(request.deadly.is_none());
        self.outcome.sound_quarantined += usize::from(request.deadly.is_none() && is_quarantined);
        let open: Vec<usize> = (0..self.groups).filter(|&g| self.open_from[g] <= now).collect();
        if is_quarantined {
            return;
        }
        if open.is_empty() {
            return self.come_back(request, now);
        }
        let group = open[self.rng.random_range(0..open.len())];
        request.rank = group * RANKS + self.rng.random_range(0..RANKS);
        request.sent = now;
        request.begins = now + self.rng.random_range(40..140);
        if let Some(deadly) = request.deadly {
            self.outcome.sent[deadly].push(now);
        }
        self.running.push(request);
    }

    fn come_back(&mut self, mut request: Request, now: u64) {
        if !request.is_repeat {
            request.is_repeat = true;
            request.entry = self.rng.random_range(0..ENTRIES);
            self.returning.push((now + self.rng.random_range(2_500..4_000), request));
        }
    }

    fn answer(&mut self, now: u64) {
        let begun = self.running.iter().position(|r| r.deadly.is_some() && r.begins <= now);
        if let Some(index) = begun {
            let request = self.running[index].clone();
            self.outcome.crashes[request.deadly.unwrap()].push(now);
            self.crash(&[request.rank], now);
        }
        let answered: Vec<Request> =
            self.running.extract_if(.., |request| request.begins + PASS_MS <= now).collect();
        for request in answered {
            let entry = &mut self.entries[request.entry];
            let at = entry.now(now);
            entry.register.record_answer(&request.parts, at);
        }
    }

    /// Ends ranks. Their unanswered requests name their parts; other ranks of the groups refuse.
    fn crash(&mut self, ranks: &[usize], now: u64) {
        for &rank in ranks {
            self.lifetimes[rank] += 1;
            self.open_from[rank / RANKS] = now + OUTAGE_MS;
        }
        let closed =
            |request: &mut Request| ranks.iter().any(|r| r / RANKS == request.rank / RANKS);
        let lost: Vec<Request> = self.running.extract_if(.., closed).collect();
        for request in lost {
            if ranks.contains(&request.rank) {
                let crash =
                    Incarnation::new(&request.rank.to_string(), self.lifetimes[request.rank]);
                let run_time = Millis::new(now - request.sent);
                let entry = &mut self.entries[request.entry];
                let at = entry.now(now);
                entry.register.record_crash(crash, &request.parts, run_time, at);
            }
            self.come_back(request, now);
        }
    }

    fn strike(&mut self, now: u64) {
        let due = |period: u64| period > 0 && now % period == period / 2;
        if due(self.trouble.accident_ms) {
            let ranks: Vec<usize> = (0..self.trouble.rack)
                .map(|_| self.rng.random_range(0..self.groups * RANKS))
                .collect();
            self.crash(&ranks, now);
        }
        if due(self.trouble.restart_ms) {
            let entry = self.rng.random_range(0..ENTRIES);
            self.entries[entry] = Entry { register: Register::new(), started: now };
        }
    }

    fn gossip(&mut self, now: u64) {
        for from in 0..ENTRIES {
            let sender = &mut self.entries[from];
            if !now.is_multiple_of(100) && !sender.register.has_news() {
                continue;
            }
            let at = sender.now(now);
            let items = sender.register.take_items(64, at);
            for to in (0..ENTRIES).filter(|&to| to != from) {
                if !self.rng.random_bool(self.trouble.loss) {
                    let receiver = &mut self.entries[to];
                    let at = receiver.now(now);
                    receiver.register.merge(&items, at);
                }
            }
        }
    }
}

/// Days to play of each kind; `AGATEFLOW_DAYS` sets more.
fn days() -> u64 {
    std::env::var("AGATEFLOW_DAYS").ok().and_then(|days| days.parse().ok()).unwrap_or(20)
}

#[rstest]
#[case::calm(Trouble { share: 0.03, deadly: 1, ..Trouble::default() })]
#[case::often(Trouble { share: 0.3, deadly: 1, ..Trouble::default() })]
#[case::two_parts(Trouble { share: 0.1, deadly: 2, ..Trouble::default() })]
#[case::accidents(Trouble { share: 0.05, deadly: 1, accident_ms: 9_000, rack: 1, ..Trouble::default() })]
#[case::racks(Trouble { share: 0.05, deadly: 2, accident_ms: 9_000, rack: 3, ..Trouble::default() })]
#[case::lost_messages(Trouble { share: 0.05, deadly: 1, loss: 0.3, ..Trouble::default() })]
#[case::restarts(Trouble { share: 0.05, deadly: 1, restart_ms: 700, ..Trouble::default() })]
fn few_requests_with_a_deadly_part_are_sent_after_its_fifth_crash(
    #[case] trouble: Trouble,
    #[values(1, 2)] groups: usize,
) {
    for seed in 0..days() {
        let outcome = Day::new(seed, groups, trouble).play();

        for (sent, crashes) in outcome.sent.iter().zip(&outcome.crashes) {
            let Some(&fifth) = crashes.get(4) else { continue };
            let late = sent.iter().filter(|&&at| at > fifth + CONTACT_MS).count();
            assert!(late <= 3, "seed {seed}: {late} sent late, crashes {crashes:?}");
        }
        let share = outcome.sound_quarantined as f64 / outcome.sound as f64;
        assert!(share < 0.05, "seed {seed}: {share:.3} of the sound requests refused");
    }
}

#[rstest]
#[case::single_ranks(Trouble { accident_ms: 9_000, rack: 1, ..Trouble::default() })]
#[case::racks(Trouble { accident_ms: 9_000, rack: 3, ..Trouble::default() })]
#[case::flapping(Trouble { accident_ms: 4_500, rack: 1, ..Trouble::default() })]
#[case::restarts(Trouble { accident_ms: 9_000, rack: 1, restart_ms: 700, ..Trouble::default() })]
fn accidents_quarantine_almost_no_sound_part(
    #[case] trouble: Trouble,
    #[values(1, 2)] groups: usize,
) {
    let (mut sound, mut quarantined) = (0, 0);
    for seed in 1_000..1_000 + days() {
        let outcome = Day::new(seed, groups, trouble).play();

        sound += outcome.sound;
        quarantined += outcome.sound_quarantined;
    }

    let share = quarantined as f64 / sound as f64;
    assert!(share < 0.01, "{share:.4} of the sound requests refused");
}
