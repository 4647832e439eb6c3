//! Endpoint for tickets of calls that may not be repeated; the upstream that runs a call issues it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use agateflow::config;
use agateflow::id;
use agateflow::wire;
use agateflow::wire::frame;
use bytes::Bytes;
use http::{StatusCode, header};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::entry::call::Target;
use crate::entry::problem::Problem;
use crate::entry::{Shared, balancer};
use crate::link::client;

/// Path of the endpoint.
pub const PATH: &str = "/agateflow/v1/tickets";

/// Maximum number of tickets per request.
const MAX_COUNT: u16 = 1_000;

/// Maximum number of upstream processes to try per request.
const MAX_UPSTREAMS: usize = 3;

/// How long to wait for the reply of one upstream process.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Question {
    route: id::Route,
    #[serde(default = "one")]
    count: u16,
}

const fn one() -> u16 {
    1
}

#[derive(Serialize)]
struct Document {
    tickets: Vec<String>,
    life_ms: u64,
}

/// Handles a request of `team` for tickets.
///
/// # Errors
///
/// A 4xx problem for an invalid request, a 503 problem if no upstream process replies. Nothing ran.
pub async fn issue(
    shared: &Arc<Shared>,
    fleet: &config::Fleet,
    team: &config::Team,
    body: &Bytes,
) -> Result<Response, Problem> {
    let request = parse_request(team, body)?;
    let route = fleet.routes.iter().find(|route| route.name == request.route);
    let route = route.ok_or_else(|| bad_request(format!("no route {}", request.route)))?;
    let target = Target::Service(route.service.clone());
    let mut tried = Vec::new();
    while tried.len() < MAX_UPSTREAMS {
        let Some(link) = balancer::choose_for_target(shared, &target, &tried) else { break };
        tried.push(link.peer.vm.clone());
        if let Some(reply) = request_from(shared, &link, team, request.count).await {
            return Ok(build_response(&reply));
        }
    }
    let detail = format!("no upstream of service {} is available", route.service);
    Err(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, detail))
}

fn parse_request(team: &config::Team, body: &Bytes) -> Result<Question, Problem> {
    let request: Question =
        serde_json::from_slice(body).map_err(|e| bad_request(format!("body: {e}")))?;
    if request.count == 0 || request.count > MAX_COUNT {
        return Err(bad_request(format!("count: expected 1 to {MAX_COUNT}")));
    }
    if !team.routes.contains(&request.route) {
        let detail = format!("team {} may not use route {}", team.name, request.route);
        return Err(Problem::not_run(StatusCode::FORBIDDEN, detail));
    }
    Ok(request)
}

fn bad_request(detail: String) -> Problem {
    Problem::not_run(StatusCode::BAD_REQUEST, detail)
}

async fn request_from(
    shared: &Shared,
    link: &client::Link,
    team: &config::Team,
    count: u16,
) -> Option<frame::TicketReply> {
    let number = shared.request_counter.fetch_add(1, Ordering::Relaxed);
    let id = id::Attempt::new(shared.identity.incarnation, number);
    let (sender, mut events) = mpsc::unbounded_channel();
    let _subscription = link.subscribe(id, sender);
    let call = frame::TicketCall { id, team: team.name.clone(), count };
    if !link.try_send(wire::Frame::TicketCall(call)) {
        return None;
    }
    match time::timeout(REPLY_TIMEOUT, events.recv()).await {
        Ok(Some(client::Event::Frame(_, wire::Frame::TicketReply(reply)))) => Some(reply),
        _ => None,
    }
}

fn build_response(reply: &frame::TicketReply) -> Response {
    let tickets = reply.tickets.iter().map(hex::encode).collect();
    let document = Document { tickets, life_ms: reply.lifetime.get() };
    let mut response = Response::new(Body::from(serde_json::to_vec(&document).unwrap_or_default()));
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
