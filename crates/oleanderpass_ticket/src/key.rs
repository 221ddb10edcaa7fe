//! Message authentication with the key that all entry instances of a fleet share.

use std::fmt;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

/// Length of an HMAC-SHA256 message authentication code (MAC).
pub const MAC_BYTES: usize = 32;

/// Block length of SHA-256, to which HMAC pads its key with zeros.
const SHA256_BLOCK_BYTES: usize = 64;

/// The secret key that all entry instances of a fleet share. `Debug` output omits it.
#[derive(Clone, Default)]
pub struct FleetKey(pub [u8; 32]);

impl FleetKey {
    /// Compute the MAC of a payload.
    ///
    /// `purpose` separates the uses of the key: a MAC for one purpose is invalid for any other. It
    /// must contain no zero byte, which ends it in the MAC input.
    pub fn sign(&self, purpose: &[u8], payload: &[u8]) -> [u8; MAC_BYTES] {
        self.mac(purpose, payload).finalize().into_bytes().into()
    }

    /// Return whether a MAC is valid for the purpose and payload. The comparison takes constant
    /// time.
    pub fn verify(&self, purpose: &[u8], payload: &[u8], mac: &[u8]) -> bool {
        self.mac(purpose, payload).verify_slice(mac).is_ok()
    }

    fn mac(&self, purpose: &[u8], payload: &[u8]) -> Hmac<Sha256> {
        let mut padded = [0; SHA256_BLOCK_BYTES];
        padded[..self.0.len()].copy_from_slice(&self.0);
        let mut mac = <Hmac<Sha256> as KeyInit>::new(&padded.into());
        mac.update(purpose);
        mac.update(&[0]);
        mac.update(payload);
        mac
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}
