//! Repeat releases until the engine confirms them.

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use smol_str::SmolStr;

use crate::acquisition::Hold;

/// The time between two tries to release a hold.
pub const RELEASE_INTERVAL: Millis = Millis::from_secs(1);

/// The tries to release one hold. After them the orphan search of any live instance releases it.
pub const MAX_RELEASE_TRIES: u32 = 30;

/// The releases that wait for a confirmation at one instance. Beyond this the oldest is left to the
/// orphan search.
pub const MAX_RELEASES: usize = 4_096;

#[derive(Clone, Debug)]
struct Pending {
    hold: Hold,
    next: Timestamp,
    tries: u32,
}

/// The releases that no engine has confirmed yet.
#[derive(Clone, Debug, Default)]
pub struct PendingReleases {
    pending: IndexMap<SmolStr, Pending>,
}

impl PendingReleases {
    /// Create an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Return the number of releases without confirmation.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Return whether every release is confirmed or given up.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Add a release. The next [`PendingReleases::due`] returns it.
    pub fn add(&mut self, now: Timestamp, hold: Hold) {
        if self.pending.len() >= MAX_RELEASES {
            self.pending.shift_remove_index(0);
        }
        let pending = Pending {
            next: now,
            tries: 0,
            hold,
        };
        self.pending.insert(pending.hold.id.clone(), pending);
    }

    /// Note that the engine no longer has the hold.
    pub fn on_confirmed(&mut self, hold: &str) {
        self.pending.shift_remove(hold);
    }

    /// Return the releases to send now.
    pub fn due(&mut self, now: Timestamp) -> Vec<Hold> {
        self.pending.retain(|_, p| p.tries < MAX_RELEASE_TRIES);
        let due = self.pending.values_mut().filter(|p| p.next <= now);
        due.map(|pending| {
            pending.tries += 1;
            pending.next = now + RELEASE_INTERVAL;
            pending.hold.clone()
        })
        .collect()
    }
}
