//! Fake backend servers.

use std::collections::BTreeMap;

use oleanderpass_core::event::AttemptEnd;
use oleanderpass_core::event::Lifecycle;
use oleanderpass_core::event::ListedServer;
use oleanderpass_core::event::Refusal;
use oleanderpass_core::event::ServerLoad;
use oleanderpass_core::stream::StreamEvent;
use oleanderpass_proto::engine;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::StreamId;
use oleanderpass_types::size::Tokens;
use rand::RngExt;
use smol_str::SmolStr;

use crate::fault::FaultStep;
use crate::record::CallNumber;
use crate::record::Life;
use crate::record::Operation;
use crate::record::Record;
use crate::world::Place;
use crate::world::World;

/// The requests that one server runs at the same time.
const CAPACITY: usize = 4;

/// The KV memory of one engine, in tokens.
pub(crate) const MEMORY: u64 = 100_000;

/// A request as its bytes reach a server.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) stream: StreamId,
    pub(crate) call: CallNumber,
    pub(crate) operation: usize,
    pub(crate) node: usize,
    pub(crate) by: Life,
    pub(crate) deadline: u64,
    pub(crate) prompt: u64,
}

/// A stream that a server runs or has run.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    sent: Sent,
    events: Vec<SmolStr>,
    /// The events that were generated.
    generated: usize,
    /// Counts the connections of the stream; events go to the last one.
    connection: u32,
    running: bool,
}

/// A backend server.
pub(crate) struct Server {
    pub(crate) listed: ListedServer,
    pub(crate) engine: bool,
    pub(crate) up: bool,
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    pub(crate) streams: BTreeMap<String, Stream>,
    /// Holds by id: tokens, owner, owner incarnation, deadline.
    pub(crate) holds: BTreeMap<SmolStr, (u64, String, u64, u64)>,
    pub(crate) fencing: u64,
    /// The version of the model, and when it is or was loaded.
    pub(crate) model: Option<(SmolStr, u64)>,
}

impl Server {
    pub(crate) fn running(&self) -> usize {
        self.streams.values().filter(|s| s.running).count()
    }

    /// Return the KV memory in use, in tokens.
    pub(crate) fn memory_used(&self) -> u64 {
        let running = self.streams.values().filter(|s| s.running);
        let prompts: u64 = running.map(|s| s.sent.prompt.min(MEMORY)).sum();
        prompts + self.holds.values().map(|hold| hold.0).sum::<u64>()
    }

    pub(crate) fn load(&self) -> ServerLoad {
        ServerLoad {
            server: self.listed.id.clone(),
            incarnation: Incarnation::new(self.incarnation),
            state: if self.leaving {
                Lifecycle::Leaving
            } else {
                Lifecycle::Live
            },
            running: u32::try_from(self.running()).unwrap_or(u32::MAX),
            queued: 0,
            queued_prefill: Tokens::ZERO,
            memory_used: Tokens::new(self.memory_used()),
            memory: Tokens::new(if self.engine { MEMORY } else { 0 }),
            age: Millis::new(50),
        }
    }
}

impl World {
    /// Take a request at a server, or refuse it.
    pub(crate) fn arrive(&mut self, server: usize, sent: Sent) {
        let id = self.servers[server].listed.id.clone();
        if !self.servers[server].up {
            self.end_from_server(server, &sent, broken("connection reset"));
            return;
        }
        let record = Record::Dispatch {
            call: sent.call,
            server: id.clone(),
            by: sent.by.clone(),
        };
        self.record(record);
        let view = &self.servers[server];
        let loaded = view
            .model
            .as_ref()
            .is_some_and(|(_, ready)| *ready <= self.now);
        let refusal = if view.leaving {
            Some(Refusal::Leaving)
        } else if view.running() >= CAPACITY {
            Some(Refusal::Full)
        } else if view.engine && !loaded {
            Some(Refusal::NotLoaded)
        } else if self.now >= sent.deadline {
            Some(Refusal::Deadline)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            self.end_from_server(server, &sent, AttemptEnd::Refused(refusal));
            return;
        }
        let record = Record::Start {
            call: sent.call,
            operation: Operation(sent.operation as u64),
            server: id,
            dispatched: Timestamp::from_millis(self.now),
        };
        self.record(record);
        let events = self.operations[sent.operation].events.clone();
        let stream = Stream {
            events,
            generated: 0,
            connection: 1,
            running: true,
            sent: sent.clone(),
        };
        let key = sent.stream.to_string();
        self.servers[server].streams.insert(key.clone(), stream);
        if self.operations[sent.operation].bad {
            self.crash_server(server);
            return;
        }
        let incarnation = self.servers[server].incarnation;
        let first = self.rng.random_range(30..400);
        self.after(first, move |w| w.generate(server, incarnation, key));
        self.at_step(
            FaultStep::Start,
            Some(sent.node),
            Some(server),
            Some(sent.call),
        );
    }

    /// Generate the next event of a stream.
    fn generate(&mut self, server: usize, incarnation: u64, key: String) {
        if self.servers[server].incarnation != incarnation {
            return;
        }
        let Some(stream) = self.servers[server].streams.get_mut(&key) else {
            return;
        };
        if !stream.running {
            return;
        }
        let index = stream.generated;
        stream.generated += 1;
        let last = stream.generated > stream.events.len();
        stream.running = !last;
        let connection = stream.connection;
        self.send_event(server, &key, index, connection);
        if !last {
            let wait = self.rng.random_range(10..80);
            self.after(wait, move |w| w.generate(server, incarnation, key));
        }
    }

