//! Exclusion of prompt parts that crash upstreams, and protection of the parts that do not.

#![allow(clippy::unwrap_used)]

use agateflow::direct::progress::Progress;
use agateflow::direct::quarantine::{Evidence, Exclusion, Item, LIFETIME, Part, Register};
use agateflow::direct::suspect::Incarnation;
use agateflow::unit::Millis;
use proptest::prelude::*;
use rstest::rstest;

fn ms(number: u64) -> Millis {
    Millis::new(number)
}

fn part(name: &str) -> Part {
    Part::new("service", name.as_bytes())
}

fn parts(names: &str) -> Vec<Part> {
    names.split_whitespace().map(part).collect()
}

fn crash(number: u64) -> Incarnation {
    Incarnation::new("vm", number)
}

/// Time from the sending of a request to the crash.
const RUN_TIME: Millis = Millis::new(60);

/// Plays lines `TIME crash NUMBER PARTS` and `TIME answer PARTS`.
fn play(register: &mut Register, script: &str) -> Vec<Exclusion> {
    let mut exclusions = Vec::new();
    for line in script.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let now = ms(words[0].parse().unwrap());
        exclusions.extend(match words[1] {
            "crash" => {
                let incarnation = crash(words[2].parse().unwrap());
                register.record_crash(incarnation, &parts(&words[3..].join(" ")), RUN_TIME, now)
            }
            "answer" => register.record_answer(&parts(&words[2..].join(" ")), now),
            other => panic!("{other}"),
        });
    }
    exclusions
}

fn is_refused(register: &Register, names: &str, now: u64) -> bool {
    register.exclusion(&parts(names), ms(now)).is_some()
}

#[rstest]
#[case::once("1000 crash 1 rare deadly", false)]
#[case::twice("1000 crash 1 rare deadly\n 5000 crash 2 other deadly", true)]
#[case::one_upstream_twice("1000 crash 1 rare deadly\n 5000 crash 1 deadly", false)]
#[case::many_upstreams_at_once(
    "1000 crash 1 rare deadly\n 1010 crash 2 other deadly\n 1050 crash 3 new odd",
    false
)]
#[case::sent_again_at_once("1000 crash 1 rare deadly\n 1061 crash 2 deadly other", true)]
#[case::answered_in_between(
    "1000 crash 1 rare odd deadly\n 2000 answer deadly\n 5000 crash 2 other new deadly",
    false
)]
#[case::answered_before_twice(
    "100 answer deadly\n 1000 crash 1 rare odd deadly\n 5000 crash 2 other new deadly",
    false
)]
#[case::answered_before_thrice(
    "100 answer deadly\n 1000 crash 1 rare odd deadly\n 5000 crash 2 other new deadly
    9000 crash 3 deadly",
    true
)]
fn part_is_quarantined_by_separate_unanswered_crashes(
    #[case] script: &str,
    #[case] expected: bool,
) {
    let mut register = Register::new();

    play(&mut register, script);

    assert_eq!(is_refused(&register, "unseen deadly", 9_500), expected);
    assert!(!is_refused(&register, "rare other", 9_500));
}

#[rstest]
#[case::alone("500 answer common\n 1000 crash 1 common deadly", true)]
#[case::at_two_upstreams("1000 crash 1 deadly\n 1001 crash 2 deadly", true)]
#[case::beside_another("1000 crash 1 deadly\n 1001 crash 1 rare", false)]
#[case::in_a_failed_rack("1000 crash 1 deadly\n 1200 crash 2 other new", false)]
#[case::answered_before("500 answer deadly\n 1000 crash 1 deadly", false)]
fn only_part_that_was_never_answered_is_quarantined_by_one_crash(
    #[case] script: &str,
    #[case] expected: bool,
) {
    let mut register = Register::new();

    play(&mut register, script);

    assert_eq!(is_refused(&register, "deadly", 1_300), expected);
    assert!(!is_refused(&register, "common rare other new", 1_300));
    assert!(!is_refused(&register, "deadly", 31_100));
}

