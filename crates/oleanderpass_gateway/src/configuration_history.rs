//! Keep the older versions of the configuration, so that peers that have one of them get a newer one
//! as a change.

use std::cell::OnceCell;
use std::collections::VecDeque;

use bytes::Bytes;
use indexmap::IndexMap;
use oleanderpass_types::size::Bytes as Size;

use crate::configuration_encoding::Digest;
use crate::configuration_encoding::Encoding;
use crate::configuration_encoding::dictionary_of;
use crate::configuration_encoding::encode;

/// The memory that older versions may take together. Two versions of a megabyte fit, the largest
/// value that the platform's store accepts, and a peer is rarely more than one behind.
const MAX_EARLIER: Size = Size::new(2 * 1024 * 1024);

/// The smallest configuration that is encoded. Smaller ones are part of each copy of the store.
const MIN_ENCODED: usize = 1024;

/// The encodings that a peer accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Accepted {
    /// Whether it accepts [`Encoding::Zstd`].
    pub zstd: bool,
    /// The version that it has, if it accepts [`Encoding::Dcz`].
    pub dictionary: Option<Digest>,
}

/// The encoded forms of the configuration in force, and the versions before it.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationHistory {
    /// The digest of the configuration in force, once it is needed.
    digest: OnceCell<Digest>,
    /// The versions before it, the latest one last.
    earlier: VecDeque<(Digest, Bytes)>,
    /// The bodies that were sent or received, by the version that they change, or `None` for those
    /// that change none.
    bodies: IndexMap<Option<Digest>, Bytes>,
}

impl ConfigurationHistory {
    /// Record that `old` is no longer the configuration in force.
    pub(crate) fn on_replaced(&mut self, old: Bytes) {
        self.bodies.clear();
        let digest = self.digest.take();
        if old.len() < MIN_ENCODED {
            return;
        }
        let digest = digest.unwrap_or_else(|| Digest::of(&old));
        self.earlier.push_back((digest, old));
        let size = |earlier: &VecDeque<(Digest, Bytes)>| {
            earlier.iter().map(|(_, value)| value.len() as u64).sum()
        };
        while Size::new(size(&self.earlier)) > MAX_EARLIER {
            self.earlier.pop_front();
        }
    }

    /// Return the digest of the configuration in force, which is `value`.
    pub(crate) fn digest(&self, value: &[u8]) -> Digest {
        *self.digest.get_or_init(|| Digest::of(value))
    }

    /// Return the value of an earlier version.
    pub(crate) fn earlier(&self, digest: Digest) -> Option<&Bytes> {
        let mut earlier = self.earlier.iter();
        earlier
            .find(|(other, _)| *other == digest)
            .map(|(_, value)| value)
    }

    /// Keep a body from which the configuration in force was decoded, to send it on to peers.
    pub(crate) fn add_received(&mut self, encoding: Encoding, body: &Bytes) {
        if encoding != Encoding::Identity
            && let Ok(dictionary) = dictionary_of(encoding, body)
        {
            self.bodies.insert(dictionary, body.clone());
        }
    }

    /// Return the configuration in force, which is `value`, in the smallest form that a peer accepts.
    pub(crate) fn encode(&mut self, value: &Bytes, accepted: Accepted) -> (Encoding, Bytes) {
        let old = accepted
            .dictionary
            .and_then(|digest| Some((digest, self.earlier(digest)?)));
        let encoding = match old {
            Some(_) => Encoding::Dcz,
            None if accepted.zstd => Encoding::Zstd,
            None => return (Encoding::Identity, value.clone()),
        };
        let key = old.map(|(digest, _)| digest);
        if let Some(body) = self.bodies.get(&key) {
            return (encoding, body.clone());
        }
        let body = encode(value, old.as_ref().map(|(digest, old)| (digest, &old[..])));
        match body {
            Some(body) => {
                self.bodies.insert(key, body.clone());
                (encoding, body)
            }
            None => (Encoding::Identity, value.clone()),
        }
    }
}
