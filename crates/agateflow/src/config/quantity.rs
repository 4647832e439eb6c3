//! Quantities of the configuration that have no type in [`crate::unit`], and texts with units.

use std::fmt;
use std::str;

use jsonc_parser::ast;
use serde::{Serialize, Serializer};

use super::read;
use crate::unit;

/// Largest whole number accepted: the largest that every JSON reader keeps exact.
const MAX_NUMBER: u64 = (1 << 53) - 1;

/// Why a text or number is not a quantity.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not a number followed by a known unit.
    #[error("expected {expected}, found \"{found}\"")]
    Unit {
        /// What would be right, with an example.
        expected: &'static str,
        /// The text that was found.
        found: Box<str>,
    },
    /// The number does not fit.
    #[error("{0} is out of range")]
    Range(Box<str>),
}

macro_rules! positive {
    ($(#[$meta:meta])* $type:ident, $max:literal) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, schemars::JsonSchema)]
        #[serde(transparent)]
        pub struct $type(#[schemars(extend("exclusiveMinimum" = 0.0, "maximum" = $max))] f64);

        impl $type {
            /// Largest value accepted.
            pub const MAX: f64 = $max;

            /// Creates the quantity.
            ///
            /// # Errors
            ///
            /// [`Error::Range`] unless the number is over 0 and at most [`Self::MAX`].
            pub fn new(number: f64) -> Result<Self, Error> {
                if number > 0.0 && number <= Self::MAX {
                    Ok(Self(number))
                } else {
                    Err(Error::Range(number.to_string().into()))
                }
            }

            /// The number, in this type's unit.
            pub const fn get(self) -> f64 {
                self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl str::FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                let range = || Error::Range(text.into());
                let number = text.parse().map_err(|_| range())?;
                Self::new(number).map_err(|_| range())
            }
        }

        impl read::Read for $type {
            fn read(value: &ast::Value<'_>, reader: &mut read::Reader) -> Option<Self> {
                let parsed = value.as_number_lit().and_then(|n| n.value.parse().ok());
                let what = format!("a number over 0 and at most {}", Self::MAX);
                parsed.or_else(|| reader.expected(&what, value))
            }
        }
    };
}

positive! {
    /// A rate in requests per second.
    Rate, 1_000_000.0
}
positive! {
    /// Speed relative to the other classes of the fleet.
    Speed, 1_000.0
}
positive! {
    /// A share relative to the other weights of its kind.
    Weight, 1_000.0
}

/// A rate in tokens per second, written `8000tok/s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(into = "Box<str>")]
pub struct TokenRate(u64);

impl TokenRate {
    /// Creates the rate.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The rate in tokens per second.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}tok/s", self.0)
    }
}

impl str::FromStr for TokenRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        TOKEN_RATE.parse(text).map(Self)
    }
}

impl From<TokenRate> for Box<str> {
    fn from(rate: TokenRate) -> Box<str> {
        rate.to_string().into()
    }
}

/// The units that one kind of quantity is written in, and its least value in the smallest unit.
struct Scale {
    expected: &'static str,
    units: &'static [(&'static str, u64)],
    least: u64,
}

