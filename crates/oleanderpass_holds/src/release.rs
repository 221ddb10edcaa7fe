//! Releases that are repeated until the engine confirms them.

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use smol_str::SmolStr;

use crate::acquisition::Hold;

/// Time between two sends of the same release.
pub const RELEASE_SEND_INTERVAL: Millis = Millis::from_secs(1);

/// Maximum number of sends of one release. After them the hold is left to the orphan search of any
/// live instance (see [`crate::orphan`]).
pub const MAX_RELEASE_SENDS: u32 = 30;

/// Maximum number of releases of one instance that wait for a confirmation. Beyond this the oldest
/// one is left to the orphan search.
pub const MAX_PENDING_RELEASES: usize = 4_096;

#[derive(Clone, Debug)]
struct PendingRelease {
    hold: Hold,
    next_send: Timestamp,
    sends: u32,
}

/// The releases that the engines have not confirmed yet.
#[derive(Clone, Debug, Default)]
pub struct PendingReleases {
    /// The releases by hold id.
    pending: IndexMap<SmolStr, PendingRelease>,
}

impl PendingReleases {
    /// Create an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Return the number of unconfirmed releases.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Return whether every release is confirmed or left to the orphan search.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Add a release. The next [`PendingReleases::due`] returns it.
    pub fn add(&mut self, now: Timestamp, hold: Hold) {
        if self.pending.len() >= MAX_PENDING_RELEASES {
            self.pending.shift_remove_index(0);
        }
        let pending = PendingRelease {
            next_send: now,
            sends: 0,
            hold,
        };
        self.pending.insert(pending.hold.id.clone(), pending);
    }

    /// Remove a release after the engine confirmed that it no longer has the hold.
    pub fn on_confirmed(&mut self, hold: &str) {
        self.pending.shift_remove(hold);
    }

    /// Return the holds whose release has to be sent now, and schedule its next send.
    pub fn due(&mut self, now: Timestamp) -> Vec<Hold> {
        self.pending
            .retain(|_, pending| pending.sends < MAX_RELEASE_SENDS);
        let due = self
            .pending
            .values_mut()
            .filter(|pending| pending.next_send <= now);
        due.map(|pending| {
            pending.sends += 1;
            pending.next_send = now + RELEASE_SEND_INTERVAL;
            pending.hold.clone()
        })
        .collect()
    }
}
