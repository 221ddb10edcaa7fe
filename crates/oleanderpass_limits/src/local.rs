//! Track what an organisation uses at this instance, and how much quota to request for it.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::OrganisationId;

use crate::bucket::Bucket;
use crate::organisation::LimitExceeded;
use crate::quota::Limit;
use crate::quota::LimitKind;
use crate::quota::Quota;

/// The time between two requests for the lease of an organisation.
///
/// It is half the lease time, so that one failed request doesn't end a lease.
pub(crate) const LEASE_REQUEST_INTERVAL: Millis = Millis::from_secs(1);

/// The divisor of the measured rate that gives the headroom requested on top of it: 1/20.
///
/// When the limit is reached, a busy instance can't use the headroom of instances with little load.
/// With a headroom of 1/4, 11% of the limit stayed unused.
const HEADROOM_DIVISOR: u64 = 20;

/// How long an organisation counts as active at this instance after its last request arrived.
const ACTIVE_TIME: Millis = Millis::from_secs(3);

/// The time after which a caller should retry when too many requests run at the same time.
///
/// It is fixed, because the end of a running request can't be predicted.
const CONCURRENT_RETRY_AFTER: Millis = Millis::from_secs(1);

/// The usage of one organisation at this instance.
#[derive(Clone, Debug)]
pub(crate) struct LocalUsage {
    requests: Bucket,
    tokens: Bucket,
    /// The most requests that may run at this instance at the same time.
    concurrent: u64,
    /// The admitted requests that have not ended.
    pub(crate) running: u64,
    /// When the lease expires; `None` while the share applies.
    lease_until: Option<Timestamp>,
    /// Whether the home instance may hold a lease for this instance.
    may_have_lease: bool,
    /// The earliest time of the next lease request.
    pub(crate) next_lease_request: Timestamp,
    /// When the demand was last measured.
    measured_at: Timestamp,
    /// What arrived since then, admitted or not.
    ///
    /// Requests are counted in thousandths. The concurrent amount is the highest number of running
    /// requests when a request arrived, including the arriving one.
    arrived: Quota,
    /// The demand that was last measured.
    demand: Quota,
    last_arrival: Timestamp,
}

impl LocalUsage {
    pub(crate) fn new(now: Timestamp, share: Quota) -> Self {
        Self {
            requests: Bucket::new(now, share.get(LimitKind::Requests)),
            tokens: Bucket::new(now, share.get(LimitKind::Tokens).saturating_mul(1_000)),
            concurrent: share.get(LimitKind::Concurrent),
            running: 0,
            lease_until: None,
            may_have_lease: false,
            next_lease_request: now,
            measured_at: now - LEASE_REQUEST_INTERVAL,
            arrived: Quota::default(),
            demand: Quota::default(),
            last_arrival: now,
        }
    }

    /// Admit a request and charge its tokens, or return the limit that it exceeds.
    pub(crate) fn admit(
        &mut self,
        now: Timestamp,
        limit: &Limit,
        tokens: u64,
    ) -> Result<(), LimitExceeded> {
        self.last_arrival = now;
        self.add_arrived(LimitKind::Requests, 1_000);
        self.add_arrived(LimitKind::Tokens, tokens);
        let concurrent = self
            .arrived
            .get(LimitKind::Concurrent)
            .max(self.running + 1);
        self.arrived.set(LimitKind::Concurrent, concurrent);
        let exceeded = |kind, retry_after| Err(LimitExceeded { kind, retry_after });
        if limit.concurrent.is_some() && self.running >= self.concurrent {
            return exceeded(LimitKind::Concurrent, CONCURRENT_RETRY_AFTER);
        }
        if limit.requests_per_s.is_some() && !self.requests.is_open(now) {
            return exceeded(LimitKind::Requests, self.requests.time_until_open());
        }
        if limit.tokens_per_s.is_some() && !self.tokens.is_open(now) {
            return exceeded(LimitKind::Tokens, self.tokens.time_until_open());
        }
        if limit.requests_per_s.is_some() {
            self.requests.charge(now, 1);
        }
        self.charge_tokens(now, limit, tokens);
        self.running += 1;
        Ok(())
    }

