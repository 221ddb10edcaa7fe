//! Keep packets within the size of one datagram.

use oleanderpass_proto::peer::CrashEvidence;
use oleanderpass_proto::peer::DocumentVersion;
use oleanderpass_proto::peer::LeavingServer;
use oleanderpass_proto::peer::Packet;
use prost::Message;

/// The size of the largest datagram. It is below the minimum IPv6 MTU (1,280 bytes) less the IP and
/// UDP headers, so that no network on the path fragments it.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The size of the HMAC-SHA256 that follows the packet in the datagram.
pub const HMAC_BYTES: usize = 32;

/// The size of the largest encoded packet.
pub const MAX_PACKET_BYTES: usize = MAX_DATAGRAM_BYTES - HMAC_BYTES;

/// The most member updates in a packet.
pub const MAX_MEMBER_UPDATES: usize = 8;

/// The size of an encoded packet up to which member updates are added. The rest is for document
/// versions, leaving servers and crash evidence.
pub const MEMBER_UPDATES_MAX_BYTES: usize = 700;

/// What the caller adds to a packet besides member updates, each list by falling importance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Attachments {
    /// The version of the document in force; `None` if there is none.
    pub in_force: Option<DocumentVersion>,
    /// The versions of candidate documents and of conflicted generations.
    pub candidates: Vec<DocumentVersion>,
    /// Backend servers that are leaving.
    pub leaving_servers: Vec<LeavingServer>,
    /// Evidence of crashes of backend servers.
    pub crashes: Vec<CrashEvidence>,
}

/// How many entries of each list of [`Attachments`] fitted into a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttachedCounts {
    /// Versions of candidate documents and conflicted generations.
    pub candidates: usize,
    /// Leaving backend servers.
    pub leaving_servers: usize,
    /// Pieces of crash evidence.
    pub crashes: usize,
}

/// Return whether an encoded packet with its HMAC fits into a datagram.
pub fn fits_datagram(packet: &Packet) -> bool {
    packet.encoded_len() <= MAX_PACKET_BYTES
}

/// Add the attachments that fit to a packet: document versions first, then leaving servers, then
/// crash evidence.
pub fn attach(packet: &mut Packet, attachments: &Attachments) -> AttachedCounts {
    packet.in_force.clone_from(&attachments.in_force);
    AttachedCounts {
        candidates: add_while_fitting(packet, &attachments.candidates, |packet| {
            &mut packet.candidates
        }),
        leaving_servers: add_while_fitting(packet, &attachments.leaving_servers, |packet| {
            &mut packet.leaving_servers
        }),
        crashes: add_while_fitting(packet, &attachments.crashes, |packet| &mut packet.crashes),
    }
}

fn add_while_fitting<T: Clone>(
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
