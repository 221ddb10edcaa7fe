//! Decide which requests are served first, later or not at all when engines lack slots or time.
//!
//! A queue in which everyone waits makes every answer late. Requests that can still be on time go
//! first; the others are deferred: engines admit them when nothing urgent waits. A request that would
//! wait for longer than its caller does is refused at once, with the time at which to return.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use strum::Display;

use crate::route::Route;

/// How a request is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Scheduling {
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

/// Return how long a caller with `left` waits for a first event.
fn patience(route: &Route, left: Millis) -> Millis {
    let gap = route
        .gap
        .unwrap_or(Millis::ZERO)
        .saturating_mul(PATIENCE_GAPS);
    route
        .objective
        .saturating_mul(PATIENCE_OBJECTIVES)
        .max(gap)
        .max(CALLER_PATIENCE)
        .min(left)
}

/// Return how a stream is served whose first event is expected after `expected` when it goes first,
/// and after `behind_all` when it waits behind all others. `left` is what remains of its time.
pub fn schedule(route: &Route, expected: Millis, behind_all: Millis, left: Millis) -> Scheduling {
    let longest = Millis::new(patience(route, left).get() * PATIENCE_PERCENT / 100);
    if expected <= route.objective {
        Scheduling::Now
    } else if behind_all <= longest {
        Scheduling::Deferred
    } else {
        Scheduling::Refused
    }
}

/// The unread time of engines up to which a long prompt is sent to them at once. Engines read the
/// parts of long prompts before all else, so what is sent delays every short stream there.
const BACKLOG: Millis = Millis::new(300);

/// The backlog that is accepted for each millisecond that a long prompt has waited, in hundredths.
/// Older prompts of all instances so go before younger ones.
const BACKLOG_PERCENT: u64 = 60;

/// The time to a first event that a long prompt allows for, in hundredths of the expected one. In a run of
/// mispill-grown scale-1 prompts of several parts took 1.0 to 1.6 times as long as expected.
const ESTIMATE_PERCENT: u64 = 125;

/// The unread time of engines up to which a late prompt is sent: a third of [`BACKLOG`], so that
/// prompts that can be on time go first.
const LATE_BACKLOG: Millis = Millis::new(100);

/// The part of its callers' patience for which a late prompt waits at most, in hundredths. The rest is
/// for reading it.
const LATE_WAIT_PERCENT: u64 = 50;

/// The time between two looks at the engines for a long prompt that waits.
const LOOK_AGAIN: Millis = Millis::new(40);

/// Return until when a long prompt waits before the next look, or `None` if it is sent now. `backlog`
/// is the unread time of its engines, `expected` the time to its first event if it is sent now.
///
/// Those that can be on time go first, the older ones before the younger. One that can't any more
/// waits until little is unread.
pub fn wait_until(
    route: &Route,
    now: Timestamp,
    received: Timestamp,
    deadline: Timestamp,
    backlog: Millis,
    expected: Millis,
) -> Option<Timestamp> {
    let waited = now.since(received);
    let expected = Millis::new(expected.get() * ESTIMATE_PERCENT / 100);
    let accepted = if waited + expected <= route.objective {
        BACKLOG + Millis::new(waited.get() * BACKLOG_PERCENT / 100)
    } else {
        LATE_BACKLOG
    };
    let patience = patience(route, deadline.since(received));
    let longest = Millis::new(patience.get() * LATE_WAIT_PERCENT / 100);
    (backlog > accepted && waited < longest).then_some(now + LOOK_AGAIN)
}
