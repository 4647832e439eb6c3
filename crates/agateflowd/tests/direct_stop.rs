//! Planned stops of an entry, whose process ends when its shutdown does.

#![allow(clippy::unwrap_used)]

mod directenv;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use agateflow::unit::Millis;
use agateflowd::direct::entry::Options;
use agateflowd::log;
use directenv::{Action, Fixture, Server, get, ok_response, options, run_local};
use rstest::rstest;
use tokio::task::LocalSet;
use tokio::time;

const GRACE: Millis = Millis::new(5_000);

/// Shutdowns begin so long after their callers do.
const SHUTDOWN_AFTER: Duration = Duration::from_millis(100);

/// When a caller connects just before the listener closes, 3 s into the shutdown.
const LATE_CONNECT_AFTER: Duration = Duration::from_millis(3_000);

/// When it sends its request after that, still within the time of a first request.
const LATE_SEND_AFTER: Duration = Duration::from_millis(3_350);

/// What a caller on a thread of its own sends, from the start of the shutdown on.
#[derive(Clone)]
struct Caller {
    request: String,
    connect_after: Duration,
    send_after: Duration,
    /// Pause after each part that is read.
    pause: Duration,
}

/// Bytes that a caller reads at a time.
const PART_BYTES: usize = 64 << 10;

impl Caller {
    fn new(request: String) -> Self {
        let (connect_after, send_after) = (Duration::ZERO, Duration::ZERO);
        Self { request, connect_after, send_after, pause: Duration::ZERO }
    }

    /// Connects at once and sends the request later.
    fn with_send_after(self, send_after: Duration) -> Self {
        Self { send_after, ..self }
    }

    fn with_connect_after(self, connect_after: Duration) -> Self {
        Self { connect_after, ..self }
    }

    fn with_pause(self, pause: Duration) -> Self {
        Self { pause, ..self }
    }

    fn spawn(self, address: SocketAddr) -> JoinHandle<Vec<u8>> {
        let start = Instant::now();
        thread::spawn(move || {
            thread::sleep(self.connect_after);
            let mut stream = TcpStream::connect(address).unwrap();
            socket2::SockRef::from(&stream).set_recv_buffer_size(16 << 10).unwrap();
            thread::sleep(self.send_after.saturating_sub(start.elapsed()));
            stream.write_all(self.request.as_bytes()).unwrap();
            let (mut all, mut part) = (Vec::new(), vec![0; PART_BYTES]);
            // A cut answer ends with an error; the bytes before it count.
            while let Ok(size) = stream.read(&mut part) {
                if size == 0 {
                    break;
                }
                all.extend_from_slice(&part[..size]);
                thread::sleep(self.pause);
            }
            all
        })
    }
}

/// Shuts an entry down beside `caller`, and returns what the caller got by the end of its connection.
/// All tasks of the entry end with the shutdown, as with its process.
fn stop_beside(caller: Caller, upstream: &[Action], grace: Millis) -> (String, usize) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let tasks = LocalSet::new();
    let (called, requests) = tasks.block_on(&runtime, async {
        let upstream = Server::start("u", upstream.to_vec()).await;
        let options = Options { grace_period: grace, ..options() };
        let fixture = Fixture::start_entry(&[&upstream], options, log::discard());
        let called = caller.spawn(fixture.callers);
        time::sleep(SHUTDOWN_AFTER).await;
        fixture.shut_down().await;
        (called, upstream.request_count())
    });
    drop(tasks);
    drop(runtime);
    (String::from_utf8_lossy(&called.join().unwrap()).into(), requests)
}

#[test]
fn answer_that_a_slow_caller_reads_is_sent_whole() {
    const ANSWER_BYTES: usize = 7 << 20;
    let answer = ok_response("1", &"x".repeat(ANSWER_BYTES));
    let caller = Caller::new(get("/once/", "1")).with_pause(Duration::from_millis(30));

    let (got, _) = stop_beside(caller, &[Action::Send(answer)], Millis::new(8_000));

    let body = got.split_once("\r\n\r\n").map_or(0, |(_, body)| body.len());
    assert_eq!(body, ANSWER_BYTES);
}

#[test]
fn answer_that_is_read_for_longer_than_the_idle_timeout_is_sent_whole() {
    const ANSWER_BYTES: usize = 8 << 20;
    run_local(async {
        let answer = ok_response("1", &"x".repeat(ANSWER_BYTES - 100));
        let upstream = Server::start("u", vec![Action::Send(answer)]).await;
        let fixture = Fixture::start(&[&upstream]);
        let caller = Caller::new(get("/once/", "1")).with_pause(Duration::from_millis(30));
        let called = caller.spawn(fixture.callers);

        let got = tokio::task::spawn_blocking(|| called.join().unwrap()).await.unwrap();

        let body =
            got.windows(4).position(|bytes| bytes == b"\r\n\r\n").map(|end| got.len() - end - 4);
        assert_eq!(body, Some(ANSWER_BYTES - 100));
    });
}

#[rstest]
#[case::new_connection(LATE_CONNECT_AFTER)]
#[case::kept_connection(Duration::from_millis(2_500))]
fn late_request_that_may_outlast_the_grace_is_refused(
    #[case] connect_after: Duration,
    #[values("/once/", "/stream/")] path: &str,
) {
    let caller = Caller::new(get(path, "1"))
        .with_connect_after(connect_after)
        .with_send_after(LATE_SEND_AFTER);

    let (got, requests) = stop_beside(caller, &[Action::SendNothing], GRACE);

    assert_eq!(requests, 0, "passed on");
    let refused = got.starts_with("HTTP/1.1 503") && got.contains("retry-after");
    assert!(refused || (got.is_empty() && connect_after < LATE_CONNECT_AFTER), "{got}");
}

#[test]
fn late_request_that_ends_within_the_grace_is_served() {
    let request = get("/once/", "1").replace("key: k\r\n", "key: k\r\ntime: 900\r\n");
    let caller = Caller::new(request)
        .with_connect_after(LATE_CONNECT_AFTER)
        .with_send_after(LATE_SEND_AFTER);

    let (got, _) = stop_beside(caller, &[Action::Send(ok_response("1", "whole"))], GRACE);

    assert!(got.ends_with("whole"), "{got}");
}

#[rstest]
#[case::that_may_run_once("/once/")]
#[case::stream_without_an_event("/stream/")]
fn request_in_progress_at_the_end_of_the_grace_gets_its_final_answer(#[case] path: &str) {
    let caller = Caller::new(get(path, "1"))
        .with_connect_after(Duration::from_millis(2_400))
        .with_send_after(Duration::from_millis(2_900));

    let (got, requests) = stop_beside(caller, &[Action::SendNothing], Millis::new(4_500));

    assert_eq!(requests, 1);
    assert!(got.starts_with("HTTP/1.1 504"), "{got}");
}
