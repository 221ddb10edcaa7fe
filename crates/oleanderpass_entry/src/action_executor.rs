//! Execute the core's actions that belong to no request.

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
use crate::platform::parse_instance_list;
use crate::shared::Shared;

/// Executes the actions of the core that no request task and no waiting call handles.
#[derive(Debug)]
pub struct ActionExecutor {
    /// The Tokio runtime on which the actions' tasks run.
    pub runtime: Handle,
    /// The state that all tasks of the process share.
    pub shared: Arc<Shared>,
    /// The channel to the task that sends datagrams.
    pub packets: UnboundedSender<(SocketAddr, Box<Packet>)>,
    /// The threads that read from the platform.
    pub platform: PlatformReaders,
}

impl ActionExecutor {
    /// Execute an action without blocking. Its result, if it has one, reaches the core as an event.
    pub fn execute(&self, action: Action) {
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
                self.spawn_call(self.server_calls(server, addr).observe(observation));
            }
            Action::SendOrder {
                server,
                addr,
                order,
            } => self.spawn_call(self.server_calls(server, addr).send_order(order)),
            Action::RequestHold { server, addr, hold } => {
                self.spawn_call(self.server_calls(server, addr).request_hold(hold));
            }
            Action::ReleaseHold { server, addr, hold } => {
                self.spawn_call(self.server_calls(server, addr).release_hold(hold));
            }
            other => {
                tracing::error!(action = ?other, "no executor for an action of the core")
            }
        }
    }

    fn server_calls(&self, server: BackendServerId, addr: SocketAddr) -> ServerClient {
        ServerClient {
            pool: self.shared.pool.clone(),
            clock: self.shared.clock,
            metrics: Arc::clone(&self.shared.metrics),
            server,
            addr,
        }
    }

    fn spawn_call(&self, call: impl Future<Output = Event> + Send + 'static) {
        let core = self.shared.core.clone();
        self.runtime
            .spawn(async move { core.send_event(call.await) });
    }
}

/// Fetch the instance list from a peer, report it to the core and keep it for other peers that ask.
async fn fetch_instance_list(shared: Arc<Shared>, from: InstanceId, addr: SocketAddr) {
    let fetched = shared.peers.fetch_instances(addr).await;
    let list = fetched.and_then(|bytes| {
        let text = String::from_utf8(bytes).map_err(|error| format_smolstr!("{error}"))?;
        let list = parse_instance_list(&text).map_err(|error| format_smolstr!("{error:#}"))?;
        Ok((text, list))
    });
    match list {
        Ok((text, list)) => {
            shared.instance_list.send_replace(Some(text.into()));
            shared.core.send_event(Event::InstanceList(Arc::new(list)));
        }
        Err(cause) => {
            tracing::warn!(%from, %cause, "fetch of the instance list from a peer failed")
        }
    }
}
