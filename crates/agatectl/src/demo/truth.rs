//! Compares the outcomes reported to callers with what engines and services ran.

use agateflow_standin::service::Call;
use serde::Serialize;

use super::platform::Platform;
use crate::load::{Answer, COMPLETIONS, Verdict};

/// What callers saw, request by request.
#[derive(Default)]
pub struct Truth {
    seen: Vec<Seen>,
}

struct Seen {
    model: bool,
    call: Call,
    body: bytes::Bytes,
    idempotent: bool,
    verdict: Verdict,
}

/// What the comparison found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Found {
    /// Requests that were reported as "not run" although they ran.
    pub not_run_but_ran: u64,
    /// Calls that may not be repeated and ran more than once.
    pub repeated: u64,
    /// Whole answers of calls that no service ran.
    pub whole_but_not_run: u64,
    /// Calls that may not be repeated.
    pub not_repeatable: u64,
}

impl Found {
    /// Whether all reported outcomes are true and no call ran twice that may run once only.
    pub fn is_good(&self) -> bool {
        self.not_run_but_ran == 0 && self.repeated == 0 && self.whole_but_not_run == 0
    }
}

impl Truth {
    /// Notes one answer.
    pub fn add(&mut self, answer: &Answer) {
        let request = &answer.request;
        let model = &*request.path == COMPLETIONS;
        let idempotent = model || request.method.is_idempotent();
        self.seen.push(Seen {
            model,
            call: Call::new(&request.method, &request.path, &request.body),
            body: request.body.clone(),
            idempotent,
            verdict: answer.seen.verdict,
        });
    }

    /// Compares with the counts of the platform.
    pub fn judge(&self, platform: &Platform) -> Found {
        let mut found = Found::default();
        for seen in &self.seen {
            let runs = runs(seen, platform);
            found.not_run_but_ran += u64::from(seen.verdict == Verdict::NotRun && runs > 0);
            found.whole_but_not_run += u64::from(seen.verdict == Verdict::Whole && runs == 0);
            found.not_repeatable += u64::from(!seen.idempotent);
            found.repeated += u64::from(!seen.idempotent && runs > 1);
        }
        found
    }
}

fn runs(seen: &Seen, platform: &Platform) -> u64 {
    if seen.model {
        return platform.engines.iter().map(|engine| engine.runs_of(&seen.body)).sum();
    }
    platform.services.iter().map(|service| service.runs(&seen.call)).sum()
}
