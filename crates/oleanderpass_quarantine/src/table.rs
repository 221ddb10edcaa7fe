//! The crashes of the last ten minutes and their suspects.

use indexmap::IndexMap;
use indexmap::IndexSet;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

use crate::evidence::CrashId;
use crate::evidence::EVIDENCE_LIFETIME;
use crate::evidence::Evidence;
use crate::evidence::MAX_EVIDENCE_PER_DATAGRAM;
use crate::evidence::MAX_SIGNATURES_PER_EVIDENCE;
use crate::evidence::Signature;
use crate::rule::RunRule;

/// Maximum number of signatures that one instance keeps. At about 200 bytes each with their crash
/// records they take less than 1 MB of the 64 MB for control work.
pub const MAX_SIGNATURES: usize = 4_096;

/// Maximum number of crashes that one instance keeps. A crash without suspects is not kept.
pub const MAX_CRASHES: usize = 1_024;

/// Number of crashes after which a request runs alone.
const CRASHES_BEFORE_ALONE: usize = 2;

/// Number of crashes after which a request is refused even if it never ran alone. An instance can't
/// keep other instances from using the engine of a request that runs alone, so a busy fleet would
/// lose a fourth server. A harmless request is in flight in so many crashes only if none of its
/// runs finished in between.
const CRASHES_BEFORE_REFUSED: usize = 3;

/// A crash that still counts against its suspects.
#[derive(Clone, Debug)]
struct Crash {
    at: Timestamp,
    alone: bool,
    /// The signatures in flight, each with the number of times that it was sent to peers. Cleared
    /// signatures stay, so that late evidence of the same crash doesn't make them suspects again.
    signatures: IndexMap<Signature, u32>,
}

/// The recent crashes and their suspects as one instance sees them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: IndexMap<CrashId, Crash>,
    /// The crashes of each suspect. A cleared signature is removed.
    suspects: IndexMap<Signature, IndexSet<CrashId>>,
}

impl Quarantine {
    /// Create an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Return the number of suspects, including those in quarantine.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Return the number of signatures in quarantine.
    pub fn quarantined_count(&self, now: Timestamp) -> usize {
        let refused = |sig: &&Signature| matches!(self.rule(now, **sig), RunRule::Refused { .. });
        self.suspects.keys().filter(refused).count()
    }

    /// Return the number of unexpired crashes in which a request with this signature was in flight
    /// and has not been cleared since.
    pub fn crash_count(&self, now: Timestamp, sig: Signature) -> usize {
        let ids = self.suspects.get(&sig);
        let crashes = ids
            .into_iter()
            .flatten()
            .filter_map(|id| self.crashes.get(id));
        crashes
            .filter(|crash| now.since(crash.at) < EVIDENCE_LIFETIME)
            .count()
    }

    /// Record evidence of a crash from this instance or from a peer.
    ///
    /// Evidence of the same crash is merged: if two instances report different signatures, no
    /// request counts as having run alone.
    pub fn on_crash(&mut self, now: Timestamp, evidence: &Evidence) {
        if evidence.signatures.is_empty() || evidence.age >= EVIDENCE_LIFETIME {
            return;
        }
        let crash = self
            .crashes
            .entry(evidence.crash.clone())
            .or_insert_with(|| Crash {
                at: now - evidence.age,
                alone: true,
                signatures: IndexMap::new(),
            });
        crash.alone &= evidence.alone;
        for sig in &evidence.signatures {
            if crash.signatures.len() < MAX_SIGNATURES && !crash.signatures.contains_key(sig) {
                crash.signatures.insert(*sig, 0);
                self.suspects
                    .entry(*sig)
                    .or_default()
                    .insert(evidence.crash.clone());
            }
        }
        crash.alone &= crash.signatures.len() == 1;
        self.enforce_bounds(now);
    }

    /// Clear a signature after one of its requests ended regularly on a server that stayed up.
    pub fn on_finished(&mut self, sig: Signature) {
        self.suspects.shift_remove(&sig);
    }

