//! Choose addresses to contact besides the live members: seeds, listed and dead instances.
//!
//! Contact continues at a low rate for ever, so that two sides of a partition that declared each
//! other dead find each other again.

use std::collections::HashSet;
use std::net::SocketAddr;

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

/// The time between contacts. 0.2 probes a second are a fifth of the regular probes.
const INTERVAL: Millis = Millis::from_secs(5);

/// The time between contacts while the instance joins or knows no live peer.
const JOIN_INTERVAL: Millis = Millis::new(100);

/// How long an instance joins. At 10 contacts a second with 8 updates in each answer it learns most
/// of 410 members in this time.
const JOIN_TIME: Millis = Millis::from_secs(10);

/// The time between contacts after joining while no live peer is known.
const ALONE_INTERVAL: Millis = Millis::from_secs(1);

/// Addresses from the settings and the platform's list.
#[derive(Debug)]
pub(crate) struct Contacts {
    seeds: Vec<SocketAddr>,
    listed: Vec<SocketAddr>,
    cursor: usize,
    due: Timestamp,
    joined: Timestamp,
}

impl Contacts {
    pub(crate) fn new(now: Timestamp, seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            listed: Vec::new(),
            cursor: 0,
            due: now,
            joined: now + JOIN_TIME,
        }
    }

    /// Replace the listed addresses.
    pub(crate) fn set_listed(&mut self, listed: Vec<SocketAddr>) {
        self.listed = listed;
    }

    /// Start reading from a random place, so that instances with equal lists differ.
    pub(crate) fn set_cursor(&mut self, cursor: usize) {
        self.cursor = cursor;
    }

    /// Return whether a contact is due.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        now >= self.due
    }

    /// Return the next address to contact. `dead` are further candidates and `skip` are the
    /// addresses that are reached otherwise.
    pub(crate) fn next(
        &mut self,
        now: Timestamp,
        alone: bool,
        dead: impl Iterator<Item = SocketAddr>,
        skip: &HashSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        self.due = now + self.interval(now, alone);
        let mut candidates: Vec<_> = self.seeds.iter().chain(&self.listed).copied().collect();
        candidates.extend(dead);
        candidates.sort_unstable();
        candidates.dedup();
        candidates.retain(|addr| !skip.contains(addr));
        if candidates.is_empty() {
            return None;
        }
        self.cursor = self.cursor.wrapping_add(1);
        candidates.get(self.cursor % candidates.len()).copied()
    }

    /// Return whether the instance has just started.
    pub(crate) fn is_joining(&self, now: Timestamp) -> bool {
        now < self.joined
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
