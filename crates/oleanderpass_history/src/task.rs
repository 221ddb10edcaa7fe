//! Stand in for the request tasks of the edges.

use std::sync::Arc;

use oleanderpass_core::action::StartAttempt;
use oleanderpass_core::event::AttemptEnd;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::Progress;
use oleanderpass_core::event::RecordedAnswer;
use oleanderpass_core::stream::Assembler;
use oleanderpass_core::stream::FeedResult;
use oleanderpass_core::stream::Recovery;
use oleanderpass_core::stream::StreamEvent;
use oleanderpass_types::id::StreamId;
use oleanderpass_types::size::Tokens;

use crate::fault::FaultStep;
use crate::record::CallNumber;
use crate::servers::Sent;
use crate::world::Place;
use crate::world::World;

/// The time after which a connection that can't be opened fails.
const CONNECT_TIMEOUT: u64 = 1_000;

/// An attempt at the edge.
pub(crate) struct Task {
    pub(crate) stream: StreamId,
    pub(crate) server: usize,
    pub(crate) sent: Option<Sent>,
    pub(crate) assembler: Assembler,
    pub(crate) text: String,
    pub(crate) connection: u32,
    /// The connection with this number delivers nothing more.
    pub(crate) silenced: u32,
    pub(crate) ended: bool,
}

impl World {
    pub(crate) fn start_attempt(&mut self, node: usize, start: StartAttempt) {
        let stream = StreamId {
            req: start.req.clone(),
            attempt: start.attempt,
        };
        let Some(server) = self.server_index(&start.server) else {
            return;
        };
        let clock = self.nodes[node].clock(self.now);
        let task = Task {
            stream: stream.clone(),
            server,
            sent: None,
            assembler: Assembler::new(stream.to_string(), clock),
            text: String::new(),
            connection: 1,
            silenced: 0,
            ended: false,
        };
        self.nodes[node].tasks.insert(stream.to_string(), task);
        let call = self.call_of(node, &start.req);
        self.at_step(
            FaultStep::Connect,
            Some(node),
            Some(server),
            call.map(|c| c.0),
        );
        if self.nodes[node].core.is_none() {
            return;
        }
        let life = self.nodes[node].start;
        let there = self.travel(Place::Node(node), Place::Server(server));
        let back = self.travel(Place::Server(server), Place::Node(node));
        let (Some(there), Some(back)) = (there, back) else {
            self.fail_connect(node, life, stream, CONNECT_TIMEOUT, "connect timeout");
            return;
        };
        if !self.servers[server].up {
            self.fail_connect(node, life, stream, there + back, "connection refused");
            return;
        }
        self.at_node_after(there + back, node, life, move |w| {
            w.write(node, &start, stream)
        });
    }

    fn fail_connect(
        &mut self,
        node: usize,
        life: u32,
        stream: StreamId,
        wait: u64,
        cause: &'static str,
    ) {
        self.at_node_after(wait, node, life, move |w| {
            w.end_attempt(node, &stream, AttemptEnd::NotSent(cause.into()));
        });
    }

    /// Write the request's bytes, unless its time is over.
    fn write(&mut self, node: usize, start: &StartAttempt, stream: StreamId) {
        let clock = self.nodes[node].clock(self.now);
        let Some((call, operation)) = self.call_of(node, &start.req) else {
            self.end_attempt(node, &stream, AttemptEnd::NotSent("no caller".into()));
            return;
        };
        let late = clock >= start.deadline;
        let by = self.nodes[node].life();
        let deadline = self.nodes[node].harness_time(start.deadline);
        let Some(task) = self.nodes[node].task(&stream).filter(|task| !task.ended) else {
            return;
        };
        let server = task.server;
        if late {
            self.end_attempt(
                node,
                &stream,
                AttemptEnd::NotSent("the deadline passed".into()),
            );
            return;
        }
        let sent = Sent {
            stream: stream.clone(),
            call,
            operation,
            node,
            deadline,
            prompt: self.operations[operation].prompt,
            by,
        };
        if let Some(task) = self.nodes[node].task(&stream) {
            task.sent = Some(sent.clone());
            task.assembler.on_bytes(clock);
        }
        self.progress(node, &stream, Progress::Sending);
        let delay = self.travel(Place::Node(node), Place::Server(server));
        self.at_step(FaultStep::Dispatch, Some(node), Some(server), Some(call));
        if let Some(delay) = delay {
            self.after(delay, move |w| w.arrive(server, sent));
        }
        if self.servers[server].engine {
            self.watch_silence(node, stream);
        }
    }

