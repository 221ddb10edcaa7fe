//! Issue tickets, run requests with tickets of this instance and forward those with tickets of
//! other instances.

use std::sync::Arc;

use oleanderpass_ticket::answer::RecordedAnswer;
use oleanderpass_ticket::ledger::LedgerFull;
use oleanderpass_ticket::ledger::TicketStatus;
use oleanderpass_ticket::ticket::Scope;
use oleanderpass_ticket::ticket::Ticket;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::error::Party;
use oleanderpass_types::error::Step;
use oleanderpass_types::error::StepError;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::id::RouteId;
use oleanderpass_types::outcome::Outcome;
use smol_str::SmolStr;

use crate::action::Action;
use crate::action::Answer;
use crate::admission::Rejection;
use crate::admission::authenticate;
use crate::admission::find_organisation;
use crate::admission::not_found;
use crate::drain::Drain;
use crate::event::NewRequest;
use crate::event::Source;
use crate::instance::Instance;
use crate::instance::caller_error;
use crate::instance::local_error;

/// What to do with the ticket of a request.
#[derive(Clone, Debug)]
pub(crate) enum TicketAction {
    /// The request has none and needs none.
    None,
    /// Run the request: it is the first use of a ticket of this instance.
    FirstUse(Ticket),
    /// Wait for the end of an earlier use of a ticket of this instance. Contains the ticket's
    /// number.
    Wait(u64),
    /// Answer with the recorded result of an earlier use of a ticket of this instance.
    Recorded {
        /// The outcome of the earlier use.
        outcome: Outcome,
        /// Its answer; `None` when the body is no longer kept.
        answer: Option<Arc<RecordedAnswer>>,
    },
    /// Forward the request to the instance that issued the ticket.
    Forward(Ticket),
}

impl Instance {
    pub(crate) fn on_issue_ticket(
        &mut self,
        now: Timestamp,
        req: RequestId,
        key: Digest,
        route: RouteId,
        out: &mut Vec<Action>,
    ) {
        match self.issue_ticket(now, key, route) {
            Ok(ticket) => {
                let answer = Answer::Ticket {
                    valid_for: now.until(ticket.expires),
                    ticket: ticket.encode(&self.fleet_key),
                    generation: self.generation(),
                };
                out.push(Action::Answer { req, answer });
            }
            Err(Rejection { status, error, .. }) => {
                self.answer(&req, Outcome::NotRun, status, Some(error), out);
            }
        }
    }

    fn issue_ticket(
        &mut self,
        now: Timestamp,
        key: Digest,
        route: RouteId,
    ) -> Result<Ticket, Rejection> {
        let unavailable = |cause| Rejection::new(503, local_error(Step::Ticket, cause));
        if self.drain != Drain::Serving {
            return Err(unavailable("the instance is shutting down"));
        }
        let Some(document) = self.serving_document() else {
            return Err(unavailable("the instance is not ready"));
        };
        let (organisation, caller) = authenticate(&document, &Source::Caller(key))?;
        let allowed = find_organisation(&document, &organisation)?;
        if !allowed.routes.contains(&route) {
            return Err(not_found(format!("unknown route `{route}`")));
        }
        let scope = Scope {
            environment: document.environment.name.clone(),
            organisation,
            caller,
            route,
        };
        Ok(self.ledger.issue(now, scope))
    }

    /// Decide what to do with a ticket. The ledger doesn't change until
    /// [`Self::record_ticket_action`].
    pub(crate) fn plan_ticket_use(
        &self,
        now: Timestamp,
        encoded: &str,
        scope: &Scope,
        source: &Source,
    ) -> Result<TicketAction, Rejection> {
        let reject =
            |status, cause: String| Err(Rejection::new(status, caller_error(Step::Ticket, cause)));
        let ticket = match Ticket::decode(encoded, &self.fleet_key) {
            Ok(ticket) => ticket,
            Err(error) => return reject(400, error.to_string()),
        };
        if let Err(error) = ticket.check(scope) {
            return reject(403, error.to_string());
        }
        if !self.ledger.owns(&ticket) {
            return self.plan_forward(ticket, source);
        }
        match self.ledger.look_up(now, &ticket) {
            TicketStatus::Unused => Ok(TicketAction::FirstUse(ticket)),
            TicketStatus::Running => Ok(TicketAction::Wait(ticket.number)),
            TicketStatus::Ended { outcome, answer } => {
                Ok(TicketAction::Recorded { outcome, answer })
            }
            TicketStatus::Expired => reject(410, "the ticket has expired".to_owned()),
            TicketStatus::Forgotten => {
                reject(410, "the ticket's outcome is no longer kept".to_owned())
            }
        }
    }

