//! Run a generation on a model engine and resume its stream on a new connection when one dies.

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
use crate::backend::attempt::SILENCE;
use crate::backend::attempt::SendError;
use crate::backend::attempt::describe;
use crate::backend::connection::Connection;
use crate::backend::pool::ConnectionPool;
use crate::backend::refusal;
use crate::backend::server_client::ServerClient;
use crate::backend::sse::SseParser;
use crate::caller::answer::JSON;
use crate::clock::Clock;

/// The pause before a resume that follows a failed one. Two resumes then fail within the window
/// of [`RESUME_WINDOW`](oleanderpass_core::stream::RESUME_WINDOW).
const RESUME_PAUSE: Duration = Duration::from_millis(500);

/// The time to tell an engine that a stream is cancelled.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// An event of an engine's stream. Unknown fields are skipped: engines may add some.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct EngineEvent {
    id: String,
    seq: u64,
    text: String,
    done: bool,
    error: String,
    tokens: Option<u64>,
}

/// Take the tokens of a stream.
pub trait TokenSink {
    /// Deliver a token. Waits while the caller is slow.
    ///
    /// # Errors
    ///
    /// Return why the answer can't be delivered.
    fn deliver_token(&mut self, text: &str) -> impl Future<Output = Result<(), SmolStr>> + Send;

    /// Return whether a token has reached the caller.
    fn has_delivered(&self) -> bool;
}

/// Run an attempt.
pub async fn run(cx: AttemptCx<'_>, body: Bytes, sink: &mut impl TokenSink) -> AttemptEnd {
    let id = cx.stream_id();
    let mut generation = Generation {
        cx,
        assembler: Assembler::new(id.to_string(), cx.shared.clock.now()),
        id,
        tokens: 0,
        sink,
    };
    generation.run(body).await
}

/// Tell an engine that a stream is no longer wanted.
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
        let mut connection = pool.fresh(addr).await?;
        connection
            .send(req, deadline)
            .await
            .map_err(std::io::Error::other)
    };
    match tokio::time::timeout(CANCEL_TIMEOUT, exchange).await {
        Ok(Ok(answer)) => {
            tracing::debug!(%id, status = answer.status().as_u16(), "stream cancelled at the engine");
        }
        Ok(Err(error)) => tracing::debug!(%id, %error, "engine did not take a cancellation"),
        Err(_) => tracing::debug!(%id, "engine did not answer a cancellation in time"),
    }
}

/// A connection that delivers events.
struct Reader {
    /// The connection closes when it is dropped.
    _connection: Connection,
    body: Incoming,
    parser: SseParser,
}

impl Reader {
    fn new(connection: Connection, body: Incoming) -> Self {
        Self {
            _connection: connection,
            body,
            parser: SseParser::default(),
        }
    }

