//! Response of an engine stand-in, a pure function of the request body.
//!
//! Every stand-in returns the same bytes for the same body, so a caller can check that a response is
//! complete and belongs to its request.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Output tokens of a request that states no `max_tokens`.
pub const DEFAULT_TOKENS: u64 = 16;

/// Maximum output tokens of a request.
pub const MAX_TOKENS: u64 = 32_768;

/// Last event of each stream.
pub const DONE: &str = "data: [DONE]\n\n";

const BYTES_PER_TOKEN: u64 = 4;
const CREATED_BASE: u64 = 1_700_000_000;
const CREATED_RANGE: u64 = 10_000_000;
const WORDS: [&str; 32] = [
    "sky", "dark", "glow", "lamp", "star", "moon", "dust", "haze", "rate", "dome", "north",
    "south", "clear", "cloud", "night", "field", "egg", "pasta", "depot", "order", "crate",
    "stock", "truck", "route", "note", "school", "ward", "grocer", "flour", "shelf", "pallet",
    "dock",
];

/// Why a body is not a chat-completions request.
#[derive(Debug, thiserror::Error)]
#[error("parse request: {0}")]
pub struct Error(#[from] serde_json::Error);

#[derive(Deserialize)]
struct Request {
    model: Box<str>,
    messages: Vec<serde_json::Value>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
}

/// The whole answer to one request.
#[derive(Clone, Debug)]
pub struct Answer {
    model: Box<str>,
    prompt: Box<str>,
    seed: u64,
    tokens: u64,
    limited: bool,
    stream: bool,
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u64,
    delta: Delta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Default, Serialize)]
#[serde(default)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Whole<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: [WholeChoice<'a>; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct WholeChoice<'a> {
    index: u64,
    message: Delta<'a>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl Answer {
    /// Computes the answer to a request's body.
    ///
    /// # Errors
    ///
    /// [`Error`] if the body is no chat-completions request.
    pub fn new(body: &[u8]) -> Result<Self, Error> {
        let request: Request = serde_json::from_slice(body)?;
        let messages = serde_json::to_vec(&request.messages)?;
        let seed = xxh3::xxh3_64_with_seed(&messages, xxh3::xxh3_64(request.model.as_bytes()));
        Ok(Self {
            prompt: prompt(&request.messages),
            seed,
            tokens: request.max_tokens.unwrap_or(DEFAULT_TOKENS).min(MAX_TOKENS),
            limited: request.max_tokens.is_some(),
            stream: request.stream,
            model: request.model,
        })
    }

    /// Whether the request asks for a stream.
    pub fn is_stream(&self) -> bool {
        self.stream
    }

    /// The model that the request names.
    pub fn model(&self) -> &str {
        &self.model
    }

    /// The text of the prompt: the contents of all messages, in order.
    pub fn prompt(&self) -> &str {
        &self.prompt
    }

    /// Tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        (self.prompt.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1)
    }

    /// Tokens of the output.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// The text of output token `index`, counted from 0.
    pub fn token(&self, index: u64) -> Box<str> {
        let hash = xxh3::xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        let word = WORDS[(hash % WORDS.len() as u64) as usize];
        format!("{word}{:x} ", (hash >> 32) & 0xfff).into()
    }

    /// The event of output token `index` in a stream.
    pub fn event(&self, index: u64) -> Bytes {
        let content = self.token(index);
        let role = (index == 0).then_some("assistant");
        self.chunk(Delta { role, content: Some(&content) }, None)
    }

    /// The event after the last token, with the finish reason.
    pub fn finish(&self) -> Bytes {
        self.chunk(Delta::default(), Some(self.reason()))
    }

    /// Number of events of the whole stream, the one of the end and [`DONE`] included.
    pub fn events(&self) -> u64 {
        self.tokens + 2
    }

    /// The whole stream, from output token `from` on.
    pub fn stream(&self, from: u64) -> Bytes {
        let mut body = Vec::new();
        for index in from..self.tokens {
            body.extend_from_slice(&self.event(index));
        }
        body.extend_from_slice(&self.finish());
        body.extend_from_slice(DONE.as_bytes());
        body.into()
    }

    /// The whole answer in one body.
    pub fn whole(&self) -> Bytes {
        let content: String = (0..self.tokens).map(|index| self.token(index)).collect();
        let whole = Whole {
            id: &self.id(),
            object: "chat.completion",
            created: self.created(),
            model: &self.model,
            choices: [WholeChoice {
                index: 0,
                message: Delta { role: Some("assistant"), content: Some(&content) },
                finish_reason: self.reason(),
            }],
            usage: Usage {
                prompt_tokens: self.prompt_tokens(),
                completion_tokens: self.tokens,
                total_tokens: self.prompt_tokens() + self.tokens,
            },
        };
        json(&whole).into()
    }

    /// The body that the request asks for, streamed or not.
    pub fn body(&self) -> Bytes {
        if self.stream { self.stream(0) } else { self.whole() }
    }

    fn id(&self) -> Box<str> {
        format!("chatcmpl-{:016x}", self.seed).into()
    }

    fn created(&self) -> u64 {
        CREATED_BASE + self.seed % CREATED_RANGE
    }

    fn reason(&self) -> &'static str {
        if self.limited { "length" } else { "stop" }
    }

    fn chunk(&self, delta: Delta<'_>, finish_reason: Option<&str>) -> Bytes {
        let chunk = Chunk {
            id: &self.id(),
            object: "chat.completion.chunk",
            created: self.created(),
            model: &self.model,
            choices: [Choice { index: 0, delta, finish_reason }],
        };
        let mut event = b"data: ".to_vec();
        event.extend_from_slice(&json(&chunk));
        event.extend_from_slice(b"\n\n");
        event.into()
    }
}

fn prompt(messages: &[serde_json::Value]) -> Box<str> {
    let mut text = String::new();
    for message in messages {
        match message.get("content") {
            Some(serde_json::Value::String(content)) => text.push_str(content),
            Some(content) => text.push_str(&content.to_string()),
            None => {}
        }
        text.push('\n');
    }
    text.into()
}

/// Serializes a value whose keys are all text, which cannot fail.
fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
