//! Fixtures: the tool's binary, files and a scripted server.

#![allow(clippy::unwrap_used, dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

use agateflow_standin::answer::Answer;
use agateflow_standin::host;
use bytes::Bytes;
use http::{Request, StatusCode};
use volo_http::body::Body;
use volo_http::response::Response;

pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub fn agatectl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_agatectl")).args(arguments).output().unwrap()
}

pub fn json(output: &Output) -> serde_json::Value {
    serde_json::from_slice(&output.stdout).unwrap()
}

pub fn url(address: SocketAddr) -> String {
    format!("http://{address}")
}

/// Writes a file of the running test's own.
pub fn file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

/// Response of the scripted server to a request, given the correct one.
pub type Reply = fn(&Answer) -> Response;

struct App {
    reply: Reply,
}

impl host::App for App {
    async fn call(&self, request: Request<Bytes>) -> Response {
        (self.reply)(&Answer::new(request.body()).unwrap())
    }
}

pub fn server(reply: Reply) -> host::Host {
    host::Host::start(any_port(), move || App { reply }).unwrap()
}

pub fn response(status: StatusCode, outcome: &str, body: impl Into<Bytes>) -> Response {
    let mut response = Response::new(Body::from(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert("agateflow-outcome", outcome.parse().unwrap());
    response
}
