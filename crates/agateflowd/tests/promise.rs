//! Statuses that promise that a call did not run, in answers to calls that a plain service took, with
//! a running fleet.

#![allow(clippy::unwrap_used)]

mod testenv;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rstest::rstest;
use testenv::{Call, Fleet, Plan};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Statuses that promise that the call did not run and will not.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Path of calls that may run once, and of calls that may be repeated.
const PATHS: [(&str, &str); 2] = [("POST", "/calibrations"), ("GET", "/stations/7")];

/// How a connection ends after an answer.
#[derive(Clone, Copy, Debug)]
enum End {
    Kept,
    Closed,
    Reset,
}

/// A plain service that takes each call and sends given bytes.
struct Scripted {
    address: SocketAddr,
    taken: Arc<AtomicUsize>,
}

impl Scripted {
    async fn start(answer: &str, end: End) -> Self {
        Self::start_with(answer, usize::MAX, end).await
    }

    /// Sends nothing to the first call, and one byte more of the answer to each later one.
    async fn start_growing(answer: &str, end: End) -> Self {
        Self::start_with(answer, 0, end).await
    }

    async fn start_with(answer: &str, first_length: usize, end: End) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let taken = Arc::new(AtomicUsize::new(0));
        let (answer, count) = (answer.to_owned(), taken.clone());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let length = first_length.saturating_add(count.load(Ordering::Relaxed));
                let sent = answer[..length.min(answer.len())].to_owned();
                tokio::spawn(answer_calls(stream, sent, end, count.clone()));
            }
        });
        Self { address, taken }
    }

    fn taken(&self) -> usize {
        self.taken.load(Ordering::Relaxed)
    }
}

async fn answer_calls(mut stream: TcpStream, answer: String, end: End, taken: Arc<AtomicUsize>) {
    let mut buffer = [0; 16_384];
    while matches!(stream.read(&mut buffer).await, Ok(size) if size > 0) {
        taken.fetch_add(1, Ordering::Relaxed);
        stream.write_all(answer.as_bytes()).await.unwrap_or_default();
        tokio::time::sleep(Duration::from_millis(30)).await;
        match end {
            End::Kept => {}
            End::Closed => return,
            End::Reset => {
                let socket = socket2::SockRef::from(&stream);
                return socket.set_linger(Some(Duration::ZERO)).unwrap();
            }
        }
    }
}

async fn start_fleet(service: &Scripted) -> Fleet {
    Fleet::start(Plan::new().with_engines(0).with_service_address(service.address)).await
}

fn call((method, path): (&'static str, &str)) -> Call {
    let body = if method == "POST" { "sensor 7: offset 0.3" } else { "" };
    Call::new(method, path, body).with_header("agateflow-timeout-ms", "1500")
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn own_error_of_a_service_promises_nothing(
    #[values(408, 421, 429, 503)] status: u16,
    #[values("", "retry-after: 1\r\n")] line: &str,
) {
    let answer = format!("HTTP/1.1 {status} X\r\n{line}content-length: 4\r\n\r\nbody");
    for target in PATHS {
        let service = Scripted::start(&answer, End::Kept).await;
        let fleet = start_fleet(&service).await;

        let response = fleet.send(0, call(target)).await;

        assert_eq!(service.taken(), 1, "{target:?}");
        assert_eq!(testenv::outcome(&response).as_deref(), Some("unknown"), "{target:?}");
        assert_eq!(response.status().as_u16(), 502, "{target:?}");
    }
}

#[rstest]
#[case::nothing("")]
#[case::status("HTTP/1.1 503 X\r\n")]
#[case::head("HTTP/1.1 200 X\r\ncontent-length: 4\r\n")]
#[case::refused_body("HTTP/1.1 503 X\r\ncontent-length: 4\r\n\r\nbo")]
#[case::chunk("HTTP/1.1 503 X\r\ntransfer-encoding: chunked\r\n\r\n2\r\nbo\r\n")]
#[case::unframed("HTTP/1.1 503 X\r\n\r\nbo")]
#[tokio::test(flavor = "multi_thread")]
async fn end_of_a_service_that_took_a_call_promises_nothing(
    #[case] sent: &str,
    #[values(End::Closed, End::Reset, End::Kept)] end: End,
) {
    for target in PATHS {
        let service = Scripted::start(sent, end).await;
        let fleet = start_fleet(&service).await;

        let response = fleet.send(0, call(target)).await;

        let status = response.status().as_u16();
        assert!(!PROMISES.contains(&status), "{target:?} {status}");
        assert_eq!(testenv::outcome(&response).as_deref(), Some("unknown"), "{target:?}");
        assert_eq!(service.taken(), 1, "{target:?}");
    }
}

#[rstest]
#[case::with_a_length("HTTP/1.1 200 X\r\ncontent-length: 4\r\n\r\nbody")]
#[case::in_chunks("HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_of_a_service_that_stops_at_any_byte_does_not_look_complete(
    #[case] answer: &str,
    #[values(End::Closed, End::Reset)] end: End,
) {
    let service = Scripted::start_growing(answer, end).await;
    let fleet = start_fleet(&service).await;
    for length in 0..answer.len() {
        let response = fleet.send(0, call(PATHS[0])).await;

        let is_success = response.status().is_success();
        let is_whole = testenv::whole(response).await.is_some();
        assert!(!is_success || !is_whole, "{length} bytes");
    }
    let whole = fleet.send(0, call(PATHS[0])).await;
    assert!(matches!(end, End::Reset) || whole.status().is_success(), "{}", whole.status());
}

#[tokio::test(flavor = "multi_thread")]
async fn call_that_reached_no_service_is_refused() {
    let service = Scripted::start("", End::Kept).await;
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let fleet = start_fleet(&Scripted { address: closed, ..service }).await;

    let response = fleet.send(0, call(PATHS[0])).await;

    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(testenv::outcome(&response).as_deref(), Some("not-run"));
}

/// What a service sends without a final status is no answer to a call, which may have run.
#[rstest]
#[case("000")]
#[case("101")]
#[case("600")]
#[case("999")]
#[tokio::test(flavor = "multi_thread")]
async fn line_without_a_final_status_is_no_answer(#[case] status: &str) {
    let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nno");
    let service = Scripted::start(&answer, End::Closed).await;
    let fleet = start_fleet(&service).await;

    let response = fleet.send(0, Call::new("POST", "/calibrations", "sensor 7")).await;

    assert_eq!(response.status(), 502);
    assert_eq!(testenv::outcome(&response).as_deref(), Some("unknown"));
}
