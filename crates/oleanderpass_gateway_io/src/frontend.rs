//! Serve callers.

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
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;

use crate::body::CallerBody;
use crate::clock::sleep_until;
use crate::exchange::Exchange;
use crate::exchange::Reply;
use crate::exchange::own_answer;
use crate::exchange::rejected;
use crate::node::Shared;
use crate::node::Stop;

/// What callers may send before the first configuration. Source: the published limits of today.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    max_head: Size::new(16_384),
    max_body: Size::new(4_194_304),
    head_timeout: Millis::new(3_000),
    idle_timeout: Millis::new(15_000),
};

/// The smallest head buffer that the HTTP library accepts.
const MIN_HEAD_BUFFER: u64 = 8_192;

/// The connections of callers at a time. Each takes a descriptor; backend servers and
/// peers need the rest of the 4,100.
const MAX_CONNECTIONS: usize = 2_500;

/// The connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// HTTP: the request can't be understood.
const BAD_REQUEST: u16 = 400;
/// HTTP: the body is too large.
const TOO_LARGE: u16 = 413;
/// HTTP: the body did not arrive in time. The request did not run.
const REQUEST_TIMEOUT: u16 = 408;

/// Listen for callers.
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

/// Accept callers until the process ends. `open` counts their connections.
pub(crate) async fn run(node: Shared, listener: TcpListener, open: std::rc::Rc<Cell<usize>>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "could not accept a caller");
                sleep_until(node.now() + Millis::new(10)).await;
                continue;
            }
        };
        if open.get() >= MAX_CONNECTIONS {
            tracing::warn!(
                open = open.get(),
                "too many callers; closed a new connection"
            );
            continue;
        }
        open.set(open.get() + 1);
        let (node, open) = (node.clone(), open.clone());
        tokio::task::spawn_local(async move {
            serve(&node, stream).await;
            open.set(open.get() - 1);
        });
    }
}

fn limits(node: &Shared) -> CallerLimits {
    let gateway = node.gateway.borrow();
    gateway
        .configuration()
        .map_or(FIRST_LIMITS, |config| config.limits)
}

async fn serve(node: &Shared, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "could not set TCP_NODELAY");
    }
    let limits = limits(node);
    let service = service_fn(|req| {
        let node = node.clone();
        async move { Ok::<_, Infallible>(handle(node, req).await) }
    });
    // The library's limit also covers the time in which a connection waits for its next request, so
    // it is the idle time and not the time for a head.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Some(limits.idle_timeout.into()))
        .max_buf_size(limits.max_head.get().max(MIN_HEAD_BUFFER) as usize)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut stop = node.stop.subscribe();
    let closing = async {
        // An error means that the process ends.
        stop.wait_for(|stop| *stop == Stop::Closing).await.is_ok()
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

async fn handle(node: Shared, req: Request<Incoming>) -> Response<CallerBody> {
    let received = node.now();
    node.metrics.in_flight.inc();
    let mut answer = answer(&node, received, req).await;
    node.metrics.in_flight.dec();
    if *node.stop.borrow() != Stop::No {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

async fn answer(
    node: &Shared,
    received: Timestamp,
    req: Request<Incoming>,
) -> Response<CallerBody> {
    let (parts, body) = req.into_parts();
    let head = match request::decode(&parts.headers) {
        Ok(head) => head,
        Err(error) => {
            tracing::info!(error = format!("{error:#}"), "a request has a bad head");
            return own_answer(BAD_REQUEST, "", None, "bad request head");
        }
    };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let admitted = {
        let mut gateway = node.gateway.borrow_mut();
        let draw = gateway.draw();
        let admission = gateway.admit(received, &head.host, path, head.key.as_deref(), draw);
        admission.map(|admission| (admission, draw))
    };
    let (admission, draw) = match admitted {
        Ok(admitted) => admitted,
        Err(rejection) => {
            let version = node
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
            node.metrics
                .answers
                .with_label_values(&["none", "none", cause.as_str()])
                .inc();
            return rejected(rejection, &head.id);
        }
    };
    let time = head.time.unwrap_or(admission.route.timeout);
    let deadline = received + time.min(admission.route.timeout);
    let body = match read_body(node, body, deadline).await {
        Ok(body) => body,
        Err(status) => {
            tracing::info!(request = %head.id, status, "a request has no whole body");
            return own_answer(status, &head.id, None, "no whole body");
        }
    };
    let spec = RequestSpec {
        id: head.id.clone(),
        host: head.host.clone(),
        path: SmolStr::new(path),
        key: head.key.clone(),
        prompt: head.prompt,
        max_output: head.output,
        received,
        deadline,
        signature: signature(&head, path, &body),
    };
    let request = node.gateway.borrow_mut().begin(spec, admission, draw);
    let exchange = Exchange {
        node: node.clone(),
        req: RefCell::new(request),
        method: parts.method,
        uri: parts.uri.clone(),
        headers: parts.headers,
        body,
        received,
        last_event: head.last_event,
        last_delivered: Cell::new(None),
    };
    start(exchange).await
}

/// Run an exchange in a task of its own and wait for the head of its answer. The task ends when the
/// caller leaves.
async fn start(exchange: Exchange) -> Response<CallerBody> {
    let (head, answer) = oneshot::channel();
    // Dropped with this future or with the body of the answer, when the caller leaves.
    let (presence, caller_left) = oneshot::channel::<()>();
    tokio::task::spawn_local(async move {
        let reply = Reply::Waiting { head };
        tokio::select! {
            biased;
            () = exchange.run(reply) => {}
            _ = caller_left => exchange.log(0, "caller_left", None),
        }
    });
    match answer.await {
        Ok(mut answer) => {
            answer.body_mut().watch_caller(presence);
            answer
        }
        Err(_) => own_answer(
            StatusCode::INTERNAL_SERVER_ERROR.as_u16(),
            "",
            None,
            "the request's task ended",
        ),
    }
}

async fn read_body(
    node: &Shared,
    body: Incoming,
    deadline: Timestamp,
) -> std::result::Result<Bytes, u16> {
    let limit = limits(node).max_body.get() as usize;
    tokio::select! {
        body = Limited::new(body, limit).collect() => match body {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(TOO_LARGE),
            Err(error) => {
                tracing::debug!(%error, "a body broke off");
                Err(BAD_REQUEST)
            }
        },
        () = sleep_until(deadline) => Err(REQUEST_TIMEOUT),
    }
}

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
