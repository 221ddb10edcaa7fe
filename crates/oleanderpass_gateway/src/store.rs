//! Keep what was read from the platform's store, so that peers can fetch it from this instance.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::FromStr;

use bytes::Bytes;
use indexmap::IndexMap;
use oleanderpass_proto::peer::StoreCopy;
use oleanderpass_proto::peer::StoreItem as RawStoreItem;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::ZoneId;
use smol_str::SmolStr;

use crate::config::Configuration;
use crate::configuration_encoding::DecodeError;
use crate::configuration_encoding::Digest;
use crate::configuration_encoding::Encoding;
use crate::configuration_encoding::decode;
use crate::configuration_encoding::dictionary_of;
use crate::configuration_history::Accepted;
use crate::configuration_history::ConfigurationHistory;
use crate::registry::ListEntry;

/// The most removals that are kept for peers. A peer that misses more of them gets a copy of
/// everything.
const MAX_REMOVALS: usize = 256;

/// The largest configuration that is part of copies of the store. Larger ones are fetched
/// separately, so that the list of backend servers doesn't wait for them.
pub(crate) const MAX_INLINE_BYTES: usize = 16 * 1024;

/// A position in the history of the store.
///
/// A store that is restored from an older copy of itself starts another history, in which it gives
/// out revisions again. It then raises its era by one, so any position of a later era is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// The number of the history, or 0 if the store doesn't number them.
    pub era: u64,
    /// The revision within the history.
    pub revision: u64,
}

impl StorePosition {
    /// Return the position of a revision in the history `era`.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl From<u64> for StorePosition {
    /// Return the position of a revision of a store that doesn't number its histories.
    fn from(revision: u64) -> Self {
        Self::new(0, revision)
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

impl FromStr for StorePosition {
    type Err = ParseIntError;

    /// Parse what [`fmt::Display`] writes. A number alone is a revision without an era.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once('.') {
            Some((era, revision)) => Ok(Self::new(era.parse()?, revision.parse()?)),
            None => text.parse::<u64>().map(Self::from),
        }
    }
}

/// An item of the store, or its removal.
#[derive(Clone, Debug)]
pub struct StoreItem {
    /// The key.
    pub key: SmolStr,
    /// The position of its last change.
    pub position: StorePosition,
    /// The undecoded value, or `None` for a removal.
    pub value: Option<Bytes>,
    /// What the item describes.
    pub content: Content,
}

/// What an item of the store describes.
#[derive(Clone, Debug)]
pub enum Content {
    /// The configuration, or `None` if it is invalid or was removed.
    Configuration(Option<Configuration>),
    /// A backend server. Its entry is `None` if it is malformed or was removed.
    Server(BackendServerId, ListEntry),
    /// The evacuation of an availability zone. The removal of the item takes the zone back.
    Evacuation(ZoneId),
    /// Something that this system doesn't use.
    Other,
}

/// Where to fetch a newer copy of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopySource {
    /// The address of the peer.
    pub addr: SocketAddr,
    /// The position after which changes are missing. [`StorePosition::default`] asks for
    /// everything.
    pub after: StorePosition,
}

/// A configuration that a copy omits, because it is large and fetched separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OmittedConfiguration {
    /// The position of its item.
    pub position: StorePosition,
    /// Its version.
    pub version: u64,
}

/// The item of the configuration in force as it is sent to a peer.
#[derive(Clone, Debug)]
pub struct EncodedConfiguration {
    /// The position of its last change.
    pub position: StorePosition,
    /// How the body is encoded.
    pub encoding: Encoding,
    /// The value, encoded.
    pub body: Bytes,
    /// The digest of the value. Peers of older builds send none.
    pub digest: Option<Digest>,
}

/// What an item of the copy describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Configuration,
    Server,
    Other,
}

/// Which items a copy for a peer has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Parts {
    /// All.
    All,
    /// All but the configuration.
    AllButConfiguration,
}

/// A present item of the copy.
#[derive(Debug)]
struct Held {
    position: StorePosition,
    value: Bytes,
    kind: Kind,
}

/// A copy of the items of the store, undecoded.
#[derive(Debug, Default)]
pub(crate) struct LocalCopy {
    /// The position up to which nothing is missing.
    position: StorePosition,
    items: IndexMap<SmolStr, Held>,
    /// The positions and keys of removed items, the latest removal last.
    removed: VecDeque<(StorePosition, SmolStr)>,
    /// Removals up to this position may be missing from `removed`; all later ones are there.
    removals_complete_after: StorePosition,
    /// The key of the configuration, which is looked up on each datagram.
    configuration_key: Option<SmolStr>,
    /// The versions before the present configuration.
    history: ConfigurationHistory,
}

impl LocalCopy {
    /// Return the position up to which nothing is missing.
    pub(crate) fn position(&self) -> StorePosition {
        self.position
    }

    /// Record that nothing is missing up to a position.
    pub(crate) fn advance(&mut self, position: StorePosition) {
        self.position = self.position.max(position);
    }

