//! Upstream queue: no item lost, service by weight, deadline order, early refusal.

#![allow(clippy::unwrap_used)]

use agateflow::queue::{self, Queue, Refusal};
use agateflow::{config::Priority, id, unit};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const FAR_DEADLINE: u64 = 1_000_000;

const NOW: unit::Millis = unit::Millis::ZERO;

fn attempt(number: u64) -> id::Attempt {
    id::Attempt::new(id::Incarnation::new(1), number)
}

fn item(number: u64, team: &str, tokens: u64) -> queue::Item {
    queue::Item {
        id: attempt(number),
        team: team.parse().unwrap(),
        priority: Priority::Normal,
        weight: 1.0,
        tokens: unit::Tokens::new(tokens),
        deadline: unit::Millis::new(FAR_DEADLINE),
    }
}

fn pop_all(queue: &mut Queue) -> Vec<queue::Item> {
    std::iter::from_fn(|| queue.pop()).collect()
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(11);
    ProptestConfig { cases: 200, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn items() -> impl Strategy<Value = Vec<queue::Item>> {
    let priority = prop::sample::select(vec![Priority::Low, Priority::Normal, Priority::High]);
    let one = (0..4_u8, priority, 0..500_u64, 1..FAR_DEADLINE);
    prop::collection::vec(one, 1..80).prop_map(|all| {
        let number = all.into_iter().enumerate();
        number
            .map(|(n, (team, priority, tokens, deadline))| queue::Item {
                priority,
                deadline: unit::Millis::new(deadline),
                ..item(n as u64, &format!("team-{team}"), tokens)
            })
            .collect()
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn each_item_leaves_once_and_a_team_is_served_in_deadline_order(
        items in items(), removed in prop::collection::vec(any::<bool>(), 80)
    ) {
        let mut queue = Queue::new(1_000);
        for item in &items {
            queue.push(item.clone(), NOW).unwrap();
        }
        let gone = items.iter().zip(removed).filter(|(_, gone)| *gone);
        let gone: Vec<_> = gone.map(|(item, _)| item.id).collect();
        for &id in &gone {
            prop_assert!(queue.remove(id));
            prop_assert!(!queue.remove(id));
        }

        let served = pop_all(&mut queue);

        let mut ids: Vec<_> = served.iter().map(|item| item.id).chain(gone).collect();
        ids.sort_unstable();
        prop_assert_eq!(ids, items.iter().map(|item| item.id).collect::<Vec<_>>());
        prop_assert_eq!(queue.waiting(), 0);
        for (n, item) in served.iter().enumerate() {
            let own = |o: &&queue::Item| (&o.team, o.priority) == (&item.team, item.priority);
            prop_assert!(served[n..].iter().filter(own).all(|o| o.deadline >= item.deadline));
        }
    }

    #[test]
    fn service_follows_weights_while_all_teams_have_items(
        weights in prop::collection::vec(1..10_u32, 2..5),
        tokens in prop::collection::vec(1..100_u64, 100),
    ) {
        let mut queue = Queue::new(10_000);
        let total: u64 = tokens.iter().sum();
        for (team, &weight) in weights.iter().enumerate() {
            for (n, &tokens) in tokens.iter().enumerate() {
                let number = (team * 1_000 + n) as u64;
                let item = item(number, &format!("team-{team}"), tokens);
                queue.push(queue::Item { weight: weight.into(), ..item }, NOW).unwrap();
            }
        }

        let mut served = vec![0.0; weights.len()];
        while served.iter().all(|&work| work < total as f64 - 100.0) {
            let item = queue.pop().unwrap();
            let team = item.id.request as usize / 1_000;
            served[team] += item.tokens.get() as f64;
        }

        // Start-time fair queueing bound: the gap is at most one largest item of each team.
        for (a, &one) in weights.iter().enumerate() {
            for (b, &other) in weights.iter().enumerate() {
                let (one, other) = (f64::from(one), f64::from(other));
                let gap = (served[a] / one - served[b] / other).abs();
                prop_assert!(gap <= 100.0 / one + 100.0 / other, "{served:?} {weights:?}");
            }
        }
    }
}

#[test]
fn tenfold_load_of_one_team_neither_refuses_nor_delays_another() {
    let mut queue = Queue::new(100);
    queue.record_completion(unit::Tokens::new(10), unit::Millis::new(10), 1);
    let large = (0..1_000).filter(|&n| queue.push(item(n, "large", 10), NOW).is_ok()).count();

    let small: Vec<_> = (5_000..5_010).map(|n| queue.push(item(n, "small", 10), NOW)).collect();

    assert_eq!(large, 50);
    assert!(small.iter().all(Result::is_ok), "{small:?}");
    let served = pop_all(&mut queue);
    let last = served.iter().rposition(|item| item.team.as_str() == "small");
    assert!(last.unwrap() < 21, "{last:?}");
}

#[test]
fn lower_class_is_served_after_max_bypasses() {
    let mut queue = Queue::new(1_000);
    for n in 0..100 {
        queue.push(queue::Item { priority: Priority::High, ..item(n, "a", 1) }, NOW).unwrap();
    }
    queue.push(queue::Item { priority: Priority::Low, ..item(500, "b", 1) }, NOW).unwrap();

    let place = pop_all(&mut queue).iter().position(|item| item.id == attempt(500));

    assert_eq!(place, Some(queue::MAX_BYPASSES as usize));
}

#[test]
fn item_that_would_miss_its_deadline_is_refused() {
    let mut queue = Queue::new(1_000);
    queue.record_completion(unit::Tokens::new(1), unit::Millis::new(10), 1);
    for n in 0..100 {
        queue.push(item(n, "a", 10), NOW).unwrap();
    }

    let late = queue::Item { deadline: unit::Millis::new(5_000), ..item(500, "a", 600) };
    let refused = queue.push(late.clone(), NOW);
    let small = queue.push(queue::Item { team: "b".parse().unwrap(), ..late.clone() }, NOW);
    let small_and_short =
        queue::Item { team: "c".parse().unwrap(), tokens: unit::Tokens::new(10), ..late };

    assert_eq!(refused, Err(Refusal::Late { retry_after: queue::MIN_RETRY_AFTER }));
    assert!(matches!(small, Err(Refusal::Late { .. })), "{small:?}");
    assert_eq!(queue.push(small_and_short, NOW), Ok(()));
    assert_eq!(queue.backlog(), unit::Millis::new(10_100));
}