    /// Charge generated tokens, whose number isn't known at admission.
    pub(crate) fn record_output_tokens(&mut self, now: Timestamp, limit: &Limit, tokens: u64) {
        self.add_arrived(LimitKind::Tokens, tokens);
        self.charge_tokens(now, limit, tokens);
    }

    fn charge_tokens(&mut self, now: Timestamp, limit: &Limit, tokens: u64) {
        if limit.tokens_per_s.is_some() {
            self.tokens.charge(now, tokens);
        }
    }

    /// Apply the quota of a lease until the lease expires.
    pub(crate) fn set_lease(&mut self, now: Timestamp, quota: Quota, until: Timestamp) {
        if until > now {
            self.lease_until = Some(until);
            self.set_quota(now, quota);
        }
    }

    /// Apply the share if the lease has expired or there is none.
    pub(crate) fn expire_lease(&mut self, now: Timestamp, share: Quota) {
        if self.lease_until.is_none_or(|until| until <= now) {
            self.lease_until = None;
            self.set_quota(now, share);
        }
    }

    /// Return whether the organisation has running or recent requests at this instance.
    pub(crate) fn is_active(&self, now: Timestamp) -> bool {
        self.running > 0 || now.since(self.last_arrival) < ACTIVE_TIME
    }

    /// Return whether this state can be dropped without loss.
    pub(crate) fn is_idle(&mut self, now: Timestamp) -> bool {
        !self.is_active(now)
            && !self.may_have_lease
            && !self.requests.has_debt(now)
            && !self.tokens.has_debt(now)
    }

    /// Return the demand for the next lease request, or `None` if no request is needed.
    ///
    /// When the organisation is no longer active, the demand is zero once, to release the lease.
    pub(crate) fn next_demand(&mut self, now: Timestamp) -> Option<Quota> {
        let active = self.is_active(now);
        if !active && !self.may_have_lease {
            return None;
        }
        self.may_have_lease = active;
        self.next_lease_request = now + LEASE_REQUEST_INTERVAL;
        let measured = self.measure_demand(now);
        Some(if active { measured } else { Quota::default() })
    }

    /// Measure the demand since the last measurement; the result is at least half of the last one.
    fn measure_demand(&mut self, now: Timestamp) -> Quota {
        let elapsed = now
            .since(self.measured_at)
            .get()
            .max(LEASE_REQUEST_INTERVAL.get());
        let arrived = std::mem::take(&mut self.arrived);
        self.measured_at = now;
        let rate = |kind| {
            let per_s = arrived.get(kind).saturating_mul(1_000) / elapsed;
            per_s.saturating_add(per_s.div_ceil(HEADROOM_DIVISOR))
        };
        for (kind, amount) in [
            (LimitKind::Requests, rate(LimitKind::Requests)),
            (LimitKind::Tokens, rate(LimitKind::Tokens)),
            (
                LimitKind::Concurrent,
                arrived.get(LimitKind::Concurrent).max(self.running),
            ),
        ] {
            self.demand.set(kind, amount.max(self.demand.get(kind) / 2));
        }
        self.demand
    }

    fn set_quota(&mut self, now: Timestamp, quota: Quota) {
        let tokens = quota.get(LimitKind::Tokens).saturating_mul(1_000);
        self.requests.set_rate(now, quota.get(LimitKind::Requests));
        self.tokens.set_rate(now, tokens);
        self.concurrent = quota.get(LimitKind::Concurrent);
    }

    fn add_arrived(&mut self, kind: LimitKind, amount: u64) {
        let sum = self.arrived.get(kind).saturating_add(amount);
        self.arrived.set(kind, sum);
    }
}

/// The usage at this instance of each organisation with a limit.
pub(crate) type LocalUsages = indexmap::IndexMap<OrganisationId, LocalUsage>;
