//! Know the other entry instances and exchange bulletins with them.

use std::net::SocketAddr;

use indexmap::IndexMap;
use oleanderpass_membership::membership::Identity;
use oleanderpass_membership::membership::Input;
use oleanderpass_membership::membership::Membership;
use oleanderpass_membership::membership::Output;
use oleanderpass_membership::packet::MAX_PACKET_BYTES;
use oleanderpass_proto::peer::Bulletin;
use oleanderpass_proto::peer::Packet;
use oleanderpass_proto::peer::Placed;
use oleanderpass_routing::rendezvous::node_key;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::ZoneId;
use oleanderpass_types::size::Tokens;
use prost::Message;
use rand::Rng;

use crate::backend::BackendKey;
use crate::load::Summary;
use crate::load::TIGHT_GAP;

/// The longest time between two bulletins in a small fleet.
const BULLETIN_INTERVAL: Millis = Millis::new(450);

/// The longest time between two bulletins for each member, in milliseconds, so that the datagrams a
/// second don't grow with the fleet from 150 members on.
const INTERVAL_PER_MEMBER: u64 = 3;

/// The shortest time between two bulletins. News of several requests within it share a datagram.
pub const MIN_BULLETIN_INTERVAL: Millis = Millis::new(15);

/// The shortest time between two bulletins for four members, in milliseconds.
const PAUSE_PER_FOUR_MEMBERS: u64 = 1;

/// The bulletins that a peer misses before it counts as out of reach.
const MISSED_BULLETINS: u64 = 3;

/// The time for which a silent peer still speaks for its availability zone. After it, the zone may
/// simply have no instances any more.
const ZONE_MEMORY: Millis = Millis::from_secs(20);

/// The instances of an availability zone that read the store for the others. The second one keeps the
/// zone informed while the first is replaced.
const READERS: usize = 2;

/// Milliseconds in a second.
pub(crate) const MS_PER_S: f64 = 1_000.0;

/// The part of a datagram that entries of work may fill, in bytes. The rest is for servers that leave or
/// can't be reached and for evidence of crashes.
const PLACED_BYTES: usize = MAX_PACKET_BYTES * 3 / 4;

/// What a peer said last.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// The address of its peer protocols.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// When it was last heard.
    pub heard: Timestamp,
    /// The newest revision of the store that it has read.
    pub store_revision: u64,
    /// The version of its configuration.
    pub config_version: u64,
    /// Its watch of the store works.
    pub reads_store: bool,
}

/// A bulletin of a peer, checked.
#[derive(Clone, Debug)]
pub struct PeerNews {
    /// The peer.
    pub from: InstanceId,
    /// The number of the bulletin, over all incarnations of the peer.
    pub sequence: u64,
    /// What it has placed.
    pub placed: IndexMap<BackendKey, Summary>,
    /// Incarnations of backend servers that it knows to be leaving.
    pub leaving: Vec<BackendKey>,
    /// Incarnations of backend servers that it could not reach lately.
    pub unreachable: Vec<BackendKey>,
    /// The engines' worth of reading of its long prompts.
    pub long_load: f64,
}

/// The other entry instances.
#[derive(Debug)]
pub struct Fleet {
    identity: Identity,
    seeds: Vec<SocketAddr>,
    membership: Membership,
    peers: IndexMap<InstanceId, PeerView>,
    sequence: u64,
    last_sent: Timestamp,
    largest: usize,
}

impl Fleet {
    /// Start with no peer known.
    pub fn new(now: Timestamp, identity: Identity, seeds: Vec<SocketAddr>) -> Self {
        Self {
            membership: Membership::new(now, identity.clone(), seeds.clone()),
            identity,
            seeds,
            peers: IndexMap::new(),
            sequence: 0,
            last_sent: Timestamp::ORIGIN,
            largest: 0,
        }
    }

