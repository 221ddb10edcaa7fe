//! Hold the state of the core that edges read.

use std::sync::Arc;

use oleanderpass_config::document::Document;
use oleanderpass_core::instance::Instance;
use oleanderpass_membership::member::Liveness;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Generation;
use serde::Serialize;
use smol_str::SmolStr;

/// The state of the core that edges read.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The document in force.
    pub document: Option<Arc<Document>>,
    /// The instance accepts requests.
    pub ready: bool,
    /// The requests in flight.
    pub in_flight: usize,
    /// The sizes of the core's tables, counted once a second.
    pub counts: Arc<Counts>,
}

/// The time without a count after which the core's thread counts as stuck. A count is due each
/// second, and the check of a document of 1 MB takes less than one.
pub const STUCK_AFTER: Millis = Millis::from_secs(10);

/// The sizes of the core's tables.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// The time of the count.
    #[serde(skip)]
    pub at: Timestamp,
    /// The other entry instances.
    pub peers: PeerCounts,
    /// Requests that wait for a backend server.
    pub queued: usize,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Known backend servers.
    pub servers: usize,
    /// Backend servers that are leaving.
    pub leaving_servers: usize,
    /// Requests that are suspected of crashing backend servers.
    pub suspects: usize,
    /// Requests in quarantine.
    pub quarantined: usize,
    /// Documents that were rejected.
    pub rejected_documents: u64,
    /// Why the last document was rejected.
    pub last_rejection: Option<SmolStr>,
    /// Generations of which two contents were in force.
    pub document_splits: u64,
}

/// The other entry instances by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PeerCounts {
    /// They answer.
    pub alive: usize,
    /// They missed a probe.
    pub suspect: usize,
    /// They are gone.
    pub dead: usize,
    /// They announced that they are leaving.
    pub leaving: usize,
}

impl Snapshot {
    /// Take the state of the core.
    pub fn of(instance: &Instance, counts: &Arc<Counts>) -> Self {
        Self {
            document: instance.document().cloned(),
            ready: instance.is_ready(),
            in_flight: instance.in_flight(),
            counts: Arc::clone(counts),
        }
    }

    /// Return whether the state is still the same.
    pub fn is_current(&self, instance: &Instance, counts: &Arc<Counts>) -> bool {
        let same_document = match (&self.document, instance.document()) {
            (Some(held), Some(current)) => Arc::ptr_eq(held, current),
            (held, current) => held.is_none() && current.is_none(),
        };
        same_document
            && self.ready == instance.is_ready()
            && self.in_flight == instance.in_flight()
            && Arc::ptr_eq(&self.counts, counts)
    }

    /// Return whether the core's thread runs.
    pub fn is_live(&self, now: Timestamp) -> bool {
        now.since(self.counts.at) < STUCK_AFTER
    }

    /// Return the generation in force, or 0 before the first document.
    pub fn generation(&self) -> Generation {
        self.document
            .as_ref()
            .map_or(Generation::new(0), |document| document.generation)
    }
}

impl Counts {
    /// Count the core's tables.
    pub fn of(instance: &Instance, now: Timestamp) -> Self {
        let (rejected_documents, last_rejection) = instance.rejected_documents();
        let servers = instance.servers();
        Self {
            at: now,
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
