//! Dispatch queued requests to backend servers.

use indexmap::IndexMap;
use indexmap::IndexSet;
use oleanderpass_config::document::OrganisationClass;
use oleanderpass_quarantine::rule::RunRule;
use oleanderpass_routing::policy::Refusal;
use oleanderpass_routing::request::LengthClass;
use oleanderpass_routing::view::Dispatch;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::error::Step;
use oleanderpass_types::error::StepError;
use oleanderpass_types::id::AttemptNumber;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::ModelId;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::id::StreamId;
use oleanderpass_types::outcome::Outcome;
use oleanderpass_types::size::Tokens;

use crate::action::Action;
use crate::action::HeldMemory;
use crate::action::StartAttempt;
use crate::attempt::Attempt;
use crate::event::NewRequest;
use crate::event::Priority;
use crate::event::Target;
use crate::instance::Instance;
use crate::instance::local_error;
use crate::placement::Placement;
use crate::placement::expected_output;
use crate::queue::Entry;
use crate::queue::Lane;
use crate::request::Phase;
use crate::request::Request;

/// The time for which a request waits while its service has no live server. The instance list and
/// load reports show a new server within this time.
const NO_SERVER_WAIT: Millis = Millis::from_secs(5);

/// The server and the options of the next attempt of a request.
#[derive(Debug)]
pub(crate) struct AttemptPlan {
    /// The backend server that runs the attempt.
    pub(crate) server: BackendServerId,
    /// The load that the attempt adds to the engines in the view of this model. `None` when the
    /// server was chosen without the view.
    pub(crate) dispatch: Option<(ModelId, Dispatch)>,
    /// Send the request with batch priority.
    pub(crate) low_priority: bool,
    /// The holds on all engines that the prompt is spread over, the one on `server` included, in
    /// the order of use. Empty when the prompt fits on one engine.
    pub(crate) holds: Vec<HeldMemory>,
}

/// The result of trying to dispatch a request.
enum DispatchResult {
    /// The request has left the queue.
    LeftQueue,
    /// No server can take this request or any other one of its lane now.
    LaneBlocked,
    /// No server can take this request now, because it needs the memory of several engines or must
    /// not run together with others. Other requests of its lane may be dispatched.
    RequestBlocked,
}

impl Instance {
    /// Dispatch all requests that a server can take: first those that are detached from their lane,
    /// then the lanes by descending priority, each in fair order between organisations.
    pub(crate) fn dispatch_queued(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        self.queue.release_due(now);
        for id in self.queue.detached() {
            self.dispatch(now, &id, out);
        }
        for lane in self.queue.lanes() {
            while let Some(id) = self.queue.head(&lane) {
                match self.dispatch(now, &id, out) {
                    DispatchResult::LeftQueue => {}
                    DispatchResult::RequestBlocked => self.queue.detach(&id),
                    DispatchResult::LaneBlocked => break,
                }
            }
        }
    }

    fn dispatch(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        out: &mut Vec<Action>,
    ) -> DispatchResult {
        let Some(req) = self.requests.get(id) else {
            self.queue.remove(id);
            return DispatchResult::LeftQueue;
        };
        if now >= req.deadline {
            self.end_overdue_request(now, id, out);
            return DispatchResult::LeftQueue;
        }
        let rule = self.quarantine.rule(now, req.signature);
        if let RunRule::Refused { left } = rule {
            self.end_quarantined(now, id, left, out);
            return DispatchResult::LeftQueue;
        }
        match self.choose_placement(now, id) {
            Placement::SingleServer(plan) => {
                self.start_attempt(now, id, plan, out);
                DispatchResult::LeftQueue
            }
            Placement::MultipleEngines(plan) => {
                self.acquire_holds(now, id, plan, out);
                DispatchResult::LeftQueue
            }
            Placement::Refuse(refusal) => {
                let outcome = self.outcome_now(id);
                let (status, error) = describe_refusal(refusal);
                self.finish(now, id, outcome, status, Some(error), None, out);
                DispatchResult::LeftQueue
            }
            Placement::WaitForMemory => DispatchResult::RequestBlocked,
            Placement::Wait if rule != RunRule::Unrestricted => DispatchResult::RequestBlocked,
            Placement::Wait => DispatchResult::LaneBlocked,
        }
    }

    /// End a queued request whose signature is in quarantine.
    fn end_quarantined(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        left: Millis,
        out: &mut Vec<Action>,
    ) {
        let error = quarantine_error(left);
        self.finish(now, id, Outcome::Failed, 422, Some(error), None, out);
    }

    /// Report to the load shedding of each model the longest wait of a short, interactive prompt
    /// before its first attempt.
    pub(crate) fn observe_wait(&mut self, now: Timestamp) {
        let mut waits: IndexMap<&ModelId, Millis> = IndexMap::new();
        for id in self.queue.ids() {
            let Some(req) = self.requests.get(id) else {
                continue;
            };
            if let (Target::Model { model, .. }, Phase::Queued { since, .. }) =
                (&req.new.target, &req.phase)
                && req.new.priority == Priority::Interactive
                && req.attempt.0 == 0
                && self.length_class(&req.new) == LengthClass::Short
            {
                let wait = waits.entry(model).or_default();
                *wait = now.since(*since).max(*wait);
            }
        }
        for (model, overload) in &mut self.overload {
            let wait = waits.get(model).copied().unwrap_or_default();
            overload.observe(now, wait);
        }
    }

