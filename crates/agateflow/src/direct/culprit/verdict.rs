//! Which parts explain the known crashes.
//!
//! The part with the most unexplained crashes is convicted first, and crashes that it explains no
//! longer count against others: popular parts are in flight at the same crashes as the one that
//! causes them.

use indexmap::{IndexMap, IndexSet};

use super::{Conviction, Evidence, LIFETIME, Part};
use crate::direct::suspect::Incarnation;
use crate::unit;

/// Separate crashes that convict a part.
const MIN_CRASHES: usize = 2;

/// The same for a part that was answered before.
const MIN_CRASHES_IF_ANSWERED: usize = 3;

/// Duration of a first conviction; it doubles with each further crash.
const MIN_DURATION: unit::Millis = unit::Millis::new(60_000);

/// Longest conviction.
const MAX_DURATION: unit::Millis = LIFETIME;

/// A crash, as far as it concerns one part.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// The upstream that crashed.
    pub crash: Incarnation,
    /// When the crash is forgotten.
    pub expires: unit::Millis,
    /// What is known of the part.
    pub evidence: Evidence,
    /// Time from the sending of the last request with the part to the crash.
    pub run_time: unit::Millis,
    /// An earlier crash, after which that request was sent.
    pub after: Option<Incarnation>,
}

/// Observations of each part, by time.
pub type Observations = IndexMap<Part, Vec<Observation>>;

/// Case against one part.
#[derive(Clone, Copy, Debug)]
struct Case {
    part: Part,
    crashes: usize,
    min_crashes: usize,
    last_expires: unit::Millis,
}

impl Case {
    fn new(part: Part, observations: &[Observation], explained: &IndexSet<Incarnation>) -> Self {
        let mut case =
            Self { part, crashes: 0, min_crashes: MIN_CRASHES, last_expires: unit::Millis::ZERO };
        if observations.iter().any(|seen| seen.evidence > Evidence::Unanswered) {
            case.min_crashes = MIN_CRASHES_IF_ANSWERED;
        }
        // A failed rack or a cut ends many upstreams at once: only a request sent after the crash
        // before it makes a crash count of its own. Clocks of entries differ by the time that
        // messages take, so `after` tells what its own entry knew.
        let mut counted_with: Vec<Incarnation> = Vec::new();
        let counts = |seen: &&Observation| {
            seen.evidence < Evidence::AnsweredSince && !explained.contains(&seen.crash)
        };
        for seen in observations.iter().filter(counts) {
            let sent = seen.expires.saturating_sub(seen.run_time);
            let is_separate = case.crashes == 0
                || sent >= case.last_expires
                || seen.after.is_some_and(|after| counted_with.contains(&after));
            if is_separate {
                case.crashes += 1;
                case.last_expires = seen.expires;
                counted_with.clear();
            }
            counted_with.push(seen.crash);
        }
        case
    }

    const fn is_proven(&self) -> bool {
        self.crashes >= self.min_crashes
    }

    fn conviction(&self) -> Conviction {
        let repeats = (self.crashes - self.min_crashes).min(u32::BITS as usize - 1);
        let duration = unit::Millis::new(MIN_DURATION.get() << repeats).min(MAX_DURATION);
        let until = (self.last_expires + duration).saturating_sub(LIFETIME);
        Conviction { part: self.part, crashes: self.crashes, until }
    }
}

/// Convicts the fewest parts that explain the crashes. The same observations give the same verdict at
/// each entry.
pub fn convict(observations: &Observations) -> IndexMap<Part, Conviction> {
    let mut convictions = IndexMap::new();
    let mut explained = IndexSet::new();
    loop {
        let cases = observations.iter().map(|(&part, seen)| Case::new(part, seen, &explained));
        let proven = cases.filter(Case::is_proven);
        let strongest = proven
            .max_by_key(|case| (case.crashes, std::cmp::Reverse((case.min_crashes, case.part))));
        let Some(case) = strongest else { return convictions };
        explained.extend(observations[&case.part].iter().map(|observation| observation.crash));
        convictions.insert(case.part, case.conviction());
    }
}
