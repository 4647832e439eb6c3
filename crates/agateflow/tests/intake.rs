//! Who has to go when callers hold more than the machine bears.

#![allow(clippy::unwrap_used)]

use std::net::IpAddr;

use agateflow::id;
use agateflow::intake::{CONNECTION, Cause, Eviction, Id, Ledger, Limits, Machine, SMALL};
use agateflow::intake::{Stage, Verdict};
use agateflow::unit::{Bytes, Millis};
use rstest::rstest;

const MB: u64 = 1 << 20;

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn bytes(count: u64) -> Bytes {
    Bytes::new(count)
}

fn caller(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

fn team(name: &str) -> Option<id::Team> {
    Some(id::Team::new(name).unwrap())
}

/// A ledger for 16 MB, 2 MB of them for small requests, and eight connections.
fn ledger() -> Ledger {
    Ledger::new(Limits { memory: bytes(16 * MB), reserve: bytes(2 * MB), connections: 8 })
}

/// Opens a connection whose request has begun to arrive.
fn receiving(ledger: &mut Ledger, from: IpAddr, of: Option<id::Team>, now: Millis) -> Id {
    let id = ledger.open(from, now).0.unwrap();
    ledger.enter(id, Stage::Receiving, now);
    ledger.set_team(id, of);
    id
}

/// Receives `count` bytes that are granted.
fn receive(ledger: &mut Ledger, id: Id, count: u64, now: Millis) {
    ledger.record_movement(id, count, now);
    assert_eq!(ledger.charge(id, bytes(count), now), (Verdict::Granted, Vec::new()));
}

fn ids(evictions: &[Eviction]) -> Vec<Id> {
    evictions.iter().map(|eviction| eviction.id).collect()
}

#[test]
fn budget_comes_from_the_machine() {
    let limits = Limits::new(Machine { memory: bytes(260 * MB), sockets: 3_900 });

    assert!(limits.memory.get() > 180 * MB, "{limits:?}");
    assert!(limits.memory.get() < 228 * MB, "{limits:?}");
    assert!(limits.connections > 2_000, "{limits:?}");
    assert!(limits.connections <= 2_925, "{limits:?}");
}

#[test]
fn small_machine_leaves_a_part_to_callers() {
    let limits = Limits::new(Machine { memory: bytes(32 * MB), sockets: 100 });

    assert_eq!(limits.memory, bytes(8 * MB));
    assert_eq!(limits.connections, 36);
}

#[test]
fn everything_is_released_at_the_end() {
    let mut ledger = ledger();
    let id = receiving(&mut ledger, caller(1), None, at(0));
    receive(&mut ledger, id, MB, at(0));

    ledger.close(id);
    let after_close = ledger.held();
    ledger.release(id, bytes(MB));

    assert_eq!(after_close, bytes(MB), "bytes that are still written stay charged");
    assert_eq!(ledger.held(), Bytes::ZERO);
}

#[test]
fn stalled_body_goes_before_one_that_moves() {
    let mut ledger = ledger();
    let stalled = receiving(&mut ledger, caller(1), None, at(0));
    receive(&mut ledger, stalled, 4 * MB, at(0));
    let moving = receiving(&mut ledger, caller(2), None, at(0));
    receive(&mut ledger, moving, 5 * MB, at(0));
    ledger.record_movement(moving, MB, at(3_000));
    let new = receiving(&mut ledger, caller(3), None, at(3_000));
    receive(&mut ledger, new, 4 * MB, at(3_000));

    let (verdict, evictions) = ledger.charge(new, bytes(2 * MB), at(3_000));

    assert_eq!(verdict, Verdict::Wait);
    assert_eq!(ids(&evictions), [stalled]);
    assert_eq!(evictions[0].cause, Cause::Memory);
    assert_eq!(evictions[0].stage, Stage::Receiving);
}

#[test]
fn drip_does_not_count_as_movement() {
    let mut ledger = ledger();
    let dripping = receiving(&mut ledger, caller(1), None, at(0));
    receive(&mut ledger, dripping, 4 * MB, at(0));
    let moving = receiving(&mut ledger, caller(2), None, at(0));
    receive(&mut ledger, moving, 9 * MB, at(0));
    for second in 1..5 {
        ledger.record_movement(dripping, 1, at(second * 1_000));
        ledger.record_movement(moving, MB, at(second * 1_000));
    }

    let (_, evictions) = ledger.charge(moving, bytes(MB), at(4_000));

    assert_eq!(ids(&evictions), [dripping]);
}

#[test]
fn the_team_that_holds_most_gives_way() {
    let mut ledger = ledger();
    let crowd: Vec<Id> = (0..4)
        .map(|number| {
            let id = receiving(&mut ledger, caller(number), team("crowd"), at(0));
            receive(&mut ledger, id, 3 * MB, at(0));
            id
        })
        .collect();
    let other = receiving(&mut ledger, caller(9), team("other"), at(0));
    receive(&mut ledger, other, MB, at(0));

    let (verdict, evictions) = ledger.charge(other, bytes(3 * MB), at(0));

    assert_eq!(verdict, Verdict::Wait);
    assert_eq!(evictions.len(), 1);
    assert!(crowd.contains(&evictions[0].id));
}

#[test]
fn the_address_that_holds_most_gives_way_within_a_team() {
    let mut ledger = ledger();
    for _ in 0..4 {
        let id = receiving(&mut ledger, caller(1), team("t"), at(0));
        receive(&mut ledger, id, 2 * MB, at(0));
    }
    let large = receiving(&mut ledger, caller(2), team("t"), at(0));
    receive(&mut ledger, large, 5 * MB, at(0));
    let new = receiving(&mut ledger, caller(3), team("t"), at(0));

    let (_, evictions) = ledger.charge(new, bytes(3 * MB), at(0));

    assert!(evictions.iter().all(|eviction| eviction.caller == caller(1)), "{evictions:?}");
}

#[test]
fn who_holds_most_and_asks_for_more_is_refused_itself() {
    let mut ledger = ledger();
    let largest = receiving(&mut ledger, caller(1), None, at(0));
    receive(&mut ledger, largest, 8 * MB, at(0));
    let other = receiving(&mut ledger, caller(2), None, at(0));
    receive(&mut ledger, other, 5 * MB, at(0));

    let answer = ledger.charge(largest, bytes(2 * MB), at(0));

    assert_eq!(answer, (Verdict::Refused, Vec::new()));
}

#[test]
fn small_request_is_granted_where_a_large_one_is_not() {
    let mut ledger = ledger();
    let running = receiving(&mut ledger, caller(1), None, at(0));
    receive(&mut ledger, running, 13 * MB, at(0));
    ledger.enter(running, Stage::Running, at(0));
    let large = receiving(&mut ledger, caller(2), None, at(0));
    let small = receiving(&mut ledger, caller(3), None, at(0));

    let refused = ledger.charge(large, bytes(2 * MB), at(0));
    let granted = ledger.charge(small, SMALL, at(0));

    assert_eq!(refused.0, Verdict::Refused);
    assert_eq!(granted, (Verdict::Granted, Vec::new()));
}

#[rstest]
#[case::running(Stage::Running, 13 * MB)]
#[case::small_and_waiting(Stage::Waiting, 100 << 10)]
#[case::small_and_moving(Stage::Receiving, 100 << 10)]
fn ordinary_callers_do_not_go(#[case] stage: Stage, #[case] held: u64) {
    let mut ledger = ledger();
    let ordinary = receiving(&mut ledger, caller(1), None, at(0));
    receive(&mut ledger, ordinary, held, at(0));
    ledger.enter(ordinary, stage, at(0));
    let filling = receiving(&mut ledger, caller(2), None, at(0));
    receive(&mut ledger, filling, 13 * MB - held, at(0));

    let (_, evictions) = ledger.charge(filling, bytes(3 * MB), at(500));

    assert_eq!(evictions, Vec::new());
}

#[test]
fn caller_that_stopped_reading_goes() {
    let mut ledger = ledger();
    let reader = receiving(&mut ledger, caller(1), None, at(0));
    receive(&mut ledger, reader, 8 * MB, at(0));
    ledger.enter(reader, Stage::Sending, at(0));
    let new = receiving(&mut ledger, caller(2), None, at(5_000));
    receive(&mut ledger, new, 5 * MB, at(5_000));

    let (_, evictions) = ledger.charge(new, bytes(MB), at(5_000));

    assert_eq!(ids(&evictions), [reader]);
}

#[test]
fn there_is_room_once_the_evicted_has_gone() {
    let mut ledger = ledger();
    let stalled = receiving(&mut ledger, caller(1), None, at(0));
    receive(&mut ledger, stalled, 13 * MB, at(0));
    let new = receiving(&mut ledger, caller(2), None, at(5_000));
    let first = ledger.charge(new, bytes(4 * MB), at(5_000));
    let again = ledger.charge(new, bytes(4 * MB), at(5_000));

    ledger.close(stalled);
    ledger.release(stalled, bytes(13 * MB));
    let last = ledger.charge(new, bytes(4 * MB), at(5_000));

    assert_eq!((first.0, first.1.len()), (Verdict::Wait, 1));
    assert_eq!(again, (Verdict::Wait, Vec::new()), "one is enough");
    assert_eq!(last.0, Verdict::Granted);
}

#[test]
fn evicted_connection_gets_nothing_more() {
    let mut ledger = ledger();
    let stalled = receiving(&mut ledger, caller(1), None, at(0));
    receive(&mut ledger, stalled, 13 * MB, at(0));
    let new = receiving(&mut ledger, caller(2), None, at(5_000));
    ledger.charge(new, bytes(4 * MB), at(5_000));

    let charged = ledger.charge(stalled, bytes(1), at(5_000));

    assert_eq!(charged, (Verdict::Refused, Vec::new()));
    assert!(!ledger.enter(stalled, Stage::Running, at(5_000)));
}

#[test]
fn longest_idle_connection_closes_before_a_new_one_is_turned_away() {
    let mut ledger = ledger();
    let kept: Vec<Id> = (0..8)
        .map(|number| {
            let id = receiving(&mut ledger, caller(1), None, at(number));
            ledger.enter(id, Stage::Idle, at(100 + number));
            id
        })
        .collect();

    let (first, evictions) = ledger.open(caller(2), at(5_000));
    ledger.close(kept[0]);
    let (second, _) = ledger.open(caller(2), at(5_000));

    assert_eq!(first, Err(Verdict::Wait));
    assert_eq!(ids(&evictions), [kept[0]]);
    assert_eq!(evictions[0].cause, Cause::Connections);
    assert!(second.is_ok());
}

#[test]
fn connections_that_never_sent_a_request_go_first() {
    let mut ledger = ledger();
    for number in 0..4 {
        let id = receiving(&mut ledger, caller(1), None, at(number));
        ledger.enter(id, Stage::Idle, at(number));
    }
    let silent: Vec<Id> = (0..4).map(|n| ledger.open(caller(1), at(100 + n)).0.unwrap()).collect();

    let (_, evictions) = ledger.open(caller(1), at(5_000));

    assert_eq!(ids(&evictions), [silent[0]]);
}

#[test]
fn the_caller_with_most_idle_connections_gives_way() {
    let mut ledger = ledger();
    let ordinary = ledger.open(caller(1), at(0)).0.unwrap();
    for number in 0..7 {
        ledger.open(caller(2), at(1_000 + number)).0.unwrap();
    }

    let (_, evictions) = ledger.open(caller(3), at(5_000));

    assert_eq!(evictions[0].caller, caller(2));
    assert_ne!(evictions[0].id, ordinary);
}

#[test]
fn new_connection_is_turned_away_where_all_work() {
    let mut ledger = ledger();
    for _ in 0..8 {
        let id = receiving(&mut ledger, caller(1), None, at(0));
        ledger.enter(id, Stage::Running, at(0));
    }

    let answer = ledger.open(caller(2), at(5_000));

    assert_eq!(answer, (Err(Verdict::Refused), Vec::new()));
}

#[test]
fn lower_limits_hold_at_once() {
    let mut ledger = ledger();
    for number in 0..4 {
        let id = receiving(&mut ledger, caller(number), None, at(0));
        receive(&mut ledger, id, 3 * MB, at(0));
    }
    let limits = Limits { memory: bytes(8 * MB), reserve: bytes(MB), connections: 8 };

    let evictions = ledger.set_limits(limits, at(5_000));

    let left: u64 = 12 * MB - evictions.iter().map(|eviction| eviction.held.get()).sum::<u64>();
    assert!(left <= 8 * MB, "{evictions:?}");
    assert_eq!(evictions.len(), 2);
}

/// Callers of two teams come and go at random; the sum of charges stays exact, and below the limit.
#[rstest]
fn held_memory_is_the_sum_of_what_was_charged(#[values(1, 2, 3, 4, 5)] seed: u64) {
    use rand::{Rng, SeedableRng};
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut ledger = ledger();
    let mut open: Vec<(Id, u64)> = Vec::new();

    for step in 0..20_000 {
        let now = at(step * 10);
        let evictions = match (rng.random_range(0..4), open.len()) {
            (0, _) | (_, 0) => {
                let from = caller(rng.random_range(0..6));
                let (opened, evictions) = ledger.open(from, now);
                if let Ok(id) = opened {
                    ledger.enter(id, Stage::Receiving, now);
                    ledger.set_team(id, team(if rng.random() { "a" } else { "b" }));
                    open.push((id, 0));
                }
                evictions
            }
            (1 | 2, count) => {
                let index = rng.random_range(0..count);
                let size = rng.random_range(1..2 * MB);
                let (id, held) = &mut open[index];
                ledger.record_movement(*id, size, now);
                let (verdict, evictions) = ledger.charge(*id, bytes(size), now);
                *held += if verdict == Verdict::Granted { size } else { 0 };
                evictions
            }
            (_, count) => {
                let (id, held) = open.swap_remove(rng.random_range(0..count));
                ledger.close(id);
                ledger.release(id, bytes(held));
                Vec::new()
            }
        };
        for eviction in evictions {
            let index = open.iter().position(|(id, _)| *id == eviction.id).unwrap();
            let (id, held) = open.swap_remove(index);
            assert_eq!(eviction.held, bytes(held));
            ledger.close(id);
            ledger.release(id, bytes(held));
        }
        let sum: u64 = open.iter().map(|(_, held)| held + CONNECTION.get()).sum();
        assert_eq!(ledger.held(), bytes(sum));
        assert!(sum <= ledger.limits().memory.get());
        assert_eq!(ledger.connections(), open.len());
    }
}
