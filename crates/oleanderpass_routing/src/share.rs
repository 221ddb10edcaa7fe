//! Measure the share of the prefill work that long prompts cause.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Tokens;

use crate::request::LengthClass;

/// The time in which the weight of a measured token halves.
///
/// It is this long because long prompts are rare: if one in fifty prompts is long, a small instance
/// receives a few of them a minute.
const HALF_LIFE: Millis = Millis::from_secs(300);

/// The prefill work assumed for each class at the start, in tokens.
///
/// Without it, the first long prompt would assign almost all engines to long prompts.
const PRIOR_TOKENS: f64 = 1_000_000.0;

/// The prefill work of both length classes in tokens, with exponential decay.
#[derive(Clone, Debug)]
pub struct LongShare {
    short: f64,
    long: f64,
    updated: Timestamp,
}

impl Default for LongShare {
    fn default() -> Self {
        Self {
            short: PRIOR_TOKENS,
            long: PRIOR_TOKENS,
            updated: Timestamp::ORIGIN,
        }
    }
}

impl LongShare {
    /// Add the prefill work of one request.
    pub fn add(&mut self, now: Timestamp, class: LengthClass, work: Tokens) {
        let halvings = now.since(self.updated).get() as f64 / HALF_LIFE.get() as f64;
        let decay = 0.5_f64.powf(halvings);
        self.short *= decay;
        self.long *= decay;
        self.updated = now.max(self.updated);
        match class {
            LengthClass::Short => self.short += work.get() as f64,
            LengthClass::Long => self.long += work.get() as f64,
        }
    }

    /// Return the share of long prompts in the prefill work, from 0 to 1.
    pub fn get(&self) -> f64 {
        let total = self.short + self.long;
        if total > 0.0 { self.long / total } else { 0.0 }
    }
}
