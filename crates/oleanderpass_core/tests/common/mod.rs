//! Test support: run one instance with simulated time.

#![allow(
    dead_code,
    unreachable_pub,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "each test file uses only some helpers; a failed unwrap fails the test"
)]

pub mod fleet;

use std::sync::Arc;

use oleanderpass_core::action::Action;
use oleanderpass_core::action::Answer;
use oleanderpass_core::action::StartAttempt;
use oleanderpass_core::event::AttemptEnd;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::InstanceList;
use oleanderpass_core::event::Lifecycle;
use oleanderpass_core::event::ListedInstance;
use oleanderpass_core::event::ListedServer;
use oleanderpass_core::event::NewRequest;
use oleanderpass_core::event::Priority;
use oleanderpass_core::event::Progress;
use oleanderpass_core::event::RecordedAnswer;
use oleanderpass_core::event::ServerLoad;
use oleanderpass_core::event::Source;
use oleanderpass_core::event::Target;
use oleanderpass_core::instance::Identity;
use oleanderpass_core::instance::Instance;
use oleanderpass_proto::environment;
use oleanderpass_ticket::FleetKey;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::outcome::Outcome;
use oleanderpass_types::size::Tokens;
use smol_str::SmolStr;

/// The document in force in most tests: a model on the engines of service `skald`, three routes to
/// the plain service `ledger`, and an organisation with two callers.
pub const DOCUMENT: &str = r#"
generation: 1
environment: {name: trial, zones: [north, south]}
services:
  - {id: skald, kind: engine, memory_tokens: 100000, prefill_tokens_per_s: 10000, token_ms: 50, concurrent_requests: 2}
  - {id: ledger, kind: plain, concurrent_requests: 2}
models:
  - {id: saga, version: v1, service: skald, max_prompt_tokens: 1000000}
routes:
  - {id: charge, service: ledger, idempotent: false}
  - {id: book, service: ledger, idempotent: false, ticket: optional}
  - {id: status, service: ledger, idempotent: true}
organisations:
  - id: acme
    class: large
    models: [saga]
    routes: [charge, book, status]
    callers:
      - {id: till, key_sha256: "0101010101010101010101010101010101010101010101010101010101010101"}
      - {id: office, key_sha256: "0202020202020202020202020202020202020202020202020202020202020202"}
"#;

/// The digest of the API key of caller `till`.
pub const KEY: Digest = Digest([1; 32]);
/// The digest of the API key of caller `office`.
pub const OTHER_KEY: Digest = Digest([2; 32]);

pub fn ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

pub fn document(text: &str) -> Arc<environment::Document> {
    Arc::new(serde_saphyr::from_str(text).unwrap())
}

pub fn listed_server(id: &str, service: &str, zone: &str, state: Lifecycle) -> ListedServer {
    ListedServer {
        id: id.parse().unwrap(),
        service: service.parse().unwrap(),
        zone: zone.parse().unwrap(),
        addr: "127.0.0.1:9000".parse().unwrap(),
        state,
    }
}

/// Return the entry of a live instance of zone `north` in the instance list.
pub fn listed_instance(id: &str) -> ListedInstance {
    ListedInstance {
        id: id.parse().unwrap(),
        zone: "north".parse().unwrap(),
        peer_addr: "127.0.0.1:7000".parse().unwrap(),
        state: Lifecycle::Live,
    }
}

/// The outcome and the HTTP status of an answer to a caller; status 0 for an answer that is no
/// longer kept.
pub type OutcomeAndStatus = (Outcome, u16);

/// An instance under test, its current time and its actions so far. No action is carried out: a
/// test reports by events what would result from one.
pub struct TestBed {
    pub instance: Instance,
    /// The current time in milliseconds.
    pub now: u64,
    pub actions: Vec<Action>,
    /// The number of the last request.
    last_request: u64,
}

impl TestBed {
    /// Start instance `entry-1` with [`DOCUMENT`] in force, the given engines of service `skald`
    /// and the given servers of the plain service `ledger`.
    pub fn new(engines: &[&str], plain_servers: &[&str]) -> Self {
        Self::named("entry-1", 1, engines, plain_servers)
    }