#[test]
fn popular_part_that_was_at_one_crash_of_each_of_two_deadly_parts_is_not_quarantined() {
    let mut register = Register::new();

    play(
        &mut register,
        "1000 crash 1 rare first
        1030 crash 2 other second popular
        5000 crash 3 popular first
        5010 crash 4 second new odd",
    );

    assert!(is_refused(&register, "first", 5_100));
    assert!(is_refused(&register, "second", 5_100));
    assert!(!is_refused(&register, "popular rare other new odd", 5_100));
}

#[test]
fn two_deadly_parts_that_meet_in_one_crash_are_both_quarantined() {
    let mut register = Register::new();

    play(
        &mut register,
        "1000 crash 1 rare first
        5000 crash 2 first second new
        9000 crash 3 second other",
    );

    assert!(is_refused(&register, "first", 9_500));
    assert!(is_refused(&register, "second", 9_500));
    assert!(!is_refused(&register, "rare new other", 9_500));
}

#[test]
fn popular_parts_in_flight_at_the_same_crashes_are_not_quarantined() {
    let mut register = Register::new();

    let exclusions = play(
        &mut register,
        "500 answer team popular
        1000 crash 1 team deadly
        1001 crash 1 popular rare
        5000 crash 2 team deadly
        5001 crash 2 team popular
        9000 crash 3 team deadly popular
        9001 crash 3 team rare",
    );

    assert!(exclusions.iter().all(|known| known.parts.contains(&part("deadly"))));
    assert!(is_refused(&register, "deadly", 9_500));
    assert!(!is_refused(&register, "team popular rare", 9_500));
}

#[test]
fn parts_that_crashes_do_not_tell_apart_are_refused_together() {
    let mut register = Register::new();

    play(&mut register, "1000 crash 1 deadly common\n 5000 crash 2 common deadly");

    assert!(is_refused(&register, "common deadly", 5_100));
    assert!(!is_refused(&register, "common", 5_100));
    assert!(!is_refused(&register, "deadly", 5_100));
    play(&mut register, "6000 answer common");
    assert!(is_refused(&register, "deadly", 6_100));
    assert!(!is_refused(&register, "common", 6_100));
}

#[test]
fn parts_that_three_crashes_do_not_tell_apart_are_refused_one_by_one() {
    let mut register = Register::new();
    let script =
        "1000 crash 1 deadly common\n 5000 crash 2 common deadly\n 9000 crash 3 common deadly";

    play(&mut register, script);

    assert!(is_refused(&register, "common", 9_100) != is_refused(&register, "deadly", 9_100));
    play(&mut register, "13000 crash 4 deadly");
    assert!(is_refused(&register, "deadly", 13_100));
    assert!(!is_refused(&register, "common", 13_100));
}

#[test]
fn wrong_exclusion_ends_when_another_part_explains_more_crashes() {
    let mut register = Register::new();
    play(&mut register, "1000 crash 1 rare deadly\n 5000 crash 2 deadly rare");
    assert!(is_refused(&register, "rare deadly", 5_100));

    play(&mut register, "9000 crash 3 deadly");

    assert!(is_refused(&register, "deadly", 9_100));
    assert!(!is_refused(&register, "rare", 9_100));
}

#[test]
fn two_deadly_parts_at_once_are_both_quarantined() {
    let mut register = Register::new();

    play(
        &mut register,
        "1000 crash 1 team first
        1100 crash 2 team second
        5000 crash 3 team first
        5050 crash 4 team second
        6000 answer team",
    );

    assert!(is_refused(&register, "first", 6_000));
    assert!(is_refused(&register, "second", 6_000));
    assert!(!is_refused(&register, "team", 6_000));
}

