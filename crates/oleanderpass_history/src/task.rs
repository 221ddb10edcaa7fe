//! The stand-in for the edges' request tasks, each of which runs one attempt.

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
use crate::servers::SentRequest;
use crate::simulation::Endpoint;
use crate::simulation::Simulation;

/// The time after which opening a connection without an answer fails.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// The state that the edge keeps for an attempt.
pub(crate) struct AttemptTask {
    pub(crate) stream: StreamId,
    /// The index of the server to which the request is sent.
    pub(crate) server: usize,
    /// The request, or `None` until it is sent.
    pub(crate) sent: Option<SentRequest>,
    pub(crate) assembler: Assembler,
    /// The text of all events that were delivered.
    pub(crate) text: String,
    /// The number of the current connection, from 1.
    pub(crate) connection: u32,
    /// The connections up to this number deliver nothing more; 0 if there are none.
    pub(crate) silenced_connection: u32,
    pub(crate) ended: bool,
}

impl Simulation {
    /// Open a connection to the server of an attempt, then send the request.
    pub(crate) fn start_attempt(&mut self, node: usize, start: StartAttempt) {
        let stream = StreamId {
            req: start.req.clone(),
            attempt: start.attempt,
        };
        let Some(server) = self.server_index(&start.server) else {
            return;
        };
        let local_time = self.nodes[node].local_time(self.now);
        let task = AttemptTask {
            stream: stream.clone(),
            server,
            sent: None,
            assembler: Assembler::new(stream.to_string(), local_time),
            text: String::new(),
            connection: 1,
            silenced_connection: 0,
            ended: false,
        };
        self.nodes[node].tasks.insert(stream.to_string(), task);
        let call = self.call_of(node, &start.req);
        self.begin_step(
            FaultStep::Connect,
            Some(node),
            Some(server),
            call.map(|c| c.0),
        );
        if self.nodes[node].core.is_none() {
            return;
        }
        let start_number = self.nodes[node].start_number;
        let request_delay = self.message_delay(Endpoint::Node(node), Endpoint::Server(server));
        let response_delay = self.message_delay(Endpoint::Server(server), Endpoint::Node(node));
        let (Some(request_delay), Some(response_delay)) = (request_delay, response_delay) else {
            self.fail_connect(
                node,
                start_number,
                stream,
                CONNECT_TIMEOUT_MS,
                "connect timeout",
            );
            return;
        };
        if !self.servers[server].up {
            self.fail_connect(
                node,
                start_number,
                stream,
                request_delay + response_delay,
                "connection refused",
            );
            return;
        }
        self.schedule_at_node(
            request_delay + response_delay,
            node,
            start_number,
            move |sim| sim.send_request(node, &start, stream),
        );
    }

    fn fail_connect(
        &mut self,
        node: usize,
        start_number: u32,
        stream: StreamId,
        delay_ms: u64,
        cause: &'static str,
    ) {
        self.schedule_at_node(delay_ms, node, start_number, move |sim| {
            sim.end_attempt(node, &stream, AttemptEnd::NotSent(cause.into()));
        });
    }

    /// Send the request's bytes, unless the deadline has passed.
    fn send_request(&mut self, node: usize, start: &StartAttempt, stream: StreamId) {
        let local_time = self.nodes[node].local_time(self.now);
        let Some((call, operation)) = self.call_of(node, &start.req) else {
            self.end_attempt(node, &stream, AttemptEnd::NotSent("no caller".into()));
            return;
        };
        let deadline_passed = local_time >= start.deadline;
        let sender = self.nodes[node].process();
        let deadline = self.nodes[node].to_simulation_time(start.deadline);
        let Some(task) = self.nodes[node].task(&stream).filter(|task| !task.ended) else {
            return;
        };
        let server = task.server;
        if deadline_passed {
            self.end_attempt(
                node,
                &stream,
                AttemptEnd::NotSent("the deadline passed".into()),
            );
            return;
        }
        let sent = SentRequest {
            stream: stream.clone(),
            call,
            operation,
            node,
            deadline,
            prompt_tokens: self.operations[operation].prompt_tokens,
            sender,
        };
        if let Some(task) = self.nodes[node].task(&stream) {
            task.sent = Some(sent.clone());
            task.assembler.on_bytes(local_time);
        }
        self.report_progress(node, &stream, Progress::Sending);
        let delay = self.message_delay(Endpoint::Node(node), Endpoint::Server(server));
        self.begin_step(FaultStep::Dispatch, Some(node), Some(server), Some(call));
        if let Some(delay) = delay {
            self.schedule(delay, move |sim| sim.receive_request(server, sent));
        }
        if self.servers[server].is_engine {
            self.schedule_silence_check(node, stream);
        }
    }

