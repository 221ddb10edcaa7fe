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

/// The timeout for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout of a fetch. A whole document has up to 1 MB.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The timeout of a lease request, half of the 2 s that a lease lasts.
const LEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval of HTTP/2 pings on a connection with calls in flight. With [`PING_TIMEOUT`], a
/// silent connection is detected within 3 s.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// The timeout of the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// The most connections cached at the same time. When a further one is opened, all idle ones are
/// closed.
const MAX_CACHED_CHANNELS: usize = 64;

/// The largest message accepted from a peer, in bytes. It leaves room for a document of 1 MB, or a
/// chain of deltas of the same size, and the message's other fields.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// The name of the call that forwards a request, as covered by the call's proof.
pub const FORWARD: &str = "Forward";
/// The name of the call that fetches a document, as covered by its proof.
pub const FETCH_DOCUMENT: &str = "FetchDocument";
/// The name of the call that fetches the instance list, as covered by its proof.
pub const FETCH_INSTANCES: &str = "FetchInstances";
/// The name of the call that leases quota, as covered by its proof.
pub const LEASE_QUOTA: &str = "LeaseQuota";

/// The client for calls to peers. Its clones share one cache of connections.
#[derive(Clone, Debug)]
pub struct PeerCalls {
    identity: Identity,
    key: FleetKey,
    channels: Arc<Mutex<HashMap<SocketAddr, Channel>>>,
}

impl PeerCalls {
    /// Create a client without connections.
    pub fn new(identity: Identity, key: FleetKey) -> Self {
        Self {
            identity,
            key,
            channels: Arc::default(),
        }
    }

    /// Create the proof of a call. `body` is the message without its proof.
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
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .tcp_nodelay(true);
        let channel = endpoint.connect_lazy();
        if channels.len() >= MAX_CACHED_CHANNELS {
            // Calls in flight keep their connection open with a handle of their own.
            channels.clear();
        }
        channels.insert(addr, channel.clone());
        Ok(client(channel))
    }

    /// Fetch a document from a peer and report it, or the failure, to the core.
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
            client.fetch_document(query).await.map_err(describe_status)
        };
        let event = match with_timeout(FETCH_TIMEOUT, call).await {
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
            client.fetch_instances(req).await.map_err(describe_status)
        };
        let answer = with_timeout(FETCH_TIMEOUT, call).await?;
        Ok(answer.into_inner().list)
    }

    /// Request quota from `home`, the home instance of the organisations in `demands`, and report
    /// the leases, or the failure, to the core.
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
            client.lease_quota(req).await.map_err(describe_status)
        };
        let event = match with_timeout(LEASE_TIMEOUT, call).await {
            Ok(answer) => Event::QuotaLeased {
                home,
                leases: answer.into_inner().leases,
            },
            Err(cause) => {
                tracing::debug!(%home, %cause, "lease request failed");
                Event::QuotaLeaseFailed { home }
            }
        };
        core.send_event(event);
    }
}

fn client(channel: Channel) -> PeerClient<Channel> {
    PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES)
}

/// Describe the status of a failed call.
pub fn describe_status(status: tonic::Status) -> SmolStr {
    format_smolstr!("{}: {}", status.code(), status.message())
}

async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, SmolStr>>,
) -> Result<T, SmolStr> {
    tokio::time::timeout(limit, call)
        .await
        .unwrap_or_else(|_| Err("the peer did not answer in time".into()))
}
