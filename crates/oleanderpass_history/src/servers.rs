//! The simulated backend servers.

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
use crate::record::InstanceProcess;
use crate::record::OperationNumber;
use crate::record::Record;
use crate::simulation::Endpoint;
use crate::simulation::Simulation;

/// The number of requests that one server runs at the same time.
const MAX_RUNNING_REQUESTS: usize = 4;

/// The KV cache memory of one engine.
pub(crate) const ENGINE_MEMORY_TOKENS: u64 = 100_000;

/// A request as an instance sends it to a server.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) stream: StreamId,
    pub(crate) call: CallNumber,
    pub(crate) operation: usize,
    pub(crate) node: usize,
    /// The process of `node` that sends the request.
    pub(crate) sender: InstanceProcess,
    /// The simulation time from which the server refuses the request, in milliseconds.
    pub(crate) deadline: u64,
    /// The length of the prompt, in tokens.
    pub(crate) prompt_tokens: u64,
}

/// The stream of a request that a server runs or has run.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    sent: SentRequest,
    /// The text of each event of the answer.
    events: Vec<SmolStr>,
    /// The number of events that were generated, including the final one, which has no text.
    generated: usize,
    /// The number of the stream's last connection, from 1. New events are sent on it.
    connection: u32,
    running: bool,
}

/// A simulated backend server.
pub(crate) struct Server {
    /// The server's entry in the instance list.
    pub(crate) listed: ListedServer,
    /// Whether it is a model engine and not a plain service.
    pub(crate) is_engine: bool,
    pub(crate) up: bool,
    pub(crate) incarnation: u64,
    /// Whether its operator told it to leave. The instance list shows that later.
    pub(crate) leaving: bool,
    /// The streams of this incarnation by stream id.
    pub(crate) streams: BTreeMap<String, Stream>,
    /// Holds by id: tokens, owner, owner incarnation, and the simulation time at which the lease
    /// expires.
    pub(crate) holds: BTreeMap<SmolStr, (u64, String, u64, u64)>,
    /// The highest fencing number of the accepted orders, or 0.
    pub(crate) fencing: u64,
    /// The version of the model, and the simulation time at which it is or was loaded. `None` when
    /// no model is loaded or loading.
    pub(crate) model: Option<(SmolStr, u64)>,
}

impl Server {
    pub(crate) fn running(&self) -> usize {
        self.streams.values().filter(|s| s.running).count()
    }

    /// Return the memory of running prompts and of holds, in tokens.
    pub(crate) fn memory_used(&self) -> u64 {
        let running = self.streams.values().filter(|s| s.running);
        let prompts: u64 = running
            .map(|s| s.sent.prompt_tokens.min(ENGINE_MEMORY_TOKENS))
            .sum();
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
            memory: Tokens::new(if self.is_engine {
                ENGINE_MEMORY_TOKENS
            } else {
                0
            }),
            age: Millis::new(50),
        }
    }
}

impl Simulation {
    /// Start to run a request at a server, or refuse it.
    pub(crate) fn receive_request(&mut self, server: usize, sent: SentRequest) {
        let id = self.servers[server].listed.id.clone();
        if !self.servers[server].up {
            self.send_attempt_end(server, &sent, connection_broken("connection reset"));
            return;
        }
        let record = Record::RequestArrived {
            call: sent.call,
            server: id.clone(),
            sender: sent.sender.clone(),
        };
        self.record(record);
        let state = &self.servers[server];
        let is_loaded = state
            .model
            .as_ref()
            .is_some_and(|(_, ready)| *ready <= self.now);
        let refusal = if state.leaving {
            Some(Refusal::Leaving)
        } else if state.running() >= MAX_RUNNING_REQUESTS {
            Some(Refusal::Full)
        } else if state.is_engine && !is_loaded {
            Some(Refusal::NotLoaded)
        } else if self.now >= sent.deadline {
            Some(Refusal::Deadline)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            self.send_attempt_end(server, &sent, AttemptEnd::Refused(refusal));
            return;
        }
        let record = Record::ExecutionStarted {
            call: sent.call,
            operation: OperationNumber(sent.operation as u64),
            server: id,
            arrived_at: Timestamp::from_millis(self.now),
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
        if self.operations[sent.operation].crashes_servers {
            self.crash_server(server);
            return;
        }
        let incarnation = self.servers[server].incarnation;
        let first_event_delay = self.rng.random_range(30..400);
        self.schedule(first_event_delay, move |sim| {
            sim.generate_event(server, incarnation, key)
        });
        self.begin_step(
            FaultStep::Start,
            Some(sent.node),
            Some(server),
            Some(sent.call),
        );
    }

    /// Generate the next event of a stream.
    fn generate_event(&mut self, server: usize, incarnation: u64, key: String) {
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
        let is_last = stream.generated > stream.events.len();
        stream.running = !is_last;
        let connection = stream.connection;
        self.send_event(server, &key, index, connection);
        if !is_last {
            let wait = self.rng.random_range(10..80);
            self.schedule(wait, move |sim| {
                sim.generate_event(server, incarnation, key)
            });
        }
    }

    /// Send one event on a connection of a stream. Some events are duplicated with a delay, or also
    /// delivered to all streams of the instance, as a faulty proxy in between would do.
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
        let Some(delay) = self.message_delay(Endpoint::Server(server), Endpoint::Node(sent.node))
        else {
            return;
        };
        let copies = if self.rng.random_bool(0.02) { 2 } else { 1 };
        let (node, start_number) = (sent.node, sent.sender.start_number);
        for copy in 0..copies {
            let (event, stream) = (event.clone(), sent.stream.clone());
            self.schedule_at_node(delay + copy * 40, node, start_number, move |sim| {
                sim.receive_stream_event(node, &stream, connection, event);
            });
        }
        if self.rng.random_bool(0.02) {
            self.schedule_at_node(delay + 1, node, start_number, move |sim| {
                let streams: Vec<(StreamId, u32)> = sim.nodes[node]
                    .tasks
                    .values()
                    .map(|task| (task.stream.clone(), task.connection))
                    .collect();
                for (other, connection) in streams {
                    sim.receive_stream_event(node, &other, connection, event.clone());
                }
            });
        }
    }