    /// Check the connection when it could be silent for too long.
    fn watch_silence(&mut self, node: usize, stream: StreamId) {
        let life = self.nodes[node].start;
        let clock = self.nodes[node].clock(self.now);
        let Some(task) = self.nodes[node].task(&stream).filter(|task| !task.ended) else {
            return;
        };
        let wait = clock.until(task.assembler.silence_deadline()).get().max(1);
        self.at_node_after(wait, node, life, move |w| {
            let clock = w.nodes[node].clock(w.now);
            let Some(task) = w.nodes[node].task(&stream).filter(|task| !task.ended) else {
                return;
            };
            if let Some(recovery) = task.assembler.check_silence(clock) {
                w.recover(node, &stream, recovery);
            }
            w.watch_silence(node, stream);
        });
    }

    fn recover(&mut self, node: usize, stream: &StreamId, recovery: Recovery) {
        let Some(task) = self.nodes[node].task(stream) else {
            return;
        };
        let (server, delivered) = (task.server, task.assembler.has_delivered());
        match recovery {
            Recovery::Resume { from } => {
                task.connection += 1;
                let connection = task.connection;
                let Some(sent) = task.sent.clone() else {
                    return;
                };
                if let Some(delay) = self.travel(Place::Node(node), Place::Server(server)) {
                    self.after(delay, move |w| {
                        w.resume_at_server(server, &sent, from, connection)
                    });
                }
            }
            Recovery::Fail => {
                let cause = "the connection went silent".into();
                self.end_attempt(node, stream, AttemptEnd::Broken { delivered, cause });
            }
        }
    }

    /// Take an event of a backend server at the edge.
    pub(crate) fn on_stream_event(
        &mut self,
        node: usize,
        stream: &StreamId,
        connection: u32,
        event: StreamEvent,
    ) {
        let clock = self.nodes[node].clock(self.now);
        let trusting = self.options.without_stream_ids;
        let Some(task) = self.nodes[node].task(stream).filter(|task| !task.ended) else {
            return;
        };
        if connection <= task.silenced || task.sent.is_none() {
            return;
        }
        let mut event = event;
        if trusting {
            event.id = stream.to_string().into();
            event.sequence = task.assembler.next_sequence();
        }
        let first = !task.assembler.has_delivered();
        let server = task.server;
        match task.assembler.feed(clock, event) {
            FeedResult::Deliver(text) => {
                task.text.push_str(&text);
                if first {
                    self.progress(node, stream, Progress::Started);
                    self.progress(node, stream, Progress::FirstToken);
                    let call = self.call_of(node, &stream.req).map(|call| call.0);
                    self.at_step(FaultStep::Stream, Some(node), Some(server), call);
                }
            }
            FeedResult::Complete => {
                let answer = RecordedAnswer {
                    status: 200,
                    content_type: "text/plain".into(),
                    body: task.text.clone().into_bytes(),
                };
                let end = AttemptEnd::Completed {
                    output: Tokens::new(task.assembler.next_sequence()),
                    answer: Some(Arc::new(answer)),
                };
                self.end_attempt(node, stream, end);
            }
            FeedResult::MissingEvents { .. } => {
                let recovery = task.assembler.on_connection_lost(clock);
                self.recover(node, stream, recovery);
            }
            FeedResult::Inconsistent { .. } => {
                self.end_attempt(node, stream, AttemptEnd::Failed("inconsistent".into()));
            }
            FeedResult::Duplicate | FeedResult::OtherStream => {}
        }
    }

    /// Report the end of an attempt once.
    pub(crate) fn end_attempt(&mut self, node: usize, stream: &StreamId, end: AttemptEnd) {
        let Some(task) = self.nodes[node].task(stream).filter(|task| !task.ended) else {
            return;
        };
        task.ended = true;
        let delivered = task.assembler.has_delivered();
        let end = match end {
            AttemptEnd::Broken { cause, .. } => AttemptEnd::Broken { delivered, cause },
            end => end,
        };
        self.progress(node, stream, Progress::Ended(end));
    }

    pub(crate) fn cancel_attempt(&mut self, node: usize, stream: &StreamId) {
        let Some(task) = self.nodes[node].task(stream).filter(|task| !task.ended) else {
            return;
        };
        let (server, sent) = (task.server, task.sent.is_some());
        let stream = stream.clone();
        if sent && let Some(delay) = self.travel(Place::Node(node), Place::Server(server)) {
            let stream = stream.clone();
            self.after(delay, move |w| w.cancel_at_server(server, &stream));
        }
        let life = self.nodes[node].start;
        self.at_node_after(0, node, life, move |w| {
            w.end_attempt(node, &stream, AttemptEnd::Cancelled);
        });
    }

    fn progress(&mut self, node: usize, stream: &StreamId, progress: Progress) {
        let event = Event::Attempt {
            req: stream.req.clone(),
            attempt: stream.attempt,
            progress,
        };
        self.handle(node, event);
    }

    /// Return the call and operation behind a request of an instance.
    pub(crate) fn call_of(
        &self,
        node: usize,
        req: &oleanderpass_types::id::RequestId,
    ) -> Option<(CallNumber, usize)> {
        self.nodes[node].bodies.get(req).copied()
    }
}
