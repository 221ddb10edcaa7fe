//! Carry out the core's actions in place of the edges.

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
use crate::world::Place;
use crate::world::World;

/// The time after which a call to a peer, a server or the platform fails, in milliseconds.
const CALL_TIMEOUT: u64 = 1_000;

/// The time after which a forwarding connection without a byte counts as dead, in milliseconds.
const FORWARD_SILENCE: u64 = 3_000;

impl World {
    pub(crate) fn act(&mut self, node: usize, action: Action) {
        let start = self.nodes[node].start;
        match action {
            Action::StartAttempt(attempt) => self.start_attempt(node, attempt),
            Action::CancelAttempt { req, attempt } => {
                self.cancel_attempt(node, &StreamId { req, attempt });
            }
            Action::Answer { req, answer } => self.answer(node, req, answer),
            Action::Forward { req, addr, .. } => {
                let call = self.call_of(node, &req).map(|call| call.0);
                self.at_step(FaultStep::Forward, Some(node), None, call);
                match self.node_at(addr) {
                    Some(owner) => self.forward(node, start, owner, req),
                    None => self.fail_forward(node, start, req, 1),
                }
            }
            Action::SendPacket { to, packet } => {
                let Some(peer) = self.node_at(to) else {
                    return;
                };
                if let Some(delay) = self.travel(Place::Node(node), Place::Node(peer)) {
                    let from = self.nodes[node].addr;
                    let packet = Arc::from(packet);
                    self.send_to_node(delay, peer, Event::PeerPacket { from, packet });
                }
            }
            Action::ReadDocument { after, wait } => self.read_document(node, start, after, wait),
            Action::ReadInstanceList => self.send_list(node),
            Action::FetchInstanceList { addr, .. } => self.fetch_list(node, start, addr),
            Action::FetchDocument { from, addr, query } => {
                let failed = Event::DocumentFetchFailed {
                    from: from.clone(),
                    cause: "timeout".into(),
                };
                let Some(peer) = self.node_at(addr) else {
                    return self.send_to_life(1, node, start, failed);
                };
                let call = self.open_peer_call(node, peer, failed);
                let query = Arc::from(query);
                if let Some(delay) = self.travel(Place::Node(node), Place::Node(peer)) {
                    self.send_to_node(delay, peer, Event::FetchDocumentCall { call, query });
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
                    return self.send_to_life(1, node, start, failed);
                };
                let call = self.open_peer_call(node, peer, failed);
                let from = self.nodes[node].id.clone();
                if let Some(delay) = self.travel(Place::Node(node), Place::Node(peer)) {
                    let event = Event::LeaseQuotaCall {
                        call,
                        from,
                        demands,
                    };
                    self.send_to_node(delay, peer, event);
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
                self.at_step(
                    FaultStep::Order,
                    Some(node),
                    self.server_index(&server),
                    None,
                );
                self.send_order(node, start, server, order);
            }
            Action::RequestHold { server, hold, .. } => {
                self.at_step(
                    FaultStep::Hold,
                    Some(node),
                    self.server_index(&server),
                    None,
                );
                self.request_hold(node, start, server, *hold);
            }
            Action::ReleaseHold { server, hold, .. } => {
                self.release_hold(node, start, server, hold);
            }
            Action::Exit => self.exit(node),
        }
    }

    /// Let an instance take the instance list from a peer.
    fn fetch_list(&mut self, node: usize, start: u32, addr: SocketAddr) {
        let Some(peer) = self.node_at(addr) else {
            return;
        };
        let there = self.travel(Place::Node(node), Place::Node(peer));
        let back = self.travel(Place::Node(peer), Place::Node(node));
        let (Some(there), Some(back)) = (there, back) else {
            return;
        };
        let peer_start = self.nodes[peer].start;
        self.at_node_after(there, peer, peer_start, move |w| {
            let core = w.nodes[peer].core.as_ref();
            if let Some(list) = core.and_then(|core| core.instance_list()).cloned() {
                w.send_to_life(back, node, start, Event::InstanceList(list));
            }
        });
    }

    /// Hand an event to whatever life an instance has then.
    fn send_to_node(&mut self, ms: u64, node: usize, event: Event) {
        let start = self.nodes[node].start;
        self.send_to_life(ms, node, start, event);
    }

    fn send_to_life(&mut self, ms: u64, node: usize, start: u32, event: Event) {
        self.at_node_after(ms, node, start, move |w| w.handle(node, event));
    }

    /// Number a call to a peer, and report its failure unless it is answered in time.
    fn open_peer_call(&mut self, node: usize, peer: usize, failed: Event) -> CallId {
        self.last_peer_call += 1;
        let call = CallId(self.last_peer_call);
        let start = self.nodes[node].start;
        self.peer_calls.insert(call, (node, start));
        let up = self.nodes[peer].is_up();
        self.after(if up { CALL_TIMEOUT } else { 2 }, move |w| {
            if w.peer_calls.remove(&call).is_some() {
                w.send_to_life(0, node, start, failed);
            }
        });
        call
    }

    fn answer_peer_call(&mut self, from: usize, call: CallId, event: Event) {
        let Some((node, start)) = self.peer_calls.get(&call).copied() else {
            return;
        };
        if let Some(delay) = self.travel(Place::Node(from), Place::Node(node)) {
            self.peer_calls.remove(&call);
            self.send_to_life(delay, node, start, event);
        }
    }

    fn forward(&mut self, node: usize, start: u32, owner: usize, req: RequestId) {
        let Some((call, operation)) = self.call_of(node, &req) else {
            return;
        };
        if !self.nodes[owner].is_up() {
            return self.fail_forward(node, start, req, 2);
        }
        let Some(delay) = self.travel(Place::Node(node), Place::Node(owner)) else {
            return self.fail_forward(node, start, req, CALL_TIMEOUT);
        };
        let owner_start = self.nodes[owner].start;
        let document = self.nodes[node]
            .core
            .as_ref()
            .and_then(|core| core.document().cloned());
        let caller = document.and_then(|held| held.callers.get(&crate::callers::KEY).cloned());
        let Some((organisation, caller)) = caller else {
            return;
        };
        let source = Source::Peer {
            instance: self.nodes[node].id.clone(),
            organisation,
            caller,
        };
        let left = self.calls[call.0 as usize]
            .deadline
            .saturating_sub(self.now);
        self.at_node_after(delay, owner, owner_start, move |w| {
            let id = w.nodes[owner].draw_request();
            let origin = Origin::Peer { node, start, req };
            w.nodes[owner].open.insert(id.clone(), origin);
            w.nodes[owner].bodies.insert(id.clone(), (call, operation));
            let mut new: NewRequest = w.request_of(operation, id, source);
            new.timeout = Some(Millis::new(left));
            w.handle(owner, Event::Request(Box::new(new)));
        });
    }

    pub(crate) fn fail_forward(&mut self, node: usize, start: u32, req: RequestId, wait: u64) {
        let cause = "the owner did not answer".into();
        self.send_to_life(wait, node, start, Event::ForwardFailed { req, cause });
    }

    fn answer(&mut self, node: usize, req: RequestId, answer: Answer) {
        let Some(origin) = self.nodes[node].open.remove(&req) else {
            return;
        };
        let (outcome, text, generation) = match answer {
            Answer::Ticket { ticket, .. } => {
                if let Origin::Ticket(operation) = origin {
                    self.take_ticket(operation, ticket, node);
                }
                return;
            }
            Answer::End {
                outcome,
                generation,
                ..
            } => (outcome, self.nodes[node].delivered(&req), generation),
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
            Origin::Ticket(operation) => self.ask_ticket_again(operation),
            Origin::Peer {
                node: hop,
                start,
                req,
            } => self.relay(node, hop, start, req, (outcome, text, generation)),
        }
    }

    /// Relay the owner's answer to the caller at the forwarding instance.
    fn relay(
        &mut self,
        owner: usize,
        hop: usize,
        start: u32,
        req: RequestId,
        (outcome, text, generation): (Outcome, String, Generation),
    ) {
        let Some(delay) = self.travel(Place::Node(owner), Place::Node(hop)) else {
            return self.fail_forward(hop, start, req, FORWARD_SILENCE);
        };
        self.at_node_after(delay, hop, start, move |w| {
            if let Some(Origin::Call(call)) = w.nodes[hop].open.remove(&req) {
                w.end_call(call, outcome, text, generation);
                w.handle(hop, Event::ForwardEnded { req, outcome });
            }
        });
    }

    fn read_document(&mut self, node: usize, start: u32, after: Generation, wait: Millis) {
        let there = self.travel(Place::Node(node), Place::Platform);
        let back = self.travel(Place::Platform, Place::Node(node));
        let (Some(there), Some(back)) = (there, back) else {
            let cause = "timeout".into();
            return self.send_to_life(
                CALL_TIMEOUT,
                node,
                start,
                Event::DocumentReadFailed { cause },
            );
        };
        let until = self.now + wait.get();
        self.after(there, move |w| {
            w.watch_document(node, start, after, until, back)
        });
    }

    /// Answer a watch when there is a later document or its time is over.
    fn watch_document(
        &mut self,
        node: usize,
        start: u32,
        after: Generation,
        until: u64,
        back: u64,
    ) {
        let platform = &self.platform;
        let held = if platform.stale {
            &platform.older
        } else {
            &platform.document
        };
        // A replica that is behind may answer before the wait is over.
        let goes_back = platform.stale && (self.now >= until || self.now % 1_000 < 100);
        if held.generation > after.get() || goes_back {
            let document = held.clone();
            let promoted = document.generation > 1;
            self.at_node_after(back, node, start, move |w| {
                if promoted {
                    w.at_step(FaultStep::Promotion, Some(node), None, None);
                }
                w.handle(node, Event::Document(document));
            });
        } else if self.now >= until {
            self.send_to_life(back, node, start, Event::DocumentUnchanged);
        } else {
            self.after(100, move |w| {
                w.watch_document(node, start, after, until, back)
            });
        }
    }

    fn observe(&mut self, node: usize, server: BackendServerId, observation: Observation) {
        let start = self.nodes[node].start;
        let Some(index) = self.server_index(&server) else {
            return;
        };
        let there = self.travel(Place::Node(node), Place::Server(index));
        let back = self.travel(Place::Server(index), Place::Node(node));
        let failed = Event::ObserveFailed {
            server: server.clone(),
            observation,
            cause: "no answer".into(),
        };
        let (Some(there), Some(back)) = (there, back) else {
            return self.send_to_life(CALL_TIMEOUT, node, start, failed);
        };
        self.after(there, move |w| {
            let event = w.report(index, server, observation).unwrap_or(failed);
            w.send_to_life(back, node, start, event);
        });
    }

    fn report(
        &self,
        index: usize,
        server: BackendServerId,
        observation: Observation,
    ) -> Option<Event> {
        let view = &self.servers[index];
        if !view.up {
            return None;
        }
        Some(match observation {
            Observation::Load => Event::LoadReport(view.load()),
            Observation::State => Event::EngineState(Box::new(engine::EngineState {
                server: server.to_string(),
                incarnation: view.incarnation,
                role: String::new(),
                models: view
                    .model
                    .iter()
                    .map(|held| self.loaded_model(held))
                    .collect(),
                fencing: view.fencing,
            })),
            Observation::Holds => {
                let holds = view
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
                    incarnation: view.incarnation,
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
        start: u32,
        server: BackendServerId,
        order: Box<engine::Order>,
    ) {
        let Some(index) = self.server_index(&server) else {
            return;
        };
        let there = self.travel(Place::Node(node), Place::Server(index));
        let back = self.travel(Place::Server(index), Place::Node(node));
        let answered = |order, answer| Event::OrderAnswered {
            server,
            order,
            answer,
        };
        let (Some(there), Some(back)) = (there, back) else {
            return self.send_to_life(CALL_TIMEOUT, node, start, answered(order, None));
        };
        self.after(there, move |w| {
            let accepted = w.order_server(index, &order);
            let answer = engine::OrderAnswer {
                accepted,
                reason: String::new(),
                fencing: w.servers[index].fencing,
            };
            let answer = w.servers[index].up.then_some(answer);
            w.send_to_life(back, node, start, answered(order, answer));
        });
    }

    fn request_hold(
        &mut self,
        node: usize,
        start: u32,
        server: BackendServerId,
        hold: engine::HoldRequest,
    ) {
        let Some(index) = self.server_index(&server) else {
            return;
        };
        let there = self.travel(Place::Node(node), Place::Server(index));
        let back = self.travel(Place::Server(index), Place::Node(node));
        let id = SmolStr::from(hold.id.as_str());
        let answered = move |granted| Event::HoldAnswered {
            server,
            hold: id,
            granted,
        };
        let Some(there) = there else {
            return self.send_to_life(CALL_TIMEOUT, node, start, answered(None));
        };
        self.after(there, move |w| {
            let view = &mut w.servers[index];
            let room = view.up && view.memory_used() + hold.tokens <= crate::servers::MEMORY;
            if room {
                let end = w.now + hold.expires_in_ms;
                let lease = (hold.tokens, hold.owner, hold.owner_incarnation, end);
                let view = &mut w.servers[index];
                view.holds.insert(hold.id.as_str().into(), lease);
                let record = Record::HoldTaken {
                    server: view.listed.id.clone(),
                    hold: hold.id.as_str().into(),
                };
                w.record(record);
            }
            let granted = w.servers[index].up.then_some(room);
            match back {
                Some(back) => w.send_to_life(back, node, start, answered(granted)),
                None => w.send_to_life(CALL_TIMEOUT, node, start, answered(None)),
            }
        });
    }

    fn release_hold(&mut self, node: usize, start: u32, server: BackendServerId, hold: SmolStr) {
        let Some(index) = self.server_index(&server) else {
            return;
        };
        let there = self.travel(Place::Node(node), Place::Server(index));
        let back = self.travel(Place::Server(index), Place::Node(node));
        let released = |hold, confirmed| Event::HoldReleased {
            server,
            hold,
            confirmed,
        };
        let Some(there) = there else {
            return self.send_to_life(CALL_TIMEOUT, node, start, released(hold, false));
        };
        self.after(there, move |w| {
            let up = w.servers[index].up;
            if up && w.servers[index].holds.remove(&hold).is_some() {
                let server = w.servers[index].listed.id.clone();
                let hold = hold.clone();
                w.record(Record::HoldReleased { server, hold });
            }
            let wait = back.unwrap_or(CALL_TIMEOUT);
            w.send_to_life(wait, node, start, released(hold, up && back.is_some()));
        });
    }
}