#[test]
fn part_that_crashes_again_after_its_exclusion_is_refused_at_once_and_for_longer() {
    let mut register = Register::new();
    play(&mut register, "1000 crash 1 deadly\n 5000 crash 2 deadly");
    assert!(is_refused(&register, "deadly", 64_900));
    assert!(!is_refused(&register, "deadly", 65_000), "admitted again to see");

    let again = play(&mut register, "66000 crash 3 deadly");

    assert_eq!(again.len(), 1);
    assert!(is_refused(&register, "deadly", 185_900));
    assert!(!is_refused(&register, "deadly", 186_000));
}

#[test]
fn part_that_was_answered_after_its_exclusion_is_free() {
    let mut register = Register::new();
    play(&mut register, "1000 crash 1 part\n 5000 crash 2 part");

    play(&mut register, "66000 answer part\n 70000 crash 3 part\n 74000 crash 4 part");

    assert!(!is_refused(&register, "part", 74_100));
}

#[test]
fn popular_part_is_not_quarantined_by_the_crashes_of_a_long_time() {
    let mut register = Register::new();

    for number in 1..60 {
        let script = format!(
            "{0}000 crash {number} popular rare{number}
            {0}500 answer popular",
            number * 5
        );
        play(&mut register, &script);
    }

    assert!(!is_refused(&register, "popular", 298_000));
}

fn exchange(from: &mut Register, to: &mut Register, now: u64) {
    let items = from.take_items(64, ms(now));
    to.merge(&items, ms(now));
}

#[test]
fn crashes_seen_by_different_entries_add_up() {
    let (mut first, mut second) = (Register::new(), Register::new());
    play(&mut first, "1000 crash 1 team deadly");
    play(&mut second, "5000 crash 2 team deadly\n 5100 answer team");

    exchange(&mut first, &mut second, 5_200);
    exchange(&mut second, &mut first, 5_200);

    for register in [&first, &second] {
        assert!(is_refused(register, "deadly", 5_300));
        assert!(!is_refused(register, "team", 5_300));
    }
}

#[test]
fn request_sent_again_at_once_is_quarantined_at_entries_whose_clocks_differ() {
    let (mut sender, mut other) = (Register::new(), Register::new());
    play(&mut sender, "1000 crash 1 deadly");
    let first = sender.take_items(64, ms(1_000));
    play(&mut sender, "1060 crash 2 deadly");
    let second = sender.take_items(64, ms(1_060));

    other.merge(&first, ms(8_020));
    other.merge(&second, ms(8_061));

    assert!(is_refused(&sender, "deadly", 1_061));
    assert!(is_refused(&other, "deadly", 8_062));
}

#[test]
fn entry_that_saw_answers_protects_a_part_at_one_that_has_just_started() {
    let (mut experienced, mut new) = (Register::new(), Register::new());
    play(&mut experienced, "500 answer popular");
    play(&mut new, "1000 crash 1 popular");
    exchange(&mut new, &mut experienced, 1_050);
    exchange(&mut experienced, &mut new, 1_100);

    play(&mut new, "5000 crash 2 popular");

    assert!(!is_refused(&new, "popular", 5_001));
}

#[test]
fn entry_that_starts_later_learns_exclusions_from_repeated_items() {
    let mut old = Register::new();
    play(&mut old, "1000 crash 1 team deadly\n 5000 crash 2 team deadly\n 5100 answer team");
    for now in 0..20 {
        old.take_items(64, ms(5_200 + now));
    }
    assert!(!old.has_news());
    let mut started = Register::new();

    // Its clock starts anew.
    let items = old.take_items(64, ms(20_000));
    started.merge(&items, ms(100));

    assert!(is_refused(&started, "deadly", 200));
    assert!(!is_refused(&started, "team", 200));
    assert!(!is_refused(&started, "deadly", 45_200), "ends as at the others");
}

