//! Proxy TCP connections on loopback, with delays, resets and blocked directions.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use strum::Display;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// What the proxy does with the bytes of its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(crate) enum LinkMode {
    /// Forward them at once.
    Open,
    /// Delay each chunk by 40 ms.
    Slow,
    /// Hold them back in both directions.
    Silent,
    /// Hold back those from the server.
    OneWay,
    /// Close open connections, and new ones as soon as they are accepted.
    Reset,
}

/// A proxy in front of one server.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    pub(crate) addr: SocketAddr,
    mode: Arc<watch::Sender<LinkMode>>,
}

impl Proxy {
    /// Listen on `listen` and forward connections to `server`.
    pub(crate) async fn start(listen: SocketAddr, server: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let mode = Arc::new(watch::Sender::new(LinkMode::Open));
        let mode_rx = mode.subscribe();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                if *mode_rx.borrow() == LinkMode::Reset {
                    continue;
                }
                let Ok(server) = TcpStream::connect(server).await else {
                    continue;
                };
                tokio::spawn(relay(client, server, mode_rx.clone()));
            }
        });
        Self { addr, mode }
    }

    pub(crate) fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

/// Forward both directions of a connection until either side closes it or the mode is `Reset`.
async fn relay(client: TcpStream, server: TcpStream, mode: watch::Receiver<LinkMode>) {
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let mut reset = mode.clone();
    tokio::select! {
        // When one side closes its connection, both connections are closed.
        _ = copy(from_client, to_server, mode.clone(), false) => {}
        _ = copy(from_server, to_client, mode, true) => {}
        _ = reset.wait_for(|mode| *mode == LinkMode::Reset) => {}
    }
}

/// Forward one direction of a connection.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
    from_server: bool,
) -> io::Result<()> {
    let mut buf = [0; 4_096];
    loop {
        let len = from.read(&mut buf).await?;
        if len == 0 {
            return Ok(());
        }
        let is_held =
            |mode: LinkMode| mode == LinkMode::Silent || (mode == LinkMode::OneWay && from_server);
        mode.wait_for(|mode| !is_held(*mode))
            .await
            .map_err(io::Error::other)?;
        if *mode.borrow() == LinkMode::Slow {
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        to.write_all(&buf[..len]).await?;
    }
}
