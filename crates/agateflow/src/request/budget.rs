//! Retry budgets: retries are a bounded share of new requests, per team and per upstream.

use indexmap::IndexMap;

use crate::id;

/// Balance units that one retry costs.
const UNITS_PER_RETRY: u64 = 1_000;

/// Limits of a [`Budget`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Retries allowed for each thousand requests.
    pub per_thousand: u64,
    /// Retries that an account can hold.
    pub burst: u64,
    /// Teams, and likewise upstreams, that have an account of their own.
    pub max_accounts: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { per_thousand: 200, burst: 20, max_accounts: 4096 }
    }
}

/// Retry budgets of one entry.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    teams: IndexMap<id::Team, u64>,
    vms: IndexMap<id::Vm, u64>,
}

impl Budget {
    /// Creates a budget without accounts; each one starts full.
    pub fn new(limits: Limits) -> Self {
        Self { limits, teams: IndexMap::new(), vms: IndexMap::new() }
    }

    /// Deposits the share of a new request of `team` to `vm` in both accounts.
    pub fn record_request(&mut self, team: &id::Team, vm: &id::Vm) {
        let limits = self.limits;
        deposit(account(&mut self.teams, team, &limits), &limits);
        deposit(account(&mut self.vms, vm, &limits), &limits);
    }

    /// Withdraws one retry of `team` at `vm` from both accounts, or from neither.
    pub fn try_withdraw(&mut self, team: &id::Team, vm: &id::Vm) -> bool {
        let limits = self.limits;
        let team = account(&mut self.teams, team, &limits);
        let vm = account(&mut self.vms, vm, &limits);
        if *team < UNITS_PER_RETRY || *vm < UNITS_PER_RETRY {
            return false;
        }
        *team -= UNITS_PER_RETRY;
        *vm -= UNITS_PER_RETRY;
        true
    }
}

fn deposit(account: &mut u64, limits: &Limits) {
    *account = (*account + limits.per_thousand * UNITS_PER_RETRY / 1_000)
        .min(limits.burst * UNITS_PER_RETRY);
}

/// The account of `name`. A new one starts full; beyond the maximum it evicts the oldest.
fn account<'a, K: Clone + Eq + std::hash::Hash>(
    accounts: &'a mut IndexMap<K, u64>,
    name: &K,
    limits: &Limits,
) -> &'a mut u64 {
    if accounts.len() >= limits.max_accounts && !accounts.contains_key(name) {
        accounts.shift_remove_index(0);
    }
    accounts.entry(name.clone()).or_insert(limits.burst * UNITS_PER_RETRY)
}
