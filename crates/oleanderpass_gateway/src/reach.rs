//! Choose how to connect to backend servers: directly, or through a peer while the links between
//! this instance and servers that live are cut.

use std::net::SocketAddr;

use indexmap::IndexMap;
use indexmap::IndexSet;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use strum::Display;

use crate::backend::BackendKey;

/// The number of servers to which connections must fail, with none opened in between, until all
/// links count as lost. One server alone may be down.
const LOST_SERVERS: usize = 2;

/// The interval at which a direct connection is tried while peers are used instead.
const PROBE_INTERVAL: Millis = Millis::new(500);

/// The time for which a peer that did not answer is not asked for connections.
const RELAY_PAUSE: Millis = Millis::new(1_000);

/// How to connect to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Way {
    /// Directly.
    Direct,
    /// Through a peer.
    Relayed,
}

/// What this instance knows of its links to backend servers.
#[derive(Debug, Default)]
pub struct Reach {
    /// The servers to which no connection could be opened since one was last opened to any.
    failed: IndexSet<BackendKey>,
    /// When a connection was last opened directly.
    last_opened: Option<Timestamp>,
    /// Servers that a peer reached when this instance could not.
    cut: IndexSet<BackendKey>,
    /// Whether a peer reached a server when this instance could reach none.
    isolated: bool,
    last_probe: Option<Timestamp>,
    /// When peers last did not answer a request for a connection.
    failed_relays: IndexMap<SocketAddr, Timestamp>,
}

impl Reach {
    /// Return how to connect to a server.
    pub fn way(&self, key: BackendKey) -> Way {
        if self.isolated || self.cut.contains(&key) {
            Way::Relayed
        } else {
            Way::Direct
        }
    }

    /// Return whether all links to servers count as cut.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Return whether no server could be reached lately.
    pub fn is_lost(&self) -> bool {
        self.failed.len() >= LOST_SERVERS
    }

    /// Return when a connection was last opened directly.
    pub fn last_opened(&self) -> Option<Timestamp> {
        self.last_opened
    }

    /// Record that a direct connection to a server was opened.
    pub fn on_opened(&mut self, now: Timestamp, key: BackendKey) {
        if self.is_lost() {
            tracing::info!(
                dependency = "links to backend servers",
                failed = self.failed.len(),
                "a dependency was regained"
            );
        }
        self.last_opened = Some(now);
        self.failed.clear();
        self.cut.swap_remove(&key);
        self.isolated = false;
    }

    /// Record that no direct connection to a server could be opened.
    pub fn on_failed(&mut self, now: Timestamp, key: BackendKey, error: &str) {
        if self.failed.insert(key) && self.failed.len() == LOST_SERVERS {
            tracing::warn!(
                dependency = "links to backend servers",
                error,
                failed = self.failed.len(),
                last_opened_ms = self.last_opened.map(|at| now.since(at).get()),
                "a dependency was lost"
            );
        }
    }

    /// Record that a peer reached a server to which a direct connection, begun at `tried`, failed.
    pub fn on_reached_by_peer(&mut self, key: BackendKey, tried: Timestamp) {
        self.cut.insert(key);
        let isolated = self.last_opened.is_none_or(|opened| opened < tried);
        if isolated && !self.isolated {
            self.isolated = true;
            tracing::warn!("backend servers are reached through peers");
        }
    }

    /// Return whether a direct connection has to be tried beside one through a peer.
    pub fn probe_is_due(&mut self, now: Timestamp) -> bool {
        let due = self
            .last_probe
            .is_none_or(|last| now.since(last) >= PROBE_INTERVAL);
        if due {
            self.last_probe = Some(now);
        }
        due
    }

    /// Record that a peer did not answer a request for a connection.
    pub fn on_relay_failed(&mut self, now: Timestamp, peer: SocketAddr) {
        self.failed_relays
            .retain(|_, at| now.since(*at) < RELAY_PAUSE);
        self.failed_relays.insert(peer, now);
    }

    /// Return whether a peer is not asked for connections, because it did not answer lately.
    pub fn avoids_relay(&self, now: Timestamp, peer: SocketAddr) -> bool {
        let failed = self.failed_relays.get(&peer);
        failed.is_some_and(|at| now.since(*at) < RELAY_PAUSE)
    }

    /// Forget a server that was removed.
    pub fn remove(&mut self, key: BackendKey) {
        self.failed.swap_remove(&key);
        self.cut.swap_remove(&key);
    }
}
