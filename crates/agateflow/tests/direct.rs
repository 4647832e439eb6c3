//! Tests the decisions of an entry that sends requests directly to upstreams.

#![allow(clippy::unwrap_used)]

mod directfixture;

use std::net::SocketAddr;

use agateflow::direct::attempt::{Action, Outcome, Tracker};
use agateflow::direct::budget::{self, Budget};
use agateflow::direct::config::{Kind, Route, Table};
use agateflow::direct::directory::{Change, Directory, Incarnation, Revision, State, Upstream};
use agateflow::direct::events::{Error, Splitter};
use agateflow::direct::load::{Choice, Health, Load};
use agateflow::direct::peer::{self, Heartbeat};
use agateflow::direct::suspect::{self, Crash, Fingerprint, Register};
use agateflow::id;
use agateflow::unit::Bytes;
use directfixture::{candidates, config, context, engine, ms, rev, route, service, upstream, vm};
use indexmap::IndexMap;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

#[rstest]
#[case("host.example", "/a/b/c", Some("/a/b/"))]
#[case("HOST.example", "/a/x", Some("/a/"))]
#[case("host.example", "/ab", None)]
#[case("other.example", "/a/b/c", None)]
fn longest_matching_prefix_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = Table::new(config(vec![route("/a/", &[]), route("/a/b/", &[])]));

    let found = table.route(host, path).map(|route| &*route.prefix);

    assert_eq!(found, expected);
}

#[test]
fn services_are_picked_by_weight() {
    let route = route("/a/", &[("x", 90.0), ("y", 10.0), ("z", 0.0)]);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut drawn: IndexMap<id::Service, u32> = IndexMap::new();

    for _ in 0..10_000 {
        *drawn.entry(route.pick_service(&mut rng).unwrap().clone()).or_default() += 1;
    }

    assert!((8_800..9_200).contains(&drawn[&service("x")]), "{drawn:?}");
    assert_eq!(drawn.get(&service("z")), None);
}

#[test]
fn key_identifies_its_team() {
    let table = Table::new(config(vec![]));

    assert_eq!(table.team("old").map(|team| team.name.as_str()), Some("t"));
    assert!(table.team("unknown").is_none());
}

#[test]
fn removal_applies_at_once_while_the_registry_is_up() {
    let mut directory = Directory::new();
    directory.apply(Change::Listed(upstream("u")), rev(1), ms(0));

    directory.apply(Change::Removed(vm("u")), rev(2), ms(10));

    assert!(directory.get(&vm("u")).is_none());
}

#[test]
fn removals_during_a_registry_outage_apply_after_the_recovery_time() {
    let mut directory = Directory::new();
    directory.apply(Change::Listed(upstream("alive")), rev(1), ms(0));
    directory.apply(Change::Listed(upstream("dead")), rev(1), ms(0));
    directory.registry_lost();
    directory.registry_reachable(ms(5_000));
    directory.replace(Vec::new(), rev(9), ms(5_000));
    assert!(directory.get(&vm("alive")).is_some());
    directory.apply(Change::Listed(upstream("alive")), rev(10), ms(6_000));

    let early = directory.remove_pending(ms(6_900));
    let gone = directory.remove_pending(ms(7_000));

    assert_eq!(early, []);
    assert_eq!(gone, [vm("dead")]);
    assert!(directory.get(&vm("alive")).is_some());
}

/// A directory of three upstreams that has just heard from the registry.
fn directory_of_three() -> Directory {
    let mut directory = Directory::new().with_renewal_interval(ms(1_200));
    directory.registry_reachable(ms(0));
    for name in ["a", "b", "c"] {
        directory.apply(Change::Listed(upstream(name)), rev(1), ms(0));
    }
    directory
}

fn removed(names: &[&str]) -> Vec<Change> {
    names.iter().map(|name| Change::Removed(vm(name))).collect()
}

#[rstest]
#[case::one_after_a_short_loss(2_300, &["c"])]
#[case::all_after_a_short_loss(2_300, &["a", "b", "c"])]
#[case::one_after_a_long_loss(9_000, &["c"])]
fn lost_contact_does_not_delay_the_removal_of_upstreams_that_leave(
    #[case] silence_ms: u64,
    #[case] leaving: &[&str],
) {
    let mut directory = directory_of_three();
    directory.registry_lost();
    directory.registry_reachable(ms(silence_ms));

    directory.apply_all(removed(leaving), rev(2), ms(silence_ms));

    let in_use = leaving.iter().filter(|name| directory.get(&vm(name)).is_some());
    assert_eq!(in_use.count(), 0);
}