#[test]
fn entry_that_has_just_started_gets_all_evidence_at_once() {
    let mut old = Register::new();
    play(&mut old, "500 answer common");
    for number in 0..20 {
        let script = format!(
            "{0}000 crash {number} deadly{number} common
            {0}500 answer common",
            1 + number * 5
        );
        play(&mut old, &script);
    }
    for now in 0..20 {
        old.take_items(64, ms(100_000 + now));
    }
    let mut started = Register::new();

    old.repeat_all();
    started.merge(&old.take_items(64, ms(100_100)), ms(20));

    assert!(is_refused(&started, "deadly19", 30));
    assert_eq!(old.take_items(64, ms(100_120)).len(), 0);
}

#[test]
fn evidence_expires_and_does_not_come_back() {
    let mut register = Register::new();
    play(&mut register, "1000 crash 1 deadly");
    let late = LIFETIME.get() + 2_000;
    let stale = Item {
        part: part("deadly"),
        crash: crash(1),
        evidence: Evidence::Unanswered,
        run_time: RUN_TIME,
        after: None,
        ttl: ms(0),
    };

    register.merge(&[stale], ms(late));
    play(&mut register, &format!("{late} crash 2 rare deadly"));

    assert!(!is_refused(&register, "deadly", late + 1));
    assert!(register.take_items(64, ms(late + 1)).iter().all(|item| item.crash == crash(2)));
}

#[test]
fn register_is_bounded() {
    let mut register = Register::new();
    let many: Vec<Part> = (0..1_000).map(|n| part(&n.to_string())).collect();

    for number in 0..200 {
        register.record_crash(crash(number), &many, RUN_TIME, ms(1_000 + number));
    }

    let mut known = std::collections::HashSet::new();
    for now in 0..10_000 {
        known.extend(register.take_items(64, ms(2_000 + now)).iter().map(|i| (i.part, i.crash)));
    }
    assert!(known.len() <= 64 * 128, "{}", known.len());
    assert!(register.take_items(64, ms(40_000)).len() <= 64);
}

proptest! {
    #[test]
    fn verdict_does_not_depend_on_the_order_of_items(
        observations in prop::collection::vec((0_u64..6, 0_usize..5, 0_u8..3), 1..40),
        seed in any::<u64>(),
    ) {
        let names = ["a", "b", "c", "d", "e"];
        let item = |&(number, name, evidence): &(u64, usize, u8)| Item {
            part: part(names[name]),
            crash: crash(number),
            evidence: match evidence {
                0 => Evidence::Unanswered,
                1 => Evidence::AnsweredBefore,
                _ => Evidence::AnsweredSince,
            },
            run_time: ms(number * 7 % 5 * 300),
            after: (number % 2 == 1).then(|| crash(number - 1)),
            ttl: LIFETIME.saturating_sub(ms(10_000 - number * 900)),
        };
        let mut items: Vec<Item> = observations.iter().map(item).collect();
        let mut ordered = Register::new();
        ordered.merge(&items, ms(700_000));
        items.sort_by_key(|item| {
            xxhash_rust::xxh3::xxh3_64_with_seed(format!("{item:?}").as_bytes(), seed)
        });

        let mut shuffled = Register::new();
        for chunk in items.chunks(3) {
            shuffled.merge(chunk, ms(700_000));
        }

        for name in names {
            let at = ms(700_000);
            prop_assert_eq!(
                ordered.exclusion(&[part(name)], at),
                shuffled.exclusion(&[part(name)], at)
            );
            prop_assert_eq!(
                ordered.exclusion(&parts("a b c d e"), at),
                shuffled.exclusion(&parts("a b c d e"), at)
            );
        }
    }
}

#[rstest]
#[case::nothing(&[], 1_000, false)]
#[case::one_part_just_now(&[1_000], 1_100, false)]
#[case::one_part_long_ago(&[1_000], 1_300, true)]
#[case::two_parts(&[1_000, 1_050], 1_060, true)]
fn upstream_that_lives_on_after_the_first_part_has_answered(
    #[case] arrivals: &[u64],
    #[case] now: u64,
    #[case] expected: bool,
) {
    let mut progress = Progress::new();

    for &at in arrivals {
        progress.record_part(ms(at));
    }

    assert_eq!(progress.is_answered(ms(now)), expected);
}
