//! Known upstreams, as listed by the registry.
//!
//! A removal takes effect at once, unless an outage of the registry may have caused it:
//! registrations expire while upstreams can't renew them. An entry can't tell an outage of the
//! registry from a loss of its own contact. So after a loss that was long enough for registrations
//! to expire, removals of most upstreams of a service are deferred for [`REGISTRY_RECOVERY_TIME`],
//! in which live upstreams re-register. Removals of fewer are what upstreams that leave cause.
//!
//! The registry may be restored from an outdated backup. An upstream known to be draining then
//! stays so, and one known to be removed counts as removed until it registers again.

use std::fmt;
use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{id, unit};

/// Time within which live upstreams re-register after the registry is back.
pub const REGISTRY_RECOVERY_TIME: unit::Millis = unit::Millis::new(2_000);

/// Renewals that an upstream misses, at least, before its registration expires.
const MISSED_RENEWALS: u64 = 2;

/// Time to remember removed upstreams. Stale registrations in a restored backup expire sooner.
const TOMBSTONE_TTL: unit::Millis = unit::Millis::new(30_000);

/// A registry revision. Numbers repeat after a restore from a backup, which begins a new era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Revision {
    /// Number of restores from a backup.
    pub era: u64,
    /// Number of the change; zero before the first one.
    pub number: u64,
}

impl Revision {
    /// Creates a revision.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// One run of an upstream process, from start to end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Incarnation {
    /// The upstream.
    pub vm: id::Vm,
    /// Start time of the process.
    #[serde(rename = "born")]
    pub started_at: u64,
}

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepts requests.
    Ready,
    /// Is shutting down and accepts no new requests.
    Draining,
}

/// An upstream as listed by the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Its identity, which requests can name.
    pub vm: id::Vm,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: id::Service,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// Start time, which distinguishes processes with the same identity.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// Whether its group of ranks is open.
    pub open: bool,
    /// Its position in a group of ranks, if any.
    pub rank: Option<Rank>,
}

impl Upstream {
    /// The listed incarnation.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { vm: self.vm.clone(), started_at: self.started_at }
    }
}

/// A position in a lock-step group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rank {
    /// The group.
    pub group: Box<str>,
    /// Index of the rank in the group.
    pub index: u32,
}

/// A change in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An upstream was added or updated.
    Listed(Upstream),
    /// An upstream was removed.
    Removed(id::Vm),
}

/// A removed upstream.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    removed_at: unit::Millis,
    draining: bool,
}

#[derive(Clone, Debug)]
struct Listing {
    upstream: Upstream,
    removal_pending: bool,
}

/// Why removals may be of upstreams that are alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doubt {
    /// The registry may have been down for longer than registrations last.
    Outage,
    /// The registry was restored from an outdated backup.
    Restore,
}

/// What became of the removals of a batch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Removals {
    /// Upstreams that were removed.
    pub applied: Vec<id::Vm>,
    /// Upstreams that remain until the registry has recovered.
    pub deferred: Vec<id::Vm>,
}

