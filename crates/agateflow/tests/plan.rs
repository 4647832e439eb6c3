//! The planner yields valid maps, optimal shares and objectives no worse than its two baselines,
//! and rejects invalid problems.

use agateflow::plan;
use agateflow::plan::{check, cost, document, map, problem, shares};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

const BASE: &str = r#"{
    // Two ranks, the first one twice as fast.
    "ranks": [{"name": "r0", "speed": 2.0, "slots": 2}, {"name": "r1", "speed": 1, "slots": 2}],
    "layers": [{"load": [3.0, 2.0, 1.0]}],
    "current": {"layers": [{"experts": [
        [{"rank": "r0", "share": 1.0}],
        [{"rank": "r0", "share": 0.5}, {"rank": "r1", "share": 0.5}],
        [{"rank": "r1", "share": 1.0}],
    ]}]},
    "weights": {"skew": 1.0, "moves": 0.1},
}"#;

fn config() -> Config {
    Config {
        cases: 40,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..Config::default()
    }
}

fn problems() -> impl Strategy<Value = problem::Problem> {
    (1usize..6, 1usize..8, 1usize..3)
        .prop_flat_map(|(ranks, experts, layers)| {
            let rank = (0.1f64..4.0, experts.div_ceil(ranks)..experts.div_ceil(ranks) + 3);
            let load = prop_oneof![1 => Just(0.0), 8 => 0.0f64..1.0, 1 => 0.0f64..50.0];
            let layer = prop::collection::vec(load, experts);
            let weight = prop_oneof![Just(0.0), 0.0f64..3.0];
            let ranks = prop::collection::vec(rank, ranks);
            let layers = prop::collection::vec(layer, layers);
            (ranks, layers, weight.clone(), weight)
        })
        .prop_map(|(ranks, layers, skew, moves)| problem::Problem {
            ranks: ranks
                .iter()
                .enumerate()
                .map(|(i, &(speed, slots))| problem::Rank {
                    name: format!("r{i}").into(),
                    speed,
                    slots,
                })
                .collect(),
            layers: layers.into_iter().map(|load| problem::Layer { load }).collect(),
            current: None,
            weights: problem::Weights { skew, moves },
        })
}

/// The same group with its plan in force and the loads of each layer rotated by one expert.
fn with_shifted_loads(mut problem: problem::Problem) -> problem::Problem {
    problem.current = Some(plan::plan(&problem));
    for layer in &mut problem.layers {
        layer.load.rotate_right(1);
    }
    problem
}

fn objective(problem: &problem::Problem, map: &map::Map) -> f64 {
    cost::Cost::new(problem, map).objective(problem)
}

/// The minimum time of a layer over all shares: the maximum ratio of load to speed over all sets of
/// experts and the ranks that hold them.
fn least_time(problem: &problem::Problem, layer: usize, map: &map::Map) -> f64 {
    let experts = &map.layers[layer].experts;
    let time = |set: usize| {
        let inside = |e: &usize| set & (1 << e) != 0;
        let load: f64 =
            (0..experts.len()).filter(inside).map(|e| problem.layers[layer].load[e]).sum();
        let on = |name: &str| {
            (0..experts.len()).filter(inside).any(|e| experts[e].iter().any(|r| &*r.rank == name))
        };
        let speed: f64 = problem.ranks.iter().filter(|r| on(&r.name)).map(|r| r.speed).sum();
        load / speed
    };
    (1..1usize << experts.len()).map(time).fold(0.0, f64::max)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn plan_is_valid_and_not_worse_than_its_baselines(initial in problems()) {
        let problem = with_shifted_loads(initial.clone());
        let from_scratch = problem::Problem { current: None, ..problem.clone() };

        let planned = plan::plan(&problem);

        let reshared = plan::reshare(&problem);
        check::map(&problem, &planned).unwrap();
        check::map(&problem, &reshared).unwrap();
        let best = objective(&problem, &planned) - 1e-9;
        prop_assert!(best <= objective(&problem, &reshared));
        prop_assert!(best <= objective(&problem, &plan::plan(&from_scratch)));
        if problem.weights.skew == 0.0 {
            prop_assert_eq!(cost::Cost::new(&problem, &planned).moves, 0);
        }
    }

    #[test]
    fn shares_are_exact(problem in problems()) {
        let problem = with_shifted_loads(problem);

        let mut reshared = problem.current.clone().unwrap_or_default();
        shares::set(&problem, &mut reshared);

        check::map(&problem, &reshared).unwrap();
        for (layer, loads) in problem.layers.iter().enumerate() {
            let time = cost::slowest(&problem, loads, &reshared.layers[layer]);
            let least = least_time(&problem, layer, &reshared);
            prop_assert!((time - least).abs() <= 1e-9 * least, "{time} is not the minimum {least}");
        }
    }
}

