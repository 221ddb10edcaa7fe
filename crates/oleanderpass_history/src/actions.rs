//! Perform the core's actions in place of the edges.

use std::net::SocketAddr;
use std::sync::Arc;

use oleanderpass_core::action::Action;
use oleanderpass_core::action::Answer;
use oleanderpass_core::event::CallId;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::NewRequest;
use oleanderpass_core::event::Observation;
use oleanderpass_core::event::Source;
use oleanderpass_proto::engine;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::id::StreamId;
use oleanderpass_types::outcome::Outcome;
use smol_str::SmolStr;

use crate::fault::FaultStep;
use crate::node::Origin;
use crate::record::Record;
use crate::simulation::Endpoint;
use crate::simulation::Simulation;

/// The timeout of a call to a peer, a backend server or the platform.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// The time without a byte after which a forwarding connection is considered lost.
const FORWARD_SILENCE_TIMEOUT_MS: u64 = 3_000;

impl Simulation {
    /// Perform an action of an instance's core.
    pub(crate) fn perform_action(&mut self, node: usize, action: Action) {
        let start_number = self.nodes[node].start_number;
        match action {
            Action::StartAttempt(attempt) => self.start_attempt(node, attempt),
            Action::CancelAttempt { req, attempt } => {
                self.cancel_attempt(node, &StreamId { req, attempt });
            }
            Action::Answer { req, answer } => self.deliver_answer(node, req, answer),
            Action::Forward { req, addr, .. } => {
                let call = self.call_of(node, &req).map(|call| call.0);
                self.begin_step(FaultStep::Forward, Some(node), None, call);
                match self.node_at(addr) {
                    Some(owner) => self.forward_request(node, start_number, owner, req),
                    None => self.fail_forward(node, start_number, req, 1),
                }
            }
            Action::SendPacket { to, packet } => {
                let Some(peer) = self.node_at(to) else {
                    return;
                };
                if let Some(delay) = self.message_delay(Endpoint::Node(node), Endpoint::Node(peer))
                {
                    let from = self.nodes[node].addr;
                    let packet = Arc::from(packet);
                    self.send_to_current_process(delay, peer, Event::PeerPacket { from, packet });
                }
            }
            Action::ReadDocument { after, wait } => {
                self.read_document(node, start_number, after, wait)
            }
            Action::ReadInstanceList => self.send_instance_list(node),
            Action::FetchInstanceList { addr, .. } => {
                self.fetch_instance_list(node, start_number, addr)
            }
            Action::FetchDocument { from, addr, query } => {
                let failed = Event::DocumentFetchFailed {
                    from: from.clone(),
                    cause: "timeout".into(),
                };
                let Some(peer) = self.node_at(addr) else {
                    return self.send_to_process(1, node, start_number, failed);
                };
                let call = self.open_peer_call(node, peer, failed);
                let query = Arc::from(query);
                if let Some(delay) = self.message_delay(Endpoint::Node(node), Endpoint::Node(peer))
                {
                    self.send_to_current_process(
                        delay,
                        peer,
                        Event::FetchDocumentCall { call, query },
                    );
                }
            }
            Action::AnswerFetch { call, answer } => {
                let from = self.nodes[node].id.clone();
                let answer = Arc::from(answer);
                self.answer_peer_call(node, call, Event::DocumentFetched { from, answer });
            }
            Action::LeaseQuota {
                home,
                addr,
                demands,
            } => {
                let failed = Event::QuotaLeaseFailed { home };
                let Some(peer) = self.node_at(addr) else {
                    return self.send_to_process(1, node, start_number, failed);
                };
                let call = self.open_peer_call(node, peer, failed);
                let from = self.nodes[node].id.clone();
                if let Some(delay) = self.message_delay(Endpoint::Node(node), Endpoint::Node(peer))
                {
                    let event = Event::LeaseQuotaCall {
                        call,
                        from,
                        demands,
                    };
                    self.send_to_current_process(delay, peer, event);
                }
            }
            Action::AnswerLease { call, leases } => {
                let home = self.nodes[node].id.clone();
                self.answer_peer_call(node, call, Event::QuotaLeased { home, leases });
            }
            Action::Observe {
                server,
                observation,
                ..
            } => self.observe(node, server, observation),
            Action::SendOrder { server, order, .. } => {
                self.begin_step(
                    FaultStep::Order,
                    Some(node),
                    self.server_index(&server),
                    None,
                );
                self.send_order(node, start_number, server, order);
            }
            Action::RequestHold { server, hold, .. } => {
                self.begin_step(
                    FaultStep::Hold,
                    Some(node),
                    self.server_index(&server),
                    None,
                );
                self.request_hold(node, start_number, server, *hold);
            }
            Action::ReleaseHold { server, hold, .. } => {
                self.release_hold(node, start_number, server, hold);
            }
            Action::Exit => self.exit_process(node),
        }
    }

