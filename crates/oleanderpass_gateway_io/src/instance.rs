//! Define the state that the tasks of an entry instance share.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::Ref;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexSet;
use oleanderpass_gateway::backend::BackendKey;
use oleanderpass_gateway::gateway::Gateway;
use oleanderpass_gateway::memory::AnswerMemory;
use oleanderpass_gateway::readiness::Readiness;
use oleanderpass_gateway::readiness::Reason;
use oleanderpass_proto::peer::Packet;
use oleanderpass_types::clock::Timestamp;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::build::Build;
use crate::callers::Callers;
use crate::connection::Pool;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// How far the instance is in its shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShutdownPhase {
    /// It isn't shutting down.
    Serving,
    /// It still serves, but reports that it isn't ready and asks callers to open their next
    /// connection elsewhere.
    Draining,
    /// It closes the connections of callers as soon as they are idle.
    Closing,
}

/// The shared state of the tasks of this process, which all run on one thread.
pub(crate) struct Instance {
    pub(crate) build: Build,
    pub(crate) settings: Settings,
    pub(crate) gateway: RefCell<Gateway>,
    /// What the instance lacks, as of the last call of [`Instance::readiness`].
    pub(crate) readiness: RefCell<Readiness>,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) metrics: Metrics,
    /// The memory for callers, and for the answers of servers, peers and the store.
    pub(crate) memory: AnswerMemory,
    /// The open connections of callers.
    pub(crate) callers: Callers,
    /// The servers that peers are asked to connect to, to see whether they are gone.
    pub(crate) checked_servers: RefCell<IndexSet<BackendKey>>,
    /// The number of open tunnels to servers for peers.
    pub(crate) open_tunnels: Cell<usize>,
    /// The socket for datagrams to and from peers, once it is open.
    pub(crate) peer_socket: OnceCell<UdpSocket>,
    /// Notified when the load of this instance changed, so that a bulletin may be due.
    pub(crate) load_changed: Notify,
    /// Notified when a peer knows something newer of the store than this instance.
    pub(crate) store_behind: Notify,
    /// Notified when a peer has a newer configuration in force than this instance.
    pub(crate) configuration_behind: Notify,
    /// Changed by the task that stops the instance.
    pub(crate) shutdown: watch::Sender<ShutdownPhase>,
}

pub(crate) type SharedInstance = Rc<Instance>;

impl Instance {
    /// Return the current time.
    pub(crate) fn now(&self) -> Timestamp {
        crate::clock::now()
    }

    /// Return whether the instance is ready now, and what it lacks.
    pub(crate) fn readiness(&self) -> Ref<'_, Readiness> {
        let now = self.now();
        let mut readiness = self.readiness.borrow_mut();
        self.gateway.borrow().update_readiness(now, &mut readiness);
        readiness.report(now);
        drop(readiness);
        self.readiness.borrow()
    }

    /// Record why the store, or a peer that reads it, doesn't provide what this instance lacks.
    pub(crate) fn on_store_error(&self, error: &str) {
        let mut readiness = self.readiness.borrow_mut();
        for reason in [Reason::NoConfiguration, Reason::ServerListIncomplete] {
            readiness.set_error(reason, error);
        }
    }

    /// Send datagrams to peers. A datagram that can't be sent is dropped and counted; peers treat
    /// it like one that the network lost.
    pub(crate) fn send_packets(&self, packets: Vec<(SocketAddr, Packet)>) {
        let Some(socket) = self.peer_socket.get() else {
            self.metrics.lost_datagrams.inc_by(packets.len() as u64);
            return;
        };
        let mut buf = Vec::new();
        for (to, packet) in packets {
            buf.clear();
            if let Err(error) = packet.encode(&mut buf) {
                tracing::error!(%error, "could not encode a datagram");
                continue;
            }
            if let Err(error) = socket.try_send_to(&buf, to) {
                self.metrics.lost_datagrams.inc();
                tracing::debug!(%error, peer = %to, "could not send a datagram");
            }
        }
    }
}
