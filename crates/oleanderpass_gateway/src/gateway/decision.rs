//! Decide what a request gets now: servers, a wait or a refusal.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use rand_pcg::Pcg64Mcg;

use super::Gateway;
use super::Request;
use super::Shortage;
use crate::admission;
use crate::admission::LongPromptState;
use crate::admission::LongPromptTurn;
use crate::admission::Scheduling;
use crate::placement::MAX_HELPERS;
use crate::placement::Plan;
use crate::retry_after::Wait;

/// What a request gets now, decided without a change of the state.
#[derive(Clone, Debug)]
pub(crate) enum Decision {
    /// An attempt.
    Send {
        /// Its servers and the expected times.
        plan: Plan,
        /// When it is served, relative to others.
        scheduling: Scheduling,
    },
    /// Another decision at this time.
    Wait {
        /// The time.
        at: Timestamp,
        /// The servers that it would be sent to now. `None` if limits rule out all.
        plan: Option<Plan>,
    },
    /// Another decision while the caller of a begun answer waits, or once the limit on the request
    /// rate of a server allows an attempt.
    WaitToResume(Option<Millis>),
    /// A refusal.
    Refuse {
        /// What it lacks.
        shortage: Shortage,
        /// The time after which it could be served, in milliseconds, for the log; 0 if unknown.
        expected_ms: f64,
        /// The time after which its caller may resend it, before jitter.
        wait: Wait,
        /// The servers that it would be sent to, if they weren't too slow.
        plan: Option<Plan>,
    },
}

impl Gateway {
    /// Decide what a request gets that may be sent to a server.
    pub(crate) fn decide(&self, now: Timestamp, req: &Request, rng: &mut Pcg64Mcg) -> Decision {
        let mut plan = self.place(now, req, true, rng);
        if self.paces.count() > 0
            && !plan
                .as_ref()
                .is_some_and(|p| self.is_served_now(now, req, p))
        {
            // A window is no reason to refuse a request or to let it wait.
            plan = self.place(now, req, false, rng).or(plan);
        }
        let Some(plan) = plan else {
            return self.decide_shortage(now, req);
        };
        let scheduling = schedule(now, req, &plan);
        let turn = self.long_prompt_turn(now, req, &plan);
        let objective = req.admission.route.objective;
        let refusal = match (scheduling, turn) {
            (Scheduling::Refused, _) => {
                let behind_all = Millis::new(plan.behind_all_ms as u64);
                // By then the pending prefill is short enough for the request to be on time.
                Some((Shortage::Time, behind_all.saturating_sub(objective)))
            }
            // The objective stands for the time until the engines have less to do.
            (_, LongPromptTurn::Refused) => Some((Shortage::Objective, objective)),
            (_, LongPromptTurn::Now | LongPromptTurn::Later(_)) => None,
        };
        if let Some((shortage, wait)) = refusal {
            return Decision::Refuse {
                shortage,
                expected_ms: plan.behind_all_ms,
                wait: Wait::About(wait),
                plan: Some(plan),
            };
        }
        if let LongPromptTurn::Later(at) = turn {
            let plan = Some(plan);
            return Decision::Wait { at, plan };
        }
        Decision::Send { plan, scheduling }
    }

    /// Return whether a request with this plan is neither refused nor waits.
    fn is_served_now(&self, now: Timestamp, req: &Request, plan: &Plan) -> bool {
        schedule(now, req, plan) != Scheduling::Refused
            && self.long_prompt_turn(now, req, plan) == LongPromptTurn::Now
    }

    /// Decide when a planned attempt of a long prompt is sent. All other attempts are sent at once.
    fn long_prompt_turn(&self, now: Timestamp, req: &Request, plan: &Plan) -> LongPromptTurn {
        let config = self.config.as_ref();
        let engine = config.and_then(|config| config.engine(&req.admission.service));
        let Some(engine) = engine.filter(|_| !req.is_short() && !req.delivering) else {
            return LongPromptTurn::Now;
        };
        let shortest_prefill_ms = engine.prefill_ms(req.spec.prompt, MAX_HELPERS + 1);
        let prompt = LongPromptState {
            received: req.spec.received,
            deadline: req.spec.deadline,
            backlog: Millis::new(plan.backlog_ms as u64),
            expected: Millis::new(plan.behind_all_ms as u64),
            shortest_prefill: Millis::new(shortest_prefill_ms as u64),
            was_sent: req.sent > 0,
        };
        admission::long_prompt_turn(&req.admission.route, now, &prompt)
    }
}

/// Decide when a planned attempt is served. Calls with one whole answer and streams that have begun
/// are always served at once.
fn schedule(now: Timestamp, req: &Request, plan: &Plan) -> Scheduling {
    let route = &req.admission.route;
    if req.delivering || !route.kind.is_stream() {
        return Scheduling::Now;
    }
    let expected = Millis::new(plan.expected_ms as u64);
    let behind_all = Millis::new(plan.behind_all_ms as u64);
    admission::schedule(route, expected, behind_all, now.until(req.spec.deadline))
}
