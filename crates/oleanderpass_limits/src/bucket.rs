//! Limit a rate by a token bucket that may go into debt.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

/// What the bucket holds at most: the use of this time. A shorter time would refuse requests that
/// arrive together though their rate is within the limit.
const BURST: Millis = Millis::from_secs(1);

/// The units of the level in one of the rate: the rate is per 1,000 s and time is in milliseconds.
const UNITS: i64 = 1_000_000;

/// A token bucket. It admits while its level is positive and then subtracts the whole cost, so that
/// one request larger than the burst can pass; the debt delays the next ones.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    level: i64,
    rate: i64,
    at: Timestamp,
}

impl Bucket {
    /// Create a full bucket. `rate` is per 1,000 s.
    pub(crate) fn new(now: Timestamp, rate: u64) -> Self {
        let mut bucket = Self {
            level: 0,
            rate: signed(rate),
            at: now,
        };
        bucket.level = bucket.capacity();
        bucket
    }

    /// Change the rate. What the bucket holds above the new burst is lost.
    pub(crate) fn set_rate(&mut self, now: Timestamp, rate: u64) {
        self.refill(now);
        self.rate = signed(rate);
        self.level = self.level.min(self.capacity());
    }

    /// Return whether a request may pass.
    pub(crate) fn is_open(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.level > 0
    }

    /// Return whether earlier requests used more than was earned.
    pub(crate) fn has_debt(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.level < 0
    }

    /// Subtract a cost.
    pub(crate) fn take(&mut self, now: Timestamp, cost: u64) {
        self.refill(now);
        let cost = signed(cost).saturating_mul(UNITS);
        self.level = self.level.saturating_sub(cost);
    }

    /// Return the time until the bucket is open, at the present rate.
    pub(crate) fn opens_in(&self) -> Millis {
        let missing = (1 - self.level).max(0);
        let ms = missing.checked_div(self.rate).unwrap_or(i64::MAX);
        Millis::new(u64::try_from(ms).unwrap_or_default().saturating_add(1))
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = signed(now.since(self.at).get());
        self.at = now;
        let earned = self.rate.saturating_mul(elapsed);
        self.level = self.level.saturating_add(earned).min(self.capacity());
    }

    fn capacity(&self) -> i64 {
        self.rate.saturating_mul(signed(BURST.get()))
    }
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
