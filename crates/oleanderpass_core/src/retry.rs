//! Bound retries and space them out.

use oleanderpass_types::clock::Millis;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Admitted requests that earn one retry. With 10, the requests sent to failing servers stay under
/// 1.1 times the admitted ones.
pub const ADMITTED_PER_RETRY: u32 = 10;

/// Retries that can be saved. An outage of all servers then adds at most this many requests of
/// each instance to the 1.1.
pub const MAX_SAVED_RETRIES: u32 = 10;

/// The delay before the first retry.
pub const FIRST_RETRY_DELAY: Millis = Millis::new(50);

/// The longest delay before a retry.
pub const MAX_RETRY_DELAY: Millis = Millis::from_secs(2);

/// The retry budget of an instance.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// In parts of a retry: one for each admitted request.
    saved: u32,
}

impl RetryBudget {
    /// Note an admitted request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + 1).min(MAX_SAVED_RETRIES * ADMITTED_PER_RETRY);
    }

    /// Take one retry, if there is one.
    pub fn take(&mut self) -> bool {
        let available = self.saved >= ADMITTED_PER_RETRY;
        if available {
            self.saved -= ADMITTED_PER_RETRY;
        }
        available
    }
}

/// Draw the delay after the given number of failures: exponential, with the upper half random so
/// that requests that failed together don't return together.
pub fn retry_delay(failures: u32, rng: &mut Pcg64Mcg) -> Millis {
    let doublings = failures.saturating_sub(1).min(16);
    let full = FIRST_RETRY_DELAY
        .saturating_mul(1 << doublings)
        .min(MAX_RETRY_DELAY);
    Millis::new(rng.random_range(full.get() / 2..=full.get()))
}
