//! Serve HTTP/1.1 with the means that tests need: dropped connections and outages.

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

/// The largest accepted body: the caller port's 8 MiB with room for JSON escapes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The body of an answer.
pub(crate) type Body = BoxBody<Bytes, Infallible>;

/// A listening server. It stops, with its connections, when it is dropped.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    down_until: watch::Sender<Option<Instant>>,
}

impl Server {
    /// Bind an address and answer requests until the server is dropped.
    pub(crate) fn start<H, F>(listen: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Option<Response<Body>>> + Send + 'static,
    {
        let listener = StdTcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let addr = listener.local_addr()?;
        let (down_until, outage) = watch::channel(None);
        tokio::spawn(accept(listener, Arc::new(handler), outage));
        Ok(Self { addr, down_until })
    }

    /// Return the bound address.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Drop all connections and close new ones at once for a time.
    pub(crate) fn drop_connections(&self, down: Duration) {
        self.down_until.send_replace(Some(Instant::now() + down));
    }
}

async fn accept<H, F>(
    listener: TcpListener,
    handler: Arc<H>,
    mut outage: watch::Receiver<Option<Instant>>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            changed = outage.changed() => {
                connections.abort_all();
                if changed.is_err() {
                    return;
                }
            }
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let down = outage.borrow().is_some_and(|until| Instant::now() < until);
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
    // Without this option, Nagle's algorithm would delay single tokens.
    let _ = stream.set_nodelay(true);
    // A handler that returns no answer drops the connection, as a crashed server does.
    let service = service_fn(move |req| {
        let answer = handler(req);
        async move {
            answer
                .await
                .ok_or_else(|| io::Error::other("connection dropped"))
        }
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Read a whole body of at most 16 MiB.
pub(crate) async fn read_body(body: Incoming) -> Option<Bytes> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    Some(collected.to_bytes())
}

/// Read a body as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    serde_json::from_slice(&read_body(body).await?).ok()
}

/// Answer with bytes.
pub(crate) fn answer(
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

/// Answer with JSON and status 200.
pub(crate) fn json(value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    answer(StatusCode::OK, "application/json", body)
}

/// Answer with a status and a line of text.
pub(crate) fn status(status: StatusCode, text: &'static str) -> Response<Body> {
    answer(status, "text/plain", text)
}

/// Refuse a request before its start.
pub(crate) fn refuse(reason: &str) -> Response<Body> {
    let mut resp = json(&Refusal {
        reason: reason.to_owned(),
    });
    *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let started = header::HeaderValue::from_static("false");
    resp.headers_mut().insert("oleanderpass-started", started);
    resp
}

/// Return a header as text, or the empty text.
pub(crate) fn header_text<'a>(req: &'a Request<Incoming>, name: &str) -> &'a str {
    req.headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Return a parameter of the query string.
pub(crate) fn query<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Return whether the time of `oleanderpass-not-after-unix-ms` has passed.
pub(crate) fn past_deadline(not_after_unix_ms: Option<u64>) -> bool {
    not_after_unix_ms.is_some_and(|deadline| unix_ms() > deadline)
}

/// Return the wall-clock time in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Return an incarnation: the start time in the high 44 bits, random low 20 bits.
pub(crate) fn new_incarnation() -> u64 {
    (unix_ms() << 20) | (rand::random::<u64>() & 0xF_FFFF)
}
