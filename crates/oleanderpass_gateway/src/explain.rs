//! Explain what an instance would do with a request now, and why.
//!
//! The decisions are those of [`Gateway`] itself, taken on a copy of its random generator. Nothing
//! is booked: no load, no attempt, no part of the retry budget. The parts and the body of the
//! prompt are not known, so refusals of prompts that crash servers are not explained.

use std::fmt;

use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Tokens;
use rand::RngExt;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use strum::Display;

use crate::backend::BackendKey;
use crate::engine::EngineModel;
use crate::gateway::Admission;
use crate::gateway::Decision;
use crate::gateway::Gateway;
use crate::gateway::Next;
use crate::gateway::Rejection;
use crate::gateway::Request;
use crate::gateway::RequestSpec;
use crate::gateway::end;
use crate::outcome::Cause;
use crate::placement::Candidate;
use crate::placement::GenerationSpec;
use crate::placement::Plan;
use crate::registry::Backend;

/// The id of explained requests in the state that decisions take. No server gets it.
const REQUEST_ID: &str = "explain";

/// What keeps requests from a server, or makes it one of the last to get them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Obstacle {
    /// It is leaving, or its entry vanished and it serves as a last resort.
    Standing,
    /// It is listed but gone, while others are not.
    Gone,
    /// Its availability zone is evacuated.
    Evacuated,
    /// Its availability zone is not in the home regions of the request.
    Homes,
    /// It has asked this instance for a pause, which goes on or has just ended.
    PauseAsked,
    /// The limit on its request rate allows this instance nothing now.
    Limit,
    /// It is cold, and its request rate allows this instance nothing now.
    Cold,
    /// It failed lately and is paused.
    Paused,
    /// No instance of its availability zone is heard of any more.
    ZoneNotReached,
    /// It has no free slot.
    Slots,
    /// It gets load gradually after it has started or recovered, and has no room in its window.
    Pace,
    /// It lacks the memory for the whole prompt and its answer.
    Memory,
}

/// A server of the service, and what keeps the request from it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerReport {
    /// The id of the server.
    pub server: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its standing in the list.
    pub standing: SmolStr,
    /// What rules it out. `None` if it is a candidate.
    pub ruled_out: Option<Obstacle>,
    /// What makes other candidates go before it.
    pub held_back: Vec<Obstacle>,
    /// Its load as this instance knows it. `None` if the server is ruled out.
    pub load: Option<LoadReport>,
}

/// The load of a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// The requests that it runs.
    pub in_flight: u32,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Its pending prefill, in milliseconds.
    pub unread_ms: u64,
    /// Its memory in use, in tokens.
    pub memory_tokens: u64,
}

/// A helper of a planned attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HelperReport {
    /// The id of the server.
    pub server: SmolStr,
    /// The memory that it reserves, in tokens; 0 if none.
    pub reserve_tokens: u64,
}

/// The servers of an attempt and the expected times.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlanReport {
    /// The server that gets the request.
    pub primary: SmolStr,
    /// The engines that prefill parts of the prompt for it.
    pub helpers: Vec<HelperReport>,
    /// The expected time to the first event, in milliseconds; 0 for plain services.
    pub expected_first_event_ms: u64,
    /// The same if the attempt waits behind all that the servers have.
    pub behind_all_ms: u64,
    /// The longest pending prefill time among the engines, in milliseconds.
    pub backlog_ms: u64,
}

/// What the request would get.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Outcome {
    /// It is sent to the servers of the plan.
    Sent {
        /// When it is served, relative to other requests.
        turn: SmolStr,
    },
    /// It waits until its servers have less pending prefill or a limit allows it.
    Waits {
        /// The time until the next decision, in milliseconds.
        decided_again_ms: u64,
    },
    /// It is refused.
    Refused {
        /// The HTTP status.
        status: u16,
        /// What it lacks: servers, homes, evacuated, rate, pause, memory, time or objective.
        shortage: SmolStr,
        /// The time after which its caller may resend it, in milliseconds. It is random within a
        /// factor of two.
        retry_after_ms: Option<u64>,
    },
    /// It is not admitted.
    NotAdmitted {
        /// Why not.
        rejection: SmolStr,
    },
}

