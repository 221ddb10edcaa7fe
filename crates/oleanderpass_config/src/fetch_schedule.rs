//! Decide when to fetch a document, and from which peer.

use indexmap::IndexMap;
use indexmap::IndexSet;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;

use crate::version::Version;

/// How long a fetch may take. 1 MB takes 0.1 s at 100 Mbit/s; the rest allows for a busy peer.
const FETCH_TIMEOUT: Millis = Millis::from_secs(2);

/// The delay until all peers are tried again after a fetch failed at each of them.
const RETRY_DELAY: Millis = Millis::new(500);

/// The most versions kept that are malformed for this program version.
const MAX_EXCLUDED: usize = 16;

/// A fetch that has no answer yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PendingFetch {
    pub(crate) peer: InstanceId,
    /// The version to start a delta chain from; `None` asks for the whole document.
    pub(crate) held: Option<Version>,
    /// The version that the peer has in force.
    pub(crate) wanted: Version,
    deadline: Timestamp,
}

/// The versions that peers have in force, and the pending fetch.
#[derive(Clone, Debug, Default)]
pub(crate) struct FetchSchedule {
    peer_versions: IndexMap<InstanceId, Version>,
    /// The peers at which a fetch failed since the last document came into force, or since all of
    /// them were tried.
    failed_peers: IndexSet<InstanceId>,
    excluded: IndexSet<Version>,
    pending: Option<PendingFetch>,
    /// The next fetch asks for the whole document, because the last delta chain couldn't be applied
    /// or led to a wrong document.
    whole_required: bool,
    /// No fetch starts before this time.
    retry_at: Timestamp,
}

impl FetchSchedule {
    pub(crate) fn record_peer_version(&mut self, peer: &InstanceId, version: Version) {
        self.peer_versions.insert(peer.clone(), version);
    }

    /// Remove the versions of peers that aren't members any more.
    pub(crate) fn retain_peers(&mut self, members: &IndexSet<InstanceId>) {
        self.peer_versions.retain(|peer, _| members.contains(peer));
    }

    /// Never fetch a version again: its digest is right, but it is malformed for this program
    /// version.
    pub(crate) fn exclude(&mut self, version: Version) {
        self.excluded.insert(version);
        if self.excluded.len() > MAX_EXCLUDED {
            self.excluded.shift_remove_index(0);
        }
    }

    /// Return the highest version of a peer above the one in force.
    pub(crate) fn highest_newer(&self, in_force: Option<Version>) -> Option<Version> {
        let usable = |version: &&Version| self.is_usable(version, in_force);
        self.peer_versions.values().filter(usable).max().copied()
    }

    fn is_usable(&self, version: &Version, in_force: Option<Version>) -> bool {
        Some(*version) > in_force && !self.excluded.contains(version)
    }

    /// Remove and return the pending fetch if it was sent to `peer`.
    pub(crate) fn take_pending(&mut self, peer: &InstanceId) -> Option<PendingFetch> {
        self.pending.take_if(|fetch| fetch.peer == *peer)
    }

    /// Record that a fetch failed. The next one goes to another peer and may ask for deltas again.
    pub(crate) fn record_failure(&mut self, peer: &InstanceId) {
        self.failed_peers.insert(peer.clone());
        self.whole_required = false;
    }

    /// Make the next fetch ask for the whole document, from any peer.
    pub(crate) fn require_whole(&mut self) {
        self.whole_required = true;
    }

    /// Forget failed fetches, because a document came into force.
    pub(crate) fn clear_failures(&mut self) {
        self.failed_peers.clear();
        self.whole_required = false;
    }

    /// Start and return the next fetch, from the peer with the highest version in force.
    pub(crate) fn start_next(
        &mut self,
        now: Timestamp,
        in_force: Option<Version>,
    ) -> Option<PendingFetch> {
        if let Some(late) = self.pending.take_if(|fetch| fetch.deadline <= now) {
            self.record_failure(&late.peer);
        }
        if self.pending.is_some() || now < self.retry_at {
            return None;
        }
        self.highest_newer(in_force)?;
        let usable = |(peer, version): &(&InstanceId, &Version)| {
            self.is_usable(version, in_force) && !self.failed_peers.contains(*peer)
        };
        let best = self
            .peer_versions
            .iter()
            .filter(usable)
            .max_by_key(|(_, version)| **version);
        let Some((peer, wanted)) = best else {
            self.failed_peers.clear();
            self.retry_at = now + RETRY_DELAY;
            return None;
        };
        self.pending = Some(PendingFetch {
            peer: peer.clone(),
            held: in_force.filter(|_| !self.whole_required),
            wanted: *wanted,
            deadline: now + FETCH_TIMEOUT,
        });
        self.pending.clone()
    }
}
