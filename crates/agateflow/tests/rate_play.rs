//! Plays entries before upstreams that name request rate limits, with restarts and cuts of entries, and
//! checks what upstreams and callers see.

#![allow(clippy::unwrap_used)]

mod directfixture;

use std::collections::VecDeque;

use agateflow::direct::directory::Upstream;
use agateflow::direct::load::{Candidate, Choice, Context, Load};
use agateflow::direct::rate::{Limit, Members, Register, Report};
use agateflow::id;
use directfixture::{ms, upstream};
use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const DAY_MS: u64 = 30_000;
const STEP_MS: u64 = 5;
const HEARTBEAT_MS: u64 = 100;
const DELAY_MS: u64 = 10;
const RUN_MS: u64 = 400;

/// When the upstreams begin and cease to name their limits.
const NAMED_MS: (u64, u64) = (5_000, 25_000);

/// Time after the first naming from which arrivals count.
const CONTACT_MS: u64 = 3_000;

/// Window of the check.
const WINDOW_MS: u64 = 4_000;

/// Time after an entry's first answer with a limit from which its requests count.
const TOLD_MS: u64 = 500;

#[derive(Clone, Copy)]
struct Day {
    entries: usize,
    upstreams: usize,
    limited: usize,
    limit: f64,
    requests_per_s: f64,
    restarts: bool,
    cuts: bool,
}

struct Entry {
    register: Register,
    load: Load,
    incarnation: id::Incarnation,
    running: VecDeque<(u64, usize, u64)>,
    /// When it first heard of each upstream's limit.
    told_at: Vec<Option<u64>>,
    cut_until: u64,
    excused_from: u64,
}

impl Entry {
    fn new(upstreams: usize, rng: &mut impl Rng) -> Self {
        Self {
            register: Register::new(),
            load: Load::new(),
            incarnation: id::Incarnation::new(rng.random()),
            running: VecDeque::new(),
            told_at: vec![None; upstreams],
            cut_until: 0,
            excused_from: u64::MAX,
        }
    }
}

struct Heartbeat {
    arrives: u64,
    from: usize,
    incarnation: id::Incarnation,
    reports: Vec<Report>,
    counts: IndexMap<id::Vm, u32>,
}

#[derive(Default)]
struct Seen {
    /// Arrivals that count, by upstream.
    arrivals: Vec<Vec<u64>>,
    /// All arrivals while limits are named, by upstream.
    total: Vec<usize>,
    served: usize,
    turned_away: usize,
    /// Requests at limited upstreams after the limits have been lifted for two seconds.
    after: usize,
}

struct Play {
    day: Day,
    listed: Vec<Upstream>,
    entries: Vec<Entry>,
    in_transit: Vec<Heartbeat>,
    seen: Seen,
    rng: Pcg64Mcg,
    now: u64,
}

impl Play {
    fn new(day: Day, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let listed = (0..day.upstreams).map(|n| upstream(&format!("u{n}"))).collect();
        let entries = (0..day.entries).map(|_| Entry::new(day.upstreams, &mut rng)).collect();
        let seen = Seen {
            arrivals: vec![Vec::new(); day.upstreams],
            total: vec![0; day.upstreams],
            ..Seen::default()
        };
        Self { day, listed, entries, in_transit: Vec::new(), seen, rng, now: 0 }
    }

    fn run(mut self) -> Seen {
        while self.now < DAY_MS {
            self.end_requests();
            self.exchange_heartbeats();
            self.trouble();
            self.send_requests();
            self.now += STEP_MS;
        }
        self.seen
    }

    fn limit(&self, at: usize) -> Option<Limit> {
        let named = (NAMED_MS.0..NAMED_MS.1).contains(&self.now) && at < self.day.limited;
        named.then(|| Limit::new(self.day.limit).unwrap())
    }

