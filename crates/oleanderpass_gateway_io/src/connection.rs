//! Open connections to backend servers, peers and the store, and reuse those to backend servers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use oleanderpass_gateway::backend::BackendKey;
use oleanderpass_gateway::memory::AnswerMemory;
use oleanderpass_gateway::reach::Way;
use oleanderpass_platform::answer;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::body::RequestBody;
use crate::instance::SharedInstance;
use crate::notices;
use crate::reach;
use crate::receive;
use crate::receive::HeadMeter;
use crate::receive::MeteredStream;
use crate::receive::ReceiveError;
use crate::socket_options;

/// The timeout for opening a connection. Backend servers accept one within about a millisecond, and
/// a lost first packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The idle time before the first TCP keep-alive probe, and the interval between probes. Bytes that
/// stay unacknowledged for [`KEEPALIVE_PROBES`] times as long also end a connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered keep-alive probes that end a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// The longest time for which an idle connection is kept, even if the server names no time or a
/// longer one. Servers close idle connections after some seconds.
const MAX_IDLE_TIME: Millis = Millis::new(4_000);

/// The margin before a server's idle timeout within which a connection is no longer used, so that
/// no request is sent while the server closes the connection.
const IDLE_MARGIN: Millis = Millis::new(1_000);

/// The most idle connections that are kept for one backend server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// An open HTTP/1.1 connection. Dropping it closes the socket.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<RequestBody>,
    /// Whether it has carried a request before.
    pub(crate) reused: bool,
    /// Whether it leads through a peer.
    way: Way,
    /// The peer through which it leads.
    pub(crate) relay: Option<SocketAddr>,
    meter: Rc<HeadMeter>,
    _driver: Driver,
}

/// The task that drives a connection. It ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Driver {
    /// Start the task.
    pub(crate) fn spawn(
        addr: SocketAddr,
        connection: impl Future<Output = hyper::Result<()>> + 'static,
    ) -> Self {
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%addr, %error, "a connection ended");
            }
        });
        Self(task.abort_handle())
    }
}

impl Connection {
    /// Send a request and wait for the head of its answer.
    ///
    /// # Errors
    ///
    /// Return the cause if there is no answer, and the request if nothing of it was sent.
    pub(crate) async fn try_send(
        &mut self,
        req: Request<RequestBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<RequestBody>>> {
        self.meter.start();
        let answer = self.sender.try_send_request(req).await;
        self.meter.stop();
        answer
    }

    /// Send a request, once the connection is ready for it, and wait for the head of its answer.
    ///
    /// # Errors
    ///
    /// Return the cause if there is no answer.
    pub(crate) async fn send(
        &mut self,
        req: Request<RequestBody>,
    ) -> Result<Response<Incoming>, ReceiveError> {
        self.sender.ready().await?;
        let answer = self.try_send(req).await;
        answer.map_err(|error| error.into_error().into())
    }
}

/// Open a connection.
///
/// # Errors
///
/// Return the cause if no connection can be opened in time.
pub(crate) async fn open(memory: &AnswerMemory, addr: SocketAddr) -> Result<Connection> {
    let stream = connect(addr).await?;
    handshake(memory, addr, stream, None).await
}

/// Open a socket to an address.
///
/// # Errors
///
/// Return the cause if it can't be opened in time.
pub(crate) async fn connect(addr: SocketAddr) -> Result<TcpStream> {
    let socket = TcpSocket::new_v4().wrap_err("create a socket")?;
    let sock_ref = SockRef::from(&socket);
    socket_options::set_outgoing(&sock_ref, KEEPALIVE_INTERVAL, KEEPALIVE_PROBES);
    tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(addr))
        .await
        .wrap_err_with(|| format!("connect to {addr}: timeout"))?
        .wrap_err_with(|| format!("connect to {addr}"))
}

/// Begin to speak HTTP/1.1 to the server at `addr` on an open stream, which leads through the peer
/// at `relay` if there is one. The heads of its answers are counted in `memory`.
///
/// # Errors
///
/// Return the cause if the stream has ended.
pub(crate) async fn handshake(
    memory: &AnswerMemory,
    addr: SocketAddr,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    relay: Option<SocketAddr>,
) -> Result<Connection> {
    let meter = Rc::new(HeadMeter::new(memory));
    let stream = TokioIo::new(MeteredStream::new(stream, meter.clone()));
    let (sender, connection) = http1::handshake(stream).await.wrap_err("HTTP handshake")?;
    Ok(Connection {
        sender,
        reused: false,
        way: match relay {
            Some(_) => Way::Relayed,
            None => Way::Direct,
        },
        relay,
        meter,
        _driver: Driver::spawn(addr, connection),
    })
}

/// Send an order or a read of the report to a backend server on a new connection. Return the HTTP
/// status and the body of the answer.
///
/// # Errors
///
/// Return the cause if there is no whole answer, or no room for it.
pub(crate) async fn call(
    instance: &SharedInstance,
    addr: SocketAddr,
    req: Request<RequestBody>,
) -> Result<(u16, Bytes)> {
    let mut connection = reach::open_addr(instance, addr).await?;
    let answer = connection.send(req).await.wrap_err("send the request")?;
    let status = answer.status().as_u16();
    let head = answer::decode(status, answer.headers());
    if !head.is_final() {
        bail!("the answer has the status {status}");
    }
    let key = instance.gateway.borrow().server_at(instance.now(), addr);
    if let Some(key) = key {
        notices::record(instance, key, &head);
        if let (Some(relay), Some(pause)) = (connection.relay, head.pause) {
            notices::tell_relay(instance, relay, addr, pause);
        }
    }
    let (body, _share) = receive::document(answer.into_body(), &instance.memory)
        .await
        .wrap_err("read the answer")?;
    Ok((status, body))
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Timestamp,
}

/// The idle connections to backend servers.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: IndexMap<BackendKey, Vec<IdleConnection>>,
}

impl Pool {
    /// Return the idle connection that was used last, if it is still usable. Connections that
    /// lead another way than new ones do are closed.
    pub(crate) fn acquire(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        way: Way,
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(&key)?;
        idle.retain(|idle| {
            let connection = &idle.connection;
            now < idle.expires_at && connection.way == way && !connection.sender.is_closed()
        });
        let mut connection = idle.pop()?.connection;
        connection.reused = true;
        connection.sender.is_ready().then_some(connection)
    }

    /// Keep a connection whose last answer is complete. `idle_time` is how long the server keeps
    /// it, if the server says so.
    pub(crate) fn release(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        connection: Connection,
        idle_time: Option<Millis>,
    ) {
        let time = idle_time.map_or(MAX_IDLE_TIME, |time| {
            time.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIME)
        });
        connection.meter.clear();
        let idle = self.idle.entry(key).or_default();
        if idle.len() < MAX_IDLE_PER_SERVER && time > Millis::ZERO {
            let expires_at = now + time;
            idle.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Close connections that have been idle for too long.
    pub(crate) fn remove_expired(&mut self, now: Timestamp) {
        self.idle.retain(|_, idle| {
            idle.retain(|idle| now < idle.expires_at && !idle.connection.sender.is_closed());
            !idle.is_empty()
        });
    }
}