const MILLIS: Scale = Scale {
    expected: "a time such as \"250ms\" or \"10s\"",
    units: &[("ms", 1), ("s", 1000)],
    least: 1,
};
const MICROS: Scale = Scale {
    expected: "a time such as \"900us\" or \"35ms\"",
    units: &[("us", 1), ("ms", 1000), ("s", 1_000_000)],
    least: 1,
};
const BYTES: Scale = Scale {
    expected: "a size such as \"512B\", \"64KiB\", \"8MiB\" or \"2GiB\"",
    units: &[("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)],
    least: 1,
};
const TOKENS: Scale =
    Scale { expected: "a count of tokens such as \"400000tok\"", units: &[("tok", 1)], least: 0 };
const TOKEN_RATE: Scale =
    Scale { expected: "a rate of tokens such as \"8000tok/s\"", units: &[("tok/s", 1)], least: 1 };

impl Scale {
    fn parse(&self, text: &str) -> Result<u64, Error> {
        let unit = || Error::Unit { expected: self.expected, found: read::printable(text).into() };
        let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
        let (digits, suffix) = text.split_at(end);
        if digits.is_empty() {
            return Err(unit());
        }
        let (_, factor) = self.units.iter().find(|(u, _)| *u == suffix).ok_or_else(unit)?;
        let number = digits.parse::<u64>().ok().and_then(|n| n.checked_mul(*factor));
        match number {
            Some(number) if (self.least..=MAX_NUMBER).contains(&number) => Ok(number),
            _ => Err(Error::Range(read::printable(text).into())),
        }
    }
}

macro_rules! read_scale {
    ($($type:ty: $scale:ident),* $(,)?) => {$(
        impl read::Read for $type {
            fn read(value: &ast::Value<'_>, reader: &mut read::Reader) -> Option<Self> {
                reader.parse(value, $scale.expected, |text| $scale.parse(text).map(Self::new))
            }
        }
    )*};
}

read_scale! {
    unit::Millis: MILLIS,
    unit::Micros: MICROS,
    unit::Bytes: BYTES,
    unit::Tokens: TOKENS,
    TokenRate: TOKEN_RATE,
}

impl read::Read for unit::Revision {
    fn read(value: &ast::Value<'_>, reader: &mut read::Reader) -> Option<Self> {
        let number = value.as_number_lit().and_then(|n| n.value.parse().ok());
        match number {
            Some(number) if (1..=MAX_NUMBER).contains(&number) => Some(Self::new(number)),
            _ => reader.expected("a whole number from 1 to 9007199254740991", value),
        }
    }
}

/// Serializes a quantity as its text with a unit.
pub(crate) fn text<S: Serializer>(value: &impl fmt::Display, to: S) -> Result<S::Ok, S::Error> {
    to.collect_str(value)
}

impl Scale {
    fn schema(&self) -> schemars::Schema {
        let units = self.units.iter().map(|(unit, _)| *unit).collect::<Vec<_>>().join("|");
        let digits = if self.least > 0 { "0*[1-9][0-9]*" } else { "[0-9]+" };
        schemars::json_schema!({ "type": "string", "pattern": format!("^{digits}({units})$") })
    }
}

/// The schema of a time in milliseconds or more.
pub(crate) fn millis_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
    MILLIS.schema()
}

/// The schema of a time in microseconds or more.
pub(crate) fn micros_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
    MICROS.schema()
}

/// The schema of a size.
pub(crate) fn size_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
    BYTES.schema()
}

/// The schema of a count of tokens.
pub(crate) fn tokens_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
    TOKENS.schema()
}

/// The schema of a rate in tokens per second.
pub(crate) fn token_rate_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
    TOKEN_RATE.schema()
}

/// Declares a whole number from 1 to a largest value.
macro_rules! count {
    ($(#[$meta:meta])* $type:ident, $max:literal) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
            schemars::JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $type(#[schemars(range(min = 1, max = $max))] u32);

        impl $type {
            /// Largest count accepted.
            pub const MAX: u32 = $max;

            /// Creates the count; `None` unless it is from 1 to [`Self::MAX`].
            pub fn new(number: u32) -> Option<Self> {
                (1..=Self::MAX).contains(&number).then_some(Self(number))
            }

            /// The count as a number.
            pub const fn get(self) -> u32 {
                self.0
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl $crate::config::read::Read for $type {
            fn read(
                value: &jsonc_parser::ast::Value<'_>,
                reader: &mut $crate::config::read::Reader,
            ) -> Option<Self> {
                let number = value.as_number_lit().and_then(|n| n.value.parse().ok());
                let what = concat!("a whole number from 1 to ", stringify!($max));
                number.and_then(Self::new).or_else(|| reader.expected(what, value))
            }
        }
    };
}
pub(crate) use count;
