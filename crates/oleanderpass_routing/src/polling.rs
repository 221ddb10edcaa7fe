//! Assign the engines whose load each instance polls.

use oleanderpass_types::clock::Millis;

use crate::rendezvous::top_two;

/// The time between two polls of one engine. Source: section 4.6 of the design.
pub const POLL_PERIOD: Millis = Millis::from_secs(2);

/// The number of engines in a zone up to which each instance polls all of them.
pub const POLL_ALL_LIMIT: usize = 64;

/// Return whether the instance with key `own` should poll the engine with key `engine`.
///
/// `instances` holds the keys of the live instances of the zone, including `own`; `engines` is the
/// number of engines in the zone. Above [`POLL_ALL_LIMIT`] engines, rendezvous hashing assigns two
/// instances to each engine, or one when the zone has only one.
pub fn should_poll(own: u64, instances: &[u64], engine: u64, engines: usize) -> bool {
    engines <= POLL_ALL_LIMIT
        || top_two(engine, instances.iter().map(|key| (*key, *key))).contains(&Some(own))
}
