//! Say how long a silent backend server is waited for while another one may run the request.

use oleanderpass_types::clock::Millis;

use crate::route::Route;
use crate::route::RouteKind;

/// The shortest wait for the first event of a stream. Callers give up after two seconds, and a second
/// server needs part of these.
const FIRST_EVENT: Millis = Millis::new(1_200);

/// The shortest wait for the next event of a stream. Engines whose helper died resume in 1.5 s.
const NEXT_EVENT: Millis = Millis::new(1_000);

/// The shortest wait for the answer of a call.
const CALL: Millis = Millis::new(350);

/// The wait for a first event in objectives of the route, less than the four after which callers
/// give up.
const OBJECTIVES: u64 = 2;

/// The wait for the next event in gaps of the route, less than the eight after which callers give up.
const GAPS: u64 = 3;

/// The wait for a first event in expected times: a server whose queue is long is not silent.
const EXPECTED: u64 = 3;

/// Return the silence after which a server is given up, if its first event is expected after
/// `expected`.
pub fn timeout(route: &Route, has_events: bool, expected: Millis) -> Millis {
    let gap = route.gap.unwrap_or(Millis::ZERO);
    match route.kind {
        RouteKind::Idempotent | RouteKind::NonIdempotent => route.objective.max(CALL),
        RouteKind::Stream | RouteKind::ResumableStream if has_events => {
            gap.saturating_mul(GAPS).max(NEXT_EVENT)
        }
        RouteKind::Stream | RouteKind::ResumableStream => {
            let usual = route.objective.saturating_mul(OBJECTIVES).max(FIRST_EVENT);
            usual.max(expected.saturating_mul(EXPECTED))
        }
    }
}
