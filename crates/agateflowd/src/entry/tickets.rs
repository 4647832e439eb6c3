//! Tickets for calls that may not be repeated, issued by the upstream process that will run them.

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
use crate::entry::{Shared, pick};
use crate::link::client;

/// Path at which callers ask for tickets.
pub const PATH: &str = "/agateflow/v1/tickets";

/// Most tickets of one question.
const MAX_COUNT: u16 = 1_000;

/// Upstream processes asked before a caller is refused.
const TRIES: usize = 3;

/// Longest wait for one upstream process.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

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
struct Answer {
    tickets: Vec<String>,
    life_ms: u64,
}

/// Answers a caller of `team` that asks for tickets.
///
/// # Errors
///
/// A 4xx problem for a bad question, a 503 problem if no upstream process answers. Nothing ran.
pub async fn answer(
    shared: &Arc<Shared>,
    fleet: &config::Fleet,
    team: &config::Team,
    body: &Bytes,
) -> Result<Response, Problem> {
    let question = read(team, body)?;
    let route = fleet.routes.iter().find(|route| route.name == question.route);
    let route = route.ok_or_else(|| bad(format!("no route {}", question.route)))?;
    let target = Target::Service(route.service.clone());
    let mut tried = Vec::new();
    while tried.len() < TRIES {
        let Some(link) = pick::any(shared, &target, &tried) else { break };
        tried.push(link.peer.vm.clone());
        if let Some(reply) = ask(shared, &link, team, question.count).await {
            return Ok(respond(&reply));
        }
    }
    let detail = format!("no upstream of service {} is available", route.service);
    Err(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, detail))
}

fn read(team: &config::Team, body: &Bytes) -> Result<Question, Problem> {
    let question: Question = serde_json::from_slice(body).map_err(|e| bad(format!("body: {e}")))?;
    if question.count == 0 || question.count > MAX_COUNT {
        return Err(bad(format!("count: expected 1 to {MAX_COUNT}")));
    }
    if !team.routes.contains(&question.route) {
        let detail = format!("team {} may not use route {}", team.name, question.route);
        return Err(Problem::not_run(StatusCode::FORBIDDEN, detail));
    }
    Ok(question)
}

fn bad(detail: String) -> Problem {
    Problem::not_run(StatusCode::BAD_REQUEST, detail)
}

async fn ask(
    shared: &Shared,
    link: &client::Link,
    team: &config::Team,
    count: u16,
) -> Option<frame::TicketReply> {
    let number = shared.requests.fetch_add(1, Ordering::Relaxed);
    let id = id::Attempt::new(shared.identity.incarnation, number);
    let (sender, mut events) = mpsc::unbounded_channel();
    let _subscription = link.subscribe(id, sender);
    let call = frame::TicketCall { id, team: team.name.clone(), count };
    if !link.try_send(wire::Frame::TicketCall(call)) {
        return None;
    }
    match time::timeout(ANSWER_TIMEOUT, events.recv()).await {
        Ok(Some(client::Event::Frame(_, wire::Frame::TicketReply(reply)))) => Some(reply),
        _ => None,
    }
}

fn respond(reply: &frame::TicketReply) -> Response {
    let tickets = reply.tickets.iter().map(hex::encode).collect();
    let answer = Answer { tickets, life_ms: reply.lifetime.get() };
    let mut response = Response::new(Body::from(serde_json::to_vec(&answer).unwrap_or_default()));
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
