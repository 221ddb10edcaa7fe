//! Decide for one entry instance.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use oleanderpass_config::document::Document;
use oleanderpass_ticket::FleetKey;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::error::Peer;
use oleanderpass_types::error::Step;
use oleanderpass_types::error::StepError;
use oleanderpass_types::id::AttemptNumber;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::id::ZoneId;
use oleanderpass_types::outcome::Outcome;
use rand_pcg::Pcg64Mcg;

use crate::action::Action;
use crate::action::Answer;
use crate::action::StartAttempt;
use crate::event::AttemptEnd;
use crate::event::Event;
use crate::event::InstanceList;
use crate::event::Lifecycle;
use crate::event::NewRequest;
use crate::event::Progress;
use crate::event::Source;
use crate::event::Target;
use crate::request::Request;
use crate::server::ServerView;

/// What an instance knows of itself.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The id.
    pub instance: InstanceId,
    /// The number of this life.
    pub incarnation: Incarnation,
    /// The availability zone.
    pub zone: ZoneId,
}

/// The decision core of an entry instance.
#[derive(Debug)]
pub struct Instance {
    identity: Identity,
    #[expect(dead_code, reason = "the routing policy draws from it")]
    rng: Pcg64Mcg,
    document: Option<Arc<Document>>,
    servers: IndexMap<BackendServerId, ServerView>,
    requests: IndexMap<RequestId, Request>,
    draining: bool,
    fleet_key: FleetKey,
    peer_addr: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
}

impl Instance {
    /// Create the core of an instance that has just started.
    pub fn new(identity: Identity, seed: u64) -> Self {
        Self {
            identity,
            rng: Pcg64Mcg::new(u128::from(seed)),
            document: None,
            servers: IndexMap::new(),
            requests: IndexMap::new(),
            draining: false,
            fleet_key: FleetKey::default(),
            peer_addr: None,
            seeds: Vec::new(),
        }
    }

    /// Set the key that the fleet shares, for tickets.
    #[must_use]
    pub fn with_fleet_key(mut self, key: FleetKey) -> Self {
        self.fleet_key = key;
        self
    }

    /// Set the address of this instance's peer protocols and the peers to contact at start.
    #[must_use]
    pub fn with_peers(mut self, peer_addr: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        self.peer_addr = Some(peer_addr);
        self.seeds = seeds;
        self
    }

    /// Return who this instance is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Return the document in force.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Return the generation in force, or 0 before the first document.
    pub fn generation(&self) -> Generation {
        self.document
            .as_ref()
            .map_or(Generation::new(0), |document| document.generation)
    }

    /// Return whether the instance accepts requests.
    pub fn is_ready(&self) -> bool {
        self.document.is_some() && !self.draining
    }

