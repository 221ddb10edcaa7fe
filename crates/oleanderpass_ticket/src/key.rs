//! Hold the key that all entry instances of a fleet share.

use std::fmt;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

/// The length of an authentication code, in bytes.
pub const CODE_LEN: usize = 32;

/// The block length of SHA-256, to which HMAC pads its key, in bytes.
const BLOCK_LEN: usize = 64;

/// The key that all entry instances of a fleet share.
#[derive(Clone, Default)]
pub struct FleetKey(pub [u8; 32]);

impl FleetKey {
    /// Compute the authentication code of a payload.
    ///
    /// The purpose separates the uses of the key: a code for one purpose is invalid for another.
    pub fn sign(&self, purpose: &[u8], payload: &[u8]) -> [u8; CODE_LEN] {
        self.mac(purpose, payload).finalize().into_bytes().into()
    }

    /// Check an authentication code in constant time.
    pub fn verify(&self, purpose: &[u8], payload: &[u8], code: &[u8]) -> bool {
        self.mac(purpose, payload).verify_slice(code).is_ok()
    }

    fn mac(&self, purpose: &[u8], payload: &[u8]) -> Hmac<Sha256> {
        let mut padded = [0; BLOCK_LEN];
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
