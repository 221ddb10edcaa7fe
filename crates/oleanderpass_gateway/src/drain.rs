//! Decide which requests an instance that stops still takes.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

use crate::route::Route;

/// The time for which an instance that stops takes all requests: the balancer needs two checks of
/// one second to send callers elsewhere, and what begins within three seconds may run to the end of
/// the stop.
pub const ADMIT_ALL_TIME: Millis = Millis::new(2_800);

/// When an instance began to stop and when its process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// The begin.
    pub began: Timestamp,
    /// The end of the process.
    pub end: Timestamp,
}

impl Drain {
    /// Return whether a request that arrives now is taken. Later ones are taken only if their longest
    /// time lies before the end; the others do better on another instance at once.
    pub fn admits(&self, now: Timestamp, route: &Route) -> bool {
        let early = now.since(self.began) < ADMIT_ALL_TIME;
        early || now + route.timeout < self.end
    }
}
