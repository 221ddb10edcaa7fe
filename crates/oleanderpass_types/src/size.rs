//! Count tokens and bytes.

use std::fmt;
use std::num::ParseIntError;
use std::ops::Add;
use std::ops::AddAssign;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

macro_rules! size {
    ($(#[$doc:meta])* $name:ident, $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Zero.
            pub const ZERO: $name = $name(0);

            /// Create the size from a number.
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// Return the number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Subtract, saturating at zero.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = $name;

            fn add(self, other: $name) -> $name {
                $name(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: $name) {
                *self = *self + other;
            }
        }

        impl std::iter::Sum for $name {
            fn sum<I: Iterator<Item = $name>>(iter: I) -> $name {
                iter.fold($name::ZERO, Add::add)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{} ", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.trim_end_matches($unit).trim_end().parse().map(Self)
            }
        }
    };
}

size!(
    /// A number of tokens.
    Tokens,
    "tokens"
);
size!(
    /// A number of bytes.
    Bytes,
    "bytes"
);

/// The average number of bytes a token takes in a prompt.
pub const BYTES_PER_TOKEN: u64 = 4;

impl Tokens {
    /// Estimate the tokens of a text from its length in bytes.
    pub const fn estimate(bytes: Bytes) -> Self {
        Self(bytes.0.div_ceil(BYTES_PER_TOKEN))
    }
}
