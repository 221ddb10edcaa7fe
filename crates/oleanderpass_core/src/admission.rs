//! Check new requests, and admit or refuse them.

use std::sync::Arc;

use oleanderpass_config::document::Document;
use oleanderpass_config::document::Organisation;
use oleanderpass_config::document::TicketRule;
use oleanderpass_quarantine::rule::RunRule;
use oleanderpass_ticket::ticket::Scope;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::error::Step;
use oleanderpass_types::error::StepError;
use oleanderpass_types::id::AttemptNumber;
use oleanderpass_types::id::CallerId;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::RouteId;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::outcome::Outcome;

use crate::action::Action;
use crate::crash_evidence::signature;
use crate::dispatch::describe_refusal;
use crate::dispatch::quarantine_error;
use crate::dispatch::request_cost;
use crate::drain::Drain;
use crate::event::NewRequest;
use crate::event::Priority;
use crate::event::RecordedAnswer;
use crate::event::Source;
use crate::event::Target;
use crate::instance::Instance;
use crate::instance::caller_error;
use crate::instance::local_error;
use crate::request::Execution;
use crate::request::Phase;
use crate::request::Request;
use crate::tickets::TicketAction;

/// The limit of requests in the queue. At about 1 KB each they take 4 MB.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// The answer to a request that is refused before anything was sent to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The error for the caller.
    pub(crate) error: StepError,
    /// The outcome. `None` stands for `not run`, or for `unknown` where another use of the ticket
    /// may have run.
    pub(crate) outcome: Option<Outcome>,
}

impl Rejection {
    pub(crate) fn new(status: u16, error: StepError) -> Self {
        Self {
            status,
            error,
            outcome: None,
        }
    }
}

/// How to handle a request that is not refused.
enum Admission {
    /// Keep the request until it ends.
    Admit(Box<Request>),
    /// Answer with the recorded result of an earlier use of the ticket.
    Recorded {
        outcome: Outcome,
        answer: Option<Arc<RecordedAnswer>>,
    },
}

/// The properties of a request's target, taken from the document.
struct ResolvedTarget {
    service: ServiceId,
    idempotent: bool,
    ticket: TicketRule,
    route: Option<RouteId>,
    default_timeout: Millis,
}

impl Instance {
    pub(crate) fn on_request(
        &mut self,
        now: Timestamp,
        new: Box<NewRequest>,
        out: &mut Vec<Action>,
    ) {
        let id = new.id.clone();
        if self.requests.contains_key(&id) {
            tracing::warn!(req = %id, "ignored a request that has the id of one in flight");
            return;
        }
        match self.admit(now, &new) {
            Ok(Admission::Admit(req)) => self.register(now, *req, out),
            Ok(Admission::Recorded { outcome, answer }) => {
                self.answer_recorded(&id, outcome, answer, out);
            }
            Err(rejection) => {
                let outcome = rejection
                    .outcome
                    .unwrap_or_else(|| self.outcome_of_rejection(now, &new));
                self.answer(&id, outcome, rejection.status, Some(rejection.error), out);
            }
        }
    }

    fn admit(&mut self, now: Timestamp, new: &NewRequest) -> Result<Admission, Rejection> {
        let document = self.serving_document().ok_or_else(|| {
            Rejection::new(503, local_error(Step::Admit, "the instance is not ready"))
        })?;
        let (organisation, caller) = authenticate(&document, &new.source)?;
        let resolved = resolve_target(&document, &organisation, new)?;
        let deadline = now + effective_timeout(&document, &resolved, new.timeout);
        let step = self.check_ticket(now, &document, (&organisation, &caller), &resolved, new)?;
        let has_own_ticket = !matches!(step, TicketAction::None | TicketAction::Forward(_));
        self.check_drain(has_own_ticket)?;
        let phase = match &step {
            TicketAction::None | TicketAction::FirstUse(_) => Phase::Queued {
                since: now,
                not_before: now,
            },
            TicketAction::Wait(ticket) => Phase::Waiting { ticket: *ticket },
            TicketAction::Forward(ticket) => Phase::Forwarded {
                owner: ticket.instance.clone(),
                incarnation: ticket.incarnation,
            },
            TicketAction::Recorded { outcome, answer } => {
                return Ok(Admission::Recorded {
                    outcome: *outcome,
                    answer: answer.clone(),
                });
            }
        };
        if matches!(phase, Phase::Queued { .. }) {
            self.check_quarantine_and_load(now, &organisation, new)?;
            self.check_capacity(now, new, deadline)?;
            self.check_limits(now, &organisation, new)?;
        }
        let ticket = match self.record_ticket_action(&new.id, &step) {
            Ok(ticket) => ticket,
            Err(rejection) => {
                if matches!(phase, Phase::Queued { .. }) {
                    self.limits.finish(&organisation);
                }
                return Err(rejection);
            }
        };
        Ok(Admission::Admit(Box::new(Request {
            new: Box::new(new.clone()),
            signature: signature(&organisation, new),
            organisation,
            caller,
            service: resolved.service,
            non_idempotent: !resolved.idempotent || ticket.is_some(),
            ticket,
            deadline,
            attempt: AttemptNumber(0),
            phase,
            execution: Execution::NotRun,
            delivered: false,
            failed_servers: Vec::new(),
            last_error: None,
        })))
    }