    fn end_requests(&mut self) {
        for number in 0..self.entries.len() {
            while let Some(&(ends, at, sent)) = self.entries[number].running.front() {
                if ends > self.now {
                    break;
                }
                let limit = self.limit(at);
                let now = ms(self.now);
                let entry = &mut self.entries[number];
                entry.running.pop_front();
                entry.load.end(&self.listed[at].vm);
                let incarnation = self.listed[at].incarnation();
                entry.register.record_limit(&incarnation, limit, ms(sent), now);
                if limit.is_some() {
                    entry.told_at[at].get_or_insert(self.now);
                }
            }
        }
    }

    fn exchange_heartbeats(&mut self) {
        let now = self.now;
        let (arrived, waiting) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|beat| beat.arrives <= now);
        self.in_transit = waiting;
        let arrived: Vec<Heartbeat> = arrived;
        for beat in arrived {
            for number in (0..self.entries.len()).filter(|&number| number != beat.from) {
                let connected = |entry: &Entry| now >= entry.cut_until;
                if connected(&self.entries[number]) && connected(&self.entries[beat.from]) {
                    let entry = &mut self.entries[number];
                    entry.register.merge(beat.incarnation, &beat.reports, |_| true, ms(now));
                    entry.load.report(&beat.from.to_string(), beat.counts.clone(), ms(now));
                }
            }
        }
        for number in 0..self.entries.len() {
            if (now + number as u64 * STEP_MS).is_multiple_of(HEARTBEAT_MS) {
                let entry = &self.entries[number];
                self.in_transit.push(Heartbeat {
                    arrives: now + DELAY_MS,
                    from: number,
                    incarnation: entry.incarnation,
                    reports: entry.register.reports(ms(now)),
                    counts: entry.load.counts(),
                });
            }
        }
        let uncut = self.entries.iter().filter(|entry| now >= entry.cut_until).count();
        for entry in &mut self.entries {
            let connected = if now >= entry.cut_until { uncut } else { 1 };
            entry.register.set_members(Members { known: self.day.entries, connected });
        }
    }

    fn trouble(&mut self) {
        let number = self.rng.random_range(0..self.entries.len());
        if self.day.restarts && self.now.is_multiple_of(4_000) {
            self.entries[number] = Entry::new(self.day.upstreams, &mut self.rng);
            self.entries[number].excused_from = self.now;
        }
        if self.day.cuts && self.now.is_multiple_of(5_000) {
            self.entries[number].cut_until = self.now + 4_000;
            self.entries[number].excused_from = self.now;
        }
    }

    fn send_requests(&mut self) {
        let mut due = self.day.requests_per_s * STEP_MS as f64 / 1_000.0;
        while self.rng.random::<f64>() < due {
            due -= 1.0;
            // Some entries get several times as many requests as others.
            let share = self.rng.random::<f64>().powi(2);
            self.send((share * self.entries.len() as f64) as usize);
        }
    }

    fn send(&mut self, number: usize) {
        let now = ms(self.now);
        let entry = &mut self.entries[number];
        let candidates: Vec<Candidate<'_>> = self
            .listed
            .iter()
            .map(|upstream| Candidate {
                upstream,
                limit: 12.0,
                open: true,
                within_rate: entry.register.allows(&upstream.vm, upstream.started_at, now),
                rests_until: None,
            })
            .collect();
        let here = id::DataCentre::new("a").unwrap();
        let context = Context { tried: &[], local_data_centre: &here, entries: self.day.entries };
        let choice = entry.load.choose(candidates.into_iter(), &context, &mut self.rng, now);
        let Choice::Send(vm) = choice else {
            self.seen.turned_away += 1;
            return;
        };
        let at = self.listed.iter().position(|upstream| upstream.vm == vm).unwrap();
        entry.load.start(&vm);
        entry.register.record_send(&vm, self.listed[at].started_at);
        entry.running.push_back((self.now + RUN_MS, at, self.now));
        self.seen.served += 1;
        self.record_arrival(number, at);
    }

    fn record_arrival(&mut self, number: usize, at: usize) {
        let entry = &self.entries[number];
        let (named, lifted) = NAMED_MS;
        if at < self.day.limited && (named + CONTACT_MS..lifted).contains(&self.now) {
            self.seen.total[at] += 1;
            let told = entry.told_at[at].is_some_and(|told| self.now >= told + TOLD_MS);
            let excused = self.now < entry.excused_from.saturating_add(CONTACT_MS)
                && self.now >= entry.excused_from;
            if told && !excused {
                self.seen.arrivals[at].push(self.now);
            }
        }
        if at < self.day.limited && self.now >= lifted + 2_000 {
            self.seen.after += 1;
        }
    }
}