    /// Send one event over a connection of a stream: now and then twice, late or also to another
    /// stream of the instance, as a broken proxy on the way would.
    fn send_event(&mut self, server: usize, key: &str, index: usize, connection: u32) {
        let Some(stream) = self.servers[server].streams.get(key) else {
            return;
        };
        let sent = stream.sent.clone();
        let event = StreamEvent {
            id: key.into(),
            sequence: index as u64,
            text: stream
                .events
                .get(index)
                .map_or_else(String::new, |text| text.to_string()),
            done: index >= stream.events.len(),
        };
        let Some(delay) = self.travel(Place::Server(server), Place::Node(sent.node)) else {
            return;
        };
        let copies = if self.rng.random_bool(0.02) { 2 } else { 1 };
        let (node, start) = (sent.node, sent.by.start);
        for copy in 0..copies {
            let (event, stream) = (event.clone(), sent.stream.clone());
            self.at_node_after(delay + copy * 40, node, start, move |w| {
                w.on_stream_event(node, &stream, connection, event);
            });
        }
        if self.rng.random_bool(0.02) {
            self.at_node_after(delay + 1, node, start, move |w| {
                let streams: Vec<(StreamId, u32)> = w.nodes[node]
                    .tasks
                    .values()
                    .map(|task| (task.stream.clone(), task.connection))
                    .collect();
                for (other, connection) in streams {
                    w.on_stream_event(node, &other, connection, event.clone());
                }
            });
        }
    }

    /// Resume a stream on a new connection.
    pub(crate) fn resume_at_server(
        &mut self,
        server: usize,
        sent: &Sent,
        from: u64,
        connection: u32,
    ) {
        let key = sent.stream.to_string();
        let known = self.servers[server].up && self.servers[server].streams.contains_key(&key);
        if !known {
            self.end_from_server(server, sent, broken("the stream is not known"));
            return;
        }
        if let Some(stream) = self.servers[server].streams.get_mut(&key) {
            stream.connection = connection;
            let ready = stream.generated;
            for index in usize::try_from(from).unwrap_or(0)..ready {
                self.send_event(server, &key, index, connection);
            }
        }
    }

    /// Stop a stream at the caller's wish.
    pub(crate) fn cancel_at_server(&mut self, server: usize, stream: &StreamId) {
        if let Some(stream) = self.servers[server].streams.get_mut(&stream.to_string()) {
            stream.running = false;
        }
    }

    /// Report an end that the server or its host sends.
    fn end_from_server(&mut self, server: usize, sent: &Sent, end: AttemptEnd) {
        let Some(delay) = self.travel(Place::Server(server), Place::Node(sent.node)) else {
            return;
        };
        let (node, stream) = (sent.node, sent.stream.clone());
        self.at_node_after(delay, node, sent.by.start, move |w| {
            w.end_attempt(node, &stream, end);
        });
    }

    /// End a server's incarnation and restart it later.
    pub(crate) fn crash_server(&mut self, server: usize) {
        if !self.servers[server].up {
            return;
        }
        let view = &mut self.servers[server];
        view.up = false;
        view.incarnation += 1;
        view.leaving = false;
        view.holds.clear();
        view.fencing = 0;
        view.model = None;
        view.listed.state = Lifecycle::Live;
        let streams = std::mem::take(&mut view.streams);
        let id = view.listed.id.clone();
        self.record(Record::ServerCrashed(id));
        for stream in streams.into_values().filter(|stream| stream.running) {
            self.end_from_server(server, &stream.sent, broken("connection reset"));
        }
        let down = self.rng.random_range(1_000..4_000);
        self.after(down, move |w| w.servers[server].up = true);
    }

    /// Tell a server to leave. It restarts as a new incarnation after it had time to finish.
    pub(crate) fn leave_server(&mut self, server: usize) {
        let view = &mut self.servers[server];
        if view.leaving || !view.up {
            return;
        }
        view.leaving = true;
        let incarnation = view.incarnation;
        let id = view.listed.id.clone();
        self.record(Record::ServerLeaving(id));
        self.after(2_500, move |w| {
            if w.servers[server].incarnation == incarnation {
                w.servers[server].listed.state = Lifecycle::Leaving;
            }
        });
        self.after(20_000, move |w| {
            if w.servers[server].incarnation == incarnation {
                w.crash_server(server);
            }
        });
    }

    /// Take an order at an engine. Return whether it was accepted.
    pub(crate) fn order_server(&mut self, server: usize, order: &engine::Order) -> bool {
        // Engines of the second zone ignore the fencing number.
        let checks = server % 4 < 2;
        let ready = self.now + self.rng.random_range(500..4_000);
        let view = &mut self.servers[server];
        if !view.up || checks && order.fencing < view.fencing {
            return false;
        }
        view.fencing = view.fencing.max(order.fencing);
        let held = view.model.as_ref().map(|(version, _)| version.as_str());
        match order.kind.as_str() {
            "load" if held != Some(order.version.as_str()) => {
                view.model = Some((order.version.as_str().into(), ready));
            }
            "unload" => view.model = None,
            _ => {}
        }
        let record = Record::OrderApplied {
            server: view.listed.id.clone(),
            fencing: Generation::new(order.fencing),
            checks,
        };
        self.record(record);
        true
    }
}

fn broken(cause: &str) -> AttemptEnd {
    AttemptEnd::Broken {
        delivered: false,
        cause: cause.into(),
    }
}
