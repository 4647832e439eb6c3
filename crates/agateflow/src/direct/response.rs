//! Decides what the head of an upstream's response says of a request.

use std::fmt;

use crate::outcome;

const STATUS_MISDIRECTED: u16 = 421;

/// Which request a response names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The one that was sent.
    Own,
    /// Another one.
    Other,
    /// None.
    Unnamed,
}

/// Which upstream a response names as its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The one that the request was meant for.
    Expected,
    /// Another one.
    Other,
    /// None.
    Unnamed,
}

/// What the head of a response says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Signs {
    /// HTTP status.
    pub status: u16,
    /// The request that it names.
    pub subject: Subject,
    /// The upstream that it names.
    pub sender: Sender,
    /// Whether it states that the upstream did not run the request.
    pub not_run: bool,
    /// Whether it carries proof that an upstream produced it.
    pub proof: bool,
}

/// Classification of an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Classification {
    /// From the upstream that ran the request.
    Own,
    /// The upstream did not run the request.
    NotRun,
    /// Another upstream has the address, and did not run the request.
    Misdirected,
    /// Has no final status, belongs to another request, lacks proof that an upstream produced it, or contradicts itself.
    Foreign,
}

impl Signs {
    /// Classifies the response. On a connection in use again, `reused`, a refusal that does not name
    /// the request may be a copy of an earlier one.
    pub fn classify(&self, reused: bool) -> Classification {
        let is_success = (200..300).contains(&self.status);
        let is_final = outcome::is_final(self.status);
        if !is_final || self.subject == Subject::Other || (is_success && self.not_run) {
            return Classification::Foreign;
        }
        if self.not_run || self.is_misdirected() {
            return self.classify_refusal(reused);
        }
        match self.subject == Subject::Own && (self.proof || !is_success) {
            true => Classification::Own,
            false => Classification::Foreign,
        }
    }

    /// Whether another upstream than the expected one answers that the request is not for it. It ran
    /// the request if it also proves that it produced an answer.
    fn is_misdirected(&self) -> bool {
        self.status == STATUS_MISDIRECTED && self.sender == Sender::Other && !self.proof
    }

    fn classify_refusal(&self, reused: bool) -> Classification {
        if reused && self.subject != Subject::Own {
            return Classification::Foreign;
        }
        match self.status {
            STATUS_MISDIRECTED => Classification::Misdirected,
            _ => Classification::NotRun,
        }
    }
}

impl fmt::Display for Signs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { status, subject, sender, not_run, proof } = self;
        write!(
            f,
            "status {status}, subject {subject:?}, sender {sender:?}, not run {not_run}, proof {proof}"
        )
    }
}
