//! Decide what a request gets that no server may get now.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Tokens;
use strum::Display;

use super::Decision;
use super::Gateway;
use super::Next;
use super::Request;
use crate::admission;
use crate::backend::BackendKey;
use crate::outcome::Cause;
use crate::registry::Backend;
use crate::registry::Standing;
use crate::retry_after::Wait;
use crate::server_limits::Allowance;

/// What a request lacks that no server may get now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Shortage {
    /// No server of the service is known, or all are leaving.
    Servers,
    /// No server of the service is in the home regions of the request.
    Homes,
    /// All servers of the service, or those at home, are in evacuated availability zones.
    Evacuated,
    /// The limits on the request rates of all servers are used up.
    Rate,
    /// All servers that limits allow have asked for a pause.
    Pause,
    /// The engines lack the memory for the prompt.
    Memory,
    /// The first event is expected after the caller gives up.
    Time,
    /// The engines of a long prompt are busy, and it can no longer be on time.
    Objective,
}

impl Gateway {
    /// Decide what a request gets that no server may get now. It waits if the limit of a server
    /// allows it in time, or if its answer has begun and its caller still waits.
    pub(super) fn decide_shortage(&self, now: Timestamp, req: &Request) -> Decision {
        let usable = self.registry.usable(now, &req.admission.service);
        let usable =
            usable.filter(|(key, backend)| self.may_use(now, &req.admission, *key, backend));
        let waits = usable.filter_map(|(key, _)| match self.allowance(now, key) {
            Allowance::After(wait) => Some((wait, key)),
            Allowance::Unlimited | Allowance::Now | Allowance::Never => None,
        });
        let next = waits.min_by_key(|(wait, _)| *wait);
        let wait = next.map(|(wait, _)| wait);
        if req.delivering {
            return Decision::WaitToResume(wait);
        }
        let objective = req.admission.route.objective;
        match wait {
            Some(wait) if now + wait <= req.spec.received + objective => Decision::Wait {
                at: now + wait,
                plan: None,
            },
            Some(wait) => {
                let pauses = next.is_some_and(|(_, key)| self.pauses.left(now, key).is_some());
                Decision::Refuse {
                    shortage: if pauses {
                        Shortage::Pause
                    } else {
                        Shortage::Rate
                    },
                    expected_ms: wait.get() as f64,
                    // Before the end of a pause the request would only be refused again.
                    wait: if pauses {
                        Wait::AtLeast(wait)
                    } else {
                        Wait::About(wait)
                    },
                    plan: None,
                }
            }
            None => Decision::Refuse {
                shortage: self.shortage(now, req),
                expected_ms: 0.0,
                // The objective stands for the time until a server has capacity.
                wait: Wait::About(objective),
                plan: None,
            },
        }
    }

    /// Let a request whose answer has begun wait for a server while its caller waits for the next
    /// event. A draining instance doesn't hand it back, because its answer would be cut.
    pub(super) fn wait_to_resume(
        &mut self,
        now: Timestamp,
        req: &mut Request,
        allowed_in: Option<Millis>,
    ) -> Next {
        let last_event = req.last_event.unwrap_or(req.spec.received);
        let route = &req.admission.route;
        let check_at =
            admission::resume_check_at(route, now, last_event, req.spec.deadline, allowed_in);
        if check_at.is_none() || !req.is_shortage_logged {
            req.is_shortage_logged = true;
            let expected_ms = allowed_in.map_or(0.0, |wait| wait.get() as f64);
            self.log_shortage(now, req, self.shortage(now, req), expected_ms);
        }
        match check_at {
            Some(at) => Next::Wait(at),
            None => self.end_request(now, req, Cause::NoCapacity),
        }
    }

    /// Return what a request lacks that no server may get now.
    fn shortage(&self, now: Timestamp, req: &Request) -> Shortage {
        let usable = self.registry.usable(now, &req.admission.service);
        let usable: Vec<(BackendKey, &Backend)> = usable.collect();
        let is_home = |backend: &Backend| {
            let zone = &backend.announcement.zone;
            self.homes.allows(&req.admission, zone)
        };
        let at_home = usable.iter().filter(|(_, backend)| is_home(backend));
        let accepting = at_home.clone().filter(|(key, _)| self.accepts(now, *key));
        let (at_home, accepting) = (at_home.count(), accepting.count());
        let allowed = self.candidates(now, &req.admission).len();
        match (usable.len(), at_home, accepting, allowed) {
            (0, ..) => Shortage::Servers,
            (_, 0, ..) => Shortage::Homes,
            (_, _, 0, _) => Shortage::Evacuated,
            (.., 0) => Shortage::Rate,
            _ => Shortage::Memory,
        }
    }

    /// Log why a request is refused, with the memory of the engines as this instance knows it.
    pub(super) fn log_shortage(
        &self,
        now: Timestamp,
        req: &Request,
        shortage: Shortage,
        expected_ms: f64,
    ) {
        let service = &req.admission.service;
        let config = self.config.as_ref();
        let engine = config.and_then(|config| config.engine(service));
        let capacity = engine.map_or(Tokens::ZERO, |engine| engine.memory);
        let candidates = self.candidates(now, &req.admission);
        let known: Vec<_> = self.registry.servers(service).collect();
        let known = known.iter();
        let free = candidates
            .iter()
            .map(|c| capacity.saturating_sub(c.load.memory).get());
        tracing::info!(
            request = %req.spec.id,
            %shortage,
            prompt_tokens = req.spec.prompt.get(),
            max_output_tokens = req.spec.max_output.get(),
            servers = candidates.len(),
            leaving = known.clone().filter(|(_, b)| b.standing == Standing::Leaving).count(),
            paused = known.filter(|(key, _)| self.pauses.left(now, *key).is_some()).count(),
            avoided = candidates.iter().filter(|c| c.avoided).count(),
            capacity_tokens = capacity.get(),
            free_tokens = free.clone().sum::<u64>(),
            largest_free_tokens = free.max(),
            long_prompt_load = self.load.long_prompt_load(now),
            tight_writers = candidates.iter().map(|c| c.load.tight_writers).sum::<u32>(),
            expected_ms = expected_ms as u64,
            waited_ms = now.since(req.spec.received).get(),
            delivering = req.delivering,
            "no server has room for a request"
        );
    }
}
