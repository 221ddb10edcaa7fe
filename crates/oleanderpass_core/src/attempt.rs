//! Handle the progress and the end of attempts, and end requests.

use std::sync::Arc;

use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_routing::view::Dispatch;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::error::Party;
use oleanderpass_types::error::Step;
use oleanderpass_types::error::StepError;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::ModelId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::id::StreamId;
use oleanderpass_types::outcome::Outcome;
use oleanderpass_types::size::Tokens;

use crate::action::Action;
use crate::action::Answer;
use crate::crash_evidence::CRASH_CHECK_TIME;
use crate::event::AttemptEnd;
use crate::event::Observation;
use crate::event::Progress;
use crate::event::RecordedAnswer;
use crate::event::Refusal;
use crate::failure::AttemptFacts;
use crate::failure::Failure;
use crate::failure::Retry;
use crate::failure::classify_end;
use crate::instance::Instance;
use crate::request::Execution;
use crate::request::Phase;
use crate::request::Request;
use crate::retry::retry_delay;
use crate::server::LeavingSource;

/// An attempt whose end has not been reported by its request task.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// The backend server whose slot it occupies.
    pub(crate) server: BackendServerId,
    /// The incarnation of the server when the attempt was issued; `None` if the server had not
    /// reported one.
    pub(crate) incarnation: Option<Incarnation>,
    /// The number of the ticket that its request uses, if any.
    pub(crate) ticket: Option<u64>,
    /// When the attempt was handed to its request task.
    pub(crate) issued_at: Timestamp,
    /// The signature of its request, which crash evidence names.
    pub(crate) signature: Signature,
    /// The quarantine demanded a server that runs nothing else, because the request is suspected of
    /// crashes.
    pub(crate) alone: bool,
    /// Its load on the engines in the view of its model; `None` if no view chose its server.
    pub(crate) dispatch: Option<(ModelId, Dispatch)>,
}

/// The status of a request whose caller disconnected. It is only logged.
const CALLER_GONE_STATUS: u16 = 499;

impl Instance {
    pub(crate) fn on_progress(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        progress: Progress,
        out: &mut Vec<Action>,
    ) {
        match progress {
            Progress::Sending => {}
            Progress::Started => self.on_started(&stream, false),
            Progress::FirstToken => self.on_started(&stream, true),
            Progress::Ended(end) => self.on_attempt_end(now, &stream, end, out),
        }
    }

