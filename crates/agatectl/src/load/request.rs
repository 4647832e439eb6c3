//! Requests of a load, each with a content of its own.

use agateflow_standin::answer;
use agateflow_standin::service;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use super::mix;
use super::schedule::Start;
use crate::error::Error;

/// Path of chat completions.
pub const COMPLETIONS: &str = "/v1/chat/completions";
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const FILLER: &str = "the meter on the roof saw a brighter sky than the night before and asks why ";

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of its kind in the mix.
    pub kind: usize,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: Box<str>,
    /// Headers, the key of its team among them.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// What it must be answered with.
    pub expected: Content,
}

/// The answer that belongs to a request.
#[derive(Clone, Debug)]
pub enum Content {
    /// A stream of events.
    Stream(answer::Answer),
    /// One body.
    Whole(Bytes),
}

impl Request {
    /// Draws the request of `start` from the mix. `run` names the load among others.
    ///
    /// # Errors
    ///
    /// [`Error::Step`] if the mix contains an invalid method, path or header.
    pub fn new(mix: &mix::Mix, run: u64, start: Start) -> Result<Self, Error> {
        let mut rng = Pcg64Mcg::seed_from_u64(start.seed);
        let index = mix.draw(&mut rng);
        let kind = &mix.kinds[index];
        let name = format!("{run}-{}", start.number);
        let mut request = match &kind.call {
            mix::Call::Model { .. } => completion(&kind.call, &name, &mut rng)?,
            mix::Call::Service { .. } => call(&kind.call, &name, &mut rng)?,
        };
        request.kind = index;
        if let Some(key) = kind.draw_key(&mut rng) {
            let value = header_value(&format!("Bearer {key}"))?;
            request.headers.insert(header::AUTHORIZATION, value);
        }
        Ok(request)
    }
}

fn completion(call: &mix::Call, name: &str, rng: &mut Pcg64Mcg) -> Result<Request, Error> {
    let mix::Call::Model { model, streamed, prompt_bytes, output_tokens, prefixes } = call else {
        return Err(Error::step("draw request", "no call of a model"));
    };
    let body = json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt(name, *prompt_bytes, *prefixes, rng) }],
        "max_tokens": output_tokens.draw(rng),
        "stream": streamed,
    });
    let body = Bytes::from(body.to_string());
    let answer = answer::Answer::new(&body).map_err(|e| Error::step("draw request", e))?;
    let expected = if *streamed { Content::Stream(answer) } else { Content::Whole(answer.whole()) };
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let path = COMPLETIONS.into();
    Ok(Request { kind: 0, method: Method::POST, path, headers, body, expected })
}

fn prompt(name: &str, size: mix::Range, prefixes: u64, rng: &mut Pcg64Mcg) -> String {
    let size = size.draw(rng) as usize;
    let mut prompt = String::new();
    if prefixes > 0 {
        prompt.push_str(&format!("document {} ", rng.random_range(0..prefixes)));
        fill(&mut prompt, size / 2);
    }
    prompt.push_str(&format!("request {name} "));
    fill(&mut prompt, size);
    prompt
}

fn fill(text: &mut String, size: usize) {
    while text.len() < size {
        let rest = FILLER.len().min(size - text.len());
        text.push_str(&FILLER[..rest]);
    }
}

fn call(call: &mix::Call, name: &str, rng: &mut Pcg64Mcg) -> Result<Request, Error> {
    let mix::Call::Service { method, path, body_bytes, idempotency_key, .. } = call else {
        return Err(Error::step("draw request", "no call of a service"));
    };
    let method =
        Method::from_bytes(method.as_bytes()).map_err(|e| Error::step("draw request", e))?;
    let path = path.replace("{n}", name);
    let size = body_bytes.draw(rng) as usize;
    let mut body = String::new();
    if body_bytes.max > 0 {
        body.push_str(&format!("request {name} "));
        fill(&mut body, size);
    }
    let mut headers = HeaderMap::new();
    if *idempotency_key {
        headers.insert(IDEMPOTENCY_KEY, header_value(&format!("load-{name}"))?);
    }
    let body = Bytes::from(body);
    let expected = Content::Whole(service::answer(&method, &path, &body));
    Ok(Request { kind: 0, method, path: path.into(), headers, body, expected })
}

fn header_value(text: &str) -> Result<HeaderValue, Error> {
    let mut value = HeaderValue::from_str(text).map_err(|e| Error::step("draw request", e))?;
    value.set_sensitive(true);
    Ok(value)
}