#[rstest]
#[case::in_one_batch(&[&["a", "b"][..]])]
#[case::one_after_the_other(&[&["a"][..], &["b"][..]])]
fn removals_of_most_upstreams_after_a_long_loss_of_contact_are_deferred(
    #[case] batches: &[&[&str]],
) {
    let mut directory = directory_of_three();
    directory.registry_lost();
    directory.registry_reachable(ms(9_000));

    for batch in batches {
        directory.apply_all(removed(batch), rev(2), ms(9_000));
    }

    let service = service("s");
    assert!(directory.ready(&service).count() >= 2);
}

#[test]
fn repeated_losses_of_contact_do_not_delay_a_removal_again_and_again() {
    let mut directory = directory_of_three();
    directory.registry_lost();
    directory.registry_reachable(ms(9_000));
    directory.apply_all(removed(&["a", "b", "c"]), rev(2), ms(9_000));

    for turn in 1..6 {
        directory.registry_lost();
        directory.registry_reachable(ms(9_000 + turn * 400));
    }

    assert_eq!(directory.remove_pending(ms(11_000)).len(), 3);
}

#[test]
fn removal_that_another_entry_reports_applies_while_the_registry_is_unreachable() {
    let mut directory = directory_of_three();
    directory.registry_lost();

    directory.replace(vec![upstream("a"), upstream("b")], rev(2), ms(5_000));

    assert!(directory.get(&vm("c")).is_none());
}

#[test]
fn upstream_removed_after_lost_contact_is_listed_again_by_a_full_read() {
    let mut directory = directory_of_three();
    directory.registry_lost();
    directory.registry_reachable(ms(9_000));
    directory.apply_all(removed(&["c"]), rev(2), ms(9_000));

    let listed = ["a", "b", "c"].map(upstream).to_vec();
    directory.replace(listed, rev(3), ms(9_500));

    assert!(directory.get(&vm("c")).is_some());
}

#[test]
fn registry_restored_from_a_backup_revives_nothing_and_removes_nothing_alive() {
    let draining = || Upstream { state: State::Draining, ..upstream("leaves") };
    let mut directory = Directory::new();
    for listed in [upstream("leaves"), upstream("gone"), upstream("late")] {
        directory.apply(Change::Listed(listed), rev(1), ms(0));
    }
    directory.apply(Change::Listed(draining()), rev(2), ms(10));
    directory.apply(Change::Removed(vm("gone")), rev(3), ms(20));

    directory.registry_restored(ms(5_000));
    let backup = vec![upstream("leaves"), upstream("gone")];
    directory.replace(backup, Revision::new(1, 1), ms(5_000));

    assert!(directory.get(&vm("leaves")).is_none(), "draining is final for an incarnation");
    assert!(directory.get(&vm("gone")).is_none(), "only the backup lists it");
    assert!(directory.get(&vm("late")).is_some(), "it may re-register");
    assert_eq!(directory.revision(), Revision::new(1, 1));
    directory.apply(Change::Listed(upstream("gone")), Revision::new(1, 2), ms(5_500));
    assert!(directory.get(&vm("gone")).is_some(), "it re-registered");
    assert_eq!(directory.remove_pending(ms(7_000)), [vm("late")]);
}

#[test]
fn stale_draining_report_does_not_affect_the_next_incarnation() {
    let mut directory = Directory::new();
    let next = Upstream { started_at: 2, ..upstream("u") };
    directory.apply(Change::Listed(next), rev(1), ms(0));

    directory.mark_draining(&[Incarnation { vm: vm("u"), started_at: 1 }]);

    assert!(directory.get(&vm("u")).is_some());
}

#[test]
fn upstream_that_said_it_drains_stays_so_when_the_registry_lists_it_again() {
    let mut directory = Directory::new();
    directory.apply(Change::Listed(upstream("u")), rev(1), ms(0));
    let changed = directory.mark_draining(&[upstream("u").incarnation()]);
    directory.apply(Change::Removed(vm("u")), rev(2), ms(10));

    directory.apply(Change::Listed(upstream("u")), rev(3), ms(20));

    assert!(changed);
    assert!(directory.get(&vm("u")).is_none());
    let next = Upstream { started_at: 2, ..upstream("u") };
    directory.apply(Change::Listed(next), rev(4), ms(30));
    assert!(directory.get(&vm("u")).is_some());
}

