//! Test the HTTP status of requests without success, and which requests may be retried.

use oleanderpass_gateway::outcome::Cause;
use oleanderpass_gateway::outcome::Execution;
use oleanderpass_gateway::outcome::may_retry;
use oleanderpass_gateway::outcome::status;
use oleanderpass_gateway::route::RouteKind;
use test_case::test_case;

/// Guards against the status 503, which means "not run", for a request that may have run.
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
fn status_of_a_request_without_success(worst: Execution, cause: Cause, expected: u16) {
    assert_eq!(status(worst, cause), expected);
}

/// Guards against a second run of a non-idempotent request that may have run.
#[test_case(RouteKind::Idempotent, [true, true, true])]
#[test_case(RouteKind::ResumableStream, [true, true, true])]
#[test_case(RouteKind::NonIdempotent, [true, false, false])]
#[test_case(RouteKind::Stream, [true, false, false])]
fn retry_depends_on_the_kind_of_route(kind: RouteKind, expected: [bool; 3]) {
    let executions = [Execution::NotRun, Execution::Unknown, Execution::Ran];
    assert_eq!(
        executions.map(|execution| may_retry(kind, execution)),
        expected
    );
}
