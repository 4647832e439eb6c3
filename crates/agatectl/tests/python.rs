//! The operators' Python library prints what `agatectl check` accepts and refuses what it refuses.

use std::collections::BTreeSet;
use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use agateflow::config;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use serde_json::{Value, json};

/// Reads a list of texts and prints the list of the paths of each one's problems.
const CHECK: &str = "
import json, sys
from agateflow import check
texts = json.load(sys.stdin)
json.dump([[p.path for p in check.text(t)] for t in texts], sys.stdout)
";

type Paths = BTreeSet<String>;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).expect("the file is in the repository")
}

/// The valid fleet without its comment, which Python's JSON parser rejects.
fn good() -> String {
    let text = read("crates/agateflow/tests/configs/fleet.jsonc");
    text.split_once('\n').expect("the first line is a comment").1.to_owned()
}

fn python(args: &[&str], input: &str) -> Output {
    let mut child = Command::new("python3")
        .args(args)
        .current_dir(root())
        .env("PYTHONPATH", "python")
        .env("PYTHONDONTWRITEBYTECODE", "1")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("python3 starts");
    let mut stdin = child.stdin.take().expect("standard input is a pipe");
    stdin.write_all(input.as_bytes()).expect("python3 reads its input");
    drop(stdin);
    child.wait_with_output().expect("python3 ends")
}

/// The paths of the problems that the Python library finds in each text.
fn python_paths(texts: &[String]) -> Vec<Paths> {
    let input = serde_json::to_string(texts).expect("texts serialize");
    let output = python(&["-c", CHECK], &input);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    serde_json::from_slice(&output.stdout).expect("the output is a list of lists")
}

fn rust_paths(text: &str) -> Paths {
    match config::parse(text) {
        Ok(_) => Paths::new(),
        Err(problems) => problems.as_slice().iter().map(|p| p.path.to_string()).collect(),
    }
}

#[rstest]
#[case("ceu_escuro")]
#[case("companhia")]
fn example_prints_the_committed_fleet(#[case] name: &str) {
    let output = python(&[&format!("examples/{name}.py")], "");

    let printed = String::from_utf8(output.stdout).unwrap();
    let fleet = config::parse(&printed).unwrap();
    assert_eq!(printed, read(&format!("examples/{name}.json")));
    assert_eq!(fleet.data_centres.len(), 3);
    assert_eq!(fleet.entries().count(), 9);
    assert_eq!(fleet.engines_of(&fleet.models[0].name).count(), 16);
    assert_eq!(fleet.vms_of(&fleet.services[0].name).count(), 3);
    assert_eq!(fleet.teams.len(), 10);
    assert!(fleet.routes.iter().any(|route| !route.repeatable));
}

/// The program of the operators' page.
fn program() -> String {
    let page = read("docs/CONFIGURATION.md");
    let start = page.find("    from agateflow import").expect("the page has a program");
    let (program, _) = page[start..].split_once("\n    )\n").expect("the program ends");
    format!("{}\n)", program.replace("\n    ", "\n").trim_start())
}

