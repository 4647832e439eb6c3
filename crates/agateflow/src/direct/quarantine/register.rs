//! Known crashes and the parts of prompts that may have caused them.

use indexmap::IndexMap;

use super::answers::Answers;
use super::attribution::{self, Crash, Crashes, Role};
use super::{Evidence, Exclusion, Item, LIFETIME, Part};
use crate::direct::suspect::Incarnation;
use crate::unit;

/// Maximum number of crashes to remember.
const MAX_CRASHES: usize = 64;

/// Maximum number of parts of one crash. Parts that were never answered go first.
const MAX_PARTS: usize = 128;

/// How often a new item is sent. Each message may be lost.
const SENDS: u32 = 4;

/// Items sent again at a time, in rotation, for entries that started or were cut off.
const REPEATED_ITEMS: usize = 8;

/// Time between two such messages.
const REPEAT_INTERVAL: unit::Millis = unit::Millis::new(500);

/// What an entry knows of crashes, its own and those of other entries.
#[derive(Clone, Debug, Default)]
pub struct Register {
    crashes: Crashes,
    answers: Answers,
    exclusions: Vec<Exclusion>,
    /// Items to send, and how often.
    news: IndexMap<(Incarnation, Part), u32>,
    next_repeated: usize,
    next_repeat_at: unit::Millis,
}

impl Register {
    /// Creates an empty register.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `crash` ended an upstream before it began to answer a request with `parts`, which
    /// it got `run_time` ago. Returns new exclusions.
    pub fn record_crash(
        &mut self,
        crash: Incarnation,
        parts: &[Part],
        run_time: unit::Millis,
        now: unit::Millis,
    ) -> Vec<Exclusion> {
        let mut sorted: Vec<(Evidence, Part)> =
            parts.iter().map(|&part| (self.own_evidence(part, now, now), part)).collect();
        sorted.sort_unstable();
        let expires = now + LIFETIME;
        for (evidence, part) in sorted {
            let after = self.last_crash(part, expires.saturating_sub(run_time));
            if self.insert(crash, part, Role { evidence, run_time, after }, expires, now) {
                self.news.insert((crash, part), SENDS);
            }
        }
        self.update_exclusions(now)
    }

    /// Records that a request with `parts` was answered. Returns new exclusions: what a cleared part
    /// seemed to explain may point to another one.
    pub fn record_answer(&mut self, parts: &[Part], now: unit::Millis) -> Vec<Exclusion> {
        let mut cleared = false;
        for &part in parts {
            self.answers.record(part, now);
            for (&incarnation, crash) in &mut self.crashes {
                let Some(role) = crash.parts.get_mut(&part) else { continue };
                if role.evidence < Evidence::AnsweredSince {
                    role.evidence = Evidence::AnsweredSince;
                    self.news.insert((incarnation, part), SENDS);
                    cleared = true;
                }
            }
        }
        if cleared { self.update_exclusions(now) } else { Vec::new() }
    }

    /// Merges items of another entry. Returns new exclusions.
    pub fn merge(&mut self, items: &[Item], now: unit::Millis) -> Vec<Exclusion> {
        let mut changed = false;
        for item in items {
            let expires = now + item.ttl.min(LIFETIME);
            let own = self.own_evidence(item.part, expires.saturating_sub(LIFETIME), now);
            let evidence = own.max(item.evidence);
            let role = Role { evidence, run_time: item.run_time, after: item.after };
            changed |= self.insert(item.crash, item.part, role, expires, now);
            if own > item.evidence {
                self.news.entry((item.crash, item.part)).or_insert(SENDS);
            }
        }
        if changed { self.update_exclusions(now) } else { Vec::new() }
    }

    /// The last crash with `part` that expires by `before`.
    fn last_crash(&self, part: Part, before: unit::Millis) -> Option<Incarnation> {
        let with_part = self.crashes.iter().filter(|(_, crash)| crash.parts.contains_key(&part));
        let earlier = with_part.filter(|(_, crash)| crash.expires <= before);
        earlier.max_by_key(|(_, crash)| crash.expires).map(|(&incarnation, _)| incarnation)
    }

    /// What this entry's own answers say of a part in a crash at `crashed_at`.
    fn own_evidence(&self, part: Part, crashed_at: unit::Millis, now: unit::Millis) -> Evidence {
        match self.answers.last(part, now) {
            Some(at) if at > crashed_at => Evidence::AnsweredSince,
            Some(_) => Evidence::AnsweredBefore,
            None => Evidence::Unanswered,
        }
    }