#[test]
fn draining_upstream_is_not_chosen() {
    let mut directory = Directory::new();
    directory.apply(Change::Listed(upstream("u")), rev(1), ms(0));

    directory.mark_draining(&[Incarnation { vm: vm("u"), started_at: 1 }]);

    assert!(directory.get(&vm("u")).is_none());
    assert_eq!(directory.ready(&service("s")).count(), 0);
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop::sample::select(vec![
        Outcome::Unsent,
        Outcome::Misdirected,
        Outcome::NotRun,
        Outcome::Failed,
        Outcome::Unproven,
        Outcome::Broken,
        Outcome::Silent,
    ])
}

fn kind() -> impl Strategy<Value = Kind> {
    prop::sample::select(vec![Kind::Idempotent, Kind::Once, Kind::ResumableStream, Kind::Stream])
}

proptest! {
    #[test]
    fn refused_requests_never_ran_and_attempts_are_bounded(
        kind in kind(),
        limit in 1_u32..4,
        outcomes in prop::collection::vec((outcome(), any::<bool>(), any::<bool>()), 1..20),
    ) {
        let mut tracker = Tracker::new(kind, limit);
        let mut ran = 0;
        let mut sent = 0;
        for (outcome, has_budget, has_time) in outcomes {
            let action = tracker.record_outcome(outcome, has_budget, has_time);

            ran += u32::from(matches!(
                outcome,
                Outcome::Failed | Outcome::Unproven | Outcome::Broken | Outcome::Silent
            ));
            sent += u32::from(!matches!(outcome, Outcome::Unsent | Outcome::Misdirected));
            prop_assert!(action != Action::Refuse || ran == 0, "refused after it may have run");
            prop_assert!(action != Action::Pass || outcome == Outcome::Failed);
            prop_assert!(sent <= limit, "sent to {sent} upstreams of {limit}");
            if action != Action::Again {
                break;
            }
            prop_assert!(sent < limit);
            prop_assert!(kind.may_repeat() || ran == 0, "{kind:?} was retried");
            prop_assert!(has_time);
            prop_assert!(has_budget || outcome == Outcome::Unsent);
        }
    }

    #[test]
    fn streams_are_split_at_event_boundaries_for_any_chunking(
        count in 1_u64..30,
        cuts in prop::collection::vec(1_usize..40, 1..50),
    ) {
        let text: String = (1..=count).map(|id| format!("id: {id}\ndata: x{id}\n\n")).collect();
        let mut splitter = Splitter::new(None);
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        let mut cuts = cuts.into_iter().cycle();

        while !rest.is_empty() {
            let (part, left) = rest.split_at(cuts.next().unwrap().min(rest.len()));
            let whole = splitter.push(part).unwrap();
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
            passed.extend_from_slice(&whole);
            rest = left;
        }

        prop_assert_eq!(passed, text.as_bytes());
        prop_assert_eq!(splitter.last_id(), Some(count));
        prop_assert!(!splitter.has_partial());
    }
}

#[test]
fn resumed_stream_must_continue_after_the_last_event() {
    let mut splitter = Splitter::new(None);
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    splitter.discard_partial();

    let again = splitter.push(b"id: 3\ndata: c\n\n");

    assert_eq!(again, Err(Error::Gap { last: 1, found: 3 }));
}

#[test]
fn budgets_of_all_entries_stay_within_the_total() {
    let retry_limits = budget::Limits { ratio: 0.2, window: ms(10_000), fixed_allowance: 94.0 };
    let mut budgets = vec![Budget::new(retry_limits); 9];
    let mut taken = 0;

    for now in 0..1_000 {
        for budget in &mut budgets {
            if now % 10 == 0 {
                budget.record_request(ms(now));
            }
            taken += u32::from(budget.try_take(9, ms(now)));
        }
    }

    assert!(f64::from(taken) <= 0.2 * 900.0 + 94.0, "{taken} retries");
    assert!(taken > 100, "{taken} retries");
    assert!(budgets[0].try_take(9, ms(20_000)), "the window has passed");
}

#[test]
fn failing_upstream_is_avoided_while_another_is_available() {
    let local_data_centre = id::DataCentre::new("a").unwrap();
    let upstreams = [upstream("good"), upstream("bad")];
    let mut load = Load::new();
    let mut rng = Pcg64Mcg::seed_from_u64(1);

    load.observe(&vm("bad"), Health::Unreachable, ms(0));

    for now in 0..300 {
        let choice = load.choose(
            candidates(&upstreams, 9.0),
            &context(&[], &local_data_centre),
            &mut rng,
            ms(now),
        );
        assert_eq!(choice, Choice::Send(vm("good")));
    }
    let alone = load.choose(
        candidates(&upstreams[1..], 9.0),
        &context(&[], &local_data_centre),
        &mut rng,
        ms(1),
    );
    assert_eq!(alone, Choice::Send(vm("bad")));
}

