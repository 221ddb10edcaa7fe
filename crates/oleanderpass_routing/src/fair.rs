//! Order the local queue fairly between organisations.
//!
//! Start-time fair queueing: each request gets a virtual finish time from the work of its
//! organisation so far and the organisation's weight. The lowest one goes first, so a flood of one
//! organisation delays that organisation only.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::size::Tokens;

/// The scale of virtual time, so that large weights don't round work down to nothing.
const SCALE: u64 = 1_024;

/// The waiting long prompts that an instance tries to place at one time.
pub const LONG_QUEUE_SCAN_LIMIT: usize = 8;

/// A long prompt is urgent after this part of its time: one half.
pub const URGENT_WAIT_DIVISOR: u64 = 2;

/// The place of a request in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    finish: u64,
    number: u64,
}

/// A waiting request.
#[derive(Clone, Debug)]
struct Waiting<T> {
    organisation: OrganisationId,
    start: u64,
    item: T,
}

/// A queue in weighted fair order.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    waiting: BTreeMap<QueueKey, Waiting<T>>,
    finish: IndexMap<OrganisationId, u64>,
    virtual_time: u64,
    number: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            finish: IndexMap::new(),
            virtual_time: 0,
            number: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Add a request of `cost` tokens; a weight of 2 gives twice the share of a weight of 1.
    pub fn push(&mut self, organisation: OrganisationId, weight: u32, cost: Tokens, item: T) {
        let start = self
            .finish
            .get(&organisation)
            .map_or(self.virtual_time, |finish| *finish.max(&self.virtual_time));
        let work = cost.get().saturating_mul(SCALE) / u64::from(weight.max(1));
        let finish = start.saturating_add(work.max(1));
        self.finish.insert(organisation.clone(), finish);
        self.number += 1;
        let waiting = Waiting {
            organisation,
            start,
            item,
        };
        let number = self.number;
        self.waiting.insert(QueueKey { finish, number }, waiting);
    }

    /// Return the next request without taking it.
    pub fn peek(&self) -> Option<(&OrganisationId, &T)> {
        self.waiting
            .first_key_value()
            .map(|(_, waiting)| (&waiting.organisation, &waiting.item))
    }

    /// Take the next request.
    pub fn pop(&mut self) -> Option<(OrganisationId, T)> {
        let place = *self.waiting.first_key_value()?.0;
        self.remove(place)
    }

    /// Take the request at a place.
    pub fn remove(&mut self, place: QueueKey) -> Option<(OrganisationId, T)> {
        let waiting = self.waiting.remove(&place)?;
        self.virtual_time = self.virtual_time.max(waiting.start);
        if self.waiting.is_empty() {
            self.finish.clear();
        }
        Some((waiting.organisation, waiting.item))
    }

    /// Return the places of the first `limit` requests to try: urgent ones first, each kind in fair
    /// order, with whether they are urgent.
    ///
    /// Dispatch them in this order. One that has to wait lets later ones pass, but an urgent one
    /// doesn't: then the memory that becomes free is left to it.
    pub fn candidates(&self, limit: usize, urgent: impl Fn(&T) -> bool) -> Vec<(QueueKey, bool)> {
        let mut places: Vec<(QueueKey, bool)> = self
            .waiting
            .iter()
            .map(|(place, waiting)| (*place, urgent(&waiting.item)))
            .collect();
        places.sort_by_key(|(_, urgent)| !urgent);
        places.truncate(limit);
        places
    }

    /// Return the request at a place.
    pub fn get(&self, place: QueueKey) -> Option<&T> {
        self.waiting.get(&place).map(|waiting| &waiting.item)
    }

    /// Keep the requests for which `keep` holds and return the others.
    pub fn remove_unless(&mut self, mut keep: impl FnMut(&T) -> bool) -> Vec<T> {
        let waiting = std::mem::take(&mut self.waiting);
        let (kept, removed): (BTreeMap<_, _>, BTreeMap<_, _>) = waiting
            .into_iter()
            .partition(|(_, waiting)| keep(&waiting.item));
        self.waiting = kept;
        removed.into_values().map(|waiting| waiting.item).collect()
    }

    /// Return the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Return whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