    fn check_ticket(
        &self,
        now: Timestamp,
        document: &Document,
        (organisation, caller): (&OrganisationId, &CallerId),
        resolved: &ResolvedTarget,
        new: &NewRequest,
    ) -> Result<TicketAction, Rejection> {
        match (&new.ticket, &resolved.route) {
            (None, _) if resolved.idempotent || resolved.ticket == TicketRule::Optional => {
                Ok(TicketAction::None)
            }
            (None, _) => Err(Rejection::new(
                428,
                caller_error(Step::Ticket, "the route needs a ticket"),
            )),
            (Some(_), None) => Err(Rejection::new(
                400,
                caller_error(Step::Ticket, "tickets are for routes only"),
            )),
            (Some(text), Some(route)) => {
                let scope = Scope {
                    environment: document.environment.name.clone(),
                    organisation: organisation.clone(),
                    caller: caller.clone(),
                    route: route.clone(),
                };
                self.plan_ticket_use(now, text, &scope, &new.source)
            }
        }
    }

    fn check_drain(&self, has_own_ticket: bool) -> Result<(), Rejection> {
        match self.drain {
            Drain::Serving | Drain::Announced { .. } => Ok(()),
            Drain::Refusing if has_own_ticket => Ok(()),
            Drain::Refusing | Drain::Exited => Err(Rejection::new(
                503,
                local_error(Step::Admit, "the instance is shutting down"),
            )),
        }
    }

    fn check_capacity(
        &mut self,
        now: Timestamp,
        new: &NewRequest,
        deadline: Timestamp,
    ) -> Result<(), Rejection> {
        if self.queue.len() >= MAX_QUEUED_REQUESTS {
            let error = local_error(Step::Queue, "too many requests wait");
            return Err(Rejection::new(503, error));
        }
        if now >= deadline {
            let error = caller_error(Step::Admit, "the request's time is over");
            return Err(Rejection::new(504, error));
        }
        if let Some(refusal) = self.early_refusal(now, new, deadline) {
            let (status, error) = describe_refusal(refusal);
            return Err(Rejection::new(status, error));
        }
        Ok(())
    }

    /// Refuse a request whose signature is in quarantine, or that load shedding refuses because the
    /// queue of its model is too slow.
    fn check_quarantine_and_load(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationId,
        new: &NewRequest,
    ) -> Result<(), Rejection> {
        let signature = signature(organisation, new);
        if let RunRule::Refused { left } = self.quarantine.rule(now, signature) {
            return Err(Rejection {
                status: 422,
                error: quarantine_error(left),
                outcome: Some(Outcome::Failed),
            });
        }
        let Target::Model { model, .. } = &new.target else {
            return Ok(());
        };
        let weight = self.weight_of(organisation);
        let class = self.length_class(new);
        let overload = self.overload.entry(model.clone()).or_default();
        overload.record_work(now, organisation, weight, request_cost(new));
        if overload.sheds(organisation, class, new.priority == Priority::Batch) {
            let cause = format!("overloaded: {} work is shed", overload.level());
            return Err(Rejection::new(503, local_error(Step::Admit, cause)));
        }
        Ok(())
    }

