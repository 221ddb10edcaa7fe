//! Decide which version of the configuration governs a request that outlives the one that admitted
//! it.
//!
//! A request that may have run is judged by what it ran under: a later version can forbid what an
//! earlier one allowed, and never allow what an earlier one forbade. [`Field::decider`] is the only
//! source of these decisions.

use std::rc::Rc;

use oleanderpass_types::clock::Timestamp;
use strum::Display;
use strum::EnumIter;

use crate::config::Organisation;
use crate::gateway::Admission;
use crate::gateway::Rejection;
use crate::route::Route;
use crate::route::RouteKind;

/// A field of an admission, with those of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Field {
    /// The version that admits the request.
    Version,
    /// The name of its route, for logs.
    Name,
    /// The host of its route.
    Host,
    /// The prefix of its route.
    Prefix,
    /// Whether it may run again, or its answer may be resumed, and the form of the answer.
    Kind,
    /// The services of its route and their weights.
    Services,
    /// The time after which it is no longer served.
    Timeout,
    /// The time within which its answer is on time.
    Objective,
    /// The pause of its stream that is on time.
    Gap,
    /// The number of servers that it may be sent to.
    MaxAttempts,
    /// Its priority.
    Priority,
    /// Whether it needs a key.
    Anonymous,
    /// The regions whose servers may run it.
    Homes,
    /// The organisation that holds its key.
    Organisation,
    /// The service that runs it.
    Service,
}

/// Which version decides a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Decider {
    /// The newest one.
    Newest,
    /// All since the request was admitted: the narrowest value stands.
    Narrower,
}

impl Field {
    /// Return which version decides this field.
    pub const fn decider(self) -> Decider {
        match self {
            Self::Kind | Self::Timeout | Self::MaxAttempts | Self::Organisation | Self::Service => {
                Decider::Narrower
            }
            Self::Version
            | Self::Name
            | Self::Host
            | Self::Prefix
            | Self::Services
            | Self::Objective
            | Self::Gap
            | Self::Priority
            | Self::Anonymous
            | Self::Homes => Decider::Newest,
        }
    }
}

/// Return the value of a field. `narrower` returns the narrower one of the values before and now.
fn decide<T>(field: Field, before: T, now: T, narrower: impl FnOnce(T, T) -> T) -> T {
    match field.decider() {
        Decider::Newest => now,
        Decider::Narrower => narrower(before, now),
    }
}

/// Return the newest value of a field without an order.
fn newest<T>(_before: T, now: T) -> T {
    now
}

/// Return the narrower one of two kinds. The form of the answer stays. A request may run again only
/// if it is of the same kind in both versions.
fn narrower_kind(before: RouteKind, now: RouteKind) -> RouteKind {
    match before {
        _ if before == now => now,
        RouteKind::Idempotent | RouteKind::NonIdempotent => RouteKind::NonIdempotent,
        RouteKind::ResumableStream | RouteKind::Stream => RouteKind::Stream,
    }
}

/// Return the terms of a request which was admitted on the terms `before` and which a newer version
/// would admit on the terms `now`. `may_have_run` tells whether a server may have run it.
///
/// # Errors
///
/// Return why the request may not go on.
pub(crate) fn narrow(
    before: &Admission,
    now: Admission,
    may_have_run: bool,
) -> Result<Admission, Rejection> {
    let Admission {
        version,
        route,
        organisation,
        service,
    } = now;
    let id = |organisation: &Option<Rc<Organisation>>| organisation.as_ref().map(|o| o.id.clone());
    let is_other = id(&before.organisation) != id(&organisation);
    // The run belongs to the organisation that held the key then.
    if Field::Organisation.decider() == Decider::Narrower && may_have_run && is_other {
        return Err(Rejection::UnknownKey);
    }
    // The request stays with its service as long as the route sends requests there.
    let service = decide(
        Field::Service,
        before.service.clone(),
        service,
        |before, now| {
            if route.allows(&before) { before } else { now }
        },
    );
    Ok(Admission {
        version: decide(Field::Version, before.version, version, newest),
        route: narrow_route(&before.route, route),
        organisation,
        service,
    })
}

/// Return the route of a request, of which it had `before` and a newer version has `now`.
fn narrow_route(before: &Route, now: Rc<Route>) -> Rc<Route> {
    let Route {
        name,
        host,
        prefix,
        kind,
        services,
        timeout,
        objective,
        gap,
        max_attempts,
        priority,
        anonymous,
        homes,
    } = Route::clone(&now);
    let old = before.clone();
    let route = Route {
        name: decide(Field::Name, old.name, name, newest),
        host: decide(Field::Host, old.host, host, newest),
        prefix: decide(Field::Prefix, old.prefix, prefix, newest),
        kind: decide(Field::Kind, old.kind, kind, narrower_kind),
        services: decide(Field::Services, old.services, services, newest),
        timeout: decide(Field::Timeout, old.timeout, timeout, Ord::min),
        objective: decide(Field::Objective, old.objective, objective, newest),
        gap: decide(Field::Gap, old.gap, gap, newest),
        max_attempts: decide(Field::MaxAttempts, old.max_attempts, max_attempts, Ord::min),
        priority: decide(Field::Priority, old.priority, priority, newest),
        anonymous: decide(Field::Anonymous, old.anonymous, anonymous, newest),
        homes: decide(Field::Homes, old.homes, homes, newest),
    };
    if route == *now { now } else { Rc::new(route) }
}

/// Return the deadline of a request on these terms, which had `deadline` before.
pub(crate) fn narrow_deadline(
    received: Timestamp,
    deadline: Timestamp,
    admission: &Admission,
) -> Timestamp {
    deadline.min(received + admission.route.timeout)
}
