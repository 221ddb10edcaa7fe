//! Limit a rate by a token bucket whose level may become negative.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

/// The capacity of a bucket, as the time in which an empty one fills at its rate.
///
/// A shorter time would refuse requests that arrive together although their rate is within the
/// limit.
const FILL_TIME: Millis = Millis::from_secs(1);

/// The units of the level for a cost of 1.
///
/// The level is the rate, which is per 1,000 s, times the time in milliseconds.
const LEVEL_UNITS_PER_COST: i64 = 1_000_000;

/// A token bucket.
///
/// It is open while its level is positive, and then the whole cost of a request is subtracted. So a
/// request larger than the capacity can pass, and the negative level delays the next ones.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    /// A cost of 1 takes [`LEVEL_UNITS_PER_COST`]. The level is negative after a request whose cost
    /// exceeded it.
    level: i64,
    /// Per 1,000 s.
    rate: i64,
    refilled_at: Timestamp,
}

impl Bucket {
    /// Create a full bucket. `rate` is per 1,000 s.
    pub(crate) fn new(now: Timestamp, rate: u64) -> Self {
        let mut bucket = Self {
            level: 0,
            rate: signed(rate),
            refilled_at: now,
        };
        bucket.level = bucket.capacity();
        bucket
    }

    /// Change the rate. A level above the new capacity is reduced to it.
    pub(crate) fn set_rate(&mut self, now: Timestamp, rate: u64) {
        self.refill(now);
        self.rate = signed(rate);
        self.level = self.level.min(self.capacity());
    }

    /// Return whether a request may pass, of any cost.
    pub(crate) fn is_open(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.level > 0
    }

    /// Return whether the level is negative because of earlier requests.
    pub(crate) fn has_debt(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.level < 0
    }

    /// Subtract the cost of a request.
    pub(crate) fn charge(&mut self, now: Timestamp, cost: u64) {
        self.refill(now);
        let cost = signed(cost).saturating_mul(LEVEL_UNITS_PER_COST);
        self.level = self.level.saturating_sub(cost);
    }

    /// Return the time until the bucket is open, at the current rate.
    pub(crate) fn time_until_open(&self) -> Millis {
        let missing = (1 - self.level).max(0);
        let ms = missing.checked_div(self.rate).unwrap_or(i64::MAX);
        Millis::new(u64::try_from(ms).unwrap_or_default().saturating_add(1))
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = signed(now.since(self.refilled_at).get());
        self.refilled_at = now;
        let added = self.rate.saturating_mul(elapsed);
        self.level = self.level.saturating_add(added).min(self.capacity());
    }

    fn capacity(&self) -> i64 {
        self.rate.saturating_mul(signed(FILL_TIME.get()))
    }
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
