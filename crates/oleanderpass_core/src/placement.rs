//! Choose the backend server of a request.

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

/// The generated tokens that estimates reckon with at most. Callers often allow far more tokens
/// than an answer takes, so a larger part of their allowance is no estimate.
const EXPECTED_OUTPUT: Tokens = Tokens::new(256);

/// Where a request goes.
#[derive(Debug)]
pub(crate) enum Place {
    /// To one server.
    Run(AttemptPlan),
    /// To several engines that join their memory.
    Join(MultiEnginePlan),
    /// Nowhere now.
    Wait,
    /// Nowhere until several engines have enough free memory. Others need not wait with it.
    WaitForMemory,
    /// Nowhere at all.
    Refuse(Refusal),
}

impl Instance {
    /// Choose the server of a queued request.
    pub(crate) fn place(&mut self, now: Timestamp, id: &RequestId) -> Place {
        let Some(req) = self.requests.get(id) else {
            return Place::Wait;
        };
        let Target::Model { model, .. } = &req.new.target else {
            return self.place_on_any(now, id);
        };
        let model = model.clone();
        let Some(view) = self.views.get_mut(&model) else {
            return Place::Wait;
        };
        view.refresh();
        if view.pool().is_empty() {
            // No engine reports that it is ready: the polls may fail although requests get through.
            return self.place_on_any(now, id);
        }
        let largest = view.pool_servers().map(|server| server.spec.memory).max();
        let reserve = self.reserve_per_engine(now, id, &model);
        let memory = self.requests.get(id).map(|req| max_memory(&req.new));
        if memory
            .zip(reserve)
            .map(|(memory, reserve)| memory + reserve)
            > largest
            && self.is_long(id, &model)
        {
            return match self.plan_holds(now, id, &model) {
                Some(plan) => Place::Join(MultiEnginePlan { model, plan }),
                None => Place::WaitForMemory,
            };
        }
        let busy = self.unavailable(now, id, &model);
        let mut excluded = busy.clone();
        excluded.extend(
            self.requests
                .get(id)
                .into_iter()
                .flat_map(|req| req.tried.clone()),
        );
        match self.choose_engine(now, id, &model, &excluded) {
            Choice::Refuse(Refusal::NoServer) if excluded.len() > busy.len() => {
                let choice = self.choose_engine(now, id, &model, &busy);
                place_from(choice, model)
            }
            choice => place_from(choice, model),
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
        let routed = routed(&req.new, req.deadline, excluded, req.is_urgent(now));
        let policy = Policy::Split(SplitOptions::default());
        choose(policy, view, now, &routed, &mut self.rng)
    }

    fn is_long(&self, id: &RequestId, model: &ModelId) -> bool {
        let (Some(req), Some(view)) = (self.requests.get(id), self.views.get(model)) else {
            return false;
        };
        LengthClass::of(req.new.prompt, view.long_prompt()) == LengthClass::Long
    }

    /// Return why a new request can't finish in time or fit at all, however long it waits.
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
            &routed(new, deadline, &[], false),
            &mut self.rng,
        ) {
            Choice::Refuse(Refusal::NoServer) | Choice::Run { .. } | Choice::Wait => None,
            Choice::Refuse(refusal) => Some(refusal),
        }
    }

    /// Return the engines of the pool that can't take a request at this moment.
    fn unavailable(&self, now: Timestamp, id: &RequestId, model: &ModelId) -> Vec<BackendServerId> {
        let (Some(req), Some(view)) = (self.requests.get(id), self.views.get(model)) else {
            return Vec::new();
        };
        view.pool_servers()
            .map(|server| &server.id)
            .filter(|name| {
                let server = self.servers.get(*name);
                !server.is_some_and(|server| self.accepts(now, req, name, server))
            })
            .cloned()
            .collect()
    }

    /// Choose of two random servers of the own zone, or of any zone when the own one has none that
    /// is ready, the one with fewer attempts.
    fn place_on_any(&mut self, now: Timestamp, id: &RequestId) -> Place {
        let Some(req) = self.requests.get(id) else {
            return Place::Wait;
        };
        let mut candidates = self.candidates(now, req, |name| !req.tried.contains(name));
        if candidates.is_empty() {
            candidates = self.candidates(now, req, |_| true);
        }
        let at = |index: &usize| self.servers.get_index(*index).map(|(_, server)| server);
        if self.own_zone_is_ready(req) {
            let own = &self.identity.zone;
            candidates.retain(|index| at(index).is_some_and(|server| server.zone == *own));
        }
        let reports = |index: &usize| at(index).is_some_and(|server| !server.load_poll_failed);
        if candidates.iter().any(reports) {
            candidates.retain(reports);
        }
        if candidates.is_empty() {
            return Place::Wait;
        }
        let first = candidates.swap_remove(self.rng.random_range(0..candidates.len()));
        let second = match candidates.len() {
            0 => first,
            len => candidates[self.rng.random_range(0..len)],
        };
        let attempts = |index| at(&index).map(|server| server.in_flight);
        let choice = if attempts(second) < attempts(first) {
            second
        } else {
            first
        };
        match self.servers.get_index(choice) {
            Some((name, _)) => Place::Run(AttemptPlan {
                server: name.clone(),
                dispatch: None,
                low_priority: false,
                holds: Vec::new(),
            }),
            None => Place::Wait,
        }
    }

    fn candidates(
        &self,
        now: Timestamp,
        req: &Request,
        also: impl Fn(&BackendServerId) -> bool,
    ) -> Vec<usize> {
        self.servers
            .iter()
            .enumerate()
            .filter(|(_, (name, server))| {
                server.service == req.service && self.accepts(now, req, name, server) && also(name)
            })
            .map(|(index, _)| index)
            .collect()
    }

    /// Return whether a server of the request's service can take it now.
    pub(crate) fn accepts(
        &self,
        now: Timestamp,
        req: &Request,
        name: &BackendServerId,
        server: &ServerView,
    ) -> bool {
        let room = self
            .document
            .as_ref()
            .and_then(|document| document.services.get(&req.service))
            .is_some_and(|service| server.in_flight < service.concurrent_requests);
        room && server.is_live()
            && now >= server.avoid_until
            && serves(req, server)
            && self.may_run_on(now, req.signature, name)
    }

    /// Return whether the own zone has a server for the request, be it busy. A full zone doesn't
    /// spill its load into others.
    fn own_zone_is_ready(&self, req: &Request) -> bool {
        self.servers.values().any(|server| {
            server.zone == self.identity.zone
                && server.service == req.service
                && server.is_live()
                && server.is_reachable()
                && serves(req, server)
        })
    }

    /// Bring all views in line with the document in force.
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

    /// Bring the views in line with what is known of a server.
    pub(crate) fn update_views(&mut self, id: &BackendServerId) {
        let Some(document) = &self.document else {
            return;
        };
        for (model, view) in &mut self.views {
            let server = self
                .servers
                .get(id)
                .filter(|server| server.listed.is_some());
            let spec = server.and_then(|server| spec_for(document, model, &server.service));
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
            let known = view.server(id).is_some_and(|held| {
                held.incarnation == incarnation && held.spec == spec && held.zone == server.zone
            });
            if known {
                view.set_usable(id, ready, leaving);
            } else {
                let mut fresh = Server::new(id.clone(), server.zone.clone(), spec);
                fresh.incarnation = incarnation;
                fresh.ready = ready;
                fresh.leaving = leaving;
                view.upsert(fresh);
            }
        }
    }

    /// Hand a load report to the views of the models that the engine may serve.
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

