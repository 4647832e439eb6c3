//! Callers that send more than the machine can hold, on the path with upstream processes: each process lives, stays
//! within its memory and its descriptors, and an ordinary request is answered while they keep their connections.

#![allow(clippy::unwrap_used)]

mod testenv;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use agateflow_standin::crowd::{Crowd, Way};
use agateflow_standin::usage::{Usage, Watch};
use agateflowd::link;
use rstest::rstest;
use rustix::process::Signal;
use testenv::{Call, Daemon, Fleet, KEY, Plan};
use tokio::sync::{Mutex, MutexGuard};

/// Memory of a machine where the settings name none, in bytes.
const MEMORY_BYTES: u64 = 256 << 20;

/// Largest body where the settings name none, in bytes.
const BODY_BYTES: u64 = 4 << 20;

/// Callers in a crowd: their bodies of the largest size are 1.5 times the memory.
const CALLERS: usize = 100;

/// Descriptors of a process where a crowd takes descriptors, and the callers in it.
const MAX_DESCRIPTORS: u64 = 400;
const MANY_CALLERS: usize = 500;

/// Tokens of a stream whose events take twice the memory, for each caller.
const STREAM_TOKENS: u64 = 40_000;

/// Time for which a crowd stays once it has sent its bytes, so that the process reads them.
const STAY: Duration = Duration::from_secs(2);

/// Longest wait for an ordinary request to be answered, and for one try of it.
const PATIENCE: Duration = Duration::from_secs(20);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Lets one test run at a time: each fills the memory of its processes.
async fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::const_new(());
    ALONE.lock().await
}

fn plan() -> Plan {
    Plan::new().with_engines(1).with_children()
}

/// The request line and the headers of a request but for those of its body.
fn request(path: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\n")
}

/// Whether an ordinary request is served in the end.
async fn serves_ordinary_request(fleet: &Fleet) -> bool {
    let started = Instant::now();
    while started.elapsed() < PATIENCE {
        let uri = format!("http://{}/stations/7", fleet.callers(0));
        let asked = testenv::client().get(uri).header("authorization", format!("Bearer {KEY}"));
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, asked.send()).await;
        if answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status() == 200)) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}

/// Runs what blocks beside the tasks of the fleet.
async fn beside<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    tokio::task::spawn_blocking(work).await.unwrap()
}

fn watches(fleet: &Fleet) -> Vec<Watch> {
    let watch = |daemon: &Daemon| Watch::new(daemon.id(), daemon.listen().ip());
    fleet.entries.iter().chain(&fleet.upstreams).map(watch).collect()
}

/// Checks what must hold of each process, whatever callers do.
#[track_caller]
fn assert_bounded(fleet: &mut Fleet, watches: Vec<Watch>) {
    for daemon in fleet.entries.iter_mut().chain(&mut fleet.upstreams) {
        assert!(
            daemon.child.as_mut().unwrap().try_wait().unwrap().is_none(),
            "a process has ended"
        );
    }
    let peaks: Vec<Usage> = watches.into_iter().map(Watch::peak).collect();
    for peak in &peaks {
        assert!(peak.memory() <= MEMORY_BYTES, "{} MB: {peaks:?}", peak.memory() >> 20);
    }
}

#[rstest]
#[case::whole(Way::Whole)]
#[case::whole_unfinished(Way::WholeUnfinished)]
#[case::pieces_unfinished(Way::PiecesUnfinished)]
#[case::large_chunks(Way::LargeChunks)]
#[case::large_chunks_unfinished(Way::LargeChunksUnfinished)]
#[case::tiny_chunks(Way::TinyChunks)]
#[case::tiny_chunks_unfinished(Way::TinyChunksUnfinished)]
#[case::announced_far_over(Way::AnnouncedFarOver)]
#[case::sent_far_over(Way::SentFarOver)]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_stay_within_the_memory(#[case] way: Way) {
    let _alone = alone().await;
    let mut fleet = Fleet::start(plan()).await;
    let watches = watches(&fleet);
    let callers = fleet.callers(0);

    let crowd = beside(move || {
        let crowd = Crowd::send(callers, CALLERS, &request("/calibrations"), way.body(BODY_BYTES));
        thread::sleep(STAY);
        crowd
    })
    .await;
    let served_beside = serves_ordinary_request(&fleet).await;
    drop(crowd);
    let served_after = serves_ordinary_request(&fleet).await;

    assert_bounded(&mut fleet, watches);
    assert!(served_beside && served_after, "beside: {served_beside}, after: {served_after}");
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_are_not_read_stay_within_the_memory() {
    let _alone = alone().await;
    let mut fleet = Fleet::start(plan()).await;
    let watches = watches(&fleet);
    let callers = fleet.callers(0);
    let chat = Call::chat("report", STREAM_TOKENS, true);
    let head = request(&chat.path) + &format!("content-length: {}\r\n\r\n", chat.body.len());
    let bytes = [head.as_bytes(), &chat.body].concat();

    let crowd = beside(move || {
        let crowd = Crowd::connect(callers, CALLERS, &bytes);
        thread::sleep(STAY);
        crowd
    })
    .await;
    let served_beside = serves_ordinary_request(&fleet).await;
    drop(crowd);

    assert_bounded(&mut fleet, watches);
    assert!(served_beside);
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_holds_during_a_stop() {
    let _alone = alone().await;
    let mut fleet = Fleet::start(plan()).await;
    let watches = watches(&fleet);
    let callers = fleet.callers(0);
    let body = Way::WholeUnfinished.body(BODY_BYTES);
    let before =
        beside(move || Crowd::send(callers, CALLERS / 2, &request("/calibrations"), body)).await;

    fleet.entries[0].signal(Signal::TERM);
    let during =
        beside(move || Crowd::send(callers, CALLERS, &request("/calibrations"), body)).await;
    let ended = tokio::time::timeout(PATIENCE, fleet.entries[0].ended()).await;
    let peaks: Vec<Usage> = watches.into_iter().map(Watch::peak).collect();
    drop((before, during));

    assert_eq!(ended, Ok(true), "the entry did not end by itself");
    assert!(peaks.iter().all(|peak| peak.memory() <= MEMORY_BYTES), "{peaks:?}");
}

#[rstest]
#[case::idle("")]
#[case::heads_unfinished("POST /calibrations HTTP/1.1\r\nhost: h\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn connections_leave_descriptors_for_upstreams(#[case] bytes: &'static str) {
    let _alone = alone().await;
    let mut fleet = Fleet::start(plan().with_max_descriptors(MAX_DESCRIPTORS)).await;
    let watches = watches(&fleet);
    let callers = fleet.callers(0);

    let crowd = beside(move || Crowd::connect(callers, MANY_CALLERS, bytes.as_bytes())).await;
    let served_beside = serves_ordinary_request(&fleet).await;
    let status_beside = fleet.status(0).await.is_some();
    drop(crowd);

    assert_bounded(&mut fleet, watches);
    assert!(served_beside && status_beside, "served: {served_beside}, status: {status_beside}");
}

