//! Decide when a document that arrives from a peer or the store is given up.
//!
//! How long a document takes depends on its size and on who shares the links, so a bound on the
//! whole time would end transfers that are sound, and the next one would begin anew. A transfer
//! ends only if it stalls.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Bytes;

/// The time within which the answer to a call begins, and in which [`MIN_PROGRESS`] has to arrive
/// from then on.
pub const STALL_TIME: Millis = Millis::new(800);

/// What has to arrive in [`STALL_TIME`], so that a sender of a byte now and then doesn't keep a
/// transfer open. It is a five-hundredth of what the slowest links carry.
const MIN_PROGRESS: Bytes = Bytes::new(4 * 1024);

/// The progress of one transfer.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    began: Timestamp,
    received: Bytes,
    /// What has arrived since the last time at which the transfer counted as alive.
    since_progress: Bytes,
    stalls_at: Timestamp,
}

impl Transfer {
    /// Begin a transfer whose answer may take up to `patience` to begin.
    pub fn new(now: Timestamp, patience: Millis) -> Self {
        Self {
            began: now,
            received: Bytes::ZERO,
            since_progress: Bytes::ZERO,
            stalls_at: now + patience,
        }
    }

    /// Record that the answer begins.
    pub fn on_head(&mut self, now: Timestamp) {
        self.on_progress(now);
    }

    /// Record that a part of the document arrived.
    pub fn on_received(&mut self, now: Timestamp, size: Bytes) {
        self.received += size;
        self.since_progress += size;
        if self.since_progress >= MIN_PROGRESS {
            self.on_progress(now);
        }
    }

    fn on_progress(&mut self, now: Timestamp) {
        self.since_progress = Bytes::ZERO;
        self.stalls_at = now + STALL_TIME;
    }

    /// Return when the transfer is given up if nothing more arrives.
    pub fn stalls_at(&self) -> Timestamp {
        self.stalls_at
    }

    /// Return whether a part of the document has arrived.
    pub fn has_begun(&self) -> bool {
        self.received > Bytes::ZERO
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