    /// Fetch the instance list from a peer. Nothing is reported on failure.
    fn fetch_instance_list(&mut self, node: usize, start_number: u32, addr: SocketAddr) {
        let Some(peer) = self.node_at(addr) else {
            return;
        };
        let request_delay = self.message_delay(Endpoint::Node(node), Endpoint::Node(peer));
        let response_delay = self.message_delay(Endpoint::Node(peer), Endpoint::Node(node));
        let (Some(request_delay), Some(response_delay)) = (request_delay, response_delay) else {
            return;
        };
        let peer_start_number = self.nodes[peer].start_number;
        self.schedule_at_node(request_delay, peer, peer_start_number, move |sim| {
            let core = sim.nodes[peer].core.as_ref();
            if let Some(list) = core.and_then(|core| core.instance_list()).cloned() {
                sim.send_to_process(
                    response_delay,
                    node,
                    start_number,
                    Event::InstanceList(list),
                );
            }
        });
    }

    /// Deliver an event after `delay_ms` to the process that an instance has now.
    fn send_to_current_process(&mut self, delay_ms: u64, node: usize, event: Event) {
        let start_number = self.nodes[node].start_number;
        self.send_to_process(delay_ms, node, start_number, event);
    }

    /// Deliver an event after `delay_ms` to a certain process of an instance.
    fn send_to_process(&mut self, delay_ms: u64, node: usize, start_number: u32, event: Event) {
        self.schedule_at_node(delay_ms, node, start_number, move |sim| {
            sim.handle_event(node, event)
        });
    }

    /// Register a call to a peer, and deliver `failed` to the caller unless the call is answered in
    /// time. Return the call's id.
    fn open_peer_call(&mut self, node: usize, peer: usize, failed: Event) -> CallId {
        self.last_peer_call += 1;
        let call = CallId(self.last_peer_call);
        let start_number = self.nodes[node].start_number;
        self.peer_calls.insert(call, (node, start_number));
        let up = self.nodes[peer].is_up();
        self.schedule(if up { CALL_TIMEOUT_MS } else { 2 }, move |sim| {
            if sim.peer_calls.remove(&call).is_some() {
                sim.send_to_process(0, node, start_number, failed);
            }
        });
        call
    }

    /// Deliver the answer to a peer's call as `event`, unless the call has failed already.
    fn answer_peer_call(&mut self, from: usize, call: CallId, event: Event) {
        let Some((node, start_number)) = self.peer_calls.get(&call).copied() else {
            return;
        };
        if let Some(delay) = self.message_delay(Endpoint::Node(from), Endpoint::Node(node)) {
            self.peer_calls.remove(&call);
            self.send_to_process(delay, node, start_number, event);
        }
    }

