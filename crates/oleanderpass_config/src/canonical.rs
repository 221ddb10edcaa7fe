//! Serialize a document to its canonical form and compute its digest.
//!
//! The form is compact JSON with sorted keys and without fields that have their default value.
//! Without them, a program version with additional fields computes the same digest.

use oleanderpass_proto::environment;
use oleanderpass_types::id::Digest;
use serde_json::Value;
use sha2::Digest as _;
use sha2::Sha256;

/// Serialize a parsed document to canonical JSON.
///
/// # Errors
///
/// Return the serializer's error; serializing the generated types doesn't fail.
pub fn canonical_json(raw: &environment::Document) -> serde_json::Result<Vec<u8>> {
    let mut value = serde_json::to_value(raw)?;
    strip_defaults(&mut value);
    // `serde_json::Value` keeps object keys sorted; a test guards against `preserve_order`.
    serde_json::to_vec(&value)
}

/// Compute the SHA-256 of bytes.
pub fn digest(bytes: &[u8]) -> Digest {
    Digest(Sha256::digest(bytes).into())
}

fn strip_defaults(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.values_mut().for_each(strip_defaults);
            fields.retain(|_, field| !is_default(field));
        }
        Value::Array(items) => items.iter_mut().for_each(strip_defaults),
        _ => {}
    }
}

fn is_default(value: &Value) -> bool {
    match value {
        Value::Null => true,
        Value::Bool(flag) => !flag,
        Value::Number(number) => number.as_u64() == Some(0),
        Value::String(text) => text.is_empty(),
        Value::Array(items) => items.is_empty(),
        Value::Object(fields) => fields.is_empty(),
    }
}