    /// Return the peers that were heard lately.
    pub fn live_peers(&self, now: Timestamp) -> impl Iterator<Item = (&InstanceId, &PeerView)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| now.since(peer.heard) < self.silence())
    }

    /// Return the most instances that were ever live together, this one included. An instance that
    /// is cut off must not believe that it is alone.
    pub fn largest(&self) -> usize {
        self.largest + 1
    }

    /// Return whether an availability zone can be reached: `None` if nothing is known of it.
    pub fn reaches(&self, now: Timestamp, zone: &ZoneId) -> Option<bool> {
        if *zone == self.identity.zone {
            return Some(true);
        }
        let in_zone = || self.peers.values().filter(|peer| peer.zone == *zone);
        if in_zone().any(|peer| now.since(peer.heard) < self.silence()) {
            return Some(true);
        }
        in_zone()
            .any(|peer| now.since(peer.heard) < ZONE_MEMORY)
            .then_some(false)
    }

    /// Return whether this instance reads the store: fewer than [`READERS`] peers of its zone that
    /// come before it do. All may read at once until they know each other, which is harmless.
    pub fn is_reader(&self, now: Timestamp) -> bool {
        let own = node_key(self.identity.id.as_str());
        let before = self.live_peers(now).filter(|(id, peer)| {
            peer.zone == self.identity.zone
                && peer.reads_store
                && (node_key(id.as_str()), *id) < (own, &self.identity.id)
        });
        before.count() < READERS
    }

    /// Take a datagram. Return the news of a bulletin.
    pub fn on_packet(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        packet: &Packet,
        rng: &mut impl Rng,
        out: &mut Vec<(SocketAddr, Packet)>,
    ) -> Option<PeerNews> {
        self.run(now, Input::Packet { source, packet }, rng, out);
        let from = packet.from.parse::<InstanceId>().ok()?;
        let bulletin = packet.bulletin.as_ref()?;
        if from == self.identity.id {
            return None;
        }
        let zone = bulletin.zone.parse::<ZoneId>().ok()?;
        let peer = self.peers.entry(from.clone()).or_insert_with(|| PeerView {
            addr: source,
            zone: zone.clone(),
            heard: now,
            store_revision: 0,
            config_version: 0,
            reads_store: false,
        });
        peer.addr = source;
        peer.zone = zone;
        peer.heard = now;
        peer.reads_store = bulletin.reads_store;
        peer.store_revision = peer.store_revision.max(bulletin.store_revision);
        peer.config_version = peer.config_version.max(bulletin.config_version);
        self.largest = self.largest.max(self.live_peers(now).count());
        let placed = bulletin.placed.iter().map(summary_of).collect();
        let leaving = bulletin.leaving.iter().copied().map(BackendKey).collect();
        let unreachable = bulletin
            .unreachable
            .iter()
            .copied()
            .map(BackendKey)
            .collect();
        Some(PeerNews {
            from,
            sequence: bulletin.sequence,
            placed,
            leaving,
            unreachable,
            long_load: f64::from(bulletin.long_read_ms_per_s) / MS_PER_S,
        })
    }

    /// Let time pass.
    pub fn on_tick(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<(SocketAddr, Packet)>,
    ) {
        self.run(now, Input::Tick, rng, out);
    }

    /// Announce that this instance is leaving.
    pub fn leave(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<(SocketAddr, Packet)>,
    ) {
        self.run(now, Input::Leave, rng, out);
    }

    /// Return whether a bulletin is due.
    pub fn is_due(&self, now: Timestamp, news: bool) -> bool {
        let pause = if news {
            Millis::new(self.peers.len() as u64 * PAUSE_PER_FOUR_MEMBERS / 4)
                .max(MIN_BULLETIN_INTERVAL)
        } else {
            self.interval()
        };
        now.since(self.last_sent) >= pause
    }

    fn interval(&self) -> Millis {
        Millis::new(self.peers.len() as u64 * INTERVAL_PER_MEMBER).max(BULLETIN_INTERVAL)
    }

    /// Return the silence after which a peer counts as out of reach.
    fn silence(&self) -> Millis {
        self.interval().saturating_mul(MISSED_BULLETINS)
    }

    /// Send a bulletin to all members that may be alive.
    pub fn send_bulletin(
        &mut self,
        now: Timestamp,
        mut bulletin: Bulletin,
        placed: impl Iterator<Item = (BackendKey, Summary)>,
        out: &mut Vec<(SocketAddr, Packet)>,
    ) {
        self.last_sent = now;
        // Rises over restarts, because the incarnation does.
        self.sequence = self.sequence.max(self.identity.incarnation.get()) + 1;
        bulletin.sequence = self.sequence;
        bulletin.zone = self.identity.zone.to_string();
        bulletin.placed = fitting(placed);
        let packet = Packet {
            from: self.identity.id.to_string(),
            incarnation: self.identity.incarnation.get(),
            bulletin: Some(Box::new(bulletin)),
            ..Packet::default()
        };
        for member in self.membership.live_members() {
            out.push((member.addr, packet.clone()));
        }
    }

    fn run(
        &mut self,
        now: Timestamp,
        input: Input<'_>,
        rng: &mut impl Rng,
        out: &mut Vec<(SocketAddr, Packet)>,
    ) {
        let mut outputs = Vec::new();
        self.membership.handle(now, input, rng, &mut outputs);
        for output in outputs {
            match output {
                Output::Send { to, packet } => out.push((to, packet)),
                Output::Changed(member) => tracing::info!(
                    instance = %member.id,
                    incarnation = %member.incarnation,
                    liveness = %member.liveness,
                    leaving = member.leaving,
                    "an entry instance changed"
                ),
                Output::Superseded(newer) => self.outbid(now, newer),
            }
        }
    }

    /// Take an incarnation above one that peers remember. The time of day was stepped back between
    /// two lives of this instance.
    fn outbid(&mut self, now: Timestamp, newer: Incarnation) {
        tracing::warn!(%newer, "peers know a newer incarnation of this instance; taking the next");
        self.identity.incarnation = Incarnation::new(newer.get() + 1);
        self.membership = Membership::new(now, self.identity.clone(), self.seeds.clone());
    }
}