    /// Return the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Take an event and append the resulting actions to `out`.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(new) => self.on_request(now, new, out),
            Event::IssueTicket { req, .. } => {
                let error = local_error(Step::Ticket, "tickets are not available");
                self.answer(&req, Outcome::NotRun, 501, Some(error), out);
            }
            Event::CallerGone(req) => self.on_caller_gone(&req, out),
            Event::Attempt {
                req,
                attempt,
                progress,
            } => {
                self.on_progress(now, &req, attempt, progress, out);
            }
            Event::ForwardFailed { req, cause } => {
                let error = local_error(Step::Forward, cause);
                self.answer(&req, Outcome::Unknown, 502, Some(error), out);
            }
            Event::Document(raw) => self.on_document(&raw),
            Event::InstanceList(list) => self.on_instance_list(&list),
            Event::LoadReport(load) => {
                if let Some(server) = self.servers.get_mut(&load.server) {
                    server.state = load.state;
                    server.load = Some((now, load));
                }
            }
            Event::Shutdown => {
                self.draining = true;
                self.exit_when_idle(out);
            }
            Event::Tick => self.on_tick(now, out),
            Event::ForwardEnded { .. }
            | Event::PeerPacket { .. }
            | Event::PeerUnreachable(_)
            | Event::DocumentUnchanged
            | Event::DocumentMalformed { .. }
            | Event::DocumentReadFailed { .. }
            | Event::DocumentFetched { .. }
            | Event::DocumentFetchFailed { .. }
            | Event::FetchDocumentCall { .. }
            | Event::LeaseQuotaCall { .. }
            | Event::QuotaLeased { .. }
            | Event::QuotaLeaseFailed { .. }
            | Event::InstanceListFailed { .. }
            | Event::EngineState(_)
            | Event::HoldList { .. }
            | Event::ObserveFailed { .. }
            | Event::OrderAnswered { .. }
            | Event::HoldAnswered { .. }
            | Event::HoldReleased { .. } => {}
        }
    }

    fn on_request(&mut self, now: Timestamp, new: Box<NewRequest>, out: &mut Vec<Action>) {
        let id = new.id.clone();
        match self.admit(now, new) {
            Ok(req) => {
                self.requests.insert(id.clone(), req);
                self.dispatch(&id, out);
            }
            Err((status, error)) => self.answer(&id, Outcome::NotRun, status, Some(error), out),
        }
    }

    fn admit(&self, now: Timestamp, new: Box<NewRequest>) -> Result<Request, (u16, StepError)> {
        if self.draining {
            return Err((
                503,
                local_error(Step::Admit, "the instance is shutting down"),
            ));
        }
        let Some(document) = &self.document else {
            return Err((503, local_error(Step::Admit, "no document is in force")));
        };
        let organisation = authenticate(document, &new.source)?;
        let (service, idempotent) = resolve(document, &organisation, &new)?;
        let timeout = new.timeout.unwrap_or(document.defaults.timeout);
        let deadline = now + timeout.min(document.defaults.max_timeout);
        Ok(Request {
            new,
            organisation,
            service,
            idempotent,
            deadline,
            attempt: AttemptNumber(0),
            server: None,
            tried: Vec::new(),
        })
    }

    fn dispatch(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(req) = self.requests.get_mut(id) else {
            return;
        };
        let usable =
            |server: &ServerView| server.service == req.service && server.state == Lifecycle::Live;
        let choice = self
            .servers
            .iter_mut()
            .filter(|(name, server)| usable(server) && !req.tried.contains(name))
            .min_by_key(|(_, server)| (server.zone != self.identity.zone, server.in_flight));
        let Some((name, server)) = choice else {
            let error = local_error(Step::Queue, "no backend server is available");
            self.answer(&id.clone(), Outcome::NotRun, 503, Some(error), out);
            return;
        };
        server.in_flight += 1;
        req.attempt = AttemptNumber(req.attempt.0 + 1);
        req.server = Some(name.clone());
        out.push(Action::StartAttempt(StartAttempt {
            req: id.clone(),
            attempt: req.attempt,
            server: name.clone(),
            addr: server.addr,
            deadline: req.deadline,
            priority: req.new.priority,
            once: !req.idempotent,
            holds: Vec::new(),
        }));
    }

    fn on_progress(
        &mut self,
        _now: Timestamp,
        id: &RequestId,
        attempt: AttemptNumber,
        progress: Progress,
        out: &mut Vec<Action>,
    ) {
        let Some(req) = self.requests.get_mut(id) else {
            return;
        };
        if req.attempt != attempt {
            return;
        }
        let Progress::Ended(end) = progress else {
            return;
        };
        let Some(name) = req.server.take() else {
            return;
        };
        if let Some(server) = self.servers.get_mut(&name) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        let peer = Peer::BackendServer(name.as_str().into());
        match end {
            AttemptEnd::Completed { .. } => self.answer(id, Outcome::Completed, 200, None, out),
            AttemptEnd::NotSent(_) | AttemptEnd::Refused(_) => {
                req.tried.push(name);
                self.dispatch(id, out);
            }
            AttemptEnd::Failed(cause) => {
                let error = StepError::new(Step::Start, peer, cause);
                self.answer(id, Outcome::Failed, 502, Some(error), out);
            }
            AttemptEnd::Broken { cause, .. } => {
                let outcome = if req.idempotent {
                    Outcome::Failed
                } else {
                    Outcome::Unknown
                };
                let error = StepError::new(Step::Stream, peer, cause);
                self.answer(id, outcome, 502, Some(error), out);
            }
            AttemptEnd::Cancelled => {
                let error = StepError::new(Step::Stream, peer, "cancelled");
                self.answer(id, Outcome::Unknown, 504, Some(error), out);
            }
        }
    }

    fn on_caller_gone(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(req) = self.requests.get(id) else {
            return;
        };
        out.push(Action::CancelAttempt {
            req: id.clone(),
            attempt: req.attempt,
        });
    }

    fn on_document(&mut self, raw: &oleanderpass_proto::environment::Document) {
        match Document::try_from(raw) {
            Ok(document) if document.generation > self.generation() => {
                tracing::info!(generation = %document.generation, "document is in force");
                self.document = Some(Arc::new(document));
            }
            Ok(_) => {}
            Err(errors) => tracing::warn!(%errors, "rejected a document"),
        }
    }

    fn on_instance_list(&mut self, list: &InstanceList) {
        let mut servers = IndexMap::new();
        for listed in &list.backend_servers {
            let mut view = ServerView::new(listed);
            if let Some(held) = self.servers.get(&listed.id) {
                view.in_flight = held.in_flight;
                view.load = held.load.clone();
            }
            servers.insert(listed.id.clone(), view);
        }
        self.servers = servers;
    }

    fn on_tick(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let overdue: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, req)| req.deadline <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in overdue {
            let Some(req) = self.requests.get(&id) else {
                continue;
            };
            let attempt = req.attempt;
            out.push(Action::CancelAttempt {
                req: id.clone(),
                attempt,
            });
            let error = local_error(Step::Stream, "the request's time is over");
            self.answer(&id, Outcome::Unknown, 504, Some(error), out);
        }
        self.exit_when_idle(out);
    }

    fn answer(
        &mut self,
        id: &RequestId,
        outcome: Outcome,
        status: u16,
        error: Option<StepError>,
        out: &mut Vec<Action>,
    ) {
        if let Some(req) = self.requests.swap_remove(id)
            && let Some(server) = req.server.and_then(|name| self.servers.get_mut(&name))
        {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        let generation = self.generation();
        let answer = Answer::End {
            outcome,
            status,
            error,
            generation,
        };
        out.push(Action::Answer {
            req: id.clone(),
            answer,
        });
        self.exit_when_idle(out);
    }

    fn exit_when_idle(&self, out: &mut Vec<Action>) {
        if self.draining && self.requests.is_empty() {
            out.push(Action::Exit);
        }
    }
}

