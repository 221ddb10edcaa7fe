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
    waiting: BTreeMap<(u64, u64), Waiting<T>>,
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
        self.waiting.insert((finish, self.number), waiting);
    }

    /// Return the next request without taking it.
    pub fn peek(&self) -> Option<(&OrganisationId, &T)> {
        self.waiting
            .first_key_value()
            .map(|(_, waiting)| (&waiting.organisation, &waiting.item))
    }

    /// Take the next request.
    pub fn pop(&mut self) -> Option<(OrganisationId, T)> {
        let (_, waiting) = self.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(waiting.start);
        if self.waiting.is_empty() {
            self.finish.clear();
        }
        Some((waiting.organisation, waiting.item))
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
