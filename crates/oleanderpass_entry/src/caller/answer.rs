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
pub const REQUEST_ID: &str = "oleanderpass-request-id";

/// The header with the configuration generation in force.
pub const GENERATION: &str = "oleanderpass-generation";

/// The header with the outcome.
pub const OUTCOME: &str = "oleanderpass-outcome";

/// The content type of JSON answers.
pub const JSON: &str = "application/json";

/// The content type of streams.
pub const EVENT_STREAM: &str = "text/event-stream";

/// Tell the request task when the caller's connection drops the request or its answer.
#[derive(Debug)]
pub struct CallerGuard(#[expect(dead_code, reason = "the drop is the signal")] oneshot::Sender<()>);

impl CallerGuard {
    /// Create the guard and the receiver that ends when the guard is dropped.
    pub fn channel() -> (Self, oneshot::Receiver<()>) {
        let (tx, rx) = oneshot::channel();
        (Self(tx), rx)
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum CallerBody {
    /// A body in one piece.
    Whole(Option<Bytes>),
    /// A stream that a request task fills. The guard is held until the stream has ended.
    Stream {
        /// The pieces.
        pieces: mpsc::Receiver<Bytes>,
        /// Held while the caller receives the stream.
        guard: Option<CallerGuard>,
    },
}

impl CallerBody {
    /// Attach the guard to a stream.
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
        let piece = match &mut *self {
            CallerBody::Whole(bytes) => bytes.take(),
            CallerBody::Stream { pieces, .. } => match pieces.poll_recv(cx) {
                Poll::Ready(piece) => piece,
                Poll::Pending => return Poll::Pending,
            },
        };
        Poll::Ready(piece.map(|bytes| Ok(Frame::data(bytes))))
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

/// What every answer carries.
#[derive(Clone, Debug)]
pub struct AnswerContext {
    /// The id of the request.
    pub req: RequestId,
    /// The generation in force.
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
    peer: String,
    cause: &'a str,
    outcome: Outcome,
    request_id: String,
    generation: Generation,
}

impl AnswerContext {
    /// Describe an error as JSON.
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
    pub fn error(&self, status: u16, outcome: Outcome, error: &StepError) -> Response<CallerBody> {
        let body = self.error_json(outcome, error);
        self.whole(status, JSON, body.into(), Some(outcome))
    }

    /// Build an answer in one piece.
    pub fn whole(
        &self,
        status: u16,
        content_type: &str,
        body: Bytes,
        outcome: Option<Outcome>,
    ) -> Response<CallerBody> {
        let body = CallerBody::Whole((!body.is_empty()).then_some(body));
        self.build(status, content_type, outcome, body)
    }

    /// Build the head of a stream. Its outcome follows in the last event.
    pub fn stream(&self, pieces: mpsc::Receiver<Bytes>) -> Response<CallerBody> {
        let body = CallerBody::Stream {
            pieces,
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
            headers.insert(REQUEST_ID, value);
        }
        headers.insert(GENERATION, HeaderValue::from(self.generation.get()));
        if let Some(outcome) = outcome {
            headers.insert(OUTCOME, HeaderValue::from_static(outcome.into()));
        }
        answer
    }
}
