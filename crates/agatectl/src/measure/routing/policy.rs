//! The policies that are compared, one instance for each entry.

use agateflow::route::{Balancer, Candidate, Report, Work};
use agateflow::{id, unit};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Ledger,
    RoundRobin,
    LeastInFlight,
    TwoChoices,
}

impl Kind {
    pub const ALL: [Kind; 4] =
        [Kind::Ledger, Kind::RoundRobin, Kind::LeastInFlight, Kind::TwoChoices];

    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Ledger => "agateflow",
            Kind::RoundRobin => "round-robin",
            Kind::LeastInFlight => "least-in-flight",
            Kind::TwoChoices => "two-choices",
        }
    }
}

/// State of one entry, under any policy.
pub struct Entry {
    kind: Kind,
    ledger: Balancer,
    turn: usize,
    in_flight: Vec<u32>,
}

impl Entry {
    pub fn new(kind: Kind, engines: usize, first: usize) -> Self {
        Self { kind, ledger: Balancer::new(), turn: first, in_flight: vec![0; engines] }
    }

    pub fn report(&mut self, vm: &id::Vm, report: &Report) {
        self.ledger.apply_report(vm, report);
    }

    pub fn choose(
        &mut self,
        engines: &[Candidate],
        work: &Work,
        rng: &mut Pcg64Mcg,
        now: unit::Millis,
    ) -> usize {
        match self.kind {
            Kind::Ledger => self.ledger.choose(engines, work, rng, now).unwrap_or_default(),
            Kind::RoundRobin => {
                self.turn += 1;
                self.turn % engines.len()
            }
            Kind::LeastInFlight => {
                let start = rng.random_range(0..engines.len());
                let order = (0..engines.len()).map(|index| (start + index) % engines.len());
                order.min_by_key(|index| self.in_flight[*index]).unwrap_or_default()
            }
            Kind::TwoChoices => {
                let pair = [(); 2].map(|()| rng.random_range(0..engines.len()));
                if self.in_flight[pair[0]] <= self.in_flight[pair[1]] { pair[0] } else { pair[1] }
            }
        }
    }

    pub fn start(
        &mut self,
        id: id::Attempt,
        (index, engine): (usize, &Candidate),
        work: &Work,
        now: unit::Millis,
    ) {
        self.in_flight[index] += 1;
        self.ledger.start(id, engine, work, now);
    }

    pub fn end(
        &mut self,
        id: id::Attempt,
        (index, engine): (usize, &Candidate),
        now: unit::Millis,
    ) {
        self.in_flight[index] -= 1;
        self.ledger.end(id, &engine.vm, now);
    }
}
