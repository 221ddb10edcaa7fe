//! Exchange datagrams with peers and read their copy of the store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use oleanderpass_gateway::peers::MIN_BULLETIN_INTERVAL;
use oleanderpass_membership::packet::MAX_DATAGRAM_BYTES;
use oleanderpass_proto::peer::Packet;
use oleanderpass_proto::peer::StoreCopy;
use oleanderpass_types::clock::Millis;
use prost::Message;

use crate::connection;
use crate::node::Shared;
use crate::operator::COPY_PATH;

/// The interval of the regular work. Membership expects 100 ms.
const TICK: Duration = Duration::from_millis(100);

/// The largest copy of the store: a configuration of a megabyte and the list of servers.
const MAX_COPY_BYTES: usize = 8 << 20;

/// The time in which a peer answers with its copy.
const COPY_TIME: Duration = Duration::from_millis(800);

/// The time between two ticks from which on the process was paused or its machine suspended.
const PAUSED: Millis = Millis::new(1_000);

/// Receive datagrams until the process ends.
pub(crate) async fn receive(node: Shared) {
    let mut buf = vec![0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        let (len, source) = match node.peers.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "could not receive a datagram");
                continue;
            }
        };
        let packet = match Packet::decode(&buf[..len]) {
            Ok(packet) => packet,
            Err(error) => {
                tracing::warn!(%error, peer = %source, "a datagram can't be read");
                continue;
            }
        };
        let mut out = Vec::new();
        let behind = {
            let mut gateway = node.gateway.borrow_mut();
            gateway.on_packet(node.now(), source, &packet, &mut out);
            gateway.newest_peer_revision(node.now()) > gateway.store_revision()
        };
        node.send_packets(out);
        if behind {
            node.store_behind.notify_one();
        }
    }
}

/// Do the regular work until the process ends.
pub(crate) async fn tick(node: Shared) {
    let mut last = node.now();
    loop {
        tokio::time::sleep(TICK).await;
        let now = node.now();
        let elapsed = now.since(last);
        last = now;
        if elapsed >= PAUSED {
            tracing::warn!(elapsed_ms = elapsed.get(), "the process was paused");
        }
        let mut out = Vec::new();
        node.gateway.borrow_mut().on_tick(now, &mut out);
        node.send_packets(out);
        node.pool.borrow_mut().tick(now);
    }
}

/// Tell peers of own work soon after it changed, until the process ends.
pub(crate) async fn publish(node: Shared) {
    loop {
        node.work_changed.notified().await;
        tokio::time::sleep(MIN_BULLETIN_INTERVAL.into()).await;
        let mut out = Vec::new();
        node.gateway
            .borrow_mut()
            .send_bulletin(node.now(), &mut out);
        node.send_packets(out);
    }
}

/// Read what changed in the store after a revision from a peer's copy.
///
/// # Errors
///
/// Return why the peer gave none.
pub(crate) async fn read_copy(addr: SocketAddr, after: u64) -> Result<StoreCopy> {
    let read = async {
        let mut connection = connection::open(addr).await?;
        let req = Request::get(format!("{COPY_PATH}?{after}"))
            .header(http::header::HOST, addr.to_string())
            .body(Full::new(Bytes::new()))?;
        let answer = connection.sender.send_request(req).await?;
        if !answer.status().is_success() {
            bail!("peer {addr} answered {}", answer.status());
        }
        let body = Limited::new(answer.into_body(), MAX_COPY_BYTES)
            .collect()
            .await
            .map_err(|error| eyre::eyre!("read the copy: {error}"))?;
        StoreCopy::decode(body.to_bytes()).wrap_err("decode the copy")
    };
    tokio::time::timeout(COPY_TIME, read)
        .await
        .wrap_err_with(|| format!("peer {addr}: timeout"))?
}
