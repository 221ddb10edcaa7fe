//! Choose addresses to contact besides the live members: seeds, listed instances and dead members.
//!
//! Contacts continue at a low rate without end, so that two sides of a partition that declared each
//! other dead find each other again.

use std::collections::HashSet;
use std::net::SocketAddr;

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

/// The time between contacts. These are 0.2 probes a second, a fifth of the regular probes.
const INTERVAL: Millis = Millis::from_secs(5);

/// The time between contacts while the instance joins.
const JOIN_INTERVAL: Millis = Millis::new(100);

/// The time after its start for which an instance counts as joining. At 10 contacts a second with 8
/// updates in each answer, it learns most of 410 members in this time.
const JOIN_DURATION: Millis = Millis::from_secs(10);

/// The time between contacts after joining while no live peer is known.
const ALONE_INTERVAL: Millis = Millis::from_secs(1);

/// Addresses from the settings and the platform's list, with the schedule of contacts.
#[derive(Debug)]
pub(crate) struct Contacts {
    seeds: Vec<SocketAddr>,
    listed: Vec<SocketAddr>,
    cursor: usize,
    next_contact: Timestamp,
    join_end: Timestamp,
}

impl Contacts {
    pub(crate) fn new(now: Timestamp, seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            listed: Vec::new(),
            cursor: 0,
            next_contact: now,
            join_end: now + JOIN_DURATION,
        }
    }

    /// Replace the addresses that the platform lists.
    pub(crate) fn set_listed(&mut self, listed: Vec<SocketAddr>) {
        self.listed = listed;
    }

    /// Set the position in the sorted addresses. The caller draws it at random, so that instances
    /// with equal lists contact different addresses.
    pub(crate) fn set_cursor(&mut self, cursor: usize) {
        self.cursor = cursor;
    }

    /// Return whether a contact is due.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next_contact
    }

    /// Return the next address to contact and schedule the contact after it. `members` are further
    /// candidates; `skip` are the addresses that need no contact, such as those of live members.
    pub(crate) fn next(
        &mut self,
        now: Timestamp,
        alone: bool,
        members: impl Iterator<Item = SocketAddr>,
        skip: &HashSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        self.next_contact = now + self.interval(now, alone);
        let mut candidates: Vec<_> = self.seeds.iter().chain(&self.listed).copied().collect();
        candidates.extend(members);
        candidates.sort_unstable();
        candidates.dedup();
        candidates.retain(|addr| !skip.contains(addr));
        if candidates.is_empty() {
            return None;
        }
        self.cursor = self.cursor.wrapping_add(1);
        candidates.get(self.cursor % candidates.len()).copied()
    }

    /// Return whether the instance is still joining: it started less than [`JOIN_DURATION`] ago.
    pub(crate) fn is_joining(&self, now: Timestamp) -> bool {
        now < self.join_end
    }

    fn interval(&self, now: Timestamp, alone: bool) -> Millis {
        if self.is_joining(now) {
            JOIN_INTERVAL
        } else if alone {
            ALONE_INTERVAL
        } else {
            INTERVAL
        }
    }
}
