//! Merge what is claimed of members into one view.

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;

use crate::member::Liveness;
use crate::member::Member;

/// The time that a suspected member has for a refutation.
pub(crate) const SUSPICION_TIME: Millis = Millis::from_secs(5);

/// The time before the end of a suspicion at which each instance asks the suspect itself, so that a
/// suspect is alive for all whom it can answer, even if its refutation spreads slowly.
const LAST_ASK_TIME: Millis = Millis::from_secs(1);

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
    /// The member was asked before its suspicion expires.
    asked: bool,
}

impl Record {
    fn new(now: Timestamp, member: &Member) -> Self {
        Self {
            member: member.clone(),
            since: now,
            asked: false,
        }
    }

    fn set_since(&mut self, now: Timestamp) {
        self.since = now;
        self.asked = false;
    }
}

/// What a claim did to the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merged {
    /// Nothing.
    Unchanged,
    /// It changed the view of the member.
    Changed,
    /// It says that a live member is dead. The member is to be asked before that is believed.
    Doubted,
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
    pub(crate) fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(|member| member.liveness != Liveness::Dead)
    }

    /// Merge a claim.
    pub(crate) fn merge(&mut self, now: Timestamp, claim: &Member) -> Merged {
        let full = self.records.len() >= MAX_MEMBERS;
        let Some(record) = self.records.get_mut(&claim.id) else {
            // A death of an unknown member is of no use and would keep its name in circulation.
            if claim.liveness == Liveness::Dead || full {
                return Merged::Unchanged;
            }
            self.records
                .insert(claim.id.clone(), Record::new(now, claim));
            return Merged::Changed;
        };
        if claim.incarnation < record.member.incarnation {
            return Merged::Unchanged;
        }
        if claim.incarnation > record.member.incarnation {
            *record = Record::new(now, claim);
            return Merged::Changed;
        }
        merge_same_incarnation(now, record, claim)
    }

    /// Suspect a member. Return whether it was alive.
    pub(crate) fn suspect(&mut self, now: Timestamp, id: &InstanceId) -> bool {
        match self.records.get_mut(id) {
            Some(record) if record.member.liveness == Liveness::Alive => {
                record.member.liveness = Liveness::Suspect;
                record.set_since(now);
                true
            }
            _ => false,
        }
    }

    /// Return the suspects whose time is nearly over, each once.
    pub(crate) fn last_asks(&mut self, now: Timestamp) -> Vec<Member> {
        let mut asks = Vec::new();
        for record in self.records.values_mut() {
            let suspect = record.member.liveness == Liveness::Suspect && !record.asked;
            if suspect && now.since(record.since) + LAST_ASK_TIME >= SUSPICION_TIME {
                record.asked = true;
                asks.push(record.member.clone());
            }
        }
        asks
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
                record.set_since(now);
            }
        }
    }
}

fn merge_same_incarnation(now: Timestamp, record: &mut Record, claim: &Member) -> Merged {
    let held = &mut record.member;
    let before = (held.sequence, held.liveness, held.leaving);
    held.leaving |= claim.leaving;
    if claim.liveness == Liveness::Dead && claim.sequence >= held.sequence {
        // Two sides of a partition that meet again would spread the deaths they declared.
        return match held.liveness {
            Liveness::Alive => Merged::Doubted,
            Liveness::Suspect => {
                // A peer's suspicion has ended, so this one goes on to its last ask.
                record.since = record.since.min(now + LAST_ASK_TIME - SUSPICION_TIME);
                Merged::Unchanged
            }
            Liveness::Dead => Merged::Unchanged,
        };
    }
    if claim.sequence > held.sequence {
        held.sequence = claim.sequence;
        held.zone = claim.zone.clone();
        held.addr = claim.addr;
        held.liveness = claim.liveness;
    } else if claim.sequence == held.sequence && claim.liveness > held.liveness {
        held.liveness = claim.liveness;
    }
    let after = (held.sequence, held.liveness, held.leaving);
    if after.1 != before.1 {
        record.set_since(now);
    }
    if after == before {
        Merged::Unchanged
    } else {
        Merged::Changed
    }
}
