//! Enforce the limits of organisations over the whole fleet (design section 4.11).
//!
//! Each organisation has a home instance, chosen by rendezvous hashing over the live instances. The
//! home instance leases parts of the organisation's limit to the instances that request them. An
//! instance without a lease uses its share: the limit divided by the zones and by the instances of
//! its zone.
//!
//! # Bounds on usage above the limit
//!
//! Let L be a limit, z the number of zones of the environment, and k the number of zones outside
//! the majority side of a network partition.
//!
//! - While the instances agree on the home instance, unexpired leases sum to at most L. A bucket
//!   holds the usage of 1 s, so a window of T seconds admits at most L × (T + 1) and, at each
//!   instance, one more request, because the last request may exceed the level of its bucket.
//! - An instance has a lease or its share, never both. The shares of all instances sum to at most
//!   L. So while leases expire or a home instance starts (at most 4 s), the usage is at most 2 × L.
//! - During a partition that the instances have detected, the side with more than half of the zones
//!   leases L and each other zone uses at most L / z: together L × (1 + k / z).
//! - Before they have detected it (about 7 s), a home instance reserves the shares of the instances
//!   that had a lease and no longer request one, so L × (1 + k / z) holds for these. Instances of
//!   the majority side that had no lease use their shares in addition to a home instance on the
//!   minority side: at most L × (1 + (z − k) / z) if all of them start to do so in this time.
//! - A concurrency share is rounded up to 1, so a limit below the number of instances is exceeded
//!   by at most one request at each instance without a lease.

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
use crate::home::GrantedLeases;
use crate::home::LEASE_TIME;
use crate::local::LocalUsage;
use crate::local::LocalUsages;
use crate::quota::Limit;
use crate::quota::LimitKind;
use crate::quota::Quota;

/// The time that a new home instance waits before it grants leases.
///
/// The previous home instance may grant leases until it learns of the new one, within about 2 s,
/// and its leases expire after 2 s.
pub const HOME_START_TIME: Millis = Millis::from_secs(4);

/// The time after which a lease request without an answer counts as failed.
const ANSWER_TIMEOUT: Millis = Millis::from_secs(1);

/// The limit that a refused request exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// The kind of the limit.
    pub kind: LimitKind,
    /// The time after which a request may be admitted.
    pub retry_after: Millis,
}

/// An entry instance that is alive and not leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveInstance {
    /// The id.
    pub id: InstanceId,
    /// The availability zone.
    pub zone: ZoneId,
}

/// A request for leases, to be sent to a home instance.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRequest {
    /// The home instance.
    pub home: InstanceId,
    /// The demands of the organisations with this home instance.
    pub demands: Vec<QuotaDemand>,
}

/// The limits of all organisations, as one instance enforces them.
#[derive(Clone, Debug)]
pub struct OrganisationLimits {
    own: LiveInstance,
    /// The number of zones of the environment.
    zones: u64,
    /// The other instances that are alive and not leaving.
    live: Vec<LiveInstance>,
    limits: IndexMap<OrganisationId, Limit>,
    /// The home instance of each organisation, and since when it is the home as seen here.
    homes: IndexMap<OrganisationId, (InstanceId, Timestamp)>,
    local_usages: LocalUsages,
    /// The leases that this instance grants as a home instance.
    granted: GrantedLeases,
    /// The home instances that have not answered a lease request, and when it was sent.
    pending: IndexMap<InstanceId, Timestamp>,
}

impl OrganisationLimits {
    /// Create the state of instance `own`, without limits and other instances.
    pub fn new(own: LiveInstance) -> Self {
        Self {
            own,
            zones: 1,
            live: Vec::new(),
            limits: IndexMap::new(),
            homes: IndexMap::new(),
            local_usages: LocalUsages::new(),
            granted: GrantedLeases::default(),
            pending: IndexMap::new(),
        }
    }

