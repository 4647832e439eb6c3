//! Which parts explain the known crashes.
//!
//! Popular parts are in flight at the same crashes as the part that causes them. So the part with the
//! most crashes is quarantined first, and what it explains counts against no other. Parts that were
//! named by the same crashes are quarantined together, which refuses only requests with all of them.

use indexmap::{IndexMap, IndexSet};

use super::{Evidence, Exclusion, LIFETIME, Part};
use crate::direct::suspect::Incarnation;
use crate::unit;

/// Separate crashes that quarantine a part that was answered before.
const MIN_CRASHES_IF_ANSWERED: usize = 3;

/// The same for a part that was never answered.
const MIN_CRASHES: usize = 2;

/// Crashes from which parts that they do not tell apart are quarantined one by one: refusing only
/// requests with all of them did not end the crashes.
const MIN_CRASHES_IF_TIED: usize = 3;

/// Crashes closer together than this may have one cause.
const MOMENT: unit::Millis = unit::Millis::new(250);

/// Duration of an exclusion by one crash; it doubles with each further one.
const MIN_DURATION: unit::Millis = unit::Millis::new(30_000);

/// Longest exclusion.
const MAX_DURATION: unit::Millis = LIFETIME;

/// What is known of a part in one crash.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    /// Whether requests with the part were answered.
    pub evidence: Evidence,
    /// Time from the sending of the last request with the part to the crash.
    pub run_time: unit::Millis,
    /// An earlier crash, after which that request was sent.
    pub after: Option<Incarnation>,
}

/// A crash and the parts that may have caused it.
#[derive(Clone, Debug)]
pub struct Crash {
    /// When it is forgotten.
    pub expires: unit::Millis,
    /// The parts.
    pub parts: IndexMap<Part, Role>,
}

/// Crashes by the upstream that ended.
pub type Crashes = IndexMap<Incarnation, Crash>;

/// A part in one crash.
#[derive(Clone, Copy, Debug)]
struct Observation {
    crash: Incarnation,
    expires: unit::Millis,
    role: Role,
    /// Number of parts that may have caused the crash.
    suspects: usize,
}

/// A part that may cause crashes.
#[derive(Clone, Debug)]
struct Candidate {
    part: Part,
    min_crashes: usize,
    observations: Vec<Observation>,
}

impl Candidate {
    /// Number of separate crashes that `explained` does not hold.
    ///
    /// A failed rack or a cut ends many upstreams at once: only a request sent after the crash before
    /// it makes a crash count of its own. Clocks of entries differ by the time that messages take, so
    /// `after` tells what its own entry knew.
    fn count(&self, explained: &IndexSet<Incarnation>) -> usize {
        let mut count = 0;
        let mut last = unit::Millis::ZERO;
        let mut counted_with: Vec<Incarnation> = Vec::new();
        for seen in self.observations.iter().filter(|seen| !explained.contains(&seen.crash)) {
            let sent = seen.expires.saturating_sub(seen.role.run_time);
            let is_separate = count == 0
                || sent >= last
                || seen.role.after.is_some_and(|after| counted_with.contains(&after));
            if is_separate {
                count += 1;
                last = seen.expires;
                counted_with.clear();
            }
            counted_with.push(seen.crash);
        }
        count
    }

    /// How much of the crashes falls to this part if each is shared out among its suspects.
    fn weight(&self, explained: &IndexSet<Incarnation>) -> f64 {
        let open = self.observations.iter().filter(|seen| !explained.contains(&seen.crash));
        open.map(|seen| 1.0 / seen.suspects as f64).sum()
    }

    fn is_in_same_crashes(&self, other: &Self) -> bool {
        let crashes = |candidate: &Self| -> IndexSet<Incarnation> {
            candidate.observations.iter().map(|seen| seen.crash).collect()
        };
        crashes(self) == crashes(other)
    }

    /// Quarantines the part, with those in `candidates` that the crashes do not tell apart from it.
    fn exclude(&self, candidates: &[Candidate]) -> Exclusion {
        let crashes = self.count(&IndexSet::new());
        let is_tied = |candidate: &&Candidate| {
            crashes < MIN_CRASHES_IF_TIED
                && candidate.min_crashes == self.min_crashes
                && candidate.is_in_same_crashes(self)
        };
        let tied =
            candidates.iter().filter(|candidate| candidate.part == self.part || is_tied(candidate));
        let last = self.observations.iter().map(|seen| seen.expires).max().unwrap_or_default();
        let repeats = (crashes - 1).min(usize::BITS as usize / 2);
        let duration = unit::Millis::new(MIN_DURATION.get() << repeats).min(MAX_DURATION);
        let until = (last + duration).saturating_sub(LIFETIME);
        Exclusion { parts: tied.map(|candidate| candidate.part).collect(), crashes, until }
    }
}

