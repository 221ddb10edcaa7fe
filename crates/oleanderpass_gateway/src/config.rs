//! The configuration in force, and how requests match its routes and keys.

use std::rc::Rc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::RegionId;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::size::Bytes;
use smol_str::SmolStr;

use crate::cold::ColdTerms;
use crate::engine::EngineModel;
use crate::route::Route;

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head (request line and headers).
    pub max_head: Bytes,
    /// The largest request body.
    pub max_body: Bytes,
    /// The longest time from the first byte of a request head to its end.
    pub head_timeout: Millis,
    /// The longest time for which a connection stays open without a request.
    pub idle_timeout: Millis,
}

/// A service that routes send requests to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The cost model, if the service's backend servers are model engines.
    pub engine: Option<EngineModel>,
    /// What cold servers of the service take. `None` if its servers are never cold.
    pub cold: Option<ColdTerms>,
}

/// An organisation, which holds one or more keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// The id of the organisation.
    pub id: OrganisationId,
    /// Overrides the priority of the route, if set.
    pub priority: Option<u8>,
    /// The regions whose servers may run its requests. `None` allows all.
    pub homes: Option<IndexSet<RegionId>>,
}

/// One complete and validated version of the configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The version. A higher version replaces a lower one.
    pub version: Generation,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// The services that routes refer to.
    pub services: IndexMap<ServiceId, Service>,
    /// The routes by host and path prefix, so that the cost of a match doesn't grow with their
    /// number.
    routes: IndexMap<(SmolStr, SmolStr), Rc<Route>>,
    /// The organisations by key; `None` if no request needs a key.
    organisations: Option<IndexMap<SmolStr, Rc<Organisation>>>,
    /// Whether a route or an organisation has home regions.
    names_homes: bool,
}

impl Configuration {
    /// Create a configuration. `organisations` maps each key to its holder; `None` means that no
    /// request needs a key.
    pub fn new(
        version: Generation,
        limits: CallerLimits,
        services: IndexMap<ServiceId, Service>,
        routes: impl IntoIterator<Item = Route>,
        organisations: Option<IndexMap<SmolStr, Rc<Organisation>>>,
    ) -> Self {
        let routes: IndexMap<(SmolStr, SmolStr), Rc<Route>> = routes
            .into_iter()
            .map(|route| ((route.host.clone(), route.prefix.clone()), Rc::new(route)))
            .collect();
        let mut holders = organisations.iter().flat_map(IndexMap::values);
        let names_homes = routes.values().any(|route| route.homes.is_some())
            || holders.any(|holder| holder.homes.is_some());
        Self {
            version,
            limits,
            services,
            routes,
            organisations,
            names_homes,
        }
    }

    /// Return whether a route or an organisation has home regions.
    pub fn names_homes(&self) -> bool {
        self.names_homes
    }

    /// Return the route of this host that has the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        let host = SmolStr::new(host);
        path.rmatch_indices('/')
            .find_map(|(at, _)| self.routes.get(&(host.clone(), SmolStr::new(&path[..=at]))))
    }

    /// Return the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Return the organisation that sends a request with this key on this route, or `None` for an
    /// anonymous request.
    ///
    /// # Errors
    ///
    /// Return [`UnknownKey`] if the route needs a key and no organisation holds this one.
    pub fn authenticate(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Rc<Organisation>>, UnknownKey> {
        let Some(holders) = &self.organisations else {
            return Ok(None);
        };
        match key.and_then(|key| holders.get(key)) {
            Some(holder) => Ok(Some(holder.clone())),
            None if route.anonymous => Ok(None),
            None => Err(UnknownKey),
        }
    }

    /// Return the cost model of a service's engines, or `None` for a plain service.
    pub fn engine(&self, service: &ServiceId) -> Option<&EngineModel> {
        self.services.get(service)?.engine.as_ref()
    }
}

/// No organisation holds the key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;