    /// Forward a request to the instance that owns its ticket, with the time that is left to it.
    fn forward_request(&mut self, node: usize, start_number: u32, owner: usize, req: RequestId) {
        let Some((call, operation)) = self.call_of(node, &req) else {
            return;
        };
        if !self.nodes[owner].is_up() {
            return self.fail_forward(node, start_number, req, 2);
        }
        let Some(delay) = self.message_delay(Endpoint::Node(node), Endpoint::Node(owner)) else {
            return self.fail_forward(node, start_number, req, CALL_TIMEOUT_MS);
        };
        let owner_start_number = self.nodes[owner].start_number;
        let document = self.nodes[node]
            .core
            .as_ref()
            .and_then(|core| core.document().cloned());
        let caller = document.and_then(|document| {
            document
                .callers
                .get(&crate::callers::API_KEY_DIGEST)
                .cloned()
        });
        let Some((organisation, caller)) = caller else {
            return;
        };
        let source = Source::Peer {
            instance: self.nodes[node].id.clone(),
            organisation,
            caller,
        };
        let time_left = self.calls[call.0 as usize]
            .deadline
            .saturating_sub(self.now);
        self.schedule_at_node(delay, owner, owner_start_number, move |sim| {
            let id = sim.nodes[owner].next_request_id();
            let origin = Origin::Peer {
                node,
                start_number,
                req,
            };
            sim.nodes[owner].open_requests.insert(id.clone(), origin);
            sim.nodes[owner]
                .request_calls
                .insert(id.clone(), (call, operation));
            let mut request: NewRequest = sim.build_request(operation, id, source);
            request.timeout = Some(Millis::new(time_left));
            sim.handle_event(owner, Event::Request(Box::new(request)));
        });
    }

    /// Report after `delay_ms` that a forwarded request got no answer.
    pub(crate) fn fail_forward(
        &mut self,
        node: usize,
        start_number: u32,
        req: RequestId,
        delay_ms: u64,
    ) {
        let cause = "the owner did not answer".into();
        self.send_to_process(
            delay_ms,
            node,
            start_number,
            Event::ForwardFailed { req, cause },
        );
    }

    /// Deliver the core's answer to a request to whoever waits for it.
    fn deliver_answer(&mut self, node: usize, req: RequestId, answer: Answer) {
        let Some(origin) = self.nodes[node].open_requests.remove(&req) else {
            return;
        };
        let (outcome, text, generation) = match answer {
            Answer::Ticket { ticket, .. } => {
                if let Origin::Ticket(operation) = origin {
                    self.receive_ticket(operation, ticket, node);
                }
                return;
            }
            Answer::End {
                outcome,
                generation,
                ..
            } => (outcome, self.nodes[node].delivered_text(&req), generation),
            Answer::Recorded {
                outcome,
                answer,
                generation,
            } => {
                let body = answer.map(|answer| answer.body.clone()).unwrap_or_default();
                (
                    outcome,
                    String::from_utf8_lossy(&body).into_owned(),
                    generation,
                )
            }
        };
        match origin {
            Origin::Call(call) => self.end_call(call, outcome, text, generation),
            Origin::Ticket(operation) => self.request_ticket(operation),
            Origin::Peer {
                node: forwarder,
                start_number,
                req,
            } => self.relay_answer(
                node,
                forwarder,
                start_number,
                req,
                (outcome, text, generation),
            ),
        }
    }

    /// Relay the answer of the ticket's owner to the caller, through the forwarding instance.
    fn relay_answer(
        &mut self,
        owner: usize,
        forwarder: usize,
        start_number: u32,
        req: RequestId,
        (outcome, text, generation): (Outcome, String, Generation),
    ) {
        let Some(delay) = self.message_delay(Endpoint::Node(owner), Endpoint::Node(forwarder))
        else {
            return self.fail_forward(forwarder, start_number, req, FORWARD_SILENCE_TIMEOUT_MS);
        };
        self.schedule_at_node(delay, forwarder, start_number, move |sim| {
            if let Some(Origin::Call(call)) = sim.nodes[forwarder].open_requests.remove(&req) {
                sim.end_call(call, outcome, text, generation);
                sim.handle_event(forwarder, Event::ForwardEnded { req, outcome });
            }
        });
    }

    /// Let an instance read the document from the configuration service: one that is later than
    /// `after`, or none if there is none within `wait`.
    fn read_document(&mut self, node: usize, start_number: u32, after: Generation, wait: Millis) {
        let request_delay = self.message_delay(Endpoint::Node(node), Endpoint::Platform);
        let response_delay = self.message_delay(Endpoint::Platform, Endpoint::Node(node));
        let (Some(request_delay), Some(response_delay)) = (request_delay, response_delay) else {
            let cause = "timeout".into();
            return self.send_to_process(
                CALL_TIMEOUT_MS,
                node,
                start_number,
                Event::DocumentReadFailed { cause },
            );
        };
        let wait_end = self.now + wait.get();
        self.schedule(request_delay, move |sim| {
            sim.answer_document_read(node, start_number, after, wait_end, response_delay)
        });
    }

