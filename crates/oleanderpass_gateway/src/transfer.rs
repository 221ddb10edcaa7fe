//! Follow how much of a document from a peer or the store has arrived.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Bytes;

/// The progress of one transfer.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    began: Timestamp,
    received: Bytes,
}

impl Transfer {
    /// Begin a transfer.
    pub fn new(now: Timestamp) -> Self {
        Self {
            began: now,
            received: Bytes::ZERO,
        }
    }

    /// Record that bytes arrived.
    pub fn on_received(&mut self, size: Bytes) {
        self.received += size;
    }

    /// Return how much has arrived.
    pub fn received(&self) -> Bytes {
        self.received
    }

    /// Return the time since the transfer began.
    pub fn elapsed(&self, now: Timestamp) -> Millis {
        now.since(self.began)
    }
}
