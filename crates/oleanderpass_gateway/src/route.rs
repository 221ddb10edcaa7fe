//! Describe one route of the configuration.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::ServiceId;
use smol_str::SmolStr;
use strum::Display;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// A call that may run any number of times.
    Idempotent,
    /// A call that must run at most once.
    NonIdempotent,
    /// A stream of events that a second run may continue.
    ResumableStream,
    /// A stream of events that must run at most once.
    Stream,
}

impl RouteKind {
    /// Return whether a second run is allowed after one that may have begun.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Return whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// The share, relative to the other services of the route.
    pub weight: u32,
}

/// Where the requests of a host and path prefix go, and under which terms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name, for logs.
    pub name: SmolStr,
    /// The host.
    pub host: SmolStr,
    /// The path prefix. It begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The services that run the requests, at least one.
    pub services: Vec<WeightedService>,
    /// The longest time in which a request is answered.
    pub timeout: Millis,
    /// The time to the first event or the whole answer up to which it is on time.
    pub objective: Millis,
    /// The longest pause between two events of a stream that is still on time.
    pub gap: Option<Millis>,
    /// The most backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// How urgent the route is; 0 is the most urgent.
    pub priority: u8,
    /// Callers need no key.
    pub anonymous: bool,
}

impl Route {
    /// Return whether a service runs requests of this route.
    pub fn allows(&self, service: &ServiceId) -> bool {
        self.services.iter().any(|entry| entry.service == *service)
    }

    /// Return the service for a draw, which may be any number.
    pub fn service(&self, draw: u32) -> &ServiceId {
        let total: u32 = self.services.iter().map(|entry| entry.weight).sum();
        let mut left = draw % total.max(1);
        for entry in &self.services {
            if left < entry.weight {
                return &entry.service;
            }
            left -= entry.weight;
        }
        &self.services[0].service
    }
}
