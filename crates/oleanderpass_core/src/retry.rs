//! Compute the backoff between retries of a request and that of a server after failed attempts.

use oleanderpass_types::clock::Millis;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The delay before the first retry.
pub const FIRST_RETRY_DELAY: Millis = Millis::new(50);

/// The longest delay before a retry, and the longest backoff of a server.
pub const MAX_RETRY_DELAY: Millis = Millis::from_secs(2);

/// Draw the delay after the given number of failures. It grows exponentially, and its upper half is
/// random jitter so that requests that failed together are not retried together.
pub fn retry_delay(failures: u32, rng: &mut Pcg64Mcg) -> Millis {
    let doublings = failures.saturating_sub(1).min(16);
    let full = FIRST_RETRY_DELAY
        .saturating_mul(1 << doublings)
        .min(MAX_RETRY_DELAY);
    Millis::new(rng.random_range(full.get() / 2..=full.get()))
}