    /// Answer a read of the document when there is a later one, or when its wait is over.
    fn answer_document_read(
        &mut self,
        node: usize,
        start_number: u32,
        after: Generation,
        wait_end: u64,
        response_delay: u64,
    ) {
        let platform = &self.platform;
        let served = if platform.stale {
            &platform.previous_document
        } else {
            &platform.document
        };
        // A replica that lags behind may answer with its older document before the wait is over.
        let reverts = platform.stale && (self.now >= wait_end || self.now % 1_000 < 100);
        if served.generation > after.get() || reverts {
            let document = served.clone();
            let is_promotion = document.generation > 1;
            self.schedule_at_node(response_delay, node, start_number, move |sim| {
                if is_promotion {
                    sim.begin_step(FaultStep::Promotion, Some(node), None, None);
                }
                sim.handle_event(node, Event::Document(document));
            });
        } else if self.now >= wait_end {
            self.send_to_process(response_delay, node, start_number, Event::DocumentUnchanged);
        } else {
            self.schedule(100, move |sim| {
                sim.answer_document_read(node, start_number, after, wait_end, response_delay)
            });
        }
    }

    /// Read a part of a server's state and deliver it to the instance.
    fn observe(&mut self, node: usize, server: BackendServerId, observation: Observation) {
        let start_number = self.nodes[node].start_number;
        let Some(index) = self.server_index(&server) else {
            return;
        };
        let request_delay = self.message_delay(Endpoint::Node(node), Endpoint::Server(index));
        let response_delay = self.message_delay(Endpoint::Server(index), Endpoint::Node(node));
        let failed = Event::ObserveFailed {
            server: server.clone(),
            observation,
            cause: "no answer".into(),
        };
        let (Some(request_delay), Some(response_delay)) = (request_delay, response_delay) else {
            return self.send_to_process(CALL_TIMEOUT_MS, node, start_number, failed);
        };
        self.schedule(request_delay, move |sim| {
            let event = sim
                .observation_event(index, server, observation)
                .unwrap_or(failed);
            sim.send_to_process(response_delay, node, start_number, event);
        });
    }

    /// Return the event with a server's answer to an observation, or `None` if the server is down.
    fn observation_event(
        &self,
        index: usize,
        server: BackendServerId,
        observation: Observation,
    ) -> Option<Event> {
        let state = &self.servers[index];
        if !state.up {
            return None;
        }
        Some(match observation {
            Observation::Load => Event::LoadReport(state.load()),
            Observation::State => Event::EngineState(Box::new(engine::EngineState {
                server: server.to_string(),
                incarnation: state.incarnation,
                role: String::new(),
                models: state
                    .model
                    .iter()
                    .map(|model| self.loaded_model(model))
                    .collect(),
                fencing: state.fencing,
            })),
            Observation::Holds => {
                let holds = state
                    .holds
                    .iter()
                    .map(|(id, (tokens, owner, incarnation, end))| engine::Hold {
                        id: id.to_string(),
                        owner: owner.clone(),
                        owner_incarnation: *incarnation,
                        tokens: *tokens,
                        expires_in_ms: end.saturating_sub(self.now),
                        overdue_ms: self.now.saturating_sub(*end),
                    });
                let list = engine::HoldList {
                    incarnation: state.incarnation,
                    holds: holds.collect(),
                };
                let list = Box::new(list);
                Event::HoldList { server, list }
            }
            Observation::CacheEvents { after } => {
                let events = engine::CacheEvents {
                    next: after,
                    first: after,
                    events: Vec::new(),
                };
                let events = Box::new(events);
                Event::CacheEvents { server, events }
            }
        })
    }

    fn loaded_model(&self, (version, ready): &(SmolStr, u64)) -> engine::LoadedModel {
        let state = if *ready <= self.now {
            "ready"
        } else {
            "loading"
        };
        engine::LoadedModel {
            model: "saga".to_owned(),
            version: version.to_string(),
            adapters: Vec::new(),
            state: state.to_owned(),
        }
    }

