//! Serve one request: carry out the decisions of the gateway until the caller has an answer.

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::Pin;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::StatusCode;
use http::Uri;
use oleanderpass_gateway::gateway::Attempt;
use oleanderpass_gateway::gateway::Next;
use oleanderpass_gateway::gateway::Rejection;
use oleanderpass_gateway::gateway::Request;
use oleanderpass_gateway::load::AttemptId;
use oleanderpass_gateway::memory::Share;
use oleanderpass_gateway::outcome::BAD_GATEWAY;
use oleanderpass_gateway::outcome::Execution;
use oleanderpass_gateway::outcome::UNAVAILABLE;
use oleanderpass_platform::answer;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::attempt;
use crate::attempt::Outcome;
use crate::body::CallerBody;
use crate::body::MAX_QUEUED_CHUNKS;
use crate::body::RequestBody;
use crate::body::StreamChunk;
use crate::clock::sleep_until;
use crate::instance::SharedInstance;
use crate::metrics::prompt_length_label;
use crate::pieces::PIECE_BYTES;

/// The `Retry-After` of an answer to a request that came before the instance had read its
/// configuration and the list of backend servers. An instance reads them within this time.
const STARTUP_RETRY_AFTER: Millis = Millis::new(400);

/// The cause in the log of a request whose answer was delivered.
const DELIVERED: &str = "delivered";

/// The cause in the log of a request whose caller left.
pub(crate) const CALLER_LEFT: &str = "caller_left";

/// One request and its caller.
pub(crate) struct Exchange {
    pub(crate) instance: SharedInstance,
    pub(crate) req: RefCell<Request>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: RequestBody,
    /// The memory that the body takes.
    pub(crate) _body_share: Share,
    pub(crate) received: Timestamp,
    /// The last event that the caller had before this request, by its `Last-Event-ID`.
    pub(crate) last_event: Option<u64>,
    /// The last event that was sent to the caller for this request.
    pub(crate) last_delivered: Cell<Option<u64>>,
    /// The state of the answer to the caller.
    pub(crate) reply: RefCell<Reply>,
    /// Notified when a server falls silent, and when an attempt supersedes another one.
    pub(crate) attempts_changed: Notify,
}

/// The state of the answer to the caller.
pub(crate) enum Reply {
    /// Nothing has been sent.
    Waiting {
        /// Where the answer goes. The body of a stream comes with it and is filled later.
        head: oneshot::Sender<Response<CallerBody>>,
    },
    /// A stream has begun. Its chunks go to this sender.
    Streaming(mpsc::Sender<StreamChunk>),
    /// The answer is complete or was given up.
    Done,
}

impl Reply {
    /// Send a complete answer if nothing has been sent yet. A stream that has begun is broken off
    /// instead.
    fn finish(&mut self, answer: Response<CallerBody>) {
        if let Self::Waiting { head } = std::mem::replace(self, Self::Done)
            && head.send(answer).is_err()
        {
            tracing::debug!("the caller left before its answer");
        }
    }

    /// Send the head of a stream if nothing has been sent yet.
    fn begin_stream(&mut self, status: StatusCode, headers: HeaderMap) {
        match std::mem::replace(self, Self::Done) {
            Self::Waiting { head } => {
                let (tx, body) = CallerBody::stream();
                if head.send(build_answer(status, headers, body)).is_err() {
                    tracing::debug!("the caller left before its stream");
                }
                *self = Self::Streaming(tx);
            }
            other => *self = other,
        }
    }
}

/// Build an answer from its parts.
pub(crate) fn build_answer(
    status: StatusCode,
    headers: HeaderMap,
    body: CallerBody,
) -> Response<CallerBody> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// Create an answer that this instance gives by itself, with `cause` as its body.
pub(crate) fn instance_answer(
    status: u16,
    request: &str,
    retry_after: Option<Millis>,
    cause: &str,
) -> Response<CallerBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = CallerBody::own(Bytes::from(format!("{cause}\n")));
    build_answer(status, answer::instance_headers(request, retry_after), body)
}

