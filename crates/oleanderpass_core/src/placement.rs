//! Choose the backend servers that run a request.

use oleanderpass_config::document::Document;
use oleanderpass_config::document::Service;
use oleanderpass_routing::policy::Choice;
use oleanderpass_routing::policy::Policy;
use oleanderpass_routing::policy::Refusal;
use oleanderpass_routing::policy::SplitOptions;
use oleanderpass_routing::policy::choose;
use oleanderpass_routing::request::LengthClass;
use oleanderpass_routing::request::Request as RoutedRequest;
use oleanderpass_routing::view::EngineSpec;
use oleanderpass_routing::view::LoadReport;
use oleanderpass_routing::view::Server;
use oleanderpass_routing::view::View;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::ModelId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::size::Tokens;
use rand::RngExt;

use crate::dispatch::AttemptPlan;
use crate::event::Lifecycle;
use crate::event::NewRequest;
use crate::event::ServerLoad;
use crate::event::Target;
use crate::holding::MultiEnginePlan;
use crate::holding::max_memory;
use crate::instance::Instance;
use crate::request::Request;
use crate::server::ServerView;

/// The largest output that estimates assume. Callers often allow far more tokens than an answer
/// takes, so their limit would be no estimate.
const MAX_EXPECTED_OUTPUT: Tokens = Tokens::new(256);

/// The decision on where a request runs.
#[derive(Debug)]
pub(crate) enum Placement {
    /// On one server.
    SingleServer(AttemptPlan),
    /// On several engines, because it needs more memory than the largest one has.
    MultipleEngines(MultiEnginePlan),
    /// No server can take the request now.
    Wait,
    /// Several engines together have too little free memory now. Other requests need not wait.
    WaitForMemory,
    /// The request is refused, however long it waits.
    Refuse(Refusal),
}

impl Instance {
    /// Choose where a queued request runs.
    pub(crate) fn choose_placement(&mut self, now: Timestamp, id: &RequestId) -> Placement {
        let Some(req) = self.requests.get(id) else {
            return Placement::Wait;
        };
        let Target::Model { model, .. } = &req.new.target else {
            return self.place_by_attempts(now, id);
        };
        let model = model.clone();
        let Some(view) = self.views.get_mut(&model) else {
            return Placement::Wait;
        };
        view.refresh();
        if view.pool().is_empty() {
            // No engine reports that it is ready, but requests may still reach engines whose polls
            // fail.
            return self.place_by_attempts(now, id);
        }
        // A long prompt that doesn't fit on the largest engine next to the memory that is kept free
        // for short prompts is spread over several engines.
        let largest_engine = view.pool_servers().map(|server| server.spec.memory).max();
        let reserve = self.reserve_per_engine(now, id, &model);
        let memory = self.requests.get(id).map(|req| max_memory(&req.new));
        if memory
            .zip(reserve)
            .map(|(memory, reserve)| memory + reserve)
            > largest_engine
            && self.has_long_prompt(id, &model)
        {
            return match self.plan_holds(now, id, &model) {
                Some(plan) => Placement::MultipleEngines(MultiEnginePlan { model, plan }),
                None => Placement::WaitForMemory,
            };
        }
        let unavailable = self.unavailable_engines(now, id, &model);
        let mut excluded = unavailable.clone();
        excluded.extend(
            self.requests
                .get(id)
                .into_iter()
                .flat_map(|req| req.failed_servers.clone()),
        );
        match self.choose_engine(now, id, &model, &excluded) {
            Choice::Refuse(Refusal::NoServer) if excluded.len() > unavailable.len() => {
                let choice = self.choose_engine(now, id, &model, &unavailable);
                placement_from(choice, model)
            }
            choice => placement_from(choice, model),
        }
    }

    fn choose_engine(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        model: &ModelId,
        excluded: &[BackendServerId],
    ) -> Choice {
        let (Some(req), Some(view)) = (self.requests.get(id), self.views.get(model)) else {
            return Choice::Wait;
        };
        let routed = routing_request(&req.new, req.deadline, excluded, req.is_urgent(now));
        let policy = Policy::Split(SplitOptions::default());
        choose(policy, view, now, &routed, &mut self.rng)
    }

    fn has_long_prompt(&self, id: &RequestId, model: &ModelId) -> bool {
        let (Some(req), Some(view)) = (self.requests.get(id), self.views.get(model)) else {
            return false;
        };
        LengthClass::of(req.new.prompt, view.long_prompt()) == LengthClass::Long
    }

