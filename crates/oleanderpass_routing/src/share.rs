//! Measure the share of the prefill work that long prompts cause.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Tokens;

use crate::request::LengthClass;

/// The time in which a measured token loses half of its weight.
///
/// Long prompts are rare: at one in fifty, a small instance sees a few of them a minute.
const HALF_LIFE: Millis = Millis::from_secs(300);

/// The work assumed at start, in tokens for each class, so that the first long prompt doesn't
/// take the whole fleet.
const PRIOR: f64 = 1_000_000.0;

/// The decayed prefill work of both classes.
#[derive(Clone, Debug)]
pub struct LongShare {
    short: f64,
    long: f64,
    updated: Timestamp,
}

impl Default for LongShare {
    fn default() -> Self {
        Self {
            short: PRIOR,
            long: PRIOR,
            updated: Timestamp::ORIGIN,
        }
    }
}

impl LongShare {
    /// Add the prefill work of one request.
    pub fn add(&mut self, now: Timestamp, class: LengthClass, work: Tokens) {
        let halvings = now.since(self.updated).get() as f64 / HALF_LIFE.get() as f64;
        let factor = 0.5_f64.powf(halvings);
        self.short *= factor;
        self.long *= factor;
        self.updated = now.max(self.updated);
        match class {
            LengthClass::Short => self.short += work.get() as f64,
            LengthClass::Long => self.long += work.get() as f64,
        }
    }

    /// Return the long share, from 0 to 1.
    pub fn get(&self) -> f64 {
        let all = self.short + self.long;
        if all > 0.0 { self.long / all } else { 0.0 }
    }
}