#[rstest]
#[case::unknown_field(r#""weights": {"#, r#""weights": {"speed": 1, "#, "unknown field")]
#[case::missing_weight(r#", "moves": 0.1"#, "", "missing field")]
#[case::negative_weight("0.1", "-0.1", "weight moves")]
#[case::negative_load("[3.0", "[-3.0", "load -3")]
#[case::infinite_load("[3.0", "[1e999", "out of range")]
#[case::word_as_load("[3.0", "[NaN", "read plan")]
#[case::no_load("[3.0, 2.0, 1.0]", "[]", "no experts")]
#[case::zero_speed("2.0, \"slots\"", "0, \"slots\"", "speed 0")]
#[case::negative_slots("\"slots\": 2}, {", "\"slots\": -2}, {", "read plan")]
#[case::too_few_slots("\"slots\": 2}, {", "\"slots\": 0}, {", "slots cannot hold")]
#[case::duplicate_rank("\"r1\", \"speed\"", "\"r0\", \"speed\"", "declared twice")]
#[case::unknown_rank("{\"rank\": \"r0\"", "{\"rank\": \"r9\"", "unknown rank")]
#[case::no_replica("[{\"rank\": \"r1\", \"share\": 1.0}],", "[],", "no replica")]
#[case::duplicate_expert("0.5}, {\"rank\": \"r1\"", "0.5}, {\"rank\": \"r0\"", "twice")]
#[case::too_many_experts(
    "[{\"rank\": \"r1\", \"share\": 1.0}]",
    "[{\"rank\": \"r0\", \"share\": 1}]",
    "holds 3 experts"
)]
#[case::share_sum("\"share\": 0.5}]", "\"share\": 0.6}]", "sum to 1.1")]
#[case::share_above_one("\"share\": 0.5}]", "\"share\": 1.5}]", "within 0 to 1")]
#[case::expert_count("[3.0, 2.0, 1.0]", "[3.0, 2.0]", "3 experts where 2")]
#[case::layer_count("[{\"load\"", "[{\"load\": [1]}, {\"load\"", "1 layers where 2")]
#[case::no_comma("\"current\":", "1 \"current\":", "read plan")]
fn invalid_input_is_rejected(#[case] from: &str, #[case] to: &str, #[case] reason: &str) {
    let text = BASE.replacen(from, to, 1);

    let error = document::parse(&text).unwrap_err().to_string();

    assert!(error.contains(reason), "{error}");
    assert!(!error.contains('\n') && error.starts_with(|c: char| !c.is_uppercase()), "{error}");
}

#[test]
fn deep_nesting_is_rejected() {
    let text = "[".repeat(100_000);

    let error = document::parse(&text).unwrap_err().to_string();

    assert!(error.contains("nesting depth"), "{error}");
}

#[test]
fn base_document_is_planned_at_the_lower_bound() {
    let problem = document::parse(BASE).unwrap();

    let planned = document::Plan::new(&problem, plan::plan(&problem));

    assert_eq!(planned.moves, 0);
    assert!(planned.skew < 1e-9, "{}", planned.skew);
    assert_eq!(planned.bound, 2.0);
}
