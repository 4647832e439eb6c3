//! Identifiers: validated names, process incarnations and attempt IDs.

use std::fmt;
use std::str;

use rand::Rng;
use serde::{Deserialize, Serialize};

/// Longest name accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Why a string is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The name is empty or longer than [`MAX_NAME_BYTES`].
    #[error("a name has 1 to {MAX_NAME_BYTES} characters, found {0}")]
    Length(usize),
    /// The name has a character outside `a-z`, `A-Z`, `0-9`, `-`, `_`, `.` and `/`.
    #[error("character {0:?} is not allowed in a name")]
    Character(char),
    /// Not a 128-bit number in hexadecimal.
    #[error("{0:?} is not 32 hexadecimal digits")]
    Incarnation(Box<str>),
    /// The request or attempt number is not a decimal number.
    #[error("{0:?} is not a whole number")]
    Number(Box<str>),
}

fn check_name(text: &str) -> Result<(), Error> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(Error::Length(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(Error::Character(c)),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$meta:meta])* $type:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            schemars::JsonSchema,
        )]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $type(Box<str>);

        impl $type {
            /// Creates a name after checking its length and characters.
            ///
            /// # Errors
            ///
            /// [`Error::Length`] or [`Error::Character`].
            pub fn new(text: &str) -> Result<Self, Error> {
                check_name(text)?;
                Ok(Self(text.into()))
            }

            /// The name as a string.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl str::FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                Self::new(text)
            }
        }

        impl TryFrom<Box<str>> for $type {
            type Error = Error;

            fn try_from(text: Box<str>) -> Result<Self, Error> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$type> for Box<str> {
            fn from(name: $type) -> Box<str> {
                name.0
            }
        }
    };
}

name! {
    /// A region, the outermost failure domain.
    Region
}
name! {
    /// A data centre.
    DataCentre
}
name! {
    /// A VM. A replacement may reuse the name; [`Incarnation`] tells them apart.
    Vm
}
name! {
    /// A team, the customer that limits and priorities apply to.
    Team
}
name! {
    /// A model as callers name it.
    Model
}
name! {
    /// An adapter of a model.
    Adapter
}
name! {
    /// A group of ranks that serve one model in lock-step.
    Group
}
name! {
    /// A rank of a group.
    Rank
}
name! {
    /// A class of engine hardware.
    Class
}
name! {
    /// A plain service.
    Service
}
name! {
    /// A declared route to a plain service.
    Route
}

/// One run of a process: a random number drawn at its start.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct Incarnation(u128);

impl Incarnation {
    /// Creates the incarnation with a known number.
    pub const fn new(number: u128) -> Self {
        Self(number)
    }

    /// Draws a new incarnation from `rng`.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }

    /// The incarnation as a number.
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Incarnation({self})")
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl str::FromStr for Incarnation {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let all_digits = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        match u128::from_str_radix(text, 16) {
            Ok(number) if all_digits => Ok(Self(number)),
            _ => Err(Error::Incarnation(text.into())),
        }
    }
}

impl TryFrom<Box<str>> for Incarnation {
    type Error = Error;

    fn try_from(text: Box<str>) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Incarnation> for Box<str> {
    fn from(incarnation: Incarnation) -> Box<str> {
        incarnation.to_string().into()
    }
}

/// One attempt of a request: the entry's incarnation, its request counter and the attempt number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Incarnation of the entry that made the attempt.
    pub entry: Incarnation,
    /// The entry's request counter.
    pub request: u64,
    /// Number of the attempt within the request, from 0.
    pub number: u32,
}

impl Attempt {
    /// Creates the ID of a request's first attempt.
    pub const fn new(entry: Incarnation, request: u64) -> Self {
        Self { entry, request, number: 0 }
    }

    /// ID of the request's next attempt.
    pub const fn next(self) -> Self {
        Self { number: self.number + 1, ..self }
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.entry, self.request, self.number)
    }
}

impl str::FromStr for Attempt {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number = || Error::Number(text.into());
        let mut parts = text.splitn(3, '-');
        let entry = parts.next().unwrap_or_default().parse()?;
        let request = parts.next().and_then(|p| p.parse().ok()).ok_or_else(number)?;
        let attempt = parts.next().and_then(|p| p.parse().ok()).ok_or_else(number)?;
        Ok(Self { entry, request, number: attempt })
    }
}
