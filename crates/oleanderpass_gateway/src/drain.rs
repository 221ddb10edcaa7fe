//! Decide which requests an instance still admits while it drains.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

use crate::route::Route;
use crate::silence::ANSWER_GRACE;

/// The time for which a draining instance admits all requests. The balancer needs two checks at an
/// interval of one second before it sends callers elsewhere, and requests that begin within three
/// seconds may run until the process ends.
pub const ADMIT_ALL_TIME: Millis = Millis::new(2_800);

/// The period in which an instance drains before its process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// When the instance began to drain.
    pub began: Timestamp,
    /// When the process ends.
    pub end: Timestamp,
}

impl Drain {
    /// Return whether a request that arrives now is admitted. After [`ADMIT_ALL_TIME`], a request
    /// is admitted only if the answer about the timeout of its route is sent before the process
    /// ends; any other request is better sent to another instance at once.
    pub fn admits(&self, now: Timestamp, route: &Route) -> bool {
        let early = now.since(self.began) < ADMIT_ALL_TIME;
        early || now + route.timeout + ANSWER_GRACE < self.end
    }
}