/// What an instance would do with a request now, and why.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The instance.
    pub instance: SmolStr,
    /// The availability zone of the instance.
    pub zone: SmolStr,
    /// The version of the configuration in force, or 0 before the first one was read.
    pub config_version: u64,
    /// The name of the route. `None` if the request isn't admitted.
    pub route: Option<SmolStr>,
    /// The organisation that holds the key. `None` for an anonymous request.
    pub organisation: Option<SmolStr>,
    /// The service. Where a route has several, another request may get another one.
    pub service: Option<SmolStr>,
    /// The servers of the service.
    pub servers: Vec<ServerReport>,
    /// The servers of the attempt. `None` if no server may get the request.
    pub plan: Option<PlanReport>,
    /// What the request would get.
    pub outcome: Outcome,
}

impl Gateway {
    /// Explain what this instance would do with a request that arrives at `now`. The state doesn't
    /// change, and the key is not part of the explanation.
    pub fn explain(
        &self,
        now: Timestamp,
        host: &str,
        path: &str,
        key: Option<&str>,
        prompt: Tokens,
        max_output: Tokens,
    ) -> Explanation {
        let mut rng = self.cloned_rng();
        let draw = rng.random();
        let admission = match self.admit(now, host, path, key, draw) {
            Ok(admission) => admission,
            Err(rejection) => return self.explain_rejection(rejection),
        };
        let spec = RequestSpec {
            id: REQUEST_ID.into(),
            host: host.into(),
            path: path.into(),
            key: key.map(SmolStr::new),
            prompt,
            max_output,
            shared_parts: Vec::new(),
            received: now,
            deadline: now + admission.route.timeout,
            signature: Signature(0),
        };
        let req = Request::new(spec, admission.clone(), draw);
        let decision = self.decide(now, &req, &mut rng);
        let (plan, outcome) = match decision {
            Decision::Send { plan, scheduling } => {
                let turn = scheduling.to_smolstr();
                (Some(plan), Outcome::Sent { turn })
            }
            Decision::Wait { at, plan } => {
                let decided_again_ms = now.until(at).get();
                (plan, Outcome::Waits { decided_again_ms })
            }
            Decision::WaitToResume(allowed_in) => {
                let decided_again_ms = allowed_in.map_or(0, Millis::get);
                (None, Outcome::Waits { decided_again_ms })
            }
            Decision::Refuse {
                shortage,
                wait,
                plan,
                ..
            } => {
                let (status, retry_after) = match end(now, &req, Cause::NoCapacity, wait, &mut rng)
                {
                    Next::End {
                        status,
                        retry_after,
                        ..
                    } => (status, retry_after),
                    Next::Send(_) | Next::Wait(_) | Next::Rejected(_) => (0, None),
                };
                let refused = Outcome::Refused {
                    status,
                    shortage: shortage.to_smolstr(),
                    retry_after_ms: retry_after.map(Millis::get),
                };
                (plan, refused)
            }
        };
        Explanation {
            route: Some(admission.route.name.clone()),
            organisation: admission.organisation.as_ref().map(|o| o.id.to_smolstr()),
            service: Some(admission.service.to_smolstr()),
            servers: self.report_servers(now, &admission, &req.generation(now)),
            plan: plan.map(|plan| self.report_plan(&plan)),
            ..self.explanation(outcome)
        }
    }

    /// Return an explanation that names only the instance and the outcome.
    fn explanation(&self, outcome: Outcome) -> Explanation {
        let identity = self.identity();
        let config = self.configuration();
        Explanation {
            instance: identity.id.to_smolstr(),
            zone: identity.zone.to_smolstr(),
            config_version: config.map_or(0, |config| config.version.get()),
            route: None,
            organisation: None,
            service: None,
            servers: Vec::new(),
            plan: None,
            outcome,
        }
    }

    fn explain_rejection(&self, rejection: Rejection) -> Explanation {
        let rejection = rejection.to_smolstr();
        self.explanation(Outcome::NotAdmitted { rejection })
    }

    fn report_servers(
        &self,
        now: Timestamp,
        admission: &Admission,
        generation: &GenerationSpec,
    ) -> Vec<ServerReport> {
        let config = self.configuration();
        let engine = config.and_then(|config| config.engine(&admission.service));
        self.assess_servers(now, admission)
            .map(|(backend, assessment)| {
                let entry = &backend.announcement;
                let report = ServerReport {
                    server: entry.id.to_smolstr(),
                    zone: entry.zone.to_smolstr(),
                    standing: backend.standing.to_smolstr(),
                    ruled_out: None,
                    held_back: Vec::new(),
                    load: None,
                };
                match assessment {
                    Ok(candidate) => ServerReport {
                        held_back: self.held_back(now, backend, &candidate, engine, generation),
                        load: Some(report_load(&candidate)),
                        ..report
                    },
                    Err(obstacle) => ServerReport {
                        ruled_out: Some(obstacle),
                        ..report
                    },
                }
            })
            .collect()
    }

