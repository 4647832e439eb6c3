//! Reasons for refusing an attempt, and what each implies about the call.

use std::fmt;

use crate::outcome;

/// Reason for refusing an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The start is addressed to another incarnation of the process.
    WrongTarget,
    /// The start arrived after the end of its validity.
    Expired,
    /// The validity of the start exceeds the limit. Does not prove that the attempt did not run.
    Validity,
    /// The process is shutting down.
    Draining,
    /// The attempt table is full.
    Full,
    /// The caller's deadline has passed or cannot be met.
    Late,
    /// The attempt was sealed, cancelled or refused before it ran.
    Sealed,
    /// The queue is too long.
    Overloaded,
    /// The team has reached its limit.
    Limited,
    /// The request is known to crash engines.
    Poison,
    /// The engine is reserved for a suspect, or the request is one and must run on another engine.
    Isolated,
    /// The engine accepted no connection.
    Unreachable,
    /// Another attempt of the same call is in progress.
    InFlight,
    /// The key was used by a request with different content.
    Conflict,
    /// The call ran, but its response is no longer kept.
    Ran,
    /// The call may have run.
    Unknown,
    /// The home started, or became home of the key, too recently to know whether the call ran.
    Quarantine,
    /// This process is not the key's home, or cannot be certain that it is.
    NotHome,
    /// There is no room for another record of a keyed call, for the team or in total.
    Capacity,
    /// The ticket is damaged, forged or was issued to another team.
    Forged,
    /// The ticket has expired.
    TicketExpired,
    /// The ticket was issued by another incarnation.
    TicketHome,
}

impl Reason {
    /// All reasons in the order of their wire codes, which start at 1.
    pub const ALL: [Reason; 22] = [
        Reason::WrongTarget,
        Reason::Expired,
        Reason::Validity,
        Reason::Draining,
        Reason::Full,
        Reason::Late,
        Reason::Sealed,
        Reason::Overloaded,
        Reason::Limited,
        Reason::Poison,
        Reason::Unreachable,
        Reason::InFlight,
        Reason::Conflict,
        Reason::Ran,
        Reason::Unknown,
        Reason::Quarantine,
        Reason::NotHome,
        Reason::Capacity,
        Reason::Forged,
        Reason::TicketExpired,
        Reason::TicketHome,
        Reason::Isolated,
    ];

    /// Returns the wire code.
    pub fn code(self) -> u16 {
        Self::ALL.iter().position(|&r| r == self).map_or(0, |i| i as u16 + 1)
    }

    /// Returns the reason with a wire code, if the code is known.
    pub fn from_code(code: u16) -> Option<Self> {
        Self::ALL.get(usize::from(code).checked_sub(1)?).copied()
    }

    /// Returns whether the refused attempt provably did not run and never will.
    pub const fn proves_not_run(self) -> bool {
        !matches!(self, Reason::Validity)
    }

    /// Returns the outcome of a call with a key or ticket. An earlier request may have run it, so
    /// only refusals made after the record of the call was looked up give `NotRun`.
    pub const fn keyed_outcome(self) -> outcome::Outcome {
        match self {
            Reason::Ran => outcome::Outcome::Ran,
            Reason::Conflict | Reason::Capacity | Reason::Late => outcome::Outcome::NotRun,
            Reason::Overloaded | Reason::Limited | Reason::Poison | Reason::Unreachable => {
                outcome::Outcome::NotRun
            }
            Reason::Draining | Reason::Full | Reason::Isolated => outcome::Outcome::NotRun,
            _ => outcome::Outcome::Unknown,
        }
    }

    /// Returns whether the request may be retried on another upstream.
    pub const fn allows_other_upstream(self) -> bool {
        matches!(
            self,
            Reason::WrongTarget
                | Reason::Expired
                | Reason::Draining
                | Reason::Full
                | Reason::Overloaded
                | Reason::Unreachable
                | Reason::Sealed
                | Reason::Isolated
        )
    }

    /// Returns whether a retry after this refusal counts against the retry budget.
    pub const fn uses_retry_budget(self) -> bool {
        matches!(self, Reason::Full | Reason::Overloaded)
    }

    /// Returns the HTTP status of a request that ends with this refusal.
    pub const fn status(self) -> u16 {
        match self {
            Reason::Limited | Reason::Capacity => 429,
            Reason::InFlight | Reason::Conflict | Reason::Ran | Reason::Unknown => 409,
            Reason::Forged => 400,
            Reason::TicketExpired => 410,
            Reason::Late => 504,
            _ => 503,
        }
    }

    /// Returns the name used in problem documents and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::WrongTarget => "wrong-target",
            Reason::Expired => "expired",
            Reason::Validity => "validity",
            Reason::Draining => "draining",
            Reason::Full => "full",
            Reason::Late => "late",
            Reason::Sealed => "sealed",
            Reason::Overloaded => "overloaded",
            Reason::Limited => "limited",
            Reason::Poison => "poison",
            Reason::Isolated => "isolated",
            Reason::Unreachable => "unreachable",
            Reason::InFlight => "in-flight",
            Reason::Conflict => "conflict",
            Reason::Ran => "ran",
            Reason::Unknown => "unknown",
            Reason::Quarantine => "quarantine",
            Reason::NotHome => "not-home",
            Reason::Capacity => "capacity",
            Reason::Forged => "forged",
            Reason::TicketExpired => "ticket-expired",
            Reason::TicketHome => "ticket-home",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