    /// Send the generated events of a stream again from sequence number `from`, on a new
    /// connection.
    pub(crate) fn resume_stream(
        &mut self,
        server: usize,
        sent: &SentRequest,
        from: u64,
        connection: u32,
    ) {
        let key = sent.stream.to_string();
        let stream_exists =
            self.servers[server].up && self.servers[server].streams.contains_key(&key);
        if !stream_exists {
            self.send_attempt_end(server, sent, connection_broken("the stream is not known"));
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

    /// Stop a stream because the instance cancelled its attempt.
    pub(crate) fn cancel_stream(&mut self, server: usize, stream: &StreamId) {
        if let Some(stream) = self.servers[server].streams.get_mut(&stream.to_string()) {
            stream.running = false;
        }
    }

    /// Send the end of an attempt from the server, or from its host if the server is down, to the
    /// instance.
    fn send_attempt_end(&mut self, server: usize, sent: &SentRequest, end: AttemptEnd) {
        let Some(delay) = self.message_delay(Endpoint::Server(server), Endpoint::Node(sent.node))
        else {
            return;
        };
        let (node, stream) = (sent.node, sent.stream.clone());
        self.schedule_at_node(delay, node, sent.sender.start_number, move |sim| {
            sim.end_attempt(node, &stream, end);
        });
    }

    /// Crash a server, and restart it later with a new incarnation.
    pub(crate) fn crash_server(&mut self, server: usize) {
        if !self.servers[server].up {
            return;
        }
        let state = &mut self.servers[server];
        state.up = false;
        state.incarnation += 1;
        state.leaving = false;
        state.holds.clear();
        state.fencing = 0;
        state.model = None;
        state.listed.state = Lifecycle::Live;
        let streams = std::mem::take(&mut state.streams);
        let id = state.listed.id.clone();
        self.record(Record::ServerCrashed(id));
        for stream in streams.into_values().filter(|stream| stream.running) {
            self.send_attempt_end(server, &stream.sent, connection_broken("connection reset"));
        }
        let downtime = self.rng.random_range(1_000..4_000);
        self.schedule(downtime, move |sim| sim.servers[server].up = true);
    }

    /// Tell a server to leave. It has 20 s to finish its requests, then it restarts with a new
    /// incarnation.
    pub(crate) fn begin_leaving(&mut self, server: usize) {
        let state = &mut self.servers[server];
        if state.leaving || !state.up {
            return;
        }
        state.leaving = true;
        let incarnation = state.incarnation;
        let id = state.listed.id.clone();
        self.record(Record::ServerLeaving(id));
        self.schedule(2_500, move |sim| {
            if sim.servers[server].incarnation == incarnation {
                sim.servers[server].listed.state = Lifecycle::Leaving;
            }
        });
        self.schedule(20_000, move |sim| {
            if sim.servers[server].incarnation == incarnation {
                sim.crash_server(server);
            }
        });
    }

    /// Apply an order at an engine. Return whether it was accepted.
    pub(crate) fn receive_order(&mut self, server: usize, order: &engine::Order) -> bool {
        // Only the engines of the first zone check the fencing number.
        let checks_fencing = server % 4 < 2;
        let ready = self.now + self.rng.random_range(500..4_000);
        let state = &mut self.servers[server];
        if !state.up || checks_fencing && order.fencing < state.fencing {
            return false;
        }
        state.fencing = state.fencing.max(order.fencing);
        let current_version = state.model.as_ref().map(|(version, _)| version.as_str());
        match order.kind.as_str() {
            "load" if current_version != Some(order.version.as_str()) => {
                state.model = Some((order.version.as_str().into(), ready));
            }
            "unload" => state.model = None,
            _ => {}
        }
        let record = Record::OrderApplied {
            server: state.listed.id.clone(),
            fencing: Generation::new(order.fencing),
            checks_fencing,
        };
        self.record(record);
        true
    }
}

fn connection_broken(cause: &str) -> AttemptEnd {
    AttemptEnd::Broken {
        delivered: false,
        cause: cause.into(),
    }
}
