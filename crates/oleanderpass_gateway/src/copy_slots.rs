//! Bound the copies of a large configuration that an instance sends at a time.
//!
//! Copies that share a link all take as long as one after the other, so with many at a time no peer
//! has the configuration for a long time, and none can pass it on. With few, each is soon complete,
//! and the number of instances that have the configuration multiplies.

use indexmap::IndexMap;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Bytes;

use crate::transfer::STALL_TIME;

/// The most large copies that are sent at a time. A second one keeps the link in use while a peer with
/// a slower link reads the first.
pub const MAX_COPIES: usize = 2;

/// The size up to which a copy is small. A link of 20 Mbit/s carries it in 13 ms.
pub const SMALL_COPY: Bytes = Bytes::new(32 * 1024);

/// The most copies that are sent at a time, small ones included. Together they take a slow link as
/// long as a large one that is compressed.
pub const MAX_SMALL_COPIES: usize = 16;

/// Identifies a copy that is being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SlotId(u64);

/// A copy that is being sent.
#[derive(Clone, Copy, Debug)]
struct SentCopy {
    /// When its reader last took a part of it.
    taken: Timestamp,
    is_small: bool,
}

/// The copies that are being sent.
#[derive(Clone, Debug, Default)]
pub struct CopySlots {
    next_id: u64,
    copies: IndexMap<SlotId, SentCopy>,
}

impl CopySlots {
    /// Begin a copy of this size, or return `None` if enough are being sent. Those whose readers have
    /// stopped don't count.
    pub fn begin(&mut self, now: Timestamp, size: Bytes) -> Option<SlotId> {
        let is_small = size <= SMALL_COPY;
        let active = self.copies.values();
        let active = active.filter(|copy| now.since(copy.taken) < STALL_TIME);
        let has_room = match is_small {
            true => active.count() < MAX_SMALL_COPIES,
            false => active.filter(|copy| !copy.is_small).count() < MAX_COPIES,
        };
        if !has_room {
            return None;
        }
        let id = SlotId(self.next_id);
        self.next_id += 1;
        let copy = SentCopy {
            taken: now,
            is_small,
        };
        self.copies.insert(id, copy);
        Some(id)
    }

    /// Record that the reader of a copy has taken a part of it.
    pub fn on_taken(&mut self, now: Timestamp, id: SlotId) {
        if let Some(copy) = self.copies.get_mut(&id) {
            copy.taken = now;
        }
    }

    /// Record that a copy was sent or given up.
    pub fn end(&mut self, id: SlotId) {
        self.copies.swap_remove(&id);
    }

    /// Return the number of copies that have begun and not ended.
    pub fn count(&self) -> usize {
        self.copies.len()
    }
}
