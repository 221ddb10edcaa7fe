//! Tunnel connections to backend servers for peers whose own links to them are cut, with the
//! CONNECT method.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use eyre::eyre;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use oleanderpass_gateway::memory::AnswerMemory;
use oleanderpass_gateway::memory::Share;
use oleanderpass_gateway::reach::Way;
use oleanderpass_types::size::Bytes as Size;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::connection;
use crate::connection::Connection;
use crate::connection::Driver;
use crate::instance::SharedInstance;

/// The timeout for opening a connection through a peer. The peer needs up to the timeout of a
/// direct connection for its part.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// The most tunnels that an instance keeps open for its peers. Each takes two sockets and two
/// buffers.
const MAX_TUNNELS: usize = 1_000;

/// The size of each buffer of a tunnel, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// The longest head of a peer's answer to CONNECT, in bytes. It is the smallest limit that the HTTP
/// library accepts.
const MAX_CONNECT_ANSWER_BYTES: usize = 8 * 1024;

/// How long a tunnel whose server has ended its connection waits for the peer to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// What a peer answered to the request for a tunnel to a server.
pub(crate) enum Tunnel {
    /// The connection to the server.
    Open(Connection),
    /// The server has asked the peer for a pause, so it is there.
    Paused,
    /// The peer can't reach the server.
    Unreachable,
}

/// Open a connection to the server at `addr` through the peer at `peer`.
///
/// # Errors
///
/// Return the cause if the peer doesn't answer in time.
pub(crate) async fn open(
    memory: &AnswerMemory,
    peer: SocketAddr,
    addr: SocketAddr,
) -> Result<Tunnel> {
    tokio::time::timeout(OPEN_TIMEOUT, open_tunnel(memory, peer, addr))
        .await
        .wrap_err("timeout")?
}

async fn open_tunnel(memory: &AnswerMemory, peer: SocketAddr, addr: SocketAddr) -> Result<Tunnel> {
    let stream = connection::connect(peer).await?;
    let (mut sender, conn) = http1::Builder::new()
        .max_buf_size(MAX_CONNECT_ANSWER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .wrap_err("HTTP handshake")?;
    let _driver = Driver::spawn(peer, conn.with_upgrades());
    let req = Request::connect(addr.to_string())
        .header(http::header::HOST, addr.to_string())
        .body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(req).await.wrap_err("send CONNECT")?;
    if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
        return Ok(Tunnel::Paused);
    }
    if !answer.status().is_success() {
        return Ok(Tunnel::Unreachable);
    }
    let tunnel = hyper::upgrade::on(answer).await.wrap_err("upgrade")?;
    connection::handshake(memory, addr, TokioIo::new(tunnel), Some(peer))
        .await
        .map(Tunnel::Open)
}

/// Answer the CONNECT request of a peer, and keep its tunnel in the background.
pub(crate) async fn serve(instance: &SharedInstance, req: Request<Incoming>) -> Response<Bytes> {
    if asks_for_pause(instance, &req) {
        return empty_answer(StatusCode::SERVICE_UNAVAILABLE);
    }
    match connect_for_peer(instance, &req).await {
        Ok((server, buffers)) => {
            let instance = instance.clone();
            tokio::task::spawn_local(async move {
                let tunnels = &instance.open_tunnels;
                tunnels.set(tunnels.get() + 1);
                if let Err(error) = tunnel(req, server).await {
                    tracing::debug!(error = format!("{error:#}"), "a tunnel broke");
                }
                tunnels.set(tunnels.get() - 1);
                drop(buffers);
            });
            Response::default()
        }
        Err(error) => {
            tracing::debug!(error = format!("{error:#}"), "no connection for a peer");
            empty_answer(StatusCode::BAD_GATEWAY)
        }
    }
}

fn empty_answer(status: StatusCode) -> Response<Bytes> {
    let mut answer = Response::default();
    *answer.status_mut() = status;
    answer
}