/// Upstreams known to one entry.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    listings: IndexMap<id::Vm, Listing>,
    revision: Revision,
    /// Interval at which upstreams renew their registrations.
    renewal_interval: unit::Millis,
    /// Last response of the registry.
    registry_heard_at: Option<unit::Millis>,
    registry_down: bool,
    /// Since when removals are in doubt, and why.
    doubt: Option<(Doubt, unit::Millis)>,
    /// Upstreams of each service that were removed since contact was lost.
    removed_in_doubt: IndexMap<id::Service, usize>,
    tombstones: IndexMap<Incarnation, Tombstone>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the interval at which upstreams renew their registrations.
    pub fn with_renewal_interval(self, interval: unit::Millis) -> Self {
        Self { renewal_interval: interval, ..self }
    }

    /// Latest registry revision that the directory reflects.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Records that the registry does not respond.
    pub fn registry_lost(&mut self) {
        if !std::mem::replace(&mut self.registry_down, true) {
            self.removed_in_doubt.clear();
        }
    }

    /// Records a response of the registry. Returns the time since the one before, if it did not
    /// respond in between.
    pub fn registry_reachable(&mut self, now: unit::Millis) -> Option<unit::Millis> {
        let silence = self.registry_heard_at.replace(now).map_or(now, |at| now.saturating_sub(at));
        if !std::mem::take(&mut self.registry_down) {
            return None;
        }
        if silence.get() >= self.renewal_interval.get() * MISSED_RENEWALS {
            self.doubt = Some((Doubt::Outage, now));
        }
        Some(silence)
    }

    /// Records a restore from an outdated backup: upstreams missing from its list may be alive.
    pub const fn registry_restored(&mut self, now: unit::Millis) {
        self.registry_down = false;
        self.registry_heard_at = Some(now);
        self.doubt = Some((Doubt::Restore, now));
    }

    /// Why removals are in doubt, if they are.
    fn doubt(&self, now: unit::Millis) -> Option<Doubt> {
        let recovering = self.doubt.filter(|(_, since)| now < *since + REGISTRY_RECOVERY_TIME);
        let lost = self.registry_down.then_some(Doubt::Outage);
        recovering.map(|(doubt, _)| doubt).or(lost)
    }

    /// Applies one change made at `revision`.
    pub fn apply(&mut self, change: Change, revision: Revision, now: unit::Millis) {
        self.apply_all(vec![change], revision, now);
    }

    /// Applies changes that were made up to `revision`.
    pub fn apply_all(
        &mut self,
        changes: Vec<Change>,
        revision: Revision,
        now: unit::Millis,
    ) -> Removals {
        self.revision = self.revision.max(revision);
        let mut removed = Vec::new();
        for change in changes {
            match change {
                Change::Listed(upstream) => self.upsert(upstream),
                Change::Removed(vm) => {
                    if let Some(listing) = self.listings.get_mut(&vm) {
                        listing.removal_pending = true;
                        removed.push(vm);
                    }
                }
            }
        }
        removed.retain(|vm| self.listings.get(vm).is_some_and(|listing| listing.removal_pending));
        let doubt = self.doubt(now);
        let (deferred, applied) = removed
            .into_iter()
            .partition(|vm| doubt.is_some_and(|doubt| self.is_deferred(vm, doubt)));
        let removals = Removals { applied, deferred };
        for vm in &removals.applied {
            self.remove(vm, now);
        }
        if doubt.is_none() {
            self.removed_in_doubt.clear();
        }
        removals
    }

    /// Whether an outage may have caused the removal of `vm`: then its service loses most others
    /// as well.
    fn is_deferred(&self, vm: &id::Vm, doubt: Doubt) -> bool {
        let Some(listing) = self.listings.get(vm) else { return false };
        let service = &listing.upstream.service;
        let of_service = self.listings.values().filter(|other| other.upstream.service == *service);
        let removed = self.removed_in_doubt.get(service).copied().unwrap_or(0);
        let (gone, all) = of_service.fold((removed, removed), |(gone, all), other| {
            (gone + usize::from(other.removal_pending), all + 1)
        });
        match doubt {
            Doubt::Restore => true,
            Doubt::Outage => 2 * gone > all,
        }
    }

    /// Adds or updates an upstream. Draining is final for an incarnation.
    fn upsert(&mut self, mut upstream: Upstream) {
        let tombstone = self.tombstones.swap_remove(&upstream.incarnation());
        let known = self.listings.get(&upstream.vm).map(|listing| &listing.upstream);
        let is_draining = known.is_some_and(|known| {
            known.started_at == upstream.started_at && known.state == State::Draining
        });
        if is_draining || tombstone.is_some_and(|tombstone| tombstone.draining) {
            upstream.state = State::Draining;
        }
        self.listings.insert(upstream.vm.clone(), Listing { upstream, removal_pending: false });
    }

    fn remove(&mut self, vm: &id::Vm, now: unit::Millis) {
        if let Some(listing) = self.listings.swap_remove(vm) {
            let draining = listing.upstream.state == State::Draining;
            let tombstone = Tombstone { removed_at: now, draining };
            self.tombstones.insert(listing.upstream.incarnation(), tombstone);
            *self.removed_in_doubt.entry(listing.upstream.service).or_default() += 1;
        }
    }

    /// Applies a full list as of `revision`.
    pub fn replace(
        &mut self,
        listed: Vec<Upstream>,
        revision: Revision,
        now: unit::Millis,
    ) -> Removals {
        let unlisted = |vm: &&id::Vm| !listed.iter().any(|upstream| upstream.vm == **vm);
        let removed = self.listings.keys().filter(unlisted).cloned().map(Change::Removed);
        let mut changes: Vec<Change> = removed.collect();
        // A restored backup lists removed upstreams until their registrations expire.
        let restored = self.doubt(now) == Some(Doubt::Restore);
        let stale =
            |upstream: &Upstream| restored && self.tombstones.contains_key(&upstream.incarnation());
        let current = listed.into_iter().filter(|upstream| !stale(upstream));
        changes.extend(current.map(Change::Listed));
        self.apply_all(changes, revision, now)
    }

    /// Marks upstreams as draining that said so in a response, to this entry or another one. Returns
    /// whether any of them was listed as ready.
    pub fn mark_draining(&mut self, leaving: &[Incarnation]) -> bool {
        let mut changed = false;
        for incarnation in leaving {
            if let Some(listing) = self.listings.get_mut(&incarnation.vm)
                && listing.upstream.started_at == incarnation.started_at
            {
                let before = std::mem::replace(&mut listing.upstream.state, State::Draining);
                changed |= before == State::Ready;
            }
        }
        changed
    }

    /// Upstreams that are draining.
    pub fn draining(&self) -> Vec<Incarnation> {
        let draining = self.iter().filter(|upstream| upstream.state == State::Draining);
        draining.map(Upstream::incarnation).collect()
    }

    /// Removes upstreams whose removal was deferred and that did not re-register in time.
    pub fn remove_pending(&mut self, now: unit::Millis) -> Vec<id::Vm> {
        if self.doubt(now).is_some() {
            return Vec::new();
        }
        let pending = self.listings.iter().filter(|(_, listing)| listing.removal_pending);
        let removed: Vec<id::Vm> = pending.map(|(vm, _)| vm.clone()).collect();
        for vm in &removed {
            self.remove(vm, now);
        }
        self.removed_in_doubt.clear();
        self.tombstones.retain(|_, tombstone| now < tombstone.removed_at + TOMBSTONE_TTL);
        removed
    }

    /// The upstream `vm`, if it accepts requests.
    pub fn get(&self, vm: &id::Vm) -> Option<&Upstream> {
        let listing = self.listings.get(vm)?;
        (listing.upstream.state == State::Ready).then_some(&listing.upstream)
    }

    /// Whether `incarnation` is listed, draining or not.
    pub fn lists(&self, incarnation: &Incarnation) -> bool {
        let listing = self.listings.get(&incarnation.vm);
        listing.is_some_and(|listing| listing.upstream.started_at == incarnation.started_at)
    }

    /// Upstreams of `service` that accept requests.
    pub fn ready<'a>(&'a self, service: &'a id::Service) -> impl Iterator<Item = &'a Upstream> {
        let upstreams = self.listings.values().map(|listing| &listing.upstream);
        upstreams.filter(move |u| u.service == *service && u.state == State::Ready)
    }

    /// Indexes and addresses of the ranks in `group`.
    pub fn ranks<'a>(&'a self, group: &'a str) -> impl Iterator<Item = (u32, SocketAddr)> + 'a {
        self.iter().filter_map(move |upstream| {
            let rank = upstream.rank.as_ref().filter(|rank| &*rank.group == group)?;
            Some((rank.index, upstream.address))
        })
    }

    /// All upstreams, draining ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.listings.values().map(|listing| &listing.upstream)
    }
}
