//! Division of a team's limit among entries that gossip their demand.

#![allow(clippy::unwrap_used)]

use agateflow::fleet::gossip;
use agateflow::limit::{DEMAND_LIFETIME, RISE_DELAY, TICK_INTERVAL, Table};
use agateflow::{config, id, unit};
use serde_json::json;

const ENTRIES: usize = 3;
const LIMIT: f64 = 300.0;

fn entry_name(index: usize) -> id::Vm {
    format!("entry-{index}").parse().unwrap()
}

fn team() -> id::Team {
    "observers".parse().unwrap()
}

fn fleet(concurrency: u32) -> config::Fleet {
    let vm = |index| {
        json!({ "name": entry_name(index), "data_centre": "dc1", "role": { "kind": "entry" },
            "address": format!("127.0.0.1:{}", 7000 + index) })
    };
    let document = json!({
        "revision": 1,
        "weights": { "skew": 1.0, "moves": 0.1 },
        "data_centres": [{ "name": "dc1", "region": "south" }],
        "vms": (0..ENTRIES).map(vm).collect::<Vec<_>>(),
        "teams": [{ "name": "observers", "keys": [config::KeyDigest::of_key(b"k").to_string()],
            "priority": "normal", "weight": 1.0, "limits": { "requests_per_second": LIMIT,
            "burst": 3, "concurrency": concurrency } }],
    });
    config::parse(&document.to_string()).unwrap()
}

/// Entries that receive each other's demand one tick later.
struct Entries {
    tables: Vec<Table>,
    in_flight: Vec<gossip::Item>,
    now: unit::Millis,
    connected: bool,
}

impl Entries {
    fn new() -> Self {
        let now = unit::Millis::new(1_000);
        let table = |index| {
            let mut table = Table::new(&entry_name(index));
            table.configure(&fleet(100_000), now);
            table
        };
        let tables = (0..ENTRIES).map(table).collect();
        Self { tables, in_flight: Vec::new(), now, connected: true }
    }

    /// Sends `rates` requests per second for `time`; returns the most admitted in one second.
    fn run(&mut self, rates: [u64; ENTRIES], time: unit::Millis) -> u32 {
        let mut admitted = Vec::new();
        let end = self.now + time;
        while self.now < end {
            self.now += TICK_INTERVAL;
            admitted.push(self.arrive(rates));
            self.tick();
        }
        let per_second = (1_000 / TICK_INTERVAL.get()) as usize;
        admitted.windows(per_second).map(|part| part.iter().sum()).max().unwrap_or_default()
    }

    fn arrive(&mut self, rates: [u64; ENTRIES]) -> u32 {
        let mut admitted = 0;
        let millis = TICK_INTERVAL.get();
        for (table, rate) in self.tables.iter_mut().zip(rates) {
            for number in 0..rate * millis / 1_000 {
                let offset = number * 1_000 / rate;
                let now = unit::Millis::new(self.now.get() - millis + offset);
                admitted += u32::from(table.admit(&team(), now).is_ok());
            }
        }
        admitted
    }

    fn tick(&mut self) {
        let items = std::mem::take(&mut self.in_flight);
        for table in &mut self.tables {
            items
                .iter()
                .filter(|_| self.connected)
                .for_each(|item| table.record_demand(item, self.now));
            self.in_flight.extend(table.tick(self.now.get(), self.now));
        }
    }

    fn shares(&self) -> Vec<f64> {
        self.tables.iter().map(|table| table.share(&team()).unwrap()).collect()
    }
}

#[test]
fn shares_are_static_before_any_demand_is_known() {
    let entries = Entries::new();

    let shares = entries.shares();

    assert_eq!(shares, vec![LIMIT / ENTRIES as f64; ENTRIES]);
}

#[test]
fn unused_share_is_lent_to_the_entry_with_demand() {
    let mut entries = Entries::new();

    entries.run([600, 0, 0], RISE_DELAY + RISE_DELAY);

    assert!(entries.shares()[0] > 0.9 * LIMIT, "{:?}", entries.shares());
}

#[test]
fn shares_are_static_again_when_gossip_stops() {
    let mut entries = Entries::new();
    entries.run([600, 0, 0], RISE_DELAY + RISE_DELAY);

    entries.connected = false;
    entries.run([600, 0, 0], DEMAND_LIFETIME + RISE_DELAY + TICK_INTERVAL);

    assert_eq!(entries.shares(), vec![LIMIT / ENTRIES as f64; ENTRIES]);
}

#[test]
fn limit_holds_while_demand_moves_between_entries() {
    let mut entries = Entries::new();
    let mut most = entries.run([600, 0, 0], RISE_DELAY + RISE_DELAY);

    most = most.max(entries.run([0, 600, 0], RISE_DELAY + RISE_DELAY));
    most = most.max(entries.run([0, 0, 600], RISE_DELAY + RISE_DELAY));

    assert!(f64::from(most) <= LIMIT * 1.05, "{most} admitted in one second");
}

#[test]
fn request_over_the_concurrency_share_is_refused_until_a_release() {
    let now = unit::Millis::new(1_000);
    let mut table = Table::new(&entry_name(0));
    table.configure(&fleet(ENTRIES as u32), now);
    let later = now + unit::Millis::new(100);

    let first = table.admit(&team(), now);
    let second = table.admit(&team(), later);
    table.release(&team());
    let third = table.admit(&team(), later);

    assert!(first.is_ok() && second.is_err() && third.is_ok());
}