fn place_from(choice: Choice, model: ModelId) -> Place {
    match choice {
        Choice::Run {
            dispatch,
            low_priority,
            ..
        } => match dispatch.servers.as_slice() {
            [server] => Place::Run(AttemptPlan {
                server: server.clone(),
                dispatch: Some((model, dispatch)),
                low_priority,
                holds: Vec::new(),
            }),
            _ => Place::WaitForMemory,
        },
        Choice::Wait | Choice::Refuse(Refusal::NoServer) => Place::Wait,
        Choice::Refuse(refusal) => Place::Refuse(refusal),
    }
}

fn routed<'a>(
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

/// Return the generated tokens to reckon with.
pub(crate) fn expected_output(new: &NewRequest) -> Tokens {
    new.max_output.min(EXPECTED_OUTPUT)
}

fn serves(req: &Request, server: &ServerView) -> bool {
    match &req.new.target {
        Target::Model { model, adapter } => server.serves(model, adapter.as_ref()),
        Target::Route(_) => true,
    }
}

fn spec_for(document: &Document, model: &ModelId, service: &ServiceId) -> Option<EngineSpec> {
    let checked = document.models.get(model)?;
    let Service {
        memory,
        prefill_per_s,
        token_time,
        concurrent_requests,
        ..
    } = document
        .services
        .get(service)
        .filter(|_| checked.service == *service)?;
    Some(EngineSpec {
        memory: *memory,
        prefill_per_s: *prefill_per_s,
        token_time: *token_time,
        concurrent_requests: *concurrent_requests,
    })
}
