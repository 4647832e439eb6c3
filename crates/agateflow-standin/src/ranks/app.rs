//! HTTP interface of a rank, and its step and load loops.

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use volo_http::response::Response;

use super::fabric::Fabric;
use super::rank::{Command, Ran};
use crate::engine::Order;
use crate::host;
use crate::reply;

/// The HTTP interface of one rank.
pub struct App {
    fabric: Arc<Fabric>,
    rank: usize,
}

impl App {
    /// Starts the rank's loops in the current runtime.
    pub fn start(fabric: Arc<Fabric>, rank: usize) -> Self {
        fabric.reset(rank);
        tokio::spawn(load(Arc::clone(&fabric), rank));
        tokio::spawn(run(Arc::clone(&fabric), rank));
        Self { fabric, rank }
    }
}

impl host::App for App {
    async fn call(&self, request: Request<Bytes>) -> Response {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/orders") => self.order(request.body()),
            (&Method::GET, "/v1/rank") => {
                reply::json(StatusCode::OK, &self.fabric.status(self.rank))
            }
            (&Method::GET, "/v1/steps") => {
                let from = reply::query(request.uri(), "from").unwrap_or(0);
                reply::json(StatusCode::OK, &self.fabric.ran(self.rank, from))
            }
            (&Method::GET, "/v1/expert-load") => {
                reply::json(StatusCode::OK, &self.fabric.expert_load())
            }
            (&Method::GET, "/healthz") => reply::empty(StatusCode::OK),
            _ => reply::empty(StatusCode::NOT_FOUND),
        }
    }
}

impl App {
    fn order(&self, body: &[u8]) -> Response {
        let parsed = serde_json::from_slice::<Order>(body).and_then(|order| {
            let command: Command = serde_json::from_value(order.order.clone())?;
            Ok((order, command))
        });
        let (order, command) = match parsed {
            Ok(parsed) => parsed,
            Err(error) => return reply::error(StatusCode::BAD_REQUEST, error),
        };
        match self.fabric.accept(self.rank, order, command) {
            Ok(()) => reply::empty(StatusCode::OK),
            Err(fence) => reply::error(StatusCode::CONFLICT, format!("fence {fence} is newer")),
        }
    }
}

/// Loads missing experts one at a time.
async fn load(fabric: Arc<Fabric>, rank: usize) {
    let mut changes = fabric.changes();
    loop {
        changes.mark_unchanged();
        if let Some((expert, time)) = fabric.missing(rank) {
            tokio::time::sleep(time.duration()).await;
            fabric.load(rank, expert);
        } else if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Runs the steps.
async fn run(fabric: Arc<Fabric>, rank: usize) {
    let mut changes = fabric.changes();
    loop {
        changes.mark_unchanged();
        if let Some(ran) = fabric.begin(rank) {
            step(&fabric, rank, &ran).await;
        } else if changes.changed().await.is_err() {
            return;
        }
    }
}

async fn step(fabric: &Fabric, rank: usize, ran: &Ran) {
    tokio::time::sleep(ran.busy.duration()).await;
    // A step without work must not keep the others from running.
    tokio::task::yield_now().await;
    fabric.arrive(rank, ran.step);
    let mut changes = fabric.changes();
    loop {
        changes.mark_unchanged();
        let same = fabric.begin(rank).is_some_and(|now| now.members == ran.members);
        if !same || fabric.complete(rank, ran) || changes.changed().await.is_err() {
            return;
        }
    }
}
