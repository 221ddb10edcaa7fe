//! Decide which requests are served first, later or not at all when engines lack slots or time.
//!
//! A queue in which everyone waits makes every answer late. Requests that can still be on time go
//! first; the others are deferred: engines admit them when nothing urgent waits. A request that would
//! wait for longer than its caller does is refused at once, with the time at which to return.

use oleanderpass_types::clock::Millis;
use strum::Display;

use crate::route::Route;

/// How a request is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Turn {
    /// It can be on time.
    Now,
    /// It will be late; others go first.
    Deferred,
    /// Its caller would give up before.
    Refused,
}

/// The least time for which callers wait for a first event. Source: the callers' published behaviour.
const CALLER_PATIENCE: Millis = Millis::new(2_000);

/// The time for which callers wait for a first event, in objectives of the route and in gaps of it.
/// Source: the callers' published behaviour.
const PATIENCE_OBJECTIVES: u64 = 4;
const PATIENCE_GAPS: u64 = 8;

/// The part of the callers' patience up to which a first event may be expected, in hundredths. The
/// estimate is often too short under load.
const PATIENCE_PERCENT: u64 = 80;

/// Return how a stream is served whose first event is expected after `expected` when it goes first,
/// and after `behind_all` when it waits behind all others. `left` is what remains of its time.
pub fn turn(route: &Route, expected: Millis, behind_all: Millis, left: Millis) -> Turn {
    let gap = route.gap.unwrap_or(Millis::ZERO).saturating_mul(PATIENCE_GAPS);
    let patience = route
        .objective
        .saturating_mul(PATIENCE_OBJECTIVES)
        .max(gap)
        .max(CALLER_PATIENCE)
        .min(left);
    let longest = Millis::new(patience.get() * PATIENCE_PERCENT / 100);
    if expected <= route.objective {
        Turn::Now
    } else if behind_all <= longest {
        Turn::Deferred
    } else {
        Turn::Refused
    }
}