    /// Register an admitted request, and dispatch or forward it as its phase demands.
    fn register(&mut self, now: Timestamp, req: Request, out: &mut Vec<Action>) {
        let id = req.new.id.clone();
        match &req.phase {
            Phase::Queued { .. } => {
                self.admitted += 1;
                self.retry_budget.deposit();
                self.requests.insert(id.clone(), req);
                self.enqueue(now, &id, Millis::ZERO);
                self.dispatch_queued(now, out);
            }
            Phase::Forwarded { owner, .. } => {
                let owner = owner.clone();
                let deadline = req.deadline;
                self.requests.insert(id.clone(), req);
                self.forward(now, id, owner, deadline, out);
            }
            Phase::Waiting { .. } | Phase::AcquiringHolds | Phase::Running { .. } => {
                self.requests.insert(id, req);
            }
        }
    }
}

/// Return the organisation and the caller that a request comes from.
pub(crate) fn authenticate(
    document: &Document,
    source: &Source,
) -> Result<(OrganisationId, CallerId), Rejection> {
    match source {
        Source::Peer {
            organisation,
            caller,
            ..
        } => Ok((organisation.clone(), caller.clone())),
        Source::Caller(key) => document.callers.get(key).cloned().ok_or_else(|| {
            Rejection::new(401, caller_error(Step::Authenticate, "unknown API key"))
        }),
    }
}

/// Return the organisation's part of the document.
pub(crate) fn find_organisation<'a>(
    document: &'a Document,
    organisation: &OrganisationId,
) -> Result<&'a Organisation, Rejection> {
    document
        .organisations
        .get(organisation)
        .ok_or_else(|| not_found(format!("unknown organisation `{organisation}`")))
}

pub(crate) fn not_found(cause: String) -> Rejection {
    Rejection::new(404, caller_error(Step::Admit, cause))
}

/// Look up the target of a request and check that the organisation may use it.
fn resolve_target(
    document: &Document,
    organisation: &OrganisationId,
    new: &NewRequest,
) -> Result<ResolvedTarget, Rejection> {
    let permissions = find_organisation(document, organisation)?;
    match &new.target {
        Target::Model { model, adapter } => {
            let model_spec = document
                .models
                .get(model)
                .filter(|_| permissions.models.contains(model))
                .ok_or_else(|| not_found(format!("unknown model `{model}`")))?;
            if let Some(adapter) = adapter
                && !model_spec.adapters.contains_key(adapter)
            {
                return Err(not_found(format!("unknown adapter `{adapter}`")));
            }
            if new.prompt > model_spec.max_prompt {
                let cause = format!("the prompt is longer than {}", model_spec.max_prompt);
                return Err(Rejection::new(413, caller_error(Step::Admit, cause)));
            }
            Ok(ResolvedTarget {
                service: model_spec.service.clone(),
                idempotent: new.idempotent.unwrap_or(true),
                // Tickets are issued for routes only, so a non-idempotent generation needs none. It
                // is sent again only if no attempt of it can have run.
                ticket: TicketRule::Optional,
                route: None,
                default_timeout: document.defaults.timeout,
            })
        }
        Target::Route(route) => {
            let route_spec = document
                .routes
                .get(route)
                .filter(|_| permissions.routes.contains(route))
                .ok_or_else(|| not_found(format!("unknown route `{route}`")))?;
            Ok(ResolvedTarget {
                service: route_spec.service.clone(),
                idempotent: route_spec.idempotent && new.idempotent.unwrap_or(true),
                // A caller may declare its call of an idempotent route non-idempotent, without a
                // ticket.
                ticket: if route_spec.idempotent {
                    TicketRule::Optional
                } else {
                    route_spec.ticket
                },
                route: Some(route.clone()),
                default_timeout: route_spec.timeout.unwrap_or(document.defaults.timeout),
            })
        }
    }
}

/// Return the requested timeout, or the default of the target, within the document's maximum.
fn effective_timeout(
    document: &Document,
    resolved: &ResolvedTarget,
    requested: Option<Millis>,
) -> Millis {
    requested
        .unwrap_or(resolved.default_timeout)
        .min(document.defaults.max_timeout)
}
