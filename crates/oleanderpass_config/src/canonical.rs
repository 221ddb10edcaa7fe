//! Bring a document into one canonical form and compute its digest.

use oleanderpass_proto::environment;
use oleanderpass_types::id::Digest;
use sha2::Digest as _;
use sha2::Sha256;

/// Serialize a raw document to canonical JSON: compact, with sorted keys.
///
/// # Errors
///
/// Return the serializer's error; the generated types have none.
pub fn canonical_json(raw: &environment::Document) -> serde_json::Result<Vec<u8>> {
    // `serde_json::Value` keeps object keys sorted.
    serde_json::to_vec(&serde_json::to_value(raw)?)
}

/// Compute the SHA-256 of a text.
pub fn digest(bytes: &[u8]) -> Digest {
    Digest(Sha256::digest(bytes).into())
}
