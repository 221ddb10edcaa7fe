//! Run an attempt of a generation on a model engine, and resume its stream on a new connection when
//! the connection is lost.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use oleanderpass_core::event::AttemptEnd;
use oleanderpass_core::event::Progress;
use oleanderpass_core::stream::Assembler;
use oleanderpass_core::stream::FeedResult;
use oleanderpass_core::stream::RESUME_TIMEOUT;
use oleanderpass_core::stream::Recovery;
use oleanderpass_core::stream::StreamEvent;
use oleanderpass_proto::engine::KvTransfer;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::StreamId;
use oleanderpass_types::size::Tokens;
use serde::Deserialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::backend::attempt::AttemptCx;
use crate::backend::attempt::SILENCE_TIMEOUT;
use crate::backend::attempt::SendError;
use crate::backend::attempt::describe_error;
use crate::backend::connection::Connection;
use crate::backend::pool::ConnectionPool;
use crate::backend::refusal;
use crate::backend::server_client::ServerClient;
use crate::backend::sse::SseParser;
use crate::caller::answer::JSON;
use crate::clock::Clock;

/// The delay before a resume that follows a failed one. It is short enough that two failed resumes
/// fall within [`RESUME_WINDOW`](oleanderpass_core::stream::RESUME_WINDOW), after which the attempt
/// fails.
const RESUME_DELAY: Duration = Duration::from_millis(500);

/// The timeout for telling an engine that a stream is cancelled.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// An event of an engine's stream. Unknown fields are ignored, because engines may add some.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct EngineEvent {
    id: String,
    seq: u64,
    text: String,
    done: bool,
    /// Why the generation failed; empty unless it did.
    error: String,
    /// The number of generated tokens. The final event may carry it.
    tokens: Option<u64>,
}

/// Receives the tokens of an attempt, for the answer to the caller.
pub trait TokenSink {
    /// Deliver a token, and wait while the caller is slow.
    ///
    /// # Errors
    ///
    /// Return why the answer can't be delivered.
    fn deliver_token(&mut self, text: &str) -> impl Future<Output = Result<(), SmolStr>> + Send;

    /// Return whether a part of the answer was sent to the caller.
    fn has_delivered(&self) -> bool;
}

/// Run an attempt and return how it ended.
pub async fn run(cx: AttemptCx<'_>, body: Bytes, sink: &mut impl TokenSink) -> AttemptEnd {
    let id = cx.stream_id();
    let mut attempt = GenerationAttempt {
        cx,
        assembler: Assembler::new(id.to_string(), cx.shared.clock.now()),
        id,
        token_count: 0,
        sink,
    };
    attempt.run(body).await
}

/// Tell an engine to cancel a stream. A failure is only logged.
pub async fn cancel(pool: ConnectionPool, clock: Clock, addr: std::net::SocketAddr, id: StreamId) {
    let deadline = clock.now() + CANCEL_TIMEOUT.into();
    let req = http::Request::builder()
        .method(Method::DELETE)
        .uri(format!("/v1/streams/{id}"))
        .header(http::header::HOST, addr.to_string())
        .body(http_body_util::Full::new(Bytes::new()));
    let Ok(req) = req else {
        return;
    };
    let exchange = async {
        let mut connection = pool.open(addr).await?;
        connection
            .send(req, deadline)
            .await
            .map_err(std::io::Error::other)
    };
    match tokio::time::timeout(CANCEL_TIMEOUT, exchange).await {
        Ok(Ok(answer)) => {
            tracing::debug!(%id, status = answer.status().as_u16(), "stream cancelled at the engine");
        }
        Ok(Err(error)) => tracing::debug!(%id, %error, "cancelling the stream failed"),
        Err(_) => tracing::debug!(%id, "the engine did not answer a cancellation in time"),
    }
}

/// Reads the events of a stream from one connection.
struct EventReader {
    /// Held because the connection closes when it is dropped.
    _connection: Connection,
    body: Incoming,
    parser: SseParser,
}

impl EventReader {
    fn new(connection: Connection, body: Incoming) -> Self {
        Self {
            _connection: connection,
            body,
            parser: SseParser::default(),
        }
    }

    /// Read the next frame and return its events. A keep-alive has none.
    async fn next_events(&mut self) -> Result<Vec<EngineEvent>, SmolStr> {
        let frame = self.body.frame().await;
        let frame = frame
            .ok_or("the stream ended before its last event")?
            .map_err(|error| describe_error(&error))?;
        let mut data = Vec::new();
        if let Ok(bytes) = frame.into_data() {
            self.parser
                .push(&bytes, &mut data)
                .map_err(|error| format_smolstr!("{error}"))?;
        }
        data.iter()
            .map(|text| serde_json::from_str(text))
            .collect::<Result<_, _>>()
            .map_err(|error| format_smolstr!("invalid event: {error}"))
    }
}

