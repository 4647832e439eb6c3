//! A configuration of the target size, padded to the largest value that the service holds.

use std::fmt::Write as _;

use serde_json::json;

const DATA_CENTRES: usize = 7;
const ENTRIES: usize = 420;
const UPSTREAMS: usize = 1_300;
const MODELS: usize = 17;
const TEAMS: usize = 210;
const GROUP_VMS: usize = 8; // 64 ranks of one accelerator each
const VALUE_BYTES: usize = 1_000_000;

/// The document of `revision`. Two revisions differ in the revision and the limits of one team.
pub fn text(revision: u64) -> String {
    let mut text = String::with_capacity(VALUE_BYTES + 1_000);
    let weights = json!({ "skew": 1.0, "moves": 0.25 });
    text.push_str("{\n");
    line(&mut text, "revision", &json!(revision));
    line(&mut text, "weights", &weights);
    list(&mut text, "data_centres", (0..DATA_CENTRES).map(data_centre));
    list(&mut text, "classes", ["newer", "older"].into_iter().map(class));
    list(&mut text, "vms", (0..ENTRIES).map(entry).chain((0..UPSTREAMS).map(engine)));
    list(
        &mut text,
        "models",
        (0..MODELS).map(|i| json!({ "name": model(i), "expert_size": "90MiB" })),
    );
    list(&mut text, "groups", (0..UPSTREAMS / GROUP_VMS).map(group));
    list(&mut text, "teams", (0..TEAMS).map(|i| team(i, revision)));
    text.truncate(text.len() - ",\n".len());
    text.push_str("\n}\n");
    pad(text)
}

fn line(text: &mut String, name: &str, value: &serde_json::Value) {
    let _ = writeln!(text, "\"{name}\": {value},"); // writing to a string cannot fail
}

fn list(text: &mut String, name: &str, items: impl Iterator<Item = serde_json::Value>) {
    let items: Vec<_> = items.map(|item| item.to_string()).collect();
    let _ = writeln!(text, "\"{name}\": [\n{}\n],", items.join(",\n"));
}

fn pad(mut text: String) -> String {
    let mut number = 0_u64;
    while text.len() + 80 < VALUE_BYTES {
        number = number.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let _ = writeln!(text, "// {number:020} a remark of an operator beside the values");
    }
    text
}

fn data_centre(index: usize) -> serde_json::Value {
    json!({ "name": format!("dc-{index}"), "region": format!("region-{}", index / 4) })
}

fn class(name: &str) -> serde_json::Value {
    json!({
        "name": name, "speed": 1.0, "prefill": "8000tok/s", "step": "35ms", "cache": "400000tok",
        "batch": 64,
    })
}

fn entry(index: usize) -> serde_json::Value {
    vm(&format!("entry-{index}"), index, json!({ "kind": "entry" }))
}

fn engine(index: usize) -> serde_json::Value {
    let models = [model(index / GROUP_VMS)];
    let role =
        json!({ "kind": "engine", "class": "newer", "fencing": "checked", "models": models });
    vm(&format!("engine-{index}"), ENTRIES + index, role)
}

fn vm(name: &str, index: usize, role: serde_json::Value) -> serde_json::Value {
    let address = format!("10.0.{}.{}:7400", index / 250, 1 + index % 250);
    json!({ "name": name, "data_centre": format!("dc-{}", index % DATA_CENTRES), "address": address, "role": role })
}

fn model(index: usize) -> String {
    format!("model-{}", index % MODELS)
}

fn group(index: usize) -> serde_json::Value {
    let rank =
        |i| json!({ "name": format!("r{i}"), "vm": format!("engine-{}", index * GROUP_VMS + i) });
    let ranks: Vec<_> = (0..GROUP_VMS).map(rank).collect();
    json!({
        "name": format!("group-{index}"), "model": model(index), "layers": 60, "experts": 64,
        "slots": 10, "ranks": ranks,
    })
}

fn team(index: usize, revision: u64) -> serde_json::Value {
    let rate = if index == TEAMS / 2 { revision + 50 } else { 50 };
    json!({
        "name": format!("team-{index}"),
        "keys": [format!("{index:064x}")],
        "priority": "high",
        "weight": 4,
        "limits": { "requests_per_second": rate, "burst": 100, "concurrency": 200 },
        "models": (0..MODELS).map(model).collect::<Vec<_>>(),
    })
}
