//! Reach other entry instances.

use std::net::SocketAddr;

use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;

use crate::instance::Instance;

impl Instance {
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
