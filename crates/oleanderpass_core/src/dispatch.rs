//! Hand queued requests to backend servers.

use std::cmp::Reverse;

use indexmap::IndexSet;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::error::Step;
use oleanderpass_types::id::AttemptNumber;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::id::StreamId;
use oleanderpass_types::outcome::Outcome;
use rand::RngExt;

use crate::action::Action;
use crate::action::StartAttempt;
use crate::attempt::Attempt;
use crate::instance::Instance;
use crate::instance::local_error;
use crate::request::Phase;
use crate::request::Request;
use crate::server::ServerView;

/// The time for which a request waits while its service has no live server at all. The instance
/// list and load reports show a new server within this time.
const NO_SERVER_WAIT: Millis = Millis::from_secs(5);

impl Instance {
    /// Dispatch what can be dispatched, urgent requests first, then in the order of admission.
    pub(crate) fn dispatch_queued(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let mut full: IndexSet<ServiceId> = IndexSet::new();
        let queued: Vec<RequestId> = self.queue.values().cloned().collect();
        for id in queued {
            let Some(req) = self.requests.get(&id) else {
                continue;
            };
            if now >= req.deadline {
                self.end_overdue_request(now, &id, out);
                continue;
            }
            let delayed = matches!(req.phase, Phase::Queued { not_before, .. } if now < not_before);
            if delayed || full.contains(&req.service) {
                continue;
            }
            match self.pick(now, &id) {
                Some(server) => self.start(now, &id, server, out),
                None => {
                    if !self.has_room(now, &id) {
                        full.extend(self.requests.get(&id).map(|req| req.service.clone()));
                    }
                }
            }
        }
    }

    /// End requests that wait for a service without any live server.
    pub(crate) fn end_serverless(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let live: IndexSet<&ServiceId> = self
            .servers
            .values()
            .filter(|server| server.is_live())
            .map(|server| &server.service)
            .collect();
        let over: Vec<RequestId> = self
            .queue
            .values()
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
        for id in over {
            let outcome = self.outcome_now(&id);
            let error = local_error(Step::Queue, "the service has no live backend server");
            self.finish(now, &id, outcome, 503, Some(error), None, out);
        }
    }

    /// Put a request back into the queue.
    pub(crate) fn requeue(&mut self, now: Timestamp, id: &RequestId, delay: Millis) {
        if let Some(req) = self.requests.get_mut(id) {
            req.phase = Phase::Queued {
                since: now,
                not_before: now + delay,
            };
            self.queue
                .insert((Reverse(req.new.priority), req.order), id.clone());
        }
    }

    fn start(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        server: BackendServerId,
        out: &mut Vec<Action>,
    ) {
        let (Some(req), Some(view)) = (self.requests.get_mut(id), self.servers.get_mut(&server))
        else {
            return;
        };
        self.queue.remove(&(Reverse(req.new.priority), req.order));
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
            since: now,
        };
        self.attempts.insert(stream, attempt);
        out.push(Action::StartAttempt(StartAttempt {
            req: id.clone(),
            attempt: req.attempt,
            server,
            addr: view.addr,
            deadline: req.deadline,
            priority: req.new.priority,
            once: req.once,
            holds: Vec::new(),
        }));
    }

    /// Choose a backend server: of two random ones of the own zone, or else of another zone, the
    /// one with fewer attempts.
    fn pick(&mut self, now: Timestamp, id: &RequestId) -> Option<BackendServerId> {
        let req = self.requests.get(id)?;
        let mut candidates = self.candidates(now, req, |name| !req.tried.contains(name));
        if candidates.is_empty() {
            candidates = self.candidates(now, req, |_| true);
        }
        let own_zone = |index: &usize| {
            self.servers
                .get_index(*index)
                .is_some_and(|(_, server)| server.zone == self.identity.zone)
        };
        if candidates.iter().any(own_zone) {
            candidates.retain(own_zone);
        }
        if candidates.is_empty() {
            return None;
        }
        let first = candidates.swap_remove(self.rng.random_range(0..candidates.len()));
        let second = match candidates.len() {
            0 => first,
            len => candidates[self.rng.random_range(0..len)],
        };
        let cost = |index: usize| {
            self.servers
                .get_index(index)
                .map(|(_, view)| view.in_flight)
        };
        let choice = if cost(second) < cost(first) {
            second
        } else {
            first
        };
        self.servers.get_index(choice).map(|(name, _)| name.clone())
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
                self.accepts_work(now, &req.service, server) && also(name)
            })
            .map(|(index, _)| index)
            .collect()
    }

    fn has_room(&self, now: Timestamp, id: &RequestId) -> bool {
        self.requests.get(id).is_some_and(|req| {
            self.servers
                .values()
                .any(|server| self.accepts_work(now, &req.service, server))
        })
    }

    fn accepts_work(&self, now: Timestamp, service: &ServiceId, server: &ServerView) -> bool {
        let room = self
            .document
            .as_ref()
            .and_then(|document| document.services.get(service))
            .is_some_and(|checked| server.in_flight < checked.concurrent_requests);
        room && server.service == *service && server.is_live() && now >= server.avoid_until
    }

    /// Return the outcome of a request that ends now.
    pub(crate) fn outcome_now(&self, id: &RequestId) -> Outcome {
        self.requests
            .get(id)
            .map_or(Outcome::NotRun, |req| req.execution_so_far().outcome())
    }
}
