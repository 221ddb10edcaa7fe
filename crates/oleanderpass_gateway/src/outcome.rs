//! Choose the HTTP status for a request that no backend server completed, and whether another
//! attempt is allowed.

use strum::Display;

use crate::route::RouteKind;

/// What an attempt revealed about whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Execution {
    /// No byte of the request was sent, or the backend server answered that it did not run it.
    NotRun,
    /// The request was sent, and nothing shows whether it ran.
    Unknown,
    /// The backend server ran it: it answered that the request succeeded or failed.
    Ran,
}

/// Why a request ends without success.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The instance has no configuration or no list of backend servers yet.
    NotReady,
    /// No backend server can run the request before its deadline.
    NoCapacity,
    /// The deadline of the request has passed.
    Timeout,
    /// The last attempt failed, and another one is not allowed.
    AttemptFailed,
    /// The request crashed several backend servers.
    Quarantined,
}

/// HTTP 503: the request can't be served now and did not run.
pub const UNAVAILABLE: u16 = 503;
/// HTTP 502: a backend server failed, and the request may have run.
pub const BAD_GATEWAY: u16 = 502;
/// HTTP 504: the deadline has passed, and the request may have run.
pub const GATEWAY_TIMEOUT: u16 = 504;

/// Return the HTTP status for a request that ends without success. `worst_execution` is the highest
/// [`Execution`] of all its attempts.
///
/// 503 states that the request did not run and never will, so it is used only when that is certain.
/// An idempotent request that ran is also answered with 502, because it did run.
pub fn status(worst_execution: Execution, cause: Cause) -> u16 {
    match (worst_execution, cause) {
        (Execution::NotRun, Cause::Quarantined) => BAD_GATEWAY,
        (Execution::NotRun, _) => UNAVAILABLE,
        (Execution::Unknown | Execution::Ran, Cause::Timeout) => GATEWAY_TIMEOUT,
        (Execution::Unknown | Execution::Ran, _) => BAD_GATEWAY,
    }
}

/// Return whether the kind of the route allows another attempt. `worst_execution` is the highest
/// [`Execution`] of the earlier attempts.
pub fn may_retry(kind: RouteKind, worst_execution: Execution) -> bool {
    worst_execution == Execution::NotRun || kind.may_repeat()
}
