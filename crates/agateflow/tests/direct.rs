//! Tests the decisions of an entry that sends requests directly to upstreams.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use agateflow::direct::attempt::{Action, Outcome, Tracker};
use agateflow::direct::budget::{self, Budget};
use agateflow::direct::config::{
    Config, Engine, Kind, Limits, Route, Service, Table, Target, Team,
};
use agateflow::direct::directory::{
    Change, Directory, Incarnation, Rank, Revision, State, Upstream,
};
use agateflow::direct::events::{Error, Splitter};
use agateflow::direct::group::{self, Group};
use agateflow::direct::limiter::Limiter;
use agateflow::direct::load::{Candidate, Choice, Context, Health, Load};
use agateflow::direct::outage::Outage;
use agateflow::direct::peer::{self, Heartbeat};
use agateflow::direct::queue::{Item, Queue};
use agateflow::direct::suspect::{self, Crash, Fingerprint, Register};
use agateflow::id;
use agateflow::unit::{Bytes, Micros, Millis};
use indexmap::IndexMap;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn ms(number: u64) -> Millis {
    Millis::new(number)
}

fn rev(number: u64) -> Revision {
    Revision::new(0, number)
}

fn vm(name: &str) -> id::Vm {
    id::Vm::new(name).unwrap()
}

fn service(name: &str) -> id::Service {
    id::Service::new(name).unwrap()
}

fn upstream(name: &str) -> Upstream {
    Upstream {
        vm: vm(name),
        address: "10.0.0.1:80".parse().unwrap(),
        service: service("s"),
        data_centre: id::DataCentre::new("a").unwrap(),
        slots: 6,
        state: State::Ready,
        started_at: 1,
        open: true,
        rank: None,
    }
}

fn route(prefix: &str, targets: &[(&str, f64)]) -> Route {
    let target = |(name, weight): &(&str, f64)| Target { service: service(name), weight: *weight };
    Route {
        name: prefix.into(),
        host: "Host.example".into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: ms(800),
        objective: ms(100),
        pause: None,
        attempts: 2,
        priority: 1,
        public: false,
        targets: targets.iter().map(target).collect(),
    }
}

fn engine() -> Engine {
    Engine {
        slots: 12,
        stride: 4,
        step_ms: 4.5,
        request_ms: 0.9,
        reopen_time: ms(600),
        shape: None,
    }
}

fn config(routes: Vec<Route>) -> Config {
    Config {
        version: 7,
        routes,
        services: vec![Service { name: service("s"), engine: Some(engine()) }],
        teams: vec![Team {
            name: id::Team::new("t").unwrap(),
            keys: ["key".into(), "old".into()].into(),
            priority: Some(0),
        }],
        limits: Limits {
            header: Bytes::new(16_384),
            body: Bytes::new(1_000),
            header_time: ms(3_000),
            idle_time: ms(15_000),
        },
    }
}

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

            ran += u32::from(
                matches!(outcome, Outcome::Failed | Outcome::Broken | Outcome::Silent)
            );
            sent += u32::from(!matches!(outcome, Outcome::Unsent | Outcome::Misdirected));
            prop_assert!(action != Action::Refuse || ran == 0, "refused after it may have run");
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

fn context<'a>(tried: &'a [id::Vm], local_data_centre: &'a id::DataCentre) -> Context<'a> {
    Context { tried, local_data_centre, entries: 1 }
}

fn candidates(upstreams: &[Upstream], limit: f64) -> impl Iterator<Item = Candidate<'_>> {
    upstreams.iter().map(move |upstream| Candidate { upstream, limit, open: upstream.open })
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

fn item(priority: u8, arrived: u64) -> Item {
    Item {
        priority,
        arrived: ms(arrived),
        on_time_until: ms(arrived + 300),
        latest_start: ms(arrived + 1_000),
        latest_start_if_closed: ms(arrived + 1_700),
    }
}

#[test]
fn queue_serves_by_priority_then_timeliness_then_arrival() {
    let mut queue = Queue::new();
    let late = queue.push(item(1, 0), ms(0)).unwrap();
    let second = queue.push(item(1, 250), ms(250)).unwrap();
    let third = queue.push(item(1, 260), ms(260)).unwrap();
    let urgent = queue.push(item(0, 270), ms(270)).unwrap();

    let mut order = Vec::new();
    while let Some(ticket) = queue.peek(ms(400)) {
        queue.serve(ticket, ms(400));
        order.push(ticket);
    }

    assert_eq!(order, [urgent, second, third, late]);
}

