//! Newtypes for quantities with a unit: times, sizes, counts and revisions.

use std::fmt;
use std::num;
use std::ops;
use std::str;

use serde::{Deserialize, Serialize};

macro_rules! quantity {
    ($(#[$meta:meta])* $type:ident, $unit:literal) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize, schemars::JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $type(u64);

        impl $type {
            /// Zero.
            pub const ZERO: Self = Self(0);
            /// The largest value.
            pub const MAX: Self = Self(u64::MAX);

            /// Creates the quantity from its number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The number, in the unit of this type.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The difference, or zero if `other` is larger.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl ops::Add for $type {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl ops::AddAssign for $type {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, $unit)
            }
        }

        impl str::FromStr for $type {
            type Err = num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, num::ParseIntError> {
                text.strip_suffix($unit).unwrap_or(text).parse().map(Self)
            }
        }
    };
}

quantity! {
    /// A span of time, or an instant on the process's own monotonic clock, in milliseconds.
    Millis, "ms"
}
quantity! {
    /// A span of time, or an instant on a simulated or monotonic clock, in microseconds.
    Micros, "us"
}
quantity! {
    /// A size in bytes.
    Bytes, "B"
}
quantity! {
    /// A count of tokens.
    Tokens, "tok"
}
quantity! {
    /// A revision of the fleet's configuration. It only grows.
    Revision, ""
}

impl Millis {
    /// The span as a standard duration.
    pub const fn duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Micros {
    /// The span as a standard duration.
    pub const fn duration(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }
}
