//! Open the addresses of the instance. One that can't be opened yet is tried again: an earlier
//! process may still hold it, or the machine may get it later.

use std::net::SocketAddr;

use eyre::Result;
use eyre::WrapErr;
use oleanderpass_gateway::readiness::Reason;
use oleanderpass_types::clock::Millis;
use strum::Display;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::UdpSocket;

use crate::clock::sleep_until;
use crate::instance::SharedInstance;
use crate::settings::Settings;
use crate::socket_options;
use crate::socket_options::SocketOption;

/// The most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// The time between two tries to open an address.
const RETRY_INTERVAL: Millis = Millis::new(200);

/// What an address is for.
#[derive(Clone, Copy, Debug, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Endpoint {
    Callers,
    Readiness,
    Metrics,
    Peers,
    PeerDatagrams,
}

impl Endpoint {
    fn addr(self, settings: &Settings) -> SocketAddr {
        match self {
            Self::Callers => settings.caller_addr,
            Self::Readiness => settings.readiness_addr,
            Self::Metrics => settings.metrics_addr,
            Self::Peers | Self::PeerDatagrams => settings.peer_addr,
        }
    }

    /// Return what the instance lacks while the address isn't open.
    fn reason(self) -> Reason {
        match self {
            Self::Callers => Reason::CallerAddressClosed,
            Self::Readiness => Reason::ReadinessAddressClosed,
            Self::Metrics => Reason::MetricsAddressClosed,
            Self::Peers => Reason::PeerAddressClosed,
            Self::PeerDatagrams => Reason::PeerSocketClosed,
        }
    }
}

/// Listen for TCP connections. Return as soon as the address is open.
pub(crate) async fn listen(instance: &SharedInstance, endpoint: Endpoint) -> TcpListener {
    open(instance, endpoint, |addr| {
        let socket = TcpSocket::new_v4().wrap_err("create a TCP socket")?;
        socket_options::record(SocketOption::ReuseAddr, socket.set_reuseaddr(true));
        socket.bind(addr).wrap_err("bind")?;
        socket.listen(BACKLOG).wrap_err("listen")
    })
    .await
}

/// Open the socket for datagrams. Return as soon as the address is open.
pub(crate) async fn bind_datagrams(instance: &SharedInstance) -> UdpSocket {
    open(instance, Endpoint::PeerDatagrams, |addr| {
        let socket = std::net::UdpSocket::bind(addr).wrap_err("bind a UDP socket")?;
        socket.set_nonblocking(true).wrap_err("set O_NONBLOCK")?;
        UdpSocket::from_std(socket).wrap_err("register a UDP socket")
    })
    .await
}

async fn open<T>(
    instance: &SharedInstance,
    endpoint: Endpoint,
    open: impl Fn(SocketAddr) -> Result<T>,
) -> T {
    let addr = endpoint.addr(&instance.settings);
    let reason = endpoint.reason();
    let began = instance.now();
    let mut failed = false;
    loop {
        let error = match open(addr) {
            Ok(opened) => {
                instance
                    .readiness
                    .borrow_mut()
                    .set(instance.now(), reason, false);
                if failed {
                    let waited_ms = instance.now().since(began).get();
                    tracing::info!(%endpoint, %addr, waited_ms, "an address was opened");
                }
                return opened;
            }
            Err(error) => format!("{addr}: {error:#}"),
        };
        if !failed {
            tracing::warn!(%endpoint, error, "an address can't be opened; trying again");
        }
        failed = true;
        {
            let mut readiness = instance.readiness.borrow_mut();
            readiness.set(instance.now(), reason, true);
            readiness.set_error(reason, &error);
        }
        sleep_until(instance.now() + RETRY_INTERVAL).await;
    }
}