#[test]
fn queue_refuses_requests_that_would_wait_too_long() {
    let mut queue = Queue::new();
    for number in 0..30 {
        let ticket = queue.push(item(1, number * 100), ms(number * 100)).unwrap();
        queue.serve(ticket, ms(number * 100));
    }
    let accepted = (0..50).filter(|_| queue.push(item(1, 3_000), ms(3_000)).is_some()).count();

    let retry_after = queue.retry_after(1);

    assert!((9..=12).contains(&accepted), "{accepted} queued for 1 s at 0.1 s each");
    assert!(retry_after >= ms(900), "{retry_after}");
}

#[test]
fn limit_drops_after_a_slow_pass_and_recovers() {
    let mut limiter = Limiter::new(&engine(), ms(120), None, ms(0));
    let steady = |limiter: &mut Limiter, from: u64, to: u64| {
        for now in (from..to).step_by(10) {
            limiter.record_pause(Micros::new(50_000), 6.0, ms(now));
        }
    };
    steady(&mut limiter, 0, 10_000);
    let before = limiter.limit();

    limiter.record_pause(Micros::new(160_000), 6.0, ms(10_000));
    let after = limiter.limit();
    steady(&mut limiter, 10_010, 40_000);

    assert!(after < 7.0, "limit {after} after a pass of 160 ms with 6 requests");
    assert!(before > 10.0 && limiter.limit() > 10.0, "{before}, {}", limiter.limit());
}

#[test]
fn slow_pass_with_few_requests_leaves_headroom() {
    let mut limiter = Limiter::new(&engine(), ms(120), None, ms(0));

    // Copies and switches of expert maps at startup caused 126 ms, not three requests per rank.
    limiter.record_pause(Micros::new(126_000), 3.0, ms(100));
    limiter.record_pause(Micros::new(50_000), 6.0, ms(200));

    assert!(limiter.limit() > 6.0, "limit {} while passes take 50 ms", limiter.limit());
}

#[test]
fn new_limiter_starts_from_the_cost_measured_by_others() {
    let mut old = Limiter::new(&engine(), ms(120), None, ms(0));
    old.record_pause(Micros::new(160_000), 6.0, ms(10));

    let new = Limiter::new(&engine(), ms(120), Some(old.peak_cost_factor()), ms(20));

    assert!((new.limit() - old.limit()).abs() < 0.1, "{} and {}", new.limit(), old.limit());
}

#[test]
fn stall_does_not_change_the_limit() {
    let mut limiter = Limiter::new(&engine(), ms(120), None, ms(0));
    let before = limiter.limit();

    limiter.record_pause(Micros::new(1_500_000), 6.0, ms(100));

    assert!((limiter.limit() - before).abs() < 1e-9);
}

#[test]
fn retry_delay_follows_the_length_of_the_outage() {
    let mut outage = Outage::default();
    outage.mark_closed(ms(1_000));

    let early = outage.retry_after(ms(600), ms(1_000));
    let late = outage.retry_after(ms(600), ms(3_500));
    outage.reset();

    assert_eq!(early, ms(2_500));
    assert_eq!(late, ms(3_100));
    assert!(!outage.is_backing_off(ms(3_500)));
}

#[test]
fn two_unreachable_ranks_close_the_group_unless_one_responds_in_between() {
    let mut cut_off = Outage::default();
    let mut lossy = Outage::default();

    cut_off.record_unreachable(&vm("a"), ms(0));
    cut_off.record_unreachable(&vm("a"), ms(400));
    let closed_by_one = cut_off.is_backing_off(ms(401));
    cut_off.record_unreachable(&vm("b"), ms(800));
    lossy.record_unreachable(&vm("a"), ms(0));
    lossy.reset();
    lossy.record_unreachable(&vm("b"), ms(400));

    assert!(!closed_by_one, "the fault may be in one rank");
    assert!(cut_off.is_backing_off(ms(801)));
    assert!(!lossy.is_backing_off(ms(401)));
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
        config,
        directory: rev(1),
        leaving: false,
        counts: IndexMap::new(),
        costs: IndexMap::new(),
        draining: Vec::new(),
        crashes: Vec::new(),
        evidence: Vec::new(),
        known: vec!["10.0.0.9:7".parse().unwrap()],
    }
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

fn rank(name: &str, group: &str) -> Upstream {
    Upstream { rank: Some(Rank { group: group.into(), index: 0 }), ..upstream(name) }
}

