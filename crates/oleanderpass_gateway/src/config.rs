//! Keep the configuration in force and match requests with its routes.

use std::rc::Rc;

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::size::Bytes;
use smol_str::SmolStr;

use crate::engine::EngineModel;
use crate::route::Route;

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head.
    pub max_head: Bytes,
    /// The largest request body.
    pub max_body: Bytes,
    /// The longest time from the first byte of a head to its end.
    pub head_timeout: Millis,
    /// The longest time that a connection stays open without a request.
    pub idle_timeout: Millis,
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The cost model, if the service's backend servers are model engines.
    pub engine: Option<EngineModel>,
}

/// A holder of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// The id.
    pub id: OrganisationId,
    /// Replaces the priority of the route.
    pub priority: Option<u8>,
}

/// One version of the configuration, whole and checked.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The version. A higher one replaces a lower one.
    pub version: Generation,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The services.
    pub services: IndexMap<ServiceId, Service>,
    /// The routes by host and prefix, so that the cost of a match doesn't grow with their number.
    routes: IndexMap<(SmolStr, SmolStr), Rc<Route>>,
    /// The organisations by key; `None` when no request needs a key.
    organisations: Option<IndexMap<SmolStr, Rc<Organisation>>>,
}

impl Configuration {
    /// Join the parts of a configuration. `organisations` maps each key to its holder.
    pub fn new(
        version: Generation,
        limits: CallerLimits,
        services: IndexMap<ServiceId, Service>,
        routes: impl IntoIterator<Item = Route>,
        organisations: Option<IndexMap<SmolStr, Rc<Organisation>>>,
    ) -> Self {
        let routes = routes
            .into_iter()
            .map(|route| ((route.host.clone(), route.prefix.clone()), Rc::new(route)))
            .collect();
        Self {
            version,
            limits,
            services,
            routes,
            organisations,
        }
    }

    /// Return the route with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        let host = SmolStr::new(host);
        path.rmatch_indices('/')
            .find_map(|(at, _)| self.routes.get(&(host.clone(), SmolStr::new(&path[..=at]))))
    }

    /// Return the number of routes.
    pub fn routes(&self) -> usize {
        self.routes.len()
    }

    /// Return who sends a request with this key on this route.
    ///
    /// # Errors
    ///
    /// Return [`UnknownKey`] when the route needs a key and nobody holds this one.
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

    /// Return the cost model of a service's engines.
    pub fn engine(&self, service: &ServiceId) -> Option<&EngineModel> {
        self.services.get(service)?.engine.as_ref()
    }
}

/// Nobody holds the key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;
