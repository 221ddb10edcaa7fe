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

/// The part of a wait that must not be shortened by which it may be longer, and the most of it.
const EXTRA_DIVISOR: u64 = 4;
const MAX_EXTRA: Millis = Millis::new(250);

/// The time until a request could be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// An estimate.
    About(Millis),
    /// Nothing can be served earlier.
    AtLeast(Millis),
}

/// Return a random wait for a caller with `left` remaining time. The jitter keeps refused callers
/// from resending at the same time. An estimate becomes a wait between half and all of it, limited
/// to what the caller honours. A wait that must not be shortened becomes a little longer; if the
/// caller doesn't honour it, its request couldn't be served anyway.
pub fn choose(expected: Wait, left: Millis, rng: &mut impl Rng) -> Millis {
    let expected = match expected {
        Wait::About(expected) => expected,
        Wait::AtLeast(wait) => {
            let extra = MAX_EXTRA.get().min(wait.get() / EXTRA_DIVISOR);
            return wait + Millis::new(rng.random_range(0..=extra));
        }
    };
    let longest = expected.get().clamp(MIN_WAIT.get(), MAX_WAIT.get());
    let longest = longest.min(left.get() / TIME_LEFT_DIVISOR);
    Millis::new(rng.random_range(longest / 2..=longest))
}
