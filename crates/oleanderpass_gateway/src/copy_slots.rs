//! Bound the copies of a large configuration that an instance sends at a time.
//!
//! Copies that share a link all take as long as one after the other, so with many at a time no peer
//! has the configuration for a long time, and none can pass it on. With few, each is soon complete,
//! and the number of instances that have the configuration multiplies.

use indexmap::IndexMap;
use oleanderpass_types::clock::Timestamp;

use crate::transfer::STALL_TIME;

/// The most copies that are sent at a time. A second one keeps the link in use while a peer with a
/// slower link reads the first.
pub const MAX_COPIES: usize = 2;

/// Identifies a copy that is being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SlotId(u64);

/// The copies that are being sent.
#[derive(Clone, Debug, Default)]
pub struct CopySlots {
    next_id: u64,
    /// When a part of each copy was last taken by its reader.
    taken: IndexMap<SlotId, Timestamp>,
}

impl CopySlots {
    /// Begin a copy, or return `None` if enough are being sent. Those whose readers have stopped
    /// don't count.
    pub fn begin(&mut self, now: Timestamp) -> Option<SlotId> {
        let active = self.taken.values();
        let active = active.filter(|taken| now.since(**taken) < STALL_TIME);
        if active.count() >= MAX_COPIES {
            return None;
        }
        let id = SlotId(self.next_id);
        self.next_id += 1;
        self.taken.insert(id, now);
        Some(id)
    }

    /// Record that the reader of a copy has taken a part of it.
    pub fn on_taken(&mut self, now: Timestamp, id: SlotId) {
        if let Some(taken) = self.taken.get_mut(&id) {
            *taken = now;
        }
    }

    /// Record that a copy was sent or given up.
    pub fn end(&mut self, id: SlotId) {
        self.taken.swap_remove(&id);
    }

    /// Return the number of copies that have begun and not ended.
    pub fn count(&self) -> usize {
        self.taken.len()
    }
}
