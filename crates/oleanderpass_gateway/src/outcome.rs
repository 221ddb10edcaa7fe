//! Say what a caller is told when a request ends without a backend server's success.

use strum::Display;

use crate::route::RouteKind;

/// What an attempt showed about whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Execution {
    /// No byte of the request was sent, or the backend server said that it did not run it.
    NotRun,
    /// The request was sent, and nothing says whether it ran.
    Unknown,
    /// The backend server answered that it ran and failed.
    Ran,
}

/// Why a request ends without a success.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The instance has no configuration or list of backend servers yet.
    NotReady,
    /// No backend server can take the request in its time.
    NoCapacity,
    /// The request's time is over.
    Timeout,
    /// The last attempt failed and no other is allowed.
    AttemptFailed,
    /// The request crashed several backend servers.
    Quarantined,
}

/// HTTP: the request can't be served now and did not run.
pub const UNAVAILABLE: u16 = 503;
/// HTTP: a backend server failed, and the request may have run.
pub const BAD_GATEWAY: u16 = 502;
/// HTTP: the time is over, and the request may have run.
pub const GATEWAY_TIMEOUT: u16 = 504;

/// Return the status for a request that ends without a success. `worst` is what all its attempts
/// showed together.
///
/// 503 states that the request did not run and never will, so it needs that knowledge. A request
/// that may be repeated and ran is still answered 502: it has run.
pub fn status(worst: Execution, cause: Cause) -> u16 {
    match (worst, cause) {
        (Execution::NotRun, Cause::Quarantined) => BAD_GATEWAY,
        (Execution::NotRun, _) => UNAVAILABLE,
        (Execution::Unknown | Execution::Ran, Cause::Timeout) => GATEWAY_TIMEOUT,
        (Execution::Unknown | Execution::Ran, _) => BAD_GATEWAY,
    }
}

/// Return whether another attempt is allowed after what the earlier ones showed, as far as the kind
/// of the route decides.
pub fn may_retry(kind: RouteKind, worst: Execution) -> bool {
    worst == Execution::NotRun || kind.may_repeat()
}