/// A port of a process beside that for callers.
#[derive(Clone, Copy, Debug)]
enum Port {
    EntryOperators,
    EntryControl,
    UpstreamOperators,
    UpstreamControl,
    UpstreamLink,
}

impl Port {
    fn address(self, fleet: &Fleet) -> SocketAddr {
        let (entry, upstream) = (&fleet.entries[0], &fleet.upstreams[1]);
        match self {
            Port::EntryOperators => entry.operators(),
            Port::EntryControl => entry.listen(),
            Port::UpstreamOperators => upstream.operators(),
            Port::UpstreamControl => upstream.listen(),
            Port::UpstreamLink => link::address(upstream.listen()),
        }
    }

    /// What a caller sends that announces much and stops short of it.
    fn message(self) -> Vec<u8> {
        let start: Vec<u8> = match self {
            Port::EntryOperators | Port::UpstreamOperators => {
                (request("/status") + "content-length: 4194304\r\n\r\n").into_bytes()
            }
            // A length as the protocol of the control port has it.
            Port::EntryControl | Port::UpstreamControl => (256_u32 << 10).to_be_bytes().to_vec(),
            // One segment of 4 MiB, in words.
            Port::UpstreamLink => {
                [0_u32, 1 << 19].iter().flat_map(|word| word.to_le_bytes()).collect()
            }
        };
        [start, vec![0; (BODY_BYTES as usize) - 1]].concat()
    }
}

#[rstest]
#[case(Port::EntryOperators)]
#[case(Port::EntryControl)]
#[case(Port::UpstreamOperators)]
#[case(Port::UpstreamControl)]
#[case(Port::UpstreamLink)]
#[tokio::test(flavor = "multi_thread")]
async fn crowd_at_another_port_leaves_descriptors_and_memory(#[case] port: Port) {
    let _alone = alone().await;
    let mut fleet = Fleet::start(plan().with_max_descriptors(MAX_DESCRIPTORS)).await;
    let watches = watches(&fleet);
    let address = port.address(&fleet);

    let crowd = beside(move || {
        let idle = Crowd::connect(address, MANY_CALLERS, b"");
        let bodies = Crowd::connect(address, CALLERS, &port.message());
        (idle, bodies)
    })
    .await;
    let served_beside = serves_ordinary_request(&fleet).await;
    drop(crowd);
    let status_after = fleet.status(0).await.is_some();

    assert_bounded(&mut fleet, watches);
    assert!(served_beside && status_after, "served: {served_beside}, status: {status_after}");
}

#[tokio::test(flavor = "multi_thread")]
async fn body_that_is_announced_over_the_limit_is_answered_413() {
    let _alone = alone().await;
    let fleet = Fleet::start(plan()).await;
    let callers = fleet.callers(0);
    let head = request("/calibrations") + "content-length: 1099511627776\r\n\r\n";

    let status = beside(move || {
        let mut caller = TcpStream::connect(callers).unwrap();
        caller.set_read_timeout(Some(PATIENCE)).unwrap();
        caller.write_all(head.as_bytes()).unwrap();
        caller.write_all(&[0; 4_096]).unwrap();
        let mut line = String::new();
        BufReader::new(caller).read_line(&mut line).unwrap();
        line
    })
    .await;

    assert!(status.starts_with("HTTP/1.1 413"), "{status}");
}
