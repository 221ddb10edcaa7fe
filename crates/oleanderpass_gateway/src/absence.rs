//! Remember which backend servers are gone although the list still has them.
//!
//! An entry outlives its server by several heartbeats. The instance that finds a server gone keeps
//! reporting it and tests whether it is back, and the others don't send requests to it meanwhile. Of
//! several instances that found it, the one that comes first in the hash order of the server goes
//! on. If it falls silent, the others try the server again.

use indexmap::IndexMap;
use indexmap::IndexSet;
use oleanderpass_routing::rendezvous::node_key;
use oleanderpass_routing::rendezvous::weight;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;
use strum::Display;

use crate::backend::BackendKey;
use crate::load::BULLETIN_LIFETIME;

/// The interval at which an instance tests whether a server that it found unreachable is back.
const PROBE_INTERVAL: Millis = Millis::new(400);

/// The time for which a server whose address another one has counts as gone. A wrong answer may have
/// said so, and the entry of a server that is gone is removed sooner.
const REPLACED_LIFETIME: Millis = Millis::from_secs(6);

/// The time for which a server that was gone and is no longer listed is remembered. It is longer than
/// outages after which a server comes back as the same incarnation.
const AWAY_LIFETIME: Millis = Millis::from_secs(600);

/// Why a server counts as gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Absence {
    /// Neither this instance nor peers can open a connection to it.
    Unreachable,
    /// Another server has its address.
    Replaced,
}

/// A server that this instance found gone.
#[derive(Clone, Copy, Debug)]
struct Finding {
    at: Timestamp,
    absence: Absence,
    next_probe: Timestamp,
}

/// The servers that a peer reports as gone.
#[derive(Debug)]
struct Report {
    received: Timestamp,
    servers: IndexSet<BackendKey>,
}

impl Report {
    fn is_live(&self, now: Timestamp) -> bool {
        now.since(self.received) < BULLETIN_LIFETIME
    }

    fn names(&self, now: Timestamp, key: BackendKey) -> bool {
        self.is_live(now) && self.servers.contains(&key)
    }
}

/// The servers that are gone.
#[derive(Debug, Default)]
pub struct Absences {
    own: IndexMap<BackendKey, Finding>,
    reports: IndexMap<InstanceId, Report>,
    /// The servers that were gone at the last call of [`Absences::take_returned`].
    away: IndexMap<BackendKey, Timestamp>,
}

impl Absences {
    /// Record that this instance found a server gone. Return whether that is news.
    pub fn on_gone(&mut self, now: Timestamp, key: BackendKey, absence: Absence) -> bool {
        let is_new = !self.is_gone(now, key);
        let finding = Finding {
            at: now,
            absence,
            next_probe: now + PROBE_INTERVAL,
        };
        if is_new || self.own.contains_key(&key) {
            self.own.insert(key, finding);
        }
        is_new
    }

    /// Record that a connection to the address of a server was opened. That shows nothing about a
    /// server whose address another one has.
    pub fn on_opened(&mut self, key: BackendKey) {
        let finding = self.own.get(&key);
        if finding.is_some_and(|finding| finding.absence == Absence::Unreachable) {
            self.own.swap_remove(&key);
        }
    }

    /// Drop what this instance found while its links were lost. It then reaches no server, and peers
    /// may not answer in time. `last_opened` is when the links last worked, if they ever did.
    pub fn on_links_regained(&mut self, last_opened: Option<Timestamp>) {
        let away = &mut self.away;
        self.own.retain(|key, finding| {
            let is_kept = finding.absence != Absence::Unreachable
                || last_opened.is_some_and(|at| finding.at < at);
            if !is_kept {
                away.swap_remove(key);
            }
            is_kept
        });
    }

    /// Forget a server that answered a request or is no longer listed.
    pub fn remove(&mut self, key: BackendKey) {
        self.own.swap_remove(&key);
    }

    /// Replace the servers that a peer reports as gone. `own` is the id of this instance.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        own: &InstanceId,
        from: InstanceId,
        servers: IndexSet<BackendKey>,
    ) {
        if servers.is_empty() {
            self.reports.swap_remove(&from);
            return;
        }
        let rank = |key: &BackendKey, id: &InstanceId| weight(key.0, node_key(id.as_str()));
        self.own.retain(|key, _| {
            !servers.contains(key) || (rank(key, own), own) > (rank(key, &from), &from)
        });
        let received = now;
        self.reports.insert(from, Report { received, servers });
    }

    /// Return whether a server is gone.
    pub fn is_gone(&self, now: Timestamp, key: BackendKey) -> bool {
        self.own.contains_key(&key) || self.reports.values().any(|report| report.names(now, key))
    }

    /// Return whether a server was gone at the last call of [`Absences::take_returned`].
    pub fn is_away(&self, key: BackendKey) -> bool {
        self.away.contains_key(&key)
    }

    /// Return the listed servers that were gone at the last call and no longer are. Expected after
    /// each change. `shows_life` tells whether a server sent something to this instance a short time
    /// ago, because one that did was not away, whatever peers report. A server whose entry expired
    /// while it was gone returns when it is listed again.
    pub fn take_returned(
        &mut self,
        now: Timestamp,
        shows_life: impl Fn(BackendKey) -> bool,
        is_listed: impl Fn(BackendKey) -> bool,
    ) -> Vec<BackendKey> {
        let live = self.reports.values().filter(|report| report.is_live(now));
        let reported = live.flat_map(|report| report.servers.iter().copied());
        let reported = reported.filter(|key| !shows_life(*key));
        let gone: Vec<BackendKey> = reported.chain(self.own.keys().copied()).collect();
        self.away.extend(gone.into_iter().map(|key| (key, now)));
        let returned = |key: &BackendKey| is_listed(*key) && !self.is_gone(now, *key);
        let returned: Vec<BackendKey> = self.away.keys().copied().filter(returned).collect();
        self.away
            .retain(|key, at| !returned.contains(key) && now.since(*at) < AWAY_LIFETIME);
        returned
    }

    /// Return the servers to report to peers.
    pub fn findings(&self) -> impl Iterator<Item = BackendKey> {
        self.own.keys().copied()
    }

    /// Return the servers that have to be tested now.
    pub fn take_due_probes(&mut self, now: Timestamp) -> Vec<BackendKey> {
        let mut due = Vec::new();
        for (key, finding) in &mut self.own {
            if finding.absence == Absence::Unreachable && now >= finding.next_probe {
                finding.next_probe = now + PROBE_INTERVAL;
                due.push(*key);
            }
        }
        due
    }

    /// Drop what has expired.
    pub fn tick(&mut self, now: Timestamp) {
        self.own.retain(|_, finding| {
            finding.absence == Absence::Unreachable || now.since(finding.at) < REPLACED_LIFETIME
        });
        self.reports
            .retain(|_, report| now.since(report.received) < BULLETIN_LIFETIME);
    }
}