    /// Returns whether it says more than was known.
    fn insert(
        &mut self,
        crash: Incarnation,
        part: Part,
        role: Role,
        expires: unit::Millis,
        now: unit::Millis,
    ) -> bool {
        if expires <= now {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&crash) {
            self.crashes.shift_remove_index(0);
        }
        let known =
            self.crashes.entry(crash).or_insert_with(|| Crash { expires, parts: IndexMap::new() });
        if known.parts.len() >= MAX_PARTS && !known.parts.contains_key(&part) {
            return false;
        }
        let Some(before) = known.parts.get_mut(&part) else {
            known.parts.insert(part, role);
            return true;
        };
        let is_later = role.run_time < before.run_time;
        let changed = is_later || role.evidence > before.evidence;
        before.evidence = before.evidence.max(role.evidence);
        if is_later {
            before.run_time = role.run_time;
            before.after = role.after;
        }
        changed
    }

    /// Drops expired crashes, quarantines anew and returns the parts that were not quarantined before.
    fn update_exclusions(&mut self, now: unit::Millis) -> Vec<Exclusion> {
        self.crashes.retain(|_, crash| now < crash.expires);
        let crashes = &self.crashes;
        self.news.retain(|(crash, _), _| crashes.contains_key(crash));
        let is_answered = |part| self.answers.last(part, now).is_some();
        let exclusions = attribution::attribute(&self.crashes, is_answered);
        let is_new = |exclusion: &&Exclusion| {
            let mut before = self.exclusions.iter();
            now < exclusion.until
                && !before.any(|known| known.parts == exclusion.parts && now < known.until)
        };
        let new = exclusions.iter().filter(is_new).cloned().collect();
        self.exclusions = exclusions;
        new
    }

    /// The exclusion because of which a request with `parts` is refused.
    pub fn exclusion(&self, parts: &[Part], now: unit::Millis) -> Option<&Exclusion> {
        let current = self.exclusions.iter().filter(|exclusion| now < exclusion.until);
        current.filter(|exclusion| exclusion.applies_to(parts)).max_by_key(|c| c.until)
    }

    /// Whether there is evidence that other entries have not been sent.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Sends all items once more, for an entry that has just started.
    pub fn repeat_all(&mut self) {
        for (&crash, known) in &self.crashes {
            for &part in known.parts.keys() {
                self.news.entry((crash, part)).or_insert(1);
            }
        }
    }

    /// At most `max` items for the next message: new ones, then some of the others in rotation.
    pub fn take_items(&mut self, max: usize, now: unit::Millis) -> Vec<Item> {
        let keys: Vec<(Incarnation, Part)> = self.news.keys().take(max).copied().collect();
        for key in &keys {
            if let Some(left) = self.news.get_mut(key) {
                *left -= 1;
            }
        }
        self.news.retain(|_, left| *left > 0);
        let mut items: Vec<Item> =
            keys.iter().filter_map(|&(crash, part)| self.item(crash, part, now)).collect();
        if now >= self.next_repeat_at {
            self.next_repeat_at = now + REPEAT_INTERVAL;
            items.extend(self.repeated_items(REPEATED_ITEMS.min(max - items.len()), now));
        }
        items
    }

    fn item(&self, incarnation: Incarnation, part: Part, now: unit::Millis) -> Option<Item> {
        let crash = self.crashes.get(&incarnation)?;
        let &Role { evidence, run_time, after } = crash.parts.get(&part)?;
        let ttl = crash.expires.saturating_sub(now);
        Some(Item { part, crash: incarnation, evidence, run_time, after, ttl })
    }

    fn repeated_items(&mut self, count: usize, now: unit::Millis) -> Vec<Item> {
        let all = || {
            let crashes = self.crashes.iter();
            crashes.flat_map(|(&crash, known)| known.parts.keys().map(move |&part| (crash, part)))
        };
        let total = all().count();
        let first = self.next_repeated.checked_rem(total).unwrap_or(0);
        let keys = all().cycle().skip(first).take(count.min(total));
        let items = keys.filter_map(|(crash, part)| self.item(crash, part, now)).collect();
        self.next_repeated = first + count;
        items
    }
}