/// Return as much work as a bulletin holds, servers with most to read first.
fn fitting(placed: impl Iterator<Item = (BackendKey, Summary)>) -> Vec<Placed> {
    let mut all: Vec<Placed> = placed.map(placed_of).collect();
    all.sort_by_key(|entry| std::cmp::Reverse(entry.unread_ms));
    let mut bytes = 0;
    let held = all
        .iter()
        .take_while(|entry| {
            bytes += entry.encoded_len() + 2;
            bytes <= PLACED_BYTES
        })
        .count();
    if held < all.len() {
        tracing::debug!(
            servers = all.len(),
            held,
            "a bulletin holds only part of the work"
        );
    }
    all.truncate(held);
    all
}

fn placed_of((key, sum): (BackendKey, Summary)) -> Placed {
    Placed {
        server: key.0,
        unread_ms: sum.unread_ms.ceil() as u32,
        in_flight: sum.in_flight,
        gap_ms: sum.gap.map_or(0, |gap| gap.get() as u32),
        tight_writers: sum.tight_writers,
        memory_tokens: sum.memory.get(),
        deferred: sum.deferred,
        deferred_ms: sum.deferred_ms.ceil() as u32,
        split_ms: sum.split_ms.ceil() as u32,
        split_left_ms: sum.split_left.get() as u32,
    }
}

fn summary_of(raw: &Placed) -> (BackendKey, Summary) {
    let gap = (raw.gap_ms > 0).then(|| Millis::new(raw.gap_ms.into()));
    let sum = Summary {
        unread_ms: raw.unread_ms.into(),
        in_flight: raw.in_flight,
        gap,
        tight_writers: match gap {
            Some(gap) if gap <= TIGHT_GAP => raw.tight_writers,
            _ => 0,
        },
        memory: Tokens::new(raw.memory_tokens),
        deferred: raw.deferred,
        deferred_ms: raw.deferred_ms.into(),
        split_ms: raw.split_ms.into(),
        split_left: Millis::new(raw.split_left_ms.into()),
    };
    (BackendKey(raw.server), sum)
}
