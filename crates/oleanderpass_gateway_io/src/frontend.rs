//! Accept connections of callers and serve their requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;

use bytes::Bytes;
use eyre::Result;
use eyre::WrapErr;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use oleanderpass_gateway::config::CallerLimits;
use oleanderpass_gateway::gateway::RequestSpec;
use oleanderpass_platform::request;
use oleanderpass_platform::request::CallerHead;
use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Bytes as Size;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;

use crate::body::CallerBody;
use crate::clock::sleep_until;
use crate::exchange::CALLER_LEFT;
use crate::exchange::Exchange;
use crate::exchange::Reply;
use crate::exchange::instance_answer;
use crate::exchange::rejection_answer;
use crate::instance::SharedInstance;
use crate::instance::ShutdownPhase;

/// The limits that apply until the first configuration has been read. Source: the published limits.
const INITIAL_LIMITS: CallerLimits = CallerLimits {
    max_head: Size::new(16_384),
    max_body: Size::new(4_194_304),
    head_timeout: Millis::new(3_000),
    idle_timeout: Millis::new(15_000),
};

/// The smallest buffer for request heads that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: u64 = 8_192;

/// The most connections of callers that are open at a time. Each takes one of the 4,100 file
/// descriptors of the process; connections to backend servers and peers need the rest.
const MAX_CONNECTIONS: usize = 2_500;

/// The most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// HTTP status: the request is malformed.
const BAD_REQUEST: u16 = 400;
/// HTTP status: the body is too large.
const TOO_LARGE: u16 = 413;
/// HTTP status: the body did not arrive in time. The request did not run.
const REQUEST_TIMEOUT: u16 = 408;

/// Listen for TCP connections on an address.
///
/// # Errors
///
/// Return the cause when the address can't be used.
pub(crate) fn listen(addr: std::net::SocketAddr) -> Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4().wrap_err("create a socket")?;
    socket.set_reuseaddr(true).wrap_err("set SO_REUSEADDR")?;
    socket.bind(addr).wrap_err_with(|| format!("bind {addr}"))?;
    socket
        .listen(BACKLOG)
        .wrap_err_with(|| format!("listen on {addr}"))
}

/// Accept connections of callers until the process ends. `open_connections` counts the open ones.
pub(crate) async fn run(
    instance: SharedInstance,
    listener: TcpListener,
    open_connections: std::rc::Rc<Cell<usize>>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "could not accept a connection of a caller");
                sleep_until(instance.now() + Millis::new(10)).await;
                continue;
            }
        };
        if open_connections.get() >= MAX_CONNECTIONS {
            tracing::warn!(
                open = open_connections.get(),
                "too many connections of callers; closed a new one"
            );
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let (instance, open_connections) = (instance.clone(), open_connections.clone());
        tokio::task::spawn_local(async move {
            serve(&instance, stream).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

/// Return the limits of the configuration in force, or the initial ones before the first
/// configuration.
fn limits(instance: &SharedInstance) -> CallerLimits {
    let gateway = instance.gateway.borrow();
    gateway
        .configuration()
        .map_or(INITIAL_LIMITS, |config| config.limits)
}

/// Serve the requests of one connection.
async fn serve(instance: &SharedInstance, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "could not set TCP_NODELAY");
    }
    let limits = limits(instance);
    let service = service_fn(|req| {
        let instance = instance.clone();
        async move { Ok::<_, Infallible>(handle(instance, req).await) }
    });
    // The library's timeout for reading a head also covers the time for which a connection waits
    // for its next request, so it is set to the idle timeout and not to the timeout for heads.
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
    let result = tokio::select! {
        result = &mut connection => result,
        _ = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "a caller's connection ended");
    }
}

/// Answer a request. While the instance shuts down, ask the caller to close the connection.
async fn handle(instance: SharedInstance, req: Request<Incoming>) -> Response<CallerBody> {
    let received = instance.now();
    instance.metrics.in_flight.inc();
    let mut answer = answer(&instance, received, req).await;
    instance.metrics.in_flight.dec();
    if *instance.shutdown.borrow() != ShutdownPhase::Serving {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

/// Admit a request, read its body and return the head of its answer.
async fn answer(
    instance: &SharedInstance,
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
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let admitted = {
        let mut gateway = instance.gateway.borrow_mut();
        let draw = gateway.draw();
        let admission = gateway.admit(received, &head.host, path, head.key.as_deref(), draw);
        admission.map(|admission| (admission, draw))
    };
    let (admission, draw) = match admitted {
        Ok(admitted) => admitted,
        Err(rejection) => {
            let version = instance
                .gateway
                .borrow()
                .configuration()
                .map(|config| config.version.get());
            tracing::info!(
                request = %head.id,
                host = %head.host,
                path,
                config_version = version,
                cause = %rejection,
                "a request was not admitted"
            );
            let cause = rejection.to_string();
            instance
                .metrics
                .answers
                .with_label_values(&["none", "none", cause.as_str()])
                .inc();
            return rejection_answer(rejection, &head.id);
        }
    };
    let timeout = head.timeout.unwrap_or(admission.route.timeout);
    let deadline = received + timeout.min(admission.route.timeout);
    let body = match read_body(instance, body, deadline).await {
        Ok(body) => body,
        Err(status) => {
            tracing::info!(request = %head.id, status, "could not read the body of a request");
            return instance_answer(status, &head.id, None, "no whole body");
        }
    };
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
        signature: signature(&head, path, &body),
    };
    let mut body_share = instance.memory.empty_share();
    body_share.take(Size::new(body.len() as u64));
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

/// Read the body of a request. Return the HTTP status of the answer if it can't be read in time.
async fn read_body(
    instance: &SharedInstance,
    body: Incoming,
    deadline: Timestamp,
) -> std::result::Result<Bytes, u16> {
    let limit = limits(instance).max_body.get() as usize;
    tokio::select! {
        body = Limited::new(body, limit).collect() => match body {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(TOO_LARGE),
            Err(error) => {
                tracing::debug!(%error, "the connection broke within a body");
                Err(BAD_REQUEST)
            }
        },
        () = sleep_until(deadline) => Err(REQUEST_TIMEOUT),
    }
}

/// Return the hash of a request's path, key and body, by which requests that crash backend servers
/// are recognised.
fn signature(head: &CallerHead, path: &str, body: &[u8]) -> Signature {
    let mut hash = Xxh3::new();
    for part in [
        path.as_bytes(),
        head.key.as_deref().unwrap_or("").as_bytes(),
        body,
    ] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    Signature(hash.digest())
}
