//! Execution tickets and their ledger.

use std::fmt;

/// The key that all entry instances of a fleet share.
#[derive(Clone, Default)]
pub struct FleetKey(pub [u8; 32]);

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}
