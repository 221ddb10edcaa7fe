//! Accept connections of callers and serve their requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use oleanderpass_gateway::callers::STALL;
use oleanderpass_gateway::callers::UploadEnd;
use oleanderpass_gateway::config::CallerLimits;
use oleanderpass_gateway::gateway::Admission;
use oleanderpass_gateway::gateway::Rejection;
use oleanderpass_gateway::gateway::RequestSpec;
use oleanderpass_gateway::memory::Share;
use oleanderpass_gateway::outcome::UNAVAILABLE;
use oleanderpass_platform::request;
use oleanderpass_platform::request::CallerHead;
use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Bytes as Size;
use prometheus::IntGauge;
use smol_str::SmolStr;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;

use crate::body::CallerBody;
use crate::body::RequestBody;
use crate::body::TrackedBody;
use crate::callers;
use crate::callers::CallerConnection;
use crate::callers::CallerStream;
use crate::clock::sleep_until;
use crate::endpoints;
use crate::endpoints::Endpoint;
use crate::exchange::CALLER_LEFT;
use crate::exchange::Exchange;
use crate::exchange::Reply;
use crate::exchange::instance_answer;
use crate::exchange::rejection_answer;
use crate::instance::SharedInstance;
use crate::instance::ShutdownPhase;
use crate::socket_options;
use crate::socket_options::SocketOption;

/// The limits that apply until the first configuration has been read. Source: the published limits.
const INITIAL_LIMITS: CallerLimits = CallerLimits {
    max_head: Size::new(16_384),
    max_body: Size::new(4_194_304),
    head_timeout: Millis::new(3_000),
    idle_timeout: Millis::new(15_000),
};

/// The smallest buffer for request heads that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: u64 = 8_192;

/// The bytes of an answer that wait in the socket of a caller, in addition to those on their way.
const UNSENT_BYTES: u32 = 64 * 1024;

/// HTTP status: the request is malformed.
const BAD_REQUEST: u16 = 400;
/// HTTP status: the body is too large.
const TOO_LARGE: u16 = 413;
/// HTTP status: the body did not arrive in time. The request did not run.
const REQUEST_TIMEOUT: u16 = 408;

/// The `Retry-After` of an answer to a request whose body found no memory. Uploads without progress
/// are refused after as long.
const MEMORY_RETRY_AFTER: Millis = STALL;

/// Accept connections of callers until the process ends.
pub(crate) async fn run(instance: SharedInstance) {
    let listener = endpoints::listen(&instance, Endpoint::Callers).await;
    loop {
        let (stream, addr) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(%error, "could not accept a connection of a caller");
                sleep_until(instance.now() + Millis::new(10)).await;
                continue;
            }
        };
        let Some(caller) = callers::admit(&instance, addr) else {
            continue;
        };
        let instance = instance.clone();
        tokio::task::spawn_local(async move {
            let limits = limits(&instance);
            serve(&instance, &limits, stream, &caller).await;
            caller.linger(&limits).await;
            instance.callers.remove(&caller);
        });
    }
}

/// Return the limits of the configuration in force, or the initial ones before the first
/// configuration.
pub(crate) fn limits(instance: &SharedInstance) -> CallerLimits {
    let gateway = instance.gateway.borrow();
    gateway
        .configuration()
        .map_or(INITIAL_LIMITS, |config| config.limits)
}

