//! Report what an instance has read and whether it drains.

use oleanderpass_types::clock::Timestamp;

use super::Gateway;
use crate::readiness::Readiness;
use crate::readiness::Reason;

impl Gateway {
    /// Bring the state of readiness up to date.
    pub fn update_readiness(&self, now: Timestamp, readiness: &mut Readiness) {
        for (reason, applies) in [
            (Reason::NoConfiguration, self.config.is_none()),
            (Reason::ServerListIncomplete, !self.registry.is_complete()),
            (Reason::Draining, self.drain.is_some()),
        ] {
            readiness.set(now, reason, applies);
        }
    }
}
