//! Choose the engines whose load an instance polls.

use oleanderpass_types::clock::Millis;

use crate::rendezvous::top_two;

/// The time between two polls of one engine. Source: section 4.6 of the design.
pub const POLL_PERIOD: Millis = Millis::from_secs(2);

/// The most engines in a zone at which each instance polls all of them.
pub const POLL_ALL_LIMIT: usize = 64;

/// Return whether instance `own` polls the engine `engine` of its zone.
///
/// `instances` holds the keys of the live instances of the zone, with `own`; `engines` is the
/// number of engines in the zone. Every engine is polled by two instances when there are two.
pub fn should_poll(own: u64, instances: &[u64], engine: u64, engines: usize) -> bool {
    engines <= POLL_ALL_LIMIT
        || top_two(engine, instances.iter().map(|key| (*key, *key))).contains(&Some(own))
}