/// Serve the requests of one connection.
async fn serve(
    instance: &SharedInstance,
    limits: &CallerLimits,
    stream: TcpStream,
    caller: &Rc<CallerConnection>,
) {
    socket_options::record(SocketOption::TcpNodelay, stream.set_nodelay(true));
    // Without it, a caller that reads slowly leaves the socket unwritable for seconds, until a third
    // of a large send buffer is free, and looks like one that reads nothing.
    let lowat = SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_BYTES);
    socket_options::record(SocketOption::TcpNotsentLowat, lowat);
    let service = service_fn(|req| {
        let (instance, caller) = (instance.clone(), caller.clone());
        async move { Ok::<_, Infallible>(handle(instance, caller, req).await) }
    });
    // The library's timeout for reading a head also covers the time for which a connection waits
    // for its next request, so it is set to the idle timeout. The timeout for heads is checked apart.
    let stream = CallerStream::new(stream, caller.clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Some(limits.idle_timeout.into()))
        .max_buf_size(limits.max_head.get().max(MIN_HEAD_BUFFER_BYTES) as usize)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut shutdown = instance.shutdown.subscribe();
    let closing = async {
        // An error means that the process is about to end.
        shutdown
            .wait_for(|phase| *phase == ShutdownPhase::Closing)
            .await
            .is_ok()
    };
    let serving = async {
        tokio::select! {
            result = &mut connection => result,
            _ = closing => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    tokio::select! {
        result = serving => {
            if let Err(error) = result {
                tracing::debug!(%error, "a caller's connection ended");
            }
        }
        () = caller.closed() => {}
    }
}

/// Counts a request whose answer has not begun. The library drops the request when its caller leaves.
struct InFlight(IntGauge);

impl InFlight {
    fn new(instance: &SharedInstance) -> Self {
        let gauge = instance.metrics.in_flight.clone();
        gauge.inc();
        Self(gauge)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Answer a request. While the instance shuts down, ask the caller to close the connection.
async fn handle(
    instance: SharedInstance,
    caller: Rc<CallerConnection>,
    req: Request<Incoming>,
) -> Response<TrackedBody> {
    let received = instance.now();
    caller.on_request();
    let in_flight = InFlight::new(&instance);
    let mut answer = answer(&instance, &caller, received, req).await;
    drop(in_flight);
    if *instance.shutdown.borrow() != ShutdownPhase::Serving {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer.map(|body| TrackedBody::new(body, caller))
}

/// Admit a request, read its body and return the head of its answer.
async fn answer(
    instance: &SharedInstance,
    caller: &CallerConnection,
    received: Timestamp,
    req: Request<Incoming>,
) -> Response<CallerBody> {
    let (parts, body) = req.into_parts();
    let head = match request::decode(&parts.headers) {
        Ok(head) => head,
        Err(error) => {
            tracing::info!(
                error = format!("{error:#}"),
                "a request has a malformed head"
            );
            return instance_answer(BAD_REQUEST, "", None, "bad request head");
        }
    };
    if let Err(end) = callers::make_room_for_head(instance, caller) {
        callers::log_refused(instance, caller, &head.id, end, 0);
        return refusal(caller, &head.id, end);
    }
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let draw = instance.gateway.borrow_mut().draw();
    let mut admission = match admit(instance, received, &head, path, draw) {
        Ok(admission) => admission,
        Err(rejection) => return rejection_answer(rejection, &head.id),
    };
    let timeout = head.timeout.unwrap_or(admission.route.timeout);
    let deadline = received + timeout.min(admission.route.timeout);
    let (body, body_share) = match read_body(instance, caller, &head.id, body, deadline).await {
        Ok(received) => received,
        Err(end) => return refusal(caller, &head.id, end),
    };
    // A body that arrived slowly may be whole too late for a process that stops.
    if *instance.shutdown.borrow() != ShutdownPhase::Serving {
        admission = match admit(instance, instance.now(), &head, path, draw) {
            Ok(admission) => admission,
            Err(rejection) => return rejection_answer(rejection, &head.id),
        };
    }
    let spec = RequestSpec {
        id: head.id.clone(),
        host: head.host.clone(),
        path: SmolStr::new(path),
        key: head.key.clone(),
        prompt: head.prompt,
        max_output: head.max_output,
        shared_parts: head.shared_parts.clone(),
        received,
        deadline,
        signature: signature(&head, path, body.pieces()),
    };
    let request = instance.gateway.borrow_mut().begin(spec, admission, draw);
    let (reply, answer) = oneshot::channel();
    let exchange = Exchange {
        instance: instance.clone(),
        req: RefCell::new(request),
        method: parts.method,
        uri: parts.uri.clone(),
        headers: parts.headers,
        body,
        _body_share: body_share,
        received,
        last_event: head.last_event,
        last_delivered: Cell::new(None),
        reply: RefCell::new(Reply::Waiting { head: reply }),
        attempts_changed: Notify::new(),
    };
    spawn_exchange(exchange, answer).await
}

/// Decide whether to take on a request.
///
/// # Errors
///
/// Return why the request isn't admitted. It is logged and counted.
fn admit(
    instance: &SharedInstance,
    now: Timestamp,
    head: &CallerHead,
    path: &str,
    draw: u32,
) -> std::result::Result<Admission, Rejection> {
    let gateway = instance.gateway.borrow();
    let admitted = gateway.admit(now, &head.host, path, head.key.as_deref(), draw);
    admitted.inspect_err(|rejection| {
        tracing::info!(
            request = %head.id,
            host = %head.host,
            path,
            config_version = gateway.configuration().map(|config| config.version.get()),
            cause = %rejection,
            "a request was not admitted"
        );
        let cause = rejection.to_string();
        instance
            .metrics
            .answers
            .with_label_values(&["none", "none", cause.as_str()])
            .inc();
    })
}

/// Run an exchange in a separate task and wait for the head of its answer. The task is stopped when
/// the caller leaves.
async fn spawn_exchange(
    exchange: Exchange,
    answer: oneshot::Receiver<Response<CallerBody>>,
) -> Response<CallerBody> {
    // When the caller leaves, the library drops this future or the body of the answer, and the
    // guard with it.
    let (caller_guard, caller_left) = oneshot::channel::<()>();
    tokio::task::spawn_local(async move {
        tokio::select! {
            biased;
            () = exchange.run() => {}
            _ = caller_left => exchange.log(0, CALLER_LEFT, None),
        }
    });
    match answer.await {
        Ok(mut answer) => {
            answer.body_mut().set_caller_guard(caller_guard);
            answer
        }
        Err(_) => instance_answer(
            StatusCode::INTERNAL_SERVER_ERROR.as_u16(),
            "",
            None,
            "the request's task ended",
        ),
    }
}

/// Read the body of a request. Return it with the memory that it takes.
///
/// # Errors
///
/// Return why it was not received.
async fn read_body(
    instance: &SharedInstance,
    caller: &CallerConnection,
    request: &str,
    mut body: Incoming,
    deadline: Timestamp,
) -> std::result::Result<(RequestBody, Share), UploadEnd> {
    if body.is_end_stream() {
        return Ok((RequestBody::default(), instance.memory.empty_share()));
    }
    let limit = limits(instance).max_body.get();
    let mut received = 0;
    let reading = async {
        // The announced length, if there is one.
        if body.size_hint().lower() > limit {
            return Err(UploadEnd::TooLarge);
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                tracing::debug!(%error, "the connection broke within a body");
                UploadEnd::Broken
            })?;
            if let Some(data) = frame.data_ref() {
                received += data.len();
                if received as u64 > limit {
                    return Err(UploadEnd::TooLarge);
                }
                callers::append(instance, caller, data)?;
            }
        }
        Ok(())
    };
    caller.begin_upload(&instance.memory);
    let result = tokio::select! {
        biased;
        end = caller.upload_ended() => Err(end),
        result = reading => result,
        () = sleep_until(deadline) => Err(UploadEnd::Deadline),
    };
    let pieces = caller.finish_upload();
    match result.and_then(|()| pieces.ok_or(UploadEnd::Evicted)) {
        Ok(pieces) => {
            let (pieces, share) = pieces.into_parts();
            Ok((RequestBody::new(pieces), share))
        }
        Err(end) => {
            callers::log_refused(instance, caller, request, end, received);
            Err(end)
        }
    }
}

/// Create the answer to a request whose body was not received. The connection closes after it.
fn refusal(caller: &CallerConnection, request: &str, end: UploadEnd) -> Response<CallerBody> {
    caller.on_refused();
    let (status, retry_after) = match end {
        UploadEnd::TooLarge => (TOO_LARGE, None),
        UploadEnd::Stalled | UploadEnd::Deadline => (REQUEST_TIMEOUT, None),
        UploadEnd::NoMemory | UploadEnd::Evicted => (UNAVAILABLE, Some(MEMORY_RETRY_AFTER)),
        UploadEnd::Broken => (BAD_REQUEST, None),
    };
    let mut answer = instance_answer(status, request, retry_after, "no whole body");
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(header::CONNECTION, close);
    answer
}

/// Return the hash of a request's path, key and body, by which requests that crash backend servers
/// are recognised.
fn signature(head: &CallerHead, path: &str, body: &[Bytes]) -> Signature {
    let mut hash = Xxh3::new();
    for part in [
        path.as_bytes(),
        head.key.as_deref().unwrap_or("").as_bytes(),
    ] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let body_len: usize = body.iter().map(Bytes::len).sum();
    hash.update(&(body_len as u64).to_le_bytes());
    body.iter().for_each(|piece| hash.update(piece));
    Signature(hash.digest())
}
