//! Tell the runs of the process of one instance apart.
//!
//! Each id that leaves an instance and counts from its start names the lifetime, so that neither
//! engines nor peers take it for one of an earlier run.

use std::fmt;

/// One run of the process of an instance. It is random, so that two runs differ although they start
/// in the same millisecond, or the time of day is set back between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetime(u64);

impl Lifetime {
    /// Create a lifetime from a random number.
    pub const fn new(random: u64) -> Self {
        Self(random)
    }

    /// Return the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Lifetime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
