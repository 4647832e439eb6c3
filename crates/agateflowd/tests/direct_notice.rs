//! What upstreams say of themselves in their responses, through an entry over real sockets.

#![allow(clippy::unwrap_used)]

mod directenv;

use std::time::Duration;

use directenv::{Fixture, Server, ok_response, run_local};
use tokio::time;

/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(50);

/// Requests sent in the four seconds over which the limit is checked.
const REQUESTS: usize = 80;

/// Response of an upstream that accepts two requests a second.
fn limited_response(id: &str) -> String {
    ok_response(id, "x").replace("proof: p", "proof: p\r\nrate-limit: 2")
}

#[test]
fn upstream_that_names_a_rate_limit_gets_no_more_than_one_and_a_half_times_that() {
    run_local(async {
        let limited = Server::start_echoing("limited", limited_response).await;
        let free = Server::start_echoing("free", |id| ok_response(id, "x")).await;
        let fixture = Fixture::start(&[&limited, &free]);
        for id in 0..4 {
            fixture.call("/safe/", &id.to_string()).await;
        }
        time::sleep(Duration::from_millis(500)).await;
        let before = limited.request_count();

        for id in 0..REQUESTS {
            let got = fixture.call("/safe/", &id.to_string()).await;
            assert!(got.starts_with("HTTP/1.1 200"), "{got}");
            time::sleep(INTERVAL).await;
        }

        let count = limited.request_count() - before;
        assert!(count <= 17, "{count} requests in 4 s");
    });
}