/// Create the answer to a request that isn't admitted.
pub(crate) fn rejection_answer(rejection: Rejection, request: &str) -> Response<CallerBody> {
    let (status, retry_after) = match rejection {
        Rejection::NotReady => (UNAVAILABLE, Some(STARTUP_RETRY_AFTER)),
        Rejection::NoRoute => (StatusCode::NOT_FOUND.as_u16(), None),
        Rejection::Stopping => (UNAVAILABLE, Some(Millis::ZERO)),
        Rejection::UnknownKey => (StatusCode::UNAUTHORIZED.as_u16(), None),
    };
    instance_answer(status, request, retry_after, &rejection.to_string())
}

/// An attempt in progress.
struct InFlight<'a> {
    id: AttemptId,
    outcome: Pin<Box<dyn Future<Output = Outcome> + 'a>>,
}

/// Wait for the outcome of an attempt, or forever if there is none.
async fn outcome_of(attempt: &mut Option<InFlight<'_>>) -> Outcome {
    match attempt {
        Some(attempt) => attempt.outcome.as_mut().await,
        None => std::future::pending().await,
    }
}

impl Exchange {
    /// Serve the request until the caller has an answer.
    pub(crate) async fn run(&self) {
        let mut lead = None;
        // Runs beside the lead while the server of the lead is silent.
        let mut hedge = None;
        loop {
            if lead.is_none() {
                match self.begin_next().await {
                    Some(attempt) => lead = Some(attempt),
                    None => return,
                }
            }
            let hedge_due = {
                let attempts = &self.req.borrow().attempts;
                attempts.hedge_due(self.instance.now())
            };
            let outcome = tokio::select! {
                biased;
                outcome = outcome_of(&mut lead) => {
                    lead = hedge.take();
                    outcome
                }
                outcome = outcome_of(&mut hedge) => {
                    hedge = None;
                    outcome
                }
                () = self.attempts_changed.notified() => {
                    self.drop_superseded(&mut lead, &mut hedge);
                    Outcome::Undelivered
                }
                () = sleep_until(hedge_due.unwrap_or_default()), if hedge_due.is_some() => {
                    hedge = self.begin_hedge();
                    Outcome::Undelivered
                }
            };
            if let Outcome::Delivered(status) = outcome {
                self.log(status, DELIVERED, None);
                return;
            }
        }
    }

