//! Perform the core's actions that belong to no request.

use std::net::SocketAddr;
use std::sync::Arc;

use oleanderpass_core::action::Action;
use oleanderpass_core::event::Event;
use oleanderpass_proto::peer::Packet;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::InstanceId;
use smol_str::format_smolstr;
use tokio::runtime::Handle;
use tokio::sync::mpsc::UnboundedSender;

use crate::backend::server_client::ServerClient;
use crate::platform::DocumentRead;
use crate::platform::PlatformReaders;
use crate::platform::parse_list;
use crate::shared::Shared;

/// What performs actions.
#[derive(Debug)]
pub struct Edges {
    /// Runs the tasks.
    pub runtime: Handle,
    /// What the process shares.
    pub shared: Arc<Shared>,
    /// The channel to the sender of datagrams.
    pub packets: UnboundedSender<(SocketAddr, Box<Packet>)>,
    /// The readers of the platform.
    pub platform: PlatformReaders,
}

impl Edges {
    /// Perform an action. Its result comes back to the core as an event.
    pub fn perform(&self, action: Action) {
        match action {
            Action::SendPacket { to, packet } => {
                let _ = self.packets.send((to, packet));
            }
            Action::ReadDocument { after, wait } => {
                self.platform.read_document(DocumentRead { after, wait });
            }
            Action::ReadInstanceList => self.platform.read_list(),
            Action::FetchDocument { from, addr, query } => {
                let core = self.shared.core.clone();
                let peers = self.shared.peers.clone();
                self.runtime
                    .spawn(peers.fetch_document(core, from, addr, *query));
            }
            Action::FetchInstanceList { from, addr } => {
                let shared = Arc::clone(&self.shared);
                self.runtime.spawn(fetch_instance_list(shared, from, addr));
            }
            Action::LeaseQuota {
                home,
                addr,
                demands,
            } => {
                let core = self.shared.core.clone();
                let peers = self.shared.peers.clone();
                self.runtime
                    .spawn(peers.lease_quota(core, home, addr, demands));
            }
            Action::Observe {
                server,
                addr,
                observation,
            } => {
                self.report(self.server(server, addr).observe(observation));
            }
            Action::SendOrder {
                server,
                addr,
                order,
            } => self.report(self.server(server, addr).send_order(order)),
            Action::RequestHold { server, addr, hold } => {
                self.report(self.server(server, addr).request_hold(hold));
            }
            Action::ReleaseHold { server, addr, hold } => {
                self.report(self.server(server, addr).release_hold(hold));
            }
            other => tracing::error!(action = ?other, "action without an edge"),
        }
    }

    fn server(&self, server: BackendServerId, addr: SocketAddr) -> ServerClient {
        ServerClient {
            pool: self.shared.pool.clone(),
            clock: self.shared.clock,
            metrics: Arc::clone(&self.shared.metrics),
            server,
            addr,
        }
    }

    fn report(&self, call: impl Future<Output = Event> + Send + 'static) {
        let core = self.shared.core.clone();
        self.runtime.spawn(async move { core.event(call.await) });
    }
}

/// Fetch the instance list from a peer, hand it to the core and keep it for other peers.
async fn fetch_instance_list(shared: Arc<Shared>, from: InstanceId, addr: SocketAddr) {
    let fetched = shared.peers.fetch_instances(addr).await;
    let list = fetched.and_then(|bytes| {
        let text = String::from_utf8(bytes).map_err(|error| format_smolstr!("{error}"))?;
        let list = parse_list(&text).map_err(|error| format_smolstr!("{error:#}"))?;
        Ok((text, list))
    });
    match list {
        Ok((text, list)) => {
            shared.list.send_replace(Some(text.into()));
            shared.core.event(Event::InstanceList(Arc::new(list)));
        }
        Err(cause) => tracing::warn!(%from, %cause, "a peer has no instance list"),
    }
}
