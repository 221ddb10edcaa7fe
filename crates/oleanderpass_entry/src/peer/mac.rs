//! Create message authentication codes from the fleet key.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use crate::settings::FleetKey;

/// The block length of SHA-256, in bytes. HMAC extends a shorter key with zeros to it.
const BLOCK_BYTES: usize = 64;

/// Start an HMAC-SHA256. `domain` differs for each use of the fleet key, so that a code made for
/// one use is invalid for another.
pub fn start(key: &FleetKey, domain: &[u8]) -> Hmac<Sha256> {
    let mut block = [0; BLOCK_BYTES];
    for (byte, key) in block.iter_mut().zip(key.0) {
        *byte = key;
    }
    Hmac::<Sha256>::new(&block.into()).chain_update(domain)
}
