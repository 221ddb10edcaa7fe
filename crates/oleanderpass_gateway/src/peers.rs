//! Track the other entry instances and exchange bulletins with them.

use std::net::SocketAddr;

use indexmap::IndexMap;
use indexmap::IndexSet;
use oleanderpass_membership::membership::Identity;
use oleanderpass_membership::membership::Input;
use oleanderpass_membership::membership::Membership;
use oleanderpass_membership::membership::Output;
use oleanderpass_membership::packet::MAX_PACKET_BYTES;
use oleanderpass_membership::packet::fits_datagram;
use oleanderpass_proto::peer::Bulletin;
use oleanderpass_proto::peer::CrashEvidence;
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
use crate::lifetime::Lifetime;
use crate::load::BackendLoad;
use crate::load::TIGHT_GAP;
use crate::store::StorePosition;

/// The interval between two bulletins without changes, in a fleet of up to 150 members.
const BULLETIN_INTERVAL: Millis = Millis::new(450);

/// The interval between two bulletins without changes for each member, in milliseconds. It keeps
/// the number of datagrams that an instance sends per second constant in fleets of more than 150
/// members.
const INTERVAL_PER_MEMBER_MS: u64 = 3;

/// The shortest interval between two bulletins. Changes by several requests within it share a
/// datagram.
pub const MIN_BULLETIN_INTERVAL: Millis = Millis::new(15);

/// The shortest interval between two bulletins for every four members, in milliseconds.
const MIN_INTERVAL_PER_FOUR_MEMBERS_MS: u64 = 1;

/// The number of intervals without a bulletin after which a peer counts as unreachable.
const MAX_MISSED_BULLETINS: u64 = 3;

/// The time since its last bulletin for which a silent peer is evidence that its availability zone
/// can't be reached. After that, the zone may simply have no instances any more.
const ZONE_EVIDENCE_LIFETIME: Millis = Millis::from_secs(20);

/// The time since its last bulletin for which a silent peer still takes part in shared decisions, so
/// that the two sides of a network partition agree on them.
const HEARD_OF_LIFETIME: Millis = Millis::from_secs(30);

/// The same time for the peers of an availability zone that is silent as a whole. It is probably cut
/// off, for longer than [`HEARD_OF_LIFETIME`].
const SILENT_ZONE_LIFETIME: Millis = Millis::from_secs(600);

/// The time in which an instance that knows one peer gets bulletins from all that it reaches: three
/// intervals between bulletins.
const INTRODUCTION_TIME: Millis = Millis::new(1_350);

/// The time beyond one interval between bulletins after which a zone counts as unreachable, if several
/// of its instances are silent that were live before. Each of them has missed a bulletin then, and
/// until the zone counts as unreachable, requests are sent there in vain.
const ZONE_SILENCE_MARGIN: Millis = Millis::new(150);

/// The number of instances of an availability zone that read the store for the others. The second
/// one keeps the zone up to date while the first one is replaced.
const READERS_PER_ZONE: usize = 2;

pub(crate) const MS_PER_S: f64 = 1_000.0;

/// The largest part of a datagram that the load on servers may fill. The rest is for leaving and
/// unreachable servers and for crash evidence.
const MAX_PLACED_BYTES: usize = MAX_PACKET_BYTES * 3 / 4;

/// The latest state that a peer reported.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// Its incarnation.
    pub incarnation: u64,
    /// The lifetime of its process.
    pub lifetime: Lifetime,
    /// The source address of its last bulletin. The peer protocols use the same address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// When its last bulletin was received.
    pub last_heard: Timestamp,
    /// The newest position of the store that the peer has read.
    pub store_position: StorePosition,
    /// The version of the configuration in force at the peer.
    pub config_version: u64,
    /// Whether the peer reads the store itself and can reach it.
    pub reads_store: bool,
    /// Whether the peer connects this instance to backend servers.
    pub relays: bool,
    /// The hash of the evacuations that the peer knows from earlier eras of the store.
    pub earlier_evacuations: u64,
}

