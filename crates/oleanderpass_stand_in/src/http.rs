//! Serve HTTP/1.1 and simulate crashes: dropped connections and outages.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener as StdTcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use oleanderpass_proto::engine::Refusal;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Largest accepted request body. An entry instance accepts 8 MiB from a caller; the rest is room
/// for JSON escapes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Body of a response.
pub(crate) type Body = BoxBody<Bytes, Infallible>;

/// A listening server. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    /// End of the simulated outage; `None` until the first outage.
    down_until: watch::Sender<Option<Instant>>,
}

impl Server {
    /// Bind an address and serve requests until the server is dropped.
    ///
    /// A handler that returns `None` drops the connection without a response.
    pub(crate) fn start<H, F>(listen: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Option<Response<Body>>> + Send + 'static,
    {
        let listener = StdTcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let addr = listener.local_addr()?;
        let (down_until, outages) = watch::channel(None);
        tokio::spawn(accept_connections(listener, Arc::new(handler), outages));
        Ok(Self { addr, down_until })
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Drop all connections and, for the given time, close new ones as soon as they are accepted.
    pub(crate) fn drop_connections(&self, outage: Duration) {
        self.down_until.send_replace(Some(Instant::now() + outage));
    }
}

async fn accept_connections<H, F>(
    listener: TcpListener,
    handler: Arc<H>,
    mut outages: watch::Receiver<Option<Instant>>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            changed = outages.changed() => {
                connections.abort_all();
                // The sender is gone: the server was dropped.
                if changed.is_err() {
                    return;
                }
            }
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let down = outages.borrow().is_some_and(|until| Instant::now() < until);
                if let (Ok((stream, _)), false) = (accepted, down) {
                    connections.spawn(serve_connection(stream, Arc::clone(&handler)));
                }
            }
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: Arc<H>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    // Otherwise Nagle's algorithm would delay single tokens.
    let _ = stream.set_nodelay(true);
    // An error makes hyper drop the connection without a response, as a crashed server does.
    let service = service_fn(move |req| {
        let response = handler(req);
        async move {
            response
                .await
                .ok_or_else(|| io::Error::other("connection dropped"))
        }
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Read a whole body. Return `None` if it is longer than 16 MiB or breaks off.
pub(crate) async fn read_body(body: Incoming) -> Option<Bytes> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    Some(collected.to_bytes())
}

/// Read a body and parse it as JSON. Return `None` if either fails.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    serde_json::from_slice(&read_body(body).await?).ok()
}

/// Build a response.
pub(crate) fn response(
    status: StatusCode,
    content_type: &str,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let mut resp = Response::new(Full::new(body.into()).boxed());
    *resp.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        resp.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    resp
}

/// Build a response with JSON and status 200.
pub(crate) fn json_response(value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    response(StatusCode::OK, "application/json", body)
}

/// Build a plain-text response.
pub(crate) fn text_response(status: StatusCode, text: &'static str) -> Response<Body> {
    response(status, "text/plain", text)
}

/// Build the refusal of a request that was not started: status 503 with the header
/// `oleanderpass-started: false`.
pub(crate) fn refusal_response(reason: &str) -> Response<Body> {
    let mut resp = json_response(&Refusal {
        reason: reason.to_owned(),
    });
    *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let started = header::HeaderValue::from_static("false");
    resp.headers_mut().insert("oleanderpass-started", started);
    resp
}

/// Return a header as text; empty if it is missing or not visible ASCII.
pub(crate) fn header_text<'a>(req: &'a Request<Incoming>, name: &str) -> &'a str {
    req.headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Return the value of a parameter of the query string, without percent-decoding.
pub(crate) fn query_param<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Return whether the deadline of the header `oleanderpass-not-after-unix-ms` has passed; `None`
/// stands for a request without one.
pub(crate) fn past_deadline(not_after_unix_ms: Option<u64>) -> bool {
    not_after_unix_ms.is_some_and(|deadline| unix_ms() > deadline)
}

/// Return the wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Return a new incarnation number: the wall-clock time in milliseconds in the high 44 bits, random
/// low 20 bits.
pub(crate) fn new_incarnation() -> u64 {
    (unix_ms() << 20) | (rand::random::<u64>() & 0xF_FFFF)
}
