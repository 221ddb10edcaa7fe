//! Keep the whole fleet within the limits on their request rate that backend servers name.
//!
//! A server in need names in its answers how many requests per second it accepts from all instances
//! together. Instances tell each other these limits. Rendezvous hashing chooses a few instances for
//! each limited server, which share its rate in equal parts, and the others send it nothing. So no
//! instance needs to know what the others have sent, and the requests that all of them together may
//! have saved up stay few.

use indexmap::IndexMap;
use oleanderpass_proto::peer::ServerLimit as RawServerLimit;
use oleanderpass_routing::rendezvous::weight;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::RequestRate;

use crate::backend::BackendKey;
use crate::token_bucket::TokenBucket;

/// The time for which a limit holds without any answer of the server.
const LIMIT_LIFETIME: Millis = Millis::from_secs(600);

/// The time for which peers are told that a limit no longer holds.
const LIFTED_LIFETIME: Millis = Millis::from_secs(10);

/// The lowest rate at which a server is sent requests, in requests per second, so that an answer
/// shows when its limit no longer holds.
const MIN_RATE_PER_S: f64 = 0.1;

/// The number of instances that share the rate of a server, and how many more do for each request
/// per second. Each of them may have saved one request. The published bound allows five requests,
/// and half of the limit, beyond the limit over four seconds.
const MIN_SHARES: f64 = 3.0;
const SHARES_PER_RATE: f64 = 1.5;

/// The most limits in one bulletin.
const MAX_LIMITS_PER_BULLETIN: usize = 16;

/// What a server last said of its limit, as instances tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitReport {
    /// The server.
    pub key: BackendKey,
    /// The limit, or `None` if the server no longer names one.
    pub rate: Option<RequestRate>,
    /// The time since the answer.
    pub age: Millis,
}

/// Whether this instance may send a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// The server names no limit.
    Unlimited,
    /// It may send one now.
    Now,
    /// It may send one after this time.
    After(Millis),
    /// Other instances share the rate of the server.
    Never,
}

impl Allowance {
    /// Return whether a request may be sent now.
    pub fn allows_now(self) -> bool {
        matches!(self, Allowance::Unlimited | Allowance::Now)
    }

    /// Return what two limits on the same server allow together.
    #[must_use]
    pub fn and(self, other: Allowance) -> Allowance {
        match (self, other) {
            (Allowance::Never, _) | (_, Allowance::Never) => Allowance::Never,
            (Allowance::After(a), Allowance::After(b)) => Allowance::After(a.max(b)),
            (Allowance::After(wait), _) | (_, Allowance::After(wait)) => Allowance::After(wait),
            (Allowance::Now, _) | (_, Allowance::Now) => Allowance::Now,
            (Allowance::Unlimited, Allowance::Unlimited) => Allowance::Unlimited,
        }
    }
}

/// What a server last said of its limit, and the part of this instance in it.
#[derive(Clone, Copy, Debug)]
struct ServerLimit {
    /// `None` if the server no longer names a limit.
    rate: Option<RequestRate>,
    /// When it said so.
    named: Timestamp,
    bucket: TokenBucket,
}

/// The limits of all backend servers that name one.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    limits: IndexMap<BackendKey, ServerLimit>,
    /// The index in `limits` at which the next bulletin continues.
    next_report: usize,
}

