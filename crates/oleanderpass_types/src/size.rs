//! Count tokens, bytes and requests per second.

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

/// A rate of requests, in thousandths of a request per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Create the rate from thousandths of a request per second.
    pub const fn from_thousandths(thousandths: u32) -> Self {
        Self(thousandths)
    }

    /// Return the rate in thousandths of a request per second.
    pub const fn thousandths(self) -> u32 {
        self.0
    }

    /// Return the rate in requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    /// Convert a number of requests per second. Digits beyond the third decimal are dropped.
    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        if per_second.is_finite() && per_second >= 0.0 {
            Ok(Self((per_second * 1_000.0) as u32))
        } else {
            Err(InvalidRate)
        }
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

/// A text that is not a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRate;

impl fmt::Display for InvalidRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a rate is a decimal number of requests per second that is not negative")
    }
}

impl std::error::Error for InvalidRate {}

impl FromStr for RequestRate {
    type Err = InvalidRate;

    /// Parse a decimal number of requests per second. Digits beyond the third decimal are dropped.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rate: f64 = text.trim().parse().map_err(|_| InvalidRate)?;
        Self::try_from(rate)
    }
}
