//! Call other entry instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use oleanderpass_core::event::Event;
use oleanderpass_core::instance::Identity;
use oleanderpass_proto::peer;
use oleanderpass_proto::peer::peer_client::PeerClient;
use oleanderpass_types::id::InstanceId;
use prost::Message;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::clock::unix_ms;
use crate::core_loop::CoreSender;
use crate::peer::proof;
use crate::settings::FleetKey;

/// The time to open a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The time for a document. A whole one has up to 1 MB.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The time for a lease, half of its 2 s.
const LEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// The period of pings on a connection with calls, and the time for their answers. A silent
/// connection is found within 3 s.
const PING_PERIOD: Duration = Duration::from_secs(1);
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections kept at the same time. Above it, all idle ones are closed.
const MAX_CHANNELS: usize = 64;

/// The largest message that a peer may send, in bytes: a document of 1 MB, or a delta chain of the
/// same size, and its frame.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// The names of the calls, as their proofs cover them.
pub const FORWARD: &str = "Forward";
/// The name of the call for a document.
pub const FETCH_DOCUMENT: &str = "FetchDocument";
/// The name of the call for the instance list.
pub const FETCH_INSTANCES: &str = "FetchInstances";
/// The name of the call for quota.
pub const LEASE_QUOTA: &str = "LeaseQuota";

/// The calls to peers.
#[derive(Clone, Debug)]
pub struct PeerCalls {
    identity: Identity,
    key: FleetKey,
    channels: Arc<Mutex<HashMap<SocketAddr, Channel>>>,
}

impl PeerCalls {
    /// Create a caller without connections.
    pub fn new(identity: Identity, key: FleetKey) -> Self {
        Self {
            identity,
            key,
            channels: Arc::default(),
        }
    }

    /// Sign a call. `body` is the message without its proof.
    pub fn sign(&self, method: &str, body: &impl Message) -> peer::Proof {
        let nonce = rand::random();
        proof::sign(&self.key, &self.identity, method, unix_ms(), nonce, body)
    }

    /// Return a client of the peer at `addr`. The connection is opened by the first call.
    ///
    /// # Errors
    ///
    /// Return the cause when the address can't be used.
    pub fn client(&self, addr: SocketAddr) -> Result<PeerClient<Channel>, SmolStr> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&addr) {
            return Ok(client(channel.clone()));
        }
        let endpoint = Endpoint::from_shared(format!("http://{addr}"))
            .map_err(|error| format_smolstr!("peer address {addr}: {error}"))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(PING_PERIOD)
            .keep_alive_timeout(PING_TIMEOUT)
            .tcp_nodelay(true);
        let channel = endpoint.connect_lazy();
        if channels.len() >= MAX_CHANNELS {
            // Calls in flight hold their own handle.
            channels.clear();
        }
        channels.insert(addr, channel.clone());
        Ok(client(channel))
    }

    /// Fetch a document and report it to the core.
    pub async fn fetch_document(
        self,
        core: CoreSender,
        from: InstanceId,
        addr: SocketAddr,
        mut query: peer::FetchDocumentRequest,
    ) {
        query.proof = None;
        query.proof = Some(self.sign(FETCH_DOCUMENT, &query));
        let call = async {
            let mut client = self.client(addr)?;
            client.fetch_document(query).await.map_err(describe)
        };
        let event = match within(FETCH_TIMEOUT, call).await {
            Ok(answer) => Event::DocumentFetched {
                from,
                answer: Arc::new(answer.into_inner()),
            },
            Err(cause) => Event::DocumentFetchFailed { from, cause },
        };
        core.send_event(event);
    }

    /// Fetch the text of the instance list that a peer holds.
    ///
    /// # Errors
    ///
    /// Return the cause when the peer doesn't answer in time.
    pub async fn fetch_instances(&self, addr: SocketAddr) -> Result<Vec<u8>, SmolStr> {
        let mut req = peer::FetchInstancesRequest { proof: None };
        req.proof = Some(self.sign(FETCH_INSTANCES, &req));
        let call = async {
            let mut client = self.client(addr)?;
            client.fetch_instances(req).await.map_err(describe)
        };
        let answer = within(FETCH_TIMEOUT, call).await?;
        Ok(answer.into_inner().list)
    }

    /// Lease quota and report it to the core.
    pub async fn lease_quota(
        self,
        core: CoreSender,
        home: InstanceId,
        addr: SocketAddr,
        demands: Vec<peer::QuotaDemand>,
    ) {
        let mut req = peer::LeaseQuotaRequest {
            proof: None,
            demands,
        };
        req.proof = Some(self.sign(LEASE_QUOTA, &req));
        let call = async {
            let mut client = self.client(addr)?;
            client.lease_quota(req).await.map_err(describe)
        };
        let event = match within(LEASE_TIMEOUT, call).await {
            Ok(answer) => Event::QuotaLeased {
                home,
                leases: answer.into_inner().leases,
            },
            Err(cause) => {
                tracing::debug!(%home, %cause, "lease of quota failed");
                Event::QuotaLeaseFailed { home }
            }
        };
        core.send_event(event);
    }
}

fn client(channel: Channel) -> PeerClient<Channel> {
    PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES)
}

/// Describe a failed call.
pub fn describe(status: tonic::Status) -> SmolStr {
    format_smolstr!("{}: {}", status.code(), status.message())
}

async fn within<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, SmolStr>>,
) -> Result<T, SmolStr> {
    tokio::time::timeout(limit, call)
        .await
        .unwrap_or_else(|_| Err("the peer did not answer in time".into()))
}
