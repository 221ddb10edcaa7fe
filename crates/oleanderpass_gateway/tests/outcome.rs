//! Check what a caller is told, by what is known of the run.

use oleanderpass_gateway::outcome::Cause;
use oleanderpass_gateway::outcome::Execution;
use oleanderpass_gateway::outcome::may_retry;
use oleanderpass_gateway::outcome::status;
use oleanderpass_gateway::route::RouteKind;
use test_case::test_case;

/// Guards against "not run" (503) for a request that may have run.
#[test_case(Execution::NotRun, Cause::NotReady, 503)]
#[test_case(Execution::NotRun, Cause::NoCapacity, 503)]
#[test_case(Execution::NotRun, Cause::Timeout, 503)]
#[test_case(Execution::NotRun, Cause::AttemptFailed, 503)]
#[test_case(Execution::NotRun, Cause::Quarantined, 502)]
#[test_case(Execution::Unknown, Cause::NoCapacity, 502)]
#[test_case(Execution::Unknown, Cause::AttemptFailed, 502)]
#[test_case(Execution::Unknown, Cause::Timeout, 504)]
#[test_case(Execution::Unknown, Cause::Quarantined, 502)]
#[test_case(Execution::Ran, Cause::NoCapacity, 502)]
#[test_case(Execution::Ran, Cause::AttemptFailed, 502)]
#[test_case(Execution::Ran, Cause::Timeout, 504)]
#[test_case(Execution::Ran, Cause::Quarantined, 502)]
fn status_of_an_end(worst: Execution, cause: Cause, expected: u16) {
    assert_eq!(status(worst, cause), expected);
}

#[test_case(RouteKind::Idempotent, [true, true, true])]
#[test_case(RouteKind::ResumableStream, [true, true, true])]
#[test_case(RouteKind::NonIdempotent, [true, false, false])]
#[test_case(RouteKind::Stream, [true, false, false])]
fn retry_by_kind(kind: RouteKind, expected: [bool; 3]) {
    let seen = [Execution::NotRun, Execution::Unknown, Execution::Ran];
    assert_eq!(seen.map(|execution| may_retry(kind, execution)), expected);
}
