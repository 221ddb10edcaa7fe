//! Divide the limit of an organisation among the instances that ask for it.

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::OrganisationId;
use strum::IntoEnumIterator;

use crate::quota::Limit;
use crate::quota::LimitKind;
use crate::quota::Quota;

/// The time for which quota is leased.
pub(crate) const LEASE_TIME: Millis = Millis::from_secs(2);

/// How long a share is kept for an instance whose lease lapsed. It may be cut off and use the share;
/// within 7 s the instances notice that, and 1 s is added for the news.
const LAPSED_TIME: Millis = Millis::from_secs(8);

/// What an instance asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand<'a> {
    pub(crate) holder: &'a InstanceId,
    pub(crate) wanted: Quota,
    pub(crate) running: u64,
    /// What the instance uses without a lease.
    pub(crate) share: Quota,
}

/// What an instance holds and asked for.
#[derive(Clone, Copy, Debug)]
struct Holder {
    leased: Quota,
    wanted: Quota,
    running: u64,
    share: Quota,
    until: Timestamp,
}

impl Holder {
    /// Return what can't be leased to others. Requests beyond a smaller lease still run.
    fn occupied(&self, now: Timestamp, kind: LimitKind) -> u64 {
        if self.until <= now {
            return self.share.get(kind);
        }
        let leased = self.leased.get(kind);
        match kind {
            LimitKind::Concurrent => leased.max(self.running),
            LimitKind::Requests | LimitKind::Tokens => leased,
        }
    }
}

/// The leases of the organisations whose home this instance is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Home {
    organisations: IndexMap<OrganisationId, IndexMap<InstanceId, Holder>>,
}

impl Home {
    /// Lease a part of a limit. All unexpired leases and the shares of lapsed ones together never
    /// exceed the limit.
    pub(crate) fn grant(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationId,
        limit: &Limit,
        demand: &Demand<'_>,
    ) -> Quota {
        let holders = self.organisations.entry(organisation.clone()).or_default();
        holders.swap_remove(demand.holder);
        let mut leased = Quota::default();
        for kind in LimitKind::iter() {
            if let Some(limit) = limit.get(kind) {
                leased.set(kind, lease(now, limit, kind, demand, holders));
            }
        }
        let holder = Holder {
            leased,
            wanted: demand.wanted,
            running: demand.running,
            share: demand.share,
            until: now + LEASE_TIME,
        };
        holders.insert(demand.holder.clone(), holder);
        leased
    }

    /// End the lease of an instance that no longer needs it.
    pub(crate) fn release(&mut self, organisation: &OrganisationId, holder: &InstanceId) {
        if let Some(holders) = self.organisations.get_mut(organisation) {
            holders.swap_remove(holder);
        }
    }

    /// Forget lapsed leases after some time.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.organisations.retain(|_, holders| {
            holders.retain(|_, held| held.until + LAPSED_TIME > now);
            !holders.is_empty()
        });
    }

    /// Forget the lapsed leases of instances that aren't live any more.
    pub(crate) fn forget(&mut self, now: Timestamp, is_live: impl Fn(&InstanceId) -> bool) {
        for holders in self.organisations.values_mut() {
            holders.retain(|id, held| held.until > now || is_live(id));
        }
    }
}

fn lease(
    now: Timestamp,
    limit: u64,
    kind: LimitKind,
    demand: &Demand<'_>,
    others: &IndexMap<InstanceId, Holder>,
) -> u64 {
    let (held, lapsed): (Vec<_>, Vec<_>) = others.iter().partition(|(_, held)| held.until > now);
    let sum = |holders: &[(&InstanceId, &Holder)]| -> u64 {
        let occupied = holders.iter().map(|(_, held)| held.occupied(now, kind));
        occupied.fold(0, u64::saturating_add)
    };
    let limit = limit.saturating_sub(sum(&lapsed));
    let free = limit.saturating_sub(sum(&held));
    let mine = (demand.wanted.get(kind), demand.holder);
    let wanted = held.iter().map(|(id, held)| (held.wanted.get(kind), *id));
    let turn = now.as_millis() / LEASE_TIME.get();
    divide(limit, mine, wanted.collect(), turn).min(free)
}

/// Return the fair part of a demand and of what nobody asked for.
fn divide(limit: u64, mine: (u64, &InstanceId), others: Vec<(u64, &InstanceId)>, turn: u64) -> u64 {
    let demands = others.iter().map(|(demand, _)| *demand);
    let wanted = demands.fold(mine.0, u64::saturating_add);
    // One part of the rest stays free for an instance that asks for the first time.
    let spare = limit.saturating_sub(wanted) / (others.len() as u64 + 2);
    fair_part(limit, mine, others, turn).saturating_add(spare)
}

/// Return the max-min fair part of one demand: no part grows at the cost of a smaller one.
///
/// The remainder of the division goes to as many askers, to others at each turn, so that a limit
/// below the number of askers serves each of them at times.
fn fair_part(
    limit: u64,
    mine: (u64, &InstanceId),
    mut others: Vec<(u64, &InstanceId)>,
    turn: u64,
) -> u64 {
    others.sort_unstable();
    let mut rest = limit;
    let mut askers = others.len() as u64 + 1;
    for (demand, _) in &others {
        let equal = rest / askers;
        if mine.0 <= equal || *demand > equal {
            break;
        }
        rest -= demand;
        askers -= 1;
    }
    let satisfied = others
        .len()
        .saturating_sub(usize::try_from(askers - 1).unwrap_or(0));
    let contending = others.iter().skip(satisfied);
    let rank = contending.filter(|(_, id)| *id < mine.1).count() as u64;
    let extra = u64::from((rank + turn) % askers < rest % askers);
    mine.0.min(rest / askers + extra)
}
