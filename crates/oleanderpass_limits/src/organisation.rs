//! Hold the limits of organisations over the whole fleet (design section 4.11).
//!
//! # Bound of excess
//!
//! Let L be a limit, z the zones of the environment and k the zones outside the majority side of a
//! partition.
//!
//! - While the instances agree on the home, unexpired leases sum to at most L. A bucket holds the
//!   use of 1 s, so a window of T seconds passes at most L × (T + 1) and, at each instance, one
//!   request more, because the last request may be larger than the rest of its bucket.
//! - An instance has a lease or its share, never both. Shares of all instances sum to at most L. So
//!   while leases expire or a home starts (at most 4 s), the use is at most 2 × L.
//! - During a partition that the instances have noticed, the side with more than half of the zones
//!   leases L and each other zone uses at most L / z: together L × (1 + k / z).
//! - Before they have noticed it (about 7 s), a home keeps the shares of the instances that held a
//!   lease and no longer ask, so L × (1 + k / z) holds for these. Instances of the majority side that
//!   had no lease use their shares beside a home on the minority side: at most
//!   L × (1 + (z − k) / z) if all of them start in this time.
//! - A concurrency share is rounded up to 1, so a limit below the number of instances is exceeded by
//!   at most one request at each instance without a lease.

use std::num::NonZeroU64;

use indexmap::IndexMap;
use indexmap::IndexSet;
use oleanderpass_proto::peer::QuotaDemand;
use oleanderpass_proto::peer::QuotaLease;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::ZoneId;
use strum::IntoEnumIterator;
use xxhash_rust::xxh3::xxh3_64;

use crate::home::Demand;
use crate::home::Home;
use crate::home::LEASE_TIME;
use crate::local::Local;
use crate::local::Locals;
use crate::quota::Limit;
use crate::quota::LimitKind;
use crate::quota::Quota;

/// The time that a new home waits before it grants. The leases of the home before it expire after
/// 2 s, and that one may grant until it hears of the new home, within about 2 s.
pub const HOME_START_TIME: Millis = Millis::from_secs(4);

/// The time after which an ask without an answer counts as failed.
const ANSWER_TIME: Millis = Millis::from_secs(1);

/// A request over a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// The limit.
    pub kind: LimitKind,
    /// The time after which a request may pass.
    pub retry_after: Millis,
}

/// An instance that is alive and not leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveInstance {
    /// The id.
    pub id: InstanceId,
    /// The availability zone.
    pub zone: ZoneId,
}

/// An ask for quota that is to be sent to a home instance.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRequest {
    /// The home instance.
    pub home: InstanceId,
    /// The demands.
    pub demands: Vec<QuotaDemand>,
}

/// The limits of all organisations at one instance.
#[derive(Clone, Debug)]
pub struct OrganisationLimits {
    me: LiveInstance,
    zones: u64,
    live: Vec<LiveInstance>,
    limits: IndexMap<OrganisationId, Limit>,
    /// The home of each organisation, and when this instance became it.
    homes: IndexMap<OrganisationId, (InstanceId, Timestamp)>,
    locals: Locals,
    home: Home,
    asks: IndexMap<InstanceId, Timestamp>,
}

impl OrganisationLimits {
    /// Start without limits and alone.
    pub fn new(me: LiveInstance) -> Self {
        Self {
            me,
            zones: 1,
            live: Vec::new(),
            limits: IndexMap::new(),
            homes: IndexMap::new(),
            locals: Locals::new(),
            home: Home::default(),
            asks: IndexMap::new(),
        }
    }

    /// Set the limits of a document and the number of its zones. Organisations without a limit may
    /// be left out.
    pub fn set_limits(
        &mut self,
        now: Timestamp,
        zones: usize,
        limits: impl IntoIterator<Item = (OrganisationId, Limit)>,
    ) {
        self.zones = (zones as u64).max(1);
        let limits = limits
            .into_iter()
            .filter(|(_, limit)| *limit != Limit::default());
        self.limits = limits.collect();
        self.locals.retain(|id, _| self.limits.contains_key(id));
        self.find_homes(now);
    }

    /// Set the other instances that are alive and not leaving.
    pub fn set_live_instances(&mut self, now: Timestamp, live: Vec<LiveInstance>) {
        self.live = live;
        let ids: IndexSet<_> = self.live.iter().map(|other| &other.id).collect();
        let me = &self.me.id;
        self.home.forget(now, |id| id == me || ids.contains(id));
        self.find_homes(now);
    }

