//! One run: entries that gossip their demand while requests of one team arrive.

use agateflow::fleet::gossip;
use agateflow::limit::{TICK_INTERVAL, Table};
use agateflow::{config, id, unit};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::error::Error;

/// Entries, a third in each data centre.
pub const ENTRIES: usize = 9;

/// The team's limit, in requests a second.
pub const LIMIT: f64 = 900.0;

const BURST: u32 = 90; // requests, a tenth of a second
const OFFERED: f64 = 1.5; // times the limit
const SKEW: f64 = 0.8; // share of the requests that arrive at one entry
const LENGTH_MS: u64 = 150_000;
const WARM_MS: u64 = 25_000; // unused share is counted from here
const CUT_MS: u64 = 60_000;
const MOVE_MS: u64 = 50_000;
const DELAY_MS: std::ops::Range<u64> = 100..2_000;
const WINDOW_S: usize = 10;

/// Where requests arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// Evenly at all entries.
    Even,
    /// Most at one entry.
    Skewed,
    /// Most at one entry, and at another one from time to time.
    Moving,
    /// Most at one entry, and another data centre is cut off in the middle.
    CutOff,
}

impl Arrival {
    pub const ALL: [Arrival; 4] =
        [Arrival::Even, Arrival::Skewed, Arrival::Moving, Arrival::CutOff];

    pub const fn as_str(self) -> &'static str {
        match self {
            Arrival::Even => "even",
            Arrival::Skewed => "skewed",
            Arrival::Moving => "moving",
            Arrival::CutOff => "cut-off",
        }
    }

    fn entry(self, now: u64, rng: &mut Pcg64Mcg) -> usize {
        let any = rng.random_range(0..ENTRIES);
        let skewed = rng.random_bool(SKEW);
        match self {
            Arrival::Even => any,
            Arrival::Moving if skewed => (now / MOVE_MS) as usize * 4 % ENTRIES,
            Arrival::Skewed | Arrival::CutOff if skewed => 0,
            Arrival::Skewed | Arrival::Moving | Arrival::CutOff => any,
        }
    }

    /// Whether an item between two entries arrives.
    fn connects(self, from: usize, to: usize, now: u64) -> bool {
        let last = |entry: usize| entry >= ENTRIES * 2 / 3;
        self != Arrival::CutOff || now < CUT_MS || last(from) == last(to)
    }
}

/// What a run measured.
pub struct Result {
    pub overshoot_percent: f64,
    pub unused_percent: f64,
}

fn name(index: usize) -> String {
    format!("entry-{index}")
}

fn fleet() -> std::result::Result<config::Fleet, Error> {
    let vm = |index| {
        json!({ "name": name(index), "data_centre": format!("dc{}", index / 3),
            "role": { "kind": "entry" }, "address": format!("127.0.0.1:{}", 7000 + index) })
    };
    let data_centre = |index| json!({ "name": format!("dc{index}"), "region": "south" });
    let document = json!({
        "revision": 1,
        "weights": { "skew": 1.0, "moves": 0.1 },
        "data_centres": (0..3).map(data_centre).collect::<Vec<_>>(),
        "vms": (0..ENTRIES).map(vm).collect::<Vec<_>>(),
        "teams": [{ "name": "observers", "priority": "normal", "weight": 1.0,
            "keys": [config::KeyDigest::of_key(b"key").to_string()],
            "limits": { "requests_per_second": LIMIT, "burst": BURST, "concurrency": 1_000_000 } }],
    });
    config::parse(&document.to_string()).map_err(|e| Error::step("read the model's fleet", e))
}

/// Runs the model with or without lending.
pub fn run(arrival: Arrival, lending: bool, seed: u64) -> std::result::Result<Result, Error> {
    let fleet = fleet()?;
    let team = fleet.teams[0].name.clone();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut tables = Vec::new();
    for index in 0..ENTRIES {
        let vm = id::Vm::new(&name(index)).map_err(|e| Error::step("name an entry", e))?;
        let mut table = Table::new(&vm);
        table.configure(&fleet, unit::Millis::ZERO);
        tables.push(table);
    }
    let mut items: Vec<(u64, usize, gossip::Item)> = Vec::new();
    let mut admitted = vec![0_u32; (LENGTH_MS / 1_000) as usize];
    let mut offered = admitted.clone();
    let mut next = 0.0;
    for now in 0..LENGTH_MS {
        let time = unit::Millis::new(now);
        let second = (now / 1_000) as usize;
        while next <= now as f64 {
            next += -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / (LIMIT * OFFERED);
            let entry = arrival.entry(now, &mut rng);
            offered[second] += 1;
            admitted[second] += u32::from(tables[entry].admit(&team, time).is_ok());
        }
        items.retain(|(at, to, item)| {
            if *at <= now {
                tables[*to].record_demand(item, time);
            }
            *at > now
        });
        for from in (0..ENTRIES)
            .filter(|from| lending && (now + *from as u64 * 50).is_multiple_of(TICK_INTERVAL.get()))
        {
            for item in tables[from].tick(now, time) {
                for to in (0..ENTRIES).filter(|to| arrival.connects(from, *to, now)) {
                    items.push((now + rng.random_range(DELAY_MS), to, item.clone()));
                }
            }
        }
    }
    Ok(summarize(&admitted, &offered))
}

fn summarize(admitted: &[u32], offered: &[u32]) -> Result {
    let most = admitted.windows(WINDOW_S).map(|window| window.iter().sum::<u32>()).max();
    let window = LIMIT * WINDOW_S as f64;
    let overshoot = f64::from(most.unwrap_or_default()) - window;
    let warm = (WARM_MS / 1_000) as usize;
    let usable: f64 = offered[warm..].iter().map(|offered| f64::from(*offered).min(LIMIT)).sum();
    let used: f64 = admitted[warm..].iter().map(|admitted| f64::from(*admitted)).sum();
    Result {
        overshoot_percent: (overshoot / window * 100.0).max(0.0),
        unused_percent: ((usable - used) / usable * 100.0).max(0.0),
    }
}
