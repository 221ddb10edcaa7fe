//! Build answers to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use oleanderpass_types::error::StepError;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::outcome::Outcome;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// The header with the id of the request.
pub const REQUEST_ID_HEADER: &str = "oleanderpass-request-id";

/// The header with the generation of the document in force.
pub const GENERATION_HEADER: &str = "oleanderpass-generation";

/// The header with the outcome of the request. Streams carry it in their last event instead.
pub const OUTCOME_HEADER: &str = "oleanderpass-outcome";

/// The content type of JSON answers.
pub const JSON: &str = "application/json";

/// The content type of streams.
pub const EVENT_STREAM: &str = "text/event-stream";

/// Tells the request task when the caller has disconnected. The guard belongs first to the future
/// that handles the request, then to the body of a streamed answer. Both are dropped with the
/// caller's connection.
#[derive(Debug)]
pub struct CallerGuard(#[expect(dead_code, reason = "the drop is the signal")] oneshot::Sender<()>);

impl CallerGuard {
    /// Create a guard and a receiver that completes when the guard is dropped.
    pub fn channel() -> (Self, oneshot::Receiver<()>) {
        let (tx, rx) = oneshot::channel();
        (Self(tx), rx)
    }
}

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum CallerBody {
    /// A body in one part; `None` when it is empty or was sent.
    Whole(Option<Bytes>),
    /// A stream that a request task sends in chunks.
    Stream {
        /// The chunks; the stream ends when the request task drops the sender.
        chunks: mpsc::Receiver<Bytes>,
        /// Held until the stream has ended or the caller has disconnected.
        guard: Option<CallerGuard>,
    },
}

impl CallerBody {
    /// Attach the guard to a stream. A whole body needs none, so its guard is dropped.
    pub fn set_guard(&mut self, caller: CallerGuard) {
        if let CallerBody::Stream { guard, .. } = self {
            *guard = Some(caller);
        }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let chunk = match &mut *self {
            CallerBody::Whole(bytes) => bytes.take(),
            CallerBody::Stream { chunks, .. } => match chunks.poll_recv(cx) {
                Poll::Ready(chunk) => chunk,
                Poll::Pending => return Poll::Pending,
            },
        };
        Poll::Ready(chunk.map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, CallerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            CallerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            CallerBody::Stream { .. } => SizeHint::default(),
        }
    }
}

/// The fields that every answer carries.
#[derive(Clone, Debug)]
pub struct AnswerContext {
    /// The id of the request.
    pub req: RequestId,
    /// The generation of the document in force.
    pub generation: Generation,
}

/// The body of an error answer.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    step: &'static str,
    /// The party at which the step failed. It need not be another entry instance.
    peer: String,
    cause: &'a str,
    outcome: Outcome,
    request_id: String,
    generation: Generation,
}

impl AnswerContext {
    /// Return the JSON body that describes an error.
    pub fn error_json(&self, outcome: Outcome, error: &StepError) -> Vec<u8> {
        let body = ErrorBody {
            error: ErrorFields {
                step: error.step.into(),
                peer: error.peer.to_string(),
                cause: &error.cause,
                outcome,
                request_id: self.req.to_string(),
                generation: self.generation,
            },
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Build an error answer.
    pub fn error_response(
        &self,
        status: u16,
        outcome: Outcome,
        error: &StepError,
    ) -> Response<CallerBody> {
        let body = self.error_json(outcome, error);
        self.whole_response(status, JSON, body.into(), Some(outcome))
    }

    /// Build an answer whose body is complete.
    pub fn whole_response(
        &self,
        status: u16,
        content_type: &str,
        body: Bytes,
        outcome: Option<Outcome>,
    ) -> Response<CallerBody> {
        let body = CallerBody::Whole((!body.is_empty()).then_some(body));
        self.build(status, content_type, outcome, body)
    }

    /// Build the answer of a stream. Its outcome follows in the last event.
    pub fn stream_response(&self, chunks: mpsc::Receiver<Bytes>) -> Response<CallerBody> {
        let body = CallerBody::Stream {
            chunks,
            guard: None,
        };
        self.build(200, EVENT_STREAM, None, body)
    }

    fn build(
        &self,
        status: u16,
        content_type: &str,
        outcome: Option<Outcome>,
        body: CallerBody,
    ) -> Response<CallerBody> {
        let mut answer = Response::new(body);
        *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = answer.headers_mut();
        if let Ok(value) = HeaderValue::from_str(content_type) {
            headers.insert(CONTENT_TYPE, value);
        }
        if let Ok(value) = HeaderValue::from_str(&self.req.to_string()) {
            headers.insert(REQUEST_ID_HEADER, value);
        }
        headers.insert(GENERATION_HEADER, HeaderValue::from(self.generation.get()));
        if let Some(outcome) = outcome {
            headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.into()));
        }
        answer
    }
}
