//! Represent time in milliseconds.
//!
//! The decision core never reads a clock. The I/O code around it reads the monotonic clock and
//! passes a [`Timestamp`] with each event, so a test can replay a run exactly.

use std::fmt;
use std::num::ParseIntError;
use std::ops::Add;
use std::ops::Sub;
use std::str::FromStr;
use std::time::Duration;

/// A length of time in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(u64);

impl Millis {
    /// Zero milliseconds.
    pub const ZERO: Millis = Millis(0);

    /// Create a length of time from milliseconds.
    pub const fn new(ms: u64) -> Self {
        Self(ms)
    }

    /// Create a length of time from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// Return the number of milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Subtract, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Multiply by a whole number, saturating at the largest value.
    #[must_use]
    pub const fn saturating_mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl From<Millis> for Duration {
    fn from(ms: Millis) -> Self {
        Duration::from_millis(ms.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = ParseIntError;

    /// Parse a number of milliseconds, with or without the unit `ms`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_end_matches("ms").trim_end().parse().map(Self)
    }
}

/// A point on the monotonic clock of one process, in milliseconds since an arbitrary origin.
///
/// Timestamps of two processes are not comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the clock.
    pub const ORIGIN: Timestamp = Timestamp(0);

    /// Create a timestamp from the milliseconds since the origin.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms)
    }

    /// Return the milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Return the time that passed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Timestamp) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Return the time left until `later`, or zero if it has passed.
    pub const fn until(self, later: Timestamp) -> Millis {
        later.since(self)
    }
}

impl Add<Millis> for Timestamp {
    type Output = Timestamp;

    fn add(self, ms: Millis) -> Timestamp {
        Timestamp(self.0.saturating_add(ms.0))
    }
}

impl Sub<Millis> for Timestamp {
    type Output = Timestamp;

    fn sub(self, ms: Millis) -> Timestamp {
        Timestamp(self.0.saturating_sub(ms.0))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t+{} ms", self.0)
    }
}