    fn send_order(
        &mut self,
        node: usize,
        start_number: u32,
        server: BackendServerId,
        order: Box<engine::Order>,
    ) {
        let Some(index) = self.server_index(&server) else {
            return;
        };
        let request_delay = self.message_delay(Endpoint::Node(node), Endpoint::Server(index));
        let response_delay = self.message_delay(Endpoint::Server(index), Endpoint::Node(node));
        let answered = |order, answer| Event::OrderAnswered {
            server,
            order,
            answer,
        };
        let (Some(request_delay), Some(response_delay)) = (request_delay, response_delay) else {
            return self.send_to_process(
                CALL_TIMEOUT_MS,
                node,
                start_number,
                answered(order, None),
            );
        };
        self.schedule(request_delay, move |sim| {
            let accepted = sim.receive_order(index, &order);
            let answer = engine::OrderAnswer {
                accepted,
                reason: String::new(),
                fencing: sim.servers[index].fencing,
            };
            let answer = sim.servers[index].up.then_some(answer);
            sim.send_to_process(response_delay, node, start_number, answered(order, answer));
        });
    }

    fn request_hold(
        &mut self,
        node: usize,
        start_number: u32,
        server: BackendServerId,
        hold: engine::HoldRequest,
    ) {
        let Some(index) = self.server_index(&server) else {
            return;
        };
        let request_delay = self.message_delay(Endpoint::Node(node), Endpoint::Server(index));
        let response_delay = self.message_delay(Endpoint::Server(index), Endpoint::Node(node));
        let id = SmolStr::from(hold.id.as_str());
        let answered = move |granted| Event::HoldAnswered {
            server,
            hold: id,
            granted,
        };
        let Some(request_delay) = request_delay else {
            return self.send_to_process(CALL_TIMEOUT_MS, node, start_number, answered(None));
        };
        self.schedule(request_delay, move |sim| {
            let state = &mut sim.servers[index];
            let has_memory = state.up
                && state.memory_used() + hold.tokens <= crate::servers::ENGINE_MEMORY_TOKENS;
            if has_memory {
                let end = sim.now + hold.expires_in_ms;
                let lease = (hold.tokens, hold.owner, hold.owner_incarnation, end);
                let state = &mut sim.servers[index];
                state.holds.insert(hold.id.as_str().into(), lease);
                let record = Record::HoldGranted {
                    server: state.listed.id.clone(),
                    hold: hold.id.as_str().into(),
                };
                sim.record(record);
            }
            let granted = sim.servers[index].up.then_some(has_memory);
            match response_delay {
                Some(response_delay) => {
                    sim.send_to_process(response_delay, node, start_number, answered(granted))
                }
                None => sim.send_to_process(CALL_TIMEOUT_MS, node, start_number, answered(None)),
            }
        });
    }

    fn release_hold(
        &mut self,
        node: usize,
        start_number: u32,
        server: BackendServerId,
        hold: SmolStr,
    ) {
        let Some(index) = self.server_index(&server) else {
            return;
        };
        let request_delay = self.message_delay(Endpoint::Node(node), Endpoint::Server(index));
        let response_delay = self.message_delay(Endpoint::Server(index), Endpoint::Node(node));
        let released = |hold, confirmed| Event::HoldReleased {
            server,
            hold,
            confirmed,
        };
        let Some(request_delay) = request_delay else {
            return self.send_to_process(
                CALL_TIMEOUT_MS,
                node,
                start_number,
                released(hold, false),
            );
        };
        self.schedule(request_delay, move |sim| {
            let up = sim.servers[index].up;
            if up && sim.servers[index].holds.remove(&hold).is_some() {
                let server = sim.servers[index].listed.id.clone();
                let hold = hold.clone();
                sim.record(Record::HoldReleased { server, hold });
            }
            let wait = response_delay.unwrap_or(CALL_TIMEOUT_MS);
            sim.send_to_process(
                wait,
                node,
                start_number,
                released(hold, up && response_delay.is_some()),
            );
        });
    }
}
