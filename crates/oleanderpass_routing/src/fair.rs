//! Order the local queue fairly between organisations.
//!
//! The algorithm is a variant of start-time fair queueing. Each request gets a virtual finish time
//! from the work that its organisation has queued so far and from the organisation's weight. The
//! request with the lowest finish time is next, so a flood of requests from one organisation delays
//! only that organisation.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::size::Tokens;

/// The units of virtual time for one token at weight 1, so that division by a large weight doesn't
/// round work down to 0.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1_024;

/// The limit to pass to [`FairQueue::candidates`] for a queue of long prompts.
pub const LONG_QUEUE_SCAN_LIMIT: usize = 8;

/// The divisor of the time between a request's arrival and its deadline that gives the wait after
/// which a long prompt is urgent: one half.
pub const URGENT_WAIT_DIVISOR: u64 = 2;

/// The key of a waiting request, which orders the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// The virtual finish time.
    finish: u64,
    /// The arrival number, which breaks ties.
    number: u64,
}

/// A waiting request.
#[derive(Clone, Debug)]
struct Waiting<T> {
    organisation: OrganisationId,
    /// The virtual start time.
    start: u64,
    item: T,
}

/// A queue that is weighted and fair between organisations.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    waiting: BTreeMap<QueueKey, Waiting<T>>,
    /// The virtual finish time of the last request of each organisation.
    last_finish: IndexMap<OrganisationId, u64>,
    /// The highest virtual start time of a removed request.
    virtual_time: u64,
    last_number: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            last_finish: IndexMap::new(),
            virtual_time: 0,
            last_number: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Add a request of `cost` tokens; a weight of 2 gives twice the share of a weight of 1.
    pub fn push(&mut self, organisation: OrganisationId, weight: u32, cost: Tokens, item: T) {
        let start = self
            .last_finish
            .get(&organisation)
            .map_or(self.virtual_time, |finish| *finish.max(&self.virtual_time));
        let work = cost.get().saturating_mul(VIRTUAL_TIME_PER_TOKEN) / u64::from(weight.max(1));
        let finish = start.saturating_add(work.max(1));
        self.last_finish.insert(organisation.clone(), finish);
        self.last_number += 1;
        let waiting = Waiting {
            organisation,
            start,
            item,
        };
        let number = self.last_number;
        self.waiting.insert(QueueKey { finish, number }, waiting);
    }

    /// Return the next request without removing it.
    pub fn peek(&self) -> Option<(&OrganisationId, &T)> {
        self.waiting
            .first_key_value()
            .map(|(_, waiting)| (&waiting.organisation, &waiting.item))
    }

    /// Remove and return the next request.
    pub fn pop(&mut self) -> Option<(OrganisationId, T)> {
        let key = *self.waiting.first_key_value()?.0;
        self.remove(key)
    }

    /// Remove and return the request with a key.
    pub fn remove(&mut self, key: QueueKey) -> Option<(OrganisationId, T)> {
        let waiting = self.waiting.remove(&key)?;
        self.virtual_time = self.virtual_time.max(waiting.start);
        if self.waiting.is_empty() {
            self.last_finish.clear();
        }
        Some((waiting.organisation, waiting.item))
    }

    /// Return the keys of the first `limit` requests to dispatch, and whether each one is urgent.
    ///
    /// Urgent requests come first, and both groups are in fair order. Try them in this order. If a
    /// request has to wait, go on with the next one, but stop at an urgent one, so that memory that
    /// becomes free is left to it.
    pub fn candidates(&self, limit: usize, urgent: impl Fn(&T) -> bool) -> Vec<(QueueKey, bool)> {
        let mut keys: Vec<(QueueKey, bool)> = self
            .waiting
            .iter()
            .map(|(key, waiting)| (*key, urgent(&waiting.item)))
            .collect();
        keys.sort_by_key(|(_, urgent)| !urgent);
        keys.truncate(limit);
        keys
    }

    /// Return the request with a key.
    pub fn get(&self, key: QueueKey) -> Option<&T> {
        self.waiting.get(&key).map(|waiting| &waiting.item)
    }

    /// Remove and return the requests for which `keep` returns `false`.
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