    /// Admit a request with its prompt tokens, or return the limit that it exceeds. Each admitted
    /// request ends by [`Self::finish`].
    ///
    /// # Errors
    ///
    /// Return the limit that is exceeded.
    pub fn admit(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationId,
        tokens: u64,
    ) -> Result<(), LimitExceeded> {
        let Some(limit) = self.limits.get(organisation).copied() else {
            return Ok(());
        };
        let share = self.share(&limit);
        let local = self.locals.entry(organisation.clone());
        let local = local.or_insert_with(|| Local::new(now, share));
        local.admit(now, &limit, tokens)
    }

    /// Count the generated tokens of an admitted request, at its end or while it runs.
    pub fn record_output_tokens(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationId,
        tokens: u64,
    ) {
        let limit = self.limits.get(organisation);
        if let Some((local, limit)) = self.locals.get_mut(organisation).zip(limit) {
            local.add_tokens(now, limit, tokens);
        }
    }

    /// Count the end of an admitted request.
    pub fn finish(&mut self, organisation: &OrganisationId) {
        if let Some(local) = self.locals.get_mut(organisation) {
            local.running = local.running.saturating_sub(1);
        }
    }

    /// Grant leases as the home instance. Demands for organisations whose home this instance isn't,
    /// or is since less than [`HOME_START_TIME`], get none.
    pub fn grant(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        demands: &[QuotaDemand],
    ) -> Vec<QuotaLease> {
        let leases = demands
            .iter()
            .map(|demand| self.grant_one(now, from, demand));
        leases.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    /// Use the leases that a home instance granted.
    pub fn apply_leases(&mut self, now: Timestamp, home: &InstanceId, leases: &[QuotaLease]) {
        // The lease counts from the ask, so it ends here no later than at the home.
        let Some(asked) = self.asks.swap_remove(home) else {
            return;
        };
        for lease in leases {
            let id = lease.organisation.parse::<OrganisationId>();
            let Some(local) = id.ok().and_then(|id| self.locals.get_mut(&id)) else {
                continue;
            };
            let quota = Quota::new(
                lease.requests_per_1000_s,
                lease.tokens_per_s,
                lease.concurrent_requests,
            );
            local.set_lease(now, quota, asked + Millis::new(lease.duration_ms));
        }
    }

    /// Note that a home instance didn't answer. Its leases end, and the shares apply.
    pub fn on_lease_request_failed(&mut self, home: &InstanceId) {
        self.asks.swap_remove(home);
    }

    /// Let time pass, and append the asks that are due. Expected every 100 ms.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<LeaseRequest>) {
        self.asks.retain(|_, sent| now.since(*sent) < ANSWER_TIME);
        self.home.expire(now);
        self.locals.retain(|_, local| !local.is_idle(now));
        for (id, local) in &mut self.locals {
            let limit = self.limits.get(id).copied().unwrap_or_default();
            let share = share(&limit, self.zones, in_zone(&self.me, &self.live));
            local.expire_lease(now, share);
        }
        for ask in self.due_asks(now) {
            self.asks.insert(ask.home.clone(), now);
            if ask.home == self.me.id {
                let leases = self.grant(now, &ask.home, &ask.demands);
                self.apply_leases(now, &ask.home, &leases);
            } else {
                out.push(ask);
            }
        }
    }

    fn due_asks(&mut self, now: Timestamp) -> Vec<LeaseRequest> {
        let mut asks: IndexMap<InstanceId, Vec<QuotaDemand>> = IndexMap::new();
        for (id, local) in &mut self.locals {
            let Some((home, _)) = self.homes.get(id) else {
                continue;
            };
            let waiting = self.asks.contains_key(home);
            if waiting || local.next_ask > now {
                continue;
            }
            let Some(demand) = local.next_demand(now) else {
                continue;
            };
            asks.entry(home.clone()).or_default().push(QuotaDemand {
                organisation: id.to_string(),
                tokens_per_s: demand.get(LimitKind::Tokens),
                requests_per_1000_s: demand.get(LimitKind::Requests),
                concurrent_requests: demand.get(LimitKind::Concurrent),
                running_requests: local.running,
            });
        }
        let asks = asks.into_iter();
        asks.map(|(home, demands)| LeaseRequest { home, demands })
            .collect()
    }

