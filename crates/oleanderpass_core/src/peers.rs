//! Reach other entry instances.

use std::net::SocketAddr;

use oleanderpass_proto::peer;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;

use crate::action::Action;
use crate::instance::Instance;
use crate::server::LeavingSource;

impl Instance {
    pub(crate) fn on_peer_packet(
        &mut self,
        now: Timestamp,
        packet: &peer::Packet,
        out: &mut Vec<Action>,
    ) {
        self.on_peer_evidence(now, &packet.crashes);
        self.on_peer_leaving(now, &packet.leaving_servers);
        self.dispatch_queued(now, out);
    }

    /// Note the backend servers that peers know to be leaving.
    fn on_peer_leaving(&mut self, now: Timestamp, leaving: &[peer::LeavingServer]) {
        for raw in leaving {
            let Ok(id) = raw.server.parse::<BackendServerId>() else {
                continue;
            };
            if let Some(view) = self.servers.get_mut(&id) {
                let incarnation = Incarnation::new(raw.incarnation);
                view.mark_leaving(now, Some(incarnation), LeavingSource::Server);
                self.update_views(&id);
            }
        }
    }

    /// Return the address of a ticket's owner, unless the owner is known to be gone.
    pub(crate) fn owner_addr(
        &self,
        owner: &InstanceId,
        _incarnation: Incarnation,
    ) -> Option<SocketAddr> {
        self.peer_addr_of(owner)
    }

    /// Return the address of a peer.
    pub(crate) fn peer_addr_of(&self, peer: &InstanceId) -> Option<SocketAddr> {
        self.listed_peers.get(peer).copied()
    }
}
