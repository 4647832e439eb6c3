//! Refusals that a faulty upstream sends once more on a kept connection.

#![allow(clippy::unwrap_used)]

mod directenv;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use agateflow::direct::config::{Config, Kind, Route};
use agateflow::direct::directory::{Change, Revision, State};
use agateflow::id;
use directenv::{
    Fixture, Server, config, listing, ok_response, read_message, refusal_response, route, run_local,
};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::{task, time};

/// Time after a refusal in which the upstream counts as full.
const FULL_TIME: Duration = Duration::from_millis(105);

/// Delay of a response after the copy of an earlier refusal.
const RUN_TIME: Duration = Duration::from_millis(20);

/// When the copy is sent.
#[derive(Clone, Copy, PartialEq)]
enum Moment {
    /// Directly behind the refusal.
    WithRefusal,
    /// Where the answer to the next request is expected.
    AfterNextRequest,
}

fn refusal(status: u16, id: Option<&str>) -> String {
    let id = id.map(|id| format!("id: {id}\r\n")).unwrap_or_default();
    refusal_response().replace("503 No\r\n", &format!("{status} No\r\n{id}"))
}

/// Starts an upstream that refuses its first request, sends the refusal again on that connection,
/// and runs all other requests.
async fn start_repeating(refusal: String, moment: Moment) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server {
        vm: id::Vm::new("faulty").unwrap(),
        address,
        requests: Rc::default(),
        closed_connections: Rc::default(),
    };
    let requests = server.requests.clone();
    let refused = Rc::new(Cell::new(false));
    task::spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (requests, refused, refusal) = (requests.clone(), refused.clone(), refusal.clone());
            task::spawn_local(async move {
                if !refused.replace(true) {
                    read_message(&mut stream).await;
                    send(&mut stream, &refusal).await;
                    if moment == Moment::WithRefusal {
                        send(&mut stream, &refusal).await;
                    }
                    let Some(request) = read_message(&mut stream).await else { return };
                    requests.borrow_mut().push(request.clone());
                    if moment == Moment::AfterNextRequest {
                        send(&mut stream, &refusal).await;
                    }
                    time::sleep(RUN_TIME).await;
                    send(&mut stream, &ok_response(request_id(&request), "ran")).await;
                }
                while let Some(request) = read_message(&mut stream).await {
                    requests.borrow_mut().push(request.clone());
                    send(&mut stream, &ok_response(request_id(&request), "ran")).await;
                }
            });
        }
    });
    server
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.unwrap_or_default();
}

fn request_id(request: &str) -> &str {
    request.lines().find_map(|line| line.strip_prefix("id: ")).unwrap()
}

/// A configuration whose requests that run once may be sent to a second upstream if not run.
fn config_with_two_attempts() -> Config {
    let once = Route { attempts: 2, ..route("/once/", Kind::Once) };
    Config { routes: vec![once], ..config(2) }
}

#[rstest]
#[case::with_the_id_of_another_request(503, Some("1"), "2")]
#[case::with_the_id_of_the_same_request(503, Some("1"), "1")]
#[case::without_an_id(503, None, "2")]
#[case::misdirected_without_an_id(421, None, "2")]
#[case::misdirected_with_the_id_of_the_same_request(421, Some("1"), "1")]
fn copy_of_an_earlier_refusal_does_not_answer_a_request_that_runs(
    #[case] status: u16,
    #[case] copied_id: Option<&'static str>,
    #[case] id: &str,
    #[values(Moment::WithRefusal, Moment::AfterNextRequest)] moment: Moment,
) {
    run_local(async {
        let faulty = start_repeating(refusal(status, copied_id), moment).await;
        let other = Server::start_echoing("other", |id| ok_response(id, "ran twice")).await;
        let fixture = Fixture::start(&[&faulty]);
        fixture.entry.apply_config(config_with_two_attempts(), "test");
        let first = fixture.call("/once/", "1").await;
        time::sleep(FULL_TIME).await;
        let list_other = async {
            time::sleep(Duration::from_millis(1)).await;
            let change = Change::Listed(listing(&other, State::Ready));
            fixture.entry.apply_change(change, Revision::new(0, 2));
        };

        let (got, ()) = tokio::join!(fixture.call("/once/", id), list_other);

        assert!(first.starts_with("HTTP/1.1 503"), "{first}");
        let ran = faulty.request_count();
        assert!(ran == 0 || !got.starts_with("HTTP/1.1 503"), "{ran} ran, {got}");
        assert!(ran + other.request_count() <= 1, "{ran} and {} ran", other.request_count());
    });
}