    /// Read the events of the next frame; none after a keep-alive.
    async fn read(&mut self) -> Result<Vec<EngineEvent>, SmolStr> {
        let frame = self.body.frame().await;
        let frame = frame
            .ok_or("the stream ended before its last event")?
            .map_err(|error| describe(&error))?;
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

/// What an event means for the stream.
enum Step {
    Continue,
    Lost(SmolStr),
    End(AttemptEnd),
}

struct Generation<'a, S> {
    cx: AttemptCx<'a>,
    id: StreamId,
    assembler: Assembler,
    tokens: u64,
    sink: &'a mut S,
}

impl<S: TokenSink> Generation<'_, S> {
    async fn run(&mut self, body: Bytes) -> AttemptEnd {
        let mut reader = match self.start(body).await {
            Ok(reader) => reader,
            Err(end) => return end,
        };
        loop {
            let cause = match self.drain(&mut reader).await {
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

    async fn start(&mut self, body: Bytes) -> Result<Reader, AttemptEnd> {
        let cx = self.cx;
        self.place_kv().await.map_err(AttemptEnd::NotSent)?;
        let mut connection = cx.connect().await.map_err(AttemptEnd::NotSent)?;
        let req = cx
            .request(Method::POST, "/v1/generate", JSON, body)
            .map_err(AttemptEnd::NotSent)?;
        cx.progress(Progress::Sending);
        let answer = match cx.send(&mut connection, req, Some(SILENCE)).await {
            Ok(answer) => answer,
            Err(SendError::NotSent(cause)) => return Err(AttemptEnd::NotSent(cause)),
            // The engine may have taken the request: ask for its stream.
            Err(SendError::Broken(cause)) => return self.resume(cause).await,
        };
        let (head, body) = answer.into_parts();
        if refusal::is_refusal(&head) {
            return Err(AttemptEnd::Refused(refusal::read_reason(body).await));
        }
        if head.status != StatusCode::OK {
            let text = refusal::read_short(body).await;
            let text = String::from_utf8_lossy(&text);
            let cause = format_smolstr!("the engine answered {}: {text}", head.status);
            return Err(AttemptEnd::Failed(cause));
        }
        cx.progress(Progress::Started);
        self.assembler.on_bytes(self.now());
        Ok(Reader::new(connection, body))
    }

    /// Make the other engines keep their parts of the prompt's KV cache.
    async fn place_kv(&self) -> Result<(), SmolStr> {
        let order = self.cx.params;
        let mut from_token = 0;
        let others = order.holds.iter().filter(|h| h.server != order.server);
        for hold in others {
            let transfer = KvTransfer {
                hold: hold.hold.to_string(),
                stream: self.id.to_string(),
                from_token,
                tokens: hold.tokens.get(),
                source: order.addr.to_string(),
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

    /// Deliver events until the stream ends, or return why the connection is of no more use.
    async fn drain(&mut self, reader: &mut Reader) -> Result<AttemptEnd, SmolStr> {
        loop {
            let silent_at = self
                .cx
                .shared
                .clock
                .instant(self.assembler.silence_deadline());
            let Ok(events) = tokio::time::timeout_at(silent_at.into(), reader.read()).await else {
                return Err("the connection is silent".into());
            };
            let events = events?;
            self.assembler.on_bytes(self.now());
            for event in events {
                match self.take(event).await {
                    Step::Continue => {}
                    Step::Lost(cause) => return Err(cause),
                    Step::End(end) => return Ok(end),
                }
            }
        }
    }

    async fn take(&mut self, event: EngineEvent) -> Step {
        if !event.error.is_empty() && event.id == self.id.to_string() {
            return Step::End(AttemptEnd::Failed(event.error.into()));
        }
        let tokens = event.tokens;
        let fed = self.assembler.feed(
            self.now(),
            StreamEvent {
                id: event.id.into(),
                sequence: event.seq,
                text: event.text,
                done: event.done,
            },
        );
        match fed {
            FeedResult::Deliver(text) => match self.deliver(&text).await {
                Ok(()) => Step::Continue,
                Err(cause) => Step::End(AttemptEnd::Failed(cause)),
            },
            FeedResult::Duplicate => Step::Continue,
            FeedResult::OtherStream => {
                tracing::warn!(stream = %self.id, "dropped an event of another stream");
                Step::Continue
            }
            FeedResult::Complete => Step::End(AttemptEnd::Completed {
                output: Tokens::new(tokens.unwrap_or(self.tokens)),
                answer: None,
            }),
            FeedResult::MissingEvents { expected, received } => Step::Lost(format_smolstr!(
                "event {received} arrived when {expected} was due"
            )),
            FeedResult::Inconsistent {
                delivered,
                announced,
            } => Step::End(AttemptEnd::Failed(format_smolstr!(
                "the engine announced {announced} events after it sent {delivered}"
            ))),
        }
    }

    async fn deliver(&mut self, text: &str) -> Result<(), SmolStr> {
        self.tokens += 1;
        self.sink.deliver_token(text).await?;
        if self.tokens == 1 && self.sink.has_delivered() {
            self.cx.progress(Progress::FirstToken);
        }
        // A slow caller may have held up the delivery.
        self.assembler.on_bytes(self.now());
        Ok(())
    }

    /// Open a new connection to the stream, or return the end of the attempt.
    async fn resume(&mut self, mut cause: SmolStr) -> Result<Reader, AttemptEnd> {
        let mut failed = false;
        loop {
            let Recovery::Resume { from } = self.assembler.on_connection_lost(self.now()) else {
                return Err(self.broken(cause));
            };
            if failed {
                tokio::time::sleep(RESUME_PAUSE).await;
            }
            tracing::info!(stream = %self.id, from, %cause, "resuming a stream");
            self.cx.shared.metrics.resumes.inc();
            let limit = RESUME_TIMEOUT.into();
            match tokio::time::timeout(limit, self.try_resume(from)).await {
                Ok(Ok(reader)) => {
                    self.assembler.on_bytes(self.now());
                    return Ok(reader);
                }
                Ok(Err(ResumeError::Final(cause))) => return Err(self.broken(cause)),
                Ok(Err(ResumeError::Transient(error))) => cause = error,
                Err(_) => cause = "the engine did not answer a resume".into(),
            }
            failed = true;
        }
    }

    async fn try_resume(&self, from: u64) -> Result<Reader, ResumeError> {
        let cx = self.cx;
        let opened = cx.shared.pool.fresh(cx.params.addr).await;
        let mut connection =
            opened.map_err(|error| ResumeError::Transient(format_smolstr!("resume: {error}")))?;
        let path = format!("/v1/streams/{}/resume?from={from}", self.id);
        let req = cx
            .request(Method::POST, &path, "", Bytes::new())
            .map_err(ResumeError::Final)?;
        let answer = cx.send(&mut connection, req, None).await;
        let answer = answer.map_err(|error| match error {
            SendError::NotSent(cause) | SendError::Broken(cause) => ResumeError::Transient(cause),
        })?;
        match answer.status() {
            StatusCode::OK => Ok(Reader::new(connection, answer.into_body())),
            StatusCode::NOT_FOUND => Err(ResumeError::Final(
                "the engine does not know the stream".into(),
            )),
            status => Err(ResumeError::Transient(format_smolstr!(
                "the engine answered a resume with {status}"
            ))),
        }
    }

    fn broken(&self, cause: SmolStr) -> AttemptEnd {
        AttemptEnd::Broken {
            delivered: self.sink.has_delivered(),
            cause,
        }
    }
}

/// Why a resume failed.
enum ResumeError {
    /// Another try may succeed.
    Transient(SmolStr),
    /// Another try can't succeed.
    Final(SmolStr),
}
