//! Count the requests that one instance may send to one backend server.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

use crate::server_limits::Allowance;

/// The most requests that an instance saves for one server. The published bounds cover one for each
/// instance that has a share of the server's rate.
const MAX_SAVED: f64 = 1.0;

/// This instance's share of the request rate of one server. A bucket without a share is empty.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenBucket {
    /// The requests that this instance may send per millisecond; 0 if it has no share.
    share_per_ms: f64,
    /// The requests that this instance had saved at `counted`.
    saved: f64,
    counted: Timestamp,
}

impl TokenBucket {
    /// Return the requests that this instance has saved at `now`.
    fn saved(&self, now: Timestamp) -> f64 {
        let elapsed_ms = now.since(self.counted).get() as f64;
        (self.saved + elapsed_ms * self.share_per_ms).min(MAX_SAVED)
    }

    fn set_saved(&mut self, now: Timestamp, saved: f64) {
        self.saved = saved;
        self.counted = now;
    }

    /// Change the share, in requests per second. A share that ends takes what was saved with it.
    pub(crate) fn set_share(&mut self, now: Timestamp, per_second: f64) {
        let saved = if per_second > 0.0 {
            self.saved(now)
        } else {
            0.0
        };
        self.set_saved(now, saved);
        self.share_per_ms = per_second / 1_000.0;
    }

    /// Return the share, in requests per second.
    pub(crate) fn per_second(&self) -> f64 {
        self.share_per_ms * 1_000.0
    }

    /// Save a part of a request, for a bucket whose share has just begun.
    pub(crate) fn fill(&mut self, now: Timestamp, part: f64) {
        if self.share_per_ms > 0.0 {
            self.set_saved(now, part.min(MAX_SAVED));
        }
    }

    /// Return whether a request may be sent.
    pub(crate) fn allowance(&self, now: Timestamp) -> Allowance {
        let saved = self.saved(now);
        if saved >= 1.0 {
            Allowance::Now
        } else if self.share_per_ms > 0.0 {
            let wait_ms = (1.0 - saved) / self.share_per_ms;
            Allowance::After(Millis::new(wait_ms.ceil() as u64))
        } else {
            Allowance::Never
        }
    }

    /// Count a request.
    pub(crate) fn take(&mut self, now: Timestamp) {
        self.set_saved(now, self.saved(now) - 1.0);
    }

    /// Undo [`TokenBucket::take`] for a request that was not sent.
    pub(crate) fn refund(&mut self, now: Timestamp) {
        if self.share_per_ms > 0.0 {
            self.set_saved(now, (self.saved(now) + 1.0).min(MAX_SAVED));
        }
    }
}
