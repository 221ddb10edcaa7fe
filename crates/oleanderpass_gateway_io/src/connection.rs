//! Open, keep and reuse connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use eyre::WrapErr;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use oleanderpass_gateway::backend::BackendKey;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpSocket;
use tokio::task::AbortHandle;

/// The time to open a connection. Backend servers take about a millisecond, and a lost first packet
/// is repeated only after a second.
const CONNECT_TIME: Duration = Duration::from_millis(250);

/// The time after which unacknowledged bytes, or a silent peer, end a connection.
const SILENCE_TIME: Duration = Duration::from_secs(1);

/// The probes of a silent peer, each after [`SILENCE_TIME`].
const SILENCE_PROBES: u32 = 2;

/// The longest time that an idle connection is kept, if the server names none. Servers close idle
/// connections after some seconds.
const IDLE_TIME: Millis = Millis::new(4_000);

/// The time before the end that a server names at which a connection is no longer used, so that the
/// request doesn't cross the close.
const IDLE_MARGIN: Millis = Millis::new(1_000);

/// The idle connections to one backend server.
const MAX_IDLE: usize = 16;

/// An open HTTP/1.1 connection. Dropping it closes the socket.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// It carried a request before.
    pub(crate) reused: bool,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Open a connection.
///
/// # Errors
///
/// Return the cause when the peer can't be reached in time.
pub(crate) async fn open(addr: SocketAddr) -> Result<Connection> {
    let socket = TcpSocket::new_v4().wrap_err("create a socket")?;
    socket.set_nodelay(true).wrap_err("set TCP_NODELAY")?;
    detect_silence(&socket).wrap_err("set the keep-alive")?;
    let stream = tokio::time::timeout(CONNECT_TIME, socket.connect(addr))
        .await
        .wrap_err_with(|| format!("connect to {addr}: timeout"))?
        .wrap_err_with(|| format!("connect to {addr}"))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .wrap_err("begin HTTP")?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%addr, %error, "a connection ended");
        }
    });
    Ok(Connection {
        sender,
        reused: false,
        task: task.abort_handle(),
    })
}

fn detect_silence(socket: &TcpSocket) -> io::Result<()> {
    let socket = SockRef::from(socket);
    let keepalive = TcpKeepalive::new()
        .with_time(SILENCE_TIME)
        .with_interval(SILENCE_TIME)
        .with_retries(SILENCE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(SILENCE_TIME * SILENCE_PROBES))
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Timestamp,
}

/// Idle connections to backend servers.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: IndexMap<BackendKey, Vec<Idle>>,
}

impl Pool {
    /// Take the connection that was used last.
    pub(crate) fn take(&mut self, now: Timestamp, key: BackendKey) -> Option<Connection> {
        let idle = self.idle.get_mut(&key)?;
        idle.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        let mut connection = idle.pop()?.connection;
        connection.reused = true;
        connection.sender.is_ready().then_some(connection)
    }

    /// Keep a connection whose last answer is complete.
    pub(crate) fn put(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        connection: Connection,
        idle_time: Option<Millis>,
    ) {
        let time = idle_time.map_or(IDLE_TIME, |time| {
            time.saturating_sub(IDLE_MARGIN).min(IDLE_TIME)
        });
        let idle = self.idle.entry(key).or_default();
        if idle.len() < MAX_IDLE && time > Millis::ZERO {
            let until = now + time;
            idle.push(Idle { connection, until });
        }
    }

    /// Close connections that were idle for too long.
    pub(crate) fn tick(&mut self, now: Timestamp) {
        self.idle.retain(|_, idle| {
            idle.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
            !idle.is_empty()
        });
    }
}