    /// Remove crashes whose [`EVIDENCE_LIFETIME`] is over.
    pub fn tick(&mut self, now: Timestamp) {
        let expired: Vec<CrashId> = self
            .crashes
            .iter()
            .filter(|(_, crash)| now.since(crash.at) >= EVIDENCE_LIFETIME)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.remove_crash(&id);
        }
    }

    /// Return how a request with this signature may run now.
    pub fn rule(&self, now: Timestamp, sig: Signature) -> RunRule {
        let Some(ids) = self.suspects.get(&sig) else {
            return RunRule::Unrestricted;
        };
        let unexpired = ids.iter().filter_map(|id| {
            let crash = self.crashes.get(id)?;
            let left = EVIDENCE_LIFETIME.saturating_sub(now.since(crash.at));
            (left > Millis::ZERO).then_some((crash.alone, left))
        });
        let mut remaining = Vec::new();
        let mut refused_for = Millis::ZERO;
        for (alone, left) in unexpired {
            remaining.push(left);
            if alone {
                refused_for = refused_for.max(left);
            }
        }
        // The refusal ends when the number of unexpired crashes falls below the limit: when the
        // oldest of the latest `CRASHES_BEFORE_REFUSED` expires.
        remaining.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(left) = remaining.get(CRASHES_BEFORE_REFUSED - 1) {
            refused_for = refused_for.max(*left);
        }
        match remaining.len() {
            _ if refused_for > Millis::ZERO => RunRule::Refused { left: refused_for },
            0 => RunRule::Unrestricted,
            n if n < CRASHES_BEFORE_ALONE => RunRule::SeparateFromSuspects,
            _ => RunRule::Alone,
        }
    }

    /// Return whether a request may start now on a server that runs the requests `running` of this
    /// instance, while this instance runs `copies` other requests with the same signature on any
    /// server.
    pub fn may_start(
        &self,
        now: Timestamp,
        sig: Signature,
        running: &[Signature],
        copies: usize,
    ) -> bool {
        let joins_request_alone = running
            .iter()
            .any(|other| self.rule(now, *other) == RunRule::Alone);
        match self.rule(now, sig) {
            RunRule::Unrestricted => !joins_request_alone,
            RunRule::SeparateFromSuspects => {
                copies == 0
                    && !joins_request_alone
                    && !running.iter().any(|other| self.share_crash(sig, *other))
            }
            RunRule::Alone => copies == 0 && running.is_empty(),
            RunRule::Refused { .. } => false,
        }
    }

    /// Return evidence to send with the next datagram, the least often sent first, and count it as
    /// sent.
    ///
    /// Each signature of each crash is sent `repeats` times.
    pub fn next_evidence(&mut self, now: Timestamp, repeats: u32) -> Vec<Evidence> {
        let mut pending: Vec<(u32, usize)> = self
            .crashes
            .values()
            .enumerate()
            .filter_map(|(index, crash)| {
                let sent = crash.signatures.values().min().copied()?;
                (sent < repeats).then_some((sent, index))
            })
            .collect();
        pending.sort_unstable();
        pending.truncate(MAX_EVIDENCE_PER_DATAGRAM);
        pending
            .into_iter()
            .filter_map(|(sent, index)| {
                let (id, crash) = self.crashes.get_index_mut(index)?;
                let mut signatures = Vec::new();
                for (sig, count) in crash
                    .signatures
                    .iter_mut()
                    .filter(|(_, count)| **count <= sent)
                {
                    if signatures.len() == MAX_SIGNATURES_PER_EVIDENCE {
                        break;
                    }
                    *count += 1;
                    signatures.push(*sig);
                }
                Some(Evidence {
                    crash: id.clone(),
                    signatures,
                    alone: crash.alone,
                    age: now.since(crash.at),
                })
            })
            .collect()
    }

    /// Return whether two signatures are suspects of the same crash.
    fn share_crash(&self, a: Signature, b: Signature) -> bool {
        match (self.suspects.get(&a), self.suspects.get(&b)) {
            (Some(a), Some(b)) => a.iter().any(|id| b.contains(id)),
            _ => false,
        }
    }

    /// Remove the oldest suspects that are not in quarantine, then the oldest crashes, until both
    /// are within their bounds.
    fn enforce_bounds(&mut self, now: Timestamp) {
        while self.suspects.len() > MAX_SIGNATURES {
            let refused = |sig: &Signature| matches!(self.rule(now, *sig), RunRule::Refused { .. });
            let index = self.suspects.keys().position(|sig| !refused(sig));
            self.suspects.shift_remove_index(index.unwrap_or(0));
        }
        let signature_count = |crashes: &IndexMap<CrashId, Crash>| {
            crashes
                .values()
                .map(|crash| crash.signatures.len())
                .sum::<usize>()
        };
        while self.crashes.len() > MAX_CRASHES
            || signature_count(&self.crashes) > 2 * MAX_SIGNATURES
        {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                return;
            };
            self.remove_crash(&id);
        }
    }

    fn remove_crash(&mut self, id: &CrashId) {
        let Some(crash) = self.crashes.shift_remove(id) else {
            return;
        };
        for sig in crash.signatures.keys() {
            if let Some(ids) = self.suspects.get_mut(sig) {
                ids.shift_remove(id);
                if ids.is_empty() {
                    self.suspects.shift_remove(sig);
                }
            }
        }
    }
}