    /// Schedule a check of the connection for the time at which it has been silent for too long.
    fn schedule_silence_check(&mut self, node: usize, stream: StreamId) {
        let start_number = self.nodes[node].start_number;
        let local_time = self.nodes[node].local_time(self.now);
        let Some(task) = self.nodes[node].task(&stream).filter(|task| !task.ended) else {
            return;
        };
        let delay_ms = local_time
            .until(task.assembler.silence_deadline())
            .get()
            .max(1);
        self.schedule_at_node(delay_ms, node, start_number, move |sim| {
            let local_time = sim.nodes[node].local_time(sim.now);
            let Some(task) = sim.nodes[node].task(&stream).filter(|task| !task.ended) else {
                return;
            };
            if let Some(recovery) = task.assembler.check_silence(local_time) {
                sim.recover(node, &stream, recovery);
            }
            sim.schedule_silence_check(node, stream);
        });
    }

    /// Resume the stream on a new connection, or end the attempt.
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
                if let Some(delay) =
                    self.message_delay(Endpoint::Node(node), Endpoint::Server(server))
                {
                    self.schedule(delay, move |sim| {
                        sim.resume_stream(server, &sent, from, connection)
                    });
                }
            }
            Recovery::Fail => {
                let cause = "the connection went silent".into();
                self.end_attempt(node, stream, AttemptEnd::Broken { delivered, cause });
            }
        }
    }

    /// Receive an event of a backend server.
    pub(crate) fn receive_stream_event(
        &mut self,
        node: usize,
        stream: &StreamId,
        connection: u32,
        event: StreamEvent,
    ) {
        let local_time = self.nodes[node].local_time(self.now);
        let ignores_stream_ids = self.options.without_stream_ids;
        let Some(task) = self.nodes[node].task(stream).filter(|task| !task.ended) else {
            return;
        };
        if connection <= task.silenced_connection || task.sent.is_none() {
            return;
        }
        let mut event = event;
        if ignores_stream_ids {
            event.id = stream.to_string().into();
            event.sequence = task.assembler.next_sequence();
        }
        let is_first = !task.assembler.has_delivered();
        let server = task.server;
        match task.assembler.feed(local_time, event) {
            FeedResult::Deliver(text) => {
                task.text.push_str(&text);
                if is_first {
                    self.report_progress(node, stream, Progress::Started);
                    self.report_progress(node, stream, Progress::FirstToken);
                    let call = self.call_of(node, &stream.req).map(|call| call.0);
                    self.begin_step(FaultStep::Stream, Some(node), Some(server), call);
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
                let recovery = task.assembler.on_connection_lost(local_time);
                self.recover(node, stream, recovery);
            }
            FeedResult::Inconsistent { .. } => {
                self.end_attempt(node, stream, AttemptEnd::Failed("inconsistent".into()));
            }
            FeedResult::Duplicate | FeedResult::OtherStream => {}
        }
    }

    /// End an attempt and report it to the core, unless it has ended already.
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
        self.report_progress(node, stream, Progress::Ended(end));
    }

    /// End an attempt that the core cancelled, and tell the server if the request was sent.
    pub(crate) fn cancel_attempt(&mut self, node: usize, stream: &StreamId) {
        let Some(task) = self.nodes[node].task(stream).filter(|task| !task.ended) else {
            return;
        };
        let (server, sent) = (task.server, task.sent.is_some());
        let stream = stream.clone();
        if sent
            && let Some(delay) = self.message_delay(Endpoint::Node(node), Endpoint::Server(server))
        {
            let stream = stream.clone();
            self.schedule(delay, move |sim| sim.cancel_stream(server, &stream));
        }
        let start_number = self.nodes[node].start_number;
        self.schedule_at_node(0, node, start_number, move |sim| {
            sim.end_attempt(node, &stream, AttemptEnd::Cancelled);
        });
    }

    fn report_progress(&mut self, node: usize, stream: &StreamId, progress: Progress) {
        let event = Event::Attempt {
            req: stream.req.clone(),
            attempt: stream.attempt,
            progress,
        };
        self.handle_event(node, event);
    }

    /// Return the call and the index of the operation that a request of an instance belongs to.
    pub(crate) fn call_of(
        &self,
        node: usize,
        req: &oleanderpass_types::id::RequestId,
    ) -> Option<(CallNumber, usize)> {
        self.nodes[node].request_calls.get(req).copied()
    }
}
