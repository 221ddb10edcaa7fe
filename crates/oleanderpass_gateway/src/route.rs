//! The routes of the configuration.

use indexmap::IndexSet;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::RegionId;
use oleanderpass_types::id::ServiceId;
use smol_str::SmolStr;
use strum::Display;

/// The kind of answer on a route, and whether its requests are idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// A call with one whole answer that may run any number of times.
    Idempotent,
    /// A call with one whole answer that must run at most once.
    NonIdempotent,
    /// A stream of events that another run of the request may continue.
    ResumableStream,
    /// A stream of events that must run at most once.
    Stream,
}

impl RouteKind {
    /// Return whether the request may run again after a run that may have begun.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Return whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}

/// A service and its weight among the services of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service that runs requests.
    pub service: ServiceId,
    /// The share of the requests, relative to the weights of the other services of the route.
    pub weight: u32,
}

/// The services and limits for requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name, which is used in logs only.
    pub name: SmolStr,
    /// The host that requests name.
    pub host: SmolStr,
    /// The path prefix. It begins and ends with a slash.
    pub prefix: SmolStr,
    /// The kind of answer, and whether requests are idempotent.
    pub kind: RouteKind,
    /// The services that run the requests. There is at least one.
    pub services: Vec<WeightedService>,
    /// The time after which a request is no longer served.
    pub timeout: Millis,
    /// The longest time to the first event of a stream, or to a whole answer, that is on time.
    pub objective: Millis,
    /// The longest pause between two events of a stream that is on time. `None` if the route sets
    /// no limit.
    pub gap: Option<Millis>,
    /// The largest number of backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// The priority of requests at engines; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers may send requests without a key, or with one that no organisation holds.
    pub anonymous: bool,
    /// The regions whose servers may run requests. `None` allows all.
    pub homes: Option<IndexSet<RegionId>>,
}

impl Route {
    /// Return whether the route sends requests to a service.
    pub fn allows(&self, service: &ServiceId) -> bool {
        self.services.iter().any(|entry| entry.service == *service)
    }

    /// Choose a service by weight. `draw` is a random number from the whole range of `u32`.
    pub fn choose_service(&self, draw: u32) -> &ServiceId {
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
