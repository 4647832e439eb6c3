//! Mix of a load: kinds of requests with their weights, teams and sizes.

use rand::Rng;
use serde::{Deserialize, Serialize};

/// Why a mix cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is no mix.
    #[error("{0}")]
    Syntax(#[from] serde_json::Error),
    /// A list that must have an entry of positive weight has none.
    #[error("{0} have no positive weight")]
    Weight(Box<str>),
    /// A range ends before it begins, or goes beyond what an engine takes.
    #[error("range {0}..{1} is not within 0..{MAX_SIZE}")]
    Range(u64, u64),
    /// A path or method is not valid in a request.
    #[error("{0:?} is not a path or method")]
    Text(Box<str>),
}

/// Largest size or count in a mix.
const MAX_SIZE: u64 = 1 << 20;

/// Kinds of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// The kinds.
    pub kinds: Vec<Kind>,
}

/// One kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name in results.
    pub name: Box<str>,
    /// Its share among the kinds.
    pub weight: u32,
    /// Teams that send it.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// What is sent.
    pub call: Call,
}

/// A team by its bearer key.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The key.
    pub key: Box<str>,
    /// The team's share among the teams of the kind.
    pub weight: u32,
}

impl std::fmt::Debug for Team {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Team {{ weight: {} }}", self.weight)
    }
}

/// What requests of a kind ask for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "to", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Call {
    /// A chat completion.
    Model {
        /// The model.
        model: Box<str>,
        /// Whether the answer is streamed.
        streamed: bool,
        /// Size of the prompt, in bytes.
        prompt_bytes: Range,
        /// Tokens of the output.
        output_tokens: Range,
        /// Number of texts, half as long as the prompt, with which prompts begin.
        #[serde(default)]
        prefixes: u64,
    },
    /// A call of a plain service.
    Service {
        /// The method.
        method: Box<str>,
        /// The path, in which `{n}` is replaced by the number of the request.
        path: Box<str>,
        /// Size of the body, in bytes. A small body still names the request.
        body_bytes: Range,
        /// Whether the call may run more than once.
        repeatable: bool,
        /// Whether the request carries an idempotency key.
        #[serde(default)]
        idempotency_key: bool,
    },
}

/// Sizes from `min` to `max`, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// Smallest size.
    pub min: u64,
    /// Largest size.
    pub max: u64,
}

impl Range {
    /// Creates a range.
    pub const fn new(min: u64, max: u64) -> Self {
        Self { min, max }
    }

    /// Draws a size.
    pub fn draw(self, rng: &mut impl Rng) -> u64 {
        rng.random_range(self.min..=self.max)
    }

    fn check(self) -> Result<(), Error> {
        let good = self.min <= self.max && self.max <= MAX_SIZE;
        if good { Ok(()) } else { Err(Error::Range(self.min, self.max)) }
    }
}

impl Default for Mix {
    fn default() -> Self {
        Self::new("noite", &[])
    }
}

impl Mix {
    /// Creates a mix of streamed and whole answers of `model`, lookups and registrations.
    pub fn new(model: &str, teams: &[Team]) -> Self {
        let completion = |streamed, min, max| Call::Model {
            model: model.into(),
            streamed,
            prompt_bytes: Range::new(400, 4_000),
            output_tokens: Range::new(min, max),
            prefixes: 8,
        };
        let service = |method: &str, path: &str, repeatable, body_bytes| Call::Service {
            method: method.into(),
            path: path.into(),
            body_bytes,
            repeatable,
            idempotency_key: !repeatable,
        };
        let register = service("POST", "/calibrations", false, Range::new(100, 400));
        let lookup = service("GET", "/stations/{n}", true, Range::new(0, 0));
        let kind = |name: &str, weight, call| Kind {
            name: name.into(),
            weight,
            teams: teams.into(),
            call,
        };
        let kinds = vec![
            kind("summary", 5, completion(true, 20, 120)),
            kind("report", 1, completion(false, 20, 60)),
            kind("lookup", 3, lookup),
            kind("registration", 1, register),
        ];
        Self { kinds }
    }

    /// Reads a mix.
    ///
    /// # Errors
    ///
    /// [`Error`] if the text is no mix, or one that no request can be drawn from.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mix: Self = serde_json::from_str(text)?;
        mix.check()?;
        Ok(mix)
    }

    fn check(&self) -> Result<(), Error> {
        if self.kinds.iter().all(|kind| kind.weight == 0) {
            return Err(Error::Weight("kinds".into()));
        }
        self.kinds.iter().try_for_each(Kind::check)
    }

    /// Draws a kind by weight.
    pub fn draw(&self, rng: &mut impl Rng) -> usize {
        weighted(rng, self.kinds.iter().map(|kind| kind.weight))
    }
}

impl Kind {
    fn check(&self) -> Result<(), Error> {
        if !self.teams.is_empty() && self.teams.iter().all(|team| team.weight == 0) {
            return Err(Error::Weight(format!("teams of {}", self.name).into()));
        }
        match &self.call {
            Call::Model { prompt_bytes, output_tokens, .. } => {
                prompt_bytes.check()?;
                output_tokens.check()
            }
            Call::Service { method, path, body_bytes, .. } => {
                if http::Method::from_bytes(method.as_bytes()).is_err() {
                    return Err(Error::Text(method.clone()));
                }
                if !path.starts_with('/') || path.replace("{n}", "0").parse::<http::Uri>().is_err()
                {
                    return Err(Error::Text(path.clone()));
                }
                body_bytes.check()
            }
        }
    }

    /// Draws the key of a team by weight.
    pub fn draw_key(&self, rng: &mut impl Rng) -> Option<&str> {
        if self.teams.is_empty() {
            return None;
        }
        let index = weighted(rng, self.teams.iter().map(|team| team.weight));
        self.teams.get(index).map(|team| &*team.key)
    }
}

/// Draws an index by weight. The weights must not all be zero.
fn weighted(rng: &mut impl Rng, weights: impl Iterator<Item = u32> + Clone) -> usize {
    let total: u64 = weights.clone().map(u64::from).sum();
    let mut left = rng.random_range(0..total.max(1));
    for (index, weight) in weights.enumerate() {
        match left.checked_sub(u64::from(weight)) {
            Some(rest) => left = rest,
            None => return index,
        }
    }
    0
}
