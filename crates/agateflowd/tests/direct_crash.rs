//! Requests that crash the upstreams that run them, sent through an entry over real sockets.

#![allow(clippy::unwrap_used)]

mod directenv;

use std::time::Duration;

use directenv::{CrashingServer, Fixture, Server, run_local};
use tokio::time;

/// Time until a crashed upstream listens again.
const DOWNTIME: Duration = Duration::from_millis(300);

/// Time between two requests, in which entries tell crashes apart.
const INTERVAL: Duration = Duration::from_millis(700);

async fn start(names: &[&str]) -> Vec<CrashingServer> {
    let mut servers = Vec::new();
    for name in names {
        servers.push(CrashingServer::start(name, "deadly", DOWNTIME).await);
    }
    servers
}

#[test]
fn prompt_part_shared_by_different_requests_crashes_three_upstreams_at_most() {
    run_local(async {
        let servers = start(&["a", "b", "c", "d", "e", "f"]).await;
        let all: Vec<&Server> = servers.iter().map(|crashing| &crashing.server).collect();
        let fixture = Fixture::start(&all);

        for id in 0..5 {
            let path = format!("/safe/{id}");
            fixture.call_with_parts(&path, &id.to_string(), "common deadly").await;
            time::sleep(INTERVAL).await;
        }
        let deadly = fixture.call_with_parts("/safe/8", "8", "common deadly").await;
        let sound = fixture.call_with_parts("/safe/9", "9", "common").await;

        let crashes: usize = servers.iter().map(|crashing| crashing.crashes.get()).sum();
        assert!(crashes <= 3, "{crashes} crashes");
        assert!(deadly.starts_with("HTTP/1.1 503") && deadly.contains("retry-after"), "{deadly}");
        assert!(sound.starts_with("HTTP/1.1 200"), "{sound}");
    });
}