    /// Return the refusal of a new request that can't finish before its deadline or is too large
    /// for the engines, however long it waits. Return `None` if it may run, now or later.
    pub(crate) fn early_refusal(
        &mut self,
        now: Timestamp,
        new: &NewRequest,
        deadline: Timestamp,
    ) -> Option<Refusal> {
        let Target::Model { model, .. } = &new.target else {
            return None;
        };
        let view = self.views.get_mut(model)?;
        view.refresh();
        let policy = Policy::Split(SplitOptions::default());
        match choose(
            policy,
            view,
            now,
            &routing_request(new, deadline, &[], false),
            &mut self.rng,
        ) {
            Choice::Refuse(Refusal::NoServer) | Choice::Run { .. } | Choice::Wait => None,
            Choice::Refuse(refusal) => Some(refusal),
        }
    }

    /// Return the engines of the pool that can't take the request now.
    fn unavailable_engines(
        &self,
        now: Timestamp,
        id: &RequestId,
        model: &ModelId,
    ) -> Vec<BackendServerId> {
        let (Some(req), Some(view)) = (self.requests.get(id), self.views.get(model)) else {
            return Vec::new();
        };
        view.pool_servers()
            .map(|server| &server.id)
            .filter(|server_id| {
                let server = self.servers.get(*server_id);
                !server.is_some_and(|server| self.accepts(now, req, server_id, server))
            })
            .cloned()
            .collect()
    }

    /// Choose a server without the routing policy: of two random ones, that with fewer attempts of
    /// this instance.
    ///
    /// Only servers of the own zone are considered, unless it has none that is ready. Servers on
    /// which the request failed, and then those whose load poll failed, are used only when there is
    /// no other.
    fn place_by_attempts(&mut self, now: Timestamp, id: &RequestId) -> Placement {
        let Some(req) = self.requests.get(id) else {
            return Placement::Wait;
        };
        let mut candidates = self.candidates(now, req, |server_id| {
            !req.failed_servers.contains(server_id)
        });
        if candidates.is_empty() {
            candidates = self.candidates(now, req, |_| true);
        }
        let server_at = |index: &usize| self.servers.get_index(*index).map(|(_, server)| server);
        if self.own_zone_is_ready(req) {
            let own = &self.identity.zone;
            candidates.retain(|index| server_at(index).is_some_and(|server| server.zone == *own));
        }
        let reports_load =
            |index: &usize| server_at(index).is_some_and(|server| !server.load_poll_failed);
        if candidates.iter().any(reports_load) {
            candidates.retain(reports_load);
        }
        if candidates.is_empty() {
            return Placement::Wait;
        }
        let first = candidates.swap_remove(self.rng.random_range(0..candidates.len()));
        let second = match candidates.len() {
            0 => first,
            len => candidates[self.rng.random_range(0..len)],
        };
        let attempts = |index| server_at(&index).map(|server| server.in_flight);
        let choice = if attempts(second) < attempts(first) {
            second
        } else {
            first
        };
        match self.servers.get_index(choice) {
            Some((server_id, _)) => Placement::SingleServer(AttemptPlan {
                server: server_id.clone(),
                dispatch: None,
                low_priority: false,
                holds: Vec::new(),
            }),
            None => Placement::Wait,
        }
    }

    /// Return the indices of the servers that can take the request now and meet `condition`.
    fn candidates(
        &self,
        now: Timestamp,
        req: &Request,
        condition: impl Fn(&BackendServerId) -> bool,
    ) -> Vec<usize> {
        self.servers
            .iter()
            .enumerate()
            .filter(|(_, (server_id, server))| {
                server.service == req.service
                    && self.accepts(now, req, server_id, server)
                    && condition(server_id)
            })
            .map(|(index, _)| index)
            .collect()
    }

    /// Return whether a server of the request's service can take the request now.
    pub(crate) fn accepts(
        &self,
        now: Timestamp,
        req: &Request,
        server_id: &BackendServerId,
        server: &ServerView,
    ) -> bool {
        let has_free_slot = self
            .document
            .as_ref()
            .and_then(|document| document.services.get(&req.service))
            .is_some_and(|service| server.in_flight < service.concurrent_requests);
        has_free_slot
            && server.is_live()
            && now >= server.backoff_until
            && serves(req, server)
            && self.may_run_on(now, req.signature, server_id)
    }

    /// Return whether the own zone has a server for the request, even if that is busy: a full zone
    /// doesn't pass its load on to other zones.
    fn own_zone_is_ready(&self, req: &Request) -> bool {
        self.servers.values().any(|server| {
            server.zone == self.identity.zone
                && server.service == req.service
                && server.is_live()
                && server.is_reachable()
                && serves(req, server)
        })
    }