/// Quarantines the fewest parts that explain the crashes. `is_answered` tells which parts this entry saw
/// answered.
pub fn attribute(crashes: &Crashes, is_answered: impl Fn(Part) -> bool) -> Vec<Exclusion> {
    let answered = answered_parts(crashes, is_answered);
    let candidates = build_candidates(crashes, &answered);
    let mut exclusions: Vec<Exclusion> = Vec::new();
    let mut explained = IndexSet::new();
    while let Some(candidate) = strongest(&candidates, &explained) {
        explained.extend(candidate.observations.iter().map(|seen| seen.crash));
        exclusions.push(candidate.exclude(&candidates));
    }
    for candidate in candidates.iter().filter(|candidate| candidate.min_crashes <= MIN_CRASHES) {
        // Two parts that crash upstreams may meet in one crash.
        let is_certain =
            candidate.count(&IndexSet::new()) >= MIN_CRASHES && candidate.count(&explained) > 0;
        if is_certain && !exclusions.iter().any(|known| known.parts.contains(&candidate.part)) {
            exclusions.push(candidate.exclude(&candidates));
        }
    }
    exclusions
}

fn answered_parts(crashes: &Crashes, is_answered: impl Fn(Part) -> bool) -> IndexSet<Part> {
    let roles = crashes.values().flat_map(|crash| &crash.parts);
    let answered =
        roles.filter(|(part, role)| role.evidence > Evidence::Unanswered || is_answered(**part));
    answered.map(|(&part, _)| part).collect()
}

/// The candidates, sorted by part.
fn build_candidates(crashes: &Crashes, answered: &IndexSet<Part>) -> Vec<Candidate> {
    let mut observations: IndexMap<Part, Vec<Observation>> = IndexMap::new();
    for (&crash, Crash { expires, parts }) in crashes {
        let may_be_cause = |role: &Role| role.evidence < Evidence::AnsweredSince;
        let suspects = parts.keys().filter(|part| !answered.contains(*part)).count().max(1);
        for (&part, &role) in parts.iter().filter(|(_, role)| may_be_cause(role)) {
            let seen = Observation { crash, expires: *expires, role, suspects };
            observations.entry(part).or_default().push(seen);
        }
    }
    observations.sort_unstable_keys();
    let candidate = |(part, mut observations): (Part, Vec<Observation>)| {
        observations.sort_by_key(|seen| (seen.expires, seen.crash));
        let min_crashes = match answered.contains(&part) {
            true => MIN_CRASHES_IF_ANSWERED,
            false if observations.iter().any(|seen| is_lone(part, seen, crashes)) => 1,
            false => MIN_CRASHES,
        };
        Candidate { part, min_crashes, observations }
    };
    observations.into_iter().map(candidate).collect()
}

/// Whether all crashes of the moment name the part. A failed rack ends upstreams with different
/// requests.
fn is_lone(part: Part, seen: &Observation, crashes: &Crashes) -> bool {
    let is_near = |other: &&Crash| {
        let (earlier, later) = (other.expires.min(seen.expires), other.expires.max(seen.expires));
        later.saturating_sub(earlier) < MOMENT
    };
    crashes.values().filter(is_near).all(|crash| crash.parts.contains_key(&part))
}

/// The part with the most unexplained crashes, if they suffice.
fn strongest<'a>(
    candidates: &'a [Candidate],
    explained: &IndexSet<Incarnation>,
) -> Option<&'a Candidate> {
    let counted = candidates.iter().map(|candidate| (candidate.count(explained), candidate));
    let sufficient = counted.filter(|(count, candidate)| *count >= candidate.min_crashes);
    let by_strength = |a: &(usize, &Candidate), b: &(usize, &Candidate)| {
        let by_count = a.0.cmp(&b.0).then(b.1.min_crashes.cmp(&a.1.min_crashes));
        let by_weight = a.1.weight(explained).total_cmp(&b.1.weight(explained));
        by_count.then(by_weight).then(b.1.part.cmp(&a.1.part))
    };
    sufficient.max_by(by_strength).map(|(_, candidate)| candidate)
}
