//! Decide how long a backend server may be silent before another attempt begins beside the one that
//! it runs.

use oleanderpass_types::clock::Millis;

use crate::route::Route;
use crate::route::RouteKind;

/// How long to wait for an answer after the deadline of the request. The server ends its work at
/// the deadline, and its answer about that takes a moment to arrive.
pub const ANSWER_GRACE: Millis = Millis::new(120);

/// The shortest timeout for the first event of a stream. Callers give up after two seconds, and a
/// second server needs part of that time.
const MIN_FIRST_EVENT: Millis = Millis::new(1_200);

/// The shortest timeout for the next event of a stream. It is less than the 1.5 s in which an
/// engine resumes after one of its helpers has died.
const MIN_NEXT_EVENT: Millis = Millis::new(1_000);

/// The shortest timeout for the answer to a call.
const MIN_CALL: Millis = Millis::new(350);

/// The timeout for the first event, as a multiple of the route's objective. It is less than the
/// four objectives after which callers give up.
const FIRST_EVENT_OBJECTIVES: u64 = 2;

/// The timeout for the next event, as a multiple of the route's gap. It is less than the eight gaps
/// after which callers give up.
const NEXT_EVENT_GAPS: u64 = 3;

/// The timeout for the first event, as a multiple of the expected time to it. A server with a long
/// queue is not silent.
const FIRST_EVENT_EXPECTED_TIMES: u64 = 3;

/// Return how long a server may be silent before another attempt begins. `has_events` tells
/// whether the first event of a stream has arrived, and `expected` is the expected time to that
/// event.
pub fn timeout(route: &Route, has_events: bool, expected: Millis) -> Millis {
    let gap = route.gap.unwrap_or(Millis::ZERO);
    match route.kind {
        RouteKind::Idempotent | RouteKind::NonIdempotent => route.objective.max(MIN_CALL),
        RouteKind::Stream | RouteKind::ResumableStream if has_events => {
            gap.saturating_mul(NEXT_EVENT_GAPS).max(MIN_NEXT_EVENT)
        }
        RouteKind::Stream | RouteKind::ResumableStream => {
            let by_objective = route
                .objective
                .saturating_mul(FIRST_EVENT_OBJECTIVES)
                .max(MIN_FIRST_EVENT);
            by_objective.max(expected.saturating_mul(FIRST_EVENT_EXPECTED_TIMES))
        }
    }
}