/// Most arrivals within [`WINDOW_MS`].
fn busiest_window(arrivals: &[u64]) -> usize {
    let window =
        |&from: &u64| arrivals.iter().filter(|&&at| (from..from + WINDOW_MS).contains(&at)).count();
    arrivals.iter().map(window).max().unwrap_or(0)
}

/// Seeds to play, fewer of days with many entries.
fn seeds(day: Day) -> std::ops::Range<u64> {
    let days: u64 = std::env::var("AGATEFLOW_DAYS").map_or(20, |days| days.parse().unwrap());
    if day.entries > CALM.entries { 0..days.div_ceil(20) } else { 0..days }
}

const CALM: Day = Day {
    entries: 9,
    upstreams: 16,
    limited: 1,
    limit: 2.2,
    requests_per_s: 75.0,
    restarts: false,
    cuts: false,
};

#[rstest]
#[case::one_of_many(CALM)]
#[case::most(Day { limited: 11, ..CALM })]
#[case::all(Day { limited: 16, ..CALM })]
#[case::restarts(Day { limited: 8, restarts: true, ..CALM })]
#[case::cuts(Day { limited: 8, cuts: true, ..CALM })]
#[case::restarts_and_cuts(Day { limited: 16, restarts: true, cuts: true, ..CALM })]
#[case::few_upstreams(Day { upstreams: 3, limited: 3, limit: 1.5, requests_per_s: 9.4, ..CALM })]
#[case::low_limit(Day { limited: 8, limit: 0.3, ..CALM })]
#[case::nothing_accepted(Day { limited: 8, limit: 0.0, ..CALM })]
#[case::high_limit(Day { limited: 8, limit: 40.0, requests_per_s: 600.0, ..CALM })]
#[case::grown(Day { entries: 38, upstreams: 64, limited: 40, limit: 2.0, requests_per_s: 260.0, ..CALM })]
fn upstreams_get_what_their_limit_allows(#[case] day: Day) {
    for seed in seeds(day) {
        let seen = Play::new(day, seed).run();

        for arrivals in &seen.arrivals[..day.limited] {
            let (count, allowed) = (busiest_window(arrivals), day.limit * 6.0 + 5.0);
            assert!(count as f64 <= allowed, "seed {seed}: {count} in 4 s, {allowed} allowed");
        }
    }
}

#[rstest]
#[case::all(Day { limited: 16, ..CALM })]
#[case::few_upstreams(Day { upstreams: 3, limited: 3, limit: 1.5, requests_per_s: 9.4, ..CALM })]
#[case::restarts(Day { limited: 16, restarts: true, ..CALM })]
#[case::grown(Day { entries: 38, upstreams: 64, limited: 64, limit: 2.0, requests_per_s: 260.0, ..CALM })]
fn demand_uses_nearly_all_that_the_limits_allow(#[case] day: Day) {
    for seed in seeds(day) {
        let seen = Play::new(day, seed).run();

        let span = (NAMED_MS.1 - NAMED_MS.0 - CONTACT_MS) as f64 / 1_000.0;
        let allowed = day.limit * span * day.limited as f64;
        let used = seen.total.iter().sum::<usize>() as f64 / allowed;
        assert!(used >= 0.8, "seed {seed}: {used:.2} of the limits used");
    }
}

#[test]
fn all_entries_learn_of_the_end_of_a_limit() {
    for seed in seeds(CALM) {
        let seen = Play::new(CALM, seed).run();

        assert!(seen.after >= 6, "seed {seed}: {} requests in 3 s", seen.after);
        assert_eq!(seen.turned_away, 0);
    }
}
