//! Check requests against the configuration in force: when they come, and before each attempt.

use oleanderpass_types::clock::Timestamp;

use super::Admission;
use super::Gateway;
use super::Rejection;
use super::Request;
use crate::outcome::Execution;
use crate::terms;

impl Gateway {
    /// Decide whether to take on a request.
    ///
    /// # Errors
    ///
    /// Return why the request isn't admitted.
    pub fn admit(
        &self,
        now: Timestamp,
        host: &str,
        path: &str,
        key: Option<&str>,
        draw: u32,
    ) -> Result<Admission, Rejection> {
        let admission = self.authorize(host, path, key, draw)?;
        let drain = self.drain.as_ref();
        if drain.is_some_and(|drain| !drain.admits(now, &admission.route)) {
            return Err(Rejection::Stopping);
        }
        Ok(admission)
    }

    /// Check a request against the configuration in force.
    ///
    /// # Errors
    ///
    /// Return why the configuration doesn't allow the request.
    fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        draw: u32,
    ) -> Result<Admission, Rejection> {
        let config = self.config.as_ref().ok_or(Rejection::NotReady)?;
        if !self.registry.is_complete() {
            return Err(Rejection::NotReady);
        }
        let route = config.route(host, path).ok_or(Rejection::NoRoute)?;
        let organisation = config
            .authenticate(route, key)
            .map_err(|_| Rejection::UnknownKey)?;
        Ok(Admission {
            version: config.version,
            route: route.clone(),
            organisation,
            service: route.choose_service(draw).clone(),
        })
    }

    /// Return the terms of an admitted request under the configuration in force.
    ///
    /// # Errors
    ///
    /// Return why the request may not go on.
    pub(super) fn current_terms(&self, req: &Request) -> Result<Admission, Rejection> {
        let version = self.config.as_ref().map(|config| config.version);
        if version == Some(req.admission.version) {
            return Ok(req.admission.clone());
        }
        let spec = &req.spec;
        let newest = self.authorize(&spec.host, &spec.path, spec.key.as_deref(), req.draw)?;
        let may_have_run = req.execution() != Execution::NotRun;
        terms::narrow(&req.admission, newest, may_have_run)
    }

    /// Check an admitted request against a newer configuration, if one has come into force.
    pub(super) fn reauthorize(&self, req: &mut Request) -> Result<(), Rejection> {
        req.admission = self.current_terms(req)?;
        let (received, deadline) = (req.spec.received, req.spec.deadline);
        req.spec.deadline = terms::narrow_deadline(received, deadline, &req.admission);
        Ok(())
    }
}