#[test]
fn upstream_with_rare_failures_is_not_avoided() {
    let mut load = Load::new();

    let avoided = (0..700).filter(|&n| {
        let health = if n % 7 == 0 { Health::Bad } else { Health::Good };
        load.observe(&vm("u"), health, ms(n))
    });

    assert_eq!(avoided.count(), 0);
}

#[rstest]
#[case::full(2.0, true, Choice::Full)]
#[case::closed(9.0, false, Choice::Closed)]
fn full_or_closed_upstream_is_not_chosen(
    #[case] limit: f64,
    #[case] open: bool,
    #[case] expected: Choice,
) {
    let local_data_centre = id::DataCentre::new("a").unwrap();
    let upstreams = [Upstream { open, ..upstream("u") }];
    let mut load = Load::new();
    load.report("other", IndexMap::from([(vm("u"), 2)]), ms(0));
    let mut rng = Pcg64Mcg::seed_from_u64(1);

    let choice = load.choose(
        candidates(&upstreams, limit),
        &context(&[], &local_data_centre),
        &mut rng,
        ms(1),
    );

    assert_eq!(choice, expected);
}

#[test]
fn counts_of_other_entries_are_replaced_and_expire() {
    let counts = |u: u32, v: u32| IndexMap::from([(vm("u"), u), (vm("v"), v)]);
    let mut load = Load::new();

    load.report("a", counts(2, 1), ms(0));
    load.report("b", counts(3, 0), ms(500));
    load.report("a", counts(1, 4), ms(600));
    assert_eq!((load.active(&vm("u")), load.active(&vm("v"))), (4, 4));

    load.report("a", counts(1, 4), ms(2_499));
    assert_eq!((load.active(&vm("u")), load.active(&vm("v"))), (4, 4));
    load.report("a", counts(1, 4), ms(2_500));
    assert_eq!((load.active(&vm("u")), load.active(&vm("v"))), (1, 4), "b is silent for 2 s");
}

#[test]
fn request_that_crashed_three_upstreams_is_refused_until_it_succeeds() {
    let request = Fingerprint::new("t", "POST", "/a", b"body");
    let crash = |name| Crash { request, upstream: suspect::Incarnation::new(name, 1) };
    let mut register = Register::new();
    for name in ["a", "a", "b"] {
        register.record_crash(crash(name), ms(0));
    }
    assert!(!register.is_poison(request, ms(1)), "an incarnation counts once");

    let is_new = register.record_crash(crash("c"), ms(1));

    assert!(is_new && register.is_poison(request, ms(2)));
    register.clear(request);
    assert!(!register.is_poison(request, ms(2)));
}

#[test]
fn fingerprint_depends_only_on_the_content_of_the_request() {
    let first = Fingerprint::new("t", "POST", "/a", b"body");

    assert_eq!(first, Fingerprint::new("t", "POST", "/a", b"body"));
    assert_ne!(first, Fingerprint::new("u", "POST", "/a", b"body"));
    assert_ne!(first, Fingerprint::new("t", "POST", "/a", b"other"));
}

fn heartbeat(address: &str, config: u64) -> Heartbeat {
    Heartbeat {
        vm: vm("e"),
        address: address.parse().unwrap(),
        incarnation: id::Incarnation::new(1),
        config,
        directory: rev(1),
        leaving: false,
        counts: IndexMap::new(),
        costs: IndexMap::new(),
        draining: Vec::new(),
        rates: Vec::new(),
        crashes: Vec::new(),
        evidence: Vec::new(),
        known: vec!["10.0.0.9:7".parse().unwrap()],
    }
}

#[test]
fn entry_that_restarted_at_once_is_noticed() {
    let mut table = peer::Table::new("10.0.0.1:7".parse().unwrap(), []);
    let restarted =
        Heartbeat { incarnation: id::Incarnation::new(2), ..heartbeat("10.0.0.2:7", 5) };

    let news = [
        table.record_heartbeat(&heartbeat("10.0.0.2:7", 5), ms(0)),
        table.record_heartbeat(&heartbeat("10.0.0.2:7", 5), ms(100)),
        table.record_heartbeat(&restarted, ms(300)),
    ];

    assert_eq!(news, [true, false, true]);
}

