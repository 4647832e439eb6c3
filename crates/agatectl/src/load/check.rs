//! Checks of answers: whole, the caller's own, once.

use agateflow::outcome;
use agateflow_standin::answer;
use bytes::{Buf, BytesMut};
use serde::{Deserialize, Serialize};

/// What became of a request, as its caller can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The whole answer came, once, and it was the caller's own.
    Whole,
    /// Reported as run, without the response.
    Ran,
    /// Reported as not run.
    NotRun,
    /// Reported as unknown.
    Unknown,
    /// The answer broke off visibly, or the connection did before it.
    Cut,
    /// The time of the request ran out.
    Late,
    /// An error came without an outcome.
    Unstated,
    /// The load's own limit of requests in progress kept it from being sent.
    Unsent,
    /// The answer was not the one to this request.
    Foreign,
    /// The answer broke off but was presented as whole.
    Truncated,
    /// The answer or a part of it came more than once.
    Doubled,
    /// Header and body of an error state different outcomes.
    Contradictory,
}

impl Verdict {
    /// All verdicts, in the order in which results show them.
    pub const ALL: [Self; 12] = [
        Self::Whole,
        Self::Ran,
        Self::NotRun,
        Self::Unknown,
        Self::Cut,
        Self::Late,
        Self::Unstated,
        Self::Unsent,
        Self::Foreign,
        Self::Truncated,
        Self::Doubled,
        Self::Contradictory,
    ];

    /// Whether the answer broke what each caller is promised.
    pub fn is_violation(self) -> bool {
        matches!(self, Self::Foreign | Self::Truncated | Self::Doubled | Self::Contradictory)
    }

    /// Whether the caller got the response or the outcome of its request.
    pub fn is_told(self) -> bool {
        matches!(self, Self::Whole | Self::Ran | Self::NotRun | Self::Unknown)
    }

    /// The verdict's name in results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Cut => "cut",
            Self::Late => "late",
            Self::Unstated => "unstated",
            Self::Unsent => "unsent",
            Self::Foreign => "foreign",
            Self::Truncated => "truncated",
            Self::Doubled => "doubled",
            Self::Contradictory => "contradictory",
        }
    }
}

impl From<outcome::Outcome> for Verdict {
    fn from(outcome: outcome::Outcome) -> Self {
        match outcome {
            outcome::Outcome::Ran => Self::Ran,
            outcome::Outcome::NotRun => Self::NotRun,
            outcome::Outcome::Unknown => Self::Unknown,
        }
    }
}

#[derive(Deserialize)]
struct Problem {
    outcome: Box<str>,
}

fn stated(body: &[u8]) -> Option<outcome::Outcome> {
    let problem: Problem = serde_json::from_slice(body).ok()?;
    problem.outcome.parse().ok()
}

/// Checks an error: its header and its body must state the same outcome.
pub fn error(header: Option<outcome::Outcome>, body: &[u8]) -> Verdict {
    match (header, stated(body)) {
        (Some(header), Some(body)) if header == body => header.into(),
        (None, None) => Verdict::Unstated,
        _ => Verdict::Contradictory,
    }
}

/// Checks the whole body of an answer.
pub fn whole(expected: &[u8], body: &[u8]) -> Verdict {
    if body == expected {
        Verdict::Whole
    } else if expected.starts_with(body) {
        Verdict::Truncated
    } else if body.strip_prefix(expected).is_some_and(|rest| expected.starts_with(rest)) {
        Verdict::Doubled
    } else {
        Verdict::Foreign
    }
}

/// Checks the events of a stream as they come.
pub struct Stream<'a> {
    answer: &'a answer::Answer,
    buffer: BytesMut,
    next: u64,
    verdict: Option<Verdict>,
}

impl<'a> Stream<'a> {
    /// Creates the check of a stream that must be `answer`.
    pub fn new(answer: &'a answer::Answer) -> Self {
        Self { answer, buffer: BytesMut::new(), next: 0, verdict: None }
    }

    /// Takes the next bytes, and returns how many events they completed.
    pub fn push(&mut self, bytes: &[u8]) -> u64 {
        self.buffer.extend_from_slice(bytes);
        let mut events = 0;
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event = self.buffer.split_to(end + 2);
            events += u64::from(self.event(&event));
        }
        events
    }

    /// Verdict on the stream. `clean` is whether its connection ended without an error.
    pub fn finish(self, clean: bool) -> Verdict {
        let whole = self.next == self.answer.events() && !self.buffer.has_remaining();
        match self.verdict {
            Some(verdict) => verdict,
            None if whole && clean => Verdict::Whole,
            None if clean => Verdict::Truncated,
            None => Verdict::Cut,
        }
    }

    fn event(&mut self, event: &[u8]) -> bool {
        if event.starts_with(b":") || self.verdict.is_some() {
            return false;
        }
        if event == self.expected(self.next) {
            self.next += 1;
            return true;
        }
        self.verdict = Some(self.judge(event));
        false
    }

    fn judge(&self, event: &[u8]) -> Verdict {
        let data = event.split(|&byte| byte == b'\n').find_map(|line| line.strip_prefix(b"data: "));
        if let Some(outcome) = data.and_then(stated) {
            return outcome.into();
        }
        let seen = (0..self.next).any(|index| event == self.expected(index));
        if seen { Verdict::Doubled } else { Verdict::Foreign }
    }

    fn expected(&self, index: u64) -> bytes::Bytes {
        let tokens = self.answer.tokens();
        match index {
            index if index < tokens => self.answer.event(index),
            index if index == tokens => self.answer.finish(),
            index if index == tokens + 1 => answer::DONE.into(),
            _ => bytes::Bytes::new(),
        }
    }
}
