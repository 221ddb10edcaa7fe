//! Delay, reset, cut one way or silence connections between a client and a server on loopback.

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

/// What happens to bytes on their way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(crate) enum Link {
    /// They pass.
    Open,
    /// They pass late.
    Slow,
    /// They are held in both directions.
    Silent,
    /// Those of the server are held.
    OneWay,
    /// Connections are closed, and new ones too.
    Reset,
}

/// A proxy before one server.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    pub(crate) addr: SocketAddr,
    link: Arc<watch::Sender<Link>>,
}

impl Proxy {
    pub(crate) async fn start(listen: SocketAddr, server: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let link = Arc::new(watch::Sender::new(Link::Open));
        let changes = link.subscribe();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                if *changes.borrow() == Link::Reset {
                    continue;
                }
                let Ok(server) = TcpStream::connect(server).await else {
                    continue;
                };
                tokio::spawn(join(client, server, changes.clone()));
            }
        });
        Self { addr, link }
    }

    pub(crate) fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn join(client: TcpStream, server: TcpStream, link: watch::Receiver<Link>) {
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let mut reset = link.clone();
    tokio::select! {
        // Either end closes both connections.
        _ = copy(from_client, to_server, link.clone(), false) => {}
        _ = copy(from_server, to_client, link, true) => {}
        _ = reset.wait_for(|link| *link == Link::Reset) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    of_server: bool,
) -> io::Result<()> {
    let mut buf = [0; 4_096];
    loop {
        let len = from.read(&mut buf).await?;
        if len == 0 {
            return Ok(());
        }
        let holds = |link: Link| link == Link::Silent || (link == Link::OneWay && of_server);
        link.wait_for(|link| !holds(*link))
            .await
            .map_err(io::Error::other)?;
        if *link.borrow() == Link::Slow {
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        to.write_all(&buf[..len]).await?;
    }
}
