//! Order the requests that wait for a backend server.
//!
//! Requests that compete for the same servers form a lane. Within a lane the order is fair between
//! organisations. A request that is blocked while others of its lane could run is detached from the
//! lane and tried on its own, so that it doesn't block them.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use indexmap::IndexSet;
use oleanderpass_routing::fair::FairQueue;
use oleanderpass_routing::request::LengthClass;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::size::Tokens;

use crate::event::Priority;
use crate::event::Target;

/// The key of a lane: requests that compete for the same servers at the same priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Lane {
    /// The priority; lanes of higher priority are dispatched first.
    pub(crate) priority: Priority,
    /// The length class of the prompts; short prompts are dispatched before long ones.
    pub(crate) class: LengthClass,
    /// The model or route that the requests ask for.
    pub(crate) target: Target,
}

/// A request to be queued.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) id: RequestId,
    pub(crate) lane: Lane,
    pub(crate) organisation: OrganisationId,
    /// The organisation's weight: a weight of 2 gives twice the share of a weight of 1.
    pub(crate) weight: u32,
    /// The cost that is charged to the organisation's share.
    pub(crate) cost: Tokens,
}

/// A request id with the number of its entry. A request that is removed and added again gets a new
/// number, which invalidates what lanes still contain of the earlier entry.
type EntryKey = (u64, RequestId);

/// The requests that wait for a backend server.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: IndexMap<Lane, FairQueue<EntryKey>>,
    /// Entries that wait for the end of their retry delay, ordered by that time.
    delayed: BTreeSet<(Timestamp, EntryKey)>,
    entries: IndexMap<RequestId, (u64, Entry)>,
    last_entry_number: u64,
    /// Requests that left their lane and are tried one by one.
    detached: IndexSet<RequestId>,
    /// An upper bound of the entries in `lanes` and `delayed` whose request has left the queue or
    /// its lane.
    stale: usize,
}

impl Queue {
    /// Return the number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Return the ids of the requests that wait.
    pub(crate) fn ids(&self) -> impl Iterator<Item = &RequestId> {
        self.entries.keys()
    }

    /// Add a request that may be dispatched from `not_before` on.
    pub(crate) fn push(&mut self, entry: Entry, now: Timestamp, not_before: Timestamp) {
        self.last_entry_number += 1;
        let key = (self.last_entry_number, entry.id.clone());
        self.entries
            .insert(entry.id.clone(), (self.last_entry_number, entry));
        if not_before > now {
            self.delayed.insert((not_before, key));
        } else {
            self.add_to_lane(key);
        }
    }

    /// Move the entries whose retry delay has ended into their lanes.
    pub(crate) fn release_due(&mut self, now: Timestamp) {
        while let Some((at, key)) = self.delayed.pop_first() {
            if at > now {
                self.delayed.insert((at, key));
                return;
            }
            self.add_to_lane(key);
        }
    }

    /// Return the lanes in the order of dispatch: by descending priority, and short prompts before
    /// long ones.
    pub(crate) fn lanes(&self) -> Vec<Lane> {
        let mut lanes: Vec<Lane> = self.lanes.keys().cloned().collect();
        lanes.sort_by_key(|lane| {
            let long = lane.class == LengthClass::Long;
            (std::cmp::Reverse(lane.priority), long)
        });
        lanes
    }

    /// Return the next request of a lane in fair order. Drop stale entries before it, and the lane
    /// if it is empty.
    pub(crate) fn head(&mut self, lane: &Lane) -> Option<RequestId> {
        let fair = self.lanes.get_mut(lane)?;
        while let Some((_, key)) = fair.peek() {
            if is_current(&self.entries, key) && !self.detached.contains(&key.1) {
                return Some(key.1.clone());
            }
            fair.pop();
            self.stale = self.stale.saturating_sub(1);
        }
        self.lanes.swap_remove(lane);
        None
    }

    /// Detach a request from its lane.
    pub(crate) fn detach(&mut self, id: &RequestId) {
        if self.entries.contains_key(id) && self.detached.insert(id.clone()) {
            self.stale += 1;
        }
    }

    /// Return the ids of the detached requests.
    pub(crate) fn detached(&self) -> Vec<RequestId> {
        self.detached.iter().cloned().collect()
    }

    /// Remove a request.
    pub(crate) fn remove(&mut self, id: &RequestId) {
        if self.entries.swap_remove(id).is_some() && !self.detached.swap_remove(id) {
            self.stale += 1;
        }
        // A rebuild visits fewer than twice as many entries as it drops.
        if self.stale > self.entries.len() + MAX_STALE_ENTRIES {
            self.drop_stale();
        }
    }

    fn drop_stale(&mut self) {
        let (entries, detached) = (&self.entries, &self.detached);
        for fair in self.lanes.values_mut() {
            fair.remove_unless(|key| is_current(entries, key) && !detached.contains(&key.1));
        }
        self.lanes.retain(|_, fair| !fair.is_empty());
        self.delayed.retain(|(_, key)| is_current(entries, key));
        self.stale = 0;
    }

    fn add_to_lane(&mut self, key: EntryKey) {
        let Some((number, entry)) = self.entries.get(&key.1) else {
            return;
        };
        if *number != key.0 {
            return;
        }
        self.lanes.entry(entry.lane.clone()).or_default().push(
            entry.organisation.clone(),
            entry.weight,
            entry.cost,
            key,
        );
    }
}

fn is_current(entries: &IndexMap<RequestId, (u64, Entry)>, (number, id): &EntryKey) -> bool {
    entries
        .get(id)
        .is_some_and(|(current, _)| current == number)
}

/// The number of stale entries beyond the number of queued requests above which they are dropped.
const MAX_STALE_ENTRIES: usize = 256;
