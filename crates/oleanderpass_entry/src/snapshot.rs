//! Publish the state of the core that the rest of the process reads.

use std::sync::Arc;

use oleanderpass_config::document::Document;
use oleanderpass_core::instance::Instance;
use oleanderpass_membership::member::Liveness;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Generation;
use serde::Serialize;
use smol_str::SmolStr;

/// The state of the core that the rest of the process reads. The core's thread publishes it after
/// each event that changes it.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The environment document in force; `None` before the first one.
    pub document: Option<Arc<Document>>,
    /// Whether the load balancer should send callers to this instance; the answer to `/readyz`.
    pub ready: bool,
    /// The number of requests in flight.
    pub in_flight: usize,
    /// Further counts of the core's state, updated once a second.
    pub counts: Arc<Counts>,
}

/// The age of the last [`Counts`] from which the core's thread is reported as stuck. They are
/// updated each second, and checking a document of 1 MB takes the thread less than a second.
pub const STUCK_TIMEOUT: Millis = Millis::from_secs(10);

/// Counts of the core's state, a part of the `/status` page.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// When the counts were updated.
    #[serde(skip)]
    pub updated_at: Timestamp,
    /// The other entry instances by state.
    pub peers: PeerCounts,
    /// Requests that wait for a backend server.
    pub queued: usize,
    /// Requests admitted by this instance since its start.
    pub admitted: u64,
    /// Known backend servers.
    pub servers: usize,
    /// Known backend servers that are leaving.
    pub leaving_servers: usize,
    /// Requests that are suspected of crashing backend servers, quarantined ones included. Copies
    /// of a request count as one.
    pub suspects: usize,
    /// Requests in quarantine. Copies of a request count as one.
    pub quarantined: usize,
    /// Documents that were rejected since the start.
    pub rejected_documents: u64,
    /// Why the last rejected document was rejected; `None` before the first rejection.
    pub last_rejection: Option<SmolStr>,
    /// How often two different contents of one generation were found in force.
    pub document_splits: u64,
}

/// The other entry instances by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PeerCounts {
    /// They answer probes, or no probe to them has failed yet.
    pub alive: usize,
    /// They missed a probe and may still refute the suspicion.
    pub suspect: usize,
    /// They didn't refute a suspicion in time.
    pub dead: usize,
    /// They announced that they are leaving and aren't dead.
    pub leaving: usize,
}

impl Snapshot {
    /// Copy the state of the core.
    pub fn of(instance: &Instance, counts: &Arc<Counts>) -> Self {
        Self {
            document: instance.document().cloned(),
            ready: instance.is_ready(),
            in_flight: instance.in_flight(),
            counts: Arc::clone(counts),
        }
    }

    /// Return whether the core's state is still the one in the snapshot.
    pub fn is_current(&self, instance: &Instance, counts: &Arc<Counts>) -> bool {
        let same_document = match (&self.document, instance.document()) {
            (Some(published), Some(current)) => Arc::ptr_eq(published, current),
            (published, current) => published.is_none() && current.is_none(),
        };
        same_document
            && self.ready == instance.is_ready()
            && self.in_flight == instance.in_flight()
            && Arc::ptr_eq(&self.counts, counts)
    }

    /// Return whether the core's thread has updated the counts recently enough not to be stuck.
    pub fn is_live(&self, now: Timestamp) -> bool {
        now.since(self.counts.updated_at) < STUCK_TIMEOUT
    }

    /// Return the generation of the document in force, or 0 before the first document.
    pub fn generation(&self) -> Generation {
        self.document
            .as_ref()
            .map_or(Generation::new(0), |document| document.generation)
    }
}

impl Counts {
    /// Count the core's state at `now`.
    pub fn of(instance: &Instance, now: Timestamp) -> Self {
        let (rejected_documents, last_rejection) = instance.rejected_documents();
        let servers = instance.servers();
        Self {
            updated_at: now,
            peers: PeerCounts::of(instance),
            queued: instance.queued(),
            admitted: instance.admitted(),
            servers: servers.len(),
            leaving_servers: servers
                .values()
                .filter(|server| server.leaving.is_some())
                .count(),
            suspects: instance.quarantine().suspect_count(),
            quarantined: instance.quarantine().quarantined_count(now),
            rejected_documents,
            last_rejection: last_rejection.map(SmolStr::new),
            document_splits: instance.document_splits(),
        }
    }
}

impl PeerCounts {
    fn of(instance: &Instance) -> Self {
        let mut counts = Self::default();
        let Some(membership) = instance.membership() else {
            return counts;
        };
        for member in membership.members() {
            let count = match (member.liveness, member.leaving) {
                (Liveness::Dead, _) => &mut counts.dead,
                (_, true) => &mut counts.leaving,
                (Liveness::Suspect, false) => &mut counts.suspect,
                (Liveness::Alive, false) => &mut counts.alive,
            };
            *count += 1;
        }
        counts
    }
}