/// How well an instance knows the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Acquaintance {
    /// It has just started or reaches no peer.
    #[default]
    None,
    /// It knows the peers that it reaches. Others may have been cut off before it started.
    Reached,
    /// It knows all peers.
    All,
}

/// The decoded bulletin of a peer.
#[derive(Clone, Debug)]
pub struct PeerUpdate {
    /// The peer that sent it.
    pub from: InstanceId,
    /// Whether the peer was unknown or silent before, or has started again.
    pub appeared: bool,
    /// The sequence number, which rises over all incarnations of the peer.
    pub sequence: u64,
    /// The load that the peer has placed on backend servers.
    pub placed: IndexMap<BackendKey, BackendLoad>,
    /// Incarnations of backend servers that the peer knows to be leaving.
    pub leaving: Vec<BackendKey>,
    /// Incarnations of backend servers that the peer could not reach recently.
    pub unreachable: Vec<BackendKey>,
    /// Incarnations of backend servers that the peer found gone.
    pub gone: IndexSet<BackendKey>,
    /// The average number of engines that prefill long prompts of the peer.
    pub long_prompt_load: f64,
}

/// The other entry instances.
#[derive(Debug)]
pub struct Fleet {
    identity: Identity,
    lifetime: Lifetime,
    seeds: Vec<SocketAddr>,
    membership: Membership,
    peers: IndexMap<InstanceId, PeerView>,
    sequence: u64,
    last_sent: Timestamp,
    /// When the first bulletin of a peer was received.
    first_heard: Option<Timestamp>,
    /// The largest number of peers that were live at the same time.
    max_live_peers: usize,
}

impl Fleet {
    /// Create a fleet without known peers. `seeds` are the addresses of instances to contact first.
    pub fn new(
        now: Timestamp,
        identity: Identity,
        lifetime: Lifetime,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self {
            lifetime,
            membership: Membership::new(now, identity.clone(), seeds.clone()),
            identity,
            seeds,
            peers: IndexMap::new(),
            sequence: 0,
            last_sent: Timestamp::ORIGIN,
            first_heard: None,
            max_live_peers: 0,
        }
    }

    /// Return the lifetime of this process.
    pub fn lifetime(&self) -> Lifetime {
        self.lifetime
    }