fn group() -> Group {
    let mut group = Group::default();
    group.configure(Some(engine()), Some(ms(120)), None, ms(0));
    group
}

#[test]
fn silent_group_stalls_and_is_probed_by_one_request_at_a_time() {
    let mut group = group();
    group.stall.request_started(ms(1_000));
    group.stall.request_started(ms(1_000));

    let stall_count = (1_000..1_500).step_by(50).filter(|&now| group.check_stall(ms(now))).count();
    let closed = group.is_closed(ms(1_500));
    group.stall.request_ended();
    group.stall.request_ended();
    let closed_after_backoff = group.is_closed(ms(2_500));
    group.stall.request_started(ms(2_500));
    let closed_by_probe = group.is_closed(ms(2_500));
    group.record_activity(ms(2_600));

    assert_eq!(
        (stall_count, closed, closed_after_backoff, closed_by_probe),
        (1, true, false, true)
    );
    assert!(!group.is_closed(ms(2_600)), "the group responded");
}

#[test]
fn no_stall_is_detected_while_events_arrive_or_after_the_entry_was_paused() {
    let mut passing = group();
    let mut paused = group();
    for group in [&mut passing, &mut paused] {
        group.stall.request_started(ms(0));
        group.stall.request_started(ms(0));
        group.check_stall(ms(0));
    }

    for now in (0..5_000).step_by(50) {
        if now % 100 == 0 {
            passing.record_activity(ms(now));
        }
        assert!(!passing.check_stall(ms(now)));
    }
    assert!(!paused.check_stall(ms(5_000)), "the entry itself was paused");
}

#[test]
fn probes_of_a_closed_group_back_off() {
    let mut outage = Outage::default();
    let mut probes = 0;

    for now in 0..10_000 {
        if !outage.is_backing_off(ms(now)) {
            probes += 1;
            outage.back_off(ms(now));
        }
    }

    assert!((4..=7).contains(&probes), "{probes} probes in 10 s");
}

#[test]
fn upstream_of_an_open_group_is_chosen() {
    let local_data_centre = id::DataCentre::new("a").unwrap();
    let upstreams = [rank("a1", "a"), rank("a2", "a"), rank("b1", "b")];
    let candidates = || {
        upstreams.iter().map(|upstream| Candidate {
            upstream,
            limit: 9.0,
            open: group::name(upstream) == "b",
        })
    };
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let load = Load::new();

    let chosen = load.choose(candidates(), &context(&[], &local_data_centre), &mut rng, ms(0));
    let tried = [vm("b1")];
    let closed = load.choose(candidates(), &context(&tried, &local_data_centre), &mut rng, ms(0));

    assert_eq!((chosen, closed), (Choice::Send(vm("b1")), Choice::Closed));
    assert!(group::Id::of(&upstreams[0]).contains(&upstreams[1]));
    assert!(!group::Id::of(&upstreams[0]).contains(&upstreams[2]));
}

#[test]
fn lower_utilization_beats_fewer_requests() {
    let local_data_centre = id::DataCentre::new("a").unwrap();
    let upstreams = [rank("slow", "a"), rank("fast", "b")];
    let mut load = Load::new();
    load.report("other", IndexMap::from([(vm("slow"), 3), (vm("fast"), 4)]), ms(0));
    let limit = |upstream: &Upstream| if group::name(upstream) == "a" { 4.0 } else { 12.0 };
    let candidates =
        upstreams.iter().map(|upstream| Candidate { upstream, limit: limit(upstream), open: true });

    let choice = load.choose(
        candidates,
        &context(&[], &local_data_centre),
        &mut Pcg64Mcg::seed_from_u64(1),
        ms(1),
    );

    assert_eq!(choice, Choice::Send(vm("fast")));
}

#[test]
fn queued_request_waits_for_a_closed_group_until_its_caller_gives_up() {
    let mut queue = Queue::new();
    let queued = queue.push(item(1, 0), ms(0)).unwrap();

    queue.extend_for_opening();
    let gone = queue.expire(ms(1_600));
    let first = queue.peek(ms(1_600));
    let late = queue.expire(ms(1_701));

    assert_eq!((gone, first, late), (Vec::new(), Some(queued), vec![queued]));
}

#[test]
fn queue_for_a_closed_group_is_bounded() {
    let mut queue = Queue::new();

    let taken = (0..20).filter(|&n| queue.push_while_closed(item(1, n), 12).is_some()).count();

    assert_eq!(taken, 12);
}
