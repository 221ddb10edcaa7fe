//! Identify one content of one generation.

use std::fmt;

use oleanderpass_proto::peer::DocumentVersion;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::Generation;

/// A generation and the digest of its canonical form. Versions are ordered by generation, then by
/// digest; the higher one replaces the lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// The generation, which rises with each promotion.
    pub generation: Generation,
    /// The SHA-256 of the document's canonical form.
    pub digest: Digest,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "generation {} ({})", self.generation, self.digest)
    }
}

impl Version {
    /// Convert into the message for peers. `conflicted` marks a generation with two contents.
    pub fn to_message(self, conflicted: bool) -> DocumentVersion {
        DocumentVersion {
            generation: self.generation.get(),
            digest: self.digest.0.to_vec(),
            conflicted,
        }
    }
}

/// A version whose digest isn't 32 bytes long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidVersion;

impl fmt::Display for InvalidVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a document version needs a digest of 32 bytes")
    }
}

impl std::error::Error for InvalidVersion {}

impl TryFrom<&DocumentVersion> for Version {
    type Error = InvalidVersion;

    fn try_from(raw: &DocumentVersion) -> Result<Self, Self::Error> {
        let digest = raw.digest.as_slice().try_into();
        Ok(Version {
            generation: Generation::new(raw.generation),
            digest: Digest(digest.map_err(|_| InvalidVersion)?),
        })
    }
}