/// How to go on after an event.
enum NextStep {
    /// Read the next event.
    Continue,
    /// Events are missing: resume the stream on a new connection.
    Resume(SmolStr),
    /// End the attempt.
    End(AttemptEnd),
}

/// The state of an attempt while it runs.
struct GenerationAttempt<'a, S> {
    cx: AttemptCx<'a>,
    id: StreamId,
    assembler: Assembler,
    /// The number of tokens delivered to the sink.
    token_count: u64,
    sink: &'a mut S,
}

impl<S: TokenSink> GenerationAttempt<'_, S> {
    async fn run(&mut self, body: Bytes) -> AttemptEnd {
        let mut reader = match self.start(body).await {
            Ok(reader) => reader,
            Err(end) => return end,
        };
        loop {
            let cause = match self.deliver_events(&mut reader).await {
                Ok(end) => return end,
                Err(cause) => cause,
            };
            reader = match self.resume(cause).await {
                Ok(reader) => reader,
                Err(end) => return end,
            };
        }
    }

    fn now(&self) -> Timestamp {
        self.cx.shared.clock.now()
    }

    /// Send the request and return the reader of its stream, or the end of the attempt.
    async fn start(&mut self, body: Bytes) -> Result<EventReader, AttemptEnd> {
        let cx = self.cx;
        self.import_kv_parts().await.map_err(AttemptEnd::NotSent)?;
        let mut connection = cx.connect().await.map_err(AttemptEnd::NotSent)?;
        let req = cx
            .build_request(Method::POST, "/v1/generate", JSON, body)
            .map_err(AttemptEnd::NotSent)?;
        cx.report_progress(Progress::Sending);
        let answer = match cx.send(&mut connection, req, Some(SILENCE_TIMEOUT)).await {
            Ok(answer) => answer,
            Err(SendError::NotSent(cause)) => return Err(AttemptEnd::NotSent(cause)),
            // The engine may have received the request and started the stream, so try to resume it.
            Err(SendError::Broken(cause)) => return self.resume(cause).await,
        };
        let (head, body) = answer.into_parts();
        if refusal::is_refusal(&head) {
            return Err(AttemptEnd::Refused(refusal::read_reason(body).await));
        }
        if head.status != StatusCode::OK {
            let text = refusal::read_short_body(body).await;
            let text = String::from_utf8_lossy(&text);
            let cause = format_smolstr!("the engine answered {}: {text}", head.status);
            return Err(AttemptEnd::Failed(cause));
        }
        cx.report_progress(Progress::Started);
        self.assembler.on_bytes(self.now());
        Ok(EventReader::new(connection, body))
    }

    /// Make the other engines of the attempt import their parts of the prompt's KV cache into their
    /// holds, from the engine that is about to run the attempt. That engine then needs less memory.
    async fn import_kv_parts(&self) -> Result<(), SmolStr> {
        let params = self.cx.params;
        let mut from_token = 0;
        let other_holds = params.holds.iter().filter(|h| h.server != params.server);
        for hold in other_holds {
            let transfer = KvTransfer {
                hold: hold.hold.to_string(),
                stream: self.id.to_string(),
                from_token,
                tokens: hold.tokens.get(),
                source: params.addr.to_string(),
            };
            let engine = ServerClient {
                pool: self.cx.shared.pool.clone(),
                clock: self.cx.shared.clock,
                server: hold.server.clone(),
                addr: hold.addr,
                metrics: Arc::clone(&self.cx.shared.metrics),
            };
            engine
                .import_kv(&transfer)
                .await
                .map_err(|error| format_smolstr!("KV cache at `{}`: {error:#}", hold.server))?;
            from_token += transfer.tokens;
        }
        Ok(())
    }

    /// Deliver events until the attempt ends, or return why the connection can no longer be used.
    async fn deliver_events(&mut self, reader: &mut EventReader) -> Result<AttemptEnd, SmolStr> {
        loop {
            let silence_deadline = self
                .cx
                .shared
                .clock
                .instant(self.assembler.silence_deadline());
            let Ok(events) =
                tokio::time::timeout_at(silence_deadline.into(), reader.next_events()).await
            else {
                return Err("the connection is silent".into());
            };
            let events = events?;
            self.assembler.on_bytes(self.now());
            for event in events {
                match self.handle_event(event).await {
                    NextStep::Continue => {}
                    NextStep::Resume(cause) => return Err(cause),
                    NextStep::End(end) => return Ok(end),
                }
            }
        }
    }

    async fn handle_event(&mut self, event: EngineEvent) -> NextStep {
        if !event.error.is_empty() && event.id == self.id.to_string() {
            return NextStep::End(AttemptEnd::Failed(event.error.into()));
        }
        let total_tokens = event.tokens;
        let result = self.assembler.feed(
            self.now(),
            StreamEvent {
                id: event.id.into(),
                sequence: event.seq,
                text: event.text,
                done: event.done,
            },
        );
        match result {
            FeedResult::Deliver(text) => match self.deliver(&text).await {
                Ok(()) => NextStep::Continue,
                Err(cause) => NextStep::End(AttemptEnd::Failed(cause)),
            },
            FeedResult::Duplicate => NextStep::Continue,
            FeedResult::OtherStream => {
                tracing::warn!(stream = %self.id, "dropped an event of another stream");
                NextStep::Continue
            }
            FeedResult::Complete => NextStep::End(AttemptEnd::Completed {
                output: Tokens::new(total_tokens.unwrap_or(self.token_count)),
                answer: None,
            }),
            FeedResult::MissingEvents { expected, received } => NextStep::Resume(format_smolstr!(
                "event {received} arrived when {expected} was due"
            )),
            FeedResult::Inconsistent {
                delivered,
                announced,
            } => NextStep::End(AttemptEnd::Failed(format_smolstr!(
                "the engine announced {announced} events after it sent {delivered}"
            ))),
        }
    }

    /// Deliver a token to the sink, and report the first one if the sink sent it to the caller.
    async fn deliver(&mut self, text: &str) -> Result<(), SmolStr> {
        self.token_count += 1;
        self.sink.deliver_token(text).await?;
        if self.token_count == 1 && self.sink.has_delivered() {
            self.cx.report_progress(Progress::FirstToken);
        }
        // The connection was not read while a slow caller delayed the delivery, so that time
        // doesn't count as silence.
        self.assembler.on_bytes(self.now());
        Ok(())
    }

    /// Resume the stream on a new connection, or return the end of the attempt when the assembler
    /// allows no further resume or the engine has no such stream. `cause` is the reason for the
    /// resume.
    async fn resume(&mut self, mut cause: SmolStr) -> Result<EventReader, AttemptEnd> {
        let mut has_failed = false;
        loop {
            let Recovery::Resume { from } = self.assembler.on_connection_lost(self.now()) else {
                return Err(self.broken_end(cause));
            };
            if has_failed {
                tokio::time::sleep(RESUME_DELAY).await;
            }
            tracing::info!(stream = %self.id, from, %cause, "resuming a stream");
            self.cx.shared.metrics.resumes.inc();
            let timeout = RESUME_TIMEOUT.into();
            match tokio::time::timeout(timeout, self.try_resume(from)).await {
                Ok(Ok(reader)) => {
                    self.assembler.on_bytes(self.now());
                    return Ok(reader);
                }
                Ok(Err(ResumeError::Final(cause))) => return Err(self.broken_end(cause)),
                Ok(Err(ResumeError::Transient(error))) => cause = error,
                Err(_) => cause = "the engine did not answer a resume".into(),
            }
            has_failed = true;
        }
    }

    /// Ask the engine once to send the events of the stream from `from` on.
    async fn try_resume(&self, from: u64) -> Result<EventReader, ResumeError> {
        let cx = self.cx;
        let opened = cx.shared.pool.open(cx.params.addr).await;
        let mut connection =
            opened.map_err(|error| ResumeError::Transient(format_smolstr!("resume: {error}")))?;
        let path = format!("/v1/streams/{}/resume?from={from}", self.id);
        let req = cx
            .build_request(Method::POST, &path, "", Bytes::new())
            .map_err(ResumeError::Final)?;
        let answer = cx.send(&mut connection, req, None).await;
        let answer = answer.map_err(|error| match error {
            SendError::NotSent(cause) | SendError::Broken(cause) => ResumeError::Transient(cause),
        })?;
        match answer.status() {
            StatusCode::OK => Ok(EventReader::new(connection, answer.into_body())),
            StatusCode::NOT_FOUND => Err(ResumeError::Final(
                "the engine does not know the stream".into(),
            )),
            status => Err(ResumeError::Transient(format_smolstr!(
                "the engine answered a resume with {status}"
            ))),
        }
    }

    fn broken_end(&self, cause: SmolStr) -> AttemptEnd {
        AttemptEnd::Broken {
            delivered: self.sink.has_delivered(),
            cause,
        }
    }
}

/// Why a resume failed.
enum ResumeError {
    /// A further resume may succeed.
    Transient(SmolStr),
    /// A further resume can't succeed.
    Final(SmolStr),
}