#[test]
fn program_of_the_page_prints_a_good_fleet() {
    let output = python(&["-c", &program()], "");

    let printed = String::from_utf8(output.stdout).unwrap();
    assert_eq!(config::parse(&printed).unwrap().revision.get(), 8);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn bad_fleet_is_not_printed() {
    let program = program().replace("priority=\"high\"", "priority=\"urgent\", routes=[\"a\"]");

    let output = python(&["-c", &program], "");

    let errors = String::from_utf8(output.stderr).unwrap();
    let paths = errors.lines().map(|l| l.split(": ").next().unwrap()).collect::<Vec<_>>();
    assert_eq!(paths, ["teams[0].priority", "teams[0].routes[0]"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(output.stdout.is_empty());
}

#[test]
fn both_refuse_the_same_broken_fleets() {
    let table = read("crates/agateflow/tests/configs/broken.json");
    let edits = serde_json::from_str::<Vec<Value>>(&table).unwrap();
    let text = |edit: &Value, name: &str| edit[name].as_str().unwrap().to_owned();
    let fleets =
        edits.iter().filter(|e| e["file"] == "fleet" && !text(e, "replace").contains("/*"));
    let broken =
        fleets.map(|e| good().replace(&text(e, "find"), &text(e, "replace"))).collect::<Vec<_>>();

    let python = python_paths(&broken);

    assert!(broken.len() >= 30);
    for (text, python) in broken.iter().zip(python) {
        assert!(!python.is_empty(), "{text}");
        assert_eq!(python, rust_paths(text), "{text}");
    }
}

/// Replaces, removes or doubles one value below `value`.
fn mutate(value: &mut Value, rng: &mut Pcg64Mcg) {
    let stop = rng.random_ratio(1, 8);
    match value {
        Value::Array(list) if !list.is_empty() && !stop => {
            let index = rng.random_range(0..list.len());
            match rng.random_range(0..12) {
                0 => list.push(list[index].clone()),
                1 => drop(list.remove(index)),
                _ => mutate(&mut list[index], rng),
            }
        }
        Value::Object(fields) if !fields.is_empty() && !stop => {
            let index = rng.random_range(0..fields.len());
            let name = fields.keys().nth(index).cloned().unwrap_or_default();
            match rng.random_range(0..12) {
                0 => drop(fields.shift_remove(&name)),
                1 => drop(fields.insert(format!("{name}s"), json!(1))),
                _ => mutate(&mut fields[&name], rng),
            }
        }
        Value::String(_) if rng.random_ratio(3, 4) => *value = text(rng),
        _ => *value = piece(rng),
    }
}

const TEXTS: [&str; 33] = [
    "",
    "a b",
    "é",
    "summaries",
    "engine-1",
    "engine-2",
    "entry-1",
    "sul-2",
    "older",
    "r1",
    "station-data",
    "stations",
    "35ms",
    "2s",
    "35",
    "0tok",
    "1GiB",
    "8000tok/s",
    "GET",
    "low",
    "checked",
    "/a/*",
    "/a",
    "/",
    "/*",
    "//",
    "10.0.1.1:7400",
    "10.0.1.1:07400",
    "010.0.1.1:1",
    "[::1]:80",
    "[::1]:0",
    "1.2.3.4:0",
    "1.2.3.4:65536",
];

fn text(rng: &mut Pcg64Mcg) -> Value {
    json!(TEXTS[rng.random_range(0..TEXTS.len())])
}

fn piece(rng: &mut Pcg64Mcg) -> Value {
    let pieces = json!([
        null, true, false, -1, 0, 1, 3, 7.0, 7.5, 1e300, 1e-300, 4294967296_u64, u64::MAX, "", [], {},
        ["summaries"], ["summaries", "summaries"], { "kind": "entry" }, { "kind": "engine" },
        { "kind": "service", "service": "station-data" }, { "name": "r0", "vm": "engine-2" }
    ]);
    pieces[rng.random_range(0..pieces.as_array().map_or(1, Vec::len))].clone()
}

#[test]
fn both_find_the_same_problems_in_mutated_fleets() {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let good = serde_json::from_str::<Value>(&good()).unwrap();
    let texts = (0..1500).map(|_| {
        let mut fleet = good.clone();
        for _ in 0..rng.random_range(1..4) {
            mutate(&mut fleet, &mut rng);
        }
        fleet.to_string()
    });
    let texts = texts.collect::<Vec<_>>();

    let python = python_paths(&texts);

    let refused = python.iter().filter(|paths| !paths.is_empty()).count();
    assert!(refused > 750 && refused < 1500, "{refused}");
    for (text, python) in texts.iter().zip(python) {
        assert_eq!(python, rust_paths(text), "{text}");
    }
}
