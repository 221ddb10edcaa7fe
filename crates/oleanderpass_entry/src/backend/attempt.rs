//! Provide what both kinds of attempts use: headers, sending and silence detection.

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

/// The id of the stream: request and attempt.
pub const STREAM_ID: &str = "oleanderpass-stream-id";

/// The deadline in milliseconds of Unix time.
pub const NOT_AFTER: &str = "oleanderpass-not-after-unix-ms";

/// The time until the deadline in milliseconds.
pub const TIMEOUT: &str = "oleanderpass-timeout-ms";

/// How urgent the request is.
pub const PRIORITY: &str = "oleanderpass-priority";

/// The hold on the engine itself that the stream takes its memory from.
pub const HOLD: &str = "oleanderpass-hold";

/// The time without a byte after which a connection to an engine counts as dead. Engines send a
/// keep-alive each second. Source: design section 4.3.
pub const SILENCE: Duration = Duration::from_secs(3);

/// The step in which silence is measured.
const SILENCE_STEP: Duration = Duration::from_millis(250);

/// Why a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte was written.
    NotSent(SmolStr),
    /// The connection broke or went silent after the first byte.
    Broken(SmolStr),
}

/// One attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCx<'a> {
    /// What the process shares.
    pub shared: &'a Shared,
    /// The order.
    pub params: &'a StartAttempt,
}

impl AttemptCx<'_> {
    /// Return the id of the stream.
    pub fn stream_id(&self) -> StreamId {
        StreamId {
            req: self.params.req.clone(),
            attempt: self.params.attempt,
        }
    }

    /// Report progress to the core.
    pub fn progress(&self, progress: Progress) {
        self.shared.core.event(Event::Attempt {
            req: self.params.req.clone(),
            attempt: self.params.attempt,
            progress,
        });
    }

    /// Open a connection for the request itself. It carried no request before, so neither a
    /// server's idle close nor a connection that went silent while idle can meet the request. The
    /// price is one round trip, 0.5 to 1 ms within a zone.
    ///
    /// # Errors
    ///
    /// Return why no connection could be opened.
    pub async fn connect(&self) -> Result<Connection, SmolStr> {
        let opened = self.shared.pool.fresh(self.params.addr).await;
        opened.map_err(|error| format_smolstr!("connect: {error}"))
    }

    /// Build a request with the deadline and the stream id.
    pub fn request(
        &self,
        method: Method,
        path: &str,
        content_type: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, SmolStr> {
        let left = self.shared.clock.now().until(self.params.deadline).get();
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.params.addr.to_string())
            .header(STREAM_ID, self.stream_id().to_string())
            .header(NOT_AFTER, HeaderValue::from(unix_ms().saturating_add(left)))
            .header(TIMEOUT, HeaderValue::from(left))
            .header(PRIORITY, self.params.priority.to_string());
        if !content_type.is_empty() {
            builder = builder.header(CONTENT_TYPE, content_type);
        }
        if let Some(hold) = self.own_hold() {
            builder = builder.header(HOLD, hold);
        }
        builder
            .body(Full::new(body))
            .map_err(|error| format_smolstr!("build the request: {error}"))
    }

    fn own_hold(&self) -> Option<&str> {
        let mut holds = self.params.holds.iter();
        let own = holds.find(|hold| hold.server == self.params.server)?;
        Some(&own.hold)
    }

    /// Send a request once and wait for the head of the answer. With `silence`, a connection
    /// without a byte in either direction for that time counts as broken.
    ///
    /// # Errors
    ///
    /// Return whether a byte may have reached the server.
    pub async fn send(
        &self,
        connection: &mut Connection,
        req: Request<Full<Bytes>>,
        silence: Option<Duration>,
    ) -> Result<http::Response<Incoming>, SendError> {
        let answer = connection.send(req, self.params.deadline);
        let received = match silence {
            Some(limit) => unless_silent(connection, limit, answer).await,
            None => Some(answer.await),
        };
        let cause = match received {
            Some(Ok(answer)) => return Ok(answer),
            Some(Err(error)) => describe(&error),
            // The connection's task still runs and may write before it is stopped.
            None => return Err(SendError::Broken("the connection is silent".into())),
        };
        if connection.has_written() {
            Err(SendError::Broken(cause))
        } else {
            Err(SendError::NotSent(cause))
        }
    }
}

/// Describe an error of hyper with its source.
pub fn describe(error: &hyper::Error) -> SmolStr {
    match std::error::Error::source(error) {
        Some(source) => format_smolstr!("{error}: {source}"),
        None => format_smolstr!("{error}"),
    }
}

/// Wait for `future`, or return `None` when the connection passes no byte for `limit`.
pub async fn unless_silent<T>(
    connection: &Connection,
    limit: Duration,
    future: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(future);
    let mut activity = connection.activity();
    let mut quiet = Duration::ZERO;
    while quiet < limit {
        if let Ok(value) = tokio::time::timeout(SILENCE_STEP, &mut future).await {
            return Some(value);
        }
        let current = connection.activity();
        quiet = if current == activity {
            quiet + SILENCE_STEP
        } else {
            Duration::ZERO
        };
        activity = current;
    }
    None
}
