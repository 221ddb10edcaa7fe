//! Merge what is claimed of members into one view.

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;

use crate::member::Liveness;
use crate::member::Member;

/// The time that a suspected member has for a refutation.
pub(crate) const SUSPICION_TIME: Millis = Millis::from_secs(5);

/// How long a dead member is remembered, so that late gossip doesn't revive it.
const DEAD_TIME: Millis = Millis::from_secs(600);

/// The most members that are kept, ten times the largest planned fleet; a bound against a faulty
/// peer that invents members.
const MAX_MEMBERS: usize = 4_096;

/// A member and the time of its last change of liveness.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) member: Member,
    pub(crate) since: Timestamp,
}

/// The other members by id.
#[derive(Debug, Default)]
pub(crate) struct Table {
    records: IndexMap<InstanceId, Record>,
}

impl Table {
    pub(crate) fn get(&self, id: &InstanceId) -> Option<&Member> {
        self.records.get(id).map(|record| &record.member)
    }

    pub(crate) fn at(&self, index: usize) -> Option<&Member> {
        self.records.get_index(index).map(|(_, r)| &r.member)
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.records.values().map(|record| &record.member)
    }

    /// Iterate over the members that aren't dead.
    pub(crate) fn present(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(|member| member.liveness != Liveness::Dead)
    }

    /// Merge a claim. Return whether the view changed.
    pub(crate) fn merge(&mut self, now: Timestamp, claim: Member) -> bool {
        let full = self.records.len() >= MAX_MEMBERS;
        let Some(record) = self.records.get_mut(&claim.id) else {
            // A death of an unknown member is of no use and would keep its name in circulation.
            if claim.liveness == Liveness::Dead || full {
                return false;
            }
            let record = Record {
                since: now,
                member: claim,
            };
            self.records.insert(record.member.id.clone(), record);
            return true;
        };
        if claim.incarnation < record.member.incarnation {
            return false;
        }
        if claim.incarnation > record.member.incarnation {
            *record = Record {
                since: now,
                member: claim,
            };
            return true;
        }
        merge_same_incarnation(now, record, claim)
    }

    /// Suspect a member. Return whether it was alive.
    pub(crate) fn suspect(&mut self, now: Timestamp, id: &InstanceId) -> bool {
        match self.records.get_mut(id) {
            Some(record) if record.member.liveness == Liveness::Alive => {
                record.member.liveness = Liveness::Suspect;
                record.since = now;
                true
            }
            _ => false,
        }
    }

    /// Declare dead the suspects whose time is over and return them.
    pub(crate) fn expire_suspects(&mut self, now: Timestamp) -> Vec<Member> {
        let mut dead = Vec::new();
        for record in self.records.values_mut() {
            let suspect = record.member.liveness == Liveness::Suspect;
            if suspect && now.since(record.since) >= SUSPICION_TIME {
                record.member.liveness = Liveness::Dead;
                record.since = now;
                dead.push(record.member.clone());
            }
        }
        dead
    }

    /// Forget members that have been dead for long, and return their ids.
    pub(crate) fn forget_dead(&mut self, now: Timestamp) -> Vec<InstanceId> {
        let old =
            |r: &Record| r.member.liveness == Liveness::Dead && now.since(r.since) >= DEAD_TIME;
        let ids: Vec<_> = self.records.values().filter(|r| old(r)).collect();
        let ids: Vec<InstanceId> = ids.iter().map(|r| r.member.id.clone()).collect();
        self.records.retain(|_, record| !old(record));
        ids
    }

    /// Give every suspect its whole time again.
    pub(crate) fn restart_suspicions(&mut self, now: Timestamp) {
        for record in self.records.values_mut() {
            if record.member.liveness == Liveness::Suspect {
                record.since = now;
            }
        }
    }
}

fn merge_same_incarnation(now: Timestamp, record: &mut Record, claim: Member) -> bool {
    let held = &mut record.member;
    let before = (held.sequence, held.liveness, held.leaving);
    held.leaving |= claim.leaving;
    // A claimed death only starts a suspicion: the member gets its time for a refutation at each
    // instance, so two sides that declared each other dead don't spread these deaths on meeting.
    let claimed = match (claim.liveness, held.liveness) {
        (Liveness::Dead, Liveness::Dead) => Liveness::Dead,
        (Liveness::Dead, _) => Liveness::Suspect,
        (liveness, _) => liveness,
    };
    if claim.sequence > held.sequence {
        held.sequence = claim.sequence;
        held.zone = claim.zone;
        held.addr = claim.addr;
        held.liveness = claimed;
    } else if claim.sequence == held.sequence && claimed > held.liveness {
        held.liveness = claimed;
    }
    if held.liveness != before.1 {
        record.since = now;
    }
    (held.sequence, held.liveness, held.leaving) != before
}