    /// Return what makes other candidates go before one.
    fn held_back(
        &self,
        now: Timestamp,
        backend: &Backend,
        candidate: &Candidate,
        engine: Option<&EngineModel>,
        generation: &GenerationSpec,
    ) -> Vec<Obstacle> {
        let lacks_memory = engine.is_some_and(|e| generation.exceeds_memory(e, candidate));
        let lacks_slots = candidate.load.in_flight >= candidate.slots;
        let room = candidate.is_full().then_some(match lacks_slots {
            true => Obstacle::Slots,
            false => Obstacle::Pace,
        });
        let memory = lacks_memory.then_some(Obstacle::Memory);
        let obstacles = [self.avoidance(now, backend), room, memory];
        obstacles.into_iter().flatten().collect()
    }

    fn report_plan(&self, plan: &Plan) -> PlanReport {
        let id = |key: BackendKey| {
            let backend = self.registry().get(key);
            backend.map_or_else(SmolStr::default, |b| b.announcement.id.to_smolstr())
        };
        let helpers = plan.helpers.iter().map(|helper| HelperReport {
            server: id(helper.key),
            reserve_tokens: helper.reserve.unwrap_or_default().get(),
        });
        PlanReport {
            primary: id(plan.primary),
            helpers: helpers.collect(),
            expected_first_event_ms: plan.expected_ms as u64,
            behind_all_ms: plan.behind_all_ms as u64,
            backlog_ms: plan.backlog_ms as u64,
        }
    }
}

fn report_load(candidate: &Candidate) -> LoadReport {
    LoadReport {
        in_flight: candidate.load.in_flight,
        slots: candidate.slots,
        unread_ms: candidate.load.unread_ms as u64,
        memory_tokens: candidate.load.memory.get(),
    }
}

/// The explanation as text, with one `key: value` pair per line, the outcome first, and one line per
/// server.
impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let or_none = |name: &Option<SmolStr>| name.clone().unwrap_or_else(|| "none".into());
        writeln!(f, "outcome: {}", self.outcome)?;
        writeln!(f, "instance: {} in {}", self.instance, self.zone)?;
        writeln!(f, "config_version: {}", self.config_version)?;
        writeln!(f, "route: {}", or_none(&self.route))?;
        writeln!(f, "organisation: {}", or_none(&self.organisation))?;
        writeln!(f, "service: {}", or_none(&self.service))?;
        if let Some(plan) = &self.plan {
            write!(f, "{plan}")?;
        }
        self.servers
            .iter()
            .try_for_each(|server| writeln!(f, "{server}"))
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Sent { turn } => write!(f, "sent, turn {turn}"),
            Self::Waits { decided_again_ms } => {
                write!(f, "waits, decided again in {decided_again_ms} ms")
            }
            Self::Refused {
                status,
                shortage,
                retry_after_ms,
            } => {
                write!(f, "refused with {status}, lacks {shortage}")?;
                match retry_after_ms {
                    Some(ms) => write!(f, ", retry after {ms} ms"),
                    None => Ok(()),
                }
            }
            Self::NotAdmitted { rejection } => write!(f, "not admitted: {rejection}"),
        }
    }
}

impl fmt::Display for PlanReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "primary: {}", self.primary)?;
        for helper in &self.helpers {
            let reserve = helper.reserve_tokens;
            writeln!(f, "helper: {} reserves {reserve} tokens", helper.server)?;
        }
        writeln!(
            f,
            "expected_first_event: {} ms, {} ms behind all, backlog {} ms",
            self.expected_first_event_ms, self.behind_all_ms, self.backlog_ms
        )
    }
}

impl fmt::Display for ServerReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "server: {} {} {}", self.server, self.zone, self.standing)?;
        if let Some(obstacle) = self.ruled_out {
            write!(f, ", ruled out: {obstacle}")?;
        }
        if let Some(load) = self.load {
            let (in_flight, slots) = (load.in_flight, load.slots);
            let (unread_ms, tokens) = (load.unread_ms, load.memory_tokens);
            write!(
                f,
                ", {in_flight} of {slots} slots, prefill {unread_ms} ms, "
            )?;
            write!(f, "memory {tokens} tokens")?;
        }
        for (index, obstacle) in self.held_back.iter().enumerate() {
            let label = if index == 0 { ", held back:" } else { "," };
            write!(f, "{label} {obstacle}")?;
        }
        Ok(())
    }
}