    fn grant_one(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        demand: &QuotaDemand,
    ) -> Option<QuotaLease> {
        let id = demand.organisation.parse::<OrganisationId>().ok()?;
        let (home, since) = self.homes.get(&id)?;
        if *home != self.me.id || now.since(*since) < HOME_START_TIME {
            return None;
        }
        let limit = self.visible_part(self.limits.get(&id)?);
        let wanted = Quota::new(
            demand.requests_per_1000_s,
            demand.tokens_per_s,
            demand.concurrent_requests,
        );
        let running = demand.running_requests;
        if wanted == Quota::default() && running == 0 {
            self.home.release(&id, from);
            return None;
        }
        let demand_of = Demand {
            holder: from,
            wanted,
            running,
            share: self.share_of(from, &limit),
        };
        let leased = self.home.grant(now, &id, &limit, &demand_of);
        Some(QuotaLease {
            organisation: demand.organisation.clone(),
            tokens_per_s: leased.get(LimitKind::Tokens),
            requests_per_1000_s: leased.get(LimitKind::Requests),
            duration_ms: LEASE_TIME.get(),
            concurrent_requests: leased.get(LimitKind::Concurrent),
        })
    }

    /// Return the part of a limit that this side of a partition may lease: all of it with more than
    /// half of the zones in view, otherwise the part of these zones.
    fn visible_part(&self, limit: &Limit) -> Limit {
        let zones = self.live.iter().map(|other| &other.zone);
        let visible: IndexSet<_> = zones.chain([&self.me.zone]).collect();
        let visible = (visible.len() as u64).min(self.zones);
        if visible * 2 > self.zones {
            return *limit;
        }
        let part = |limit: Option<u64>| limit.map(|limit| limit * visible / self.zones);
        Limit {
            requests_per_s: part(limit.requests_per_s),
            tokens_per_s: part(limit.tokens_per_s),
            concurrent: part(limit.concurrent),
        }
    }

    fn share(&self, limit: &Limit) -> Quota {
        share(limit, self.zones, in_zone(&self.me, &self.live))
    }

    /// Return what another instance uses without a lease.
    fn share_of(&self, instance: &InstanceId, limit: &Limit) -> Quota {
        let other = self.live.iter().find(|other| other.id == *instance);
        let zone = &other.unwrap_or(&self.me).zone;
        let all = self.live.iter().chain([&self.me]);
        let instances = all.filter(|other| other.zone == *zone).count() as u64;
        let instances = NonZeroU64::new(instances).unwrap_or(NonZeroU64::MIN);
        share(limit, self.zones, instances)
    }

    fn find_homes(&mut self, now: Timestamp) {
        let before = std::mem::take(&mut self.homes);
        for id in self.limits.keys() {
            let all = self.live.iter().map(|other| &other.id).chain([&self.me.id]);
            let Some(home) = all.max_by_key(|instance| score(id, instance)) else {
                continue;
            };
            let since = match before.get(id) {
                Some((held, since)) if held == home => *since,
                _ => now,
            };
            self.homes.insert(id.clone(), (home.clone(), since));
        }
    }
}

/// Return the instances in the own zone.
fn in_zone(me: &LiveInstance, live: &[LiveInstance]) -> NonZeroU64 {
    let others = live.iter().filter(|other| other.zone == me.zone).count();
    NonZeroU64::MIN.saturating_add(others as u64)
}

/// Return what an instance uses without a lease: limit / zones / instances of its zone.
fn share(limit: &Limit, zones: u64, instances: NonZeroU64) -> Quota {
    let mut share = Quota::default();
    for kind in LimitKind::iter() {
        let Some(limit) = limit.get(kind) else {
            continue;
        };
        let amount = limit / zones / instances;
        let least = if limit > 0 { 1 } else { 0 };
        share.set(kind, amount.max(least));
    }
    share
}

/// Rate an instance as the home of an organisation (rendezvous hashing).
fn score(organisation: &OrganisationId, instance: &InstanceId) -> u64 {
    // Ids have no line feed, so the pair is unambiguous.
    let key = format!("{organisation}\n{instance}");
    xxh3_64(key.as_bytes())
}
