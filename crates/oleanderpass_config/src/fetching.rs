//! Decide which peer to fetch a document from.

use indexmap::IndexMap;
use indexmap::IndexSet;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;

use crate::version::Version;

/// The time for a fetch. 1 MB takes 0.1 s at 100 Mbit/s; the rest allows for a busy peer.
const FETCH_TIME: Millis = Millis::from_secs(2);

/// The time until all peers are tried again after each of them failed.
const RETRY_TIME: Millis = Millis::new(500);

/// The most versions kept that are malformed for this program.
const MAX_REFUSED: usize = 16;

/// A fetch that waits for its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Outstanding {
    pub(crate) peer: InstanceId,
    pub(crate) held: Option<Version>,
    pub(crate) wanted: Version,
    due: Timestamp,
}

/// What peers have in force, and the current fetch.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fetching {
    peers: IndexMap<InstanceId, Version>,
    failed: IndexSet<InstanceId>,
    refused: IndexSet<Version>,
    outstanding: Option<Outstanding>,
    whole: bool,
    retry_at: Timestamp,
}

impl Fetching {
    pub(crate) fn heard(&mut self, peer: &InstanceId, version: Version) {
        self.peers.insert(peer.clone(), version);
    }

    /// Forget peers that aren't members any more.
    pub(crate) fn retain(&mut self, present: &IndexSet<InstanceId>) {
        self.peers.retain(|peer, _| present.contains(peer));
    }

    /// Never fetch a version again: it has its digest and is malformed for this program.
    pub(crate) fn refuse(&mut self, version: Version) {
        self.refused.insert(version);
        if self.refused.len() > MAX_REFUSED {
            self.refused.shift_remove_index(0);
        }
    }

    /// Return the highest version of a peer above the one in force.
    pub(crate) fn wanted(&self, in_force: Option<Version>) -> Option<Version> {
        let usable = |version: &&Version| self.is_usable(version, in_force);
        self.peers.values().filter(usable).max().copied()
    }

    fn is_usable(&self, version: &Version, in_force: Option<Version>) -> bool {
        Some(*version) > in_force && !self.refused.contains(version)
    }

    /// Take the current fetch if the answer belongs to it.
    pub(crate) fn take(&mut self, peer: &InstanceId) -> Option<Outstanding> {
        self.outstanding.take_if(|fetch| fetch.peer == *peer)
    }

    /// Try another peer next.
    pub(crate) fn fail(&mut self, peer: &InstanceId) {
        self.failed.insert(peer.clone());
        self.whole = false;
    }

    /// Fetch the whole document next, from any peer.
    pub(crate) fn want_whole(&mut self) {
        self.whole = true;
    }

    pub(crate) fn succeed(&mut self) {
        self.failed.clear();
        self.whole = false;
    }

    /// Return the next fetch to start.
    pub(crate) fn next(
        &mut self,
        now: Timestamp,
        in_force: Option<Version>,
    ) -> Option<Outstanding> {
        if let Some(late) = self.outstanding.take_if(|fetch| fetch.due <= now) {
            self.fail(&late.peer);
        }
        if self.outstanding.is_some() || now < self.retry_at {
            return None;
        }
        self.wanted(in_force)?;
        let usable = |(peer, version): &(&InstanceId, &Version)| {
            self.is_usable(version, in_force) && !self.failed.contains(*peer)
        };
        let best = self.peers.iter().filter(usable).max_by_key(|(_, v)| **v);
        let Some((peer, wanted)) = best else {
            self.failed.clear();
            self.retry_at = now + RETRY_TIME;
            return None;
        };
        self.outstanding = Some(Outstanding {
            peer: peer.clone(),
            held: in_force.filter(|_| !self.whole),
            wanted: *wanted,
            due: now + FETCH_TIME,
        });
        self.outstanding.clone()
    }
}
