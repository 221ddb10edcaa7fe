//! Keep what the instance knows of a backend server.

use std::net::SocketAddr;

use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::id::ZoneId;

use crate::event::Lifecycle;
use crate::event::ListedServer;
use crate::event::ServerLoad;

/// The view of one backend server.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The availability zone.
    pub zone: ZoneId,
    /// The address.
    pub addr: SocketAddr,
    /// Whether it takes new work.
    pub state: Lifecycle,
    /// Attempts of this instance that run there.
    pub in_flight: u32,
    /// The last load report and its arrival.
    pub load: Option<(Timestamp, ServerLoad)>,
}

impl ServerView {
    /// Create the view of a server that the platform lists.
    pub fn new(listed: &ListedServer) -> Self {
        Self {
            service: listed.service.clone(),
            zone: listed.zone.clone(),
            addr: listed.addr,
            state: listed.state,
            in_flight: 0,
            load: None,
        }
    }
}