/// Return whether the server to which a tunnel is asked for wants a pause of this instance. It
/// would take the peer's requests for those of this instance.
fn asks_for_pause(instance: &SharedInstance, req: &Request<Incoming>) -> bool {
    let gateway = instance.gateway.borrow();
    let target = target(req).ok();
    target.is_some_and(|addr| gateway.pause_left(instance.now(), addr).is_some())
}

/// Return the address of the server to which a tunnel is asked for.
fn target(req: &Request<Incoming>) -> Result<SocketAddr> {
    let authority = req.uri().authority().map(http::uri::Authority::as_str);
    let authority = authority.unwrap_or_default();
    authority.parse().wrap_err("the target is no address")
}

/// Return whether a request asks for a tunnel.
pub(crate) fn is_connect(req: &Request<Incoming>) -> bool {
    req.method() == Method::CONNECT
}

/// Connect directly to the server that a peer asks for. Return the connection and the memory for the
/// buffers of the tunnel.
async fn connect_for_peer(
    instance: &SharedInstance,
    req: &Request<Incoming>,
) -> Result<(TcpStream, Share)> {
    let addr = target(req)?;
    // A tunnel leads to listed servers only, and never through a second peer.
    let Some(key) = instance.gateway.borrow().server_at(instance.now(), addr) else {
        bail!("{addr} is not a backend server");
    };
    if !instance.gateway.borrow().accepts(instance.now(), key) {
        bail!("the zone of {addr} is evacuated");
    }
    if instance.gateway.borrow().way(key) != Way::Direct {
        bail!("{addr} can't be reached from here");
    }
    if instance.open_tunnels.get() >= MAX_TUNNELS {
        bail!("too many tunnels are open");
    }
    let mut buffers = instance.memory.empty_share();
    buffers.grow(Size::new(2 * BUFFER_BYTES as u64))?;
    let stream = connection::connect(addr).await?;
    let mut gateway = instance.gateway.borrow_mut();
    gateway.on_opened(instance.now(), key);
    Ok((stream, buffers))
}

/// Copy bytes between a peer and a server until one of them closes.
///
/// The end of an answer without a length is the end of its connection, so the peer's connection is
/// reset unless the server ended its own in order.
async fn tunnel(req: Request<Incoming>, server: TcpStream) -> Result<()> {
    let upgraded = hyper::upgrade::on(req).await.wrap_err("upgrade")?;
    let parts = upgraded
        .downcast::<TokioIo<TcpStream>>()
        .map_err(|_: Upgraded| eyre!("the connection is no socket"))?;
    let mut peer = parts.io.into_inner();
    set_reset_on_close(&peer, true)?;
    let (mut from_server, mut to_server) = server.into_split();
    to_server.write_all(&parts.read_buf).await?;
    let (mut from_peer, mut to_peer) = peer.split();
    let upstream = copy(&mut from_peer, &mut to_server);
    let downstream = copy(&mut from_server, &mut to_peer);
    let ended_by_server = tokio::select! {
        result = upstream => { result?; false }
        result = downstream => { result?; true }
    };
    if ended_by_server {
        to_peer.shutdown().await?;
        set_reset_on_close(&peer, false)?;
        // Closing with unread bytes would reset the connection before the peer has read all.
        let mut rest = [0; 512];
        let closed = async { while peer.read(&mut rest).await.is_ok_and(|count| count > 0) {} };
        drop(tokio::time::timeout(CLOSE_TIMEOUT, closed).await);
    }
    Ok(())
}

/// Copy until the end of `from`.
async fn copy(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
) -> std::io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buf).await?;
        if count == 0 {
            return Ok(());
        }
        to.write_all(&buf[..count]).await?;
    }
}

/// Set whether closing a connection resets it.
fn set_reset_on_close(stream: &TcpStream, reset: bool) -> std::io::Result<()> {
    SockRef::from(stream).set_linger(reset.then_some(Duration::ZERO))
}
