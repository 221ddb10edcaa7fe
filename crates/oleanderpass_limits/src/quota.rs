//! Measure what an organisation may use.

use strum::Display;
use strum::EnumIter;

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum LimitKind {
    /// Requests, in units of requests per 1,000 s.
    Requests,
    /// Prompt and generated tokens, in tokens per second.
    Tokens,
    /// Requests at the same time.
    Concurrent,
}

/// The number of measures.
const MEASURES: usize = 3;

/// An amount for each measure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quota([u64; MEASURES]);

impl Quota {
    /// Create a quota.
    pub const fn new(requests_per_1000_s: u64, tokens_per_s: u64, concurrent: u64) -> Self {
        Self([requests_per_1000_s, tokens_per_s, concurrent])
    }

    /// Return the amount of a measure.
    pub const fn get(&self, kind: LimitKind) -> u64 {
        self.0[kind as usize]
    }

    pub(crate) fn set(&mut self, kind: LimitKind, amount: u64) {
        self.0[kind as usize] = amount;
    }
}

/// The limits of an organisation over the whole fleet; `None` means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// Requests a second.
    pub requests_per_s: Option<u64>,
    /// Prompt and generated tokens a second.
    pub tokens_per_s: Option<u64>,
    /// Requests at the same time.
    pub concurrent: Option<u64>,
}

impl Limit {
    /// Return the limit of a measure in its unit.
    pub fn get(&self, kind: LimitKind) -> Option<u64> {
        match kind {
            LimitKind::Requests => self.requests_per_s.map(|limit| limit.saturating_mul(1_000)),
            LimitKind::Tokens => self.tokens_per_s,
            LimitKind::Concurrent => self.concurrent,
        }
    }
}