    fn on_started(&mut self, stream: &StreamId, delivered: bool) {
        let Some(attempt) = self.attempts.get_mut(stream) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.on_accepted();
        }
        if delivered
            && let Some((model, dispatch)) = &mut attempt.dispatch
            && let Some(view) = self.views.get_mut(model)
        {
            view.record_first_token(dispatch);
        }
        let Some(req) = self.requests.get_mut(&stream.req) else {
            return;
        };
        if req.is_running(stream.attempt)
            && let Phase::Running { started, .. } = &mut req.phase
        {
            *started = true;
            req.delivered |= delivered;
        }
    }

    fn on_attempt_end(
        &mut self,
        now: Timestamp,
        stream: &StreamId,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(mut attempt) = self.attempts.swap_remove(stream) else {
            tracing::debug!(%stream, "ignored a second end of an attempt");
            return;
        };
        if let Some((model, dispatch)) = attempt.dispatch.take()
            && let Some(view) = self.views.get_mut(&model)
        {
            view.record_end(dispatch);
        }
        self.release_holds(now, stream, out);
        self.record_end_at_server(now, &attempt, &end);
        let current = self
            .requests
            .get(&stream.req)
            .is_some_and(|req| req.is_running(stream.attempt));
        if current {
            self.on_current_attempt_end(now, &stream.req, &attempt.server, end, out);
        } else if let Some(ticket) = attempt.ticket {
            self.revise_ticket_outcome(now, ticket, &end);
        }
        self.dispatch_queued(now, out);
        self.advance_drain(now, out);
    }

    /// Free the server's slot and update its state from how the attempt ended.
    fn record_end_at_server(&mut self, now: Timestamp, attempt: &Attempt, end: &AttemptEnd) {
        let Some(server) = self.servers.get_mut(&attempt.server) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        if matches!(end, AttemptEnd::Refused(Refusal::NotLoaded)) {
            server.polls.make_due(Observation::State, now);
        }
        match end {
            AttemptEnd::Completed { .. } => {
                server.on_accepted();
                self.quarantine.on_finished(attempt.signature);
            }
            AttemptEnd::Refused(Refusal::Leaving) => {
                let incarnation = attempt.incarnation.or(server.incarnation);
                let source = LeavingSource::Server;
                self.mark_leaving(now, &attempt.server, incarnation, source);
            }
            AttemptEnd::NotSent(_)
            | AttemptEnd::Refused(Refusal::Full | Refusal::NotLoaded)
            | AttemptEnd::Broken { .. } => {
                // Attempts that were in flight when the backoff began tell nothing new about the
                // server, so only the first of their failures counts.
                if attempt.issued_at >= server.backoff_until || server.consecutive_failures == 0 {
                    // The backoff is twice the retry delay after as many failures, up to the same
                    // maximum.
                    let failures = server.consecutive_failures.saturating_add(2);
                    let delay = retry_delay(failures, &mut self.rng);
                    let unreachable = !matches!(end, AttemptEnd::Refused(_));
                    server.on_attempt_failed(now, delay, unreachable);
                }
            }
            AttemptEnd::Failed(_) => self.quarantine.on_finished(attempt.signature),
            AttemptEnd::Refused(Refusal::Deadline) | AttemptEnd::Cancelled => {}
        }
        if matches!(end, AttemptEnd::Broken { .. }) {
            let Attempt {
                server,
                incarnation,
                signature,
                alone,
                ..
            } = attempt;
            self.on_connection_lost(now, server, *incarnation, *signature, *alone);
        }
        self.update_views(&attempt.server);
    }

    /// Complete, retry or end a request after the end of its current attempt.
    fn on_current_attempt_end(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        server: &BackendServerId,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(req) = self.requests.get_mut(id) else {
            return;
        };
        let facts = AttemptFacts {
            non_idempotent: req.non_idempotent,
            started: matches!(req.phase, Phase::Running { started: true, .. }),
            delivered: req.delivered,
        };
        let Some(failure) = classify_end(facts, &end) else {
            let (output, answer) = match end {
                AttemptEnd::Completed { output, answer } => (output, answer),
                _ => (Tokens::ZERO, None),
            };
            self.limits
                .record_output_tokens(now, &req.organisation, output.get());
            self.finish(now, id, Outcome::Completed, 200, None, answer, out);
            return;
        };
        let Failure {
            execution,
            retry,
            step,
            cause,
        } = failure;
        let party = Party::BackendServer(server.as_str().into());
        let error = StepError::new(step, party, cause);
        req.execution = req.execution.max(execution);
        req.last_error = Some(error.clone());
        if retry == Retry::Budgeted && !req.failed_servers.contains(server) {
            req.failed_servers.push(server.clone());
        }
        if now >= req.deadline {
            self.end_after_attempts(now, id, 504, error, out);
        } else if retry == Retry::Unbudgeted {
            self.enqueue(now, id, Millis::ZERO);
        } else if retry == Retry::Budgeted && self.retry_budget.withdraw() {
            let failures = self.requests.get(id).map_or(1, |req| req.attempt.0);
            let mut delay = retry_delay(failures, &mut self.rng);
            if matches!(end, AttemptEnd::Broken { .. }) {
                delay = delay.max(CRASH_CHECK_TIME);
            }
            self.enqueue(now, id, delay);
        } else {
            let status = match (&end, execution) {
                (AttemptEnd::Refused(Refusal::Deadline), _) => 504,
                (_, Execution::NotRun) => 503,
                _ => 502,
            };
            self.end_after_attempts(now, id, status, error, out);
        }
    }

    /// End a request with the outcome that follows from all of its attempts.
    fn end_after_attempts(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        status: u16,
        error: StepError,
        out: &mut Vec<Action>,
    ) {
        let outcome = self
            .requests
            .get(id)
            .map_or(Outcome::Unknown, |req| req.execution.outcome());
        self.finish(now, id, outcome, status, Some(error), None, out);
    }

    /// Correct the recorded outcome of a ticket by an attempt that ended after its request was
    /// answered.
    fn revise_ticket_outcome(&mut self, now: Timestamp, ticket: u64, end: &AttemptEnd) {
        let (outcome, answer) = match end {
            AttemptEnd::Completed { answer, .. } => (Outcome::Completed, answer.clone()),
            AttemptEnd::NotSent(_) | AttemptEnd::Refused(_) => (Outcome::NotRun, None),
            AttemptEnd::Failed(_) => (Outcome::Failed, None),
            AttemptEnd::Broken { .. } | AttemptEnd::Cancelled => return,
        };
        self.ledger.revise_outcome(now, ticket, outcome, answer);
    }

    pub(crate) fn on_caller_gone(&mut self, now: Timestamp, id: &RequestId, out: &mut Vec<Action>) {
        let Some(req) = self.requests.get(id) else {
            return;
        };
        let keep = match req.phase {
            // Another use of the ticket may ask for the outcome, and the effect of a cancelled call
            // is unknown.
            Phase::Running { .. } => req.non_idempotent,
            Phase::Queued { .. } => req.ticket.is_some_and(|ticket| {
                req.execution != Execution::NotRun || !self.ledger.withdraw_use(ticket)
            }),
            Phase::AcquiringHolds | Phase::Forwarded { .. } | Phase::Waiting { .. } => false,
        };
        if keep {
            return;
        }
        self.cancel_current_attempt(id, out);
        let outcome = self.outcome_now(id);
        let error = StepError::new(Step::Stream, Party::Caller, "the caller disconnected");
        self.finish(now, id, outcome, CALLER_GONE_STATUS, Some(error), None, out);
        self.dispatch_queued(now, out);
        self.advance_drain(now, out);
    }

    /// End all requests whose deadline has passed.
    pub(crate) fn end_overdue(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let overdue: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, req)| now >= req.deadline)
            .map(|(id, _)| id.clone())
            .collect();
        for id in overdue {
            self.end_overdue_request(now, &id, out);
        }
    }

    pub(crate) fn end_overdue_request(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        out: &mut Vec<Action>,
    ) {
        let Some(req) = self.requests.get(id) else {
            return;
        };
        let error = StepError::new(
            current_step(req),
            awaited_party(req),
            "the request's time is over",
        );
        let outcome = req.execution_so_far().outcome();
        self.cancel_current_attempt(id, out);
        self.finish(now, id, outcome, 504, Some(error), None, out);
    }

    /// Cancel the running attempt. It occupies its server's slot until its end is reported.
    fn cancel_current_attempt(&self, id: &RequestId, out: &mut Vec<Action>) {
        if let Some(req) = self.requests.get(id)
            && matches!(req.phase, Phase::Running { .. })
        {
            out.push(Action::CancelAttempt {
                req: id.clone(),
                attempt: req.attempt,
            });
        }
    }

    /// Answer and remove a request, and answer the requests that wait for the end of its ticket.
    #[expect(clippy::too_many_arguments, reason = "the parts of one answer")]
    pub(crate) fn finish(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        outcome: Outcome,
        status: u16,
        error: Option<StepError>,
        recorded: Option<Arc<RecordedAnswer>>,
        out: &mut Vec<Action>,
    ) {
        let Some(req) = self.requests.swap_remove(id) else {
            return;
        };
        if !matches!(req.phase, Phase::Forwarded { .. } | Phase::Waiting { .. }) {
            self.limits.finish(&req.organisation);
        }
        match req.phase {
            Phase::Queued { .. } => self.queue.remove(id),
            Phase::AcquiringHolds => self.release_unstarted_holds(now, id, req.attempt, out),
            Phase::Waiting { ticket } => self.ledger.remove_waiter(ticket, id),
            Phase::Running { .. } | Phase::Forwarded { .. } => {}
        }
        self.answer(id, outcome, status, error, out);
        let Some(ticket) = req.ticket else {
            return;
        };
        for waiter in self.ledger.end_use(now, ticket, outcome, recorded.clone()) {
            self.requests.swap_remove(&waiter);
            self.answer_recorded(&waiter, outcome, recorded.clone(), out);
        }
    }

    pub(crate) fn answer(
        &self,
        id: &RequestId,
        outcome: Outcome,
        status: u16,
        error: Option<StepError>,
        out: &mut Vec<Action>,
    ) {
        if let Some(error) = &error {
            tracing::info!(req = %id, %outcome, status, %error, "request ended");
        }
        let answer = Answer::End {
            outcome,
            status,
            error,
            generation: self.generation(),
        };
        let req = id.clone();
        out.push(Action::Answer { req, answer });
    }

    /// Answer a request with the recorded result of an earlier use of its ticket.
    pub(crate) fn answer_recorded(
        &self,
        id: &RequestId,
        outcome: Outcome,
        recorded: Option<Arc<RecordedAnswer>>,
        out: &mut Vec<Action>,
    ) {
        let answer = Answer::Recorded {
            answer: recorded,
            outcome,
            generation: self.generation(),
        };
        let req = id.clone();
        out.push(Action::Answer { req, answer });
    }
}

/// Return the step that a request is in.
fn current_step(req: &Request) -> Step {
    match req.phase {
        Phase::Queued { .. } | Phase::AcquiringHolds => Step::Queue,
        Phase::Running { started: false, .. } => Step::Start,
        Phase::Running { started: true, .. } => Step::Stream,
        Phase::Forwarded { .. } => Step::Forward,
        Phase::Waiting { .. } => Step::Ticket,
    }
}

/// Return the party that a request waits for.
fn awaited_party(req: &Request) -> Party {
    match &req.phase {
        Phase::Running { server, .. } => Party::BackendServer(server.as_str().into()),
        Phase::Forwarded { owner, .. } => Party::Instance(owner.as_str().into()),
        Phase::Queued { .. } | Phase::AcquiringHolds | Phase::Waiting { .. } => Party::Local,
    }
}
