//! Client of a load: sends one request and judges its answer.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Instant;

use agateflow::outcome;
use futures::StreamExt;
use http::{StatusCode, Uri};
use http_body_util::BodyStream;
use volo_http::body::{Body, BodyConversion};
use volo_http::client::Client;
use volo_http::response::Response;

use super::check::{self, Verdict};
use super::request::{self, Content, Request};
use crate::error::Error;

/// Where requests are sent.
#[derive(Clone, Debug)]
pub struct Target {
    /// Bases of the URLs of models.
    pub models: Arc<Pool>,
    /// Bases of the URLs of plain services.
    pub services: Arc<Pool>,
    /// Whether these are engines and services themselves, which state no outcome.
    pub direct: bool,
}

/// Bases of URLs, used in turn. They may change at any time.
#[derive(Debug)]
pub struct Pool {
    bases: RwLock<Vec<Uri>>,
    turn: AtomicUsize,
}

impl Pool {
    /// Creates a pool.
    pub fn new(bases: Vec<Uri>) -> Self {
        Self { bases: RwLock::new(bases), turn: AtomicUsize::new(0) }
    }

    /// Replaces the bases.
    pub fn set(&self, bases: Vec<Uri>) {
        *self.bases.write().unwrap_or_else(PoisonError::into_inner) = bases;
    }

    fn next(&self) -> Option<Uri> {
        let bases = self.bases.read().unwrap_or_else(PoisonError::into_inner);
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        bases.get(turn % bases.len().max(1)).cloned()
    }
}

/// What a request's caller saw.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The verdict on the answer.
    pub verdict: Verdict,
    /// Arrivals of parts of the answer: one for each event of a stream, one for a whole body.
    pub arrivals: Vec<Instant>,
    /// What was seen, if it is worth a line.
    pub note: Option<Box<str>>,
}

impl Seen {
    fn new(verdict: Verdict) -> Self {
        Self { verdict, arrivals: Vec::new(), note: None }
    }

    fn with_note(self, note: impl ToString) -> Self {
        Self { note: Some(note.to_string().into()), ..self }
    }

    /// A request that was not sent, or whose time ran out.
    pub fn without_answer(verdict: Verdict) -> Self {
        Self::new(verdict)
    }
}

/// Sends requests to a target.
#[derive(Clone)]
pub struct Sender {
    client: Client,
    target: Target,
}

impl Sender {
    /// Creates a sender.
    ///
    /// # Errors
    ///
    /// [`Error::Step`] if the HTTP client cannot be built.
    pub fn new(target: Target) -> Result<Self, Error> {
        let client = Client::builder().build().map_err(|e| Error::step("build client", e))?;
        Ok(Self { client, target })
    }

    /// Sends one request and judges its answer.
    pub async fn send(&self, request: &Request) -> Seen {
        let is_model = &*request.path == request::COMPLETIONS;
        let pool = if is_model { &self.target.models } else { &self.target.services };
        let Some(base) = pool.next() else {
            return Seen::new(Verdict::Unsent).with_note("no target");
        };
        let uri = format!("{}{}", base.to_string().trim_end_matches('/'), request.path);
        let mut builder = self.client.request(request.method.clone(), uri);
        builder.headers_mut().extend(request.headers.clone());
        match builder.data(request.body.clone()).send().await {
            Ok(response) => self.judge(request, response).await,
            Err(error) => Seen::new(Verdict::Cut).with_note(error),
        }
    }

    async fn judge(&self, request: &Request, response: Response) -> Seen {
        let header = response.headers().get(outcome::HEADER);
        let header = header.and_then(|value| value.to_str().ok()?.parse().ok());
        if response.status() != StatusCode::OK {
            return error(response, header).await;
        }
        let seen = match &request.expected {
            Content::Stream(answer) => stream(check::Stream::new(answer), response).await,
            Content::Whole(expected) => whole(expected, response).await,
        };
        let unstated = !self.target.direct && header != Some(outcome::Outcome::Ran);
        let is_stream = matches!(request.expected, Content::Stream(_));
        if seen.verdict == Verdict::Whole && unstated && !is_stream {
            return Seen { verdict: Verdict::Contradictory, ..seen }.with_note("no outcome header");
        }
        seen
    }
}

async fn error(response: Response, header: Option<outcome::Outcome>) -> Seen {
    let status = response.status();
    match response.into_body().into_bytes().await {
        Ok(body) => {
            let text = String::from_utf8_lossy(&body);
            Seen::new(check::error(header, &body)).with_note(format!("{status} {text}"))
        }
        Err(error) => Seen::new(Verdict::Cut).with_note(format!("{status} {error}")),
    }
}

async fn whole(expected: &[u8], response: Response) -> Seen {
    match response.into_body().into_bytes().await {
        Ok(body) => {
            Seen { arrivals: vec![Instant::now()], ..Seen::new(check::whole(expected, &body)) }
        }
        Err(error) => Seen::new(Verdict::Cut).with_note(error),
    }
}

async fn stream(mut check: check::Stream<'_>, response: Response) -> Seen {
    let mut frames = BodyStream::<Body>::new(response.into_body());
    let mut arrivals = Vec::new();
    let mut note = None;
    while let Some(frame) = frames.next().await {
        match frame {
            Ok(frame) => {
                let events = frame.data_ref().map_or(0, |data| check.push(data));
                let now = Instant::now();
                arrivals.extend((0..events).map(|_| now));
            }
            Err(error) => {
                note = Some(error.to_string().into());
                break;
            }
        }
    }
    Seen { verdict: check.finish(note.is_none()), arrivals, note }
}
