//! Serve one request: ask the gateway what to do until the caller has an answer.

use std::cell::Cell;
use std::cell::RefCell;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::StatusCode;
use http::Uri;
use oleanderpass_gateway::gateway::Next;
use oleanderpass_gateway::gateway::Rejection;
use oleanderpass_gateway::gateway::Request;
use oleanderpass_gateway::outcome::BAD_GATEWAY;
use oleanderpass_gateway::outcome::Execution;
use oleanderpass_gateway::outcome::UNAVAILABLE;
use oleanderpass_platform::answer;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::attempt;
use crate::attempt::Outcome;
use crate::body::CallerBody;
use crate::body::Piece;
use crate::clock::sleep_until;
use crate::node::Shared;

/// When a caller returns that asked before the instance knew its configuration. An instance reads
/// it within that time.
const STARTUP_WAIT: Millis = Millis::new(400);

/// One request and its caller.
pub(crate) struct Exchange {
    pub(crate) node: Shared,
    pub(crate) req: RefCell<Request>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) received: Timestamp,
    /// The last event that the caller has, from before this request.
    pub(crate) last_event: Option<u64>,
    /// The last event that the caller was sent for this request.
    pub(crate) last_delivered: Cell<Option<u64>>,
}

/// The way to the caller.
pub(crate) enum Reply {
    /// Nothing was sent.
    Waiting {
        /// Takes the answer.
        head: oneshot::Sender<Response<CallerBody>>,
    },
    /// A stream has begun.
    Streaming(mpsc::Sender<Piece>),
    /// The answer is complete.
    Done,
}

impl Reply {
    /// Send a whole answer, if nothing was sent yet. A stream that has begun is broken off.
    pub(crate) fn finish(&mut self, answer: Response<CallerBody>) {
        if let Self::Waiting { head } = std::mem::replace(self, Self::Done)
            && head.send(answer).is_err()
        {
            tracing::debug!("the caller left before its answer");
        }
    }

    /// Send the head of a stream, if nothing was sent yet.
    pub(crate) fn begin_stream(&mut self, status: StatusCode, headers: HeaderMap) {
        match std::mem::replace(self, Self::Done) {
            Self::Waiting { head } => {
                let (tx, body) = CallerBody::stream();
                if head.send(with_head(status, headers, body)).is_err() {
                    tracing::debug!("the caller left before its stream");
                }
                *self = Self::Streaming(tx);
            }
            other => *self = other,
        }
    }

    /// Send a piece of a stream. An error means that the caller is gone, which ends the exchange.
    pub(crate) async fn send(&mut self, piece: Piece) {
        if let Self::Streaming(tx) = self
            && tx.send(piece).await.is_err()
        {
            tracing::debug!("the caller left during its stream");
        }
    }
}

/// Join the parts of an answer.
pub(crate) fn with_head(
    status: StatusCode,
    headers: HeaderMap,
    body: CallerBody,
) -> Response<CallerBody> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// Create an answer of the system's own.
pub(crate) fn own_answer(
    status: u16,
    request: &str,
    retry_after: Option<Millis>,
    cause: &str,
) -> Response<CallerBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = CallerBody::whole(Bytes::from(format!("{cause}\n")));
    with_head(status, answer::own(request, retry_after), body)
}

/// Return the answer for a request that isn't admitted.
pub(crate) fn rejected(rejection: Rejection, request: &str) -> Response<CallerBody> {
    let (status, wait) = match rejection {
        Rejection::NotReady => (UNAVAILABLE, Some(STARTUP_WAIT)),
        Rejection::NoRoute => (StatusCode::NOT_FOUND.as_u16(), None),
        Rejection::Stopping => (UNAVAILABLE, Some(Millis::ZERO)),
        Rejection::UnknownKey => (StatusCode::UNAUTHORIZED.as_u16(), None),
    };
    own_answer(status, request, wait, &rejection.to_string())
}

impl Exchange {
    /// Serve the request until the caller has an answer.
    pub(crate) async fn run(&self, mut reply: Reply) {
        loop {
            let next = {
                let mut gateway = self.node.gateway.borrow_mut();
                gateway.next(self.node.now(), &mut self.req.borrow_mut())
            };
            match next {
                Next::Send(attempt) => {
                    self.node.work_changed.notify_one();
                    match attempt::run(self, &attempt, &mut reply).await {
                        Outcome::Again => {}
                        Outcome::Delivered(status) => {
                            self.log(status, "delivered", None);
                            return;
                        }
                    }
                }
                Next::Wait(at) => sleep_until(at).await,
                Next::End {
                    status,
                    cause,
                    retry_after,
                } => {
                    let cause = cause.to_string();
                    self.log(status, &cause, retry_after);
                    let id = self.req.borrow().spec.id.clone();
                    reply.finish(own_answer(status, &id, retry_after, &cause));
                    return;
                }
                Next::Rejected(rejection) => {
                    self.log(0, &rejection.to_string(), None);
                    let id = self.req.borrow().spec.id.clone();
                    let ran = self.req.borrow().worst_execution;
                    let answer = match ran {
                        Execution::NotRun => rejected(rejection, &id),
                        _ => own_answer(BAD_GATEWAY, &id, None, "the configuration changed"),
                    };
                    reply.finish(answer);
                    return;
                }
            }
        }
    }

    /// Log the end of the request.
    pub(crate) fn log(&self, status: u16, cause: &str, retry_after: Option<Millis>) {
        let req = self.req.borrow();
        let route = &req.admission.route;
        let elapsed = self.node.now().since(self.received);
        let kind = route.kind.to_string();
        let metrics = &self.node.metrics;
        metrics
            .answers
            .with_label_values(&[kind.as_str(), &status.to_string(), cause])
            .inc();
        metrics
            .request_time
            .with_label_values(&[kind.as_str()])
            .observe(elapsed.get() as f64 / 1_000.0);
        tracing::info!(
            request = %req.spec.id,
            route = %route.name,
            service = %req.admission.service,
            config_version = %req.admission.version,
            status,
            cause,
            execution = %req.worst_execution,
            sent = req.sent,
            unsent = req.unsent,
            prompt_tokens = req.spec.prompt.get(),
            elapsed_ms = elapsed.get(),
            deadline_ms = req.spec.deadline.since(self.received).get(),
            retry_after_ms = retry_after.map(Millis::get),
            "a request ended"
        );
    }
}
