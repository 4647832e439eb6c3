//! Which parts explain the known crashes.
//!
//! Popular parts are in flight at the same crashes as the part that causes them. So the part with the
//! most crashes is convicted first, and what it explains counts against no other. Parts that were
//! named by the same crashes are convicted together, which refuses only requests with all of them.

use indexmap::{IndexMap, IndexSet};

use super::{Conviction, Evidence, LIFETIME, Part};
use crate::direct::suspect::Incarnation;
use crate::unit;

/// Separate crashes that convict a part that was answered before.
const MIN_CRASHES_IF_ANSWERED: usize = 3;

/// The same for a part that was never answered.
const MIN_CRASHES: usize = 2;

/// Crashes from which parts that they do not tell apart are convicted one by one: refusing only
/// requests with all of them did not end the crashes.
const MIN_CRASHES_IF_TIED: usize = 3;

/// Crashes closer together than this may have one cause.
const MOMENT: unit::Millis = unit::Millis::new(250);

/// Duration of a conviction by one crash; it doubles with each further one.
const MIN_DURATION: unit::Millis = unit::Millis::new(30_000);

/// Longest conviction.
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

/// Case against one part.
#[derive(Clone, Debug)]
struct Case {
    part: Part,
    min_crashes: usize,
    observations: Vec<Observation>,
}

impl Case {
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
        let crashes = |case: &Self| -> IndexSet<Incarnation> {
            case.observations.iter().map(|seen| seen.crash).collect()
        };
        crashes(self) == crashes(other)
    }

    /// Convicts the part, with those in `cases` that the crashes do not tell apart from it.
    fn convict(&self, cases: &[Case]) -> Conviction {
        let crashes = self.count(&IndexSet::new());
        let is_tied = |case: &&Case| {
            crashes < MIN_CRASHES_IF_TIED
                && case.min_crashes == self.min_crashes
                && case.is_in_same_crashes(self)
        };
        let tied = cases.iter().filter(|case| case.part == self.part || is_tied(case));
        let last = self.observations.iter().map(|seen| seen.expires).max().unwrap_or_default();
        let repeats = (crashes - 1).min(usize::BITS as usize / 2);
        let duration = unit::Millis::new(MIN_DURATION.get() << repeats).min(MAX_DURATION);
        let until = (last + duration).saturating_sub(LIFETIME);
        Conviction { parts: tied.map(|case| case.part).collect(), crashes, until }
    }
}

/// Convicts the fewest parts that explain the crashes. `is_answered` tells which parts this entry saw
/// answered.
pub fn convict(crashes: &Crashes, is_answered: impl Fn(Part) -> bool) -> Vec<Conviction> {
    let answered = answered_parts(crashes, is_answered);
    let cases = build_cases(crashes, &answered);
    let mut convictions: Vec<Conviction> = Vec::new();
    let mut explained = IndexSet::new();
    while let Some(case) = strongest(&cases, &explained) {
        explained.extend(case.observations.iter().map(|seen| seen.crash));
        convictions.push(case.convict(&cases));
    }
    for case in cases.iter().filter(|case| case.min_crashes <= MIN_CRASHES) {
        // Two parts that crash upstreams may meet in one crash.
        let is_proven = case.count(&IndexSet::new()) >= MIN_CRASHES && case.count(&explained) > 0;
        if is_proven && !convictions.iter().any(|known| known.parts.contains(&case.part)) {
            convictions.push(case.convict(&cases));
        }
    }
    convictions
}

fn answered_parts(crashes: &Crashes, is_answered: impl Fn(Part) -> bool) -> IndexSet<Part> {
    let roles = crashes.values().flat_map(|crash| &crash.parts);
    let answered =
        roles.filter(|(part, role)| role.evidence > Evidence::Unanswered || is_answered(**part));
    answered.map(|(&part, _)| part).collect()
}

/// The cases, sorted by part.
fn build_cases(crashes: &Crashes, answered: &IndexSet<Part>) -> Vec<Case> {
    let mut observations: IndexMap<Part, Vec<Observation>> = IndexMap::new();
    for (&crash, Crash { expires, parts }) in crashes {
        let is_accused = |role: &Role| role.evidence < Evidence::AnsweredSince;
        let suspects = parts.keys().filter(|part| !answered.contains(*part)).count().max(1);
        for (&part, &role) in parts.iter().filter(|(_, role)| is_accused(role)) {
            let seen = Observation { crash, expires: *expires, role, suspects };
            observations.entry(part).or_default().push(seen);
        }
    }
    observations.sort_unstable_keys();
    let case = |(part, mut observations): (Part, Vec<Observation>)| {
        observations.sort_by_key(|seen| (seen.expires, seen.crash));
        let min_crashes = match answered.contains(&part) {
            true => MIN_CRASHES_IF_ANSWERED,
            false if observations.iter().any(|seen| is_lone(part, seen, crashes)) => 1,
            false => MIN_CRASHES,
        };
        Case { part, min_crashes, observations }
    };
    observations.into_iter().map(case).collect()
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

/// The case with the most unexplained crashes, if they prove it.
fn strongest<'a>(cases: &'a [Case], explained: &IndexSet<Incarnation>) -> Option<&'a Case> {
    let counted = cases.iter().map(|case| (case.count(explained), case));
    let proven = counted.filter(|(count, case)| *count >= case.min_crashes);
    let by_strength = |a: &(usize, &Case), b: &(usize, &Case)| {
        let by_count = a.0.cmp(&b.0).then(b.1.min_crashes.cmp(&a.1.min_crashes));
        let by_weight = a.1.weight(explained).total_cmp(&b.1.weight(explained));
        by_count.then(by_weight).then(b.1.part.cmp(&a.1.part))
    };
    proven.max_by(by_strength).map(|(_, case)| case)
}
