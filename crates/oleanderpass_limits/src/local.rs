//! Keep what an organisation uses at this instance.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::OrganisationId;

use crate::bucket::Bucket;
use crate::organisation::LimitExceeded;
use crate::quota::Limit;
use crate::quota::LimitKind;
use crate::quota::Quota;

/// The time between two asks for the lease of an organisation: half the lease time, so that one
/// failed ask doesn't end a lease.
pub(crate) const ASK_INTERVAL: Millis = Millis::from_secs(1);

/// The part of the arrivals that is asked for beyond them: 1/20. The headroom of instances with
/// little load is lost to a busy one at the limit; 1/4 cost 11% of the limit in a test.
const HEADROOM_PART: u64 = 20;

/// How long an organisation counts as active after a request.
const ACTIVE_TIME: Millis = Millis::from_secs(3);

/// The time that a caller should wait when too many requests run at the same time. The end of a
/// request can't be foreseen.
const CONCURRENT_RETRY: Millis = Millis::from_secs(1);

/// The use of one organisation.
#[derive(Clone, Debug)]
pub(crate) struct Local {
    requests: Bucket,
    tokens: Bucket,
    concurrent: u64,
    pub(crate) running: u64,
    lease_until: Option<Timestamp>,
    /// The home may keep a lease for this instance.
    asked: bool,
    pub(crate) next_ask: Timestamp,
    measured: Timestamp,
    arrived: Quota,
    demand: Quota,
    last_arrival: Timestamp,
}

impl Local {
    pub(crate) fn new(now: Timestamp, share: Quota) -> Self {
        Self {
            requests: Bucket::new(now, share.get(LimitKind::Requests)),
            tokens: Bucket::new(now, share.get(LimitKind::Tokens).saturating_mul(1_000)),
            concurrent: share.get(LimitKind::Concurrent),
            running: 0,
            lease_until: None,
            asked: false,
            next_ask: now,
            measured: now - ASK_INTERVAL,
            arrived: Quota::default(),
            demand: Quota::default(),
            last_arrival: now,
        }
    }

    /// Admit a request and count it, or return the limit that it exceeds.
    pub(crate) fn admit(
        &mut self,
        now: Timestamp,
        limit: &Limit,
        tokens: u64,
    ) -> Result<(), LimitExceeded> {
        self.last_arrival = now;
        self.count(LimitKind::Requests, 1_000);
        self.count(LimitKind::Tokens, tokens);
        let wanted = self
            .arrived
            .get(LimitKind::Concurrent)
            .max(self.running + 1);
        self.arrived.set(LimitKind::Concurrent, wanted);
        let exceeded = |kind, retry_after| Err(LimitExceeded { kind, retry_after });
        if limit.concurrent.is_some() && self.running >= self.concurrent {
            return exceeded(LimitKind::Concurrent, CONCURRENT_RETRY);
        }
        if limit.requests_per_s.is_some() && !self.requests.is_open(now) {
            return exceeded(LimitKind::Requests, self.requests.opens_in());
        }
        if limit.tokens_per_s.is_some() && !self.tokens.is_open(now) {
            return exceeded(LimitKind::Tokens, self.tokens.opens_in());
        }
        if limit.requests_per_s.is_some() {
            self.requests.take(now, 1);
        }
        self.take_tokens(now, limit, tokens);
        self.running += 1;
        Ok(())
    }

    /// Count tokens that weren't known at admission.
    pub(crate) fn add_tokens(&mut self, now: Timestamp, limit: &Limit, tokens: u64) {
        self.count(LimitKind::Tokens, tokens);
        self.take_tokens(now, limit, tokens);
    }

    fn take_tokens(&mut self, now: Timestamp, limit: &Limit, tokens: u64) {
        if limit.tokens_per_s.is_some() {
            self.tokens.take(now, tokens);
        }
    }

    /// Use a lease until it expires.
    pub(crate) fn set_lease(&mut self, now: Timestamp, quota: Quota, until: Timestamp) {
        if until > now {
            self.lease_until = Some(until);
            self.set_quota(now, quota);
        }
    }

    /// Use the share without a lease if the lease has expired or there is none.
    pub(crate) fn expire_lease(&mut self, now: Timestamp, share: Quota) {
        if self.lease_until.is_none_or(|until| until <= now) {
            self.lease_until = None;
            self.set_quota(now, share);
        }
    }

    /// Return whether the organisation used this instance lately.
    pub(crate) fn is_active(&self, now: Timestamp) -> bool {
        self.running > 0 || now.since(self.last_arrival) < ACTIVE_TIME
    }

    /// Return whether nothing is lost when this state is forgotten.
    pub(crate) fn is_idle(&mut self, now: Timestamp) -> bool {
        !self.is_active(now)
            && !self.asked
            && !self.requests.has_debt(now)
            && !self.tokens.has_debt(now)
    }

    /// Return the demand for the next ask: nothing, once, when the organisation is no longer active.
    pub(crate) fn next_demand(&mut self, now: Timestamp) -> Option<Quota> {
        let active = self.is_active(now);
        if !active && !self.asked {
            return None;
        }
        self.asked = active;
        self.next_ask = now + ASK_INTERVAL;
        let measured = self.measure_demand(now);
        Some(if active { measured } else { Quota::default() })
    }

    /// Measure the demand since the last time, and at least half the earlier demand.
    fn measure_demand(&mut self, now: Timestamp) -> Quota {
        let elapsed = now.since(self.measured).get().max(ASK_INTERVAL.get());
        let arrived = std::mem::take(&mut self.arrived);
        self.measured = now;
        let rate = |kind| {
            let seen = arrived.get(kind).saturating_mul(1_000) / elapsed;
            seen.saturating_add(seen.div_ceil(HEADROOM_PART))
        };
        for (kind, seen) in [
            (LimitKind::Requests, rate(LimitKind::Requests)),
            (LimitKind::Tokens, rate(LimitKind::Tokens)),
            (
                LimitKind::Concurrent,
                arrived.get(LimitKind::Concurrent).max(self.running),
            ),
        ] {
            self.demand.set(kind, seen.max(self.demand.get(kind) / 2));
        }
        self.demand
    }

    fn set_quota(&mut self, now: Timestamp, quota: Quota) {
        let tokens = quota.get(LimitKind::Tokens).saturating_mul(1_000);
        self.requests.set_rate(now, quota.get(LimitKind::Requests));
        self.tokens.set_rate(now, tokens);
        self.concurrent = quota.get(LimitKind::Concurrent);
    }

    fn count(&mut self, kind: LimitKind, amount: u64) {
        let sum = self.arrived.get(kind).saturating_add(amount);
        self.arrived.set(kind, sum);
    }
}

/// The use of one organisation together with its id, as the owner keeps it.
pub(crate) type Locals = indexmap::IndexMap<OrganisationId, Local>;
