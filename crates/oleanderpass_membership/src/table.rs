//! Merge claims about members into one view.

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;

use crate::member::Liveness;
use crate::member::Member;

/// The time that a suspected member has to refute the suspicion before it is declared dead.
pub(crate) const SUSPICION_TIMEOUT: Millis = Millis::from_secs(5);

/// The time before the end of a suspicion at which each instance probes the suspect itself, so that
/// a suspect stays alive for all instances that it can answer, even if its refutation spreads
/// slowly.
const FINAL_PROBE_LEAD: Millis = Millis::from_secs(1);

/// The time for which a dead member is remembered, so that late gossip doesn't revive it.
const DEAD_MEMBER_TTL: Millis = Millis::from_secs(600);

/// The most members in the table: ten times the largest planned fleet. It bounds the memory that a
/// faulty peer which invents members can take.
const MAX_MEMBERS: usize = 4_096;

/// A member and the state of its suspicion or death.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) member: Member,
    /// The last change of liveness, from which [`SUSPICION_TIMEOUT`] or [`DEAD_MEMBER_TTL`] runs. A
    /// pause of the process moves it later, and the end of a peer's suspicion moves it earlier.
    pub(crate) timer_start: Timestamp,
    /// The final probe of the current suspicion was sent.
    final_probe_sent: bool,
}

impl Record {
    fn new(now: Timestamp, member: &Member) -> Self {
        Self {
            member: member.clone(),
            timer_start: now,
            final_probe_sent: false,
        }
    }

    fn restart_timer(&mut self, now: Timestamp) {
        self.timer_start = now;
        self.final_probe_sent = false;
    }
}

/// How a claim changed the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeResult {
    /// The view of the member is the same as before.
    Unchanged,
    /// The view of the member is new or changed.
    Changed,
    /// The claim says that a member is dead which is alive in this view. The claim isn't accepted,
    /// but the member is to be probed.
    UnconfirmedDeath,
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

    /// Merge a claim: a higher incarnation wins, then a higher sequence, then the worse liveness. A
    /// claimed death of the held incarnation isn't accepted.
    pub(crate) fn merge(&mut self, now: Timestamp, claim: &Member) -> MergeResult {
        let full = self.records.len() >= MAX_MEMBERS;
        let Some(record) = self.records.get_mut(&claim.id) else {
            // The death of an unknown member is of no use here, and passing it on would keep its id
            // in circulation.
            if claim.liveness == Liveness::Dead || full {
                return MergeResult::Unchanged;
            }
            self.records
                .insert(claim.id.clone(), Record::new(now, claim));
            return MergeResult::Changed;
        };
        if claim.incarnation < record.member.incarnation {
            return MergeResult::Unchanged;
        }
        if claim.incarnation > record.member.incarnation {
            *record = Record::new(now, claim);
            return MergeResult::Changed;
        }
        merge_same_incarnation(now, record, claim)
    }

    /// Mark a member that is alive as suspected. Return whether it was alive.
    pub(crate) fn suspect(&mut self, now: Timestamp, id: &InstanceId) -> bool {
        match self.records.get_mut(id) {
            Some(record) if record.member.liveness == Liveness::Alive => {
                record.member.liveness = Liveness::Suspect;
                record.restart_timer(now);
                true
            }
            _ => false,
        }
    }

    /// Return the suspects whose final probe is due, each once for a suspicion.
    pub(crate) fn due_final_probes(&mut self, now: Timestamp) -> Vec<Member> {
        let mut due = Vec::new();
        for record in self.records.values_mut() {
            let suspect = record.member.liveness == Liveness::Suspect && !record.final_probe_sent;
            if suspect && now.since(record.timer_start) + FINAL_PROBE_LEAD >= SUSPICION_TIMEOUT {
                record.final_probe_sent = true;
                due.push(record.member.clone());
            }
        }
        due
    }

    /// Declare the suspects dead whose time for a refutation is over, and return them.
    pub(crate) fn expire_suspects(&mut self, now: Timestamp) -> Vec<Member> {
        let mut dead = Vec::new();
        for record in self.records.values_mut() {
            let suspect = record.member.liveness == Liveness::Suspect;
            if suspect && now.since(record.timer_start) >= SUSPICION_TIMEOUT {
                record.member.liveness = Liveness::Dead;
                record.timer_start = now;
                dead.push(record.member.clone());
            }
        }
        dead
    }

    /// Forget the members that have been dead for [`DEAD_MEMBER_TTL`], and return their ids.
    pub(crate) fn forget_dead(&mut self, now: Timestamp) -> Vec<InstanceId> {
        let expired = |r: &Record| {
            r.member.liveness == Liveness::Dead && now.since(r.timer_start) >= DEAD_MEMBER_TTL
        };
        let ids: Vec<_> = self.records.values().filter(|r| expired(r)).collect();
        let ids: Vec<InstanceId> = ids.iter().map(|r| r.member.id.clone()).collect();
        self.records.retain(|_, record| !expired(record));
        ids
    }

    /// Restart the time for a refutation of every suspect.
    pub(crate) fn restart_suspicions(&mut self, now: Timestamp) {
        for record in self.records.values_mut() {
            if record.member.liveness == Liveness::Suspect {
                record.restart_timer(now);
            }
        }
    }
}

fn merge_same_incarnation(now: Timestamp, record: &mut Record, claim: &Member) -> MergeResult {
    let held = &mut record.member;
    let before = (held.sequence, held.liveness, held.leaving);
    held.leaving |= claim.leaving;
    if claim.liveness == Liveness::Dead && claim.sequence >= held.sequence {
        // If claimed deaths were accepted, the two sides of a healed partition would spread the
        // deaths that they declared of each other.
        return match held.liveness {
            Liveness::Alive => MergeResult::UnconfirmedDeath,
            Liveness::Suspect => {
                // The suspicion has already ended at a peer, so the final probe is due here.
                record.timer_start = record
                    .timer_start
                    .min(now + FINAL_PROBE_LEAD - SUSPICION_TIMEOUT);
                MergeResult::Unchanged
            }
            Liveness::Dead => MergeResult::Unchanged,
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
        record.restart_timer(now);
    }
    if after == before {
        MergeResult::Unchanged
    } else {
        MergeResult::Changed
    }
}
