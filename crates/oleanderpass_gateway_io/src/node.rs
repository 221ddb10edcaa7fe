//! Hold what the tasks of an instance share.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use oleanderpass_gateway::gateway::Gateway;
use oleanderpass_proto::peer::Packet;
use oleanderpass_types::clock::Timestamp;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::connection::Pool;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::store::Copy;

/// Where the instance stands in its stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    /// It serves.
    No,
    /// It serves, answers that it isn't ready and asks callers to open other connections.
    Announced,
    /// It closes connections that are idle.
    Closing,
}

/// What the tasks of an instance share. All run on one thread.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) gateway: RefCell<Gateway>,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) metrics: Metrics,
    pub(crate) copy: RefCell<Copy>,
    pub(crate) peers: UdpSocket,
    /// Own work changed, so a bulletin may be due.
    pub(crate) work_changed: Notify,
    /// A peer has read a newer revision of the store than this instance.
    pub(crate) store_behind: Notify,
    pub(crate) stop: watch::Sender<Stop>,
}

pub(crate) type Shared = Rc<Node>;

impl Node {
    /// Return the time.
    pub(crate) fn now(&self) -> Timestamp {
        crate::clock::now()
    }

    /// Send datagrams to peers. A datagram that can't be sent is lost like one on the way.
    pub(crate) fn send_packets(&self, packets: Vec<(SocketAddr, Packet)>) {
        let mut buf = Vec::new();
        for (to, packet) in packets {
            buf.clear();
            if let Err(error) = packet.encode(&mut buf) {
                tracing::error!(%error, "could not encode a datagram");
                continue;
            }
            if let Err(error) = self.peers.try_send_to(&buf, to) {
                self.metrics.lost_datagrams.inc();
                tracing::debug!(%error, peer = %to, "could not send a datagram");
            }
        }
    }
}