    /// Start an instance as [`Self::new`] does, but with this id and incarnation.
    pub fn named(name: &str, incarnation: u64, engines: &[&str], plain_servers: &[&str]) -> Self {
        let mut bed = Self::without_document(name, incarnation);
        bed.bring_into_force(DOCUMENT);
        bed.apply_list(Self::live_servers(engines, plain_servers));
        bed.actions.clear();
        bed
    }

    /// Start an instance without a document, an instance list or peers.
    pub fn without_document(name: &str, incarnation: u64) -> Self {
        let identity = Identity {
            instance: name.parse().unwrap(),
            incarnation: Incarnation::new(incarnation),
            zone: "north".parse().unwrap(),
        };
        let instance = Instance::new(identity, 7).with_fleet_key(FleetKey([9; 32]));
        Self {
            instance,
            now: 1_000,
            actions: Vec::new(),
            last_request: 0,
        }
    }

    /// Report a document from the platform and advance by 2 s, in which it comes into force.
    pub fn bring_into_force(&mut self, text: &str) {
        self.event(Event::Document(document(text)));
        self.advance(2_000);
    }

    /// Return live servers of zone `north`: engines of service `skald` and servers of the plain
    /// service `ledger`.
    pub fn live_servers(engines: &[&str], plain_servers: &[&str]) -> Vec<ListedServer> {
        let engines = engines
            .iter()
            .map(|id| listed_server(id, "skald", "north", Lifecycle::Live));
        let plain_servers = plain_servers
            .iter()
            .map(|id| listed_server(id, "ledger", "north", Lifecycle::Live));
        engines.chain(plain_servers).collect()
    }

    /// Apply an instance list with the instances `entry-1` and `entry-2` and the given servers.
    pub fn apply_list(&mut self, backend_servers: Vec<ListedServer>) {
        let entry_instances = vec![listed_instance("entry-1"), listed_instance("entry-2")];
        let list = InstanceList {
            entry_instances,
            backend_servers,
        };
        self.event(Event::InstanceList(Arc::new(list)));
    }

    /// Pass an event to the instance at the current time, and record its actions.
    pub fn event(&mut self, event: Event) {
        self.instance.handle(ms(self.now), event, &mut self.actions);
    }

    /// Advance the time, with a tick each 100 ms.
    pub fn advance(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / 100 {
            self.now += 100;
            self.event(Event::Tick);
        }
    }

    /// Advance the time without ticks, as if the process were paused.
    pub fn pause(&mut self, duration_ms: u64) {
        self.now += duration_ms;
    }

    /// Return a request with a new number, which isn't sent yet: an interactive one of the caller
    /// with [`KEY`], with a timeout of 20 s.
    pub fn request(&mut self, target: Target) -> NewRequest {
        self.last_request += 1;
        NewRequest {
            id: RequestId {
                instance: self.instance.identity().instance.clone(),
                incarnation: self.instance.identity().incarnation,
                number: self.last_request,
            },
            source: Source::Caller(KEY),
            target,
            ticket: None,
            timeout: Some(Millis::from_secs(20)),
            priority: Priority::Interactive,
            idempotent: None,
            prompt: Tokens::new(100),
            max_output: Tokens::new(10),
            prefixes: Vec::new(),
            body_hash: self.last_request,
        }
    }

    pub fn send(&mut self, new: NewRequest) -> RequestId {
        let id = new.id.clone();
        self.event(Event::Request(Box::new(new)));
        id
    }

    /// Send a request to the model.
    pub fn generate(&mut self) -> RequestId {
        let new = self.request(model_target());
        self.send(new)
    }

    /// Send a call of a plain service.
    pub fn call(&mut self, route: &str, ticket: Option<&SmolStr>) -> RequestId {
        let mut new = self.request(route_target(route));
        new.ticket = ticket.cloned();
        self.send(new)
    }

    /// Let the instance issue a ticket for a route to the caller with [`KEY`].
    pub fn issue_ticket(&mut self, route: &str) -> SmolStr {
        let req = self.request(route_target(route)).id;
        let route = route.parse().unwrap();
        self.event(Event::IssueTicket {
            req,
            key: KEY,
            route,
        });
        match self.actions.pop() {
            Some(Action::Answer {
                answer: Answer::Ticket { ticket, .. },
                ..
            }) => ticket,
            other => panic!("no ticket: {other:?}"),
        }
    }