fn local_error(step: Step, cause: impl Into<smol_str::SmolStr>) -> StepError {
    StepError::new(step, Peer::Local, cause)
}

fn authenticate(document: &Document, source: &Source) -> Result<OrganisationId, (u16, StepError)> {
    match source {
        Source::Peer { organisation, .. } => Ok(organisation.clone()),
        Source::Caller(key) => match document.callers.get(key) {
            Some((organisation, _)) => Ok(organisation.clone()),
            None => Err((
                401,
                StepError::new(Step::Authenticate, Peer::Caller, "unknown API key"),
            )),
        },
    }
}

fn resolve(
    document: &Document,
    organisation: &OrganisationId,
    new: &NewRequest,
) -> Result<(ServiceId, bool), (u16, StepError)> {
    let not_found = |cause: String| (404, StepError::new(Step::Admit, Peer::Caller, cause));
    let Some(allowed) = document.organisations.get(organisation) else {
        return Err(not_found(format!("unknown organisation `{organisation}`")));
    };
    match &new.target {
        Target::Model { model, .. } => document
            .models
            .get(model)
            .filter(|_| allowed.models.contains(model))
            .map(|checked| (checked.service.clone(), new.idempotent.unwrap_or(true)))
            .ok_or_else(|| not_found(format!("unknown model `{model}`"))),
        Target::Route(route) => document
            .routes
            .get(route)
            .filter(|_| allowed.routes.contains(route))
            .map(|checked| {
                let idempotent = checked.idempotent && new.idempotent.unwrap_or(true);
                (checked.service.clone(), idempotent)
            })
            .ok_or_else(|| not_found(format!("unknown route `{route}`"))),
    }
}