    /// Return what changed after a position, for a peer. Return everything if `after` is the
    /// default, or if removals since then are no longer kept.
    pub(crate) fn changes(&self, after: StorePosition, parts: Parts) -> StoreCopy {
        let partial = after > StorePosition::default() && after >= self.removals_complete_after;
        let is_wanted = |position: StorePosition| !partial || position > after;
        let is_part = |held: &Held| parts == Parts::All || held.kind != Kind::Configuration;
        let present = self
            .items
            .iter()
            .filter(|(_, held)| is_part(held))
            .map(|(key, held)| encode(key, held.position, Some(&held.value)));
        let removed = self
            .removed
            .iter()
            .map(|(position, key)| encode(key, *position, None));
        let items = present.chain(removed);
        StoreCopy {
            era: self.position.era,
            revision: self.position.revision,
            items: items
                .filter(|item| is_wanted(StorePosition::new(item.era, item.revision)))
                .collect(),
            partial,
            evacuations: None,
            omitted: None,
        }
    }

    fn configuration(&self) -> Option<&Held> {
        self.items.get(self.configuration_key.as_ref()?)
    }

    /// Return the position of the configuration if it is too large for copies of the store.
    pub(crate) fn large_configuration(&self) -> Option<StorePosition> {
        let held = self.configuration()?;
        (held.value.len() > MAX_INLINE_BYTES).then_some(held.position)
    }

    /// Return the encodings of a newer configuration that this instance can decode.
    pub(crate) fn accepted(&self) -> Accepted {
        let held = self.configuration();
        Accepted {
            zstd: true,
            dictionary: held.map(|held| self.history.digest(&held.value)),
        }
    }

    /// Return the configuration for a peer that accepts these encodings.
    pub(crate) fn encode(&mut self, accepted: Accepted) -> Option<EncodedConfiguration> {
        let held = self.configuration()?;
        let (position, value) = (held.position, held.value.clone());
        let (encoding, body) = self.history.encode(&value, accepted);
        // Only peers that accept an encoding check the digest.
        let digest = (accepted != Accepted::default()).then(|| self.history.digest(&value));
        Some(EncodedConfiguration {
            position,
            encoding,
            body,
            digest,
        })
    }

    /// Return the value of a peer's configuration.
    pub(crate) fn decode(&self, encoded: &EncodedConfiguration) -> Result<Bytes, DecodeError> {
        let wanted = dictionary_of(encoded.encoding, &encoded.body)?;
        // The version in force may have changed since this instance asked.
        let dictionary = wanted.and_then(|wanted| {
            let held = self.configuration()?;
            match self.history.digest(&held.value) == wanted {
                true => Some(&held.value),
                false => self.history.earlier(wanted),
            }
        });
        let value = decode(
            encoded.encoding,
            &encoded.body,
            dictionary.map(|value| &value[..]),
        )?;
        match encoded.digest {
            Some(expected) if Digest::of(&value) != expected => Err(DecodeError::OtherDigest),
            None if encoded.encoding != Encoding::Identity => Err(DecodeError::OtherDigest),
            _ => Ok(value),
        }
    }

    /// Keep a peer's configuration in the form in which it came, if it is the one that this
    /// instance has now.
    pub(crate) fn on_decoded(&mut self, encoded: &EncodedConfiguration, value: &Bytes) {
        let held = self.configuration();
        // The value is shared, unless another one has come meanwhile.
        let is_own = held.is_some_and(|held| held.value.as_ptr() == value.as_ptr());
        if is_own {
            self.history.add_received(encoded.encoding, &encoded.body);
        }
    }

    /// Apply a change, unless a newer one of the same item was applied before. Evacuations are kept
    /// elsewhere, because they outlast what a restored store has.
    pub(crate) fn apply(&mut self, item: &StoreItem) {
        match &item.value {
            _ if matches!(item.content, Content::Evacuation(_)) => {}
            _ if !self.is_newer(&item.key, item.position) => {}
            Some(value) => {
                let held = Held {
                    position: item.position,
                    value: value.clone(),
                    kind: match item.content {
                        Content::Configuration(_) => Kind::Configuration,
                        Content::Server(..) => Kind::Server,
                        Content::Evacuation(_) | Content::Other => Kind::Other,
                    },
                };
                if held.kind == Kind::Configuration {
                    self.configuration_key = Some(item.key.clone());
                }
                let old = self.items.insert(item.key.clone(), held);
                if let Some(old) = old
                    && old.kind == Kind::Configuration
                    && old.value != value
                {
                    self.history.on_replaced(old.value);
                }
            }
            None => self.remove(item.key.clone(), item.position),
        }
    }

    /// Replace all items of backend servers by those that were read at `position`. Items that
    /// changed later stay.
    pub(crate) fn replace_servers(&mut self, position: StorePosition, items: &[StoreItem]) {
        let missing: Vec<SmolStr> = self
            .items
            .iter()
            .filter(|(_, held)| held.kind == Kind::Server && held.position <= position)
            .filter(|(key, _)| items.iter().all(|item| item.key != **key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in missing {
            self.remove(key, position);
        }
        for item in items {
            self.apply(item);
        }
    }

    fn is_newer(&self, key: &SmolStr, position: StorePosition) -> bool {
        self.items
            .get(key)
            .is_none_or(|held| held.position <= position)
    }

    fn remove(&mut self, key: SmolStr, position: StorePosition) {
        self.items.swap_remove(&key);
        self.removed.push_back((position, key));
        if self.removed.len() > MAX_REMOVALS
            && let Some((position, _)) = self.removed.pop_front()
        {
            self.removals_complete_after = position;
        }
    }
}

fn encode(key: &SmolStr, position: StorePosition, value: Option<&Bytes>) -> RawStoreItem {
    RawStoreItem {
        key: key.to_string(),
        era: position.era,
        revision: position.revision,
        value: value.map_or_else(Vec::new, |value| value.to_vec()),
        removed: value.is_none(),
    }
}