    /// Report the progress of an attempt to the instance.
    pub fn progress(&mut self, start: &StartAttempt, progress: Progress) {
        self.event(Event::Attempt {
            req: start.req.clone(),
            attempt: start.attempt,
            progress,
        });
    }

    /// Report the end of an attempt to the instance.
    pub fn end(&mut self, start: &StartAttempt, end: AttemptEnd) {
        self.progress(start, Progress::Ended(end));
    }

    /// Return all attempts that the instance started.
    pub fn starts(&self) -> Vec<StartAttempt> {
        self.actions
            .iter()
            .filter_map(|action| match action {
                Action::StartAttempt(start) => Some(start.clone()),
                _ => None,
            })
            .collect()
    }

    /// Return the attempts that the instance started for one request.
    pub fn starts_of(&self, id: &RequestId) -> Vec<StartAttempt> {
        let mut starts = self.starts();
        starts.retain(|start| start.req == *id);
        starts
    }

    /// Return the only attempt of a request, and fail if there isn't exactly one.
    pub fn only_start(&self, id: &RequestId) -> StartAttempt {
        let starts = self.starts_of(id);
        assert_eq!(starts.len(), 1, "attempts of {id}: {starts:?}");
        starts[0].clone()
    }

    /// Return the answer to a request, and fail if there is more than one.
    pub fn answer_of(&self, id: &RequestId) -> Option<OutcomeAndStatus> {
        let answers: Vec<OutcomeAndStatus> = self
            .actions
            .iter()
            .filter_map(|action| match action {
                Action::Answer { req, answer } if req == id => match answer {
                    Answer::End {
                        outcome, status, ..
                    } => Some((*outcome, *status)),
                    Answer::Recorded {
                        outcome, answer, ..
                    } => Some((*outcome, answer.as_ref().map_or(0, |answer| answer.status))),
                    Answer::Ticket { .. } => None,
                },
                _ => None,
            })
            .collect();
        assert!(answers.len() <= 1, "{id} was answered twice: {answers:?}");
        answers.first().copied()
    }

    pub fn outcome(&self, id: &RequestId) -> Option<Outcome> {
        self.answer_of(id).map(|(outcome, _)| outcome)
    }

    /// Return whether the instance cancelled an attempt.
    pub fn cancelled(&self, start: &StartAttempt) -> bool {
        self.actions.contains(&Action::CancelAttempt {
            req: start.req.clone(),
            attempt: start.attempt,
        })
    }

    /// Return whether the instance asked the process to exit.
    pub fn exited(&self) -> bool {
        self.actions.contains(&Action::Exit)
    }

    /// Return the number of attempts in flight at a server.
    pub fn in_flight(&self, server: &str) -> u32 {
        let server: BackendServerId = server.parse().unwrap();
        self.instance.servers()[&server].in_flight
    }
}

pub fn model_target() -> Target {
    Target::Model {
        model: "saga".parse().unwrap(),
        adapter: None,
    }
}

pub fn route_target(route: &str) -> Target {
    Target::Route(route.parse().unwrap())
}

/// Return the end of a completed attempt, with an answer of status 201.
pub fn completed() -> AttemptEnd {
    let answer = RecordedAnswer {
        status: 201,
        content_type: "application/json".into(),
        body: b"{}".to_vec(),
    };
    AttemptEnd::Completed {
        output: Tokens::new(5),
        answer: Some(Arc::new(answer)),
    }
}

/// Return the end of an attempt whose connection was lost.
pub fn broken(delivered: bool) -> AttemptEnd {
    AttemptEnd::Broken {
        delivered,
        cause: "connection reset".into(),
    }
}

/// Return a load report of an idle server.
pub fn load_report(id: &str, incarnation: u64, state: Lifecycle) -> ServerLoad {
    ServerLoad {
        server: id.parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        state,
        running: 0,
        queued: 0,
        queued_prefill: Tokens::ZERO,
        memory_used: Tokens::ZERO,
        memory: Tokens::new(100_000),
        age: Millis::ZERO,
    }
}
