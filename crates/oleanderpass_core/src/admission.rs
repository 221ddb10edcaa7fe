//! Admit requests or refuse them.

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
use crate::dispatch::work;
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

/// Requests that wait for a backend server at the same time. At about 1 KB each they take 4 MB.
const MAX_QUEUED: usize = 4_096;

/// Why a request is refused before anything was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The error.
    pub(crate) error: StepError,
    /// The outcome, if it is another one than `not run`.
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

/// What to do with a request that is not refused.
enum Admission {
    /// Keep it until it ends.
    Enter(Box<Request>),
    /// Answer it with what an earlier use of its ticket left.
    Recorded {
        outcome: Outcome,
        answer: Option<Arc<RecordedAnswer>>,
    },
}

/// What a request asks for, checked against the document.
struct Resolved {
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
            tracing::warn!(req = %id, "ignored a second request with the id of an open one");
            return;
        }
        match self.admit(now, &new) {
            Ok(Admission::Enter(req)) => self.enter(now, *req, out),
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
        let resolved = resolve(&document, &organisation, new)?;
        let deadline = now + time_limit(&document, &resolved, new.timeout);
        let step = self.check_ticket(now, &document, (&organisation, &caller), &resolved, new)?;
        let owned = !matches!(step, TicketAction::None | TicketAction::Forward(_));
        self.check_drain(owned)?;
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
            self.check_behaviour(now, &organisation, new)?;
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
        Ok(Admission::Enter(Box::new(Request {
            new: Box::new(new.clone()),
            signature: signature(&organisation, new),
            organisation,
            caller,
            service: resolved.service,
            once: !resolved.idempotent || ticket.is_some(),
            ticket,
            deadline,
            attempt: AttemptNumber(0),
            phase,
            execution: Execution::NotRun,
            delivered: false,
            tried: Vec::new(),
            last_error: None,
        })))
    }

    fn check_ticket(
        &self,
        now: Timestamp,
        document: &Document,
        (organisation, caller): (&OrganisationId, &CallerId),
        resolved: &Resolved,
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

    fn check_drain(&self, owned_ticket: bool) -> Result<(), Rejection> {
        match self.drain {
            Drain::Serving | Drain::Announced { .. } => Ok(()),
            Drain::Refusing if owned_ticket => Ok(()),
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
        if self.queue.len() >= MAX_QUEUED {
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

    /// Refuse copies of requests that crash servers, and what is shed while the queue is too slow.
    fn check_behaviour(
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
        overload.record_work(now, organisation, weight, work(new));
        if overload.sheds(organisation, class, new.priority == Priority::Batch) {
            let cause = format!("overloaded: {} work is shed", overload.level());
            return Err(Rejection::new(503, local_error(Step::Admit, cause)));
        }
        Ok(())
    }

    fn enter(&mut self, now: Timestamp, req: Request, out: &mut Vec<Action>) {
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

/// Identify the caller.
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

/// Return the organisation's section of the document.
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

fn resolve(
    document: &Document,
    organisation: &OrganisationId,
    new: &NewRequest,
) -> Result<Resolved, Rejection> {
    let allowed = find_organisation(document, organisation)?;
    match &new.target {
        Target::Model { model, adapter } => {
            let checked = document
                .models
                .get(model)
                .filter(|_| allowed.models.contains(model))
                .ok_or_else(|| not_found(format!("unknown model `{model}`")))?;
            if let Some(adapter) = adapter
                && !checked.adapters.contains_key(adapter)
            {
                return Err(not_found(format!("unknown adapter `{adapter}`")));
            }
            if new.prompt > checked.max_prompt {
                let cause = format!("the prompt is longer than {}", checked.max_prompt);
                return Err(Rejection::new(413, caller_error(Step::Admit, cause)));
            }
            Ok(Resolved {
                service: checked.service.clone(),
                idempotent: new.idempotent.unwrap_or(true),
                // A caller that forbids a second run of a generation has no route to get a ticket
                // for; its request is dispatched once.
                ticket: TicketRule::Optional,
                route: None,
                default_timeout: document.defaults.timeout,
            })
        }
        Target::Route(route) => {
            let checked = document
                .routes
                .get(route)
                .filter(|_| allowed.routes.contains(route))
                .ok_or_else(|| not_found(format!("unknown route `{route}`")))?;
            Ok(Resolved {
                service: checked.service.clone(),
                idempotent: checked.idempotent && new.idempotent.unwrap_or(true),
                // A caller may ask for a single dispatch of an idempotent route without a ticket.
                ticket: if checked.idempotent {
                    TicketRule::Optional
                } else {
                    checked.ticket
                },
                route: Some(route.clone()),
                default_timeout: checked.timeout.unwrap_or(document.defaults.timeout),
            })
        }
    }
}

fn time_limit(document: &Document, resolved: &Resolved, asked: Option<Millis>) -> Millis {
    asked
        .unwrap_or(resolved.default_timeout)
        .min(document.defaults.max_timeout)
}
