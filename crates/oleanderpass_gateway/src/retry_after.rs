//! Choose how long a refused caller waits before it resends its request.

use oleanderpass_types::clock::Millis;
use rand::Rng;
use rand::RngExt;

/// The shortest wait. After a shorter one the resend would arrive before any backend server has
/// finished a request.
const MIN_WAIT: Millis = Millis::new(150);

/// The longest wait, so that a caller resends while most of its time is left.
const MAX_WAIT: Millis = Millis::new(2_000);

/// Callers honour only waits up to a fraction of the time that they have left. This is the divisor
/// of that time. Source: the callers' published behaviour, less a margin for the way back.
const TIME_LEFT_DIVISOR: u64 = 4;

/// Return a random wait between half and all of the `expected` time until a slot is free, limited
/// to what a caller with `left` remaining time honours. The jitter keeps refused callers from
/// resending at the same time.
pub fn choose(expected: Millis, left: Millis, rng: &mut impl Rng) -> Millis {
    let longest = expected.get().clamp(MIN_WAIT.get(), MAX_WAIT.get());
    let longest = longest.min(left.get() / TIME_LEFT_DIVISOR);
    Millis::new(rng.random_range(longest / 2..=longest))
}