    /// Set the limits and the number of zones from an environment document.
    ///
    /// Organisations without a limit may be left out.
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
        self.local_usages
            .retain(|id, _| self.limits.contains_key(id));
        self.update_homes(now);
    }

    /// Set the other instances that are alive and not leaving.
    pub fn set_live_instances(&mut self, now: Timestamp, live: Vec<LiveInstance>) {
        self.live = live;
        let ids: IndexSet<_> = self.live.iter().map(|other| &other.id).collect();
        let own = &self.own.id;
        self.granted
            .remove_dead(now, |id| id == own || ids.contains(id));
        self.update_homes(now);
    }

    /// Admit a request with its prompt tokens, or return the limit that it exceeds.
    ///
    /// Call [`Self::finish`] at the end of each admitted request.
    ///
    /// # Errors
    ///
    /// Return the limit that the request exceeds, and when to retry.
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
        let local = self.local_usages.entry(organisation.clone());
        let local = local.or_insert_with(|| LocalUsage::new(now, share));
        local.admit(now, &limit, tokens)
    }

    /// Charge generated tokens of an admitted request, at its end or while it runs.
    pub fn record_output_tokens(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationId,
        tokens: u64,
    ) {
        let limit = self.limits.get(organisation);
        if let Some((local, limit)) = self.local_usages.get_mut(organisation).zip(limit) {
            local.record_output_tokens(now, limit, tokens);
        }
    }

    /// Record the end of an admitted request.
    pub fn finish(&mut self, organisation: &OrganisationId) {
        if let Some(local) = self.local_usages.get_mut(organisation) {
            local.running = local.running.saturating_sub(1);
        }
    }

    /// Grant leases to the instance `from`, as the home instance.
    ///
    /// There is no lease for an organisation if this instance isn't its home instance, or became it
    /// less than [`HOME_START_TIME`] ago.
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

    /// Apply the leases that a home instance granted, unless its answer comes too late.
    pub fn apply_leases(&mut self, now: Timestamp, home: &InstanceId, leases: &[QuotaLease]) {
        // The duration counts from the request, so a lease expires here no later than at the home
        // instance.
        let Some(sent) = self.pending.swap_remove(home) else {
            return;
        };
        for lease in leases {
            let id = lease.organisation.parse::<OrganisationId>();
            let Some(local) = id.ok().and_then(|id| self.local_usages.get_mut(&id)) else {
                continue;
            };
            let quota = Quota::new(
                lease.requests_per_1000_s,
                lease.tokens_per_s,
                lease.concurrent_requests,
            );
            local.set_lease(now, quota, sent + Millis::new(lease.duration_ms));
        }
    }

    /// Record that a home instance didn't answer.
    ///
    /// Its leases stay in force until they expire; then the shares apply.
    pub fn on_lease_request_failed(&mut self, home: &InstanceId) {
        self.pending.swap_remove(home);
    }

    /// Advance the time to `now`, and append the lease requests that are due to `out`.
    ///
    /// Call it every 100 ms.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<LeaseRequest>) {
        self.pending
            .retain(|_, sent| now.since(*sent) < ANSWER_TIMEOUT);
        self.granted.expire(now);
        self.local_usages.retain(|_, local| !local.is_idle(now));
        for (id, local) in &mut self.local_usages {
            let limit = self.limits.get(id).copied().unwrap_or_default();
            let share = instance_share(&limit, self.zones, count_in_zone(&self.own, &self.live));
            local.expire_lease(now, share);
        }
        for request in self.due_requests(now) {
            self.pending.insert(request.home.clone(), now);
            if request.home == self.own.id {
                let leases = self.grant(now, &request.home, &request.demands);
                self.apply_leases(now, &request.home, &leases);
            } else {
                out.push(request);
            }
        }
    }

    fn due_requests(&mut self, now: Timestamp) -> Vec<LeaseRequest> {
        let mut demands_by_home: IndexMap<InstanceId, Vec<QuotaDemand>> = IndexMap::new();
        for (id, local) in &mut self.local_usages {
            let Some((home, _)) = self.homes.get(id) else {
                continue;
            };
            let is_pending = self.pending.contains_key(home);
            if is_pending || local.next_lease_request > now {
                continue;
            }
            let Some(demand) = local.next_demand(now) else {
                continue;
            };
            demands_by_home
                .entry(home.clone())
                .or_default()
                .push(QuotaDemand {
                    organisation: id.to_string(),
                    tokens_per_s: demand.get(LimitKind::Tokens),
                    requests_per_1000_s: demand.get(LimitKind::Requests),
                    concurrent_requests: demand.get(LimitKind::Concurrent),
                    running_requests: local.running,
                });
        }
        let demands_by_home = demands_by_home.into_iter();
        demands_by_home
            .map(|(home, demands)| LeaseRequest { home, demands })
            .collect()
    }

    /// Grant the lease of one organisation; a demand of zero releases it.
    fn grant_one(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        demand: &QuotaDemand,
    ) -> Option<QuotaLease> {
        let id = demand.organisation.parse::<OrganisationId>().ok()?;
        let (home, since) = self.homes.get(&id)?;
        if *home != self.own.id || now.since(*since) < HOME_START_TIME {
            return None;
        }
        let limit = self.reachable_part(self.limits.get(&id)?);
        let wanted = Quota::new(
            demand.requests_per_1000_s,
            demand.tokens_per_s,
            demand.concurrent_requests,
        );
        let running = demand.running_requests;
        if wanted == Quota::default() && running == 0 {
            self.granted.release(&id, from);
            return None;
        }
        let home_demand = Demand {
            holder: from,
            wanted,
            running,
            share: self.share_of(from, &limit),
        };
        let leased = self.granted.grant(now, &id, &limit, &home_demand);
        Some(QuotaLease {
            organisation: demand.organisation.clone(),
            tokens_per_s: leased.get(LimitKind::Tokens),
            requests_per_1000_s: leased.get(LimitKind::Requests),
            duration_ms: LEASE_TIME.get(),
            concurrent_requests: leased.get(LimitKind::Concurrent),
        })
    }

    /// Return the part of a limit that may be leased on this side of a network partition.
    ///
    /// This is the whole limit if more than half of the zones are reachable, or else their part.
    fn reachable_part(&self, limit: &Limit) -> Limit {
        let zones = self.live.iter().map(|other| &other.zone);
        let reachable: IndexSet<_> = zones.chain([&self.own.zone]).collect();
        let reachable = (reachable.len() as u64).min(self.zones);
        if reachable * 2 > self.zones {
            return *limit;
        }
        let part = |limit: Option<u64>| limit.map(|limit| limit * reachable / self.zones);
        Limit {
            requests_per_s: part(limit.requests_per_s),
            tokens_per_s: part(limit.tokens_per_s),
            concurrent: part(limit.concurrent),
        }
    }

    /// Return the quota that this instance uses without a lease.
    fn share(&self, limit: &Limit) -> Quota {
        instance_share(limit, self.zones, count_in_zone(&self.own, &self.live))
    }

    /// Return the quota that another instance uses without a lease.
    fn share_of(&self, instance: &InstanceId, limit: &Limit) -> Quota {
        let other = self.live.iter().find(|other| other.id == *instance);
        let zone = &other.unwrap_or(&self.own).zone;
        let all = self.live.iter().chain([&self.own]);
        let instances = all.filter(|other| other.zone == *zone).count() as u64;
        let instances = NonZeroU64::new(instances).unwrap_or(NonZeroU64::MIN);
        instance_share(limit, self.zones, instances)
    }

    /// Recompute the home instances; one that is unchanged keeps its start time.
    fn update_homes(&mut self, now: Timestamp) {
        let before = std::mem::take(&mut self.homes);
        for id in self.limits.keys() {
            let all = self
                .live
                .iter()
                .map(|other| &other.id)
                .chain([&self.own.id]);
            let Some(home) = all.max_by_key(|instance| home_weight(id, instance)) else {
                continue;
            };
            let since = match before.get(id) {
                Some((previous, since)) if previous == home => *since,
                _ => now,
            };
            self.homes.insert(id.clone(), (home.clone(), since));
        }
    }
}

/// Return the number of instances in the zone of `own`.
fn count_in_zone(own: &LiveInstance, live: &[LiveInstance]) -> NonZeroU64 {
    let others = live.iter().filter(|other| other.zone == own.zone).count();
    NonZeroU64::MIN.saturating_add(others as u64)
}

/// Return the quota that an instance uses without a lease: limit / zones / instances of its zone.
///
/// It is at least 1 unless the limit is 0.
fn instance_share(limit: &Limit, zones: u64, instances: NonZeroU64) -> Quota {
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

/// Return the rendezvous weight of an instance; the highest one makes it the home instance.
fn home_weight(organisation: &OrganisationId, instance: &InstanceId) -> u64 {
    // Ids contain no line feed, so each pair has its own key.
    let key = format!("{organisation}\n{instance}");
    xxh3_64(key.as_bytes())
}
