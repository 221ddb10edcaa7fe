//! Define the limits of an organisation and amounts of quota.

use strum::Display;
use strum::EnumIter;

/// The kind of usage that a limit counts.
///
/// Its text is part of error messages to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum LimitKind {
    /// The rate of requests, in requests per 1,000 s.
    Requests,
    /// The rate of prompt and generated tokens, in tokens per second.
    Tokens,
    /// The number of requests that run at the same time.
    Concurrent,
}

/// The number of kinds.
const LIMIT_KINDS: usize = 3;

/// An amount for each kind of limit, in the unit of the kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quota([u64; LIMIT_KINDS]);

impl Quota {
    /// Create a quota of all three kinds.
    pub const fn new(requests_per_1000_s: u64, tokens_per_s: u64, concurrent: u64) -> Self {
        Self([requests_per_1000_s, tokens_per_s, concurrent])
    }

    /// Return the amount of a kind, in its unit.
    pub const fn get(&self, kind: LimitKind) -> u64 {
        self.0[kind as usize]
    }

    pub(crate) fn set(&mut self, kind: LimitKind, amount: u64) {
        self.0[kind as usize] = amount;
    }
}

/// The limits of an organisation over the whole fleet; `None` means no limit of that kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// Requests per second.
    pub requests_per_s: Option<u64>,
    /// Prompt and generated tokens per second.
    pub tokens_per_s: Option<u64>,
    /// Requests at the same time.
    pub concurrent: Option<u64>,
}

impl Limit {
    /// Return the limit of a kind, in the unit of the kind.
    pub fn get(&self, kind: LimitKind) -> Option<u64> {
        match kind {
            LimitKind::Requests => self.requests_per_s.map(|limit| limit.saturating_mul(1_000)),
            LimitKind::Tokens => self.tokens_per_s,
            LimitKind::Concurrent => self.concurrent,
        }
    }
}
