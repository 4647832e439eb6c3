//! The fleet service over loopback sockets, with a fake configuration service.

use std::net;
use std::sync::Arc;
use std::time::Duration;

use agateflow::fleet::{gossip, message, node};
use agateflow::{id, unit};
use agateflow_standin::configuration::Configuration;
use agateflowd::fleet;

const TIMEOUT: Duration = Duration::from_secs(60);

fn ephemeral_address() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}

fn accept(bytes: &[u8]) -> Result<unit::Revision, Box<str>> {
    let text = std::str::from_utf8(bytes).map_err(|e| e.to_string())?;
    let number = text.lines().next().unwrap_or_default();
    number.parse().map_err(|_| "no revision".into())
}

fn document(revision: u64) -> String {
    let lines = (0..20_000).map(|line| format!("line {line} of a large document\n"));
    std::iter::once(format!("{revision}\n")).chain(lines).collect()
}

fn settings(name: &str, number: u128, configuration: &Configuration) -> fleet::Settings {
    let role = match name.starts_with('e') {
        true => message::Role::Entry,
        false => message::Role::Upstream,
    };
    fleet::Settings {
        name: id::Vm::new(name).expect("valid name"),
        data_centre: id::DataCentre::new("a").expect("valid name"),
        role,
        listen: ephemeral_address(),
        seeds: Vec::new(),
        secret: b"secret".as_slice().into(),
        configuration: configuration.host().address(),
        value: "fleet".into(),
        validate: Arc::new(accept),
        group_of: Arc::new(|_| None),
        incarnation: id::Incarnation::new(number),
    }
}

fn seed(handle: &fleet::Handle) -> node::Seed {
    node::Seed { data_centre: None, address: handle.address() }
}

async fn start_fleet(configuration: &Configuration) -> Vec<fleet::Handle> {
    let first = fleet::start(settings("e1", 1, configuration)).await.expect("free port");
    let mut handles = vec![first];
    for (number, name) in (2..).zip(["e2", "e3", "u1", "u2"]) {
        let mut settings = settings(name, number, configuration);
        settings.seeds.push(seed(&handles[0]));
        handles.push(fleet::start(settings).await.expect("free port"));
    }
    for handle in &handles {
        handle.set_state(message::State::Serving);
    }
    handles
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let reached = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let reached = tokio::time::timeout(TIMEOUT, reached).await;
    reached.unwrap_or_else(|_| panic!("timed out waiting for: {what}"));
}

fn revision(handle: &fleet::Handle) -> u64 {
    handle.document().map_or(0, |document| document.revision.get())
}

fn takes_work(handle: &fleet::Handle, name: &str) -> bool {
    let now = handle.now();
    handle.view().members.iter().any(|m| m.sender.name.as_str() == name && m.takes_work(now))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fleet_converges_over_sockets() {
    let configuration = Configuration::start(ephemeral_address()).expect("free port");
    configuration.publish("fleet", document(1));

    let handles = start_fleet(&configuration).await;

    wait_until("first revision", || handles.iter().all(|h| revision(h) == 1 && h.is_ready())).await;
    let sees_both = |h: &fleet::Handle| takes_work(h, "u1") && takes_work(h, "u2");
    wait_until("members", || handles[..3].iter().all(sees_both)).await;

    configuration.publish("fleet", "nonsense");
    wait_until("rejection", || handles.iter().any(|h| h.rejection().is_some())).await;
    let before = handles[4].counters();
    configuration.publish("fleet", document(2));
    wait_until("second revision", || handles.iter().all(|h| revision(h) == 2)).await;

    // After a change of one line, a process fetches only a few parts of the document.
    let fetched = handles[4].counters().since(&before);
    assert!(fetched.bytes_received < document(2).len() as u64 / 4, "{fetched:?}");

    handles[3].set_state(message::State::Leaving);
    wait_until("announcement of leaving", || handles[..3].iter().all(|h| !takes_work(h, "u1")))
        .await;

    let mut items = handles[2].items();
    let ttl = unit::Millis::new(60_000);
    let (key, value) = (b"key".as_slice().into(), b"value".as_slice().into());
    handles[0].publish(gossip::Item { key, version: 1, ttl, value });
    let item = tokio::time::timeout(TIMEOUT, items.recv()).await.expect("item in time");
    assert_eq!(item.map(|item| item.value).ok().as_deref(), Some(b"value".as_slice()));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn process_with_wrong_secret_is_ignored() {
    let configuration = Configuration::start(ephemeral_address()).expect("free port");
    configuration.publish("fleet", document(1));
    let handle = fleet::start(settings("e1", 1, &configuration)).await.expect("free port");
    let mut outsider = settings("u9", 9, &configuration);
    outsider.secret = b"other".as_slice().into();
    outsider.seeds.push(seed(&handle));

    let outsider = fleet::start(outsider).await.expect("free port");
    let socket = tokio::net::UdpSocket::bind(ephemeral_address()).await.expect("free port");
    socket.send_to(&[7; 900], handle.address()).await.expect("sent");

    wait_until("authentication failures", || handle.counters().unauthentic > 3).await;
    wait_until("first revision", || revision(&handle) == 1).await;
    assert!(handle.view().members.is_empty());
    assert!(outsider.view().members.is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_process_replaces_old_one() {
    let configuration = Configuration::start(ephemeral_address()).expect("free port");
    configuration.publish("fleet", document(1));
    let handles = start_fleet(&configuration).await;
    wait_until("members", || takes_work(&handles[0], "u1")).await;

    let mut restarted = settings("u1", 77, &configuration);
    restarted.seeds.push(seed(&handles[0]));
    let restarted = fleet::start(restarted).await.expect("free port");
    restarted.set_state(message::State::Serving);

    wait_until("replacement", || {
        let view = handles[0].view();
        let member = view.members.iter().find(|m| m.sender.name.as_str() == "u1");
        member.is_some_and(|m| m.sender.incarnation == id::Incarnation::new(77))
    })
    .await;
    wait_until("old process ignored", || handles[0].counters().superseded > 0).await;
    wait_until("new process in its place", || takes_work(&handles[0], "u1")).await;
}
