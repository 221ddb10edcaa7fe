//! Exchange what was read from the platform's store with peers.
//!
//! Copies of the list of backend servers are small and come from the peer with the newest position.
//! They omit a large configuration, which is fetched separately from any peer that has it in force.

use std::net::SocketAddr;

use bytes::Bytes;
use oleanderpass_proto::peer::Evacuations as RawEvacuations;
use oleanderpass_proto::peer::OmittedConfiguration as RawOmittedConfiguration;
use oleanderpass_proto::peer::StoreCopy;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Bytes as Size;

use super::Gateway;
use crate::configuration_encoding::DecodeError;
use crate::configuration_history::Accepted;
use crate::configuration_source::Candidate;
use crate::configuration_source::Choice;
use crate::configuration_source::Members;
use crate::copy_slots::CopySlots;
use crate::copy_slots::SlotId;
use crate::peers::PeerView;
use crate::store::Content;
use crate::store::CopySource;
use crate::store::EncodedConfiguration;
use crate::store::OmittedConfiguration;
use crate::store::Parts;
use crate::store::StoreItem;
use crate::store::StorePosition;

/// What an instance that asks a peer for a configuration has already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationRequest {
    /// The version in force, or 0 if there is none.
    pub version: u64,
    /// The encodings that it accepts.
    pub accepted: Accepted,
}

/// What a peer that asks for a configuration gets.
#[derive(Debug)]
pub enum ServedConfiguration {
    /// The one in force here, to be sent while this slot is held.
    Copy(EncodedConfiguration, SlotId),
    /// Nothing, because enough copies are being sent.
    Busy,
    /// Nothing, because it isn't newer than the peer's.
    NotNewer,
}

impl Gateway {
    /// Return where to fetch evacuations that a restored store may have lost, if a live peer knows
    /// others of earlier eras than this instance.
    pub fn evacuation_source(&self, now: Timestamp) -> Option<CopySource> {
        let own = self.store_position();
        let own_hash = self.evacuations.earlier_hash(own.era);
        let mut live = self.fleet.live_peers(now).map(|(_, peer)| peer);
        let differs = live.find(|peer| {
            peer.store_position.era == own.era && peer.earlier_evacuations != own_hash
        })?;
        Some(CopySource {
            addr: differs.addr,
            after: own,
        })
    }

    /// Apply a peer's copy of the store up to `position`. It holds all items, or the changes after
    /// [`CopySource::after`] if it is `partial`.
    pub fn on_peer_copy(
        &mut self,
        now: Timestamp,
        position: StorePosition,
        partial: bool,
        items: Vec<StoreItem>,
    ) {
        let (servers, others) = items
            .into_iter()
            .partition(|item| !partial && matches!(item.content, Content::Server(..)));
        let mut others: Vec<StoreItem> = others;
        others.sort_by_key(|item| item.position);
        for item in others {
            self.on_store_item(now, item);
        }
        if !partial {
            let mut servers: Vec<StoreItem> = servers;
            servers.retain(|item| item.value.is_some());
            self.on_store_list(now, position, servers);
        }
        self.on_store_position(position);
    }

    /// Return what changed in the store after a position, for a peer, with all evacuations. The
    /// default asks for everything.
    pub fn store_changes(&self, now: Timestamp, after: StorePosition) -> StoreCopy {
        self.changes(now, after, Parts::All)
    }

    fn changes(&self, now: Timestamp, after: StorePosition, parts: Parts) -> StoreCopy {
        let evacuations = RawEvacuations {
            entries: self.evacuations.encode(now),
        };
        StoreCopy {
            evacuations: Some(evacuations),
            ..self.store.changes(after, parts)
        }
    }

    /// Do the same as [`Gateway::store_changes`] for a peer that fetches large configurations
    /// separately.
    pub fn store_changes_without_large_configuration(
        &self,
        now: Timestamp,
        after: StorePosition,
    ) -> StoreCopy {
        let Some(omitted) = self.separate_configuration() else {
            return self.changes(now, after, Parts::All);
        };
        let mut copy = self.changes(now, after, Parts::AllButConfiguration);
        if !copy.partial || omitted.position > after {
            copy.omitted = Some(RawOmittedConfiguration {
                era: omitted.position.era,
                revision: omitted.position.revision,
                version: omitted.version,
            });
        }
        copy
    }

    /// Return the newest configuration that this instance knows of, if peers have to fetch it
    /// separately: it is large, or this instance doesn't have it yet.
    fn separate_configuration(&self) -> Option<OmittedConfiguration> {
        if self.misses_configuration() {
            return self.omitted;
        }
        let large = self.store.large_configuration();
        large.map(|position| OmittedConfiguration {
            position,
            version: self.config_version(),
        })
    }

    /// Record that a peer's copy omits a configuration.
    pub fn on_omitted_configuration(&mut self, omitted: OmittedConfiguration) {
        let known = self.omitted.map_or(0, |known| known.version);
        if omitted.version > known.max(self.config_version()) {
            self.omitted = Some(omitted);
        }
    }

    /// Record that everything was read from the store, which has no newer configuration than this
    /// instance.
    pub(crate) fn on_everything_read(&mut self) {
        self.omitted = None;
    }

    /// Return whether this instance knows of a newer configuration than it has, and its position in
    /// the store may be beyond it.
    pub fn misses_configuration(&self) -> bool {
        let omitted = self.omitted.as_ref();
        omitted.is_some_and(|omitted| omitted.version > self.config_version())
    }