    /// Update all views and the load shedding to the document in force.
    pub(crate) fn rebuild_views(&mut self) {
        let Some(document) = self.document.clone() else {
            return;
        };
        self.views
            .retain(|model, _| document.models.contains_key(model));
        self.overload
            .retain(|model, _| document.models.contains_key(model));
        for model in document.models.keys() {
            let view = self
                .views
                .entry(model.clone())
                .or_insert_with(|| View::new(self.identity.zone.clone()));
            view.set_long_prompt(document.defaults.long_prompt);
        }
        let ids: Vec<BackendServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            self.update_views(&id);
        }
    }

    /// Update the views to the current state of a server.
    pub(crate) fn update_views(&mut self, id: &BackendServerId) {
        let Some(document) = &self.document else {
            return;
        };
        for (model, view) in &mut self.views {
            let server = self
                .servers
                .get(id)
                .filter(|server| server.listed.is_some());
            let spec = server.and_then(|server| engine_spec(document, model, &server.service));
            let (Some(server), Some(spec)) = (server, spec) else {
                if view.server(id).is_some() {
                    view.remove(id);
                }
                continue;
            };
            let ready = server.listed == Some(Lifecycle::Live)
                && !server.load_poll_failed
                && server.serves(model, None);
            let leaving = server.leaving.is_some();
            let incarnation = server.incarnation.unwrap_or_default();
            let unchanged = view.server(id).is_some_and(|existing| {
                existing.incarnation == incarnation
                    && existing.spec == spec
                    && existing.zone == server.zone
            });
            if unchanged {
                view.set_usable(id, ready, leaving);
            } else {
                let mut entry = Server::new(id.clone(), server.zone.clone(), spec);
                entry.incarnation = incarnation;
                entry.ready = ready;
                entry.leaving = leaving;
                view.upsert(entry);
            }
        }
    }

    /// Apply a load report to all views that contain the engine.
    pub(crate) fn report_to_views(&mut self, now: Timestamp, load: &ServerLoad) {
        let report = LoadReport {
            queued_prefill: load.queued_prefill,
            requests: load.running + load.queued,
            memory_used: load.memory_used,
        };
        for view in self.views.values_mut() {
            view.apply_report(now, &load.server, load.age, report);
        }
    }
}

/// Convert the choice of the routing policy.
fn placement_from(choice: Choice, model: ModelId) -> Placement {
    match choice {
        Choice::Run {
            dispatch,
            low_priority,
            ..
        } => match dispatch.servers.as_slice() {
            [server] => Placement::SingleServer(AttemptPlan {
                server: server.clone(),
                dispatch: Some((model, dispatch)),
                low_priority,
                holds: Vec::new(),
            }),
            // A request runs on several engines only by a plan of `plan_holds`.
            _ => Placement::WaitForMemory,
        },
        Choice::Wait | Choice::Refuse(Refusal::NoServer) => Placement::Wait,
        Choice::Refuse(refusal) => Placement::Refuse(refusal),
    }
}

/// Return the properties of a request by which the routing policy decides.
fn routing_request<'a>(
    new: &'a NewRequest,
    deadline: Timestamp,
    excluded: &'a [BackendServerId],
    urgent: bool,
) -> RoutedRequest<'a> {
    RoutedRequest {
        prompt: new.prompt,
        expected_output: expected_output(new),
        prefixes: &new.prefixes,
        deadline,
        excluded,
        urgent,
    }
}

/// Return the number of generated tokens that estimates assume.
pub(crate) fn expected_output(new: &NewRequest) -> Tokens {
    new.max_output.min(MAX_EXPECTED_OUTPUT)
}

/// Return whether a server of the request's service can serve the request's target.
fn serves(req: &Request, server: &ServerView) -> bool {
    match &req.new.target {
        Target::Model { model, adapter } => server.serves(model, adapter.as_ref()),
        Target::Route(_) => true,
    }
}

/// Return the capacity that the document gives the engines of a service, if the service runs the
/// model.
fn engine_spec(document: &Document, model: &ModelId, service: &ServiceId) -> Option<EngineSpec> {
    let model_spec = document.models.get(model)?;
    let Service {
        memory,
        prefill_per_s,
        token_time,
        concurrent_requests,
        ..
    } = document
        .services
        .get(service)
        .filter(|_| model_spec.service == *service)?;
    Some(EngineSpec {
        memory: *memory,
        prefill_per_s: *prefill_per_s,
        token_time: *token_time,
        concurrent_requests: *concurrent_requests,
    })
}
