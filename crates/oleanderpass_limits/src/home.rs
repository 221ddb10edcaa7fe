//! Lease parts of the limits of organisations to the instances that request them.
//!
//! This is the side of the home instance.

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::OrganisationId;
use strum::IntoEnumIterator;

use crate::quota::Limit;
use crate::quota::LimitKind;
use crate::quota::Quota;

/// The duration of a lease.
pub(crate) const LEASE_TIME: Millis = Millis::from_secs(2);

/// How long the share of an instance stays reserved after its lease has expired.
///
/// The instance may be cut off and use its share without a lease. The other instances detect that
/// within 7 s, and 1 s is added for this information to reach all of them.
const EXPIRED_RESERVE_TIME: Millis = Millis::from_secs(8);

/// The quota that an instance requests for one organisation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand<'a> {
    pub(crate) holder: &'a InstanceId,
    pub(crate) wanted: Quota,
    /// The requests of the organisation that run at the instance.
    pub(crate) running: u64,
    /// The quota that the instance uses without a lease.
    pub(crate) share: Quota,
}

/// The last lease of an instance, and the request for it.
#[derive(Clone, Copy, Debug)]
struct Lease {
    leased: Quota,
    wanted: Quota,
    running: u64,
    /// The quota that the instance uses without a lease.
    share: Quota,
    expires_at: Timestamp,
}

impl Lease {
    /// Return the amount that can't be leased to other instances.
    ///
    /// After the lease has expired, this is the share. Before, it is the leased amount; requests
    /// that still run beyond a lease that became smaller count too.
    fn occupied(&self, now: Timestamp, kind: LimitKind) -> u64 {
        if self.expires_at <= now {
            return self.share.get(kind);
        }
        let leased = self.leased.get(kind);
        match kind {
            LimitKind::Concurrent => leased.max(self.running),
            LimitKind::Requests | LimitKind::Tokens => leased,
        }
    }
}

/// The leases that this instance granted for the organisations whose home instance it is.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantedLeases {
    organisations: IndexMap<OrganisationId, IndexMap<InstanceId, Lease>>,
}

impl GrantedLeases {
    /// Lease a part of a limit to an instance, in place of its earlier lease.
    ///
    /// The lease is at most the part of the limit that remains after the other unexpired leases and
    /// the reserved shares of expired ones, so a grant never makes their sum exceed the limit.
    pub(crate) fn grant(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationId,
        limit: &Limit,
        demand: &Demand<'_>,
    ) -> Quota {
        let leases = self.organisations.entry(organisation.clone()).or_default();
        leases.swap_remove(demand.holder);
        let mut leased = Quota::default();
        for kind in LimitKind::iter() {
            if let Some(limit) = limit.get(kind) {
                leased.set(kind, lease_amount(now, limit, kind, demand, leases));
            }
        }
        let lease = Lease {
            leased,
            wanted: demand.wanted,
            running: demand.running,
            share: demand.share,
            expires_at: now + LEASE_TIME,
        };
        leases.insert(demand.holder.clone(), lease);
        leased
    }

    /// Release the lease of an instance that no longer needs it.
    pub(crate) fn release(&mut self, organisation: &OrganisationId, holder: &InstanceId) {
        if let Some(leases) = self.organisations.get_mut(organisation) {
            leases.swap_remove(holder);
        }
    }

    /// Remove the leases that expired at least [`EXPIRED_RESERVE_TIME`] ago.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.organisations.retain(|_, leases| {
            leases.retain(|_, lease| lease.expires_at + EXPIRED_RESERVE_TIME > now);
            !leases.is_empty()
        });
    }

    /// Remove the expired leases of instances that are no longer alive.
    pub(crate) fn remove_dead(&mut self, now: Timestamp, is_live: impl Fn(&InstanceId) -> bool) {
        for leases in self.organisations.values_mut() {
            leases.retain(|id, lease| lease.expires_at > now || is_live(id));
        }
    }
}

/// Return the amount of one kind to lease: the fair part of the limit, as far as it is free.
fn lease_amount(
    now: Timestamp,
    limit: u64,
    kind: LimitKind,
    demand: &Demand<'_>,
    others: &IndexMap<InstanceId, Lease>,
) -> u64 {
    let (unexpired, expired): (Vec<_>, Vec<_>) =
        others.iter().partition(|(_, lease)| lease.expires_at > now);
    let sum = |leases: &[(&InstanceId, &Lease)]| -> u64 {
        let occupied = leases.iter().map(|(_, lease)| lease.occupied(now, kind));
        occupied.fold(0, u64::saturating_add)
    };
    let limit = limit.saturating_sub(sum(&expired));
    let free = limit.saturating_sub(sum(&unexpired));
    let mine = (demand.wanted.get(kind), demand.holder);
    let wanted = unexpired
        .iter()
        .map(|(id, lease)| (lease.wanted.get(kind), *id));
    let round = now.as_millis() / LEASE_TIME.get();
    fair_part_with_spare(limit, mine, wanted.collect(), round).min(free)
}

/// Return the fair part of one demand, plus a part of the quota that no instance requested.
fn fair_part_with_spare(
    limit: u64,
    mine: (u64, &InstanceId),
    others: Vec<(u64, &InstanceId)>,
    round: u64,
) -> u64 {
    let demands = others.iter().map(|(demand, _)| *demand);
    let wanted = demands.fold(mine.0, u64::saturating_add);
    // One part of the spare quota stays free for an instance that makes its first request.
    let spare = limit.saturating_sub(wanted) / (others.len() as u64 + 2);
    fair_part(limit, mine, others, round).saturating_add(spare)
}

/// Return the max-min fair part of one demand: no part grows at the cost of a smaller one.
///
/// The remainder of the division is given out in units of 1, to different instances in each round,
/// which lasts [`LEASE_TIME`]. So if the limit is below the number of instances that request it,
/// each of them gets a unit in some rounds.
fn fair_part(
    limit: u64,
    mine: (u64, &InstanceId),
    mut others: Vec<(u64, &InstanceId)>,
    round: u64,
) -> u64 {
    others.sort_unstable();
    let mut remaining = limit;
    let mut requesters = others.len() as u64 + 1;
    for (demand, _) in &others {
        let equal = remaining / requesters;
        if mine.0 <= equal || *demand > equal {
            break;
        }
        remaining -= demand;
        requesters -= 1;
    }
    let satisfied = others
        .len()
        .saturating_sub(usize::try_from(requesters - 1).unwrap_or(0));
    let contending = others.iter().skip(satisfied);
    let rank = contending.filter(|(_, id)| *id < mine.1).count() as u64;
    let extra = u64::from((rank + round) % requesters < remaining % requesters);
    mine.0.min(remaining / requesters + extra)
}