    /// Drop the attempt that another one has superseded. The remaining one is the lead.
    fn drop_superseded<'a>(
        &self,
        lead: &mut Option<InFlight<'a>>,
        hedge: &mut Option<InFlight<'a>>,
    ) {
        let is_superseded = |attempt: &mut InFlight<'a>| {
            let attempts = &self.req.borrow().attempts;
            attempts.is_superseded(attempt.id)
        };
        // An attempt reports its end when it is dropped, which changes the request.
        let dropped = lead.take_if(is_superseded);
        if dropped.is_some() {
            *lead = hedge.take();
        } else {
            drop(hedge.take_if(is_superseded));
        }
    }

    /// Begin an attempt beside the lead, if another server may get the request now.
    fn begin_hedge(&self) -> Option<InFlight<'_>> {
        let attempt = {
            let mut gateway = self.instance.gateway.borrow_mut();
            gateway.hedge(self.instance.now(), &mut self.req.borrow_mut())
        };
        attempt.map(|attempt| self.begin(attempt))
    }

    fn begin(&self, attempt: Box<Attempt>) -> InFlight<'_> {
        self.instance.load_changed.notify_one();
        InFlight {
            id: attempt.id,
            outcome: Box::pin(attempt::run(self, attempt)),
        }
    }

    /// Begin the next attempt of a request that has none in flight. Return `None` once the request
    /// has ended.
    async fn begin_next(&self) -> Option<InFlight<'_>> {
        loop {
            let next = {
                let mut gateway = self.instance.gateway.borrow_mut();
                gateway.next(self.instance.now(), &mut self.req.borrow_mut())
            };
            match next {
                Next::Send(attempt) => return Some(self.begin(attempt)),
                Next::Wait(at) => sleep_until(at).await,
                Next::End {
                    status,
                    cause,
                    retry_after,
                } => {
                    let cause = cause.to_string();
                    self.log(status, &cause, retry_after);
                    let id = self.req.borrow().spec.id.clone();
                    self.finish(instance_answer(status, &id, retry_after, &cause));
                    return None;
                }
                Next::Rejected(rejection) => {
                    self.log(0, &rejection.to_string(), None);
                    let id = self.req.borrow().spec.id.clone();
                    let execution = self.req.borrow().worst_execution;
                    let answer = match execution {
                        Execution::NotRun => rejection_answer(rejection, &id),
                        _ => instance_answer(BAD_GATEWAY, &id, None, "the configuration changed"),
                    };
                    self.finish(answer);
                    return None;
                }
            }
        }
    }

    /// Send a complete answer to the caller if nothing has been sent yet. A stream that has begun is
    /// broken off instead.
    pub(crate) fn finish(&self, answer: Response<CallerBody>) {
        self.reply.borrow_mut().finish(answer);
    }

    /// Send the head of a stream to the caller if nothing has been sent yet.
    pub(crate) fn begin_stream(&self, status: StatusCode, headers: HeaderMap) {
        self.reply.borrow_mut().begin_stream(status, headers);
    }

    /// Send a chunk of a stream, once the caller has read enough of the earlier ones. If the caller
    /// has left, the chunk is dropped; the task of the exchange is then stopped.
    pub(crate) async fn send(&self, chunk: StreamChunk) {
        let tx = match &*self.reply.borrow() {
            Reply::Streaming(tx) => tx.clone(),
            Reply::Waiting { .. } | Reply::Done => return,
        };
        let is_large = matches!(&chunk, StreamChunk::Data(data) if data.len() > PIECE_BYTES);
        // A large chunk waits until the caller has taken all earlier ones.
        let room = if is_large { MAX_QUEUED_CHUNKS } else { 1 };
        match tx.reserve_many(room).await {
            Ok(mut permits) => {
                if let Some(permit) = permits.next() {
                    permit.send(chunk);
                }
            }
            Err(_) => tracing::debug!("the caller left during its stream"),
        }
    }

    /// Record that an attempt has something new for the caller. Return once the caller may get it,
    /// or never if another attempt was first; the exchange then drops this one.
    pub(crate) async fn claim(&self, attempt: &Attempt) {
        let (was_hedged, is_first) = {
            let attempts = &mut self.req.borrow_mut().attempts;
            (attempts.has_hedge(), attempts.on_answer(attempt.id))
        };
        if was_hedged {
            self.attempts_changed.notify_one();
        }
        if !is_first {
            std::future::pending().await
        }
    }

    /// Log and count the end of the request. `status` is 0 if the caller left, or if a changed
    /// configuration no longer admits the request.
    pub(crate) fn log(&self, status: u16, cause: &str, retry_after: Option<Millis>) {
        let req = self.req.borrow();
        let route = &req.admission.route;
        let elapsed = self.instance.now().since(self.received);
        let kind = route.kind.to_string();
        let metrics = &self.instance.metrics;
        metrics
            .answers
            .with_label_values(&[kind.as_str(), &status.to_string(), cause])
            .inc();
        metrics
            .answers_by_prompt
            .with_label_values(&[prompt_length_label(req.spec.prompt), cause])
            .inc();
        if req.delivering && cause != DELIVERED && cause != CALLER_LEFT {
            metrics.cut_streams.with_label_values(&[cause]).inc();
        }
        metrics
            .request_time
            .with_label_values(&[kind.as_str()])
            .observe(elapsed.get() as f64 / 1_000.0);
        let gateway = self.instance.gateway.borrow();
        let in_force = gateway.configuration().map(|config| config.version.get());
        tracing::info!(
            request = %req.spec.id,
            route = %route.name,
            service = %req.admission.service,
            config_version = %req.admission.version,
            in_force,
            draining = gateway.is_draining(),
            status,
            cause,
            last_event = self.last_delivered.get(),
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
