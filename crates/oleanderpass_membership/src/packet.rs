//! Keep packets within the size of one datagram.

use oleanderpass_proto::peer::CrashEvidence;
use oleanderpass_proto::peer::DocumentVersion;
use oleanderpass_proto::peer::LeavingServer;
use oleanderpass_proto::peer::Packet;
use prost::Message;

/// The largest datagram, in bytes. Below the smallest IPv6 MTU (1,280) less IP and UDP headers, so
/// that no network on the way fragments it.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The HMAC-SHA256 that follows the packet in the datagram, in bytes.
pub const HMAC_BYTES: usize = 32;

/// The largest encoded packet, in bytes.
pub const MAX_PACKET_BYTES: usize = MAX_DATAGRAM_BYTES - HMAC_BYTES;

/// The most member updates in a packet.
pub const MAX_UPDATES: usize = 8;

/// The size of an encoded packet up to which member updates are added, in bytes. The rest is for
/// document versions, leaving servers and crash evidence.
pub const MEMBER_BYTES: usize = 700;

/// What a packet carries besides member updates, most important first in each list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Attachments {
    /// The document in force.
    pub in_force: Option<DocumentVersion>,
    /// Candidates and conflicted generations.
    pub candidates: Vec<DocumentVersion>,
    /// Backend servers that are leaving.
    pub leaving_servers: Vec<LeavingServer>,
    /// Crashes of backend servers.
    pub crashes: Vec<CrashEvidence>,
}

/// How many entries of each list of an [`Attachments`] fitted into a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttachedCounts {
    /// Candidates and conflicted generations.
    pub candidates: usize,
    /// Leaving servers.
    pub leaving_servers: usize,
    /// Crashes.
    pub crashes: usize,
}

/// Return whether an encoded packet with its HMAC fits into a datagram.
pub fn fits_datagram(packet: &Packet) -> bool {
    packet.encoded_len() <= MAX_PACKET_BYTES
}

/// Add to a packet what fits: document versions first, then leaving servers, then crashes.
pub fn attach(packet: &mut Packet, extra: &Attachments) -> AttachedCounts {
    packet.in_force.clone_from(&extra.in_force);
    AttachedCounts {
        candidates: add(packet, &extra.candidates, |packet| &mut packet.candidates),
        leaving_servers: add(packet, &extra.leaving_servers, |packet| {
            &mut packet.leaving_servers
        }),
        crashes: add(packet, &extra.crashes, |packet| &mut packet.crashes),
    }
}

fn add<T: Clone>(
    packet: &mut Packet,
    items: &[T],
    list: impl Fn(&mut Packet) -> &mut Vec<T>,
) -> usize {
    for (index, item) in items.iter().enumerate() {
        list(packet).push(item.clone());
        if !fits_datagram(packet) {
            list(packet).pop();
            return index;
        }
    }
    items.len()
}