    /// Return the peers whose bulletins were received recently.
    pub fn live_peers(&self, now: Timestamp) -> impl Iterator<Item = (&InstanceId, &PeerView)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| now.since(peer.last_heard) < self.silence_limit())
    }

    /// Return the peers that take part in shared decisions: those that were heard of a short time
    /// ago, also if they are silent now.
    pub fn heard_of(&self, now: Timestamp) -> impl Iterator<Item = (&InstanceId, &PeerView)> {
        let is_recent = move |peer: &PeerView| now.since(peer.last_heard) < HEARD_OF_LIFETIME;
        let mut heard_zones: IndexSet<&ZoneId> = IndexSet::from([&self.identity.zone]);
        heard_zones.extend(
            self.peers
                .values()
                .filter(|peer| is_recent(peer))
                .map(|peer| &peer.zone),
        );
        self.peers.iter().filter(move |(_, peer)| {
            is_recent(peer)
                || (!heard_zones.contains(&peer.zone)
                    && now.since(peer.last_heard) < SILENT_ZONE_LIFETIME)
        })
    }

    /// Return how well this instance knows the fleet.
    pub fn acquaintance(&self, now: Timestamp) -> Acquaintance {
        match self.first_heard.map(|at| now.since(at)) {
            None if self.seeds.is_empty() => Acquaintance::All,
            None => Acquaintance::None,
            Some(known) if known < INTRODUCTION_TIME => Acquaintance::None,
            // A zone whose instances are silent for less time may have them.
            Some(known) if known < SILENT_ZONE_LIFETIME => Acquaintance::Reached,
            Some(_) => Acquaintance::All,
        }
    }

    /// Return the largest number of instances that were ever live at the same time, this one
    /// included. It doesn't fall, because an instance that is cut off must not assume that it is
    /// alone.
    pub fn max_size(&self) -> usize {
        self.max_live_peers + 1
    }

    /// Return whether instances in an availability zone can be reached, or `None` if nothing is
    /// known about the zone.
    pub fn reaches_zone(&self, now: Timestamp, zone: &ZoneId) -> Option<bool> {
        if *zone == self.identity.zone {
            return Some(true);
        }
        let in_zone = || self.peers.values().filter(|peer| peer.zone == *zone);
        let heard_within = |limit: Millis| {
            let heard = in_zone().filter(move |peer| now.since(peer.last_heard) < limit);
            heard.count()
        };
        let silence_limit = match heard_within(self.silence_limit()) {
            // The only live instance may have lost a bulletin.
            0 | 1 => self.silence_limit(),
            _ => self.interval() + ZONE_SILENCE_MARGIN,
        };
        if heard_within(silence_limit) > 0 {
            return Some(true);
        }
        in_zone()
            .any(|peer| now.since(peer.last_heard) < ZONE_EVIDENCE_LIFETIME)
            .then_some(false)
    }

    /// Return whether this instance should read the store. It should if fewer than
    /// `READERS_PER_ZONE` peers that read the store come before it in the hash order of its zone.
    /// Until instances know each other, all of them may read at once, which is harmless.
    pub fn is_reader(&self, now: Timestamp) -> bool {
        let before = self.peers_before(now);
        before.filter(|peer| peer.reads_store).count() < READERS_PER_ZONE
    }

    /// Return how many instances of the zone, beyond the `READERS_PER_ZONE` that read the store while
    /// it serves all, call a failing store before this one; 0 for those readers. The order is the
    /// hash order of the zone's live instances.
    pub fn reserve_rank(&self, now: Timestamp) -> usize {
        let before = self.peers_before(now).count();
        (before + 1).saturating_sub(READERS_PER_ZONE)
    }

    /// Return whether a live peer of any zone reads the store.
    pub fn has_reader(&self, now: Timestamp) -> bool {
        self.live_peers(now).any(|(_, peer)| peer.reads_store)
    }

    /// Iterate over the live peers that come before this instance in the hash order of its zone.
    fn peers_before(&self, now: Timestamp) -> impl Iterator<Item = &PeerView> {
        let own = (node_key(self.identity.id.as_str()), &self.identity.id);
        self.live_peers(now)
            .filter(move |(id, peer)| {
                peer.zone == self.identity.zone && (node_key(id.as_str()), *id) < own
            })
            .map(|(_, peer)| peer)
    }

    /// Return whether this instance, if it reads the store, is the one of the live instances that
    /// notices soonest when the store falls silent.
    pub fn is_first_reader(&self, now: Timestamp) -> bool {
        let own = (node_key(self.identity.id.as_str()), &self.identity.id);
        self.live_peers(now)
            .filter(|(_, peer)| peer.reads_store)
            .all(|(id, _)| (node_key(id.as_str()), id) > own)
    }

    /// Handle a datagram. Return its bulletin, if it has one from a peer.
    pub fn on_packet(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        packet: &Packet,
        rng: &mut impl Rng,
        out: &mut Vec<(SocketAddr, Packet)>,
    ) -> Option<PeerUpdate> {
        self.handle(now, Input::Packet { source, packet }, rng, out);
        let from = packet.from.parse::<InstanceId>().ok()?;
        let bulletin = packet.bulletin.as_ref()?;
        if from == self.identity.id {
            return None;
        }
        let zone = bulletin.zone.parse::<ZoneId>().ok()?;
        self.first_heard.get_or_insert(now);
        let silence_limit = self.silence_limit();
        let appeared = self.peers.get(&from).is_none_or(|peer| {
            peer.incarnation != packet.incarnation
                || peer.lifetime.get() != bulletin.lifetime
                || now.since(peer.last_heard) >= silence_limit
        });
        let lifetime = Lifetime::new(bulletin.lifetime);
        let peer = self.peers.entry(from.clone()).or_insert_with(|| PeerView {
            incarnation: packet.incarnation,
            lifetime,
            addr: source,
            zone: zone.clone(),
            last_heard: now,
            store_position: StorePosition::default(),
            config_version: 0,
            reads_store: false,
            relays: false,
            earlier_evacuations: 0,
        });
        // The incarnation doesn't tell two lifetimes apart if the time of day was set back between them.
        if packet.incarnation > peer.incarnation || lifetime != peer.lifetime {
            // It has started again and knows only what it has read since.
            peer.store_position = StorePosition::default();
            peer.config_version = 0;
        }
        peer.incarnation = packet.incarnation;
        peer.lifetime = lifetime;
        peer.addr = source;
        peer.zone = zone;
        peer.last_heard = now;
        peer.reads_store = bulletin.reads_store;
        peer.relays = bulletin.relays;
        peer.earlier_evacuations = bulletin.earlier_evacuations;
        let position = StorePosition::new(bulletin.store_era, bulletin.store_revision);
        peer.store_position = peer.store_position.max(position);
        peer.config_version = peer.config_version.max(bulletin.config_version);
        self.max_live_peers = self.max_live_peers.max(self.live_peers(now).count());
        let placed = bulletin.placed.iter().map(decode_placed).collect();
        let leaving = bulletin.leaving.iter().copied().map(BackendKey).collect();
        let unreachable = bulletin
            .unreachable
            .iter()
            .copied()
            .map(BackendKey)
            .collect();
        Some(PeerUpdate {
            from,
            appeared,
            sequence: bulletin.sequence,
            placed,
            leaving,
            unreachable,
            gone: bulletin.gone.iter().copied().map(BackendKey).collect(),
            long_prompt_load: f64::from(bulletin.long_read_ms_per_s) / MS_PER_S,
        })
    }

    /// Advance membership to `now`. Expected every 100 ms.
    pub fn on_tick(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<(SocketAddr, Packet)>,
    ) {
        self.handle(now, Input::Tick, rng, out);
    }

    /// Announce to peers that this instance is leaving.
    pub fn leave(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<(SocketAddr, Packet)>,
    ) {
        self.handle(now, Input::Leave, rng, out);
    }

    /// Return whether a bulletin is due. `has_changes` tells whether there are changes to send.
    pub fn is_due(&self, now: Timestamp, has_changes: bool) -> bool {
        if has_changes {
            now >= self.next_with_changes()
        } else {
            now.since(self.last_sent) >= self.interval()
        }
    }

    /// Return when a bulletin with changes may be sent.
    pub fn next_with_changes(&self) -> Timestamp {
        let by_size = self.peers.len() as u64 * MIN_INTERVAL_PER_FOUR_MEMBERS_MS / 4;
        self.last_sent + Millis::new(by_size).max(MIN_BULLETIN_INTERVAL)
    }

    /// Return the interval between two bulletins without changes.
    fn interval(&self) -> Millis {
        Millis::new(self.peers.len() as u64 * INTERVAL_PER_MEMBER_MS).max(BULLETIN_INTERVAL)
    }

    /// Return the time without a bulletin after which a peer counts as unreachable.
    fn silence_limit(&self) -> Millis {
        self.interval().saturating_mul(MAX_MISSED_BULLETINS)
    }

    /// Send a bulletin with crash evidence to all members that may be alive. `placed` is the load of
    /// this instance on each server; it fills the space that the rest leaves.
    pub fn send_bulletin(
        &mut self,
        now: Timestamp,
        mut bulletin: Bulletin,
        crashes: Vec<CrashEvidence>,
        placed: impl Iterator<Item = (BackendKey, BackendLoad)>,
        out: &mut Vec<(SocketAddr, Packet)>,
    ) {
        self.last_sent = now;
        // The incarnation rises with each restart, so the sequence number does too.
        self.sequence = self.sequence.max(self.identity.incarnation.get()) + 1;
        bulletin.sequence = self.sequence;
        bulletin.zone = self.identity.zone.to_string();
        bulletin.lifetime = self.lifetime.get();
        let mut packet = Packet {
            from: self.identity.id.to_string(),
            incarnation: self.identity.incarnation.get(),
            crashes,
            bulletin: Some(Box::new(bulletin)),
            ..Packet::default()
        };
        fit_into_datagram(&mut packet);
        // The length of the bulletin may take one byte more with the load.
        let space = MAX_PACKET_BYTES
            .saturating_sub(packet.encoded_len() + 1)
            .min(MAX_PLACED_BYTES);
        if let Some(bulletin) = &mut packet.bulletin {
            bulletin.placed = fit_into_bulletin(placed, space);
        }
        for member in self.membership.live_members() {
            out.push((member.addr, packet.clone()));
        }
    }

    /// Pass an input to membership and handle its outputs.
    fn handle(
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
                Output::Superseded(newer) => self.raise_incarnation(now, newer),
            }
        }
    }

    /// Choose an incarnation above `newer`, which peers know. This is needed when the time of day
    /// was set back between two runs of this instance.
    fn raise_incarnation(&mut self, now: Timestamp, newer: Incarnation) {
        tracing::warn!(%newer, "peers know a newer incarnation of this instance; taking the next");
        self.identity.incarnation = Incarnation::new(newer.get() + 1);
        self.membership = Membership::new(now, self.identity.clone(), self.seeds.clone());
    }
}

