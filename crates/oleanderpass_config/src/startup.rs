//! Decide when a new instance is ready: when its document is recent enough to serve with.

use indexmap::IndexSet;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;

/// How long a new instance waits for the platform and all peers to answer. After it, one answer is
/// enough.
const ANSWER_WAIT: Millis = Millis::from_secs(2);

/// The time since the start after which the instance becomes ready although a peer has a higher
/// version in force that wasn't fetched yet. Three peers in turn may fail to answer a fetch in that
/// time (2 s each).
const MAX_FETCH_WAIT: Millis = Millis::from_secs(8);

/// The answers since the start, and whether the instance is ready.
#[derive(Clone, Debug)]
pub(crate) struct Startup {
    started_at: Timestamp,
    platform_answered: bool,
    /// The peers that answered; empty once the instance is ready.
    answered_peers: IndexSet<InstanceId>,
    /// The instance may serve; never reset to false.
    pub(crate) ready: bool,
}

impl Startup {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            started_at: now,
            platform_answered: false,
            answered_peers: IndexSet::new(),
            ready: false,
        }
    }

    pub(crate) fn record_platform_answer(&mut self) {
        self.platform_answered = true;
    }

    pub(crate) fn record_peer_answer(&mut self, peer: &InstanceId) {
        if !self.ready {
            self.answered_peers.insert(peer.clone());
        }
    }

    /// Check the conditions and return whether the instance has just become ready. `higher_known`
    /// tells whether a peer has a version in force that is still to be fetched.
    pub(crate) fn update(
        &mut self,
        now: Timestamp,
        peers: &IndexSet<InstanceId>,
        has_document: bool,
        higher_known: bool,
    ) -> bool {
        if self.ready || !has_document {
            return false;
        }
        let elapsed = now.since(self.started_at);
        let any_answered = self.platform_answered || !self.answered_peers.is_empty();
        let all_answered =
            self.platform_answered && peers.iter().all(|peer| self.answered_peers.contains(peer));
        let current = !higher_known || elapsed >= MAX_FETCH_WAIT;
        self.ready = any_answered && (all_answered || elapsed >= ANSWER_WAIT) && current;
        if self.ready {
            self.answered_peers.clear();
        }
        self.ready
    }
}
