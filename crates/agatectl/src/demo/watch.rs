//! Reads the operators' pages of a process.

use std::time::Duration;

use http::StatusCode;
use serde::Deserialize;
use volo_http::body::BodyConversion;
use volo_http::client::Client;

use super::process::Process;

/// Time for a page to answer.
const PAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between looks.
const POLL: Duration = Duration::from_millis(20);

#[derive(Deserialize)]
struct Status {
    revision: u64,
}

async fn page(process: &Process, path: &str) -> Option<(StatusCode, bytes::Bytes)> {
    let address = process.operators()?;
    let answer = async {
        let client: Client = Client::builder().build().ok()?;
        let response = client.get(format!("http://{address}{path}")).send().await.ok()?;
        let status = response.status();
        Some((status, response.into_body().into_bytes().await.ok()?))
    };
    tokio::time::timeout(PAGE_TIMEOUT, answer).await.ok()?
}

/// Whether the process is healthy.
pub async fn is_healthy(process: &Process) -> bool {
    matches!(page(process, "/healthz").await, Some((StatusCode::OK, _)))
}

/// Waits until the process is ready.
pub async fn ready(process: &Process) {
    while !matches!(page(process, "/readyz").await, Some((StatusCode::OK, _))) {
        tokio::time::sleep(POLL).await;
    }
}

/// Waits until the process has a revision in force, or a later one.
pub async fn revision(process: &Process, revision: u64) {
    while in_force(process).await.is_none_or(|in_force| in_force < revision) {
        tokio::time::sleep(POLL).await;
    }
}

async fn in_force(process: &Process) -> Option<u64> {
    let (_, body) = page(process, "/status").await?;
    let status: Status = serde_json::from_slice(&body).ok()?;
    Some(status.revision)
}
