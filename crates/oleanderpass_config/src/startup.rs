//! Decide when a new instance has a document that it may serve with.

use indexmap::IndexSet;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;

/// The time for answers of the platform and of all peers.
const ASK_TIME: Millis = Millis::from_secs(2);

/// The longest time that a known higher version of a peer delays readiness. Within it, each of
/// three peers may fail to answer a fetch (2 s each).
const FETCH_TIME: Millis = Millis::from_secs(8);

/// Who answered since the start.
#[derive(Clone, Debug)]
pub(crate) struct Startup {
    started: Timestamp,
    platform: bool,
    peers: IndexSet<InstanceId>,
    pub(crate) ready: bool,
}

impl Startup {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            started: now,
            platform: false,
            peers: IndexSet::new(),
            ready: false,
        }
    }

    pub(crate) fn platform_answered(&mut self) {
        self.platform = true;
    }

    pub(crate) fn peer_answered(&mut self, peer: &InstanceId) {
        if !self.ready {
            self.peers.insert(peer.clone());
        }
    }

    /// Return whether the instance has just become ready.
    pub(crate) fn advance(
        &mut self,
        now: Timestamp,
        present: &IndexSet<InstanceId>,
        has_document: bool,
        wants_higher: bool,
    ) -> bool {
        if self.ready || !has_document {
            return false;
        }
        let passed = now.since(self.started);
        let one = self.platform || !self.peers.is_empty();
        let all = self.platform && present.iter().all(|peer| self.peers.contains(peer));
        let current = !wants_higher || passed >= FETCH_TIME;
        self.ready = one && (all || passed >= ASK_TIME) && current;
        if self.ready {
            self.peers.clear();
        }
        self.ready
    }
}