    /// Decide whether a request with a ticket that this incarnation doesn't own can be forwarded.
    fn plan_forward(&self, ticket: Ticket, source: &Source) -> Result<TicketAction, Rejection> {
        let unreachable = |cause: &'static str| {
            let party = Party::Instance(ticket.instance.as_str().into());
            let error = StepError::new(Step::Forward, party, cause);
            Err(Rejection::new(502, error))
        };
        // A peer forwards directly to the instance that issued the ticket. If this incarnation
        // doesn't own it, an earlier incarnation issued it.
        if ticket.instance == self.identity.instance || matches!(source, Source::Peer { .. }) {
            return unreachable("the incarnation that issued the ticket is gone");
        }
        if self
            .owner_addr(&ticket.instance, ticket.incarnation)
            .is_none()
        {
            return unreachable("the instance that issued the ticket can't be reached");
        }
        Ok(TicketAction::Forward(ticket))
    }

    /// Record a use in the ledger. Return the ticket's number if it is the first use.
    pub(crate) fn record_ticket_action(
        &mut self,
        req: &RequestId,
        action: &TicketAction,
    ) -> Result<Option<u64>, Rejection> {
        let full =
            |error: LedgerFull| Rejection::new(429, local_error(Step::Ticket, error.to_string()));
        match action {
            TicketAction::None | TicketAction::Forward(_) | TicketAction::Recorded { .. } => {
                Ok(None)
            }
            TicketAction::FirstUse(ticket) => {
                self.ledger.begin_use(ticket).map_err(full)?;
                Ok(Some(ticket.number))
            }
            TicketAction::Wait(number) => {
                self.ledger.add_waiter(*number, req.clone()).map_err(full)?;
                Ok(None)
            }
        }
    }

    /// Return the outcome of a request that this instance rejected. It is unknown where an earlier
    /// use of its ticket may have run.
    pub(crate) fn outcome_of_rejection(&self, now: Timestamp, new: &NewRequest) -> Outcome {
        let Some(ticket) = new
            .ticket
            .as_ref()
            .and_then(|encoded| Ticket::decode(encoded, &self.fleet_key).ok())
        else {
            return Outcome::NotRun;
        };
        if !self.ledger.owns(&ticket) {
            return Outcome::Unknown;
        }
        match self.ledger.look_up(now, &ticket) {
            TicketStatus::Unused | TicketStatus::Expired => Outcome::NotRun,
            TicketStatus::Forgotten | TicketStatus::Running | TicketStatus::Ended { .. } => {
                Outcome::Unknown
            }
        }
    }

    pub(crate) fn forward(
        &mut self,
        now: Timestamp,
        req: RequestId,
        owner: InstanceId,
        deadline: Timestamp,
        out: &mut Vec<Action>,
    ) {
        match self.peer_addr_of(&owner) {
            Some(addr) => out.push(Action::Forward {
                req,
                owner,
                addr,
                deadline,
            }),
            None => self.on_forward_failed(now, &req, "the owner is not known".into(), out),
        }
    }

    pub(crate) fn on_forward_ended(&mut self, req: &RequestId, outcome: Outcome) {
        if self.requests.swap_remove(req).is_some() {
            tracing::debug!(%req, %outcome, "the owner of the ticket answered");
        }
    }

    pub(crate) fn on_forward_failed(
        &mut self,
        now: Timestamp,
        req: &RequestId,
        cause: SmolStr,
        out: &mut Vec<Action>,
    ) {
        if self.requests.contains_key(req) {
            let error = local_error(Step::Forward, cause);
            self.finish(now, req, Outcome::Unknown, 502, Some(error), None, out);
        }
    }
}