#[test]
fn silent_entries_count_towards_shared_limits() {
    let own: SocketAddr = "10.0.0.1:7".parse().unwrap();
    let mut table = peer::Table::new(own, ["10.0.0.2:7".parse().unwrap()]);
    assert_eq!(table.entry_count(), 8, "default before any heartbeat");

    table.record_heartbeat(&heartbeat("10.0.0.2:7", 5), ms(0));
    table.record_heartbeat(&heartbeat("10.0.0.3:7", 6), ms(0));

    assert_eq!(table.alive(ms(9_000)).len(), 0);
    assert_eq!(table.entry_count(), 3);
    assert_eq!(table.addresses().len(), 3, "includes the address that a heartbeat named");
    assert_eq!(table.peer_with_newer_config(5, ms(100)), Some("10.0.0.3:7".parse().unwrap()));
    assert_eq!(table.peer_with_newer_config(6, ms(100)), None);
}

/// Simulates callers of a service with independent upstreams; returns the share served in time.
fn simulate(
    choose_upstream: impl Fn(&mut Load, &[Upstream], &mut Pcg64Mcg, u64) -> Option<id::Vm>,
) -> f64 {
    let upstreams: Vec<Upstream> = (0..3).map(|n| upstream(&format!("u{n}"))).collect();
    let mut load = Load::new();
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut free_at: IndexMap<id::Vm, Vec<u64>> = IndexMap::new();
    let mut running: Vec<(u64, id::Vm)> = Vec::new();
    let mut in_time = 0;
    let total = 3_000;
    for now in 0..total {
        for (_, vm) in running.extract_if(.., |(end, _)| *end <= now) {
            load.end(&vm);
        }
        let Some(vm) = choose_upstream(&mut load, &upstreams, &mut rng, now) else { continue };
        load.start(&vm);
        // The first upstream is four times slower.
        let work = if vm.as_str() == "u0" { 40 } else { 10 };
        let slots = free_at.entry(vm.clone()).or_insert_with(|| vec![0; 6]);
        let slot = slots.iter_mut().min().unwrap();
        *slot = (*slot).max(now) + work;
        in_time += u64::from(*slot - now <= 60);
        running.push((*slot, vm));
    }
    in_time as f64 / total as f64
}

#[test]
fn least_utilized_beats_round_robin_with_one_slow_upstream() {
    let local_data_centre = id::DataCentre::new("a").unwrap();

    let least_utilized = simulate(|load, upstreams, rng, now| {
        match load.choose(
            candidates(upstreams, 50.0),
            &context(&[], &local_data_centre),
            rng,
            ms(now),
        ) {
            Choice::Send(vm) => Some(vm),
            _ => None,
        }
    });
    let round_robin =
        simulate(|_, upstreams, _, now| Some(upstreams[now as usize % upstreams.len()].vm.clone()));

    assert!(least_utilized > 0.99, "{least_utilized} in time");
    assert!(round_robin < 0.8, "{round_robin} in time by round robin");
}

#[test]
fn table_returns_limits_and_services() {
    let table = Table::new(config(vec![]));

    assert_eq!(table.limits().body, Bytes::new(1_000));
    assert_eq!(table.service(&service("s")).unwrap().engine, Some(engine()));
}

#[test]
fn restarted_entries_stay_within_the_fixed_allowance() {
    let retry_limits = budget::Limits { ratio: 0.2, window: ms(10_000), fixed_allowance: 220.0 };
    let entries = 38;
    let mut taken_before = 0;
    let mut taken_after = 0;

    // All entries use up their budget, restart at the same moment and use it up again. After its
    // restart, an entry knows of few others at first.
    for _ in 0..entries {
        let mut old = Budget::new(retry_limits);
        taken_before += (20_000..30_000).filter(|&now| old.try_take(entries, ms(now))).count();
        let mut new = Budget::new(retry_limits);
        taken_after += (0..9_999)
            .filter(|&now| new.try_take(if now < 1_000 { 2 } else { entries }, ms(now)))
            .count();
    }

    assert!(
        (taken_before + taken_after) as f64 <= retry_limits.fixed_allowance,
        "{taken_before}, {taken_after}"
    );
}

#[test]
fn request_misdirected_twice_is_refused() {
    let mut tracker = Tracker::new(Kind::ResumableStream, 5);

    let actions =
        [Outcome::Misdirected; 2].map(|outcome| tracker.record_outcome(outcome, true, true));

    assert_eq!(actions, [Action::Again, Action::Refuse]);
}

#[rstest]
#[case::short(100, 100, 2_000)]
#[case::by_the_objective(600, 100, 2_400)]
#[case::by_the_pause(100, 300, 2_400)]
fn callers_wait_for_an_event_by_objective_and_pause(
    #[case] objective: u64,
    #[case] pause: u64,
    #[case] expected: u64,
) {
    let route = Route { objective: ms(objective), pause: Some(ms(pause)), ..route("/s/", &[]) };

    assert_eq!(route.patience(), ms(expected));
}
