//! Choose when a refused caller returns.

use oleanderpass_types::clock::Millis;
use rand::Rng;
use rand::RngExt;

/// The shortest wait. A shorter one returns before any backend server has finished a request.
const SHORTEST: Millis = Millis::new(150);

/// The longest wait, so that a caller returns while most of its time is left.
const LONGEST: Millis = Millis::new(2_000);

/// The part of the time left after which callers no longer honour the wait. Source: the callers'
/// published behaviour, less a margin for the way back.
const PART_OF_TIME_LEFT: u64 = 4;

/// Return a random wait between half of and the whole `expected` time until a place is free, within
/// what a caller with `left` honours. The spread keeps refused callers from returning together.
pub fn choose(expected: Millis, left: Millis, rng: &mut impl Rng) -> Millis {
    let most = expected.get().clamp(SHORTEST.get(), LONGEST.get());
    let most = most.min(left.get() / PART_OF_TIME_LEFT);
    Millis::new(rng.random_range(most / 2..=most))
}