    /// End requests that have waited for [`NO_SERVER_WAIT`] and whose service has no live server.
    pub(crate) fn end_without_servers(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let live: IndexSet<&ServiceId> = self
            .servers
            .values()
            .filter(|server| server.is_live())
            .map(|server| &server.service)
            .collect();
        let expired: Vec<RequestId> = self
            .queue
            .ids()
            .filter(|id| {
                self.requests.get(*id).is_some_and(|req| {
                    let Phase::Queued { since, .. } = req.phase else {
                        return false;
                    };
                    now.since(since) >= NO_SERVER_WAIT && !live.contains(&req.service)
                })
            })
            .cloned()
            .collect();
        for id in expired {
            let outcome = self.outcome_now(&id);
            let error = local_error(Step::Queue, "the service has no live backend server");
            self.finish(now, &id, outcome, 503, Some(error), None, out);
        }
    }

    /// Add a request to the queue, to be dispatched after a delay.
    pub(crate) fn enqueue(&mut self, now: Timestamp, id: &RequestId, delay: Millis) {
        let Some(req) = self.requests.get_mut(id) else {
            return;
        };
        let not_before = now + delay;
        req.phase = Phase::Queued {
            since: now,
            not_before,
        };
        let Some(entry) = self.requests.get(id).map(|req| self.queue_entry(req)) else {
            return;
        };
        self.queue.push(entry, now, not_before);
    }

    fn queue_entry(&self, req: &Request) -> Entry {
        Entry {
            id: req.new.id.clone(),
            lane: Lane {
                priority: req.new.priority,
                class: self.length_class(&req.new),
                target: req.new.target.clone(),
            },
            organisation: req.organisation.clone(),
            weight: self.weight_of(&req.organisation),
            cost: request_cost(&req.new),
        }
    }

    pub(crate) fn length_class(&self, new: &NewRequest) -> LengthClass {
        let long = self
            .document
            .as_ref()
            .map_or(Tokens::new(u64::MAX), |document| {
                document.defaults.long_prompt
            });
        LengthClass::of(new.prompt, long)
    }

    /// Return the organisation's weight in the fair queue: each class has twice the weight of the
    /// next smaller one.
    pub(crate) fn weight_of(&self, organisation: &OrganisationId) -> u32 {
        let class = self
            .document
            .as_ref()
            .and_then(|document| document.organisations.get(organisation))
            .map(|organisation| organisation.class);
        match class {
            Some(OrganisationClass::Large) => 4,
            Some(OrganisationClass::Standard) => 2,
            Some(OrganisationClass::Small) | None => 1,
        }
    }

    /// Start the next attempt of a request.
    pub(crate) fn start_attempt(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        plan: AttemptPlan,
        out: &mut Vec<Action>,
    ) {
        let AttemptPlan {
            server,
            dispatch,
            low_priority,
            holds,
        } = plan;
        let (Some(req), Some(view)) = (self.requests.get_mut(id), self.servers.get_mut(&server))
        else {
            return;
        };
        self.queue.remove(id);
        if let Some((model, dispatch)) = &dispatch
            && let Some(view) = self.views.get_mut(model)
        {
            view.record_dispatch(now, dispatch, &req.new.prefixes);
        }
        view.in_flight += 1;
        req.attempt = AttemptNumber(req.attempt.0 + 1);
        req.phase = Phase::Running {
            server: server.clone(),
            started: false,
        };
        let stream = StreamId {
            req: id.clone(),
            attempt: req.attempt,
        };
        let attempt = Attempt {
            server: server.clone(),
            incarnation: view.incarnation,
            ticket: req.ticket,
            issued_at: now,
            signature: req.signature,
            alone: self.quarantine.rule(now, req.signature) == RunRule::Alone,
            dispatch,
        };
        self.attempts.insert(stream, attempt);
        let priority = if low_priority {
            Priority::Batch
        } else {
            req.new.priority
        };
        out.push(Action::StartAttempt(StartAttempt {
            req: id.clone(),
            attempt: req.attempt,
            server,
            addr: view.addr,
            deadline: req.deadline,
            priority,
            non_idempotent: req.non_idempotent,
            holds,
        }));
    }

    /// Return the outcome that a request would have if it ended now.
    pub(crate) fn outcome_now(&self, id: &RequestId) -> Outcome {
        self.requests
            .get(id)
            .map_or(Outcome::NotRun, |req| req.execution_so_far().outcome())
    }
}

/// Return the cost of a request, by which fair queueing and load shedding compare organisations:
/// prompt and expected output tokens for a generation, 1 for a call of a plain service.
pub(crate) fn request_cost(new: &NewRequest) -> Tokens {
    match &new.target {
        Target::Model { .. } => new.prompt + expected_output(new),
        Target::Route(_) => Tokens::new(1),
    }
}

/// Return the status and the error of a request that the routing policy refused.
pub(crate) fn describe_refusal(refusal: Refusal) -> (u16, StepError) {
    match refusal {
        Refusal::NoServer => (503, local_error(Step::Queue, "no backend server is usable")),
        Refusal::TooLarge => {
            let cause = "the prompt needs more memory than the usable engines have together";
            (503, local_error(Step::Admit, cause))
        }
        Refusal::Deadline => {
            let cause = "the estimated finish is after the deadline";
            (503, local_error(Step::Admit, cause))
        }
    }
}

/// Return the error of a request in quarantine, which ends after `left`.
pub(crate) fn quarantine_error(left: Millis) -> StepError {
    let cause = format!("the request crashed backend servers; it is refused for another {left}");
    local_error(Step::Admit, cause)
}