impl ServerLimits {
    /// Record the limit that a server named in an answer, or `None` if it named none. Return
    /// whether it has changed.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        rate: Option<RequestRate>,
    ) -> bool {
        let changed = self.get(key).map(|(known, _)| known) != rate;
        if changed || rate.is_some() {
            self.record(now, key, rate);
        }
        changed
    }

    /// Apply what a peer reports, unless something newer is known.
    pub fn on_report(&mut self, now: Timestamp, report: &LimitReport) {
        let named = now - report.age;
        let known = self.limits.get(&report.key);
        if known.is_none_or(|limit| limit.named < named) && report.age < LIMIT_LIFETIME {
            self.record(named, report.key, report.rate);
        }
    }

    fn record(&mut self, named: Timestamp, key: BackendKey, rate: Option<RequestRate>) {
        let limit = self.limits.entry(key).or_insert(ServerLimit {
            rate,
            named,
            bucket: TokenBucket::default(),
        });
        limit.rate = rate;
        limit.named = named;
    }

    /// Forget a server that was removed.
    pub fn remove(&mut self, key: BackendKey) {
        self.limits.swap_remove(&key);
    }

    /// Return the limit of a server and when it was named, or `None` if the server names none.
    pub fn get(&self, key: BackendKey) -> Option<(RequestRate, Timestamp)> {
        let limit = self.limits.get(&key)?;
        Some((limit.rate?, limit.named))
    }

    /// Return whether this instance may send a request to a server.
    pub fn allowance(&self, now: Timestamp, key: BackendKey) -> Allowance {
        match self.limits.get(&key) {
            None | Some(ServerLimit { rate: None, .. }) => Allowance::Unlimited,
            Some(limit) => limit.bucket.allowance(now),
        }
    }

    /// Count a request to a server. Return `false` if the server names no limit.
    pub fn take(&mut self, now: Timestamp, key: BackendKey) -> bool {
        let limit = self.limits.get_mut(&key).filter(|l| l.rate.is_some());
        if let Some(limit) = limit {
            limit.bucket.take(now);
            return true;
        }
        false
    }

    /// Undo [`ServerLimits::take`] for a request that was not sent.
    pub fn refund(&mut self, now: Timestamp, key: BackendKey) {
        if let Some(limit) = self.limits.get_mut(&key) {
            limit.bucket.refund(now);
        }
    }

    /// Drop limits that have expired, and choose the servers of whose rate this instance has a
    /// share. `own` and `peers` are the hashes of the ids of this instance and its live peers.
    pub fn tick(&mut self, now: Timestamp, own: u64, peers: &[u64]) {
        self.limits.retain(|_, limit| {
            let lifetime = match limit.rate {
                Some(_) => LIMIT_LIFETIME,
                None => LIFTED_LIFETIME,
            };
            now.since(limit.named) < lifetime
        });
        for (key, limit) in &mut self.limits {
            let Some(rate) = limit.rate else {
                continue;
            };
            let per_second = rate.per_second();
            let shares = (MIN_SHARES + SHARES_PER_RATE * per_second) as usize;
            let shares = shares.min(peers.len() + 1);
            let own_weight = weight(key.0, own);
            let before = peers
                .iter()
                .filter(|peer| weight(key.0, **peer) > own_weight);
            let share = if before.count() < shares {
                per_second.max(MIN_RATE_PER_S) / shares as f64
            } else {
                0.0
            };
            limit.bucket.set_share(now, share);
        }
    }

    /// Return limits for the next bulletin. Bulletins take turns if there are too many for one.
    pub fn next_reports(&mut self, now: Timestamp) -> Vec<LimitReport> {
        let count = self.limits.len().min(MAX_LIMITS_PER_BULLETIN);
        let first = self.next_report;
        self.next_report = (first + count) % self.limits.len().max(1);
        let in_turn = (first..first + count).map(|index| index % self.limits.len());
        in_turn
            .filter_map(|index| self.limits.get_index(index))
            .map(|(key, limit)| LimitReport {
                key: *key,
                rate: limit.rate,
                age: now.since(limit.named),
            })
            .collect()
    }
}

/// Encode what a server said of its limit for a bulletin.
pub(crate) fn encode_limit(report: &LimitReport) -> RawServerLimit {
    RawServerLimit {
        server: report.key.0,
        lifted: report.rate.is_none(),
        rate_thousandths: report.rate.map_or(0, RequestRate::thousandths),
        age_ms: report.age.get(),
    }
}

/// Decode what a peer reports of a server's limit.
pub(crate) fn decode_limit(raw: &RawServerLimit) -> LimitReport {
    let rate = RequestRate::from_thousandths(raw.rate_thousandths);
    LimitReport {
        key: BackendKey(raw.server),
        rate: (!raw.lifted).then_some(rate),
        age: Millis::new(raw.age_ms),
    }
}