/// Remove entries of lists that peers get again with later bulletins, until a packet fits into a
/// datagram.
fn fit_into_datagram(packet: &mut Packet) {
    while !fits_datagram(packet) {
        let Some(bulletin) = &mut packet.bulletin else {
            return;
        };
        let removed = bulletin.paces.pop().is_some()
            || bulletin.server_limits.pop().is_some()
            || bulletin.harmless_parts.pop().is_some()
            || bulletin.part_crashes.pop().is_some()
            || bulletin.unreachable.pop().is_some()
            || bulletin.gone.pop().is_some();
        if !removed {
            return;
        }
    }
}

/// Encode as much load as fits into `space` bytes, servers with the most pending prefill first.
fn fit_into_bulletin(
    placed: impl Iterator<Item = (BackendKey, BackendLoad)>,
    space: usize,
) -> Vec<Placed> {
    let mut all: Vec<Placed> = placed.map(encode_placed).collect();
    all.sort_by_key(|entry| std::cmp::Reverse(entry.unread_ms));
    let mut bytes = 0;
    let count = all
        .iter()
        .take_while(|entry| {
            // Each entry is preceded by one byte for its tag and one for its length.
            bytes += entry.encoded_len() + 2;
            bytes <= space
        })
        .count();
    if count < all.len() {
        tracing::debug!(
            servers = all.len(),
            held = count,
            "a bulletin has space for only part of the load"
        );
    }
    all.truncate(count);
    all
}

fn encode_placed((key, load): (BackendKey, BackendLoad)) -> Placed {
    Placed {
        server: key.0,
        unread_ms: load.unread_ms.ceil() as u32,
        in_flight: load.in_flight,
        gap_ms: load.gap.map_or(0, |gap| gap.get() as u32),
        tight_writers: load.tight_writers,
        memory_tokens: load.memory.get(),
        deferred: load.deferred,
        deferred_ms: load.deferred_ms.ceil() as u32,
        split_ms: load.split_ms.ceil() as u32,
        split_left_ms: load.split_left.get() as u32,
    }
}

fn decode_placed(raw: &Placed) -> (BackendKey, BackendLoad) {
    let gap = (raw.gap_ms > 0).then(|| Millis::new(raw.gap_ms.into()));
    let load = BackendLoad {
        unread_ms: raw.unread_ms.into(),
        in_flight: raw.in_flight,
        gap,
        // Without a tight gap there are no tight streams, whatever the bulletin states.
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
    (BackendKey(raw.server), load)
}
