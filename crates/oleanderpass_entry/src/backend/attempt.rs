//! Send the request of an attempt to a model engine or a plain service, with the headers and the
//! silence timeout that attempts need.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::Full;
use hyper::body::Incoming;
use oleanderpass_core::action::StartAttempt;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::Progress;
use oleanderpass_types::id::StreamId;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::backend::connection::Connection;
use crate::clock::unix_ms;
use crate::shared::Shared;

/// The header with the stream id, which is built from request id and attempt number.
pub const STREAM_ID_HEADER: &str = "oleanderpass-stream-id";

/// The header with the deadline, in milliseconds of Unix time.
pub const DEADLINE_HEADER: &str = "oleanderpass-not-after-unix-ms";

/// The header with the time left until the deadline, in milliseconds.
pub const TIMEOUT_HEADER: &str = "oleanderpass-timeout-ms";

/// The header with the priority: `interactive` or `batch`.
pub const PRIORITY_HEADER: &str = "oleanderpass-priority";

/// The header with the id of the hold from which the engine allocates the KV cache of the stream.
pub const HOLD_HEADER: &str = "oleanderpass-hold";

/// The time without a byte after which a connection to an engine counts as dead. Engines send a
/// keep-alive each second. Source: design section 4.3.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// The interval at which the byte count of a connection is checked for silence.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Why a request got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte was written, so the server has not received the request.
    NotSent(SmolStr),
    /// The connection broke after the first byte was written, or went silent. The server may have
    /// received the request.
    Broken(SmolStr),
}

/// The context of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCx<'a> {
    /// The state that all tasks of the process share.
    pub shared: &'a Shared,
    /// The core's command to start the attempt.
    pub params: &'a StartAttempt,
}

impl AttemptCx<'_> {
    /// Return the stream id: request and attempt number.
    pub fn stream_id(&self) -> StreamId {
        StreamId {
            req: self.params.req.clone(),
            attempt: self.params.attempt,
        }
    }

    /// Report progress to the core.
    pub fn report_progress(&self, progress: Progress) {
        self.shared.core.send_event(Event::Attempt {
            req: self.params.req.clone(),
            attempt: self.params.attempt,
            progress,
        });
    }

    /// Open a new connection instead of reusing an idle one. The server can't close it as idle just
    /// as the request is sent, and it can't have broken unnoticed while idle. The cost is one round
    /// trip, 0.5 to 1 ms within a zone.
    ///
    /// # Errors
    ///
    /// Return why no connection could be opened.
    pub async fn connect(&self) -> Result<Connection, SmolStr> {
        let opened = self.shared.pool.open(self.params.addr).await;
        opened.map_err(|error| format_smolstr!("connect: {error}"))
    }

    /// Build a request with the headers for deadline, timeout, stream id, priority and hold. An
    /// empty `content_type` sets no `content-type` header.
    ///
    /// # Errors
    ///
    /// Return the cause when a header or the path is invalid.
    pub fn build_request(
        &self,
        method: Method,
        path: &str,
        content_type: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, SmolStr> {
        let time_left = self.shared.clock.now().until(self.params.deadline).get();
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.params.addr.to_string())
            .header(STREAM_ID_HEADER, self.stream_id().to_string())
            .header(
                DEADLINE_HEADER,
                HeaderValue::from(unix_ms().saturating_add(time_left)),
            )
            .header(TIMEOUT_HEADER, HeaderValue::from(time_left))
            .header(PRIORITY_HEADER, self.params.priority.to_string());
        if !content_type.is_empty() {
            builder = builder.header(CONTENT_TYPE, content_type);
        }
        if let Some(hold) = self.own_hold() {
            builder = builder.header(HOLD_HEADER, hold);
        }
        builder
            .body(Full::new(body))
            .map_err(|error| format_smolstr!("build the request: {error}"))
    }

    /// Return the hold on the engine that runs the attempt, if the core acquired one.
    fn own_hold(&self) -> Option<&str> {
        let mut holds = self.params.holds.iter();
        let own = holds.find(|hold| hold.server == self.params.server)?;
        Some(&own.hold)
    }

    /// Send a request once and wait for the head of the answer. With a `silence_timeout`, a
    /// connection without a byte in either direction for that time counts as broken.
    ///
    /// # Errors
    ///
    /// Return the cause and whether a byte may have reached the server.
    pub async fn send(
        &self,
        connection: &mut Connection,
        req: Request<Full<Bytes>>,
        silence_timeout: Option<Duration>,
    ) -> Result<http::Response<Incoming>, SendError> {
        let answer = connection.send(req, self.params.deadline);
        let received = match silence_timeout {
            Some(limit) => with_silence_timeout(connection, limit, answer).await,
            None => Some(answer.await),
        };
        let cause = match received {
            Some(Ok(answer)) => return Ok(answer),
            Some(Err(error)) => describe_error(&error),
            // The server may receive the request even if no byte was written so far: the task that
            // drives the connection can still write it until the connection is dropped.
            None => return Err(SendError::Broken("the connection is silent".into())),
        };
        if connection.has_written() {
            Err(SendError::Broken(cause))
        } else {
            Err(SendError::NotSent(cause))
        }
    }
}

/// Format an error of hyper together with its source.
pub fn describe_error(error: &hyper::Error) -> SmolStr {
    match std::error::Error::source(error) {
        Some(source) => format_smolstr!("{error}: {source}"),
        None => format_smolstr!("{error}"),
    }
}

/// Wait for `future`, or return `None` when no byte is read or written on the connection for
/// `limit`.
pub async fn with_silence_timeout<T>(
    connection: &Connection,
    limit: Duration,
    future: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(future);
    let mut last_count = connection.byte_count();
    let mut silence = Duration::ZERO;
    while silence < limit {
        if let Ok(value) = tokio::time::timeout(SILENCE_CHECK_INTERVAL, &mut future).await {
            return Some(value);
        }
        let count = connection.byte_count();
        silence = if count == last_count {
            silence + SILENCE_CHECK_INTERVAL
        } else {
            Duration::ZERO
        };
        last_count = count;
    }
    None
}
