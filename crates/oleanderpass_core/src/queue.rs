//! Keep requests that wait for a backend server in the order of dispatch.
//!
//! Requests that compete for the same servers form a lane. Within a lane the order is fair between
//! organisations. A request that must not run together with others waits apart, so that it holds
//! up nobody.

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

/// Requests that compete for the same servers in the same order of urgency.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Lane {
    /// How urgent they are.
    pub(crate) priority: Priority,
    /// The length of their prompts.
    pub(crate) class: LengthClass,
    /// What they ask for.
    pub(crate) target: Target,
}

/// A request on its way into the queue.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) id: RequestId,
    pub(crate) lane: Lane,
    pub(crate) organisation: OrganisationId,
    pub(crate) weight: u32,
    pub(crate) cost: Tokens,
}

/// A request with the number of its entry. A request that was taken out and added again has a new
/// number, which makes what is left of the earlier entry invalid.
type Numbered = (u64, RequestId);

/// The requests that wait for a backend server.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: IndexMap<Lane, FairQueue<Numbered>>,
    /// Retries that wait for the end of their delay.
    delayed: BTreeSet<(Timestamp, Numbered)>,
    entries: IndexMap<RequestId, (u64, Entry)>,
    last_number: u64,
    /// Requests that are tried one by one.
    apart: IndexSet<RequestId>,
    /// Entries of lanes whose request has left the queue.
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

    /// Return the requests that wait.
    pub(crate) fn ids(&self) -> impl Iterator<Item = &RequestId> {
        self.entries.keys()
    }

    /// Add a request that may be dispatched from `not_before` on.
    pub(crate) fn push(&mut self, entry: Entry, now: Timestamp, not_before: Timestamp) {
        self.last_number += 1;
        let numbered = (self.last_number, entry.id.clone());
        self.entries
            .insert(entry.id.clone(), (self.last_number, entry));
        if not_before > now {
            self.delayed.insert((not_before, numbered));
        } else {
            self.enter_lane(numbered);
        }
    }

    /// Move the retries whose delay is over into their lanes.
    pub(crate) fn release_due(&mut self, now: Timestamp) {
        while let Some((at, numbered)) = self.delayed.pop_first() {
            if at > now {
                self.delayed.insert((at, numbered));
                return;
            }
            self.enter_lane(numbered);
        }
    }

    /// Return the lanes, the most urgent first, short prompts before long ones.
    pub(crate) fn lanes(&self) -> Vec<Lane> {
        let mut lanes: Vec<Lane> = self.lanes.keys().cloned().collect();
        lanes.sort_by_key(|lane| {
            let long = lane.class == LengthClass::Long;
            (std::cmp::Reverse(lane.priority), long)
        });
        lanes
    }

    /// Return the request at the head of a lane.
    pub(crate) fn head(&mut self, lane: &Lane) -> Option<RequestId> {
        let fair = self.lanes.get_mut(lane)?;
        while let Some((_, numbered)) = fair.peek() {
            if is_current(&self.entries, numbered) && !self.apart.contains(&numbered.1) {
                return Some(numbered.1.clone());
            }
            fair.pop();
            self.stale = self.stale.saturating_sub(1);
        }
        self.lanes.swap_remove(lane);
        None
    }

    /// Let a request wait apart from its lane.
    pub(crate) fn set_apart(&mut self, id: &RequestId) {
        if self.entries.contains_key(id) && self.apart.insert(id.clone()) {
            self.stale += 1;
        }
    }

    /// Return the requests that wait apart.
    pub(crate) fn apart(&self) -> Vec<RequestId> {
        self.apart.iter().cloned().collect()
    }

    /// Take a request out.
    pub(crate) fn remove(&mut self, id: &RequestId) {
        if self.entries.swap_remove(id).is_some() && !self.apart.swap_remove(id) {
            self.stale += 1;
        }
        // The rebuild costs as much as the entries that it drops.
        if self.stale > self.entries.len() + STALE_LIMIT {
            self.drop_stale();
        }
    }

    fn drop_stale(&mut self) {
        let (entries, apart) = (&self.entries, &self.apart);
        for fair in self.lanes.values_mut() {
            fair.remove_unless(|numbered| {
                is_current(entries, numbered) && !apart.contains(&numbered.1)
            });
        }
        self.lanes.retain(|_, fair| !fair.is_empty());
        self.delayed
            .retain(|(_, numbered)| is_current(entries, numbered));
        self.stale = 0;
    }

    fn enter_lane(&mut self, numbered: Numbered) {
        let Some((number, entry)) = self.entries.get(&numbered.1) else {
            return;
        };
        if *number != numbered.0 {
            return;
        }
        self.lanes.entry(entry.lane.clone()).or_default().push(
            entry.organisation.clone(),
            entry.weight,
            entry.cost,
            numbered,
        );
    }
}

fn is_current(entries: &IndexMap<RequestId, (u64, Entry)>, (number, id): &Numbered) -> bool {
    entries
        .get(id)
        .is_some_and(|(current, _)| current == number)
}

/// Entries that may stay in lanes after their request has left the queue.
const STALE_LIMIT: usize = 256;
