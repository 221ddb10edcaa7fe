//! Send and receive authenticated datagrams.

use std::net::SocketAddr;
use std::sync::Arc;

use hmac::Mac;
use oleanderpass_core::event::Event;
use oleanderpass_proto::peer::Packet;
use prost::Message;
use strum::Display;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::metrics::ControlTraffic;
use crate::metrics::Metrics;
use crate::peer::mac;
use crate::settings::FleetKey;
use crate::shared::Shared;

/// The largest datagram, in bytes. It fits into one IP packet at the smallest usual MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The length of an HMAC-SHA256, in bytes.
const TAG_BYTES: usize = 32;

/// Separates the authenticated datagrams from other uses of the fleet key.
const DOMAIN: &[u8] = b"oleanderpass datagram v1\n";

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum DatagramError {
    /// It is longer than [`MAX_DATAGRAM_BYTES`] or shorter than an HMAC.
    Length,
    /// The HMAC is wrong.
    Hmac,
    /// The content can't be decoded.
    Malformed,
}

/// Encode a packet and append its HMAC.
///
/// # Errors
///
/// Return [`DatagramError::Length`] when the result exceeds [`MAX_DATAGRAM_BYTES`].
pub fn encode(key: &FleetKey, packet: &Packet) -> Result<Vec<u8>, DatagramError> {
    let mut buf = packet.encode_to_vec();
    if buf.len() + TAG_BYTES > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Length);
    }
    let tag = mac::start(key, DOMAIN)
        .chain_update(&buf)
        .finalize()
        .into_bytes();
    buf.extend_from_slice(&tag);
    Ok(buf)
}

/// Check the HMAC of a datagram and decode it.
///
/// # Errors
///
/// Return why the datagram must be dropped.
pub fn decode(key: &FleetKey, datagram: &[u8]) -> Result<Packet, DatagramError> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Length);
    }
    let (content, tag) = datagram
        .split_last_chunk::<TAG_BYTES>()
        .ok_or(DatagramError::Length)?;
    mac::start(key, DOMAIN)
        .chain_update(content)
        .verify_slice(tag)
        .map_err(|_| DatagramError::Hmac)?;
    Packet::decode(content).map_err(|_| DatagramError::Malformed)
}

/// Receive datagrams and send their packets to the core, for the life of the process.
pub async fn receive(socket: Arc<UdpSocket>, key: FleetKey, shared: Arc<Shared>) {
    // One byte more than the limit, so that a longer datagram is detected and not truncated to it.
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                // The error comes from the ICMP answer to an earlier send; the socket stays usable.
                tracing::debug!(%error, "failed to receive a datagram");
                tokio::task::yield_now().await;
                continue;
            }
        };
        shared
            .metrics
            .count_control_bytes(ControlTraffic::DatagramsReceived, length);
        match decode(&key, &buf[..length]) {
            Ok(packet) => {
                let packet = Arc::new(packet);
                shared.core.send_event(Event::PeerPacket { from, packet });
            }
            Err(error) => {
                tracing::debug!(%from, %error, "dropped a datagram");
                shared
                    .metrics
                    .count_rejected_peer_message(error.to_string());
            }
        }
    }
}

/// Send the core's packets as datagrams until the channel closes.
pub async fn send(
    socket: Arc<UdpSocket>,
    key: FleetKey,
    metrics: Arc<Metrics>,
    mut packets: UnboundedReceiver<(SocketAddr, Box<Packet>)>,
) {
    while let Some((to, packet)) = packets.recv().await {
        let datagram = match encode(&key, &packet) {
            Ok(datagram) => datagram,
            Err(error) => {
                tracing::error!(%to, %error, "packet does not fit into a datagram");
                continue;
            }
        };
        match socket.send_to(&datagram, to).await {
            Ok(bytes) => metrics.count_control_bytes(ControlTraffic::DatagramsSent, bytes),
            Err(error) => tracing::debug!(%to, %error, "failed to send a datagram"),
        }
    }
}