    /// Return whether this instance misses a configuration that no live peer has either. Then only
    /// the store has it, and a watch from this position doesn't return it.
    pub fn has_lost_configuration(&self, now: Timestamp) -> bool {
        let missing = self.omitted.filter(|_| self.misses_configuration());
        missing.is_some_and(|missing| {
            let mut live = self.fleet.live_peers(now);
            live.all(|(_, peer)| peer.config_version < missing.version)
        })
    }

    /// Return the live peers from which a newer configuration has to be fetched separately. A small
    /// one that the list of changes brings isn't among them; a store that was restored from a copy
    /// doesn't bring it until operators write it again. A change of a large one comes sooner from a
    /// peer, also to an instance to which the store is sending the whole.
    fn configuration_holders(&self, now: Timestamp) -> impl Iterator<Item = &PeerView> {
        let (own, version) = (self.store_position(), self.config_version());
        let is_separate = self.misses_configuration() || self.store.large_configuration().is_some();
        let live = self.fleet.live_peers(now).map(|(_, peer)| peer);
        live.filter(move |peer| {
            peer.config_version > version && (is_separate || peer.store_position <= own)
        })
    }

    /// Return whether a newer configuration has to be fetched separately and a live peer has it.
    pub fn lacks_configuration(&self, now: Timestamp) -> bool {
        self.configuration_holders(now).next().is_some()
    }

    /// Return where to fetch a newer configuration than the one in force.
    pub fn choose_configuration_source(&mut self, now: Timestamp) -> Choice {
        let candidates = self.configuration_holders(now).map(|peer| Candidate {
            addr: peer.addr,
            version: peer.config_version,
            is_local: peer.zone == self.identity.zone,
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let live = self.fleet.live_peers(now);
        let mut members = Members::default();
        for (_, peer) in live {
            members.all += 1;
            members.local += usize::from(peer.zone == self.identity.zone);
        }
        let sources = &mut self.configuration_sources;
        sources.choose(now, &candidates, members, &mut self.rng)
    }

    /// Return what to ask a peer for.
    pub fn configuration_request(&self) -> ConfigurationRequest {
        let accepted = match self.configuration_sources.wants_plain() {
            true => Accepted::default(),
            false => self.store.accepted(),
        };
        ConfigurationRequest {
            version: self.config_version(),
            accepted,
        }
    }

    /// Return the value of a configuration that was fetched separately.
    ///
    /// # Errors
    ///
    /// Return why it can't be decoded. The next peer is asked for the whole without an encoding.
    pub fn decode_configuration(
        &mut self,
        encoded: &EncodedConfiguration,
    ) -> Result<Bytes, DecodeError> {
        let decoded = self.store.decode(encoded);
        if decoded.is_err() {
            self.configuration_sources.on_undecodable();
        }
        decoded
    }

    /// Apply a configuration that was fetched separately and decoded from `encoded`.
    pub fn on_configuration_copy(
        &mut self,
        now: Timestamp,
        encoded: &EncodedConfiguration,
        item: StoreItem,
    ) {
        self.configuration_sources.on_taken();
        let value = item.value.clone();
        self.on_store_item(now, item);
        if let Some(value) = value {
            self.store.on_decoded(encoded, &value);
        }
    }

    /// Record that a peer refused to send its configuration.
    pub fn on_configuration_refused(&mut self, now: Timestamp, peer: SocketAddr) {
        let sources = &mut self.configuration_sources;
        sources.on_refused(now, peer, &mut self.rng);
    }

    /// Record that a peer's configuration could not be fetched.
    pub fn on_configuration_failed(&mut self, now: Timestamp, peer: SocketAddr) {
        self.configuration_sources.on_failed(now, peer);
    }

    /// Return the configuration in force for a peer that asks for it.
    pub fn serve_configuration(
        &mut self,
        now: Timestamp,
        request: ConfigurationRequest,
    ) -> ServedConfiguration {
        if self.config_version() <= request.version {
            return ServedConfiguration::NotNewer;
        }
        let Some(encoded) = self.store.encode(request.accepted) else {
            return ServedConfiguration::NotNewer;
        };
        let size = Size::new(encoded.body.len() as u64);
        match self.copy_slots.begin(now, size) {
            Some(slot) => ServedConfiguration::Copy(encoded, slot),
            None => ServedConfiguration::Busy,
        }
    }

    /// Return the copies of the configuration that are being sent to peers.
    pub fn copy_slots(&mut self) -> &mut CopySlots {
        &mut self.copy_slots
    }

    /// Return whether a live peer has read more of the store than this instance.
    pub fn is_behind(&self, now: Timestamp) -> bool {
        let own = self.store_position();
        let mut live = self.fleet.live_peers(now);
        live.any(|(_, peer)| peer.store_position > own)
    }

    /// Return where to fetch the newest copy of the store, if a live peer has a newer one than this
    /// instance. Without any copy, any live peer's will do.
    pub fn copy_source(&self, now: Timestamp) -> Option<CopySource> {
        let own = self.store_position();
        let live = self.fleet.live_peers(now).map(|(_, peer)| peer);
        let newest = live.max_by_key(|peer| peer.store_position)?;
        if own == StorePosition::default() {
            return Some(CopySource {
                addr: newest.addr,
                after: StorePosition::default(),
            });
        }
        if newest.store_position > own {
            return Some(CopySource {
                addr: newest.addr,
                after: own,
            });
        }
        self.evacuation_source(now)
    }
}
